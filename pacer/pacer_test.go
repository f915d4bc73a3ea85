package pacer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/pacer"
)

func ExampleNext() {
	near := pacer.Serving{Tail: 90 * time.Millisecond, Target: 100 * time.Millisecond}
	fmt.Println(pacer.Next(pacer.Worker{Serving: []pacer.Serving{near}, Pace: 100, Since: time.Second}))
	// Output: 50
}

// The load is that of filling tasks that harm a serving one in proportion to
// their pace: the target must not be passed for long, and what can be used must
// be used.
func TestPaceFollowsHarm(t *testing.T) {
	const target = 100 * time.Millisecond
	pace, over := 100, 0
	for range 60 {
		tail := 40*time.Millisecond + time.Duration(pace)*time.Millisecond
		if tail > target {
			over++
		}
		pace = pacer.Next(pacer.Worker{Serving: []pacer.Serving{{Tail: tail, Target: target}}, Pace: pace, Since: time.Second})
	}
	require.LessOrEqual(t, over, 2)
	require.GreaterOrEqual(t, pace, 15)
}

func TestPaceWaitsForItsEffect(t *testing.T) {
	w := pacer.Worker{Serving: []pacer.Serving{{Tail: time.Second, Target: time.Millisecond}}, Pace: 50, Since: 100 * time.Millisecond}
	require.Equal(t, 50, pacer.Next(w))
	w.Since = time.Second
	require.Equal(t, 12, pacer.Next(w))
	w.Pace = 8
	require.Equal(t, 0, pacer.Next(w))
}

func TestPaceComesBackWithoutServingTasks(t *testing.T) {
	require.Equal(t, 60, pacer.Next(pacer.Worker{Pace: 50, Since: time.Second}))
	require.Equal(t, 100, pacer.Next(pacer.Worker{Pace: 95, Since: time.Second}))
}
