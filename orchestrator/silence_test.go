package orchestrator_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/modeler"
	"github.com/coltsfootlever/coltsfootlever/orchestrator"
)

func neverEnds(modeler.TaskID, int) (time.Duration, modeler.EndKind) { return -1, modeler.EndDone }

// keepInstancesInPool removes the spare pool, so that no instance moves.
func (d *deployment) keepInstancesInPool() {
	d.manifest.Pools = d.manifest.Pools[:1]
	d.manifest.Index()
}

// addInstance adds a running instance like those of newDeployment.
func (d *deployment) addInstance(name string) {
	d.instances.Add(modeler.Instance{
		Name: name, Pool: "p", Zone: "z", Labels: []string{"k", "r1"}, Capacity: modeler.Resources{CPU: 4000, Memory: 8000},
	}, true)
}

func TestDelayedRecordOfUnresponsiveWorkersDoesNotReplaceALaterOne(t *testing.T) {
	runScenario(t, 2, func(s *deployment) {
		s.taskFleet.RunOutcome = neverEnds
		s.keepInstancesInPool()
		first := s.startEntry("one")
		time.Sleep(time.Second)
		s.delayNextWriteOf(unresponsiveKey, 5*time.Second)
		silent := s.instances.WorkerOf("a")
		s.taskFleet.SetUnresponsive(silent, true)
		time.Sleep(4 * time.Second)
		s.taskFleet.SetUnresponsive(silent, false)
		time.Sleep(5 * time.Second)
		s.loseWritesOf(orchestrator.ProgressKey("j1"))
		s.taskFleet.SetDraining(s.instances.WorkerOf("b"))
		time.Sleep(time.Second)
		s.submit(longRunningJob("j1", 1))
		time.Sleep(500 * time.Millisecond)
		require.Equal(t, 1, s.taskFleet.RunCountOnWorker(silent))
		s.taskFleet.SetUnresponsive(silent, true)
		s.loseNoWrites()
		first.crash()
		s.addInstance("c")
		second := s.startEntry("two")
		time.Sleep(4 * time.Second)
		require.Equal(t, 1, s.taskFleet.StartedRuns(taskID("j1", 0, 0)))
		time.Sleep(12 * time.Second)
		require.Equal(t, 1, s.taskFleet.RunCountOfJob("j1"))
		second.stopGracefully()
	})
}

func TestNoStartOnAWorkerThatTheStoreNamesAsUnresponsive(t *testing.T) {
	for name, delayed := range map[string]bool{"named": false, "named by a write that is still in flight": true} {
		t.Run(name, func(t *testing.T) {
			runScenario(t, 2, func(s *deployment) {
				s.taskFleet.RunOutcome = neverEnds
				s.keepInstancesInPool()
				first := s.startEntry("one")
				time.Sleep(time.Second)
				if delayed {
					s.delayWritesOf(5*time.Second, unresponsiveKey)
				}
				silent := s.instances.WorkerOf("a")
				s.taskFleet.SetUnresponsive(silent, true)
				time.Sleep(4 * time.Second)
				if !delayed {
					s.loseWritesOf(unresponsiveKey, orchestrator.ProgressKey("j1"))
				}
				s.taskFleet.SetUnresponsive(silent, false)
				s.taskFleet.SetDraining(s.instances.WorkerOf("b"))
				time.Sleep(2 * time.Second)
				s.submit(longRunningJob("j1", 1))
				time.Sleep(500 * time.Millisecond)
				s.taskFleet.SetUnresponsive(silent, true)
				s.loseNoWrites()
				first.crash()
				s.addInstance("c")
				second := s.startEntry("two")
				time.Sleep(5 * time.Second)
				require.Equal(t, 1, s.taskFleet.RunCountOfJob("j1"))
				require.Equal(t, 1, s.taskFleet.StartedRuns(taskID("j1", 0, 0)))
				second.stopGracefully()
			})
		})
	}
}

func TestNoLeaseExtensionOnAWorkerThatTheStoreNamesAsUnresponsive(t *testing.T) {
	runScenario(t, 2, func(s *deployment) {
		s.taskFleet.RunOutcome = neverEnds
		s.keepInstancesInPool()
		first := s.startEntry("one")
		s.submit(longRunningJob("j1", 1))
		time.Sleep(2 * time.Second)
		silent := s.instances.WorkerOf(s.instancesWithTasks("a", "b")[0])
		s.taskFleet.SetUnresponsive(silent, true)
		time.Sleep(2 * time.Second)
		s.loseWritesOf(unresponsiveKey)
		s.taskFleet.SetUnresponsive(silent, false)
		time.Sleep(9 * time.Second)
		s.taskFleet.SetUnresponsive(silent, true)
		s.loseNoWrites()
		first.crash()
		second := s.startEntry("two")
		time.Sleep(5 * time.Second)
		require.Equal(t, 1, s.taskFleet.RunCountOfJob("j1"))
		require.Equal(t, 2, s.taskFleet.StartedRuns(taskID("j1", 0, 0)))
		second.stopGracefully()
	})
}

func TestRunOutlastsAShortSilenceOfItsWorker(t *testing.T) {
	runScenario(t, 2, func(s *deployment) {
		s.taskFleet.RunOutcome = neverEnds
		s.keepInstancesInPool()
		e := s.startEntry("one")
		s.submit(longRunningJob("j1", 1))
		time.Sleep(4 * time.Second)
		silent := s.instances.WorkerOf(s.instancesWithTasks("a", "b")[0])
		for range 3 {
			s.taskFleet.SetUnresponsive(silent, true)
			time.Sleep(3500 * time.Millisecond)
			s.taskFleet.SetUnresponsive(silent, false)
			time.Sleep(2000 * time.Millisecond)
		}
		time.Sleep(testLease)
		require.Equal(t, 1, s.taskFleet.RunCountOnWorker(silent))
		require.Equal(t, 1, s.taskFleet.StartedRuns(taskID("j1", 0, 0)))
		e.stopGracefully()
	})
}

func TestLeasesOfAnEarlierLeaderHoldAfterTheFirstPoll(t *testing.T) {
	runScenario(t, 2, func(s *deployment) {
		s.taskFleet.RunOutcome = neverEnds
		s.keepInstancesInPool()
		first := s.startEntry("one")
		s.submit(longRunningJob("j1", 1))
		time.Sleep(4 * time.Second)
		silent := s.instances.WorkerOf(s.instancesWithTasks("a", "b")[0])
		s.taskFleet.SetUnresponsive(silent, true)
		time.Sleep(1200 * time.Millisecond)
		s.loseWritesOf(unresponsiveKey)
		first.crash()
		second := s.startEntry("two")
		s.taskFleet.SetUnresponsive(silent, false)
		s.waitForLeader("two")
		time.Sleep(300 * time.Millisecond)
		s.taskFleet.SetUnresponsive(silent, true)
		time.Sleep(time.Second)
		require.Equal(t, 1, s.taskFleet.StartedRuns(taskID("j1", 0, 0)))
		time.Sleep(12 * time.Second)
		require.Equal(t, 1, s.taskFleet.RunCountOfJob("j1"))
		second.stopGracefully()
	})
}

func TestNewLeaderWaitsForAnUnresponsiveWorkerWithUnstoredRuns(t *testing.T) {
	for name, leadAgain := range map[string]bool{"recorded by the leader that started them": false, "recorded by a leader that never reached the worker": true} {
		t.Run(name, func(t *testing.T) {
			runScenario(t, 3, func(s *deployment) {
				s.taskFleet.RunOutcome = neverEnds
				s.keepInstancesInPool()
				leader := s.startEntry("one")
				time.Sleep(time.Second)
				s.loseWritesOf(orchestrator.ProgressKey("j1"))
				s.submit(longRunningJob("j1", 1))
				time.Sleep(500 * time.Millisecond)
				s.taskFleet.SetUnresponsive(s.instances.WorkerOf(s.instancesWithTasks("a", "b", "c")[0]), true)
				if leadAgain {
					s.loseNoWrites()
					leader.crash()
					leader = s.startEntry("two")
					s.waitForLeader("two")
				}
				time.Sleep(1500 * time.Millisecond)
				s.loseNoWrites()
				leader.crash()
				last := s.startEntry("three")
				s.waitForLeader("three")
				time.Sleep(500 * time.Millisecond)
				require.Equal(t, 1, s.taskFleet.StartedRuns(taskID("j1", 0, 0)))
				time.Sleep(12 * time.Second)
				require.Equal(t, 1, s.taskFleet.RunCountOfJob("j1"))
				require.Equal(t, 2, s.taskFleet.StartedRuns(taskID("j1", 0, 0)))
				last.stopGracefully()
			})
		})
	}
}

func TestRecordOfUnresponsiveWorkersForgetsWorkersThatAreGone(t *testing.T) {
	runScenario(t, 3, func(s *deployment) {
		s.keepInstancesInPool()
		first := s.startEntry("one")
		time.Sleep(time.Second)
		gone := s.instances.WorkerOf("a")
		s.taskFleet.SetUnresponsive(gone, true)
		time.Sleep(2 * time.Second)
		first.crash()
		s.instances.Remove("a")
		second := s.startEntry("two")
		time.Sleep(30 * time.Second)
		r, err := s.store.ClientFor("x").Get(t.Context(), unresponsiveKey)
		require.NoError(t, err)
		require.NotContains(t, string(r.Value), gone)
		second.stopGracefully()
	})
}
