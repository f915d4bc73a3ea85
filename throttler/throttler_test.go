package throttler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/throttler"
)

// play tells a throttler of a call each 5 ms. outcome returns the response time of
// call number n, or 0 for a call without a response.
func play(t *throttler.Throttler, now time.Time, calls int, outcome func(n int) time.Duration) time.Time {
	for n := range calls {
		now = now.Add(5 * time.Millisecond)
		if took := outcome(n); took > 0 {
			t.RecordResponse(now, took)
		} else {
			t.RecordLate(now)
		}
	}
	return now
}

func fast(int) time.Duration { return 5 * time.Millisecond }

func never(int) time.Duration { return 0 }

func TestTimeLimitFollowsResponseTimes(t *testing.T) {
	th := throttler.New()
	require.Equal(t, 300*time.Millisecond, th.TimeLimit())
	now := play(th, time.Now(), 200, fast)
	require.Equal(t, 300*time.Millisecond, th.TimeLimit())
	require.False(t, th.IsCongested())
	now = play(th, now, 200, func(int) time.Duration { return 700 * time.Millisecond })
	require.Greater(t, th.TimeLimit(), 700*time.Millisecond)
	require.False(t, th.IsCongested(), "all calls are answered")
	play(th, now, 400, fast)
	require.Equal(t, 300*time.Millisecond, th.TimeLimit())
	require.False(t, th.IsCongested())
}

// With a time limit below the response times no call would ever be answered, and
// none would tell how long it takes.
func TestTimeLimitGrowsWhileAllCallsAreLate(t *testing.T) {
	th := throttler.New()
	now := play(th, time.Now(), 1000, never)
	require.Equal(t, 2400*time.Millisecond, th.TimeLimit())
	require.True(t, th.IsCongested())
	play(th, now, 1000, fast)
	require.Equal(t, 300*time.Millisecond, th.TimeLimit())
}

func TestSomeFailedHostsChangeLittle(t *testing.T) {
	th := throttler.New()
	play(th, time.Now(), 2000, func(n int) time.Duration {
		if n%25 == 0 {
			return 0
		}
		return 5 * time.Millisecond
	})
	require.Equal(t, 300*time.Millisecond, th.TimeLimit())
	require.False(t, th.IsCongested())
	require.GreaterOrEqual(t, th.Limit(), 500)
}

// Plays a link that carries 100 calls a second and queues the others: the calls in
// flight must become so few that the link carries them within the time limit.
func TestLimitFollowsANarrowLink(t *testing.T) {
	const callsPerSecond = 100
	th, now := throttler.New(), time.Now()
	for range 5000 {
		now = now.Add(time.Second / callsPerSecond)
		if took := time.Duration(th.Limit()) * time.Second / callsPerSecond; took <= th.TimeLimit() {
			th.RecordResponse(now, took)
		} else {
			th.RecordLate(now)
		}
	}
	require.LessOrEqual(t, th.Limit(), 240, "what the link carries within the longest time limit")
	require.Greater(t, th.Limit(), 20)
}

func ExampleThrottler() {
	t := throttler.New()
	fmt.Println(t.TimeLimit(), t.Limit(), t.IsCongested())
	// Output: 300ms 512 false
}

// A link of 2 Mbit/s carries 25 KB in a tenth of a second, which is 25 starts.
func TestSlowLinkCarriesFewCallsAtOnce(t *testing.T) {
	th := throttler.New(throttler.WithLink(2))
	require.Equal(t, 25, th.Limit())
	play(th, time.Now(), 2000, fast)
	require.Equal(t, 25, th.Limit())
	for _, mbps := range []float64{0, 200} {
		require.Equal(t, throttler.New().Limit(), throttler.New(throttler.WithLink(mbps)).Limit())
	}
}
