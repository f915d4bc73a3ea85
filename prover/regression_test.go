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
		p := prover.Plan{Entries: 3, LoadSeed: uint64(n), RequestInterval: 40 * time.Millisecond, Steps: []prover.Step{
			{Kind: prover.LoseEntry, Duration: 5 * time.Second},
			{Kind: prover.LoseEntry, Delay: 20 * time.Second, Duration: 5 * time.Second},
			{Kind: prover.LoseEntry, Delay: 20 * time.Second, Duration: 5 * time.Second},
		}}
		w := run(t, p, options())
		t.Log(w.Counts())
		require.Empty(t, report(0, p, w))
		require.Zero(t, w.Count("exits"), "no process was removed that lives")
	}
}

// Entries stop while they run work that outlasts its caller's patience.
func TestStopDuringLongTasks(t *testing.T) {
	for n := range 5 {
		p := prover.Plan{Entries: 3, LoadSeed: uint64(n), RequestInterval: 100 * time.Millisecond, Steps: []prover.Step{
			{Kind: prover.StopEntry, Target: 0, Duration: 5 * time.Second},
			{Kind: prover.StopEntry, Target: 1, Delay: 20 * time.Second, Duration: 5 * time.Second},
			{Kind: prover.StopEntry, Target: 2, Delay: 20 * time.Second, Duration: 5 * time.Second},
		}}
		w := run(t, p, options())
		t.Log(w.Counts())
		require.Empty(t, report(0, p, w))
	}
}
