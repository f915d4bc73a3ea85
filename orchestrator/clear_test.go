package orchestrator_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/modeler"
)

// The load: pool p has as many workers as a long-running step has tasks, of which
// each needs a worker of its own, and one of them fails. Another queue keeps all
// other instances busy without a pause, so that none ever becomes idle.
func TestLongRunningTaskGetsAnInstanceWhenNoneIsIdle(t *testing.T) {
	runScenario(t, 3, func(s *deployment) {
		s.manifest.Pools = append(s.manifest.Pools, modeler.Pool{Name: "busy"})
		s.manifest.Queues = append(s.manifest.Queues, modeler.Queue{Name: "steady", Pool: "busy", MaxFailedRuns: 3, ObjectiveFactor: 1.6, ObjectiveOffset: 600 * time.Millisecond})
		s.manifest.Index()
		for _, name := range []string{"x", "y", "z"} {
			s.instances.Add(modeler.Instance{Name: name, Pool: "busy", Zone: "z", Labels: []string{"k", "r2"}, Capacity: modeler.Resources{CPU: 4000, Memory: 8000}}, true)
		}
		s.taskFleet.RunOutcome = func(id modeler.TaskID, _ int) (time.Duration, modeler.EndKind) {
			if id.Job == "lasts" {
				return -1, modeler.EndDone
			}
			return time.Second, modeler.EndDone
		}
		lasting := longRunningJob("lasts", 3)
		lasting.Steps[0].MaxPerWorker = 1
		s.submit(lasting)
		n := 0
		overload := func(d time.Duration) {
			for range int(d / (250 * time.Millisecond)) {
				j := shortJob(fmt.Sprintf("steady-%d", n), modeler.Step{Count: 4, Need: modeler.Resources{CPU: 2000, Memory: 100}, Estimate: time.Second})
				j.Queue, n = "steady", n+1
				s.submit(j)
				time.Sleep(250 * time.Millisecond)
			}
		}
		overload(time.Second)
		e := s.startEntry("one")
		overload(4 * time.Second)
		require.Equal(t, 3, s.taskFleet.RunCountOfJob("lasts"))
		lost := s.instancesWithTasks("a", "b", "c")[0]
		s.taskFleet.Remove(s.instances.WorkerOf(lost))
		overload(7 * time.Second)
		require.Equal(t, 3, s.taskFleet.RunCountOfJob("lasts"))
		e.stopGracefully()
	})
}
