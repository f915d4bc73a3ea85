package orchestrator

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/elector"
	"github.com/coltsfootlever/coltsfootlever/meter"
	"github.com/coltsfootlever/coltsfootlever/modeler"
	"github.com/coltsfootlever/coltsfootlever/supervisor"
)

const (
	pollWaitWithTasks        = 500 * time.Millisecond // look of a worker with runs; a channel that has fallen silent is noticed after this
	pollWaitDuringStartup    = 250 * time.Millisecond // look of a worker with a lasting task that is not at work yet
	pollWaitIdle             = 2 * time.Second        // look of a worker without runs, the longest that workers grant
	unstoredEndsPollInterval = 500 * time.Millisecond // ends that cannot be stored are listed again after this
	minPollRetryInterval     = 150 * time.Millisecond // after a look without an answer
	maxPollRetryInterval     = time.Second            // the same for a worker that stays silent
)

// attend starts the goroutines that call a worker.
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

func runWorkerCalls(ctx context.Context, calls *supervisor.Ring[func(context.Context)]) {
	for {
		select {
		case <-ctx.Done():
			return
		case fn := <-calls.C():
			fn(ctx)
		}
	}
}

func (e *Engine) runPolls(ctx context.Context, w *worker, requests *supervisor.Ring[pollRequest]) {
	for {
		select {
		case <-ctx.Done():
			return
		case l := <-requests.C():
			info := l.worker
			sentAt := time.Now()
			report, err := e.workers.Hold(ctx, info, l.leaseDeadline, e.term.Token, l.acknowledgedEnd, l.maxWait)
			e.runInEventLoop(ctx, func() { e.handlePollResult(w, sentAt, report, err) })
		}
	}
}

// look asks for a worker's lists and extends the leases of its runs.
func (e *Engine) requestPoll(w *worker, now time.Time, wait time.Duration) {
	if w.polling || w.pollRequests == nil {
		return
	}
	l := pollRequest{worker: w.Worker, acknowledgedEnd: w.acknowledgedEnd, maxWait: wait}
	switch {
	case w.failedPolls > 0:
		// Leases of a silent worker have to run out, and another life of it may
		// answer, whose ends have other numbers.
		l.acknowledgedEnd = 0
	case w.polled && e.term.MayExtend():
		l.leaseDeadline = w.clockSample.workerTimeAfter(now, e.cfg.RunLease)
		w.leaseDeadline = max(w.leaseDeadline, l.leaseDeadline)
	}
	w.polling = w.pollRequests.Offer(l)
	w.lastPollAt = now
}

// lookAgain repeats a look that was held back.
func (e *Engine) retryPoll(w *worker, now time.Time) {
	if w.polling || w.pollRequests == nil {
		return
	}
	pause := unstoredEndsPollInterval
	if w.failedPolls > 0 {
		pause = min(minPollRetryInterval<<min(w.failedPolls-1, 4), maxPollRetryInterval)
	}
	if now.Sub(w.lastPollAt) >= pause {
		e.requestPoll(w, now, 0)
	}
}

// looked takes in the answer to a look.
func (e *Engine) handlePollResult(w *worker, sentAt time.Time, report modeler.Report, err error) {
	now := time.Now()
	w.polling = false
	meter.Look(workerCallOutcome(err), now.Sub(sentAt))
	switch {
	case errors.Is(err, modeler.ErrFenced):
		e.log.Warn("superseded", "worker", w.ID)
		e.term.Depose()
		return
	case err != nil:
		e.handlePollFailure(w, now, err)
		return
	}
	if report.StartTimeMs != w.StartTimeMs && w.polled {
		e.handleWorkerRestart(w, report)
	}
	w.StartTimeMs = report.StartTimeMs
	if !w.reachable {
		w.reachable = true
		e.log.Info("worker reached", "worker", w.ID, "pool", w.Pool, "failures", w.failedPolls)
		e.clearUnresponsive(w.ID)
		e.requestPlacement()
	}
	firstPoll := !w.polled
	w.polled, w.replaced, w.hasUnknownStart, w.failedPolls = true, false, false, 0
	w.clockSample = clockSample{now, report.ClockMs}
	e.handleReportedEnds(w, report.Ended)
	e.reconcileRuns(w, sentAt, report, firstPoll)
	e.adjustFillerPace(w, now)
	if w.acknowledgeStoredEnds() {
		return // the next look confirms the ends once they are stored
	}
	e.requestNextPoll(w, now)
}

func (e *Engine) requestNextPoll(w *worker, now time.Time) {
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
	e.requestPoll(w, now, wait)
}

// missed notes a look without an answer.
func (e *Engine) handlePollFailure(w *worker, now time.Time, err error) {
	w.failedPolls++
	if w.failedPolls >= failedPollsUntilUnresponsive {
		w.markSuspect(now)
	}
	if w.reachable || w.failedPolls == 1 {
		e.log.Warn("worker not reached", "worker", w.ID, "pool", w.Pool, "tasks", len(w.tasks), "error", err)
	}
	w.reachable = false
	e.recordUnresponsive(w)
}

// reborn ends what an earlier life of the worker had. Orders that are on their
// way may have reached the new life; their answers or its lists tell.
func (e *Engine) handleWorkerRestart(w *worker, report modeler.Report) {
	e.log.Info("worker has started anew", "worker", w.ID, "born", report.StartTimeMs, "before", w.StartTimeMs, "tasks", len(w.tasks))
	w.acknowledgedEnd, w.pendingEnds = 0, nil
	w.leaseDeadline = report.ClockMs + e.cfg.MaxWorkerLease.Milliseconds() // of orders that were meant for the earlier life
	listed := make(map[modeler.TaskID]int)
	for _, r := range report.Running {
		listed[r.Task] = r.Run
	}
	for _, r := range report.Ended {
		listed[r.Task] = r.Run
	}
	for id, t := range w.tasks {
		confirmed := t.phase == running || t.phase == stopping || t.phase == adopted
		if confirmed && listed[id] != t.run {
			e.requeueLostTask(w, t, "reborn")
		}
	}
	e.requestPlacement()
}

// lose lets all tasks of a worker run elsewhere, because they have certainly
// ended there.
func (e *Engine) requeueTasksOf(w *worker, reason string) {
	for _, t := range w.tasks {
		e.requeueLostTask(w, t, reason)
	}
	clear(w.orphanedRuns)
	e.requestPlacement()
}

func (e *Engine) requeueLostTask(w *worker, t *task, reason string) {
	e.log.Info("run lost", "task", t.id.String(), "run", t.run, "worker", w.ID, "phase", t.phase.String(), "reason", reason)
	e.requeueTask(t)
}

// expire gives up the tasks of a worker whose leases are certainly over.
func (e *Engine) handleLeaseExpiry(w *worker, now time.Time) {
	if w.reachable || now.Before(e.leaseExpiry(w)) {
		return
	}
	if len(w.tasks) > 0 {
		e.requeueTasksOf(w, "lease over")
	}
	if !w.listed {
		if w.cancel != nil {
			w.cancel()
		}
		delete(e.workersByID, w.ID)
		e.log.Info("worker gone", "worker", w.ID, "pool", w.Pool)
		e.clearUnresponsive(w.ID)
	}
}

// lapse is the time at which all leases of a silent worker are over. A worker
// that has not answered in this term may have been extended by the predecessor
// for some time after the term began, unless the predecessor has noted that it
// did not answer any more.
func (e *Engine) leaseExpiry(w *worker) time.Time {
	if w.replaced {
		return time.Time{}
	}
	if w.polled {
		return w.clockSample.localTimeOf(w.leaseDeadline)
	}
	maxLease := time.Duration(float64(e.cfg.RunLease)/clockDrift) + elector.ExtensionLimit() + leaseEndMargin
	expiry := e.termStart.Add(maxLease)
	if s, ok := e.unresponsive.workers[w.ID]; ok {
		if recorded := s.Until.Add(maxClockDifference); recorded.Before(expiry) {
			return recorded
		}
	}
	return expiry
}
