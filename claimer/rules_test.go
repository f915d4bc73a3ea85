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
func claimWithoutHandOver(t *testing.T, w *cluster) {
	names := w.claimNames(t, w.processes[0])
	n := w.startProcess("entry-9")
	for _, m := range w.processes[:initialMembers] {
		w.setDisconnected(n, m, true)
	}
	time.Sleep(time.Second)
	for _, name := range names {
		if n.claimer.IsHome("team", name) {
			_, _ = w.claimAndCheck(n, name, false)
		}
	}
}

// claimAtEvictedHome lets a member that was evicted while it was isolated claim a
// new name whose home it was, and then lets another member claim the same name.
func claimAtEvictedHome(t *testing.T, w *cluster) {
	a, b := w.processes[0], w.processes[1]
	w.setIsolated(a, true)
	require.NoError(t, b.members.Evict(w.ctx, a.members.Self().ID, "operator"))
	time.Sleep(3 * settleTime)
	name := w.datedNameWithHome(a)
	_, _ = w.claimAndCheck(a, name, false)
	d, err := w.claimAndCheck(b, name, false)
	require.NoError(t, err)
	require.True(t, d.Granted)
}

// claimUnderOldView delays claims, so that they arrive at the former homes of the
// names after these have handed the names over.
func claimUnderOldView(t *testing.T, w *cluster) {
	names := w.claimNames(t, w.processes[0])
	w.setMessageFaults(0, 1)
	for _, name := range names {
		w.wg.Go(func() { _, _ = w.claimAndCheck(w.processes[1], name, false) })
	}
	synctest.Wait()
	w.setMessageFaults(0, 0)
	w.startProcess("entry-9")
	time.Sleep(settleTime)
}

func TestEachRuleInItsCase(t *testing.T) {
	tests := []struct {
		name string
		run  func(t *testing.T, w *cluster)
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
			runInCluster(t, func(t *testing.T, w *cluster) {
				tt.run(t, w)
				require.NotEmpty(t, w.takeViolations(), "the case shows no double grant")
			}, tt.off)
		})
	}
}
