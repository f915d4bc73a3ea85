package orchestrator_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/modeler"
	"github.com/coltsfootlever/coltsfootlever/timekeeper"
)

// Occurrences of a repeating job must start when they are due, whatever jumps the
// machine's clock makes meanwhile, and no other job may be affected.
func TestClockJumpsStartNoOccurrenceEarly(t *testing.T) {
	for name, jump := range map[string]time.Duration{"ahead": 3 * time.Second, "back": -3 * time.Second} {
		t.Run(name, func(t *testing.T) {
			runScenario(t, 2, func(s *deployment) {
				start := time.Now()
				clock := timekeeper.New(func() time.Time {
					if uptime := time.Since(start); uptime > 4*time.Second && uptime < 9*time.Second {
						return time.Now().Add(jump)
					}
					return time.Now()
				}, func() time.Duration { return time.Since(start) }, func() time.Duration { return time.Since(start) })
				s.wallClock = clock.Now
				e := s.startEntry("one")
				time.Sleep(time.Second)
				j := shortJob("j1", modeler.Step{Count: 1, Need: modeler.Resources{CPU: 1000}, Estimate: time.Second})
				j.Repeat, j.FirstDue, j.Interval = 4, start.Add(3*time.Second), 2*time.Second
				s.submit(j)
				s.submit(shortJob("j2"))
				for k := range 4 {
					id := modeler.TaskID{Job: "j1", Occurrence: k}
					time.Sleep(time.Until(j.DueTime(k).Add(-20 * time.Millisecond)))
					require.Zero(t, s.taskFleet.StartedRuns(id), "occurrence %d is not due", k)
					time.Sleep(300 * time.Millisecond)
					require.Equal(t, 1, s.taskFleet.StartedRuns(id), "occurrence %d is due", k)
				}
				require.Equal(t, modeler.Completed, s.jobState("j2"))
				e.stopGracefully()
			})
		})
	}
}
