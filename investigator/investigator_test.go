package investigator_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/investigator"
)

const listedLong = time.Second

func ExampleAssessCrash() {
	after := investigator.AssessCrash([]investigator.Run{
		{Listed: 3 * time.Second, Worked: 3 * time.Second},
		{Worked: 20 * time.Millisecond},
		{Worked: 20 * time.Millisecond, Suspicion: investigator.Suspicion{Crashes: 1}},
	}, false)
	for _, s := range after {
		fmt.Println(s.Crashes, s.SoleSuspect, s.Probation, s.NeedsIsolation())
	}
	// Output:
	// 1 0 0s false
	// 1 0 500ms false
	// 2 1 500ms true
}

func TestSoleSuspectIsTheOnlyRunThatIsNotCleared(t *testing.T) {
	runs := []investigator.Run{{Listed: listedLong}, {}, {Listed: listedLong, Suspicion: investigator.Suspicion{Crashes: 2}}}
	require.Equal(t, 1, investigator.AssessCrash(runs, false)[1].SoleSuspect)
	runs = append(runs, investigator.Run{})
	for i, s := range investigator.AssessCrash(runs, false) {
		require.Zero(t, s.SoleSuspect, i)
	}
}

func TestRunIsNotClearedBeforeTheEndOfItsProbation(t *testing.T) {
	r := investigator.Run{Listed: listedLong, Suspicion: investigator.Suspicion{Crashes: 1, Probation: 2 * listedLong}}
	require.False(t, r.IsCleared())
	r.Listed = 2 * listedLong
	require.True(t, r.IsCleared())
}

// An hour of work before the crash must not mean an hour of probation.
func TestProbationIsLimited(t *testing.T) {
	s := investigator.AssessCrash([]investigator.Run{{Worked: time.Hour}}, false)[0]
	require.Equal(t, 5*time.Second, s.Probation)
}

func TestTaskIsGivenUpAfterAtMostFiveCrashes(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	for range 1000 {
		var s investigator.Suspicion
		crashes := 0
		for !s.IsConclusive() {
			crashes++
			runs := []investigator.Run{{Suspicion: s, StartUnconfirmed: random.IntN(2) == 0, Listed: time.Duration(random.IntN(2)) * listedLong}}
			for range random.IntN(4) {
				runs = append(runs, investigator.Run{Listed: time.Duration(random.IntN(2)) * listedLong, Suspicion: investigator.Suspicion{Crashes: random.IntN(3)}})
			}
			s = investigator.AssessCrash(runs, false)[0]
		}
		require.LessOrEqual(t, crashes, investigator.MaxScore)
		require.True(t, s.Crashes >= investigator.MinCrashes || crashes == investigator.MaxScore)
	}
}

func TestTaskInIsolationIsBlamedForACrashThatCoincidesWithAnother(t *testing.T) {
	s := investigator.AssessCrash([]investigator.Run{{Suspicion: investigator.Suspicion{Crashes: 2}}}, true)[0]
	require.Equal(t, 1, s.SoleSuspect)
}

// The load: one of twelve tasks that were started together crashes each worker at
// once. The others are lost once, then kept apart, and none needs isolation.
func TestNeighborsOfATaskThatCrashesWorkersAreNotBlamed(t *testing.T) {
	runs := make([]investigator.Run, 12)
	after := investigator.AssessCrash(runs, false)
	culprit := after[0]
	for _, s := range after[1:] {
		require.True(t, s.IsOnProbation())
		require.False(t, s.NeedsIsolation())
	}
	crashes := 1
	for !culprit.IsConclusive() {
		crashes++
		after = investigator.AssessCrash([]investigator.Run{{Suspicion: culprit}, {Listed: listedLong, Suspicion: after[1]}, {}}, false)
		culprit = after[0]
		require.Zero(t, after[1].SoleSuspect)
		require.Zero(t, after[2].SoleSuspect)
	}
	require.Equal(t, 3, crashes)
}

// The load: racks lose power, so several workers crash at the same moment.
func TestCoincidingCrashesBlameNoTaskAlone(t *testing.T) {
	after := investigator.AssessCrash([]investigator.Run{{Listed: listedLong}, {}}, true)
	require.Equal(t, investigator.Suspicion{Crashes: 1}, after[0])
	require.Equal(t, investigator.Suspicion{Crashes: 1, Probation: 500 * time.Millisecond}, after[1])
}

// Failures of machines come after different work, and must not add up.
func TestLateCrashesCountAfterEqualWorkOnly(t *testing.T) {
	var s investigator.Suspicion
	for range investigator.MaxLateCrashes {
		require.False(t, s.IsConclusive())
		s = s.AfterLateCrash(12 * time.Second)
	}
	require.True(t, s.IsConclusive())
	s = investigator.Suspicion{}
	for n := range 20 {
		s = s.AfterLateCrash(time.Duration(6+3*(n%4)) * time.Second)
		require.False(t, s.NeedsIsolation())
	}
}

// A task that works on past the time of the late crashes did not cause them.
func TestLateCrashesAreForgottenAfterLongerWork(t *testing.T) {
	s := investigator.Suspicion{}.AfterLateCrash(12 * time.Second).AfterLateCrash(12 * time.Second)
	require.Equal(t, s, s.AfterLongWork(12*time.Second))
	require.Equal(t, investigator.Suspicion{}, s.AfterLongWork(14*time.Second))
}
