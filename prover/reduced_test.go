package prover_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/prover"
)

// The process of a replaced instance registers before the instance list, which
// lags, shows the instance again. The other entries must not remove its process
// from the membership as one without an instance.
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
		require.Zero(t, w.Count("exits"), "no running process was removed from the membership")
	}
}

// Entries make a planned stop while tasks run that take longer than their callers
// wait. No invariant may break.
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
