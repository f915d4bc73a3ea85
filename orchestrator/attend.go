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
	busyWait      = 500 * time.Millisecond // look of a worker with runs; a channel that has fallen silent is noticed after this
	startWait     = 250 * time.Millisecond // look of a worker with a lasting task that is not at work yet
	idleWait      = 2 * time.Second        // look of a worker without runs, the longest that workers grant
	storeWait     = 500 * time.Millisecond // ends that cannot be stored are listed again after this
	lookRetry     = 150 * time.Millisecond // after a look without an answer
	lookRetryMost = time.Second            // the same for a worker that stays silent
)

// attend starts the goroutines that call a worker.
func (e *Engine) attend(ctx context.Context, w *worker) {
	ctx, w.cancel = context.WithCancel(ctx)
	w.orders = supervisor.NewRing[func(context.Context)](orderRing)
	w.looks = supervisor.NewRing[look](1)
	for range orderLanes {
		e.spawn(func() { runOrders(ctx, w.orders) })
	}
	looks := w.looks
	e.spawn(func() { e.runLooks(ctx, w, looks) })
	e.look(w, time.Now(), 0)
}

func runOrders(ctx context.Context, orders *supervisor.Ring[func(context.Context)]) {
	for {
		select {
		case <-ctx.Done():
			return
		case fn := <-orders.C():
			fn(ctx)
		}
	}
}

func (e *Engine) runLooks(ctx context.Context, w *worker, looks *supervisor.Ring[look]) {
	for {
		select {
		case <-ctx.Done():
			return
		case l := <-looks.C():
			info := l.worker
			sent := time.Now()
			report, err := e.workers.Hold(ctx, info, l.deadline, e.term.Token, l.seen, l.wait)
			e.post(ctx, func() { e.looked(w, sent, report, err) })
		}
	}
}

// look asks for a worker's lists and extends the leases of its runs.
func (e *Engine) look(w *worker, now time.Time, wait time.Duration) {
	if w.looking || w.looks == nil {
		return
	}
	l := look{worker: w.Worker, seen: w.seen, wait: wait}
	switch {
	case w.failures > 0:
		// Leases of a silent worker have to run out, and another life of it may
		// answer, whose ends have other numbers.
		l.seen = 0
	case w.known && e.term.MayExtend():
		l.deadline = w.clock.ahead(now, e.cfg.RunLease)
		w.deadline = max(w.deadline, l.deadline)
	}
	w.looking = w.looks.Offer(l)
	w.lookedAt = now
}

// lookAgain repeats a look that was held back.
func (e *Engine) lookAgain(w *worker, now time.Time) {
	if w.looking || w.looks == nil {
		return
	}
	pause := storeWait
	if w.failures > 0 {
		pause = min(lookRetry<<min(w.failures-1, 4), lookRetryMost)
	}
	if now.Sub(w.lookedAt) >= pause {
		e.look(w, now, 0)
	}
}

// looked takes in the answer to a look.
func (e *Engine) looked(w *worker, sent time.Time, report modeler.Report, err error) {
	now := time.Now()
	w.looking = false
	meter.Look(orderOutcome(err), now.Sub(sent))
	switch {
	case errors.Is(err, modeler.ErrFenced):
		e.log.Warn("superseded", "worker", w.ID)
		e.term.Depose()
		return
	case err != nil:
		e.missed(w, now, err)
		return
	}
	if report.StartTimeMs != w.StartTimeMs && w.known {
		e.reborn(w, report)
	}
	w.StartTimeMs = report.StartTimeMs
	if !w.reached {
		w.reached = true
		e.log.Info("worker reached", "worker", w.ID, "pool", w.Pool, "failures", w.failures)
		e.forgetSilence(w.ID)
		e.changed()
	}
	first := !w.known
	w.known, w.ended, w.doubted, w.failures = true, false, false, 0
	w.clock = clock{now, report.ClockMs}
	e.noteEnds(w, report.Ended)
	e.compare(w, sent, report, first)
	e.paceWorker(w, now)
	if w.confirmed() {
		return // the next look confirms the ends once they are stored
	}
	e.lookNext(w, now)
}

func (e *Engine) lookNext(w *worker, now time.Time) {
	wait := idleWait
	if len(w.tasks) > 0 {
		wait = busyWait
	}
	serves, fills := false, false
	for _, t := range w.tasks {
		if t.step.LongRunning && !t.atWork {
			wait = startWait
		}
		serves, fills = serves || t.step.LatencyTarget > 0, fills || t.step.UsesIdleCPU
	}
	if serves && fills {
		wait = startWait
	}
	e.look(w, now, wait)
}

// missed notes a look without an answer.
func (e *Engine) missed(w *worker, now time.Time, err error) {
	w.failures++
	if w.failures >= silentAfter {
		w.suspect(now)
	}
	if w.reached || w.failures == 1 {
		e.log.Warn("worker not reached", "worker", w.ID, "pool", w.Pool, "tasks", len(w.tasks), "error", err)
	}
	w.reached = false
	e.noteSilence(w)
}

// reborn ends what an earlier life of the worker had. Orders that are on their
// way may have reached the new life; their answers or its lists tell.
func (e *Engine) reborn(w *worker, report modeler.Report) {
	e.log.Info("worker has started anew", "worker", w.ID, "born", report.StartTimeMs, "before", w.StartTimeMs, "tasks", len(w.tasks))
	w.seen, w.ends = 0, nil
	w.deadline = report.ClockMs + e.cfg.MaxWorkerLease.Milliseconds() // of orders that were meant for the earlier life
	listed := make(map[modeler.TaskID]int)
	for _, r := range report.Running {
		listed[r.Task] = r.Run
	}
	for _, r := range report.Ended {
		listed[r.Task] = r.Run
	}
	for id, t := range w.tasks {
		ordered := t.phase == running || t.phase == stopping || t.phase == adopted
		if ordered && listed[id] != t.run {
			e.loseTask(w, t, "reborn")
		}
	}
	e.changed()
}

// lose lets all tasks of a worker run elsewhere, because they have certainly
// ended there.
func (e *Engine) lose(w *worker, reason string) {
	for _, t := range w.tasks {
		e.loseTask(w, t, reason)
	}
	clear(w.strays)
	e.changed()
}

func (e *Engine) loseTask(w *worker, t *task, reason string) {
	e.log.Info("run lost", "task", t.id.String(), "run", t.run, "worker", w.ID, "phase", t.phase.String(), "reason", reason)
	e.again(t)
}

// expire gives up the tasks of a worker whose leases are certainly over.
func (e *Engine) expire(w *worker, now time.Time) {
	if w.reached || now.Before(e.lapse(w)) {
		return
	}
	if len(w.tasks) > 0 {
		e.lose(w, "lease over")
	}
	if !w.listed {
		if w.cancel != nil {
			w.cancel()
		}
		delete(e.fleet, w.ID)
		e.log.Info("worker gone", "worker", w.ID, "pool", w.Pool)
		e.forgetSilence(w.ID)
	}
}

// lapse is the time at which all leases of a silent worker are over. A worker
// that has not answered in this term may have been extended by the predecessor
// for some time after the term began, unless the predecessor has noted that it
// did not answer any more.
func (e *Engine) lapse(w *worker) time.Time {
	if w.ended {
		return time.Time{}
	}
	if w.known {
		return w.clock.reaches(w.deadline)
	}
	longest := time.Duration(float64(e.cfg.RunLease)/clockDrift) + elector.ExtensionLimit() + lapseMargin
	over := e.began.Add(longest)
	if s, ok := e.silence.known[w.ID]; ok {
		if noted := s.Until.Add(wallMargin); noted.Before(over) {
			return noted
		}
	}
	return over
}
