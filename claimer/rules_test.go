package claimer_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/claimer"
)

const heldNames = 200

// hold has the process claim names for good.
func (w *world) hold(t *testing.T, n *node) []string {
	var names []string
	for i := range uint64(heldNames) {
		name := dated(time.Now(), i)
		d, err := w.claim(n, name, false)
		require.NoError(t, err)
		require.True(t, d.Granted)
		names = append(names, name)
	}
	return names
}

// claimAfterHomesLostTouch has a new member claim the names that moved to it
// while it cannot hear their former homes.
func claimAfterHomesLostTouch(t *testing.T, w *world) {
	names := w.hold(t, w.nodes[0])
	n := w.start("entry-9")
	for _, m := range w.nodes[:firstMembers] {
		w.cut(n, m, true)
	}
	time.Sleep(time.Second)
	for _, name := range names {
		if n.claims.IsHome("team", name) {
			_, _ = w.claim(n, name, false)
		}
	}
}

// claimAtEvictedHome has a member that was evicted while it is cut off claim a
// new name at itself, and another one claim the name as well.
func claimAtEvictedHome(t *testing.T, w *world) {
	a, b := w.nodes[0], w.nodes[1]
	w.isolate(a, true)
	require.NoError(t, b.members.Evict(w.ctx, a.members.Self().ID, "operator"))
	time.Sleep(3 * settle)
	name := w.nameAt(a)
	_, _ = w.claim(a, name, false)
	d, err := w.claim(b, name, false)
	require.NoError(t, err)
	require.True(t, d.Granted)
}

// claimUnderOldView has claims arrive at the former homes of names after these
// have handed them over.
func claimUnderOldView(t *testing.T, w *world) {
	names := w.hold(t, w.nodes[0])
	w.setFaults(0, 1)
	for _, name := range names {
		w.wg.Go(func() { _, _ = w.claim(w.nodes[1], name, false) })
	}
	synctest.Wait()
	w.setFaults(0, 0)
	w.start("entry-9")
	time.Sleep(settle)
}

func TestEachRuleInItsCase(t *testing.T) {
	tests := []struct {
		name string
		run  func(t *testing.T, w *world)
		off  claimer.Option
	}{
		{"hand-over", claimAfterHomesLostTouch, claimer.WithoutHandOver()},
		{"freshness", claimAtEvictedHome, claimer.WithoutFresh()},
		{"view number", claimUnderOldView, claimer.WithoutView()},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			inWorld(t, tt.run)
		})
		t.Run(fmt.Sprintf("without %s", tt.name), func(t *testing.T) {
			inWorld(t, func(t *testing.T, w *world) {
				tt.run(t, w)
				require.NotEmpty(t, w.takeFaults(), "the case shows no double grant")
			}, tt.off)
		})
	}
}
