package planner

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/coltsfootlever/coltsfootlever/budgeter"
	"github.com/coltsfootlever/coltsfootlever/parser"
)

const patience = 2 * time.Minute

var (
	update = flag.Bool("update", false, "write the golden files")
	all    = flag.Bool("all", false, "also walk the baselines at 1,100 instances")
)

func every(pool, zone, rack int) []parser.Budget {
	return []parser.Budget{
		{Scope: parser.PoolScope, Name: parser.Every, MaxAbsent: pool},
		{Scope: parser.ZoneScope, Name: parser.Every, MaxAbsent: zone},
		{Scope: parser.RackScope, Name: parser.Every, MaxAbsent: rack},
	}
}

// oneByOne drains the next instance when none is out.
func oneByOne(w *world) []*box {
	if w.count("draining", "rebooting") > 0 {
		return nil
	}
	return w.todo()[:min(1, len(w.todo()))]
}

// fixedBatch drains the next n instances when the batch before is done.
func fixedBatch(n int) order {
	return func(w *world) []*box {
		if w.count("draining", "rebooting") > 0 {
			return nil
		}
		return w.todo()[:min(n, len(w.todo()))]
	}
}

// fixedBatchWithin is fixedBatch without the instances that overdraw a budget.
func fixedBatchWithin(n int) order {
	return func(w *world) []*box {
		if w.count("draining", "rebooting") > 0 {
			return nil
		}
		counter := budgeter.NewCounter(w.budgets, w.state().Absent)
		var batch []*box
		for _, b := range w.todo() {
			if _, spent := counter.Exhausted(absenceOf(b)); !spent && len(batch) < n {
				counter.Add(absenceOf(b))
				batch = append(batch, b)
			}
		}
		return batch
	}
}

func planned(o Options) order {
	return func(w *world) []*box {
		boxes := map[string]*box{}
		for _, b := range w.boxes {
			boxes[b.id] = b
		}
		var picked []*box
		for _, c := range Next(w.state(), o) {
			picked = append(picked, boxes[c.ID])
		}
		return picked
	}
}

// TestRollOuts walks the written inputs of 50 and of 1,100 instances in each
// order and compares the figures with the golden files. The baselines at 1,100
// instances take long and run with the flag -all only.
func TestRollOuts(t *testing.T) {
	day := 24 * time.Hour
	for _, in := range []struct {
		name                   string
		n, pools, zones, batch int
		step                   time.Duration
		budgets                []parser.Budget
		window, target         time.Duration
		all                    bool
	}{
		{"50", 50, 5, 3, 3, time.Minute, every(1, 2, 1), 4 * day, 7 * day, true},
		{"1100", 1100, 77, 6, 55, 5 * time.Minute, every(1, 12, 2), 28 * day, 35 * day, *all},
	} {
		t.Run(in.name, func(t *testing.T) {
			out := &strings.Builder{}
			_, _ = fmt.Fprintf(out, "%-28s %10s %14s %14s %10s %12s %7s %11s %6s\n",
				"order", "roll-out h", "buffer inst-h", "of it idle", "longest h", "checkpoints", "undone", "overdrafts", "left")
			walk := func(name string, w *world, next order) figures {
				f := w.walk(next)
				_, _ = fmt.Fprintf(out, "%-28s %10.1f %14.1f %14.1f %10.1f %12d %7d %11d %6d\n", name,
					f.rollout.Hours(), f.buffer.Hours(), f.idle.Hours(), f.longest.Hours(), f.checkpoints, f.undone, f.overdrafts, f.left)
				return f
			}
			run := func(name string, checkpoint bool, next order) figures {
				w := input(in.n, in.pools, in.zones, in.step, in.budgets)
				w.checkpoint = checkpoint
				return walk(name, w, next)
			}
			blind := func(name string, limit time.Duration) {
				w := input(in.n, in.pools, in.zones, in.step, in.budgets)
				w.checkpoint, w.blind, w.limit = true, true, limit
				walk(name, w, planned(Options{}))
			}
			if in.all {
				run("one by one", false, oneByOne)
				run("fixed batch", false, fixedBatch(in.batch))
				run("fixed batch within budgets", false, fixedBatchWithin(in.batch))
				run("planner, no patience", false, planned(Options{}))
				run("planner, fast", false, planned(Options{Window: in.window / 8, Patience: patience}))
				run("planner, paced", false, planned(Options{Window: in.window, Patience: patience}))
				run("planner, paced, checkpoints", true, planned(Options{Window: in.window, Patience: patience}))
			}
			if in.all {
				blind("no estimates, limit 2 h", 2*time.Hour)
				blind("no estimates, limit 10 min", 10*time.Minute)
			}
			f := run("planner, fast, checkpoints", true, planned(Options{Window: in.window / 8, Patience: patience}))
			require.Zero(t, f.overdrafts)
			require.Zero(t, f.left)
			require.Less(t, f.rollout, in.target)
			if in.all {
				golden(t, "rollout-"+in.name+".golden", out.String())
			}
		})
	}
}

func TestBlockedNamesWhatIsWaitedFor(t *testing.T) {
	now := time.Date(2026, 1, 5, 0, 0, 0, 0, time.UTC)
	s := State{Now: now, Started: now, Total: 4, Budgets: every(1, 9, 9), Todo: []Candidate{
		{ID: "a1", Pool: "a"}, {ID: "a2", Pool: "a"}, {ID: "b1", Pool: "b", Wait: time.Hour}, {ID: "c1", Pool: "c", NotBefore: now.Add(time.Minute)},
	}}
	require.Equal(t, []string{
		"budget of pool a allows 1 absent",
		"drains that were undone are tried again later",
		"long work is under way and there is time",
	}, Blocked(s, Options{Window: time.Hour, Patience: patience}))
}

func golden(t *testing.T, name, got string) {
	path := filepath.Join("testdata", name)
	if *update {
		require.NoError(t, os.MkdirAll("testdata", 0o755))
		require.NoError(t, os.WriteFile(path, []byte(got), 0o644))
	}
	want, err := os.ReadFile(path)
	require.NoError(t, err)
	require.Equal(t, string(want), got)
	t.Logf("\n%s", got)
}

// Next never overdraws a budget and never picks an instance twice, and Waves
// covers every instance that a budget lets go.
func TestWavesStayWithinBudgets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := State{Budgets: every(rapid.IntRange(1, 3).Draw(t, "pool"), rapid.IntRange(1, 6).Draw(t, "zone"), rapid.IntRange(1, 2).Draw(t, "rack"))}
		n := rapid.IntRange(1, 60).Draw(t, "instances")
		s.Total = n
		for k := range n {
			s.Todo = append(s.Todo, Candidate{ID: fmt.Sprint(k), Pool: fmt.Sprint(k % 5), Zone: fmt.Sprint(k % 3), Rack: fmt.Sprint(k / 4),
				Wait: time.Duration(rapid.IntRange(0, 3).Draw(t, "wait")) * time.Hour})
		}
		seen := map[string]bool{}
		for _, wave := range Waves(s, Options{Reserve: rapid.IntRange(0, 1).Draw(t, "reserve")}) {
			counter := budgeter.NewCounter(s.Budgets, s.Absent)
			for _, c := range wave {
				x := budgeter.Absence{Instance: c.ID, Pool: c.Pool, Zone: c.Zone, Rack: c.Rack}
				_, spent := counter.Exhausted(x)
				require.False(t, spent)
				require.False(t, seen[c.ID])
				seen[c.ID] = true
				counter.Add(x)
			}
		}
		require.Len(t, seen, n)
	})
}
