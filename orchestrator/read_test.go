package orchestrator_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/elector"
	"github.com/coltsfootlever/coltsfootlever/modeler"
)

// The load: 600 jobs of 2 KB wait, which a link of 2 Mbit/s carries in five
// seconds. One list of them would take longer than a list may take, and the
// renewals of the leader's lease would wait for it.
func TestLeaderOnASlowLinkReadsALargeBacklog(t *testing.T) {
	runScenario(t, 4, func(s *deployment) {
		s.storeBytesPerSecond = 250_000
		for i := range 600 {
			j := shortJob(fmt.Sprintf("%016x", uint64(i)*0x9e3779b97f4a7c15), modeler.Step{Count: 1, Need: modeler.Resources{CPU: 1000}})
			j.Spec = strings.Repeat("x", 1700)
			s.submit(j)
		}
		e := s.startEntry("one")
		time.Sleep(3 * time.Second)
		first, err := s.store.ClientFor("x").Get(t.Context(), elector.Key)
		require.NoError(t, err)
		time.Sleep(7 * time.Second)
		last, err := s.store.ClientFor("x").Get(t.Context(), elector.Key)
		require.NoError(t, err)
		require.Equal(t, first.Revision, last.Revision, "the entry leads in one term")
		require.NotZero(t, s.taskFleet.RunCountOfJobPrefix(""))
		e.stopGracefully()
	})
}
