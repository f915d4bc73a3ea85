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

// The record has been written by a version that did not check it: the leader can't
// handle its step, which depends on one that doesn't exist.
func TestJobThatEndsTermsIsLeftAlone(t *testing.T) {
	runScenario(t, 2, func(s *deployment) {
		first, second := s.startEntry("one"), s.startEntry("two")
		time.Sleep(time.Second)
		s.submit(shortJob("j1"))
		s.submit(shortJob("malformed", modeler.Step{Count: 1, Need: modeler.Resources{CPU: 100}, After: []int{5}}))
		time.Sleep(15 * time.Second)
		s.submit(shortJob("j2"))
		time.Sleep(3 * time.Second)
		s.requireState(modeler.Completed, "j1", "j2")
		s.requireState(modeler.Queued, "malformed")
		first.stopGracefully()
		second.stopGracefully()
	})
}
