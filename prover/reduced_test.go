package prover_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/prover"
)

// A process of an instance that was replaced registers before the lagging list
// shows its instance again.
func TestReplacedEntry(t *testing.T) {
	for n := range 5 {
		p := prover.Plan{Entries: 3, Load: uint64(n), Every: 40 * time.Millisecond, Steps: []prover.Step{
			{Kind: prover.LoseEntry, For: 5 * time.Second},
			{Kind: prover.LoseEntry, After: 20 * time.Second, For: 5 * time.Second},
			{Kind: prover.LoseEntry, After: 20 * time.Second, For: 5 * time.Second},
		}}
		w := run(t, p, options())
		t.Log(w.Counts())
		require.Empty(t, report(0, p, w))
		require.Zero(t, w.Count("exits"), "no process was removed that lives")
	}
}

// Entries stop while they run work that outlasts its caller's patience.
func TestStopUnderLongWork(t *testing.T) {
	for n := range 5 {
		p := prover.Plan{Entries: 3, Load: uint64(n), Every: 100 * time.Millisecond, Steps: []prover.Step{
			{Kind: prover.StopEntry, A: 0, For: 5 * time.Second},
			{Kind: prover.StopEntry, A: 1, After: 20 * time.Second, For: 5 * time.Second},
			{Kind: prover.StopEntry, A: 2, After: 20 * time.Second, For: 5 * time.Second},
		}}
		w := run(t, p, options())
		t.Log(w.Counts())
		require.Empty(t, report(0, p, w))
	}
}
