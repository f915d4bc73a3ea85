package router_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/messenger"
	"github.com/coltsfootlever/coltsfootlever/router"
	"github.com/coltsfootlever/coltsfootlever/scheduler"
)

// testState is the state of the member under test. Both members hold grants.
type testState struct{ pool messenger.PoolLoad }

func (l testState) PoolLoad(string) messenger.PoolLoad { return l.pool }
func (l testState) FreeGrant(string) int               { return 8 }
func (l testState) GrantHolders(string, int) []string  { return []string{"a", "b"} }

func TestChooserChoosesMemberByLoad(t *testing.T) {
	task := scheduler.Task{Team: "leads", Pool: "match", Slots: 1}
	free := messenger.PoolLoad{Pool: "match", Slots: 8}
	full := messenger.PoolLoad{Pool: "match", Slots: 8, Running: 8, Waiting: 4}
	tests := []struct {
		name      string
		own, peer messenger.PoolLoad
		placed    int // unanswered tasks of the team on this member
		refused   string
		want      string
	}{
		{"free slots on both members", free, free, 0, "", "a"},
		{"free slots only on the peer", full, free, 0, "", "b"},
		{"no free slots", full, full, 0, "", "a"},
		{"no free slots and the team has tasks on this member", full, full, 8, "", "b"},
		{"this member refused the task", free, free, 0, "a", "b"},
		{"the peer refused the task", full, free, 0, "b", "a"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := router.NewLoadChooser("a", testState{tt.own})
			c.HandleHeartbeat(messenger.Heartbeat{From: "b", Pools: []messenger.PoolLoad{tt.peer}})
			for range tt.placed {
				c.RecordPlacement(task, "a")
			}
			got, _ := c.Choose(task, map[string]bool{tt.refused: true})
			require.Equal(t, tt.want, got)
		})
	}
}
