package orchestrator_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/elector"
	"github.com/coltsfootlever/coltsfootlever/emulator"
	"github.com/coltsfootlever/coltsfootlever/keeper"
	"github.com/coltsfootlever/coltsfootlever/modeler"
	"github.com/coltsfootlever/coltsfootlever/orchestrator"
)

const termKey = "fleet/term" // key of the term record

// keepInstances removes the spare pool, so that no instance moves.
func (d *deployment) keepInstances() {
	d.manifest.Pools = d.manifest.Pools[:1]
	d.manifest.Index()
}

// replaceWhileWatching lets the calls of the entry node to the store fail, while
// its open watches continue, until another one leads and has read the jobs.
func (e *entryNode) replaceWhileWatching() {
	e.deployment.store.InjectFaults(func(f *emulator.MetaStoreFaults) { f.WatchOnlyClients[e.name] = true })
	for e.deployment.leads(e.name) {
		time.Sleep(10 * time.Millisecond)
	}
	time.Sleep(50 * time.Millisecond)
}

// leads reports whether the leader record names the entry node or is missing.
func (d *deployment) leads(name string) bool {
	r, err := d.store.ClientFor("operator").Get(d.t.Context(), elector.Key)
	require.NoError(d.t, err)
	return r.Revision == 0 || strings.HasPrefix(string(r.Value), name+"/")
}

func TestLeaderWithExpiredLeaseDoesNotStartJobsAcceptedLater(t *testing.T) {
	runScenario(t, 2, func(s *deployment) {
		s.keepInstances()
		first := s.startEntry("one")
		time.Sleep(time.Second)
		second := s.startEntry("two")
		second.unreachableWorkers.Store(s.instances.WorkerOf("a"), true)
		first.unreachableWorkers.Store(s.instances.WorkerOf("b"), true)
		first.replaceWhileWatching()
		s.submit(shortJob("j1", modeler.Step{Count: 1, Need: modeler.Resources{CPU: 1000}}))
		time.Sleep(5 * time.Second)
		first.stopGracefully()
		second.stopGracefully()
		require.Equal(t, modeler.Completed, s.jobState("j1"))
		require.Equal(t, 1, s.taskFleet.StartedRuns(taskID("j1", 0, 0)))
	})
}

func TestLeaderWithExpiredLeaseDoesNotUseWorkersRestartedLater(t *testing.T) {
	runScenario(t, 2, func(s *deployment) {
		s.taskFleet.RunOutcome = func(modeler.TaskID, int) (time.Duration, modeler.EndKind) { return -1, modeler.EndDone }
		s.keepInstances()
		first := s.startEntry("one")
		time.Sleep(time.Second)
		second := s.startEntry("two")
		first.unreachableWorkers.Store(s.instances.WorkerOf("a"), true)
		first.unreachableWorkers.Store(s.instances.WorkerOf("b"), true)
		time.Sleep(2500 * time.Millisecond)
		s.submit(longRunningJob("j1", 1))
		time.Sleep(100 * time.Millisecond)
		first.replaceWhileWatching()
		time.Sleep(100 * time.Millisecond)
		require.Equal(t, 1, s.taskFleet.RunCountOfJob("j1"), "the second leader has polled both workers")
		idle := s.instances.WorkerOf("a")
		if s.taskFleet.RunCountOnWorker(idle) > 0 {
			idle = s.instances.WorkerOf("b")
		}
		second.unreachableWorkers.Store(idle, true)
		s.taskFleet.RestartUnderSameID(idle)
		first.unreachableWorkers.Delete(idle)
		time.Sleep(5 * time.Second)
		first.stopGracefully()
		second.stopGracefully()
		require.Equal(t, 1, s.taskFleet.StartedRuns(taskID("j1", 0, 0)))
	})
}

// A leader that had been replaced took a run to be lost with its worker. The next leader
// had acknowledged the end of the run before the worker ended.
func TestLeaderWithExpiredLeaseDoesNotRepeatRunsLostLater(t *testing.T) {
	runScenario(t, 1, func(s *deployment) {
		s.keepInstances()
		s.taskFleet.RunOutcome = func(modeler.TaskID, int) (time.Duration, modeler.EndKind) { return 4 * time.Second, modeler.EndDone }
		first := s.startEntry("one")
		time.Sleep(time.Second)
		s.submit(shortJob("j1", modeler.Step{Count: 1, Need: modeler.Resources{CPU: 1000}}))
		time.Sleep(time.Second)
		require.Equal(t, 1, s.taskFleet.RunCountOfJob("j1"))
		second := s.startEntry("two")
		s.instances.Add(modeler.Instance{Name: "other", Pool: "p", Zone: "z", Labels: []string{"k", "r1"}, Capacity: modeler.Resources{CPU: 4000, Memory: 8000}}, true)
		second.unreachableWorkers.Store(s.instances.WorkerOf("other"), true) // so that its fencing token stops no start there
		time.Sleep(time.Second)
		first.unreachableWorkers.Store(s.instances.WorkerOf("a"), true)
		first.replaceWhileWatching()
		for s.jobState("j1") != modeler.Completed {
			time.Sleep(10 * time.Millisecond)
		}
		leader, err := s.store.ClientFor("x").Get(t.Context(), elector.Key)
		require.NoError(t, err)
		require.NoError(t, s.instances.ClientFor("two").Move(t.Context(), "a", "spare", leader.Revision))
		time.Sleep(10 * time.Second)
		require.Equal(t, 1, s.taskFleet.StartedRuns(taskID("j1", 0, 0)))
		first.stopGracefully()
		second.stopGracefully()
	})
}

func TestDeposedLeaderDoesNotStartTasksWhosePlacementIsStored(t *testing.T) {
	runScenario(t, 2, func(s *deployment) {
		s.taskFleet.RunOutcome = func(modeler.TaskID, int) (time.Duration, modeler.EndKind) { return -1, modeler.EndDone }
		s.keepInstances()
		delayed := make(map[string]bool)
		s.store.InjectFaults(func(f *emulator.MetaStoreFaults) {
			f.DelayCommitResponse = func(txn keeper.Txn) time.Duration {
				if len(txn.Put) == 0 || delayed[txn.Put[0].Key] || txn.Put[0].Key != termKey && txn.Put[0].Key != orchestrator.ProgressKey("j1") {
					return 0
				}
				delayed[txn.Put[0].Key] = true
				return 15 * time.Second
			}
		})
		first := s.startEntry("one")
		time.Sleep(time.Second)
		second := s.startEntry("two")
		first.unreachableWorkers.Store(s.instances.WorkerOf("b"), true)
		second.unreachableWorkers.Store(s.instances.WorkerOf("a"), true)
		time.Sleep(2500 * time.Millisecond)
		s.submit(longRunningJob("j1", 1))
		time.Sleep(100 * time.Millisecond)
		first.replaceWhileWatching()
		time.Sleep(20 * time.Second) // the start may be carried out late, and its lease is not over yet
		require.Equal(t, 0, s.taskFleet.StartedRuns(taskID("j1", 0, 0)))
		time.Sleep(5 * time.Second)
		first.stopGracefully()
		second.stopGracefully()
		require.Equal(t, 1, s.taskFleet.StartedRuns(taskID("j1", 0, 0)))
	})
}

func TestDeposedLeaderDoesNotStartAStoredTaskOnARestartedWorker(t *testing.T) {
	runScenario(t, 2, func(s *deployment) {
		s.taskFleet.RunOutcome = func(modeler.TaskID, int) (time.Duration, modeler.EndKind) { return -1, modeler.EndDone }
		s.keepInstances()
		delays := map[string]time.Duration{termKey: 15 * time.Second, orchestrator.ProgressKey("j1"): 3 * time.Second}
		s.store.InjectFaults(func(f *emulator.MetaStoreFaults) {
			f.DelayCommitResponse = func(txn keeper.Txn) time.Duration {
				if len(txn.Put) == 0 {
					return 0
				}
				delay := delays[txn.Put[0].Key]
				delete(delays, txn.Put[0].Key)
				return delay
			}
		})
		restarted := s.instances.WorkerOf("a")
		first := s.startEntry("one")
		time.Sleep(time.Second)
		second := s.startEntry("two")
		first.unreachableWorkers.Store(s.instances.WorkerOf("b"), true)
		time.Sleep(2500 * time.Millisecond)
		s.submit(longRunningJob("j1", 1))
		time.Sleep(100 * time.Millisecond)
		s.taskFleet.SetDraining(restarted)
		s.store.InjectFaults(func(f *emulator.MetaStoreFaults) { f.WatchOnlyClients["one"] = true })
		for s.leads("one") {
			time.Sleep(10 * time.Millisecond)
		}
		first.unreachableWorkers.Store(restarted, true)
		time.Sleep(100 * time.Millisecond)
		require.Equal(t, 1, s.taskFleet.RunCountOnWorker(s.instances.WorkerOf("b")))
		second.unreachableWorkers.Store(restarted, true)
		s.taskFleet.RestartUnderSameID(restarted)
		first.unreachableWorkers.Delete(restarted)
		time.Sleep(5 * time.Second)
		first.stopGracefully()
		second.stopGracefully()
		require.Equal(t, 1, s.taskFleet.StartedRuns(taskID("j1", 0, 0)))
	})
}
