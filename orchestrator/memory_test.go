package orchestrator_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/modeler"
	"github.com/coltsfootlever/coltsfootlever/refuser"
)

// Jobs of one customer that waited with long texts exhausted the memory of each leader.
func TestLeaderRefusesNewJobsOfACustomerThatTakesUpItsMemory(t *testing.T) {
	runScenario(t, 2, func(s *deployment) {
		const size, most = 90 << 10, 1 << 20
		s.maxJobBytes = most
		s.manifest.Customers = []modeler.Customer{{Name: "hog", Weight: 1}, {Name: "mild", Weight: 1}}
		s.manifest.Index()
		e := s.startEntry("one")
		for n := range 6 {
			j := shortJob(fmt.Sprintf("hog%d", n), modeler.Step{Count: 1, Label: strings.Repeat("x", size)})
			j.Customer = "hog"
			s.submit(j)
			mild := shortJob(fmt.Sprintf("mild%d", n))
			mild.Customer = "mild"
			s.submit(mild)
			time.Sleep(2 * time.Second)
			require.Equal(t, n == 5, s.load().Limited["short"]["hog"].Cause == refuser.LackOfMemory, "%d jobs", n+1)
			require.Less(t, s.load().FreeBytes, int64(most-(n+1)*size))
			require.NotContains(t, s.load().Limited["short"], "mild")
		}
		e.crash()
		second := s.startEntry("two")
		s.waitForLeader("two")
		time.Sleep(time.Second)
		limitation := s.load().Limited["lasting"]["hog"]
		require.Equal(t, refuser.LackOfMemory, limitation.Cause)
		require.Zero(t, limitation.Accept)
		s.cancel("hog0")
		time.Sleep(2 * time.Second)
		require.NotContains(t, s.load().Limited["short"], "hog")
		second.stopGracefully()
	})
}

// The new jobs of all customers were refused once the jobs of one took up more than all of the memory.
func TestCustomerWithFewJobsIsNotRefusedForTheMemoryOfOthers(t *testing.T) {
	runScenario(t, 2, func(s *deployment) {
		s.maxJobBytes = 1 << 20
		s.manifest.Customers = []modeler.Customer{{Name: "hog", Weight: 1}, {Name: "mild", Weight: 1}}
		s.manifest.Index()
		e := s.startEntry("one")
		for n := range 14 {
			j := shortJob(fmt.Sprintf("hog%d", n), modeler.Step{Count: 1, Label: strings.Repeat("x", 90<<10)})
			j.Customer = "hog"
			s.submit(j)
		}
		mild := shortJob("mild")
		mild.Customer = "mild"
		s.submit(mild)
		time.Sleep(12 * time.Second)
		require.Contains(t, s.load().Limited["short"], "hog")
		require.NotContains(t, s.load().Limited["short"], "mild")
		require.Greater(t, s.load().FreeBytes, int64(64<<10), "what entry nodes may accept")
		e.stopGracefully()
	})
}
