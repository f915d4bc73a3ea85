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

func taskID(job string, step, index int) modeler.TaskID {
	return modeler.TaskID{Job: job, Step: step, Index: index}
}

func TestStepsRunInOrder(t *testing.T) {
	runScenario(t, 2, func(s *deployment) {
		e := s.startEntry("one")
		need := modeler.Resources{CPU: 1000, Memory: 100}
		s.submit(shortJob("j1", modeler.Step{Count: 2, Need: need}, modeler.Step{Count: 3, Need: need, After: []int{0}}))
		time.Sleep(900 * time.Millisecond)
		require.Equal(t, modeler.Running, s.jobState("j1"))
		require.Zero(t, s.taskFleet.StartedRuns(taskID("j1", 1, 0)))
		time.Sleep(2 * time.Second)
		require.Equal(t, modeler.Completed, s.jobState("j1"))
		require.Equal(t, 1, s.taskFleet.StartedRuns(taskID("j1", 1, 2)))
		e.stopGracefully()
	})
}

func TestJobFailsWhenATaskUsesUpItsAttempts(t *testing.T) {
	runScenario(t, 1, func(s *deployment) {
		s.taskFleet.RunOutcome = func(modeler.TaskID, int) (time.Duration, modeler.EndKind) { return time.Second, modeler.EndFailed }
		e := s.startEntry("one")
		s.submit(shortJob("j1", modeler.Step{Count: 1, Need: modeler.Resources{CPU: 1000}}))
		time.Sleep(10 * time.Second)
		require.Equal(t, modeler.Failed, s.jobState("j1"))
		require.Equal(t, 3, s.taskFleet.StartedRuns(taskID("j1", 0, 0)))
		e.stopGracefully()
	})
}

func TestCustomerLimitAppliesAcrossJobs(t *testing.T) {
	runScenario(t, 3, func(s *deployment) {
		s.manifest.Customers[0].Limit = modeler.Resources{CPU: 5000}
		e := s.startEntry("one")
		s.submit(shortJob("j1"))
		s.submit(shortJob("j2"))
		time.Sleep(500 * time.Millisecond)
		require.Equal(t, 5, s.taskFleet.RunCountOfJob("j1")+s.taskFleet.RunCountOfJob("j2"))
		time.Sleep(4 * time.Second)
		require.Equal(t, modeler.Completed, s.jobState("j2"))
		e.stopGracefully()
	})
}

func TestOtherJobDoesNotStartWhileAnOrphanedRunUsesUpTheLimit(t *testing.T) {
	runScenario(t, 3, func(s *deployment) {
		s.taskFleet.RunOutcome = neverEnds
		s.taskFleet.StopTime = 3 * time.Second
		s.manifest.Customers[0].Limit = modeler.Resources{CPU: 3000}
		e, _ := s.startEntryAfterOrphanedRun(shortJob("j1", modeler.Step{Count: 1, Need: modeler.Resources{CPU: 3000}}))
		s.submit(shortJob("j2", modeler.Step{Count: 1, Need: modeler.Resources{CPU: 3000}}))
		time.Sleep(time.Second)
		require.Equal(t, 1, s.taskFleet.RunCountOfJob("j1"))
		require.Zero(t, s.taskFleet.RunCountOfJob("j2"))
		e.stopGracefully()
	})
}

func TestCancelledJobStopsRunning(t *testing.T) {
	runScenario(t, 2, func(s *deployment) {
		s.taskFleet.RunOutcome = func(modeler.TaskID, int) (time.Duration, modeler.EndKind) { return -1, modeler.EndDone }
		e := s.startEntry("one")
		s.submit(longRunningJob("j1", 3))
		time.Sleep(time.Second)
		require.Equal(t, 3, s.taskFleet.RunCountOfJob("j1"))
		_, _, err := s.store.ClientFor("caller").Commit(t.Context(), keeper.Txn{Put: []keeper.Put{{Key: orchestrator.CancelKey("j1"), Value: []byte("{}")}}})
		require.NoError(t, err)
		require.Equal(t, modeler.Cancelled, s.jobState("j1"))
		time.Sleep(time.Second)
		require.Zero(t, s.taskFleet.RunCountOfJob("j1"))
		require.Equal(t, modeler.Cancelled, s.jobState("j1"))
		e.stopGracefully()
	})
}

// A start that the worker executes seconds late must not run next to the run
// that replaced it.
func TestDelayedStartRunsOnlyOnce(t *testing.T) {
	runScenario(t, 2, func(s *deployment) {
		s.taskFleet.StartDelay = func(id modeler.TaskID, number int) time.Duration {
			if id.Index == 0 && number == 1 {
				return 3 * time.Second
			}
			return 0
		}
		e := s.startEntry("one")
		s.submit(shortJob("j1"))
		time.Sleep(10 * time.Second)
		require.Equal(t, modeler.Completed, s.jobState("j1"))
		require.Equal(t, 1, s.taskFleet.StartedRuns(taskID("j1", 0, 0)))
		e.stopGracefully()
	})
}

func TestNewLeaderLosesNoTaskAndRunsNoneTwice(t *testing.T) {
	for name, end := range map[string]func(e *entryNode){"stopped": (*entryNode).stopGracefully, "killed": (*entryNode).crash} {
		t.Run(name, func(t *testing.T) {
			runScenario(t, 3, func(s *deployment) {
				first := s.startEntry("one")
				time.Sleep(time.Second)
				second := s.startEntry("two")
				s.submit(shortJob("j1", modeler.Step{Count: 4, Need: modeler.Resources{CPU: 1000}}, modeler.Step{Count: 4, Need: modeler.Resources{CPU: 1000}, After: []int{0}}))
				time.Sleep(500 * time.Millisecond)
				end(first)
				time.Sleep(6 * time.Second)
				require.Equal(t, modeler.Completed, s.jobState("j1"))
				for i := range 4 {
					require.Equal(t, 1, s.taskFleet.StartedRuns(taskID("j1", 0, i)))
				}
				second.stopGracefully()
			})
		})
	}
}

// Polls of an unresponsive worker must not extend its leases; otherwise its
// tasks would never be requeued. See docs/operating/incidents/silent-worker.md.
func TestTasksOfUnresponsiveWorkerRunElsewhereAfterLeaseExpiry(t *testing.T) {
	runScenario(t, 2, func(s *deployment) {
		s.taskFleet.RunOutcome = func(modeler.TaskID, int) (time.Duration, modeler.EndKind) { return -1, modeler.EndDone }
		e := s.startEntry("one")
		s.submit(longRunningJob("j1", 2))
		time.Sleep(2 * time.Second)
		silent := s.instances.WorkerOf(s.instancesWithTasks("a", "b")[0])
		s.taskFleet.SetUnresponsive(silent, true)
		time.Sleep(testLease + 2*time.Second)
		require.Equal(t, 2, s.taskFleet.RunCountOfJob("j1"))
		require.Zero(t, s.taskFleet.RunCountOnWorker(silent))
		e.stopGracefully()
	})
}

// When leaders change repeatedly, each new leader must use the stored lease
// expiry of an unresponsive worker instead of waiting for the full time again.
func TestNewLeaderUsesStoredLeaseExpiryOfUnresponsiveWorkers(t *testing.T) {
	runScenario(t, 2, func(s *deployment) {
		s.taskFleet.RunOutcome = func(modeler.TaskID, int) (time.Duration, modeler.EndKind) { return -1, modeler.EndDone }
		e := s.startEntry("first")
		s.submit(longRunningJob("j1", 2))
		time.Sleep(2 * time.Second)
		silent := s.instances.WorkerOf(s.instancesWithTasks("a", "b")[0])
		s.taskFleet.SetUnresponsive(silent, true)
		began := time.Now()
		for i := range 6 {
			time.Sleep(3 * time.Second)
			e.stopGracefully()
			e = s.startEntry(string(rune('0' + i)))
		}
		require.LessOrEqual(t, time.Since(began), 19*time.Second)
		require.Equal(t, 2, s.taskFleet.RunCountOfJob("j1"))
		e.stopGracefully()
	})
}

// A new worker on an instance proves that the old worker has ended, so its
// tasks can be requeued at once.
func TestNewWorkerOnInstanceRequeuesTasksOfTheOldOne(t *testing.T) {
	runScenario(t, 2, func(s *deployment) {
		s.taskFleet.RunOutcome = func(modeler.TaskID, int) (time.Duration, modeler.EndKind) { return -1, modeler.EndDone }
		e := s.startEntry("one")
		s.submit(longRunningJob("j1", 6))
		time.Sleep(time.Second)
		old := s.instances.WorkerOf("a")
		s.taskFleet.Remove(old)
		s.taskFleet.Add(modeler.Worker{ID: "w-new", Pool: "p", Address: "127.0.0.1:1", Instance: "a", Labels: []string{"k", "r1"}, Capacity: modeler.Resources{CPU: 4000, Memory: 8000}})
		time.Sleep(2500 * time.Millisecond)
		require.Equal(t, 6, s.taskFleet.RunCountOfJob("j1"))
		e.stopGracefully()
	})
}

// A write that the store executes late must not overwrite a later write;
// otherwise the next leader would expect a run on a worker where it no longer
// is.
func TestDelayedWriteDoesNotOverwriteALaterOne(t *testing.T) {
	runScenario(t, 2, func(s *deployment) {
		s.taskFleet.RunOutcome = func(_ modeler.TaskID, number int) (time.Duration, modeler.EndKind) {
			if number == 1 {
				return time.Second, modeler.EndFailed
			}
			return -1, modeler.EndDone
		}
		lost := false
		s.store.InjectFaults(func(f *emulator.MetaStoreFaults) {
			f.LoseCommitResponse = func(txn keeper.Txn) (bool, time.Duration) {
				if lost || len(txn.Put) == 0 || txn.Put[0].Key != orchestrator.ProgressKey("j1") {
					return false, 0
				}
				lost = true
				return true, 3 * time.Second
			}
		})
		first := s.startEntry("one")
		time.Sleep(time.Second)
		s.submit(longRunningJob("j1", 1))
		time.Sleep(4 * time.Second)
		first.crash()
		second := s.startEntry("two")
		time.Sleep(5 * time.Second)
		require.True(t, lost)
		require.Equal(t, 1, s.taskFleet.RunCountOfJob("j1"))
		require.Equal(t, 2, s.taskFleet.StartedRuns(taskID("j1", 0, 0)))
		second.stopGracefully()
	})
}

// Leases of running tasks must last through a store outage of several seconds.
func TestStoreOutageEndsNoRunningTask(t *testing.T) {
	runScenario(t, 2, func(s *deployment) {
		s.taskFleet.RunOutcome = func(modeler.TaskID, int) (time.Duration, modeler.EndKind) { return -1, modeler.EndDone }
		e := s.startEntry("one")
		s.submit(longRunningJob("j1", 4))
		time.Sleep(2 * time.Second)
		s.store.InjectFaults(func(f *emulator.MetaStoreFaults) { f.Down = true })
		time.Sleep(9 * time.Second)
		s.store.InjectFaults(func(f *emulator.MetaStoreFaults) { f.Down = false })
		time.Sleep(4 * time.Second)
		require.Equal(t, 4, s.taskFleet.RunCountOfJob("j1"))
		for i := range 4 {
			require.Equal(t, 1, s.taskFleet.StartedRuns(taskID("j1", 0, i)))
		}
		e.stopGracefully()
	})
}

// A large long-running task must find room although small tasks fill each gap.
func TestLargeLongRunningTaskIsPlacedDespiteSmallTasks(t *testing.T) {
	runScenario(t, 2, func(s *deployment) {
		s.taskFleet.RunOutcome = func(id modeler.TaskID, _ int) (time.Duration, modeler.EndKind) {
			if id.Job == "big" {
				return -1, modeler.EndDone
			}
			return time.Second + time.Duration(id.Index)*70*time.Millisecond, modeler.EndDone
		}
		e := s.startEntry("one")
		for i := range 40 {
			s.submit(shortJob("j"+string(rune('a'+i)), modeler.Step{Count: 8, Need: modeler.Resources{CPU: 900}}))
		}
		time.Sleep(2 * time.Second)
		big := longRunningJob("big", 1)
		big.Steps[0].Need.CPU = 3900
		s.submit(big)
		time.Sleep(4 * time.Second)
		require.Equal(t, 1, s.taskFleet.RunCountOfJob("big"))
		e.stopGracefully()
	})
}

func TestDrainingWorkerGetsNoNewTasks(t *testing.T) {
	runScenario(t, 2, func(s *deployment) {
		e := s.startEntry("one")
		time.Sleep(time.Second)
		s.taskFleet.SetDraining(s.instances.WorkerOf("a"))
		time.Sleep(time.Second)
		s.submit(shortJob("j1"))
		time.Sleep(500 * time.Millisecond)
		require.Zero(t, s.taskFleet.RunCountOnWorker(s.instances.WorkerOf("a")))
		require.Equal(t, 4, s.taskFleet.RunCountOfJob("j1"))
		e.stopGracefully()
	})
}

func TestOccurrencesStartWhenDue(t *testing.T) {
	runScenario(t, 2, func(s *deployment) {
		e := s.startEntry("one")
		j := shortJob("j1", modeler.Step{Count: 1, Need: modeler.Resources{CPU: 1000}})
		j.Repeat, j.FirstDue, j.Interval = 2, time.Now().Add(3*time.Second), 2*time.Second
		s.submit(j)
		second := modeler.TaskID{Job: "j1", Occurrence: 1}
		time.Sleep(2900 * time.Millisecond)
		require.Zero(t, s.taskFleet.StartedRuns(taskID("j1", 0, 0)))
		time.Sleep(400 * time.Millisecond)
		require.Equal(t, 1, s.taskFleet.StartedRuns(taskID("j1", 0, 0)))
		require.Zero(t, s.taskFleet.StartedRuns(second))
		time.Sleep(2 * time.Second)
		require.Equal(t, 1, s.taskFleet.StartedRuns(second))
		time.Sleep(2 * time.Second)
		require.Equal(t, modeler.Completed, s.jobState("j1"))
		e.stopGracefully()
	})
}

// A task that uses idle CPU must not keep a serving task over its latency
// target.
func TestFillerTaskIsSlowedDownBesideServingTask(t *testing.T) {
	runScenario(t, 1, func(s *deployment) {
		s.taskFleet.RunOutcome = func(modeler.TaskID, int) (time.Duration, modeler.EndKind) { return -1, modeler.EndDone }
		s.taskFleet.ReportedLoad = func(id modeler.TaskID, pace map[modeler.TaskID]int) int {
			if id.Job != "serving" {
				return 0
			}
			return 40 + pace[taskID("filling", 0, 0)]
		}
		e := s.startEntry("one")
		serving := longRunningJob("serving", 1)
		serving.Steps[0].LatencyTarget = 80 * time.Millisecond
		s.submit(serving)
		time.Sleep(2 * time.Second)
		filling := longRunningJob("filling", 1)
		filling.Steps[0].UsesIdleCPU = true
		s.submit(filling)
		over := 0
		for range 100 {
			time.Sleep(100 * time.Millisecond)
			if s.taskFleet.PaceOf(taskID("filling", 0, 0)) > 40 {
				over++
			} else {
				over = 0
			}
			require.Less(t, over, 30)
		}
		require.Equal(t, 1, s.taskFleet.RunCountOfJob("filling"))
		e.stopGracefully()
	})
}

func TestGangStartsTogetherOrNotAtAll(t *testing.T) {
	runScenario(t, 2, func(s *deployment) {
		e := s.startEntry("one")
		s.submit(shortJob("j1", modeler.Step{Count: 6, Need: modeler.Resources{CPU: 1000}}))
		time.Sleep(100 * time.Millisecond)
		s.submit(shortJob("gang", modeler.Step{Count: 4, Need: modeler.Resources{CPU: 1000}, Gang: true}))
		time.Sleep(700 * time.Millisecond)
		require.Zero(t, s.taskFleet.RunCountOfJob("gang"))
		time.Sleep(700 * time.Millisecond)
		require.Equal(t, 4, s.taskFleet.RunCountOfJob("gang"))
		time.Sleep(2 * time.Second)
		require.Equal(t, modeler.Completed, s.jobState("gang"))
		e.stopGracefully()
	})
}

// During a store outage the tasks of accepted jobs continue, and the outcome is
// stored when the store is available again.
func TestAcceptedJobsContinueDuringStoreOutage(t *testing.T) {
	runScenario(t, 2, func(s *deployment) {
		e := s.startEntry("one")
		time.Sleep(time.Second)
		need := modeler.Resources{CPU: 1000}
		s.submit(shortJob("j1", modeler.Step{Count: 2, Need: need}, modeler.Step{Count: 2, Need: need, After: []int{0}}))
		time.Sleep(500 * time.Millisecond)
		s.store.InjectFaults(func(f *emulator.MetaStoreFaults) { f.Down = true })
		time.Sleep(2 * time.Second)
		require.Equal(t, 1, s.taskFleet.StartedRuns(taskID("j1", 1, 0)))
		s.store.InjectFaults(func(f *emulator.MetaStoreFaults) { f.Down = false })
		time.Sleep(4 * time.Second)
		require.Equal(t, modeler.Completed, s.jobState("j1"))
		e.stopGracefully()
	})
}

// A leader whose writes get no response starts tasks before their placement is
// stored. The next leader cannot reach the worker and must not start the same
// task a second time before the lease has expired.
func TestNewLeaderDoesNotRepeatStartsThatWereNotStored(t *testing.T) {
	runScenario(t, 3, func(s *deployment) {
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
		require.Equal(t, 1, s.taskFleet.RunCountOfJob("j1"), "the first leader does not wait for the store")
		for _, name := range s.instancesWithTasks("a", "b", "c") {
			s.taskFleet.SetUnresponsive(s.instances.WorkerOf(name), true)
		}
		s.store.InjectFaults(func(f *emulator.MetaStoreFaults) { f.LoseCommitResponse = nil })
		first.crash()
		second := s.startEntry("two")
		time.Sleep(4 * time.Second)
		require.Equal(t, 1, s.taskFleet.StartedRuns(taskID("j1", 0, 0)))
		time.Sleep(12 * time.Second)
		require.Equal(t, 1, s.taskFleet.RunCountOfJob("j1"))
		require.Equal(t, 2, s.taskFleet.StartedRuns(taskID("j1", 0, 0)))
		second.stopGracefully()
	})
}

// A worker that registers after the previous leader has ended must not delay
// inherited tasks, even if it never responds. See
// docs/operating/incidents/late-worker.md.
func TestUnresponsiveNewWorkerDoesNotDelayInheritedTasks(t *testing.T) {
	runScenario(t, 2, func(s *deployment) {
		first := s.startEntry("one")
		time.Sleep(time.Second)
		s.submit(shortJob("j1", modeler.Step{Count: 12, Need: modeler.Resources{CPU: 2000}, Estimate: time.Second}))
		time.Sleep(500 * time.Millisecond)
		first.crash()
		second := s.startEntry("two")
		time.Sleep(2500 * time.Millisecond) // until entry node two leads
		s.instances.Add(modeler.Instance{Name: "late", Pool: "p", Zone: "z", Capacity: modeler.Resources{CPU: 4000, Memory: 8000}}, true)
		s.taskFleet.SetUnresponsive(s.instances.WorkerOf("late"), true)
		time.Sleep(5 * time.Second)
		require.Equal(t, modeler.Completed, s.jobState("j1"))
		second.stopGracefully()
	})
}

// A worker that is still listed after its instance has started a new worker
// must not delay inherited tasks.
func TestReplacedWorkerDoesNotDelayInheritedTasks(t *testing.T) {
	runScenario(t, 3, func(s *deployment) {
		s.taskFleet.RemovedListTime = 9 * time.Second
		first := s.startEntry("one")
		time.Sleep(time.Second)
		s.submit(shortJob("j1", modeler.Step{Count: 12, Need: modeler.Resources{CPU: 2000}, Estimate: time.Second}))
		time.Sleep(500 * time.Millisecond)
		first.crash()
		for _, name := range []string{"a", "b"} {
			s.instances.RestartWorker(name)
		}
		second := s.startEntry("two")
		time.Sleep(6 * time.Second)
		require.Equal(t, modeler.Completed, s.jobState("j1"))
		second.stopGracefully()
	})
}

// Failed runs that the previous leader saw but could not store must count as
// attempts, in whatever order their ends are reported.
func TestNewLeaderCountsFailedRunsThatWereNotStored(t *testing.T) {
	runScenario(t, 3, func(s *deployment) {
		s.taskFleet.RunOutcome = func(modeler.TaskID, int) (time.Duration, modeler.EndKind) {
			return 700 * time.Millisecond, modeler.EndFailed
		}
		first := s.startEntry("one")
		time.Sleep(time.Second)
		s.store.InjectFaults(func(f *emulator.MetaStoreFaults) {
			f.LoseCommitResponse = func(txn keeper.Txn) (bool, time.Duration) {
				return len(txn.Put) > 0 && txn.Put[0].Key == orchestrator.ProgressKey("j1"), time.Hour
			}
		})
		s.submit(shortJob("j1", modeler.Step{Count: 1, Need: modeler.Resources{CPU: 1000}}))
		time.Sleep(1500 * time.Millisecond)
		require.Equal(t, 2, s.taskFleet.StartedRuns(taskID("j1", 0, 0)))
		s.store.InjectFaults(func(f *emulator.MetaStoreFaults) { f.LoseCommitResponse = nil })
		first.crash()
		second := s.startEntry("two")
		time.Sleep(10 * time.Second)
		require.Equal(t, modeler.Failed, s.jobState("j1"))
		require.Equal(t, 3, s.taskFleet.StartedRuns(taskID("j1", 0, 0)))
		second.stopGracefully()
	})
}

// When a pool is full, customers get resources in proportion to their weights.
func TestFullPoolIsSharedByWeight(t *testing.T) {
	runScenario(t, 4, func(s *deployment) {
		s.manifest.Customers = []modeler.Customer{{Name: "large", Weight: 3}, {Name: "small", Weight: 1}}
		s.manifest.Pools = s.manifest.Pools[:1]
		s.manifest.Index()
		e := s.startEntry("one")
		time.Sleep(time.Second)
		var large, small int
		for i := range 300 {
			for _, customer := range []string{"small", "large"} {
				j := shortJob(fmt.Sprintf("%s-%d", customer, i), modeler.Step{Count: 1, Need: modeler.Resources{CPU: 500}, Estimate: time.Second})
				j.Customer = customer
				s.submit(j)
			}
			time.Sleep(20 * time.Millisecond)
			if i > 150 {
				large += s.taskFleet.RunCountOfJobPrefix("large-")
				small += s.taskFleet.RunCountOfJobPrefix("small-")
			}
		}
		require.InDelta(t, 3, float64(large)/float64(small), 0.6)
		e.stopGracefully()
	})
}

func TestRecordsOfEndedJobsAreRemoved(t *testing.T) {
	runScenario(t, 1, func(s *deployment) {
		e := s.startEntry("one")
		s.submit(shortJob("j1"))
		time.Sleep(35 * time.Second)
		require.Equal(t, modeler.Completed, s.jobState("j1"))
		time.Sleep(10 * time.Second)
		for _, prefix := range []string{orchestrator.JobPrefix, orchestrator.ProgressKey("")} {
			records, _, err := s.store.ClientFor("x").List(t.Context(), prefix)
			require.NoError(t, err)
			require.Empty(t, records)
		}
		e.stopGracefully()
	})
}

// A restarted worker with the same ID numbers its ended runs from the
// beginning. None of them may be acknowledged with a number from before the
// restart.
func TestRunEndsAfterWorkerRestartAreNotLost(t *testing.T) {
	runScenario(t, 1, func(s *deployment) {
		e := s.startEntry("one")
		s.submit(shortJob("before"))
		time.Sleep(2 * time.Second)
		require.Equal(t, modeler.Completed, s.jobState("before"))
		id := s.instances.WorkerOf("a")
		s.taskFleet.Remove(id)
		s.taskFleet.Add(modeler.Worker{ID: id, Pool: "p", Address: "127.0.0.1:1", Instance: "a", Labels: []string{"k", "r1"}, Capacity: modeler.Resources{CPU: 4000, Memory: 8000}})
		s.submit(shortJob("after"))
		time.Sleep(6 * time.Second)
		require.Equal(t, modeler.Completed, s.jobState("after"))
		for i := range 4 {
			require.Equal(t, 1, s.taskFleet.StartedRuns(taskID("after", 0, i)))
		}
		e.stopGracefully()
	})
}

// If the response to a start was lost and the job was cancelled meanwhile, the
// run must be stopped once it turns out to have started.
func TestUnconfirmedStartOfCancelledJobIsStopped(t *testing.T) {
	runScenario(t, 1, func(s *deployment) {
		s.taskFleet.RunOutcome = func(modeler.TaskID, int) (time.Duration, modeler.EndKind) { return -1, modeler.EndDone }
		s.taskFleet.StartDelay = func(modeler.TaskID, int) time.Duration { return 50 * time.Millisecond }
		e := s.startEntry("one")
		time.Sleep(3 * time.Second)
		e.pollDelay.Store(int64(200 * time.Millisecond))
		s.submit(longRunningJob("j1", 1))
		time.Sleep(100 * time.Millisecond)
		require.Equal(t, 1, s.taskFleet.RunCountOfJob("j1"))
		_, _, err := s.store.ClientFor("caller").Commit(t.Context(), keeper.Txn{Put: []keeper.Put{{Key: orchestrator.CancelKey("j1"), Value: []byte("{}")}}})
		require.NoError(t, err)
		time.Sleep(3 * time.Second)
		require.Zero(t, s.taskFleet.RunCountOfJob("j1"))
		e.stopGracefully()
	})
}

// Tasks that are slower when spread over several racks are placed on one rack
// that has room for all of them.
func TestStepKeepsToOneRack(t *testing.T) {
	runScenario(t, 2, func(s *deployment) {
		s.taskFleet.RunOutcome = func(modeler.TaskID, int) (time.Duration, modeler.EndKind) { return -1, modeler.EndDone }
		for _, name := range []string{"x", "y"} {
			s.instances.Add(modeler.Instance{Name: name, Pool: "p", Zone: "z", Labels: []string{"k", "r2"}, Capacity: modeler.Resources{CPU: 4000, Memory: 8000}}, true)
		}
		e := s.startEntry("one")
		time.Sleep(500 * time.Millisecond)
		s.submit(longRunningJob("filler", 3))
		time.Sleep(500 * time.Millisecond)
		j := longRunningJob("j1", 8)
		j.Steps[0].SameRack = true
		s.submit(j)
		time.Sleep(500 * time.Millisecond)
		require.Equal(t, 8, s.taskFleet.RunCountOnWorker(s.instances.WorkerOf("x"))+s.taskFleet.RunCountOnWorker(s.instances.WorkerOf("y")))
		require.Equal(t, 8, s.taskFleet.RunCountOfJob("j1"))
		e.stopGracefully()
	})
}

// A leader that cannot reach most workers must resign so that an entry node
// that can reach them leads. See docs/operating/incidents/weak-leader.md.
func TestLeaderThatReachesFewWorkersResigns(t *testing.T) {
	runScenario(t, 10, func(s *deployment) {
		s.manifest.Pools = s.manifest.Pools[:1] // without a spare pool no instance moves
		s.manifest.Index()
		first := s.startEntry("one")
		time.Sleep(time.Second)
		second := s.startEntry("two")
		first.disconnected.Store(true)
		time.Sleep(time.Second)
		s.submit(shortJob("j1"))
		time.Sleep(5 * time.Second)
		require.Equal(t, modeler.Completed, s.jobState("j1"))
		first.stopGracefully()
		second.stopGracefully()
	})
}
