package orchestrator

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/elector"
	"github.com/coltsfootlever/coltsfootlever/meter"
	"github.com/coltsfootlever/coltsfootlever/modeler"
	"github.com/coltsfootlever/coltsfootlever/supervisor"
)

const (
	pollWaitWithTasks        = 500 * time.Millisecond // how long a worker with tasks may hold a poll; a broken connection is noticed after this time
	pollWaitDuringStartup    = 250 * time.Millisecond // how long a worker may hold a poll while a long-running task is still starting up
	pollWaitIdle             = 2 * time.Second        // how long a worker without tasks may hold a poll; the maximum that workers accept
	pendingWritePollInterval = 500 * time.Millisecond // a worker whose next poll waits for a write to the store is polled again after this time
	minPollRetryInterval     = 150 * time.Millisecond // after a failed poll; doubles with each further failure
	maxPollRetryInterval     = time.Second            // upper limit of the retry interval for a worker that stays unresponsive
	maxReportWait            = 30 * time.Second       // how long the tasks of an unreachable worker that is still listed wait for its report after their leases have expired
	maxReportedEnds          = 500                    // a report contains at most this many ended runs, from the platform's documentation
)

// startWorkerCallers starts the goroutines that send calls and polls to a
// worker.
func (e *Engine) startWorkerCallers(ctx context.Context, w *worker) {
	ctx, w.cancel = context.WithCancel(ctx)
	w.pendingCalls = supervisor.NewRing[func(context.Context)](workerCallQueueSize)
	w.pollRequests = supervisor.NewRing[pollRequest](1)
	for range callersPerWorker {
		e.runInBackground(func() { runWorkerCalls(ctx, w.pendingCalls) })
	}
	requests := w.pollRequests
	e.runInBackground(func() { e.runPolls(ctx, w, requests) })
	e.requestPoll(w, time.Now(), 0)
}

// runWorkerCalls executes queued calls until ctx ends.
func runWorkerCalls(ctx context.Context, calls *supervisor.Ring[func(context.Context)]) {
	for {
		select {
		case <-ctx.Done():
			return
		case fn := <-calls.ReceiveChan():
			fn(ctx)
		}
	}
}

// runPolls sends queued polls to a worker until ctx ends.
func (e *Engine) runPolls(ctx context.Context, w *worker, requests *supervisor.Ring[pollRequest]) {
	for {
		select {
		case <-ctx.Done():
			return
		case l := <-requests.ReceiveChan():
			info := l.worker
			sentAt := time.Now()
			report, err := e.workers.RenewAndPoll(ctx, info, l.leaseDeadline, e.term.Token, l.acknowledgedEnd, l.maxWait)
			e.runInEventLoop(ctx, func() {
				if l.leaseDeadline > 0 && err != nil && !wasNotExecuted(err) {
					e.noteUnansweredPoll(w, time.Now())
				}
				e.handlePollResult(w, sentAt, report, err)
			})
		}
	}
}

// requestPoll queues a poll of a worker: it requests the lists of current and
// ended runs and extends the leases of the runs. The worker may hold the poll
// for up to wait until there is news.
func (e *Engine) requestPoll(w *worker, now time.Time, wait time.Duration) {
	if w.polling || w.pollRequests == nil {
		return
	}
	l := pollRequest{worker: w.Worker, acknowledgedEnd: w.acknowledgedEnd, maxWait: wait}
	switch {
	case w.failedPolls > 0:
		// The leases of an unresponsive worker must expire, so they are not extended.
		// The worker may also have restarted by now, and its ended runs are then
		// numbered from the beginning.
		l.acknowledgedEnd = 0
	case w.polled && !w.recorded && e.term.MayExtend():
		l.leaseDeadline = w.clockSample.workerTimeAfter(now, e.cfg.RunLease)
		w.leaseDeadline = max(w.leaseDeadline, l.leaseDeadline)
	}
	w.polling = w.pollRequests.Offer(l)
	w.lastPollAt = now
}

// retryPoll polls a worker again if the last poll failed or no poll is queued
// because a write to the store is awaited.
func (e *Engine) retryPoll(w *worker, now time.Time) {
	if w.polling || w.pollRequests == nil {
		return
	}
	pause := pendingWritePollInterval
	if w.failedPolls > 0 {
		pause = min(minPollRetryInterval<<min(w.failedPolls-1, 4), maxPollRetryInterval)
	}
	if now.Sub(w.lastPollAt) >= pause {
		e.requestPoll(w, now, 0)
	}
}

// handlePollResult processes the result of a poll.
func (e *Engine) handlePollResult(w *worker, sentAt time.Time, report modeler.Report, err error) {
	now := time.Now()
	w.polling, w.view.upToDate = false, false
	meter.RecordWorkerPoll(workerCallOutcome(err), now.Sub(sentAt))
	switch {
	case errors.Is(err, modeler.ErrFenced):
		e.log.Warn("term superseded: worker has seen a higher fencing token, ending the term", "worker", w.ID)
		e.term.Depose()
		return
	case err != nil:
		e.handlePollFailure(w, now, err)
		return
	}
	if report.StartTimeMs != w.StartTimeMs && w.polled {
		e.handleWorkerRestart(w, now, report)
	}
	w.confirmProcess(report.StartTimeMs, sentAt)
	if report.StartTimeMs != w.StartTimeMs {
		w.StartTimeMs, w.bootLearnedAt = report.StartTimeMs, e.term.Now()
		e.workerListRequested.Store(true)
	}
	if !w.reachable {
		w.reachable = true
		e.log.Info("worker reached: poll succeeded", "worker", w.ID, "pool", w.Pool, "failures", w.failedPolls)
		e.clearUnresponsiveWorker(w.ID)
		e.requestPlacement()
	}
	firstPoll, firstReport := !w.polled, !w.reported && isComplete(report)
	w.reported = w.reported || firstReport
	w.polled, w.replaced, w.ended, w.hasUnknownStart, w.failedPolls = true, false, false, false, 0
	delete(e.goneWorkers, w.ID)
	w.clockSample = clockSample{now, report.ClockMs}
	if firstPoll {
		e.instanceCores.known = false
		e.replacementDue = true
		w.leaseDeadline = max(w.leaseDeadline, report.ClockMs+e.inheritedLease(w, report.StartTimeMs).Milliseconds())
	}
	e.handleReportedEnds(w, report.Ended)
	e.reconcileRuns(w, sentAt, report, firstReport)
	e.adjustFillerPace(w, now)
	if w.acknowledgeStoredEnds() || w.recorded {
		return // the next poll acknowledges the ended runs once they are stored, or extends the leases once the store no longer names the worker
	}
	e.requestNextPoll(w, now)
}

// isComplete reports whether the report lists all ended runs that are not
// acknowledged. If so, a run that it doesn't list has ended or never started.
func isComplete(report modeler.Report) bool {
	return len(report.Ended) < maxReportedEnds
}

// requestNextPoll queues the next poll of a worker. The worker may hold it for
// less time while a long-running task starts up, or while tasks that use idle
// CPU run next to tasks with a latency target.
//
// While calls are late, retryPoll polls the worker after a pause instead, so that
// fewer polls tell of more ended runs each.
func (e *Engine) requestNextPoll(w *worker, now time.Time) {
	if e.throttle.IsCongested() {
		return
	}
	wait := pollWaitIdle
	if len(w.tasks) > 0 {
		wait = pollWaitWithTasks
	}
	serves, fills := false, false
	for _, t := range w.tasks {
		if t.step.LongRunning && !t.startupDone {
			wait = pollWaitDuringStartup
		}
		serves, fills = serves || t.step.LatencyTarget > 0, fills || t.step.UsesIdleCPU
	}
	if serves && fills {
		wait = pollWaitDuringStartup
	}
	e.requestPoll(w, now, w.clearancePollWait(wait))
}

// handlePollFailure records that a poll failed.
func (e *Engine) handlePollFailure(w *worker, now time.Time, err error) {
	w.failedPolls++
	if w.failedPolls >= failedPollsUntilUnresponsive {
		w.markSuspect(now)
	}
	if w.reachable || w.failedPolls == 1 {
		e.log.Warn("worker not reached: poll failed, trying again", "worker", w.ID, "pool", w.Pool, "tasks", len(w.tasks), "error", err)
	}
	if w.reachable {
		w.reachable, w.unreachableSince = false, now
	}
	e.recordUnresponsiveWorker(w, now)
}

// handleWorkerRestart requeues the tasks that were running on the worker before
// its restart. Orders that were in flight may have reached the restarted
// worker, so their tasks are kept; the responses or the worker's lists show
// what happened to them.
func (e *Engine) handleWorkerRestart(w *worker, now time.Time, report modeler.Report) {
	e.log.Info("worker has restarted", "worker", w.ID, "born", report.StartTimeMs, "before", w.StartTimeMs, "tasks", len(w.tasks))
	w.acknowledgedEnd, w.pendingEnds, w.lostAt = 0, nil, e.term.Now()
	w.leaseDeadline = report.ClockMs + e.leaseAfterRestart(w, now).Milliseconds()
	listed := make(map[runID]bool, len(report.Running)+len(report.Ended))
	for _, r := range report.Running {
		listed[runID{r.Task, r.Run}] = true
	}
	for _, r := range report.Ended {
		listed[runID{r.Task, r.Run}] = true
	}
	var ended, lost []*task
	for id, t := range w.tasks {
		if listed[runID{id, t.run}] {
			continue
		}
		ended = append(ended, t)
		if t.phase == running || t.phase == stopping || t.phase == adopted {
			lost = append(lost, t)
		}
	}
	e.assessCrash(w, ended, "reborn")
	for _, t := range lost {
		e.requeueLostTask(w, t, "reborn")
	}
	for _, r := range w.orphanedRuns {
		r.stop = stopState{} // the present process knows of no stop
	}
	e.stopLateStarts(w, now, report)
	e.requestPlacement()
}

// requeueTasksOf requeues all tasks of a worker on which all runs have certainly
// ended, including orphaned ones.
func (e *Engine) requeueTasksOf(w *worker, reason string) {
	if len(w.tasks)+len(w.orphanedRuns) == 0 {
		return
	}
	if w.replaced || w.ended {
		e.assessCrash(w, slices.Collect(maps.Values(w.tasks)), reason) // leases that are over don't prove that the worker has ended
	}
	for _, t := range w.tasks {
		e.requeueLostTask(w, t, reason)
	}
	clear(w.orphanedRuns)
	e.requestPlacement()
}

// requeueLostTask requeues a task whose run has certainly ended without a
// report.
func (e *Engine) requeueLostTask(w *worker, t *task, reason string) {
	e.log.Info("run lost, its task is requeued", "task", t.id.String(), "run", t.run, "worker", w.ID, "phase", t.phase.String(), "reason", reason,
		"worked", w.longestWorkOf(t, time.Now()).Round(time.Millisecond).String(), "listed", t.listedFor.Round(time.Millisecond).String())
	meter.CountLostRun(reason)
	t.lostAt = w.lostAt
	t.waitsSince = e.lastContact(w)
	e.noteStartOfLostRun(t, time.Now())
	e.requeueTask(t)
}

// lastContact returns when the worker last answered a poll of this leader or can have
// answered one of its predecessor.
func (e *Engine) lastContact(w *worker) time.Time {
	if w.clockSample.receivedAt.IsZero() {
		return e.lastContactBeforeTerm()
	}
	return w.clockSample.receivedAt
}

// lastContactBeforeTerm returns when the previous leader can have had contact with workers
// that have ended since.
func (e *Engine) lastContactBeforeTerm() time.Time {
	if e.handover.predecessorStoredAll {
		return e.termStart
	}
	return e.termStart.Add(-maxTakeoverTime)
}

// longestWorkOf returns how long the present run of a task on the worker can have
// worked at most: until the worker stopped responding, if it has.
func (w *worker) longestWorkOf(t *task, now time.Time) time.Duration {
	if t.phaseSince.IsZero() {
		return 0
	}
	if !w.reachable {
		now = w.unreachableSince
	}
	return max(0, now.Sub(t.phaseSince))
}

// handleLeaseExpiry requeues the tasks of an unresponsive worker once all its
// leases have certainly expired, and removes the worker if it is no longer
// listed.
//
// The expiry proves that nothing runs on the worker any more, but not that a run
// has not been completed before. A worker that is still listed is at work, and only
// this entry node can't reach it: its tasks wait for its report, for up to
// maxReportWait. Long-running tasks don't wait, because they can't be completed.
func (e *Engine) handleLeaseExpiry(w *worker, now time.Time) {
	if w.reachable {
		return
	}
	expiry := e.leaseExpiry(w)
	if now.Before(expiry) {
		return
	}
	w.lostAt = e.term.Now()
	if w.listed && !w.replaced && !w.ended && now.Before(expiry.Add(maxReportWait)) {
		e.requeueLongRunningTasksOf(w, "lease over")
		return
	}
	e.requeueTasksOf(w, "lease over")
	if !w.listed && now.After(w.lateOrdersUntil) { // they are expected if the worker returns under its ID
		if w.cancel != nil {
			w.cancel()
		}
		delete(e.workersByID, w.ID)
		e.unanswered.prune(w.ID, now)
		e.removeFromPool(w)
		e.forgetStartsInFlight(w)
		e.log.Info("worker gone: no longer listed and its leases have expired", "worker", w.ID, "pool", w.Pool)
		e.clearUnresponsiveWorker(w.ID)
	}
}

// requeueLongRunningTasksOf requeues the long-running tasks of a worker on which
// all runs have certainly ended. It also forgets orphaned runs, but for those that
// may have been completed and whose task is still wanted.
func (e *Engine) requeueLongRunningTasksOf(w *worker, reason string) {
	for id, r := range w.orphanedRuns {
		if r.task == nil || r.task.step.LongRunning || r.task.phase == done {
			delete(w.orphanedRuns, id)
			e.requestPlacement()
		}
	}
	for _, t := range w.tasks {
		if t.step.LongRunning {
			e.requeueLostTask(w, t, reason)
			e.requestPlacement()
		}
	}
}

// leaseExpiry returns the time at which all leases of an unresponsive worker
// have certainly expired. If the worker has not responded in this term, the
// previous leader may have extended its leases for some time after this term
// began, unless the previous leader recorded that the worker had stopped
// responding. It returns the zero time if the worker has ended or been replaced.
//
// A start may have been carried out by a process of which the leader doesn't know, see
// strayLease.
func (e *Engine) leaseExpiry(w *worker) time.Time {
	if w.replaced || w.ended {
		return time.Time{}
	}
	if w.polled {
		expiry := w.clockSample.localTimeOf(w.leaseDeadline)
		if stray := e.strayLeaseExpiry(w); stray.After(expiry) {
			expiry = stray
		}
		if inFlight := time.Now().Add(e.longestLease()); w.startsInFlight > 0 && inFlight.After(expiry) {
			expiry = inFlight
		}
		return expiry
	}
	expiry := e.inheritedLeaseExpiry()
	if s, ok := e.unresponsive.workers[w.ID]; ok {
		left := s.Until.Add(maxClockDifference).Sub(e.cfg.WallClock())
		if recorded := time.Now().Add(left); recorded.Before(expiry) {
			return recorded
		}
	}
	return expiry
}

// inheritedLeaseExpiry returns the time at which all leases that the previous leader
// may have extended have certainly expired. Before the term, processes that started
// under the ID of earlier ones may have taken orders for these.
func (e *Engine) inheritedLeaseExpiry() time.Time {
	extended := time.Duration(float64(e.cfg.RunLease)/clockDrift) + elector.ExtensionLimit() + leaseEndMargin
	return e.termStart.Add(max(extended, e.longestLease()))
}
