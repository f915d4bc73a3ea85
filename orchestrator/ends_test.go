package orchestrator_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/modeler"
)

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
			s.taskFleet.SetUnresponsive(silent, true)
			time.Sleep(10 * time.Second)
			require.Equal(s.t, 2, s.taskFleet.StartedRuns(taskID("j1", 0, 0)))
			s.submit(shortJob("j2"))
			time.Sleep(500 * time.Millisecond)
			s.taskFleet.SetUnresponsive(silent, false)
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
