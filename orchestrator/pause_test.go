package orchestrator

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Passes must leave the processor to the leader's calls, however expensive they are and
// whatever the process may use, and new jobs must not wait much longer than needed.
func TestPassesLeaveTheProcessorToOtherWork(t *testing.T) {
	for _, test := range []struct {
		cost    time.Duration
		share   float64
		newJobs bool
		pause   time.Duration
	}{
		{100 * time.Microsecond, 0.8, false, 10 * time.Millisecond},
		{100 * time.Microsecond, 0.8, true, 5 * time.Millisecond},
		{4 * time.Millisecond, 0.8, false, 50 * time.Millisecond},
		{4 * time.Millisecond, 0.8, true, 25 * time.Millisecond},
		{time.Millisecond, 0.2, true, 25 * time.Millisecond},
	} {
		p := placementPacer{newJobs: test.newJobs, cost: test.cost}
		require.InDelta(t, test.pause, p.next(test.share).Sub(time.Time{}), float64(time.Microsecond), "%+v", test)
	}
}

// The time of a pass must not include that in which the process was not running: a pass of
// 1 ms that was interrupted for 100 ms would hold back the next one for a second.
func TestCostOfAPassIsItsProcessorTime(t *testing.T) {
	f := newFleet(1, 10)
	used := time.Duration(0)
	f.cfg.ThreadTime = func() time.Duration { return used }
	require.Equal(t, time.Millisecond, f.processorTimeOf(func() {
		used += time.Millisecond
		time.Sleep(20 * time.Millisecond)
	}))
}
