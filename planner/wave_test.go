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

const maxWait = 2 * time.Minute

var (
	update = flag.Bool("update", false, "write the golden files")
	all    = flag.Bool("all", false, "also simulate the baselines with 1,100 instances")
)

func budgetsForEach(pool, zone, rack int) []parser.Budget {
	return []parser.Budget{
		{Scope: parser.PoolScope, Name: parser.Wildcard, MaxAbsent: pool},
		{Scope: parser.ZoneScope, Name: parser.Wildcard, MaxAbsent: zone},
		{Scope: parser.RackScope, Name: parser.Wildcard, MaxAbsent: rack},
	}
}

// nextSingleDrain returns the next instance to drain, or none while another one is
// out of service.
func nextSingleDrain(w *simulation) []*simulatedInstance {
	if w.countInPhases("draining", "rebooting") > 0 {
		return nil
	}
	return w.pendingInstances()[:min(1, len(w.pendingInstances()))]
}

// nextFixedBatch returns a policy that drains the next n instances when the
// previous batch is done.
func nextFixedBatch(n int) drainPolicy {
	return func(w *simulation) []*simulatedInstance {
		if w.countInPhases("draining", "rebooting") > 0 {
			return nil
		}
		return w.pendingInstances()[:min(n, len(w.pendingInstances()))]
	}
}

// nextFixedBatchWithinBudgets is like nextFixedBatch, but leaves out the
// instances that would exceed a budget.
func nextFixedBatchWithinBudgets(n int) drainPolicy {
	return func(w *simulation) []*simulatedInstance {
		if w.countInPhases("draining", "rebooting") > 0 {
			return nil
		}
		counter := budgeter.NewCounter(w.budgets, w.plannerState().Absent)
		var batch []*simulatedInstance
		for _, b := range w.pendingInstances() {
			if _, spent := counter.Exhausted(absenceOf(b)); !spent && len(batch) < n {
				counter.Add(absenceOf(b))
				batch = append(batch, b)
			}
		}
		return batch
	}
}

// nextDrainsByPlanner returns a policy that drains the instances that NextDrains
// selects.
func nextDrainsByPlanner(o Options) drainPolicy {
	return func(w *simulation) []*simulatedInstance {
		instancesByID := map[string]*simulatedInstance{}
		for _, b := range w.instances {
			instancesByID[b.id] = b
		}
		var picked []*simulatedInstance
		for _, c := range NextDrains(w.plannerState(), o) {
			picked = append(picked, instancesByID[c.ID])
		}
		return picked
	}
}

// TestRolloutPolicies simulates roll-outs over 50 and over 1,100 instances with
// each policy and compares the results with the golden files. The baselines with
// 1,100 instances take long and only run with the flag -all.
func TestRolloutPolicies(t *testing.T) {
	day := 24 * time.Hour
	for _, in := range []struct {
		name                   string
		n, pools, zones, batch int
		step                   time.Duration
		budgets                []parser.Budget
		window, target         time.Duration
		all                    bool
	}{
		{"50", 50, 5, 3, 3, time.Minute, budgetsForEach(1, 2, 1), 4 * day, 7 * day, true},
		{"1100", 1100, 77, 6, 55, 5 * time.Minute, budgetsForEach(1, 12, 2), 28 * day, 35 * day, *all},
	} {
		t.Run(in.name, func(t *testing.T) {
			out := &strings.Builder{}
			_, _ = fmt.Fprintf(out, "%-28s %10s %14s %14s %10s %12s %7s %11s %6s\n",
				"policy", "roll-out h", "lost inst-h", "idle inst-h", "longest h", "checkpoints", "undone", "overdrafts", "left")
			runAndPrint := func(name string, w *simulation, next drainPolicy) result {
				f := w.run(next)
				_, _ = fmt.Fprintf(out, "%-28s %10.1f %14.1f %14.1f %10.1f %12d %7d %11d %6d\n", name,
					f.rollout.Hours(), f.lostTime.Hours(), f.idleTime.Hours(), f.longestDrain.Hours(), f.checkpoints, f.undoneDrains, f.overdrafts, f.unmaintained)
				return f
			}
			runWithEstimates := func(name string, checkpoint bool, next drainPolicy) result {
				w := newSimulation(in.n, in.pools, in.zones, in.step, in.budgets)
				w.checkpoint = checkpoint
				return runAndPrint(name, w, next)
			}
			runWithoutEstimates := func(name string, limit time.Duration) {
				w := newSimulation(in.n, in.pools, in.zones, in.step, in.budgets)
				w.checkpoint, w.noEstimates, w.drainLimit = true, true, limit
				runAndPrint(name, w, nextDrainsByPlanner(Options{}))
			}
			if in.all {
				runWithEstimates("one by one", false, nextSingleDrain)
				runWithEstimates("fixed batch", false, nextFixedBatch(in.batch))
				runWithEstimates("fixed batch within budgets", false, nextFixedBatchWithinBudgets(in.batch))
				runWithEstimates("planner, no wait limit", false, nextDrainsByPlanner(Options{}))
				runWithEstimates("planner, fast", false, nextDrainsByPlanner(Options{Window: in.window / 8, MaxWait: maxWait}))
				runWithEstimates("planner, paced", false, nextDrainsByPlanner(Options{Window: in.window, MaxWait: maxWait}))
				runWithEstimates("planner, paced, checkpoints", true, nextDrainsByPlanner(Options{Window: in.window, MaxWait: maxWait}))
			}
			if in.all {
				runWithoutEstimates("no estimates, limit 2 h", 2*time.Hour)
				runWithoutEstimates("no estimates, limit 10 min", 10*time.Minute)
			}
			f := runWithEstimates("planner, fast, checkpoints", true, nextDrainsByPlanner(Options{Window: in.window / 8, MaxWait: maxWait}))
			require.Zero(t, f.overdrafts)
			require.Zero(t, f.unmaintained)
			require.Less(t, f.rollout, in.target)
			if in.all {
				requireGolden(t, "rollout-"+in.name+".golden", out.String())
			}
		})
	}
}

func TestWaitReasons(t *testing.T) {
	now := time.Date(2026, 1, 5, 0, 0, 0, 0, time.UTC)
	s := State{Now: now, Started: now, Total: 4, Budgets: budgetsForEach(1, 9, 9), Pending: []Candidate{
		{ID: "a1", Pool: "a"}, {ID: "a2", Pool: "a"}, {ID: "b1", Pool: "b", EstimatedWait: time.Hour}, {ID: "c1", Pool: "c", NotBefore: now.Add(time.Minute)},
	}}
	require.Equal(t, []string{
		"budget of pool a allows 1 absent",
		"drains that were undone are tried again later",
		"long work is under way and there is time",
	}, WaitReasons(s, Options{Window: time.Hour, MaxWait: maxWait}))
}

func requireGolden(t *testing.T, name, got string) {
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

// No wave exceeds a budget or contains an instance of an earlier wave, and the
// waves together cover all instances whose drain the budgets allow.
func TestPlanWavesStaysWithinBudgets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := State{Budgets: budgetsForEach(rapid.IntRange(1, 3).Draw(t, "pool"), rapid.IntRange(1, 6).Draw(t, "zone"), rapid.IntRange(1, 2).Draw(t, "rack"))}
		n := rapid.IntRange(1, 60).Draw(t, "instances")
		s.Total = n
		for k := range n {
			s.Pending = append(s.Pending, Candidate{ID: fmt.Sprint(k), Pool: fmt.Sprint(k % 5), Zone: fmt.Sprint(k % 3), Rack: fmt.Sprint(k / 4),
				EstimatedWait: time.Duration(rapid.IntRange(0, 3).Draw(t, "wait")) * time.Hour})
		}
		seen := map[string]bool{}
		for _, wave := range PlanWaves(s, Options{BudgetReserve: rapid.IntRange(0, 1).Draw(t, "reserve")}) {
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
