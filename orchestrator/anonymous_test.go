package orchestrator_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/modeler"
)

// A client without a key took up the memory for all others without a key, in all public queues.
func TestAnonymousCallersOfOtherQueuesAreNotRefused(t *testing.T) {
	runScenario(t, 2, func(s *deployment) {
		s.maxJobBytes = 1 << 20
		s.startEntry("one")
		for n := range 6 {
			j := shortJob(fmt.Sprintf("hog%d", n), modeler.Step{Count: 1, Label: strings.Repeat("x", 90<<10)})
			j.Customer = "" // of a public queue
			s.submit(j)
		}
		time.Sleep(12 * time.Second)
		l := s.load()
		_, limited := l.Limited["lasting"][""]
		require.False(t, limited, "no job of this queue waits")
	})
}
