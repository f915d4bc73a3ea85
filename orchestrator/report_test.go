package orchestrator_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/emulator"
	"github.com/coltsfootlever/coltsfootlever/modeler"
)

func TestRunsWhoseEndsDoNotFitIntoAReportAreNotRepeated(t *testing.T) {
	runScenario(t, 1, func(s *deployment) {
		s.keepInstances()
		e := s.startEntry("one")
		time.Sleep(time.Second)
		s.submit(shortJob("j1", modeler.Step{Count: 400, Need: modeler.Resources{CPU: 1}}))
		time.Sleep(100 * time.Millisecond)
		s.submit(shortJob("j2", modeler.Step{Count: 400, Need: modeler.Resources{CPU: 1}}))
		time.Sleep(700 * time.Millisecond)
		s.store.InjectFaults(func(f *emulator.MetaStoreFaults) { f.Down = true })
		time.Sleep(2 * time.Second)
		s.store.InjectFaults(func(f *emulator.MetaStoreFaults) { f.Down = false })
		time.Sleep(8 * time.Second)
		require.Equal(t, modeler.Completed, s.jobState("j1"))
		require.Equal(t, modeler.Completed, s.jobState("j2"))
		for i := range 400 {
			require.Equal(t, 1, s.taskFleet.StartedRuns(taskID("j2", 0, i)))
		}
		e.stopGracefully()
	})
}
