package inquirer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/inquirer"
)

const serviceTime = 47 * time.Millisecond

func ExampleInquirer_Begin() {
	i := inquirer.New()
	now := time.Unix(0, 0)
	first, ok := i.Begin(now, serviceTime)
	fmt.Println("first:", ok, first.TimeLimit)
	_, ok = i.Begin(now, serviceTime)
	fmt.Println("behind it:", ok)
	_, ok = i.Begin(now, serviceTime)
	fmt.Println("would wait too long:", ok)
	i.End(now.Add(serviceTime), first, inquirer.Answered)
	_, ok = i.Begin(now.Add(serviceTime), serviceTime)
	fmt.Println("after the first answer:", ok)
	// Output:
	// first: true 1.094s
	// behind it: true
	// would wait too long: false
	// after the first answer: true
}

// Guards against calls that are given up and repeated while the service is busy with them:
// it must get through however long it takes for one, up to the longest time limit.
func TestEveryBacklogOfAbandonedCallsIsWorkedOff(t *testing.T) {
	for _, slow := range []time.Duration{serviceTime, time.Second, 3 * time.Second} {
		for _, backlog := range []time.Duration{0, 10 * time.Second, time.Minute} {
			t.Run(fmt.Sprint(slow, " ", backlog), func(t *testing.T) {
				i, now := inquirer.New(), time.Unix(0, 0)
				freeAt := now.Add(backlog) // when the service has handled all calls so far
				calls := 0
				for answered := false; !answered; calls++ {
					c, ok := i.Begin(now, serviceTime)
					require.True(t, ok)
					if freeAt.Before(now) {
						freeAt = now
					}
					freeAt = freeAt.Add(slow)
					answered = !freeAt.After(now.Add(c.TimeLimit))
					if answered {
						i.End(freeAt, c, inquirer.Answered)
						continue
					}
					now = now.Add(c.TimeLimit)
					i.End(now, c, inquirer.Unanswered)
					_, ok = i.Begin(now, serviceTime)
					require.False(t, ok, "the next call waits")
					now = i.RetryAt()
				}
				require.LessOrEqual(t, calls, 4+int(backlog/(3*time.Second)), "a call and the pause after it take twice as long as the slowest service")
				require.True(t, i.RetryAt().IsZero())
			})
		}
	}
}

// While the service answers nothing, no second call waits there.
func TestOneCallTriesAServiceThatDoesNotAnswer(t *testing.T) {
	i, now := inquirer.New(inquirer.WithMaxQueueTime(time.Second)), time.Unix(0, 0)
	c, _ := i.Begin(now, serviceTime)
	i.End(now, c, inquirer.Refused)
	now = i.RetryAt()
	require.Equal(t, 300*time.Millisecond, now.Sub(time.Unix(0, 0)))
	probe, ok := i.Begin(now, serviceTime)
	require.True(t, ok)
	require.False(t, i.IsReady(now))
	i.End(now, probe, inquirer.Answered)
	for range 3 {
		_, ok = i.Begin(now, serviceTime)
		require.True(t, ok)
	}
}

func TestSlowServiceGetsFewerCalls(t *testing.T) {
	i, now := inquirer.New(), time.Unix(0, 0)
	for range 30 {
		c, ok := i.Begin(now, serviceTime)
		require.True(t, ok)
		now = now.Add(10 * serviceTime)
		i.End(now, c, inquirer.Answered)
	}
	require.InDelta(t, 10, i.Slowdown(), 0.1)
	c, _ := i.Begin(now, serviceTime)
	require.Equal(t, time.Second+20*serviceTime, c.TimeLimit.Round(10*time.Millisecond))
	require.False(t, i.IsReady(now))
}
