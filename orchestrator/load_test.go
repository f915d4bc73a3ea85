package orchestrator_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/modeler"
)

// Writes to the store must stay under half of what the platform grants the
// smaller sites, 400 a second, at the load of their peak.
func TestWritesToTheStore(t *testing.T) {
	const granted, jobsPerSecond, seconds = 400, 20, 20
	run(t, 26, func(s *site) {
		s.manifest.Pools = s.manifest.Pools[:1]
		s.manifest.Index()
		s.fleet.Work = func(id modeler.TaskID, _ int) (time.Duration, modeler.EndKind) {
			return time.Duration(500+100*id.Index) * time.Millisecond, modeler.EndDone
		}
		e := s.start("one")
		time.Sleep(2 * time.Second)
		before := s.store.Writes()
		for i := range jobsPerSecond * seconds {
			need := modeler.Resources{CPU: 300}
			s.submit(shortJob(fmt.Sprint("j", i), modeler.Step{Count: 6, Need: need}, modeler.Step{Count: 4, Need: need, After: []int{0}}))
			time.Sleep(time.Second / jobsPerSecond)
		}
		writes := s.store.Writes() - before
		t.Logf("%d jobs of 10 tasks a second: %.1f writes a second, %.2f a job", jobsPerSecond, float64(writes)/seconds, float64(writes)/jobsPerSecond/seconds)
		require.Less(t, writes/seconds, granted/2)
		time.Sleep(10 * time.Second)
		require.Equal(t, modeler.Completed, s.state("j0"))
		e.stop()
	})
}
