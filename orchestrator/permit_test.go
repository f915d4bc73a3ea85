package orchestrator_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/keeper"
	"github.com/coltsfootlever/coltsfootlever/modeler"
	"github.com/coltsfootlever/coltsfootlever/orchestrator"
)

func (d *deployment) startedRuns(job string, tasks int) int {
	n := 0
	for i := range tasks {
		n += d.taskFleet.StartedRuns(taskID(job, 0, i))
	}
	return n
}

// Two calls to a worker are sent at once and take two seconds; the starts behind
// them are queued. A job that is cancelled meanwhile must not start further tasks
// then. See hunt of sarani-ops, cut-workers-and-cut-leader --seed 220405672285.
func TestQueuedStartsOfACancelledJobAreNotSent(t *testing.T) {
	runScenario(t, 1, func(s *deployment) {
		s.keepInstancesInPool()
		e := s.startEntry("one")
		time.Sleep(time.Second)
		e.startDelay.Store(int64(2 * time.Second))
		s.submit(shortJob("j1", modeler.Step{Count: 4, Need: modeler.Resources{CPU: 1000}}))
		time.Sleep(500 * time.Millisecond)
		_, _, err := s.store.ClientFor("caller").Commit(t.Context(), keeper.Txn{Put: []keeper.Put{{Key: orchestrator.CancelKey("j1"), Value: []byte("{}")}}})
		require.NoError(t, err)
		time.Sleep(9 * time.Second)
		require.Equal(t, 2, s.startedRuns("j1", 4))
		require.Equal(t, modeler.Cancelled, s.jobState("j1"))
		e.stopGracefully()
	})
}

// A start that has waited long for other calls to its worker is not sent any more:
// what it was decided on may have changed.
func TestStartsThatWaitedTooLongArePlacedAgain(t *testing.T) {
	runScenario(t, 1, func(s *deployment) {
		s.keepInstancesInPool()
		e := s.startEntry("one")
		time.Sleep(time.Second)
		e.startDelay.Store(int64(1500 * time.Millisecond))
		s.submit(shortJob("j1", modeler.Step{Count: 4, Need: modeler.Resources{CPU: 1000}}))
		time.Sleep(1200 * time.Millisecond)
		e.startDelay.Store(0)
		time.Sleep(500 * time.Millisecond)
		require.Equal(t, 2, s.startedRuns("j1", 4))
		time.Sleep(6 * time.Second)
		require.Equal(t, modeler.Completed, s.jobState("j1"))
		s.requireDoneOnce("j1", 4)
		e.stopGracefully()
	})
}
