package orchestrator_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/modeler"
	"github.com/coltsfootlever/coltsfootlever/orchestrator"
)

const lateStartTime = 11 * time.Second // after which a late start is carried out

// loseFirstRun makes workers carry out the first run of each task late and without a
// response. onStart is called when they receive it.
func (d *deployment) loseFirstRun(onStart func()) {
	d.taskFleet.LateStarts = true
	d.taskFleet.SetStartDelay(func(_ modeler.TaskID, run int) time.Duration {
		if run > 1 {
			return 0
		}
		onStart()
		return lateStartTime
	})
}

// Guards against a new leader that starts a task while a start of its predecessor may still be carried out.
func TestTaskRunsOnceThoughAStartOfTheFormerLeaderIsLate(t *testing.T) {
	for name, leave := range map[string]func(*entryNode){"crash": (*entryNode).crash, "handover": (*entryNode).stopGracefully} {
		t.Run(name, func(t *testing.T) {
			runScenario(t, 2, func(s *deployment) {
				first, worker := s.startOldDeployment()
				second := s.startEntry("two")
				s.cutOff(s.instances.WorkerOf("b"), true)
				time.Sleep(25 * time.Second)
				s.loseFirstRun(func() { first.unreachableWorkers.Store(worker, true) })
				s.submit(shortJob("j1", modeler.Step{Count: 1, Need: modeler.Resources{CPU: 1000}}))
				time.Sleep(100 * time.Millisecond)
				s.cutOff(worker, true)
				s.cutOff(s.instances.WorkerOf("b"), false)
				time.Sleep(5 * time.Second)
				s.taskFleet.RestartUnderSameID(worker)
				s.cutOff(worker, true)
				time.Sleep(7 * time.Second)
				leave(first)
				s.waitForLeader("two")
				time.Sleep(90 * time.Second)
				require.Equal(t, modeler.Completed, s.jobState("j1"))
				second.stopGracefully()
			})
		})
	}
}

// Guards against a late start that a restarted worker carries out after its former process has acknowledged the stop.
func TestTaskRunsOnceThoughAStoppedStartIsLate(t *testing.T) {
	runScenario(t, 2, func(s *deployment) {
		e, worker := s.startOldDeployment()
		s.cutOff(s.instances.WorkerOf("b"), true)
		time.Sleep(25 * time.Second)
		s.loseFirstRun(func() { e.unreachableWorkers.Store(worker, true) })
		s.submit(shortJob("j1", modeler.Step{Count: 1, Need: modeler.Resources{CPU: 1000}}))
		s.cutOff(s.instances.WorkerOf("b"), false)
		time.Sleep(100 * time.Millisecond)
		s.taskFleet.SetDraining(worker) // so that the start is stopped, not repeated
		time.Sleep(900 * time.Millisecond)
		e.unreachableWorkers.Delete(worker)
		time.Sleep(4 * time.Second)
		s.taskFleet.RestartUnderSameID(worker)
		s.cutOff(worker, true)
		time.Sleep(90 * time.Second)
		require.Equal(t, modeler.Completed, s.jobState("j1"))
		e.stopGracefully()
	})
}

// Guards against a new leader that counts with too short a lease of a process that took a start for a former one.
func TestTaskRunsOnceThoughTheNextLeaderFindsARestartedWorker(t *testing.T) {
	for name, leave := range map[string]func(*entryNode){"crash": (*entryNode).crash, "handover": (*entryNode).stopGracefully} {
		t.Run(name, func(t *testing.T) {
			runScenario(t, 2, func(s *deployment) {
				first, worker := s.startOldDeployment()
				s.taskFleet.RunOutcome = func(id modeler.TaskID, _ int) (time.Duration, modeler.EndKind) {
					if id.Job == "j1" {
						return 50 * time.Millisecond, modeler.EndDone
					}
					return longTask, modeler.EndDone
				}
				second := s.startEntry("two")
				s.cutOff(s.instances.WorkerOf("b"), true)
				time.Sleep(25 * time.Second)
				first.startDelay.Store(int64(200 * time.Millisecond))
				s.submit(shortJob("j1", modeler.Step{Count: 1, Need: modeler.Resources{CPU: 1000}}))
				time.Sleep(100 * time.Millisecond)
				s.taskFleet.RestartUnderSameID(worker)
				time.Sleep(900 * time.Millisecond)
				require.Equal(t, modeler.Completed, s.jobState("j1"))
				leave(first)
				s.waitForLeader("two")
				s.submit(shortJob("j2", modeler.Step{Count: 1, Need: modeler.Resources{CPU: 1000}}))
				time.Sleep(500 * time.Millisecond)
				require.Equal(t, 1, s.taskFleet.RunCountOnWorker(worker))
				s.cutOff(worker, true)
				s.cutOff(s.instances.WorkerOf("b"), false)
				time.Sleep(90 * time.Second)
				require.Equal(t, modeler.Completed, s.jobState("j2"))
				second.stopGracefully()
			})
		})
	}
}

// lateFirstCall makes the first start of the job's tasks late and unanswered, whatever its run.
func (d *deployment) lateFirstCall(job string, after time.Duration) {
	calls := 0
	d.taskFleet.LateStarts = true
	d.taskFleet.SetStartDelay(func(id modeler.TaskID, _ int) time.Duration {
		if id.Job != job {
			return 0
		}
		if calls++; calls == 1 {
			return after
		}
		return 0
	})
}

// Guards against a new leader that counts too short a lease of a worker that it has not reached.
func TestTaskRunsOnceThoughALateStartExtendsTheLeaseOfAnUnreachedWorker(t *testing.T) {
	for name, late := range map[string]time.Duration{"late start": 9 * time.Second, "no late start": time.Hour} {
		t.Run(name, func(t *testing.T) {
			runScenario(t, 2, func(s *deployment) {
				first, worker := s.startOldDeployment()
				second := s.startEntry("two")
				s.cutOff(s.instances.WorkerOf("b"), true)
				time.Sleep(25 * time.Second)
				s.lateFirstCall("j0", late)
				s.submit(shortJob("j0", modeler.Step{Count: 1, Need: modeler.Resources{CPU: 1000}}))
				time.Sleep(100 * time.Millisecond)
				first.startDelay.Store(int64(200 * time.Millisecond))
				s.submit(shortJob("j1", modeler.Step{Count: 2, Need: modeler.Resources{CPU: 2000}})) // the second task has no room yet
				time.Sleep(100 * time.Millisecond)
				s.taskFleet.RestartUnderSameID(worker)
				time.Sleep(300 * time.Millisecond)
				require.Equal(t, 1, s.taskFleet.RunCountOnWorker(worker))
				s.cutOff(worker, true)
				s.cutOff(s.instances.WorkerOf("b"), false)
				time.Sleep(1500 * time.Millisecond)
				first.crash()
				s.waitForLeader("two")
				time.Sleep(90 * time.Second)
				require.Equal(t, modeler.Completed, s.jobState("j1"))
				second.stopGracefully()
			})
		})
	}
}

// leaderToken returns the fencing token of the present term.
func (d *deployment) leaderToken() int64 {
	records, _, err := d.store.ClientFor("caller").List(d.t.Context(), "fleet/term")
	require.NoError(d.t, err)
	var r orchestrator.TermRecord
	require.NoError(d.t, json.Unmarshal(records[0].Value, &r))
	return r.Token
}

// Guards against late orders that are forgotten together with a worker that returns.
func TestTaskRunsOnceThoughALatePollExtendsTheLeaseOfAReturnedWorker(t *testing.T) {
	for name, late := range map[string]bool{"late poll": true, "no late poll": false} {
		t.Run(name, func(t *testing.T) {
			runScenario(t, 2, func(s *deployment) {
				e, worker := s.startOldDeployment()
				token := s.leaderToken()
				s.cutOff(s.instances.WorkerOf("b"), true)
				time.Sleep(25 * time.Second)
				s.cutOff(worker, true) // the poll in flight, which extends the lease, gets no response
				time.Sleep(8 * time.Second)
				s.taskFleet.RestartUnderSameID(worker)
				time.Sleep(time.Second)
				s.submit(shortJob("j1", modeler.Step{Count: 1, Need: modeler.Resources{CPU: 1000}}))
				time.Sleep(2700 * time.Millisecond)
				if late {
					_, err := s.taskFleet.RenewAndPoll(s.t.Context(), modeler.Worker{ID: worker}, 1<<40, token, 0, 0)
					require.NoError(t, err)
				}
				s.cutOff(worker, true)
				s.cutOff(s.instances.WorkerOf("b"), false)
				time.Sleep(90 * time.Second)
				require.Equal(t, modeler.Completed, s.jobState("j1"))
				e.stopGracefully()
			})
		})
	}
}

// Guards against members of a gang that wait in vain for one whose response was lost.
func TestGangIsCompleteThoughAResponseIsLost(t *testing.T) {
	for name, after := range map[string]time.Duration{"never carried out": time.Hour, "carried out after 5 s": 5 * time.Second} {
		t.Run(name, func(t *testing.T) {
			runScenario(t, 4, func(s *deployment) {
				e, _ := s.startOldDeployment()
				s.taskFleet.RunOutcome = func(modeler.TaskID, int) (time.Duration, modeler.EndKind) { return time.Minute, modeler.EndDone }
				s.lateFirstCall("j1", after)
				s.submit(shortJob("j1", modeler.Step{Count: 8, Gang: true, Need: modeler.Resources{CPU: 1000}}))
				time.Sleep(2900 * time.Millisecond)
				require.Equal(t, 8, s.taskFleet.RunCountOfJob("j1"), "after 2.9 s")
				e.stopGracefully()
			})
		})
	}
}

// Guards against a leader that waits for late starts of workers that were gone before its term.
func TestTasksOfGoneWorkersReturnSoonAfterTwoLeaderCrashes(t *testing.T) {
	runScenario(t, 2, func(s *deployment) {
		first, _ := s.startOldDeployment()
		s.cutOff(s.instances.WorkerOf("b"), true)
		time.Sleep(25 * time.Second)
		s.submit(shortJob("j1", modeler.Step{Count: 1, Need: modeler.Resources{CPU: 1000}}))
		time.Sleep(100 * time.Millisecond)
		require.Equal(t, 1, s.taskFleet.RunCountOfJob("j1"))
		s.cutOff(s.instances.WorkerOf("b"), false)
		s.instances.ShutDown("a")
		first.crash()
		second := s.startEntry("two")
		s.waitForLeader("two")
		time.Sleep(6 * time.Second)
		second.crash()
		third := s.startEntry("three")
		s.waitForLeader("three")
		time.Sleep(9 * time.Second)
		require.Equal(t, 1, s.taskFleet.RunCountOfJob("j1"))
		third.stopGracefully()
	})
}
