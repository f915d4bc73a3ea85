package orchestrator_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/emulator"
	"github.com/coltsfootlever/coltsfootlever/keeper"
	"github.com/coltsfootlever/coltsfootlever/modeler"
	"github.com/coltsfootlever/coltsfootlever/orchestrator"
)

// The store names the worker with the earlier run, because the restart of the task could not be stored.
func TestNewLeaderKeepsANewerRunOnItsRecordedWorker(t *testing.T) {
	runScenario(t, 1, func(s *deployment) {
		s.taskFleet.RunOutcome = func(modeler.TaskID, int) (time.Duration, modeler.EndKind) { return -1, modeler.EndDone }
		s.taskFleet.StopTime = time.Second
		s.taskFleet.StartDelay = func(_ modeler.TaskID, number int) time.Duration {
			if number == 1 {
				return 3 * time.Second
			}
			return 0
		}
		first := s.startEntry("one")
		time.Sleep(time.Second)
		stored := false
		s.store.InjectFaults(func(f *emulator.MetaStoreFaults) {
			f.LoseCommitResponse = func(txn keeper.Txn) (bool, time.Duration) {
				if len(txn.Put) == 0 || txn.Put[0].Key != orchestrator.ProgressKey("j1") {
					return false, 0
				}
				lost := stored
				stored = true
				return lost, time.Hour
			}
		})
		s.submit(longRunningJob("j1", 1))
		time.Sleep(time.Second)
		require.Equal(t, 1, s.taskFleet.RunCountOfJob("j1"))
		s.store.InjectFaults(func(f *emulator.MetaStoreFaults) { f.LoseCommitResponse = nil })
		first.crash()
		s.instances.Add(modeler.Instance{Name: "other", Pool: "p", Zone: "z", Capacity: modeler.Resources{CPU: 4000, Memory: 8000}}, true)
		second := s.startEntry("two")
		time.Sleep(5 * time.Second)
		require.Equal(t, 1, s.taskFleet.StartedRuns(taskID("j1", 0, 0)))
		require.Equal(t, 1, s.taskFleet.RunCountOfJob("j1"))
		second.stopGracefully()
	})
}

// Leaders of two terms may give the same number to runs on different workers.
func TestTaskIsNotPlacedBesideAnOrphanedRunThatIsStopping(t *testing.T) {
	for name, gang := range map[string]bool{"single": false, "gang": true} {
		t.Run(name, func(t *testing.T) {
			runScenario(t, 3, func(s *deployment) {
				s.taskFleet.RunOutcome = func(modeler.TaskID, int) (time.Duration, modeler.EndKind) { return -1, modeler.EndDone }
				s.taskFleet.StopTime = time.Second
				second, _ := s.startEntryAfterOrphanedRun(shortJob("j1", modeler.Step{Count: 2, Need: modeler.Resources{CPU: 1000}, Gang: gang}))
				time.Sleep(500 * time.Millisecond)
				require.Equal(t, 1, s.taskFleet.StoppingRunCount())
				require.Equal(t, gang, s.taskFleet.StartedRuns(taskID("j1", 0, 1)) == 1, "only a gang waits as a whole")
				time.Sleep(time.Second)
				require.Equal(t, 2, s.taskFleet.RunCountOfJob("j1"))
				require.Equal(t, 3, s.taskFleet.StartedRuns(taskID("j1", 0, 0)))
				require.Equal(t, 2, s.taskFleet.StartedRuns(taskID("j1", 0, 1)))
				second.stopGracefully()
			})
		})
	}
}

func TestEndOfOrphanedRunIsCertainWithoutAReport(t *testing.T) {
	for name, lose := range map[string]func(s *deployment, instance string){
		"unresponsive": func(s *deployment, instance string) {
			s.taskFleet.SetUnresponsive(s.instances.WorkerOf(instance), true)
			time.Sleep(testLease / 2)
			require.Equal(s.t, 2, s.taskFleet.StartedRuns(taskID("j1", 0, 0)), "its lease has not expired")
			time.Sleep(testLease/2 + time.Second)
		},
		"replaced": func(s *deployment, instance string) {
			s.instances.RestartWorker(instance)
			time.Sleep(time.Second)
		},
	} {
		t.Run(name, func(t *testing.T) {
			runScenario(t, 3, func(s *deployment) {
				s.taskFleet.RunOutcome = func(modeler.TaskID, int) (time.Duration, modeler.EndKind) { return -1, modeler.EndDone }
				s.taskFleet.StopTime = time.Hour
				time.Sleep(time.Minute) // a worker that started lately may have a longer lease
				second, instance := s.startEntryAfterOrphanedRun(longRunningJob("j1", 1))
				lose(s, instance)
				require.Equal(t, 3, s.taskFleet.StartedRuns(taskID("j1", 0, 0)))
				require.Equal(t, 1, s.taskFleet.RunCountOfJob("j1"))
				second.stopGracefully()
			})
		})
	}
}

func TestEndOnAnotherWorkerDoesNotRequeueARunningTask(t *testing.T) {
	runScenario(t, 2, func(s *deployment) {
		s.taskFleet.RunOutcome = func(modeler.TaskID, int) (time.Duration, modeler.EndKind) { return -1, modeler.EndDone }
		first := s.startEntry("one")
		time.Sleep(time.Second)
		s.store.InjectFaults(func(f *emulator.MetaStoreFaults) {
			f.LoseCommitResponse = func(txn keeper.Txn) (bool, time.Duration) {
				return len(txn.Put) > 0 && txn.Put[0].Key == orchestrator.ProgressKey("j1"), time.Hour
			}
		})
		s.submit(longRunningJob("j1", 1))
		time.Sleep(500 * time.Millisecond)
		silent := s.instances.WorkerOf(s.instancesWithTasks("a", "b")[0])
		s.taskFleet.SetUnresponsive(silent, true)
		s.store.InjectFaults(func(f *emulator.MetaStoreFaults) { f.LoseCommitResponse = nil })
		first.crash()
		second := s.startEntry("two")
		time.Sleep(15 * time.Second)
		require.Equal(t, 1, s.taskFleet.RunCountOfJob("j1"))
		require.Equal(t, 2, s.taskFleet.StartedRuns(taskID("j1", 0, 0)))
		s.taskFleet.SetUnresponsive(silent, false) // its run has lapsed and has the number of the present run
		time.Sleep(3 * time.Second)
		require.Equal(t, 1, s.taskFleet.RunCountOfJob("j1"))
		require.Equal(t, 2, s.taskFleet.StartedRuns(taskID("j1", 0, 0)))
		second.stopGracefully()
	})
}

func TestRunStopsAndKeepsItsRoomUntilItsEndWhenAnEarlierRunIsDone(t *testing.T) {
	runScenario(t, 2, func(s *deployment) {
		s.taskFleet.StopTime = time.Second
		s.taskFleet.RunOutcome = func(id modeler.TaskID, number int) (time.Duration, modeler.EndKind) {
			if id.Job == "j1" && number == 1 {
				return 2 * time.Second, modeler.EndDone
			}
			return time.Minute, modeler.EndDone
		}
		e := s.startEntry("one")
		time.Sleep(time.Second)
		s.submit(shortJob("j1", modeler.Step{Count: 1, Need: modeler.Resources{CPU: 3000}}))
		time.Sleep(500 * time.Millisecond)
		silent := s.instances.WorkerOf(s.instancesWithTasks("a", "b")[0])
		s.cutOff(silent, true)
		time.Sleep(10 * time.Second)
		require.Equal(t, 2, s.taskFleet.StartedRuns(taskID("j1", 0, 0)))
		present := s.instances.WorkerOf(s.instancesWithTasks("a", "b")[0])
		require.NotEqual(t, silent, present)
		s.taskFleet.SetDraining(silent)
		s.submit(shortJob("j2", modeler.Step{Count: 1, Need: modeler.Resources{CPU: 3000}}))
		time.Sleep(time.Second)
		s.cutOff(silent, false)
		for range 400 {
			time.Sleep(10 * time.Millisecond)
			require.LessOrEqual(t, s.taskFleet.RunCountOnWorker(present), 1)
		}
		require.Equal(t, modeler.Completed, s.jobState("j1"))
		require.Zero(t, s.taskFleet.RunCountOfJob("j1"))
		require.Equal(t, 1, s.taskFleet.RunCountOfJob("j2"))
		e.stopGracefully()
	})
}

func TestGangMembersShareARunNumberAfterARunThatWasNotStored(t *testing.T) {
	runScenario(t, 3, func(s *deployment) {
		var numbers [2]int // of the last runs
		s.taskFleet.RunOutcome = func(id modeler.TaskID, number int) (time.Duration, modeler.EndKind) {
			numbers[id.Index] = number
			if number == 5 {
				return 3 * time.Second, modeler.EndAlone
			}
			return -1, modeler.EndDone
		}
		first := s.startEntry("one")
		time.Sleep(time.Second)
		s.submit(shortJob("j1", modeler.Step{Count: 2, Need: modeler.Resources{CPU: 1000}, Gang: true}))
		time.Sleep(500 * time.Millisecond)
		first.crash()
		for _, name := range []string{"a", "b", "c"} {
			s.instances.RestartWorker(name)
		}
		_, err := s.taskFleet.Start(t.Context(), modeler.Worker{ID: s.instances.WorkerOf("a")}, modeler.StartOrder{Task: taskID("j1", 0, 1), Run: 5, DeadlineMs: 1 << 40})
		require.NoError(t, err)
		second := s.startEntry("two")
		time.Sleep(5 * time.Second)
		require.Equal(t, 2, s.taskFleet.RunCountOfJob("j1"))
		require.Equal(t, [2]int{6, 6}, numbers)
		second.stopGracefully()
	})
}

func TestLeaderStoppedWhileItWaitsForAWorkerDoesNotHandOver(t *testing.T) {
	runScenario(t, 3, func(s *deployment) {
		s.taskFleet.RunOutcome = func(modeler.TaskID, int) (time.Duration, modeler.EndKind) { return -1, modeler.EndDone }
		first := s.startEntry("one")
		time.Sleep(time.Second)
		s.loseWritesOf(orchestrator.ProgressKey("j1"))
		s.submit(longRunningJob("j1", 1))
		time.Sleep(500 * time.Millisecond)
		silent := s.instances.WorkerOf(s.instancesWithTasks("a", "b", "c")[0])
		s.taskFleet.SetUnresponsive(silent, true)
		s.loseNoWrites()
		first.crash()
		second := s.startEntry("two")
		s.waitForLeader("two")
		time.Sleep(400 * time.Millisecond)
		second.stopGracefully()
		third := s.startEntry("three")
		s.waitForLeader("three")
		time.Sleep(time.Second)
		require.Equal(t, 1, s.taskFleet.StartedRuns(taskID("j1", 0, 0)))
		time.Sleep(12 * time.Second)
		require.Equal(t, 1, s.taskFleet.RunCountOfJob("j1"))
		require.Equal(t, 2, s.taskFleet.StartedRuns(taskID("j1", 0, 0)))
		third.stopGracefully()
	})
}

func TestLeaderStoppedWhileAnOrphanedRunStopsDoesNotHandOver(t *testing.T) {
	runScenario(t, 3, func(s *deployment) {
		s.taskFleet.RunOutcome = func(modeler.TaskID, int) (time.Duration, modeler.EndKind) { return -1, modeler.EndDone }
		s.taskFleet.StopTime = 3 * time.Second
		second, instance := s.startEntryAfterOrphanedRun(longRunningJob("j1", 1))
		time.Sleep(100 * time.Millisecond)
		second.stopGracefully()
		require.Equal(t, 1, s.taskFleet.StoppingRunCount())
		third := s.startEntry("three")
		third.unreachableWorkers.Store(s.instances.WorkerOf(instance), true)
		time.Sleep(13 * time.Second)
		third.stopGracefully()
		require.Empty(t, s.taskFleet.Violations())
		require.Equal(t, 1, s.taskFleet.RunCountOfJob("j1"))
	})
}

func TestNewLeaderWaitsForAWorkerWhoseRegistrationExpires(t *testing.T) {
	runScenario(t, 3, func(s *deployment) {
		s.taskFleet.RunOutcome = func(modeler.TaskID, int) (time.Duration, modeler.EndKind) { return -1, modeler.EndDone }
		first := s.startEntry("one")
		time.Sleep(time.Second)
		s.loseWritesOf(orchestrator.ProgressKey("j1"))
		s.submit(longRunningJob("j1", 1))
		time.Sleep(500 * time.Millisecond)
		silent := s.instances.WorkerOf(s.instancesWithTasks("a", "b", "c")[0])
		s.taskFleet.SetUnresponsive(silent, true)
		s.loseNoWrites()
		first.crash()
		second := s.startEntry("two")
		s.waitForLeader("two")
		time.Sleep(100 * time.Millisecond)
		s.taskFleet.SetRegistered(silent, false)
		time.Sleep(2 * time.Second)
		require.Equal(t, 1, s.taskFleet.StartedRuns(taskID("j1", 0, 0)))
		time.Sleep(12 * time.Second)
		require.Equal(t, 1, s.taskFleet.RunCountOfJob("j1"))
		second.stopGracefully()
	})
}

// A worker full of other long-running tasks never gets room for the task, however much CPU it has.
func TestLongRunningTaskIsPlacedDespiteOthersThatFillTheMemory(t *testing.T) {
	runScenario(t, 2, func(s *deployment) {
		s.manifest.Pools = s.manifest.Pools[:1] // without a spare pool no instance moves
		s.manifest.Index()
		s.taskFleet.RunOutcome = func(id modeler.TaskID, _ int) (time.Duration, modeler.EndKind) {
			if id.Job == "first" || id.Job == "second" {
				return -1, modeler.EndDone
			}
			return time.Second + time.Duration(id.Index)*70*time.Millisecond, modeler.EndDone
		}
		e := s.startEntry("one")
		first, second := longRunningJob("first", 1), longRunningJob("second", 1)
		first.Steps[0].Need = modeler.Resources{CPU: 100, Memory: 7500}
		second.Steps[0].Need = modeler.Resources{CPU: 3900, Memory: 5000}
		s.submit(first)
		time.Sleep(2 * time.Second)
		for i := range 40 {
			s.submit(shortJob("j"+string(rune('a'+i)), modeler.Step{Count: 8, Need: modeler.Resources{CPU: 900, Memory: 500}}))
		}
		time.Sleep(2 * time.Second)
		s.submit(second)
		time.Sleep(4 * time.Second)
		require.Equal(t, 1, s.taskFleet.RunCountOfJob("second"))
		e.stopGracefully()
	})
}

// No worker may be kept free for a task that finds no room even after all other tasks have ended.
func TestLongRunningTaskIsPlacedBesideOneThatFitsNowhere(t *testing.T) {
	runScenario(t, 1, func(s *deployment) {
		s.taskFleet.RunOutcome = func(modeler.TaskID, int) (time.Duration, modeler.EndKind) { return -1, modeler.EndDone }
		e := s.startEntry("one")
		s.submit(longRunningJob("first", 1))
		time.Sleep(time.Second)
		large := longRunningJob("large", 1)
		large.Steps[0].Need.CPU = 3500
		s.submit(large)
		time.Sleep(time.Second)
		s.submit(longRunningJob("small", 1))
		time.Sleep(3 * time.Second)
		require.Equal(t, 1, s.taskFleet.RunCountOfJob("small"))
		e.stopGracefully()
	})
}

func TestWorkerIsNotTakenForReplacedBecauseAnEarlierClockWasAhead(t *testing.T) {
	runScenario(t, 2, func(s *deployment) {
		s.keepInstances()
		s.taskFleet.RunOutcome = func(modeler.TaskID, int) (time.Duration, modeler.EndKind) { return -1, modeler.EndDone }
		s.taskFleet.ClockOffset = 5 * time.Second
		s.instances.RestartWorker("a")
		s.taskFleet.ClockOffset = 0
		s.taskFleet.RemovedListTime = 3 * time.Second
		e := s.startEntry("one")
		time.Sleep(time.Second)
		s.instances.RestartWorker("a")
		for i := range 60 {
			s.submit(shortJob(fmt.Sprintf("j%d", i), modeler.Step{Count: 1, Need: modeler.Resources{CPU: 100}}))
			time.Sleep(100 * time.Millisecond)
		}
		e.stopGracefully()
	})
}

// The new leader learns of the runs only by their ends, after the job has become too
// late to meet its objective.
func TestLaterStepsOfAJobRunWhoseFirstStepWasNotStored(t *testing.T) {
	runScenario(t, 2, func(s *deployment) {
		s.taskFleet.RunOutcome = func(modeler.TaskID, int) (time.Duration, modeler.EndKind) {
			return 500 * time.Millisecond, modeler.EndDone
		}
		first := s.startEntry("one")
		time.Sleep(time.Second)
		s.loseWritesOf(orchestrator.ProgressKey("j1"))
		s.submit(shortJob("j1",
			modeler.Step{Count: 2, Need: modeler.Resources{CPU: 1000}, Estimate: 500 * time.Millisecond},
			modeler.Step{Count: 2, Need: modeler.Resources{CPU: 1000}, Estimate: 500 * time.Millisecond, After: []int{0}},
		))
		time.Sleep(300 * time.Millisecond)
		require.Equal(t, 2, s.taskFleet.RunCountOfJob("j1"))
		for _, instance := range []string{"a", "b"} {
			s.cutOff(s.instances.WorkerOf(instance), true)
		}
		first.crash()
		time.Sleep(3 * time.Second)
		s.loseNoWrites()
		second := s.startEntry("two")
		time.Sleep(2 * time.Second)
		for _, instance := range []string{"a", "b"} {
			s.cutOff(s.instances.WorkerOf(instance), false)
		}
		time.Sleep(8 * time.Second)
		require.Equal(t, modeler.Completed, s.jobState("j1"))
		require.Equal(t, 1, s.taskFleet.StartedRuns(taskID("j1", 0, 0)))
		second.stopGracefully()
	})
}

// A planned stop must not wait for a store that doesn't respond: the process is killed
// after its grace period, and what it could hand over is lost then.
func TestPlannedStopEndsWithinTheGracePeriod(t *testing.T) {
	for name, hangs := range map[string]bool{"calls fail": false, "calls hang": true} {
		t.Run(name, func(t *testing.T) {
			runScenario(t, 3, func(s *deployment) {
				e := s.startEntry("one")
				time.Sleep(time.Second)
				s.submit(shortJob("j1"))
				s.store.InjectFaults(func(f *emulator.MetaStoreFaults) {
					f.Down = true
					if hangs {
						f.Delay = time.Minute
					}
				})
				time.Sleep(200 * time.Millisecond)
				began := time.Now()
				e.stopGracefully()
				require.LessOrEqual(t, time.Since(began), 2*time.Second)
			})
		})
	}
}
