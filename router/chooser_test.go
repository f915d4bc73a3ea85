package router_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/messenger"
	"github.com/coltsfootlever/coltsfootlever/router"
	"github.com/coltsfootlever/coltsfootlever/scheduler"
)

// testState is the state of one member for the chooser.
type testState struct{ pool messenger.PoolLoad }

func (l testState) PoolLoad(string) messenger.PoolLoad { return l.pool }
func (l testState) FreeGrant(string) int               { return 8 }
func (l testState) GrantHolders(string, int) []string  { return []string{"a", "b"} }

func TestChooser(t *testing.T) {
	task := scheduler.Task{Team: "leads", Pool: "match", Slots: 1}
	free := messenger.PoolLoad{Pool: "match", Slots: 8}
	full := messenger.PoolLoad{Pool: "match", Slots: 8, Running: 8, Waiting: 4}
	tests := []struct {
		name      string
		own, peer messenger.PoolLoad
		placed    int // tasks of the team unanswered here
		refused   string
		want      string
	}{
		{"a free slot here", free, free, 0, "", "a"},
		{"a free slot at the peer", full, free, 0, "", "b"},
		{"none has one", full, full, 0, "", "a"},
		{"the team waits here", full, full, 8, "", "b"},
		{"the workers here refused it", free, free, 0, "a", "b"},
		{"the peer refused it", full, free, 0, "b", "a"},
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
