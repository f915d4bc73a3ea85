package orchestrator

import (
	"cmp"
	"flag"
	"fmt"
	"hash/fnv"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/investigator"
	"github.com/coltsfootlever/coltsfootlever/modeler"
)

const (
	randomFleets = 60
	randomRounds = 25 // passes of each fleet
)

var updateGolden = flag.Bool("update", false, "write the golden files")

// TestPlacementsStayTheSame guards against a pass that decides differently because of
// state that it keeps, or of an index: the golden file has the placements of passes
// that rebuilt all state and looked at all workers (commit 897fa96), over fleets with
// random changes.
func TestPlacementsStayTheSame(test *testing.T) {
	var lines strings.Builder
	for seed := range uint64(randomFleets) {
		f := newRandomFleet(seed)
		h, placements := fnv.New64a(), 0
		for range randomRounds {
			f.now = f.now.Add(time.Duration(f.rng.IntN(200)) * time.Millisecond)
			for range f.rng.IntN(25) {
				f.randomChange()
			}
			f.runPlacement(f.now)
			for _, t := range f.awaitingStart {
				if t.phase == placed {
					if t.phaseSince.Equal(f.now) {
						require.True(test, t.worker.used.Fits(t.worker.Capacity), "%s is full after %s: %+v", t.worker.ID, t.id, t.worker.used)
					}
					_, _ = fmt.Fprintf(h, "%s:%d@%s ", t.id, t.run, t.worker.ID)
					placements++
				}
			}
			f.confirmStarts()
			f.requireSums(test)
		}
		_, _ = fmt.Fprintf(&lines, "seed %d: %d placements, hash %016x\n", seed, placements, h.Sum64())
	}
	golden := filepath.Join("testdata", "placements.golden")
	if *updateGolden {
		require.NoError(test, os.WriteFile(golden, []byte(lines.String()), 0o600))
	}
	want, err := os.ReadFile(golden)
	require.NoError(test, err)
	require.Equal(test, string(want), lines.String())
}

// limitedStarts is a Throttle that permits so many starts.
type limitedStarts int

func (l limitedStarts) Limit() int      { return int(l) }
func (limitedStarts) IsCongested() bool { return true }

// requireSums checks the sums that are kept against those over all workers.
func (f *fleet) requireSums(t *testing.T) {
	usage, cpu, workers := make(map[string]modeler.Resources), make(map[string]int64), make(map[string]int)
	for _, w := range f.workersByID {
		workers[w.Pool]++
		for _, t := range w.tasks {
			customer := t.step.occurrence.job.Customer
			usage[customer] = usage[customer].Add(t.step.Need)
			if !t.step.LongRunning {
				cpu[w.Pool+" "+customer] += t.step.ReservedResources().CPU
			}
		}
	}
	for name, c := range f.customers {
		require.Equal(t, usage[name], c.usage, name)
		for pool, p := range f.pools {
			if c.number < len(p.cpu) {
				require.Equal(t, cpu[pool+" "+name], p.cpu[c.number], "%s %s", pool, name)
			}
		}
	}
	kept := *f.idleCores()
	f.instanceCores.known = false
	require.Equal(t, *f.idleCores(), kept)
	for name, p := range f.pools {
		require.Len(t, p.workers, workers[name], name)
	}
}

// newRandomFleet returns a small fleet with customers' limits.
func newRandomFleet(seed uint64) *fleet {
	f := newFleet(seed, 12+int(seed%5)*12)
	f.termStart = f.now
	if seed%3 == 0 {
		f.throttle = limitedStarts(4 + f.rng.IntN(8))
	}
	if seed%4 == 0 { // inherited tasks wait for workers that have not reported
		f.handover.predecessorStoredAll = false
		for range 3 {
			f.randomWorker().reported = false
		}
	}
	for i := range f.manifest.Customers {
		if i%4 == 0 {
			f.manifest.Customers[i].Limit = modeler.Resources{CPU: 60_000}
		}
	}
	return f
}

// confirmStarts lets most of the placed tasks run and leaves some to the next pass.
func (f *fleet) confirmStarts() {
	var remaining []*task
	for _, t := range f.awaitingStart {
		switch {
		case t.phase != placed:
		case f.rng.IntN(10) == 0:
			remaining = append(remaining, t)
		default:
			t.setPhase(running)
			t.phaseSince = f.now
		}
	}
	f.awaitingStart = remaining
}

// sortedWorkers returns the workers by ID, so that random choices repeat.
func (f *fleet) sortedWorkers() []*worker {
	var all []*worker
	for _, w := range f.workersByID {
		all = append(all, w)
	}
	slices.SortFunc(all, func(a, b *worker) int { return cmp.Compare(a.ID, b.ID) })
	return all
}

func (f *fleet) randomWorker() *worker {
	all := f.sortedWorkers()
	return all[f.rng.IntN(len(all))]
}

// randomAssignedTask returns a task on a random worker, or nil if it has none.
func (f *fleet) randomAssignedTask() *task {
	all := f.randomWorker().sortedTasks()
	if len(all) == 0 {
		return nil
	}
	return all[f.rng.IntN(len(all))]
}

// sortedTasks returns the tasks on a worker by ID.
func (w *worker) sortedTasks() []*task {
	return slices.SortedFunc(maps.Values(w.tasks), func(a, b *task) int { return cmp.Compare(a.id.String(), b.id.String()) })
}

// randomChange makes a change as the event loop makes it.
func (f *fleet) randomChange() {
	if n := f.rng.IntN(100); n < 50 {
		f.changeTask(n)
	} else if n < 80 {
		f.addRandomJob()
	} else {
		f.changeWorker(n)
	}
}

// changeTask changes a task that is assigned to a worker.
func (f *fleet) changeTask(n int) {
	t := f.randomAssignedTask()
	if t == nil {
		return
	}
	switch j := t.step.occurrence.job; {
	case n < 30 && !t.step.LongRunning:
		f.updateTaskAfterEnd(t.worker, t, modeler.EndedTask{Task: t.id, Run: t.run, EndKind: modeler.EndDone})
	case n < 35:
		f.requeueTask(t)
	case n < 38:
		t.suspicion = investigator.Suspicion{Crashes: 1, SoleSuspect: f.rng.IntN(2), Probation: time.Second}
		f.requeueTask(t)
	case n < 44:
		t.listedFor, t.worker.view.upToDate = f.now.Sub(t.phaseSince), false
	case n < 46 && t.step.LongRunning:
		absent := t.step.countUnavailable()
		if !t.isAvailable() {
			absent--
		}
		if to, _ := f.findMoveTarget(t, absent, f.now); to != nil {
			f.requeueTask(t)
		}
	case n < 48:
		f.endJob(j, modeler.Cancelled, "test")
		j.forEachTask(func(t *task) {
			if t.phase == stopping {
				t.requeue()
			}
		})
		f.removeJob(j)
	}
}

// addRandomJob adds a job of a random kind.
func (f *fleet) addRandomJob() {
	s := modeler.Step{Count: 1 + f.rng.IntN(6), Need: modeler.Resources{CPU: 1000 * int64(1+f.rng.IntN(12)), Memory: 1000 * int64(1+f.rng.IntN(20))}, Estimate: time.Second}
	queue := "q"
	switch f.rng.IntN(10) {
	case 0:
		s.Gang, s.SameRack = true, s.Count%2 == 0
	case 1:
		s.SameRack = true
	case 2:
		s.DataRack = fmt.Sprintf("rack-%d", f.rng.IntN(fleetRacks))
	case 3:
		s.LongRunning, s.LatencyTarget, queue = true, time.Millisecond, "lasting"
		s.MaxPerWorker = f.rng.IntN(3)
	case 4:
		s.UsesIdleCPU = true
	case 5:
		s.Label, s.MaxPerWorker = fmt.Sprintf("rack-%d", f.rng.IntN(fleetRacks)), 1+f.rng.IntN(3)
	default:
		f.randomJob().fromEarlierTerm = f.rng.IntN(3) == 0
		return
	}
	j := f.submit(fmt.Sprintf("%sp%d", queue, f.rng.IntN(fleetPools-1)), s)
	if f.rng.IntN(10) == 0 {
		tickets := make(map[string]ticket)
		for range 5 {
			w := f.randomWorker()
			tickets[w.ID] = ticket{value: "x", until: f.now.Add(time.Hour), boot: w.StartTimeMs}
		}
		j.occurrences[0].steps[0].advice = &stepAdvice{tickets: tickets}
	}
}

// changeWorker changes what a worker accepts.
func (f *fleet) changeWorker(n int) {
	w := f.randomWorker()
	w.view.upToDate, f.instanceCores.known = false, false
	switch n % 10 {
	case 0:
		w.reachable = !w.reachable
	case 1:
		w.markSuspect(f.now)
	case 2:
		w.Draining = !w.Draining
	case 3:
		w.Capacity.CPU = 8000 * int64(1+f.rng.IntN(8))
	case 4:
		f.planner.instances[w.Instance].plan = planKind(f.rng.IntN(2))
		f.planner.instances[w.Instance].targetPool = fmt.Sprintf("p%d", f.rng.IntN(fleetPools-1))
		f.cordonPlannedInstances()
	case 5:
		if len(w.orphanedRuns) > 0 {
			clear(w.orphanedRuns)
		} else if t := f.randomAssignedTask(); t != nil {
			f.stopOrphanedRun(w, t, runID{t.id, t.run - 1}, f.now)
		}
	case 6:
		f.planner.waves[1] = &waveState{pending: map[string]bool{w.Instance: true}}
	case 7:
		w.Pool = fmt.Sprintf("p%d", f.rng.IntN(fleetPools-1))
		f.assignPool(w)
		f.planner.instances[w.Instance].Pool = w.Pool
	case 8:
		w.hasUnknownStart = !w.hasUnknownStart
	case 9:
		f.requeueTasksOf(w, "test")
		w.Labels = []string{"kind", fmt.Sprintf("rack-%d", f.rng.IntN(fleetRacks))}
	}
}
