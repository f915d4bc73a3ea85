package soaker

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/modeler"
)

// Each case has a sequence of events that breaches one guarantee and a similar one
// that does not, so the test fails if the checker misses a breach or reports a
// false one.
func TestCheckerFindsBreaches(t *testing.T) {
	job := modeler.Job{ID: "j", Customer: "c", Steps: []modeler.Step{{Count: 2, Need: modeler.Resources{CPU: 600}}}}
	none, two := func(modeler.Job) int { return 0 }, func(modeler.Job) int { return 2 }
	running := map[string][]modeler.TaskID{"w": {{Job: "j"}, {Job: "j", Index: 1}}}
	for name, c := range map[string]struct {
		result submitResult
		breaks func(l *Checker)
		keep   func(l *Checker)
	}{
		"a refused job has run":                              {refused, func(l *Checker) { l.finalCounts(two) }, func(l *Checker) { l.finalCounts(none) }},
		"an accepted job is unknown after the maximum delay": {accepted, func(l *Checker) { l.checkUnknownJob("j", time.Now().Add(time.Minute)) }, func(l *Checker) { l.checkUnknownJob("j", time.Now()) }},
		"a job is reported as completed while tasks run":     {accepted, func(l *Checker) { l.addState("j", modeler.Completed, false) }, func(l *Checker) { l.addState("j", modeler.Completed, true) }},
		"a completed job is reported as running again":       {accepted, func(l *Checker) { l.addState("j", modeler.Completed, true); l.addState("j", modeler.Running, true) }, func(l *Checker) { l.addState("j", modeler.Running, false); l.addState("j", modeler.Completed, true) }},
		"a job is reported as failed without a cause":        {accepted, func(l *Checker) { l.addState("j", modeler.Failed, false) }, func(l *Checker) { l.addState("j", modeler.Queued, false) }},
		"a worker runs more than its capacity":               {accepted, func(l *Checker) { l.checkRunningTasks(running, 1000) }, func(l *Checker) { l.checkRunningTasks(running, 1200) }},
	} {
		t.Run(name, func(t *testing.T) {
			l := NewChecker()
			l.recordSubmission(job)
			l.recordResult("j", c.result)
			c.keep(l)
			require.Empty(t, l.Breaches())
			l = NewChecker()
			l.recordSubmission(job)
			l.recordResult("j", c.result)
			c.breaks(l)
			require.Len(t, l.Breaches(), 1)
		})
	}
	l := NewChecker()
	l.recordSubmission(job)
	require.Equal(t, map[string]int64{"c": 1200}, l.checkRunningTasks(running, 1200))
}
