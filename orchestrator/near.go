package orchestrator

import (
	"cmp"
	"time"

	"github.com/coltsfootlever/coltsfootlever/delayer"
	"github.com/coltsfootlever/coltsfootlever/investigator"
	"github.com/coltsfootlever/coltsfootlever/meter"
	"github.com/coltsfootlever/coltsfootlever/modeler"
)

// nearWorkers are the workers of a rack in a placement pass, as tasks see them that may
// wait for room there.
type nearWorkers struct {
	indexes []int // in poolView.workers
	workers []delayer.Worker
	claimed []modeler.Resources // by tasks that wait; others may use the room nevertheless
	waiting map[*task]bool      // that have decided to wait in this pass
}

// rackPreference returns the rack in which tasks of the step run faster, or an empty
// string if it is the same for them everywhere.
func (s *step) rackPreference() string {
	return cmp.Or(s.DataRack, s.preferredRack)
}

// mayWaitForRack reports whether the task may wait for room in its preferred rack.
// Long-running tasks and those that are suspected of crashing their workers don't wait,
// nor does any task where elsewhere is not slower.
func (p *placementPass) mayWaitForRack(t *task) bool {
	return p.engine.cfg.RemoteFactor > 1 && t.step.rackPreference() != "" && !t.step.LongRunning && t.suspicion == investigator.Suspicion{}
}

// waitsForRack reports whether the task, which could start on a worker outside its
// preferred rack, waits for room there instead. count tasks of its step need room there
// at the same time.
func (p *placementPass) waitsForRack(t *task, view *poolView, count int) bool {
	if !p.mayWaitForRack(t) {
		return false
	}
	s, near := t.step, p.nearWorkersOf(t, view)
	if near.waiting[t] {
		return true // the second round doesn't decide again
	}
	for k, i := range near.indexes {
		v := view.assignerViews[i]
		near.workers[k].Free = v.Free.Sub(near.claimed[k])
		if v.Unavailable || v.Slowdown > 1 || !view.admits(t, i) {
			near.workers[k].Free = modeler.Resources{}.Sub(v.Capacity) // no room even after its runs have ended
		}
	}
	queue, c := s.occurrence.job.Queue, &s.occurrence.candidate
	rooms := delayer.FindRoom(near.workers, s.ReservedResources(), count, p.engine.accuracyOf(queue).RelativeError())
	if len(rooms) < count {
		return false
	}
	description := delayer.Task{
		Estimate: p.engine.correctedEstimate(s), RemoteFactor: p.engine.cfg.RemoteFactor, Slack: c.TimeToDeadline - c.RemainingTime, Waited: t.waitedForRack(p.now),
	}
	last := rooms[count-1]
	if last.In == 0 || !description.ShouldWait(last) {
		return false
	}
	near.waiting[t] = true
	for _, r := range rooms {
		near.claimed[r.Worker] = near.claimed[r.Worker].Add(s.ReservedResources())
	}
	if t.rackWaitSince.IsZero() {
		meter.CountLocationWait(meter.WaitBegun)
		p.engine.log.Info("task waits for its preferred rack", "task", t.id.String(), "rack", s.rackPreference(), "tasks", count, "expected", last.In.Round(time.Millisecond).String(),
			"error", last.Error.Round(time.Millisecond).String(), "slack", description.Slack.Round(time.Millisecond).String())
		t.rackWaitSince = p.now
	}
	return true
}

// waitedForRack returns for how long the task has waited for its preferred rack.
func (t *task) waitedForRack(now time.Time) time.Duration {
	if t.rackWaitSince.IsZero() {
		return 0
	}
	return now.Sub(t.rackWaitSince)
}

// endRackWait records the end of the task's wait for its preferred rack, if it has
// waited. near tells whether it starts there, and in a gang all its members.
func (p *placementPass) endRackWait(t *task, near bool) {
	if t.rackWaitSince.IsZero() {
		return
	}
	outcome := meter.WaitGivenUp
	if near {
		outcome = meter.WaitPaid
	}
	meter.CountLocationWait(outcome)
	p.engine.log.Info("wait of a task for its preferred rack ended", "task", t.id.String(), "rack", t.step.rackPreference(), "worker", t.worker.ID, "outcome", string(outcome),
		"waited", t.waitedForRack(p.now).Round(time.Millisecond).String())
	t.rackWaitSince = time.Time{}
}

// runsNear reports whether the task doesn't take longer on the worker than elsewhere.
func (t *task) runsNear(w *worker) bool {
	rack := t.step.rackPreference()
	return rack == "" || rack == modeler.RackLabel(w.Labels)
}

// nearWorkersOf returns the workers of the pool in the task's preferred rack.
func (p *placementPass) nearWorkersOf(t *task, view *poolView) *nearWorkers {
	rack := t.step.rackPreference()
	if n := view.near[rack]; n != nil {
		return n
	}
	n := &nearWorkers{waiting: make(map[*task]bool)}
	for i, v := range view.assignerViews {
		if v.Rack != rack {
			continue
		}
		n.indexes, n.workers = append(n.indexes, i), append(n.workers, delayer.Worker{Runs: p.runsOn(view.workers[i])})
	}
	n.claimed = make([]modeler.Resources, len(n.indexes))
	if view.near == nil {
		view.near = make(map[string]*nearWorkers)
	}
	view.near[rack] = n
	return n
}

// runsOn describes the runs on a worker to the delayer.
func (p *placementPass) runsOn(w *worker) []delayer.Run {
	runs := make([]delayer.Run, 0, len(w.tasks))
	for _, t := range w.tasks {
		r := delayer.Run{Resources: t.step.ReservedResources(), Estimate: p.engine.correctedEstimate(t.step), Endless: t.step.LongRunning}
		if !t.runsNear(w) {
			r.Estimate = time.Duration(p.engine.cfg.RemoteFactor * float64(r.Estimate))
		}
		r.Estimate = time.Duration(max(1, w.speed.slowdown) * float64(r.Estimate))
		if !t.phaseSince.IsZero() {
			r.Elapsed = p.now.Sub(t.phaseSince)
		}
		runs = append(runs, r)
	}
	return runs
}

// correctedEstimate returns the estimated run time of a task of the step as far as runs
// of its queue have shown how far estimates are from it.
func (e *Engine) correctedEstimate(s *step) time.Duration {
	return time.Duration(e.estimateFactor(s.occurrence.job.Queue) * float64(s.Estimate))
}

// accuracyOf returns the accuracy of the estimates in a queue and adds it if it is
// missing.
func (e *Engine) accuracyOf(queue string) *delayer.Accuracy {
	a := e.accuracies[queue]
	if a == nil {
		a = &delayer.Accuracy{}
		e.accuracies[queue] = a
	}
	return a
}
