package orchestrator

import (
	"math"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/modeler"
)

// simulateSlowWorkers plays two minutes of jobs in a fleet of 40 workers of which a fifth are
// four times slower than their registration says, at about a third of the fleet's
// capacity. It returns the mean time of the jobs in multiples of their critical path, and
// how many were late, of how many jobs.
func simulateSlowWorkers(measured bool) (mean float64, late, jobs int) {
	const step, slowdown = 20 * time.Millisecond, 4
	f := newFleet(1, 40)
	ends := make(map[*task]time.Time)
	sum := 0.0
	for now := time.Duration(0); now < 2*time.Minute; now += step {
		f.now = f.now.Add(step)
		f.endDueRuns(ends)
		for _, j := range slices.Clone(f.jobOrder) {
			if !j.state.IsFinal() {
				continue
			}
			took := f.now.Sub(j.Accepted)
			jobs, sum = jobs+1, sum+took.Seconds()/j.criticalPath.Seconds()
			if took > j.occurrences[0].targetDuration(j.settings.queue) {
				late++
			}
			f.removeJob(j)
		}
		if f.rng.Float64() < 0.08 {
			f.randomJob()
		}
		if measured {
			f.updateSpeeds(f.now)
		}
		f.runPlacement(f.now)
		for _, t := range f.awaitingStart {
			took := float64(t.step.Estimate) * math.Exp(0.2*f.rng.NormFloat64())
			if n := t.worker.ID[len(t.worker.ID)-1]; n == '3' || n == '8' {
				took *= slowdown
			}
			t.phase, t.phaseSince, ends[t] = running, f.now, f.now.Add(time.Duration(took))
		}
		f.awaitingStart = f.awaitingStart[:0]
	}
	return sum / float64(jobs), late, jobs
}

// endDueRuns ends the runs whose time has come.
func (f *fleet) endDueRuns(ends map[*task]time.Time) {
	for _, w := range f.sortedWorkers() {
		for _, t := range w.sortedTasks() {
			if ends[t].After(f.now) {
				continue
			}
			delete(ends, t)
			f.recordWorkerSpeed(t, f.now.Sub(t.phaseSince), f.now)
			f.recordTaskDuration(t, f.now.Sub(t.phaseSince))
			f.updateTaskAfterEnd(w, t, modeler.EndedTask{Task: t.id, Run: t.run, EndKind: modeler.EndDone})
		}
	}
}

// The load is one in which a fifth of the workers are four times slower. If placement
// relied on their registration, every job with a task there would be late.
func TestSlowWorkersGetTasksLast(t *testing.T) {
	meanBefore, lateBefore, _ := simulateSlowWorkers(false)
	mean, late, jobs := simulateSlowWorkers(true)
	t.Logf("%d jobs: mean %.2f of the critical path and %d late, with measured speeds %.2f and %d", jobs, meanBefore, lateBefore, mean, late)
	require.Less(t, mean, 0.8*meanBefore)
	require.Less(t, late, lateBefore/2)
}
