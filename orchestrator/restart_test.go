package orchestrator_test

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/keeper"
	"github.com/coltsfootlever/coltsfootlever/modeler"
	"github.com/coltsfootlever/coltsfootlever/orchestrator"
)

const longTask = 30 * time.Second // longer than any lease

// startOldDeployment prepares a test with workers that are on instances a and b and have
// been at work for so long that a deadline on their clock is beyond any lease after a
// restart. It returns an entry node that leads, and the worker on instance a.
func (d *deployment) startOldDeployment() (e *entryNode, worker string) {
	d.taskFleet.RunOutcome = func(modeler.TaskID, int) (time.Duration, modeler.EndKind) { return longTask, modeler.EndDone }
	d.outcomeQueryTime = time.Hour
	d.keepInstances()
	time.Sleep(time.Minute)
	e = d.startEntry("one")
	time.Sleep(time.Second)
	return e, d.instances.WorkerOf("a")
}

// A start for a worker's former process, carried out by the next one, extended its lease
// beyond the time at which the leader started the task again elsewhere.
func TestStartCarriedOutAfterARestartKeepsItsLease(t *testing.T) {
	for _, delay := range []time.Duration{300 * time.Millisecond, 900 * time.Millisecond, 2 * time.Second} {
		t.Run(delay.String(), func(t *testing.T) {
			runScenario(t, 2, func(s *deployment) {
				e, worker := s.startOldDeployment()
				s.cutOff(s.instances.WorkerOf("b"), true)
				time.Sleep(20 * time.Second)
				e.startDelay.Store(int64(delay))
				s.submit(shortJob("j1", modeler.Step{Count: 1, Need: modeler.Resources{CPU: 1000}}))
				time.Sleep(delay / 2)
				s.taskFleet.RestartUnderSameID(worker)
				time.Sleep(delay/2 + 150*time.Millisecond)
				require.Equal(t, 1, s.taskFleet.RunCountOnWorker(worker))
				e.startDelay.Store(0)
				s.cutOff(worker, true)
				s.cutOff(s.instances.WorkerOf("b"), false)
				time.Sleep(90 * time.Second)
				require.Equal(t, modeler.Completed, s.jobState("j1"))
				e.stopGracefully()
			})
		})
	}
}

// The next leader took a worker's lease to be one that its predecessor had extended on the
// clock of the present process.
func TestStartCarriedOutAfterARestartKeepsItsLeaseUnderTheNextLeader(t *testing.T) {
	runScenario(t, 2, func(s *deployment) {
		e, worker := s.startOldDeployment()
		second := s.startEntry("two")
		s.cutOff(s.instances.WorkerOf("b"), true)
		time.Sleep(20 * time.Second)
		e.startDelay.Store(int64(200 * time.Millisecond))
		s.submit(shortJob("j1", modeler.Step{Count: 1, Need: modeler.Resources{CPU: 1000}}))
		time.Sleep(100 * time.Millisecond)
		s.taskFleet.RestartUnderSameID(worker)
		time.Sleep(150 * time.Millisecond)
		require.Equal(t, 1, s.taskFleet.RunCountOnWorker(worker))
		e.crash()
		s.waitForLeader("two")
		time.Sleep(100 * time.Millisecond)
		s.cutOff(worker, true)
		s.cutOff(s.instances.WorkerOf("b"), false)
		time.Sleep(90 * time.Second)
		require.Equal(t, modeler.Completed, s.jobState("j1"))
		second.stopGracefully()
	})
}

// A worker that had acknowledged the stop of a start without a response restarted, forgot
// the stop, and carried out the start although its task was at work elsewhere.
func TestStartIsStoppedAgainAfterARestart(t *testing.T) {
	runScenario(t, 2, func(s *deployment) {
		e, worker := s.startOldDeployment()
		s.cutOff(s.instances.WorkerOf("b"), true)
		time.Sleep(20 * time.Second)
		s.taskFleet.LateStarts = true
		s.taskFleet.SetStartDelay(func(_ modeler.TaskID, run int) time.Duration {
			if run == 1 {
				return 5 * time.Second
			}
			return 0
		})
		s.submit(shortJob("j1", modeler.Step{Count: 1, Need: modeler.Resources{CPU: 1000}}))
		s.cutOff(s.instances.WorkerOf("b"), false)
		time.Sleep(500 * time.Millisecond)
		s.taskFleet.SetDraining(worker) // so that the next run is on the other worker
		time.Sleep(2 * time.Second)
		require.Zero(t, s.taskFleet.RunCountOfJob("j1"))
		s.taskFleet.RestartUnderSameID(worker)
		time.Sleep(90 * time.Second)
		require.Equal(t, modeler.Completed, s.jobState("j1"))
		require.Equal(t, 1, s.taskFleet.StartedRuns(taskID("j1", 0, 0)), "run 2: run 1 is stopped")
		e.stopGracefully()
	})
}

// A task that was done ran again in the next process of its worker, which carried out the
// first call of its start: the start had been sent again meanwhile.
func TestDoneTaskDoesNotRunAgainInTheNextProcessOfItsWorker(t *testing.T) {
	runScenario(t, 1, func(s *deployment) {
		e, worker := s.startOldDeployment()
		s.taskFleet.RunOutcome = func(modeler.TaskID, int) (time.Duration, modeler.EndKind) { return time.Second, modeler.EndDone }
		s.taskFleet.LateStarts = true
		calls := 0
		s.taskFleet.SetStartDelay(func(modeler.TaskID, int) time.Duration {
			if calls++; calls == 1 {
				return 5 * time.Second
			}
			return 0
		})
		s.submit(shortJob("j1", modeler.Step{Count: 1, Need: modeler.Resources{CPU: 1000}}))
		time.Sleep(4700 * time.Millisecond)
		s.taskFleet.RestartUnderSameID(worker)
		s.cutOff(worker, true) // so that the late start comes before the stop
		time.Sleep(5 * time.Second)
		s.cutOff(worker, false)
		time.Sleep(40 * time.Second)
		require.Equal(t, modeler.Completed, s.jobState("j1"))
		require.Equal(t, 1, s.taskFleet.SuccessfulRuns(taskID("j1", 0, 0)))
		e.stopGracefully()
	})
}

// The next leader knew nothing of a start without a response, and started the task elsewhere
// while its worker, which had restarted and was cut off, carried the start out.
func TestNextLeaderAwaitsAStartWithoutAResponse(t *testing.T) {
	for name, stopped := range map[string]bool{"placed": false, "prevented by a stop": true} {
		t.Run(name, func(t *testing.T) {
			runScenario(t, 2, func(s *deployment) {
				e, worker := s.startOldDeployment()
				second := s.startEntry("two")
				s.cutOff(s.instances.WorkerOf("b"), true)
				time.Sleep(20 * time.Second)
				s.taskFleet.LateStarts = true
				s.taskFleet.SetStartDelay(func(_ modeler.TaskID, run int) time.Duration {
					if run == 1 {
						return 11 * time.Second
					}
					return 0
				})
				s.submit(shortJob("j1", modeler.Step{Count: 1, Need: modeler.Resources{CPU: 1000}}))
				s.cutOff(s.instances.WorkerOf("b"), false)
				time.Sleep(500 * time.Millisecond)
				if stopped {
					s.taskFleet.SetDraining(worker)
					time.Sleep(3 * time.Second)
				}
				e.crash()
				s.waitForLeader("two")
				time.Sleep(time.Second)
				s.taskFleet.RestartUnderSameID(worker)
				s.cutOff(worker, true)
				time.Sleep(40 * time.Second)
				s.cutOff(worker, false)
				time.Sleep(40 * time.Second)
				require.Equal(t, modeler.Completed, s.jobState("j1"))
				second.stopGracefully()
			})
		})
	}
}

var (
	recutSeeds = flag.Int("recut-seeds", 20, "number of seeds of TestTasksRunOnceWhileWorkersRestartAndAreCutOff")
	recutSeed  = flag.Uint64("recut-seed", 1, "first seed of TestTasksRunOnceWhileWorkersRestartAndAreCutOff")
)

// recutWorkers restarts some workers under their IDs and cuts them off soon after. Starts
// that are on their way meanwhile are carried out by the next process.
func (d *faultyDeployment) recutWorkers() {
	for _, e := range d.entries {
		e.startDelay.Store(d.rng.Int64N(int64(1200 * time.Millisecond)))
	}
	time.Sleep(time.Duration(d.rng.Int64N(int64(time.Second))))
	dark := time.Duration(d.rng.Int64N(int64(700 * time.Millisecond)))
	var workers []string
	for _, name := range d.instances.Names() {
		if id := d.instances.WorkerOf(name); id != "" && d.rng.Float64() < 0.5 {
			workers = append(workers, id)
			d.taskFleet.SetUnresponsive(id, dark > 0)
		}
	}
	time.Sleep(dark)
	for _, id := range workers {
		d.taskFleet.RestartUnderSameID(id)
	}
	if d.rng.IntN(2) == 0 {
		d.replaceEntry((*entryNode).crash)
	}
	time.Sleep(time.Duration(d.rng.Int64N(int64(3 * time.Second))))
	for _, e := range d.entries {
		e.startDelay.Store(0)
	}
	for _, id := range workers {
		d.cutOff(id, true)
	}
	time.Sleep(5*time.Second + time.Duration(d.rng.Int64N(int64(20*time.Second))))
	for _, id := range workers {
		d.cutOff(id, false)
	}
}

// Guards against runs of a process that the leader doesn't know of: calls for a worker's
// former process reach the next one, which is then cut off, while long tasks run.
func TestTasksRunOnceWhileWorkersRestartAndAreCutOff(t *testing.T) {
	for n := range uint64(*recutSeeds) {
		seed := *recutSeed + n
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			runScenario(t, 6, func(s *deployment) { s.runTasksWhileWorkersAreRecut(seed, 2*time.Second, 0) })
		})
	}
}

// Guards against starts that a worker carries out seconds late, in a process that it has
// started since, while their task runs elsewhere.
func TestLongTasksRunOnceThoughRestartedWorkersStartThemLate(t *testing.T) {
	runRecutSeeds(t, 11*time.Second)
}

// Like TestLongTasksRunOnceThoughRestartedWorkersStartThemLate, with tasks that may also end
// before the late start of one of their runs.
func TestTasksRunOnceThoughRestartedWorkersStartThemLate(t *testing.T) {
	runRecutSeeds(t, 2*time.Second)
}

// runRecutSeeds plays deployments whose workers carry out a fifth of the starts late.
func runRecutSeeds(t *testing.T, shortestTask time.Duration) {
	for n := range uint64(*recutSeeds) {
		seed := *recutSeed + n
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			runScenario(t, 6, func(s *deployment) { s.runTasksWhileWorkersAreRecut(seed, shortestTask, 0.2) })
		})
	}
}

// runTasksWhileWorkersAreRecut hands in a job each second while recutWorkers is called
// repeatedly, and waits until all jobs are completed. A share of the starts is carried out
// late and gets no response.
func (d *deployment) runTasksWhileWorkersAreRecut(seed uint64, shortestTask time.Duration, lateShare float64) {
	const jobCount = 60
	f := &faultyDeployment{deployment: d, rng: rand.New(rand.NewPCG(seed, 0)), delayRNG: rand.New(rand.NewPCG(seed, 1))}
	if f.setLateShare(lateShare); lateShare > 0 {
		d.taskFleet.LateStarts = true
		d.taskFleet.SetStartDelay(func(modeler.TaskID, int) time.Duration { return f.randomDelay() })
	}
	d.outcomeQueryTime = time.Hour
	d.keepInstances()
	d.taskFleet.RunOutcome = func(id modeler.TaskID, _ int) (time.Duration, modeler.EndKind) {
		return shortestTask + time.Duration(id.Index%3*9)*time.Second, modeler.EndDone
	}
	time.Sleep(time.Minute) // so that the workers' clocks are ahead of those of later processes
	for range 3 {
		f.startAnotherEntry()
	}
	time.Sleep(2 * time.Second)
	go func() {
		for n := range jobCount {
			d.store.PutAsOperator(longTasks(fmt.Sprint("job", n)))
			time.Sleep(time.Second)
		}
	}()
	for range 2 { // after three crashes a task may be given up
		f.recutWorkers()
		time.Sleep(time.Duration(f.rng.Int64N(int64(5 * time.Second))))
	}
	time.Sleep(3 * time.Minute)
	for n := range jobCount {
		d.requireState(modeler.Completed, fmt.Sprint("job", n))
	}
	for _, e := range f.entries {
		e.stopGracefully()
	}
}

// longTasks returns the record of a new job with tasks of different durations.
func longTasks(id string) keeper.Put {
	j := shortJob(id, modeler.Step{Count: 3, Need: modeler.Resources{CPU: 500}})
	j.Accepted = time.Now()
	return keeper.Put{Key: orchestrator.JobKey(id), Value: orchestrator.EncodeJobRecord(&j)}
}
