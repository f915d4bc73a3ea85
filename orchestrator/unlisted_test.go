package orchestrator_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/emulator"
	"github.com/coltsfootlever/coltsfootlever/keeper"
	"github.com/coltsfootlever/coltsfootlever/modeler"
	"github.com/coltsfootlever/coltsfootlever/orchestrator"
)

// startUnstored lets the leader start a task of job j1 that the store doesn't
// record, on a worker with the label, and returns the worker.
func (d *deployment) startUnstored(label string, instances ...string) string {
	d.store.InjectFaults(func(f *emulator.MetaStoreFaults) {
		f.LoseCommitResponse = func(txn keeper.Txn) (bool, time.Duration) {
			return len(txn.Put) > 0 && txn.Put[0].Key == orchestrator.ProgressKey("j1"), time.Hour
		}
	})
	j := longRunningJob("j1", 1)
	j.Steps[0].Label = label
	d.submit(j)
	time.Sleep(500 * time.Millisecond)
	d.store.InjectFaults(func(f *emulator.MetaStoreFaults) { f.LoseCommitResponse = nil })
	busy := d.instancesWithTasks(instances...)
	require.Len(d.t, busy, 1)
	return d.instances.WorkerOf(busy[0])
}

func TestInheritedTasksWaitForAWorkerWhoseRegistrationExpires(t *testing.T) {
	runScenario(t, 2, func(s *deployment) {
		s.taskFleet.RunOutcome = func(modeler.TaskID, int) (time.Duration, modeler.EndKind) { return -1, modeler.EndDone }
		s.keepInstances()
		first := s.startEntry("one")
		time.Sleep(time.Second)
		worker := s.startUnstored("k", "a", "b")
		first.crash()
		second := s.startEntry("two")
		second.unreachableWorkers.Store(worker, true)
		for s.leads("one") {
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(200 * time.Millisecond)
		s.taskFleet.SetRegistered(worker, false)
		time.Sleep(15 * time.Second)
		second.stopGracefully()
		require.Empty(t, s.taskFleet.Violations())
		require.Equal(t, 2, s.taskFleet.StartedRuns(taskID("j1", 0, 0)))
	})
}

func TestInheritedTasksWaitForAWorkerWhoseRegistrationHasExpired(t *testing.T) {
	runScenario(t, 2, func(s *deployment) {
		s.taskFleet.RunOutcome = func(modeler.TaskID, int) (time.Duration, modeler.EndKind) { return -1, modeler.EndDone }
		s.keepInstances()
		first := s.startEntry("one")
		time.Sleep(time.Second)
		worker := s.startUnstored("k", "a", "b")
		s.taskFleet.SetRegistered(worker, false)
		first.crash()
		second := s.startEntry("two")
		time.Sleep(15 * time.Second)
		second.stopGracefully()
		require.Empty(t, s.taskFleet.Violations())
		require.Equal(t, 2, s.taskFleet.StartedRuns(taskID("j1", 0, 0)))
	})
}

func TestListedWorkerWithFastClockIsNotTakenForNew(t *testing.T) {
	runScenario(t, 1, func(s *deployment) {
		s.taskFleet.RunOutcome = func(modeler.TaskID, int) (time.Duration, modeler.EndKind) { return -1, modeler.EndDone }
		s.keepInstances()
		fast := modeler.Instance{Name: "x", Pool: "p", Zone: "z", Labels: []string{"k", "fast"}, Capacity: modeler.Resources{CPU: 4000, Memory: 8000}}
		first := s.startEntry("one")
		time.Sleep(time.Second)
		s.taskFleet.ClockOffset = 2900 * time.Millisecond
		s.instances.Add(fast, true)
		s.taskFleet.ClockOffset = 0
		time.Sleep(700 * time.Millisecond)
		worker := s.startUnstored("fast", "x")
		s.taskFleet.SetRegistered(worker, false)
		first.crash()
		other := fast
		other.Name = "y"
		s.instances.Add(other, true)
		second := s.startEntry("two")
		second.unreachableWorkers.Store(worker, true)
		for s.leads("one") {
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(200 * time.Millisecond)
		s.taskFleet.SetRegistered(worker, true)
		time.Sleep(15 * time.Second)
		second.stopGracefully()
		require.Empty(t, s.taskFleet.Violations())
		require.Equal(t, 2, s.taskFleet.StartedRuns(taskID("j1", 0, 0)))
	})
}

func TestListedWorkerIsNotTakenForNewWhenTheInstanceListIsOutdated(t *testing.T) {
	runScenario(t, 1, func(s *deployment) {
		s.taskFleet.RunOutcome = func(modeler.TaskID, int) (time.Duration, modeler.EndKind) { return -1, modeler.EndDone }
		s.keepInstances()
		fast := modeler.Instance{Name: "x", Pool: "p", Zone: "z", Labels: []string{"k", "fast"}, Capacity: modeler.Resources{CPU: 4000, Memory: 8000}}
		first := s.startEntry("one")
		time.Sleep(time.Second)
		s.taskFleet.ClockOffset = 2900 * time.Millisecond
		s.instances.Add(fast, true)
		s.taskFleet.ClockOffset = 0
		s.instances.SetListedWorker("x", "w-earlier")
		time.Sleep(700 * time.Millisecond)
		worker := s.startUnstored("fast", "x")
		first.crash()
		other := fast
		other.Name = "y"
		s.instances.Add(other, true)
		second := s.startEntry("two")
		second.unreachableWorkers.Store(worker, true)
		for s.leads("one") {
			time.Sleep(10 * time.Millisecond)
		}
		time.Sleep(200 * time.Millisecond)
		s.instances.SetListedWorker("x", worker)
		s.taskFleet.SetRegistered(worker, false)
		time.Sleep(700 * time.Millisecond)
		s.taskFleet.SetRegistered(worker, true)
		time.Sleep(15 * time.Second)
		second.stopGracefully()
		require.Empty(t, s.taskFleet.Violations())
		require.Equal(t, 2, s.taskFleet.StartedRuns(taskID("j1", 0, 0)))
	})
}
