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
