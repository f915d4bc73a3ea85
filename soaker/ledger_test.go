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
	for name, tt := range map[string]struct {
		result  submitResult
		breach  func(c *Checker)
		allowed func(c *Checker)
	}{
		"a refused job has run":                              {refused, func(c *Checker) { c.finalCounts(two) }, func(c *Checker) { c.finalCounts(none) }},
		"an accepted job is unknown after the maximum delay": {accepted, func(c *Checker) { c.checkUnknownJob("j", time.Now().Add(time.Minute)) }, func(c *Checker) { c.checkUnknownJob("j", time.Now()) }},
		"a job is reported as completed while tasks run":     {accepted, func(c *Checker) { c.addState("j", modeler.Completed, false) }, func(c *Checker) { c.addState("j", modeler.Completed, true) }},
		"a completed job is reported as running again":       {accepted, func(c *Checker) { c.addState("j", modeler.Completed, true); c.addState("j", modeler.Running, true) }, func(c *Checker) { c.addState("j", modeler.Running, false); c.addState("j", modeler.Completed, true) }},
		"a job is reported as failed without a cause":        {accepted, func(c *Checker) { c.addState("j", modeler.Failed, false) }, func(c *Checker) { c.addState("j", modeler.Queued, false) }},
		"a job is given up after one crash under a task": {accepted, func(c *Checker) {
			c.lostRuns = func(modeler.TaskID) int { return 1 }
			c.addState("j", modeler.Failed, false)
		}, func(c *Checker) {
			c.lostRuns = func(id modeler.TaskID) int { return 2 * id.Index }
			c.addState("j", modeler.Failed, false)
		}},
		"a worker runs more than its capacity": {accepted, func(c *Checker) { c.checkRunningTasks(running, 1000) }, func(c *Checker) { c.checkRunningTasks(running, 1200) }},
	} {
		t.Run(name, func(t *testing.T) {
			checker := NewChecker()
			checker.recordSubmission(job)
			checker.recordResult("j", tt.result)
			tt.allowed(checker)
			require.Empty(t, checker.Breaches())
			checker = NewChecker()
			checker.recordSubmission(job)
			checker.recordResult("j", tt.result)
			tt.breach(checker)
			require.Len(t, checker.Breaches(), 1)
		})
	}
	checker := NewChecker()
	checker.recordSubmission(job)
	require.Equal(t, map[string]int64{"c": 1200}, checker.checkRunningTasks(running, 1200))
}
