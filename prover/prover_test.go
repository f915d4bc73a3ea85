package prover_test

import (
	"flag"
	"fmt"
	"log/slog"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/checker"
	"github.com/coltsfootlever/coltsfootlever/prover"
)

const maxShownBreaches = 4 // printed for each invariant

var (
	soak = flag.Duration("soak", 0, "run random plans for this long")
	seed = flag.Int("seed", 0, "first seed of a soak, or the seed of a single run")
	logs = flag.Bool("logs", false, "print the logs of the entries")
)

func options() prover.Options {
	if !*logs {
		return prover.Options{}
	}
	level := &slog.HandlerOptions{Level: slog.LevelDebug}
	return prover.Options{Log: slog.New(slog.NewTextHandler(os.Stderr, level))}
}

// run runs a plan in virtual time.
func run(t *testing.T, p prover.Plan, opts prover.Options) (w *prover.World) {
	synctest.Test(t, func(*testing.T) { w = prover.Run(p, opts) })
	return w
}

// report describes the invariants broken in a run. It returns "" if none was.
func report(seed int, p prover.Plan, w *prover.World) string {
	breaches := w.Breaches()
	if len(breaches) == 0 {
		return ""
	}
	counts := map[checker.Invariant]int{}
	lines := ""
	for _, b := range breaches {
		counts[b.Invariant]++
		if counts[b.Invariant] <= maxShownBreaches {
			lines += b.String() + "\n" + b.Trace
		}
	}
	return fmt.Sprintf("seed %d: %v\n%s%s", seed, counts, p, lines)
}

// No invariant breaks in a run without faults, and more than 100 requests succeed.
func TestQuiet(t *testing.T) {
	p := prover.Plan{Entries: 3, LoadSeed: 1, RequestInterval: 100 * time.Millisecond}
	w := run(t, p, options())
	t.Log(w.Counts())
	require.Empty(t, report(0, p, w))
	require.Greater(t, w.Count("ran "), 100)
}

// Runs the random plans of the seeds 1 to 12.
func TestSeeds(t *testing.T) {
	for n := range 12 {
		t.Run(fmt.Sprint(n+1), func(t *testing.T) { runSeed(t, n+1) })
	}
}

// Runs random plans with many evacuations beside faults of the store, the entries and
// their network, under load. Guards against a start in a zone after its evacuation
// was acknowledged, and against work that is lost or run twice because of it.
func TestEvacuationsBesideFaults(t *testing.T) {
	plans := prover.Plans(prover.Evacuate, prover.Evacuate, prover.Evacuate, prover.CutStore, prover.CutPeers, prover.StoreDown, prover.StoreHung,
		prover.LoseWrites, prover.LoseReplies, prover.PauseEntry, prover.CrashEntry, prover.StopEntry, prover.LoseZone, prover.Drain)
	for n := range 6 {
		t.Run(fmt.Sprint(n+1), func(t *testing.T) {
			p := plans.Example(n + 1)
			w := run(t, p, options())
			t.Log(w.Counts())
			require.Empty(t, report(n+1, p, w))
			require.Zero(t, w.Count("zones left evacuated"))
		})
	}
}

// Runs the random plan of the one seed given by the flag -seed.
func TestSeed(t *testing.T) {
	if *seed == 0 {
		t.Skip("set -seed")
	}
	runSeed(t, *seed)
}

func runSeed(t *testing.T, seed int) {
	p := prover.Plans().Example(seed)
	w := run(t, p, options())
	t.Log(w.Counts())
	require.Empty(t, report(seed, p, w))
}

// Runs random plans for the time given by the flag -soak, from the seed given by
// -seed or, without it, from the current time.
func TestSoak(t *testing.T) {
	if *soak == 0 {
		t.Skip("set -soak 10m")
	}
	if *seed == 0 {
		*seed = int(time.Now().Unix())
	}
	fmt.Printf("soak of %s from seed %d\n", *soak, *seed)
	runs, end := 0, time.Now().Add(*soak)
	for ; time.Now().Before(end); runs++ {
		n := *seed + runs
		p := prover.Plans().Example(n)
		if text := report(n, p, run(t, p, options())); text != "" {
			t.Error(text)
		}
	}
	fmt.Printf("%d runs, seeds %d to %d\n", runs, *seed, *seed+runs-1)
}
