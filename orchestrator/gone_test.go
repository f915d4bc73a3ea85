package orchestrator_test

import (
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
