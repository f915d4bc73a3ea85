package orchestrator

import (
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/modeler"
)

const (
	maxLateOrderTime = 12 * time.Second // how long after its call an order without a response may be carried out

	// A worker's clock may deviate by this much from what the last sample lets expect, in
	// addition to clockDrift, before it counts as that of another process.
	clockTolerance = 200 * time.Millisecond
)

type (
	// strayLease is a lease that a start may have extended in a process of a worker other
	// than the one for which it was meant: a worker that restarts under its ID takes calls
	// for its former process. The deadline in the start is on the clock of that one, so that
	// the worker shortens the lease to the longest one that it grants.
	strayLease struct {
		until time.Time // when the lease has certainly expired; zero if there is none
		since time.Time // when the last such start ended
		boot  int64     // start time of the process for which the starts were meant, 0 if of several
		taken bool      // such a process has answered a start, so that a task may be at work there
	}
)

// noteStart notes that a start for the worker's process which started at boot has ended
// with a result.
func (e *Engine) noteStart(w *worker, boot int64, s *queuedStart, clock int64, err error, now time.Time) {
	mayBeLate := err != nil && !wasNotExecuted(err)
	if mayBeLate {
		w.noteLateOrder(now)
		t := e.findTask(s.order.Task)
		switch {
		case t == nil || t.phase == done || !t.step.awaitsUnansweredStarts():
			e.unanswered.add(w.ID, runID{s.order.Task, s.order.Run}, t, now.Add(maxLateOrderTime), now)
		case t.startsRepeated > 0 || !t.isListedAs(w, s.order.Run):
			e.noteUnansweredStart(t, w.ID, s.order.Run, now.Add(maxLateOrderTime), now)
		}
	}
	if t := e.findTask(s.order.Task); t != nil && err != nil && !mayBeLate && t.startsRepeated == 0 {
		e.forgetUnansweredStart(t, w, s.order.Run, now)
	}
	if !mayBeLate && !mayExtendLease(err) || err == nil && boot == w.StartTimeMs && w.clockSample.matches(clock, s.queuedAt, now) {
		return
	}
	if err == nil {
		e.log.Info("start carried out by another process of its worker", "task", s.order.Task.String(), "run", s.order.Run, "worker", w.ID,
			"born", w.StartTimeMs, "meant-for", boot, "clock", clock, "expected", w.clockSample.workerTimeAfter(now, 0))
	}
	if !w.stray.until.IsZero() && w.stray.boot != boot {
		boot = 0
	}
	w.stray = strayLease{until: now.Add(e.longestLease()), since: now, boot: boot, taken: w.stray.taken || err == nil}
}

// strayLeaseExpiry returns when the lease of a process of which the leader doesn't know
// has certainly expired. Orders that are carried out late extend it for all its runs.
func (e *Engine) strayLeaseExpiry(w *worker) time.Time {
	if late := w.lateOrdersUntil.Add(e.longestLease()); w.stray.taken && late.After(w.stray.until) {
		return late
	}
	return w.stray.until
}

// noteUnansweredPoll notes that a poll which extends leases got no response.
func (e *Engine) noteUnansweredPoll(w *worker, now time.Time) {
	w.noteLateOrder(now)
	if !w.stray.until.IsZero() { // it may have reached the process that has taken a start
		w.stray.until, w.stray.since = now.Add(e.longestLease()), now
	}
}

// noteLateOrder notes that the worker may still carry out an order that extends its lease.
func (w *worker) noteLateOrder(now time.Time) {
	w.lateOrdersUntil = now.Add(maxLateOrderTime)
}

// stopLateStarts makes a worker that has restarted refuse the starts for its former
// processes that it may still carry out. Stops that these have acknowledged are forgotten,
// and the tasks may have been started elsewhere since. A run in the worker's report for
// which its task waits goes on.
func (e *Engine) stopLateStarts(w *worker, now time.Time, report modeler.Report) {
	for _, s := range e.unanswered[w.ID] {
		t := e.findTask(s.id.task)
		switch {
		case now.After(s.until):
		case t != nil && t.isPlacedAs(w, s.id.number): // resolveUnknownStart finds out what became of it
		case t != nil && t.phase == waiting && slices.Contains(t.unanswered, s) && (lists(report, s.id) || t.mayBeConfined()): // reconcileRuns adopts the run, or confineToWorker stops it
		default:
			e.stopOrphanedRun(w, t, s.id, now)
		}
	}
}

// confirmProcess notes that the process which started at boot has answered a poll sent at
// sentAt. If all starts since the last answer were meant for it, no other process has
// taken them.
func (w *worker) confirmProcess(boot int64, sentAt time.Time) {
	if w.stray.boot == boot && !sentAt.Before(w.stray.since) {
		w.stray = strayLease{}
	}
}

// mayExtendLease reports whether a worker that has answered a start with err has taken
// the lease from it.
func mayExtendLease(err error) bool {
	return err == nil || errors.Is(err, modeler.ErrStaleRun) || errors.Is(err, modeler.ErrInsufficientCapacity) ||
		errors.Is(err, modeler.ErrInvalidTicket) || errors.Is(err, modeler.ErrLeaseExpired)
}

// matches reports whether a value that a worker's clock showed between from and to is that
// of the clock of the sample.
func (c clockSample) matches(value int64, from, to time.Time) bool {
	earliest := c.workerMillis + int64(clockDrift*float64(from.Sub(c.receivedAt).Milliseconds()))
	latest := c.workerMillis + int64(float64(to.Sub(c.receivedAt).Milliseconds())/clockDrift)
	tolerance := clockTolerance.Milliseconds()
	return value >= earliest-tolerance && value <= latest+tolerance
}

// longestLease returns after how much time the longest lease that a worker grants has
// certainly expired.
func (e *Engine) longestLease() time.Duration {
	return time.Duration(float64(e.cfg.MaxWorkerLease)/clockDrift) + leaseEndMargin
}

// leaseAfterRestart returns how long the lease of a process may be that a worker has
// started since orders for the former one were sent, which it may carry out.
func (e *Engine) leaseAfterRestart(w *worker, now time.Time) time.Duration {
	return max(0, w.lateOrdersUntil.Sub(now)) + e.cfg.MaxWorkerLease
}

// inheritedLease returns how long the lease of a worker's process that started at boot may
// be when it responds for the first time in this term. The previous leader extended it by
// RunLease at most, but a process that started not long before may also have taken orders
// for a former one, of which no record tells.
func (e *Engine) inheritedLease(w *worker, boot int64) time.Duration {
	latest := e.cfg.WallClock().Add(-time.Since(e.termStart) - maxLateOrderTime - e.longestLease() - maxClockDifference)
	if !e.handover.isFirstTerm && time.UnixMilli(boot).After(latest) {
		return e.cfg.MaxWorkerLease
	}
	for _, t := range w.tasks {
		if t.placementBoot != 0 && t.placementBoot != boot {
			return e.cfg.MaxWorkerLease
		}
	}
	return e.cfg.RunLease
}
