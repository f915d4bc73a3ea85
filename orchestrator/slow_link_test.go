package orchestrator_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/emulator"
	"github.com/coltsfootlever/coltsfootlever/keeper"
	"github.com/coltsfootlever/coltsfootlever/modeler"
)

// A run that was completed on a worker which only this entry node can't reach must
// not be started again when the worker's leases have expired.
func TestTasksOfAListedWorkerWaitForItsReport(t *testing.T) {
	runScenario(t, 2, func(s *deployment) {
		s.keepInstances()
		e := s.startEntry("one")
		time.Sleep(time.Second)
		s.submit(shortJob("j1", modeler.Step{Count: 2, Need: modeler.Resources{CPU: 3000}}))
		time.Sleep(500 * time.Millisecond)
		silent := s.instances.WorkerOf("a")
		s.taskFleet.SetUnresponsive(silent, true)
		time.Sleep(2 * testLease)
		require.Equal(t, modeler.Running, s.jobState("j1"))
		s.taskFleet.SetUnresponsive(silent, false)
		time.Sleep(2 * time.Second)
		require.Equal(t, modeler.Completed, s.jobState("j1"))
		for i := range 2 {
			require.Equal(t, 1, s.taskFleet.StartedRuns(taskID("j1", 0, i)))
		}
		e.stopGracefully()
	})
}

// narrowThrottle permits few starts in flight.
type narrowThrottle struct{}

func (narrowThrottle) Limit() int        { return 4 }
func (narrowThrottle) IsCongested() bool { return true }

// A pool with a long backlog must not keep the starts of another pool waiting,
// which has room for its tasks.
func TestBacklogOfAPoolLeavesOtherPoolsTheirStarts(t *testing.T) {
	runScenario(t, 4, func(s *deployment) {
		s.manifest.Pools = []modeler.Pool{{Name: "p"}, {Name: "other"}}
		s.manifest.Queues = append(s.manifest.Queues, modeler.Queue{Name: "other", Pool: "other", MaxFailedRuns: 3, ObjectiveFactor: 1.6, ObjectiveOffset: 600 * time.Millisecond})
		s.manifest.Index()
		s.instances.Add(modeler.Instance{Name: "x", Pool: "other", Zone: "z", Capacity: modeler.Resources{CPU: 4000, Memory: 8000}}, true)
		s.throttle = narrowThrottle{}
		s.taskFleet.RunOutcome = func(modeler.TaskID, int) (time.Duration, modeler.EndKind) {
			return 10 * time.Millisecond, modeler.EndDone
		}
		e := s.startEntry("one")
		time.Sleep(2 * time.Second)
		s.store.InjectFaults(func(f *emulator.MetaStoreFaults) {
			f.DelayCommitResponse = func(keeper.Txn) time.Duration { return 80 * time.Millisecond }
		})
		for i := range 40 {
			s.submit(shortJob(fmt.Sprintf("j%d", i), modeler.Step{Count: 4, Need: modeler.Resources{CPU: 100}, Estimate: 10 * time.Millisecond}))
		}
		other := shortJob("x1")
		other.Queue = "other"
		s.submit(other)
		time.Sleep(400 * time.Millisecond)
		s.requireDoneOnce("x1", 4)
		e.stopGracefully()
	})
}

// Draws how slow and lossy the way to the workers is at each moment. No task may
// be completed twice, and all jobs are completed once the way is sound again.
func TestSlowAndLossyWayToTheWorkersBreaksNoPromise(t *testing.T) {
	for seed := range uint64(200) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			runScenario(t, 4, func(s *deployment) {
				s.keepInstances()
				rng := rand.New(rand.NewPCG(seed, 1))
				e := s.startEntry("one")
				time.Sleep(time.Second)
				const jobs = 30
				for n := range jobs {
					s.drawWayToWorkers(rng, e)
					s.submit(shortJob(fmt.Sprintf("j%d", n)))
					time.Sleep(time.Duration(200+rng.IntN(3000)) * time.Millisecond)
				}
				s.repairWayToWorkers(e)
				time.Sleep(30 * time.Second)
				for n := range jobs {
					s.requireDoneOnce(fmt.Sprintf("j%d", n), 4)
				}
				e.stopGracefully()
			})
		})
	}
}

// exhaustedThrottle permits no further start.
type exhaustedThrottle struct{}

func (exhaustedThrottle) Limit() int        { return 0 }
func (exhaustedThrottle) IsCongested() bool { return true }

// The load: all starts that may be in flight are taken up. A long-running task must
// not wait for the others.
func TestLongRunningTasksStartBeyondTheLimit(t *testing.T) {
	runScenario(t, 4, func(s *deployment) {
		s.throttle = exhaustedThrottle{}
		s.taskFleet.RunOutcome = func(modeler.TaskID, int) (time.Duration, modeler.EndKind) { return -1, modeler.EndDone }
		e := s.startEntry("one")
		time.Sleep(time.Second)
		s.submit(shortJob("j1"))
		s.submit(longRunningJob("lasts", 2))
		time.Sleep(time.Second)
		require.Equal(t, 2, s.taskFleet.RunCountOfJob("lasts"))
		require.Zero(t, s.taskFleet.RunCountOfJob("j1"))
		e.stopGracefully()
	})
}

// drawWayToWorkers draws how slow and lossy an entry node's way to workers a to d
// is, and whether first starts arrive late.
func (d *deployment) drawWayToWorkers(rng *rand.Rand, e *entryNode) {
	e.pollDelay.Store(int64(rng.IntN(400)) * int64(time.Millisecond))
	e.losesRenewals.Store(rng.IntN(3) == 0)
	e.unreachableWorkers.Clear()
	for _, name := range []string{"a", "b", "c", "d"} {
		if rng.IntN(3) == 0 {
			e.unreachableWorkers.Store(d.instances.WorkerOf(name), true)
		}
	}
	lateStarts := rng.IntN(2) == 0
	delays := rand.New(rand.NewPCG(rng.Uint64(), 2)) // used by the task fleet only, which calls the function under its lock
	d.taskFleet.SetStartDelay(func(_ modeler.TaskID, run int) time.Duration {
		if lateStarts && run == 1 {
			return time.Duration(100+delays.IntN(2000)) * time.Millisecond
		}
		return 0
	})
}

// repairWayToWorkers reverts drawWayToWorkers.
func (d *deployment) repairWayToWorkers(e *entryNode) {
	e.pollDelay.Store(0)
	e.losesRenewals.Store(false)
	e.unreachableWorkers.Clear()
	d.taskFleet.SetStartDelay(nil)
}

// requireDoneOnce checks that each task of a job with one step has been completed
// once.
func (d *deployment) requireDoneOnce(job string, tasks int) {
	for i := range tasks {
		require.Equal(d.t, 1, d.taskFleet.SuccessfulRuns(taskID(job, 0, i)), "task %d of job %s", i, job)
	}
}
