package orchestrator

import (
	"context"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/evacuator"
	"github.com/coltsfootlever/coltsfootlever/meter"
	"github.com/coltsfootlever/coltsfootlever/modeler"
	"github.com/coltsfootlever/coltsfootlever/requester"
	"github.com/coltsfootlever/coltsfootlever/supervisor"
)

const (
	slowStart            = 100 * time.Millisecond // a start that takes longer is logged
	maxStartQueueTime    = time.Second            // a start that has waited longer for its worker's other calls is not sent
	callRetryInterval    = 100 * time.Millisecond // between attempts to resolve a call with unknown outcome, or to stop a run
	maxStopRetryInterval = time.Second            // between attempts to stop a run; doubles up to this with each failure
	maxStopDoublings     = 4                      // of that interval
	stopRepeatInterval   = 500 * time.Millisecond // a worker responds to a stop within a few ms and ends the run within the platform's stop timeout

	minRejectionPause     = 500 * time.Millisecond // before a task whose start was rejected is placed again; doubles with each further rejection
	maxRejectionPause     = 10 * time.Second       // upper limit of that pause
	maxRejectionDoublings = 5                      // after so many the pause has reached its limit

	errStartWithdrawn = errors.ConstError("start not sent: its job has ended, or its worker has no room any more")
	errStartTooLate   = errors.ConstError("start not sent: it waited too long for other calls to the worker")
	errListTooOld     = errors.ConstError("start not sent: the list of workers is too old to rely on their capacity")
)

// States of a startPermit.
const (
	startQueued int32 = iota
	startSent
	startWithdrawn
)

type (
	// startPermit is the permission to send a queued start. The event loop withdraws it
	// when the task must no longer start.
	startPermit struct {
		state atomic.Int32
	}

	// queuedStart is a start in the queue of its worker's calls.
	queuedStart struct {
		order    modeler.StartOrder
		permit   *startPermit
		queuedAt time.Time
		zone     string      // of the worker
		gang     *gangStarts // nil unless the task belongs to a gang
		clock    clockSample // of the worker
		sendBy   time.Time   // see checkZone; zero for no limit
	}
)

// withdraw withdraws the permission and reports whether the start will not be sent.
// If it has been sent, its result shows what to do.
func (p *startPermit) withdraw() bool {
	return p.state.CompareAndSwap(startQueued, startWithdrawn) || p.state.Load() == startWithdrawn
}

// checkPermit returns an error if a queued start may not be sent any more. Otherwise
// the permission is used up, and the caller must send the order.
func (e *Engine) checkPermit(s *queuedStart) error {
	if s.permit.state.Load() == startWithdrawn {
		return errStartWithdrawn
	}
	if s.gang != nil {
		s.gang.mu.Lock()
		defer s.gang.mu.Unlock()
	}
	if err := e.checkZone(s); err != nil {
		return err
	}
	switch {
	case time.Since(s.queuedAt) > maxStartQueueTime || !e.term.MayExtend():
		return errStartTooLate
	case !e.knowsCapacities():
		return errListTooOld
	case !s.permit.state.CompareAndSwap(startQueued, startSent):
		return errStartWithdrawn
	}
	if s.gang != nil {
		s.gang.sent = true
	}
	return nil
}

// knowsCapacities reports whether the list of workers is new enough to rely on the
// capacities in it.
func (e *Engine) knowsCapacities() bool {
	return e.cfg.MaxWorkerListAge == 0 || e.term.Now()-time.Duration(e.workersAsOf.Load()) < e.cfg.MaxWorkerListAge
}

// withdrawStartsBeyondCapacity requeues tasks that have been placed on a worker and
// not sent, the last ones first, until the others fit on it. Starts in its queue are
// withdrawn unless they have been sent meanwhile. The members of a gang stay, because
// the others would wait for them.
func (e *Engine) withdrawStartsBeyondCapacity(w *worker) {
	excess := w.used.Sub(w.Capacity)
	withdrawn := 0
	for _, t := range slices.Backward(slices.SortedFunc(maps.Values(w.tasks), func(a, b *task) int { return a.phaseSince.Compare(b.phaseSince) })) {
		if excess.Fits(modeler.Resources{}) {
			break
		}
		switch {
		case t.step.Gang:
			continue
		case t.phase == placed:
			e.requeueTask(t)
		case t.phase != starting || !t.permit.withdraw():
			continue
		}
		excess = excess.Sub(t.step.ReservedResources())
		withdrawn++
	}
	if withdrawn > 0 {
		e.log.Info("starts withdrawn: their worker has less capacity now", "worker", w.ID, "tasks", withdrawn, "in-use", w.used, "capacity", w.Capacity)
		e.requestPlacement()
	}
}

// sendStart sends the start of a placed task to its worker. now must have been
// taken before the check that the leader may still extend leases, because the
// lease is counted from it.
func (e *Engine) sendStart(ctx context.Context, t *task, now time.Time) {
	w := t.worker
	o := modeler.StartOrder{
		Task: t.id, Run: t.run, Spec: t.step.occurrence.job.Spec, Checkpoint: t.checkpoint(), FencingToken: e.term.Token,
		DeadlineMs: w.clockSample.workerTimeAfter(now, e.cfg.RunLease), Ticket: t.ticket,
	}
	info, start := w.Worker, &queuedStart{order: o, permit: &startPermit{}, queuedAt: now, zone: w.Zone, gang: t.gangStartsOf(), clock: w.clockSample}
	t.permit = start.permit
	queued := e.queueCall(w, func(ctx context.Context) {
		clock, err := int64(0), e.checkPermit(start)
		if err == nil {
			clock, err = e.callStart(ctx, info, start)
		}
		e.runInEventLoop(ctx, func() {
			e.countStartResult(w)
			e.noteStart(w, info.StartTimeMs, start, clock, err, time.Now())
			e.handleStartResult(ctx, w, t, o, clock, err)
		})
	})
	if !queued && t.phase == outcomeUnknown {
		t.startsRepeated = maxRepeatedStarts
		e.resolveUnknownStart(ctx, w, t, o, 0)
		return
	}
	if !queued {
		w.markSuspect(now)
		e.requeueTask(t)
		e.requestPlacement()
		return
	}
	e.startsInFlight++
	w.startsInFlight++
	w.leaseDeadline = max(w.leaseDeadline, o.DeadlineMs)
	t.setPhase(starting)
	t.phaseSince = now
}

// callStart sends a start to its worker, but not after the time until which it may be
// sent.
func (e *Engine) callStart(ctx context.Context, info modeler.Worker, s *queuedStart) (clock int64, err error) {
	if !s.sendBy.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, s.sendBy)
		defer cancel()
	}
	return e.workers.Start(ctx, info, s.order)
}

// countStartResult records that a start is no longer in flight.
func (e *Engine) countStartResult(w *worker) {
	if w.startsInFlight > 0 { // otherwise the worker is gone, and forgetStartsInFlight has counted the start
		w.startsInFlight--
		e.startsInFlight--
	}
}

// forgetStartsInFlight records that the starts in flight to a worker that is gone
// will have no result.
func (e *Engine) forgetStartsInFlight(w *worker) {
	e.startsInFlight -= w.startsInFlight
	w.startsInFlight = 0
}

// queueCall queues a call to a worker and reports whether there was room for
// it. If not, the call is dropped.
func (e *Engine) queueCall(w *worker, fn func(ctx context.Context)) bool {
	if w.pendingCalls == nil {
		return false // the worker has never been listed
	}
	if !w.pendingCalls.Offer(fn) {
		e.log.Warn("order dropped: call queue of the worker is full", "worker", w.ID)
		return false
	}
	return true
}

// handleStartResult processes the result of a start.
func (e *Engine) handleStartResult(ctx context.Context, w *worker, t *task, o modeler.StartOrder, clock int64, err error) {
	if t.worker != w || t.run != o.Run || t.phase != starting {
		return // a poll has reported the run earlier, or the task was requeued
	}
	now := time.Now()
	meter.RecordTaskStart(workerCallOutcome(err), now.Sub(t.phaseSince))
	if err != nil && wasNotExecuted(err) && !errors.Is(err, modeler.ErrFenced) && t.startsRepeated > 0 {
		e.log.Info("repeated start of a run refused, the run is stopped", "task", o.Task.String(), "run", o.Run, "worker", w.ID, "error", err)
		if errors.Is(err, modeler.ErrInvalidTicket) {
			t.step.dropTicket(w, now)
		}
		t.setPhase(outcomeUnknown)
		t.startsRepeated = maxRepeatedStarts // an earlier call may have been carried out
		e.resolveUnknownStart(ctx, w, t, o, 0)
		return
	}
	switch {
	case err == nil:
		if took := now.Sub(t.phaseSince); took > slowStart {
			e.log.Info("run started", "task", o.Task.String(), "run", o.Run, "worker", w.ID, "clock", clock, "took", took.Round(time.Millisecond).String())
		}
		t.setPhase(running)
		t.phaseSince = now
		t.step.noteTicketUsed()
		e.noteBegun(t)
		e.admission.starts[w.Pool]++
		e.stopIfUnwanted(t)
	case errors.Is(err, errStartWithdrawn), errors.Is(err, errListTooOld):
		if t.withheldRun != t.run { // otherwise logWithheldStarts logs it
			e.log.Info("start of a run withdrawn before it was sent", "task", o.Task.String(), "run", o.Run, "worker", w.ID, "reason", err)
		}
		e.requeueTask(t)
		e.requestPlacement()
	case errors.Is(err, modeler.ErrFenced):
		e.log.Warn("term superseded: worker has seen a higher fencing token, ending the term", "worker", w.ID)
		e.term.Depose()
	case errors.Is(err, evacuator.ErrEvacuated), errors.Is(err, evacuator.ErrOutdated), w.evacuated && t.step.Gang && wasNotExecuted(err):
		e.noteWithheld(t, err)
		if t.step.Gang {
			e.withdrawGang(t.step, err)
		}
		e.requeueTask(t)
		e.requestPlacement()
	case wasNotExecuted(err):
		e.log.Info("start of a run refused by its worker, its task is requeued", "task", o.Task.String(), "run", o.Run, "worker", w.ID, "error", err)
		e.handleRefusedStart(w, t, now, err)
	default:
		e.log.Info("start of a run got no response, asking its worker whether it runs", "task", o.Task.String(), "run", o.Run, "worker", w.ID, "meant-for", t.placementBoot, "born", w.StartTimeMs, "error", err)
		t.setPhase(outcomeUnknown)
		w.hasUnknownStart = true
		e.resolveUnknownStart(ctx, w, t, o, 0)
	}
}

// workerCallOutcome returns the metric label for the outcome of a worker call.
func workerCallOutcome(err error) meter.Outcome {
	switch {
	case err == nil:
		return meter.OK
	case wasNotExecuted(err):
		return meter.Refused
	}
	return meter.Unknown
}

// wasNotExecuted reports whether a failed call was certainly not executed by
// the worker.
func wasNotExecuted(err error) bool {
	var requestErr *requester.Error
	return !errors.As(err, &requestErr) || !requestErr.MaybeSent
}

// handleRefusedStart requeues a task whose start was refused. Its worker gets
// no new tasks for a while, unless the refusal concerns only this ticket, run or
// task. A task that was rejected as malformed waits before it is placed again.
func (e *Engine) handleRefusedStart(w *worker, t *task, now time.Time, err error) {
	switch {
	case errors.Is(err, modeler.ErrInvalidTicket):
		t.step.dropTicket(w, now)
	case errors.Is(err, modeler.ErrRejected): // another worker will probably reject it as well
		t.rejections++
		t.retryAt = now.Add(min(minRejectionPause<<min(t.rejections-1, maxRejectionDoublings), maxRejectionPause))
	case !errors.Is(err, modeler.ErrStaleRun):
		w.markSuspect(now)
	}
	e.requeueTask(t)
	e.requestPlacement()
}

// resolveUnknownStart resolves a start that got no response: it polls the worker until
// the run is listed, see handleUnlistedStart for one that is not. While
// polls fail the run may be at work, so it is not stopped. stoppedBoot is the start time
// of the worker process that an earlier attempt found without the run before it stopped
// it, or 0. A restarted worker has forgotten the stop, so the stop counts only if that
// process answers the next poll too. Each attempt calls the worker at its present
// address.
func (e *Engine) resolveUnknownStart(ctx context.Context, w *worker, t *task, o modeler.StartOrder, stoppedBoot int64) {
	if t.worker != w || t.run != o.Run || t.phase != outcomeUnknown {
		return // a poll has reported the run, or the task was requeued
	}
	if w.failedPolls > 0 { // the worker's own polls find out when it responds, for all its starts
		e.resolveUnknownStartLater(ctx, w, t, o, stoppedBoot)
		return
	}
	target := w.Worker
	e.runInBackground(func() {
		report, err := e.workers.RenewAndPoll(ctx, target, 0, e.term.Token, 0, 0)
		if err == nil {
			stopped := stoppedBoot != 0 && stoppedBoot == report.StartTimeMs
			if listed := reportsRun(report, o); listed || stopped {
				e.runInEventLoop(ctx, func() { e.handleResolvedStart(ctx, w, t, o, listed && !stopped, report) })
				return
			}
			e.runInEventLoop(ctx, func() { e.handleUnlistedStart(ctx, w, t, o, report) })
			return
		}
		if supervisor.Pause(ctx, callRetryInterval) != nil {
			return
		}
		e.runInEventLoop(ctx, func() { e.resolveUnknownStart(ctx, w, t, o, stoppedBoot) })
	})
}

// resolveUnknownStartLater resolves a start again whose run has been stopped or
// has ended on the worker process that started at boot. Its worker may restart
// and forget the end before a poll reports it.
func (e *Engine) resolveUnknownStartLater(ctx context.Context, w *worker, t *task, o modeler.StartOrder, boot int64) {
	e.runInBackground(func() {
		if supervisor.Pause(ctx, callRetryInterval) == nil {
			e.runInEventLoop(ctx, func() { e.resolveUnknownStart(ctx, w, t, o, boot) })
		}
	})
}

// reportsRun reports whether the worker lists the run that the order was meant
// to start.
func reportsRun(report modeler.Report, o modeler.StartOrder) bool {
	for _, r := range report.Running {
		if r.Task == o.Task && r.Run == o.Run {
			return true
		}
	}
	return false
}

// handleResolvedStart processes the result of resolveUnknownStart.
func (e *Engine) handleResolvedStart(ctx context.Context, w *worker, t *task, o modeler.StartOrder, started bool, report modeler.Report) {
	w.hasUnknownStart = false
	if t.worker != w || t.run != o.Run || t.phase != outcomeUnknown {
		return
	}
	if started {
		e.log.Info("run started", "task", o.Task.String(), "run", o.Run, "worker", w.ID, "clock", report.ClockMs, "settled", true)
		e.forgetUnansweredStart(t, w, o.Run, time.Time{})
		t.setPhase(running)
		t.phaseSince = time.Now()
		e.noteBegun(t)
		e.stopIfUnwanted(t)
		return
	}
	for _, ended := range report.Ended {
		if ended.Task == o.Task && ended.Run == o.Run {
			e.resolveUnknownStartLater(ctx, w, t, o, report.StartTimeMs) // unless the next poll reports the ended run
			return
		}
	}
	if reportsRun(report, o) {
		t.step.occurrence.job.markStarted()
		t.setPhase(stopping)
		t.phaseSince, t.stop = time.Now(), stopState{repeatAt: time.Now().Add(stopRepeatInterval)}
		return
	}
	if !isComplete(report) || report.StartTimeMs != w.StartTimeMs { // the worker's next poll assesses its restart with all its tasks
		e.resolveUnknownStartLater(ctx, w, t, o, report.StartTimeMs)
		return
	}
	e.log.Info("start of a run prevented by a stop, its task is requeued", "task", o.Task.String(), "run", o.Run, "worker", w.ID)
	e.noteRefusedRun(w, runID{o.Task, o.Run})
	e.requeueTask(t)
	e.requestPlacement()
}

// requestStop stops the run of a task. Later polls report when the run has
// ended.
func (e *Engine) requestStop(t *task) {
	switch t.phase {
	case running:
		t.setPhase(stopping)
		t.phaseSince, t.stop = time.Now(), stopState{}
		e.sendStop(t.worker, t.id, t.run, &t.stop)
	case placed:
		e.requeueTask(t) // no start has been sent yet
	case starting:
		t.permit.withdraw()
	}
}

// sendStop sends the stop of a run.
func (e *Engine) sendStop(w *worker, id modeler.TaskID, run int, s *stopState) {
	info, token := w.Worker, e.term.Token
	s.inFlight = e.queueCall(w, func(ctx context.Context) {
		err := e.workers.Stop(ctx, info, id, run, token)
		e.runInEventLoop(ctx, func() {
			s.inFlight, s.repeatAt = false, time.Now().Add(stopRepeatInterval)
			if err == nil {
				if s.acknowledgedAt.IsZero() && info.StartTimeMs == w.StartTimeMs {
					s.acknowledgedAt = time.Now()
				}
				return
			}
			s.repeatAt = time.Now().Add(min(callRetryInterval<<min(s.failures, maxStopDoublings), maxStopRetryInterval))
			s.failures++
			if !s.failureLogged {
				s.failureLogged = true
				e.log.Warn("stop of a run failed, trying again", "task", id.String(), "run", run, "worker", w.ID, "error", err)
			}
		})
	})
	if !s.inFlight {
		s.repeatAt = time.Now().Add(stopRepeatInterval)
	}
}

// repeatStops sends the stops of runs again that have not ended, because a stop
// may get lost or be refused.
func (e *Engine) repeatStops(w *worker, now time.Time) {
	for id, t := range w.tasks {
		if t.phase == stopping && t.stop.isDue(now) {
			e.sendStop(w, id, t.run, &t.stop)
		}
	}
	for id, r := range w.orphanedRuns {
		if r.stop.isDue(now) {
			e.sendStop(w, id.task, id.number, &r.stop)
		}
	}
}

// isDue reports whether the stop must be sent again.
func (s *stopState) isDue(now time.Time) bool {
	return !s.inFlight && !now.Before(s.repeatAt)
}
