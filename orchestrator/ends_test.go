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

func (d *deployment) progressOf(job string) orchestrator.Progress {
	r, err := d.store.ClientFor("x").Get(d.t.Context(), orchestrator.ProgressKey(job))
	require.NoError(d.t, err)
	p, err := orchestrator.DecodeProgress(r.Value)
	require.NoError(d.t, err)
	return p
}

func (d *deployment) storeProgress(job string, p orchestrator.Progress) {
	d.put(orchestrator.ProgressKey(job), p)
}

func TestOrphanedRunsCountTowardTheirCustomersLimit(t *testing.T) {
	const limit = 5000
	large := shortJob("j1", modeler.Step{Count: 1, Need: modeler.Resources{CPU: 3000}})
	for name, orphan := range map[string]func(s *deployment) *entryNode{
		"not the stored run": func(s *deployment) *entryNode {
			second, _ := s.startEntryAfterOrphanedRun(large)
			s.submit(shortJob("j2"))
			return second
		},
		"earlier run done": func(s *deployment) *entryNode {
			e := s.startEntry("one")
			time.Sleep(time.Second)
			s.submit(large)
			time.Sleep(500 * time.Millisecond)
			silent := s.instances.WorkerOf(s.instancesWithTasks("a", "b", "c")[0])
			s.cutOff(silent, true)
			time.Sleep(10 * time.Second)
			require.Equal(s.t, 2, s.taskFleet.StartedRuns(taskID("j1", 0, 0)))
			s.submit(shortJob("j2"))
			time.Sleep(500 * time.Millisecond)
			s.cutOff(silent, false)
			return e
		},
	} {
		t.Run(name, func(t *testing.T) {
			runScenario(t, 3, func(s *deployment) {
				s.manifest.Customers[0].Limit = modeler.Resources{CPU: limit}
				s.taskFleet.StopTime = 2 * time.Second
				s.taskFleet.RunOutcome = func(id modeler.TaskID, number int) (time.Duration, modeler.EndKind) {
					if id.Job == "j1" && number == 1 && name == "earlier run done" {
						return 2 * time.Second, modeler.EndDone
					}
					return time.Minute, modeler.EndDone
				}
				e := orphan(s)
				for range 400 {
					time.Sleep(10 * time.Millisecond)
					require.LessOrEqual(t, 3000*s.taskFleet.RunCountOfJob("j1")+1000*s.taskFleet.RunCountOfJob("j2"), limit)
				}
				require.GreaterOrEqual(t, s.taskFleet.RunCountOfJob("j2"), 2)
				e.stopGracefully()
			})
		})
	}
}

func TestFailedRunsWithOneNumberOnTwoWorkersCountAsTwoAttempts(t *testing.T) {
	runScenario(t, 2, func(s *deployment) {
		s.taskFleet.RunOutcome = func(modeler.TaskID, int) (time.Duration, modeler.EndKind) { return 3 * time.Second, modeler.EndFailed }
		first := s.startEntry("one")
		time.Sleep(time.Second)
		s.store.InjectFaults(func(f *emulator.MetaStoreFaults) {
			f.LoseCommitResponse = func(txn keeper.Txn) (bool, time.Duration) {
				return len(txn.Put) > 0 && txn.Put[0].Key == orchestrator.ProgressKey("j1"), time.Hour
			}
		})
		s.submit(shortJob("j1", modeler.Step{Count: 1, Need: modeler.Resources{CPU: 1000}}))
		time.Sleep(500 * time.Millisecond)
		silent := s.instances.WorkerOf(s.instancesWithTasks("a", "b")[0])
		s.taskFleet.SetUnresponsive(silent, true)
		s.store.InjectFaults(func(f *emulator.MetaStoreFaults) { f.LoseCommitResponse = nil })
		first.crash()
		second := s.startEntry("two")
		for s.taskFleet.StartedRuns(taskID("j1", 0, 0)) < 3 {
			time.Sleep(100 * time.Millisecond)
		}
		s.taskFleet.SetUnresponsive(silent, false) // its run has failed under the number of the second one
		time.Sleep(1500 * time.Millisecond)
		second.stopGracefully()
		third := s.startEntry("three")
		time.Sleep(6 * time.Second)
		require.Equal(t, modeler.Failed, s.jobState("j1"))
		require.Equal(t, 3, s.taskFleet.StartedRuns(taskID("j1", 0, 0)))
		third.stopGracefully()
	})
}

func TestFailedRunThatIsListedAgainCountsOnce(t *testing.T) {
	for name, forget := range map[string]func(p *orchestrator.TaskProgress){
		"worker stored":     func(*orchestrator.TaskProgress) {},
		"worker not stored": func(p *orchestrator.TaskProgress) { *p = orchestrator.TaskProgress{Run: p.Run, Failed: p.Failed} },
	} {
		t.Run(name, func(t *testing.T) {
			runScenario(t, 2, func(s *deployment) {
				s.taskFleet.RunOutcome = func(modeler.TaskID, int) (time.Duration, modeler.EndKind) { return 2 * time.Second, modeler.EndFailed }
				first := s.startEntry("one")
				time.Sleep(time.Second)
				s.submit(shortJob("j1", modeler.Step{Count: 1, Need: modeler.Resources{CPU: 1000}}))
				time.Sleep(time.Second)
				first.pollDelay.Store(int64(400 * time.Millisecond)) // the end is stored before it is acknowledged
				busy := s.instances.WorkerOf(s.instancesWithTasks("a", "b")[0])
				s.taskFleet.SetDraining(busy) // later runs start on the other worker
				progress := s.progressOf("j1")
				for len(progress.Steps[0].Tasks[0].Failed) == 0 {
					time.Sleep(10 * time.Millisecond)
					progress = s.progressOf("j1")
				}
				first.crash()
				forget(&progress.Steps[0].Tasks[0])
				s.storeProgress("j1", progress)
				second := s.startEntry("two")
				time.Sleep(20 * time.Second)
				require.Equal(t, modeler.Failed, s.jobState("j1"))
				require.Equal(t, 3, s.taskFleet.StartedRuns(taskID("j1", 0, 0)))
				second.stopGracefully()
			})
		})
	}
}

func TestEndOfAnEarlierRunDoesNotReplaceANewerCheckpoint(t *testing.T) {
	runScenario(t, 2, func(s *deployment) {
		s.taskFleet.Checkpoint = func(_ modeler.TaskID, number int) string { return fmt.Sprintf("after run %d", number) }
		s.taskFleet.RunOutcome = func(_ modeler.TaskID, number int) (time.Duration, modeler.EndKind) {
			if number == 2 {
				return time.Second, modeler.EndFailed
			}
			return -1, modeler.EndDone
		}
		e := s.startEntry("one")
		time.Sleep(time.Second)
		s.submit(longRunningJob("j1", 1))
		time.Sleep(500 * time.Millisecond)
		silent := s.instances.WorkerOf(s.instancesWithTasks("a", "b")[0])
		s.taskFleet.SetUnresponsive(silent, true)
		for s.taskFleet.StartedRuns(taskID("j1", 0, 0)) < 2 {
			time.Sleep(10 * time.Millisecond)
		}
		s.taskFleet.SetDraining(s.instances.WorkerOf(s.instancesWithTasks("a", "b")[0])) // so that the task waits after run 2
		time.Sleep(2 * time.Second)
		require.Zero(t, s.taskFleet.RunCountOfJob("j1"))
		s.taskFleet.SetUnresponsive(silent, false) // its run 1 has lapsed
		time.Sleep(2 * time.Second)
		require.Equal(t, 3, s.taskFleet.StartedRuns(taskID("j1", 0, 0)))
		require.Equal(t, "after run 2", s.taskFleet.StartCheckpoint(taskID("j1", 0, 0)))
		e.stopGracefully()
	})
}

func TestGangMembersResumeFromTheSameCheckpoint(t *testing.T) {
	members := []modeler.TaskID{taskID("j1", 0, 0), taskID("j1", 0, 1)}
	for name, restart := range map[string]func(s *deployment, e *entryNode) *entryNode{
		"after a failed run": func(_ *deployment, e *entryNode) *entryNode { return e },
		"after a change of leader": func(s *deployment, e *entryNode) *entryNode {
			e.crash()
			progress := s.progressOf("j1") // as a version stored it that kept a checkpoint for each member
			for i := range members {
				progress.Steps[0].Tasks[i].Checkpoint = fmt.Sprintf("of member %d", i)
			}
			s.storeProgress("j1", progress)
			for _, name := range []string{"a", "b"} {
				s.instances.RestartWorker(name)
			}
			return s.startEntry("two")
		},
	} {
		t.Run(name, func(t *testing.T) {
			runScenario(t, 2, func(s *deployment) {
				s.taskFleet.Checkpoint = func(id modeler.TaskID, _ int) string { return fmt.Sprintf("of member %d", id.Index) }
				s.taskFleet.RunOutcome = func(id modeler.TaskID, number int) (time.Duration, modeler.EndKind) {
					switch {
					case number > 1:
						return -1, modeler.EndDone
					case id.Index == 0:
						return 2 * time.Second, modeler.EndFailed
					}
					return 2 * time.Second, modeler.EndBroken
				}
				e := s.startEntry("one")
				time.Sleep(time.Second)
				s.submit(shortJob("j1", modeler.Step{Count: len(members), Need: modeler.Resources{CPU: 3000}, Gang: true}))
				time.Sleep(time.Second)
				e = restart(s, e)
				time.Sleep(5 * time.Second)
				require.Equal(t, len(members), s.taskFleet.RunCountOfJob("j1"))
				require.Equal(t, 2, s.taskFleet.StartedRuns(members[0]))
				require.NotEmpty(t, s.taskFleet.StartCheckpoint(members[0]))
				require.Equal(t, s.taskFleet.StartCheckpoint(members[0]), s.taskFleet.StartCheckpoint(members[1]))
				e.stopGracefully()
			})
		})
	}
}

func TestRunStartedAfterAWorkerRestartIsKeptBesideTheEndOfAnEarlierOne(t *testing.T) {
	runScenario(t, 1, func(s *deployment) {
		s.taskFleet.RunOutcome = func(_ modeler.TaskID, number int) (time.Duration, modeler.EndKind) {
			if number == 1 {
				return 10 * time.Millisecond, modeler.EndFailed
			}
			return -1, modeler.EndDone
		}
		e := s.startEntry("one")
		time.Sleep(time.Second)
		id := s.instances.WorkerOf("a")
		s.taskFleet.Remove(id)
		s.taskFleet.Add(modeler.Worker{ID: id, Pool: "p", Address: "127.0.0.1:1", Instance: "a", Labels: []string{"k", "r1"}, Capacity: modeler.Resources{CPU: 4000, Memory: 8000}})
		_, err := s.taskFleet.Start(t.Context(), modeler.Worker{ID: id}, modeler.StartOrder{Task: taskID("j1", 0, 0), Run: 1, DeadlineMs: 1 << 40}) // a late order of an earlier leader
		require.NoError(t, err)
		time.Sleep(50 * time.Millisecond)
		s.submit(longRunningJob("j1", 1)) // placed before a poll shows the restart
		time.Sleep(5 * time.Second)
		require.Equal(t, 1, s.taskFleet.RunCountOfJob("j1"))
		require.Equal(t, 2, s.taskFleet.StartedRuns(taskID("j1", 0, 0)))
		e.stopGracefully()
	})
}
