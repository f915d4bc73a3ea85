package claimer_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/claimer"
)

const claimedNames = 200

// claimNames lets the process claim new names and keep them.
func (c *cluster) claimNames(t *testing.T, n *process) []string {
	var names []string
	for i := range uint64(claimedNames) {
		name := newDatedName(time.Now(), i)
		d, err := c.claimAndCheck(n, name, false)
		require.NoError(t, err)
		require.True(t, d.Granted)
		names = append(names, name)
	}
	return names
}

// claimWithoutHandOver lets a new member claim names whose home it has become
// while it is disconnected from their former homes.
func claimWithoutHandOver(t *testing.T, c *cluster) {
	names := c.claimNames(t, c.processes[0])
	n := c.startProcess("entry-9")
	for _, m := range c.processes[:initialMembers] {
		c.setDisconnected(n, m, true)
	}
	time.Sleep(time.Second)
	for _, name := range names {
		if n.claimer.IsHome("team", name) {
			_, _ = c.claimAndCheck(n, name, false)
		}
	}
}

// claimAtEvictedHome lets a member that was evicted while it was isolated claim a
// new name whose home it was, and then lets another member claim the same name.
func claimAtEvictedHome(t *testing.T, c *cluster) {
	a, b := c.processes[0], c.processes[1]
	c.setIsolated(a, true)
	time.Sleep(2 * messageDelay) // the answer to an earlier heartbeat would tell it of the eviction
	require.NoError(t, b.members.Evict(c.ctx, a.members.Self().ID, "operator"))
	time.Sleep(3 * settleTime)
	_, ok := a.members.View().Member(a.members.Self().ID)
	require.True(t, ok, "the isolated member must not know of its eviction")
	name := datedNameWithHome(t, a)
	_, _ = c.claimAndCheck(a, name, false)
	d, err := c.claimAndCheck(b, name, false)
	require.NoError(t, err)
	require.True(t, d.Granted)
}

// claimUnderOldView delays claims, so that they arrive at the former homes of the
// names after these have handed the names over.
func claimUnderOldView(t *testing.T, c *cluster) {
	names := c.claimNames(t, c.processes[0])
	c.setMessageFaults(0, 1)
	for _, name := range names {
		c.wg.Go(func() { _, _ = c.claimAndCheck(c.processes[1], name, false) })
	}
	synctest.Wait()
	c.setMessageFaults(0, 0)
	c.startProcess("entry-9")
	time.Sleep(settleTime)
}

func TestEachRuleInItsCase(t *testing.T) {
	tests := []struct {
		name string
		run  func(t *testing.T, c *cluster)
		off  claimer.Option
	}{
		{"hand-over", claimWithoutHandOver, claimer.WithoutHandOver()},
		{"freshness", claimAtEvictedHome, claimer.WithoutFreshness()},
		{"view number", claimUnderOldView, claimer.WithoutViewCheck()},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			runInCluster(t, tt.run)
		})
		t.Run(fmt.Sprintf("without %s", tt.name), func(t *testing.T) {
			runInCluster(t, func(t *testing.T, c *cluster) {
				tt.run(t, c)
				require.NotEmpty(t, c.takeViolations(), "the case shows no double grant")
			}, tt.off)
		})
	}
}
