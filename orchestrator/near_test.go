package orchestrator

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/investigator"
	"github.com/coltsfootlever/coltsfootlever/modeler"
)

// newRackFleet returns a fleet in which tasks run twice as long outside their rack. Its
// pool has a worker in rack r1, whose cores two running tasks use, and an idle one in r2.
// The runs end after 300 and 800 ms by their estimates.
func newRackFleet(t *testing.T) (f *fleet, near, far *worker) {
	f = newFleet(1, 0)
	f.cfg.RemoteFactor = 2
	near = f.addWorker(0, "p0", "r1")
	for _, estimate := range []time.Duration{300 * time.Millisecond, 800 * time.Millisecond} {
		f.submit("qp0", modeler.Step{Count: 1, Need: modeler.Resources{CPU: 16_000}, Estimate: estimate})
	}
	require.Equal(t, 2, f.pass())
	for range 1000 {
		f.accuracyOf("qp0").Record(time.Second, time.Second) // the estimates are exact
	}
	return f, near, f.addWorker(2, "p0", "r2")
}

// countWaits returns how many tasks of a job wait for their rack.
func countWaits(j *job) int {
	n := 0
	j.forEachTask(func(t *task) {
		if !t.rackWaitSince.IsZero() {
			n++
		}
	})
	return n
}

// endRuns ends the runs on a worker whose estimate has passed.
func (f *fleet) endRuns(w *worker) {
	for _, t := range w.tasks {
		if f.now.Sub(t.phaseSince) >= t.step.Estimate {
			f.updateTaskAfterEnd(w, t, modeler.EndedTask{Task: t.id, Run: t.run, EndKind: modeler.EndDone})
		}
	}
}

// A task must wait for a rack that has room soon, only as many tasks as will have room
// there, and the second round of a pass must not take another decision.
func TestTaskWaitsForItsRack(t *testing.T) {
	f, near, far := newRackFleet(t)
	j := f.submit("qp0", modeler.Step{Count: 3, Need: modeler.Resources{CPU: 16_000}, Estimate: time.Second, DataRack: "r1"})
	require.Equal(t, 1, f.pass(), "the third task would wait for the first one to end")
	require.Equal(t, 2, countWaits(j))
	require.Len(t, far.tasks, 1)
	f.now = f.now.Add(300 * time.Millisecond)
	f.endRuns(near)
	require.Equal(t, 1, f.pass())
	require.Equal(t, 1, countWaits(j))
	f.now = f.now.Add(500 * time.Millisecond)
	f.endRuns(near)
	require.Equal(t, 1, f.pass())
	require.Zero(t, countWaits(j))
	require.Len(t, near.tasks, 2)
}

// A wait must end when the room that it was for is not there, so that the objective of
// the job is still met and the wait costs less than it could gain.
func TestWaitForARackEnds(t *testing.T) {
	f, _, far := newRackFleet(t)
	j := f.submit("qp0", modeler.Step{Count: 1, Need: modeler.Resources{CPU: 16_000}, Estimate: time.Second, DataRack: "r1"})
	require.Zero(t, f.pass())
	require.Equal(t, 1, countWaits(j))
	for waited := time.Duration(0); f.pass() == 0; waited += 10 * time.Millisecond {
		require.Less(t, waited, time.Second)
		f.now = f.now.Add(10 * time.Millisecond)
	}
	require.Len(t, far.tasks, 1)
}

// Tasks that are suspected of crashing their workers, jobs that would be late, and
// tasks for which elsewhere is not slower must start at once.
func TestTasksThatMustNotWaitForTheirRack(t *testing.T) {
	for name, change := range map[string]func(f *fleet, j *job){
		"suspected":     func(_ *fleet, j *job) { j.findTask(modeler.TaskID{}).suspicion = investigator.Suspicion{Crashes: 1} },
		"late":          func(f *fleet, _ *job) { f.now = f.now.Add(1200 * time.Millisecond) },
		"not slower":    func(f *fleet, _ *job) { f.cfg.RemoteFactor = 1 },
		"not preferred": func(_ *fleet, j *job) { j.Steps[0].DataRack = "" },
	} {
		t.Run(name, func(t *testing.T) {
			f, _, far := newRackFleet(t)
			j := f.submit("qp0", modeler.Step{Count: 1, Need: modeler.Resources{CPU: 16_000}, Estimate: time.Second, DataRack: "r1"})
			change(f, j)
			require.Equal(t, 1, f.pass())
			require.Len(t, far.tasks, 1)
			require.Zero(t, countWaits(j))
		})
	}
}

// A gang must wait until all its members have room in one rack, and keep no room there
// meanwhile.
func TestGangWaitsForOneRack(t *testing.T) {
	f, near, _ := newRackFleet(t)
	j := f.submit("qp0", modeler.Step{Count: 2, Need: modeler.Resources{CPU: 16_000}, Estimate: time.Second, DataRack: "r1", Gang: true})
	for i := 0; near.used.CPU > 0; i++ {
		require.Zero(t, f.pass(), fmt.Sprint(i))
		require.Equal(t, 1, countWaits(j))
		f.now = f.now.Add(100 * time.Millisecond)
		f.endRuns(near)
	}
	require.Equal(t, 2, f.pass())
	require.Len(t, near.tasks, 2)
}
