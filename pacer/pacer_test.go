package pacer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/pacer"
)

func ExampleNextPace() {
	near := pacer.LatencyTask{TailLatency: 90 * time.Millisecond, TargetLatency: 100 * time.Millisecond}
	fmt.Println(pacer.NextPace(pacer.Worker{LatencyTasks: []pacer.LatencyTask{near}, PacePercent: 100, SinceLastChange: time.Second}))
	// Output: 50
}

// The latency of a task rises in proportion to the pace of the tasks that run on
// unused CPU time beside it. The pace must not exceed the latency target for
// long, and it must not stay lower than necessary.
func TestPaceKeepsLatencyNearTheTarget(t *testing.T) {
	const target = 100 * time.Millisecond
	pace, over := 100, 0
	for range 60 {
		tail := 40*time.Millisecond + time.Duration(pace)*time.Millisecond
		if tail > target {
			over++
		}
		pace = pacer.NextPace(pacer.Worker{LatencyTasks: []pacer.LatencyTask{{TailLatency: tail, TargetLatency: target}}, PacePercent: pace, SinceLastChange: time.Second})
	}
	require.LessOrEqual(t, over, 2)
	require.GreaterOrEqual(t, pace, 15)
}

func TestPaceIsKeptUntilItsEffectIsMeasured(t *testing.T) {
	w := pacer.Worker{LatencyTasks: []pacer.LatencyTask{{TailLatency: time.Second, TargetLatency: time.Millisecond}}, PacePercent: 50, SinceLastChange: 100 * time.Millisecond}
	require.Equal(t, 50, pacer.NextPace(w))
	w.SinceLastChange = time.Second
	require.Equal(t, 12, pacer.NextPace(w))
	w.PacePercent = 8
	require.Equal(t, 0, pacer.NextPace(w))
}

func TestPaceRisesWithoutLatencyTasks(t *testing.T) {
	require.Equal(t, 60, pacer.NextPace(pacer.Worker{PacePercent: 50, SinceLastChange: time.Second}))
	require.Equal(t, 100, pacer.NextPace(pacer.Worker{PacePercent: 95, SinceLastChange: time.Second}))
}
