package orchestrator_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/modeler"
)

// An unexpected error of the leader ends its term and not the process: an entry
// node must lead again and complete the job.
func TestPanicEndsOnlyTheTerm(t *testing.T) {
	runScenario(t, 2, func(s *deployment) {
		e := s.startEntry("one")
		time.Sleep(time.Second)
		s.submit(shortJob("j1"))
		time.Sleep(500 * time.Millisecond)
		e.panicsOnce.Store(true)
		time.Sleep(20 * time.Second)
		require.False(t, e.panicsOnce.Load(), "the leader has panicked")
		require.Equal(t, modeler.Completed, s.jobState("j1"))
		for i := range 4 {
			require.Equal(t, 1, s.taskFleet.StartedRuns(taskID("j1", 0, i)))
		}
		e.stopGracefully()
	})
}
