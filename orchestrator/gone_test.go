package orchestrator_test

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/emulator"
	"github.com/coltsfootlever/coltsfootlever/modeler"
)

// The lease of a crashed worker need not run out if the platform knows that the worker has ended.
func TestLongRunningTasksOfACrashedWorkerReturnSoonAfterALeaderCrash(t *testing.T) {
	for name, c := range map[string]struct {
		end            func(s *emulator.InstanceService, instance string)
		staysListedFor time.Duration
	}{
		"instance down, worker listed":        {(*emulator.InstanceService).ShutDown, 5 * time.Second},
		"instance down, worker not listed":    {(*emulator.InstanceService).ShutDown, 0},
		"instance removed, worker listed":     {(*emulator.InstanceService).Remove, 5 * time.Second},
		"instance removed, worker not listed": {(*emulator.InstanceService).Remove, 0},
	} {
		t.Run(name, func(t *testing.T) {
			runScenario(t, 3, func(s *deployment) {
				s.taskFleet.RunOutcome = func(modeler.TaskID, int) (time.Duration, modeler.EndKind) { return -1, modeler.EndDone }
				s.taskFleet.RemovedListTime = c.staysListedFor
				first := s.startEntry("one")
				s.submit(longRunningJob("j1", 4))
				time.Sleep(2 * time.Second)
				second := s.startEntry("two")
				first.crash()
				c.end(s.instances, s.instancesWithTasks("a", "b", "c")[0])
				time.Sleep(7 * time.Second)
				require.Equal(t, 4, s.taskFleet.RunCountOfJob("j1"))
				second.stopGracefully()
			})
		})
	}
}

// The platform may show a change of an instance late.
func TestOutdatedInstanceListEndsNoRunOfAnUnresponsiveWorker(t *testing.T) {
	runScenario(t, 2, func(s *deployment) {
		s.taskFleet.RunOutcome = func(modeler.TaskID, int) (time.Duration, modeler.EndKind) { return -1, modeler.EndDone }
		e := s.startEntry("one")
		s.submit(longRunningJob("j1", 1))
		time.Sleep(2 * time.Second)
		busy := s.instancesWithTasks("a", "b")[0]
		worker, idle := s.instances.WorkerOf(busy), map[string]string{"a": "b", "b": "a"}[busy]
		s.instances.SetListedWorker(busy, "w-earlier")
		s.requestWave(1, idle) // the list is read more often during maintenance
		s.taskFleet.SetUnresponsive(worker, true)
		time.Sleep(1900 * time.Millisecond)
		s.instances.SetListedWorker(busy, worker)
		s.taskFleet.SetUnresponsive(worker, false)
		time.Sleep(3 * time.Second)
		require.Equal(t, 1, s.instances.MaintenanceCount(idle))
		require.Equal(t, 1, s.taskFleet.StartedRuns(taskID("j1", 0, 0)))
		e.stopGracefully()
	})
}

// Guards against runs that are taken to have ended because an instance is missing in two
// lists within a moment, while its worker is cut off.
func TestInstanceMissingForAMomentEndsNoRunOfAnUnresponsiveWorker(t *testing.T) {
	runScenario(t, 2, func(s *deployment) {
		s.taskFleet.RunOutcome = func(modeler.TaskID, int) (time.Duration, modeler.EndKind) { return -1, modeler.EndDone }
		var hidden atomic.Value
		hidden.Store("")
		s.instances.FilterList = func(name string) (bool, error) { return name != hidden.Load(), nil }
		e := s.startEntry("one")
		s.submit(longRunningJob("j1", 1))
		time.Sleep(4 * time.Second)
		busy := s.instancesWithTasks("a", "b")[0]
		s.requestWave(1, map[string]string{"a": "b", "b": "a"}[busy]) // the list is read more often during maintenance
		s.taskFleet.SetUnresponsive(s.instances.WorkerOf(busy), true)
		time.Sleep(2100 * time.Millisecond)
		hidden.Store(busy)
		time.Sleep(1800 * time.Millisecond)
		hidden.Store("")
		s.taskFleet.SetUnresponsive(s.instances.WorkerOf(busy), false)
		time.Sleep(3 * time.Second)
		require.Equal(t, 1, s.taskFleet.StartedRuns(taskID("j1", 0, 0)))
		e.stopGracefully()
	})
}
