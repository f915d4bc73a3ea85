package orchestrator_test

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/modeler"
	"github.com/coltsfootlever/coltsfootlever/orchestrator"
)

// Guards against a new leader that does not know of a start whose placement was not stored.
func TestTaskRunsOnceThoughAnUnstoredStartOfTheFormerLeaderIsLate(t *testing.T) {
	for name, lost := range map[string]bool{"not stored": true, "stored": false} {
		t.Run(name, func(t *testing.T) {
			runScenario(t, 2, func(s *deployment) {
				first, worker := s.startOldDeployment()
				second := s.startEntry("two")
				s.cutOff(s.instances.WorkerOf("b"), true)
				time.Sleep(25 * time.Second)
				if lost {
					s.loseWritesOf(orchestrator.ProgressKey("j1"))
				}
				s.lateFirstCall("j1", 11*time.Second)
				s.submit(shortJob("j1", modeler.Step{Count: 1, Need: modeler.Resources{CPU: 1000}}))
				time.Sleep(500 * time.Millisecond)
				s.taskFleet.SetDraining(worker)
				first.crash()
				s.loseNoWrites()
				s.cutOff(s.instances.WorkerOf("b"), false)
				s.waitForLeader("two")
				time.Sleep(5 * time.Second)
				s.taskFleet.RestartUnderSameID(worker)
				s.cutOff(worker, true)
				time.Sleep(90 * time.Second)
				require.Equal(t, modeler.Completed, s.jobState("j1"))
				second.stopGracefully()
			})
		})
	}
}

// Guards against an instance list that is older than the return of a worker.
func TestTaskRunsOnceThoughAGoneWorkerReturnsWithALateStart(t *testing.T) {
	runScenario(t, 2, func(s *deployment) {
		var hidden sync.Map
		s.instances.FilterList = func(name string) (bool, error) { _, h := hidden.Load(name); return !h, nil }
		e, worker := s.startOldDeployment()
		s.cutOff(s.instances.WorkerOf("b"), true)
		time.Sleep(25 * time.Second)
		s.lateFirstCall("j1", 11900*time.Millisecond)
		s.submit(shortJob("j1", modeler.Step{Count: 1, Need: modeler.Resources{CPU: 1000}}))
		time.Sleep(50 * time.Millisecond)
		s.cutOff(worker, true)
		hidden.Store("a", true)
		s.cutOff(s.instances.WorkerOf("b"), false)
		time.Sleep(11450 * time.Millisecond)
		s.taskFleet.RestartUnderSameID(worker)
		s.cutOff(worker, true)
		time.Sleep(1500 * time.Millisecond)
		hidden.Delete("a") // within 2 s of the restart
		time.Sleep(90 * time.Second)
		require.Equal(t, modeler.Completed, s.jobState("j1"))
		e.stopGracefully()
	})
}

// Guards against tasks in the room of a start that may still be carried out.
func TestLateStartFindsItsRoom(t *testing.T) {
	runScenario(t, 1, func(s *deployment) {
		e, worker := s.startOldDeployment()
		time.Sleep(25 * time.Second)
		s.lateFirstCall("j1", 11*time.Second)
		s.submit(shortJob("j1", modeler.Step{Count: 1, Need: modeler.Resources{CPU: 4000}}))
		time.Sleep(10800 * time.Millisecond)
		e.startDelay.Store(int64(400 * time.Millisecond))
		s.submit(shortJob("j2", modeler.Step{Count: 1, Need: modeler.Resources{CPU: 4000}}))
		time.Sleep(100 * time.Millisecond)
		s.taskFleet.RestartUnderSameID(worker)
		time.Sleep(90 * time.Second)
		require.Equal(t, modeler.Completed, s.jobState("j2"))
		e.stopGracefully()
	})
}

// Guards against tasks that use what late starts of their customer may still take.
func TestLateStartsKeepToTheirCustomersLimit(t *testing.T) {
	runScenario(t, 2, func(s *deployment) {
		s.manifest.Customers[0].Limit = modeler.Resources{CPU: 4000, Memory: 100000, GPU: 100}
		s.manifest.Index()
		e, worker := s.startOldDeployment()
		s.cutOff(s.instances.WorkerOf("b"), true)
		time.Sleep(25 * time.Second)
		s.taskFleet.LateStarts = true
		s.taskFleet.SetStartDelay(func(id modeler.TaskID, run int) time.Duration {
			if id.Job == "j1" && run == 1 {
				return 11 * time.Second
			}
			return 0
		})
		s.submit(shortJob("j1", modeler.Step{Count: 4, Need: modeler.Resources{CPU: 1000}}))
		time.Sleep(500 * time.Millisecond)
		s.cutOff(s.instances.WorkerOf("b"), false)
		time.Sleep(500 * time.Millisecond)
		s.submit(shortJob("j2", modeler.Step{Count: 4, Need: modeler.Resources{CPU: 1000}}))
		s.taskFleet.SetDraining(worker) // so that j2 runs on b
		time.Sleep(9500 * time.Millisecond)
		s.taskFleet.RestartUnderSameID(worker)
		s.cutOff(worker, true)
		time.Sleep(600 * time.Millisecond)
		running := s.taskFleet.RunCountOfJob("j1") + s.taskFleet.RunCountOfJob("j2")
		time.Sleep(90 * time.Second)
		e.stopGracefully()
		require.LessOrEqual(t, running, 5, "the limit is 4 tasks, and one more in QUOTA")
	})
}

// Guards against a late start of a long-running task beside its next run.
func TestLongRunningTaskRunsOnceThoughItsStartIsLate(t *testing.T) {
	for name, repeated := range map[string]bool{"repeated, then restarted": true, "cut off at once": false} {
		t.Run(name, func(t *testing.T) {
			runScenario(t, 2, func(s *deployment) {
				e, worker := s.startOldDeployment()
				s.taskFleet.RunOutcome = func(modeler.TaskID, int) (time.Duration, modeler.EndKind) { return -1, modeler.EndDone }
				s.cutOff(s.instances.WorkerOf("b"), true)
				time.Sleep(25 * time.Second)
				s.lateFirstCall("j1", 11500*time.Millisecond)
				s.submit(longRunningJob("j1", 1))
				time.Sleep(50 * time.Millisecond)
				if repeated {
					time.Sleep(2 * time.Second)
					require.Equal(t, 1, s.taskFleet.RunCountOnWorker(worker))
				}
				s.cutOff(s.instances.WorkerOf("b"), false)
				s.taskFleet.RestartUnderSameID(worker)
				if repeated {
					time.Sleep(700 * time.Millisecond) // the leader has found the restart
				}
				s.cutOff(worker, true)
				time.Sleep(60 * time.Second)
				e.stopGracefully()
			})
		})
	}
}

// Guards against a poll for each start whose wait is over.
func TestWorkerIsPolledOnceForAllStartsThatCannotBeLate(t *testing.T) {
	runScenario(t, 1, func(s *deployment) {
		e, _ := s.startOldDeployment()
		s.taskFleet.SetStartDelay(func(_ modeler.TaskID, run int) time.Duration {
			if run == 1 {
				return time.Hour
			}
			return 0
		})
		s.submit(shortJob("j1", modeler.Step{Count: 20, Need: modeler.Resources{CPU: 200}}))
		time.Sleep(11900 * time.Millisecond)
		before := e.polls.Load()
		time.Sleep(500 * time.Millisecond)
		require.LessOrEqual(t, e.polls.Load()-before, int64(6))
		e.stopGracefully()
	})
}

// Guards against a late start of a gang's member that was sent again, after the gang is done.
func TestGangRunsOnceThoughAMembersStartIsLate(t *testing.T) {
	runScenario(t, 1, func(s *deployment) {
		e, worker := s.startOldDeployment()
		s.taskFleet.RunOutcome = func(modeler.TaskID, int) (time.Duration, modeler.EndKind) { return time.Second, modeler.EndDone }
		s.lateFirstCall("j1", 8*time.Second)
		s.submit(shortJob("j1", modeler.Step{Count: 2, Gang: true, Need: modeler.Resources{CPU: 1000}}))
		time.Sleep(7950 * time.Millisecond)
		require.Equal(t, modeler.Completed, s.jobState("j1"))
		s.taskFleet.RestartUnderSameID(worker)
		time.Sleep(30 * time.Second)
		e.stopGracefully()
	})
}
