package soaker

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/modeler"
)

// Each promise that the ledger checks is shown to bite, and its neighbour that is
// allowed not to.
func TestOutcomeCheckerFindsBreaches(t *testing.T) {
	job := modeler.Job{ID: "j", Customer: "c", Steps: []modeler.Step{{Count: 2, Need: modeler.Resources{CPU: 600}}}}
	none, two := func(modeler.Job) int { return 0 }, func(modeler.Job) int { return 2 }
	running := map[string][]modeler.TaskID{"w": {{Job: "j"}, {Job: "j", Index: 1}}}
	for name, c := range map[string]struct {
		standing submitResult
		breaks   func(l *OutcomeChecker)
		keep     func(l *OutcomeChecker)
	}{
		"a refused job has run":         {refused, func(l *OutcomeChecker) { l.finalCounts(two) }, func(l *OutcomeChecker) { l.finalCounts(none) }},
		"an accepted job is not known":  {accepted, func(l *OutcomeChecker) { l.checkUnknownJob("j", time.Now().Add(time.Minute)) }, func(l *OutcomeChecker) { l.checkUnknownJob("j", time.Now()) }},
		"completed with tasks that run": {accepted, func(l *OutcomeChecker) { l.checkReportedState("j", modeler.Completed, false) }, func(l *OutcomeChecker) { l.checkReportedState("j", modeler.Completed, true) }},
		"a state that goes back": {accepted, func(l *OutcomeChecker) {
			l.checkReportedState("j", modeler.Completed, true)
			l.checkReportedState("j", modeler.Running, true)
		}, func(l *OutcomeChecker) {
			l.checkReportedState("j", modeler.Running, false)
			l.checkReportedState("j", modeler.Completed, true)
		}},
		"failed without cause":                {accepted, func(l *OutcomeChecker) { l.checkReportedState("j", modeler.Failed, false) }, func(l *OutcomeChecker) { l.checkReportedState("j", modeler.Queued, false) }},
		"a worker with more than it has room": {accepted, func(l *OutcomeChecker) { l.checkRunningTasks(running, 1000) }, func(l *OutcomeChecker) { l.checkRunningTasks(running, 1200) }},
	} {
		t.Run(name, func(t *testing.T) {
			l := NewOutcomeChecker()
			l.recordSubmission(job)
			l.recordResult("j", c.standing)
			c.keep(l)
			require.Empty(t, l.Breaches())
			l = NewOutcomeChecker()
			l.recordSubmission(job)
			l.recordResult("j", c.standing)
			c.breaks(l)
			require.Len(t, l.Breaches(), 1)
		})
	}
	l := NewOutcomeChecker()
	l.recordSubmission(job)
	require.Equal(t, map[string]int64{"c": 1200}, l.checkRunningTasks(running, 1200))
}
