package emulator

import (
	"time"

	"github.com/coltsfootlever/coltsfootlever/modeler"
)

// forgetEnds records that the ends which a worker lists say nothing about whether their
// tasks may run again.
func (f *TaskFleet) forgetEnds(w *taskWorker) {
	for _, end := range w.ended {
		if end.EndKind == modeler.EndDone && end.Number > w.lapsedEnds {
			f.unacknowledgedDone[end.Task]++
		}
	}
	w.lapsedEnds = w.endCounter
}

// forgetLapsedEnds records that the ends on workers whose lease has lapsed may be those of
// tasks that have been started elsewhere since.
func (f *TaskFleet) forgetLapsedEnds() {
	for _, w := range f.workers {
		if w.clockMs() > w.leaseDeadline {
			f.forgetEnds(w)
		}
	}
}

// noteDone records that the end of a run which is done was acknowledged. If the lease had
// lapsed before, the task may have been started elsewhere meanwhile, and such a start may
// still be on its way.
func (f *TaskFleet) noteDone(w *taskWorker, end modeler.EndedTask) {
	if end.Number > w.lapsedEnds {
		f.acknowledgedDone[end.Task] = true
		return
	}
	f.lapsedDone[end.Task] = true
}

// CutOff sets whether workers are cut off: calls to them get no response, and they are not
// in the list of workers. Their runs continue. It has no effect on workers that have ended.
func (f *TaskFleet) CutOff(cut bool, ids ...string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, id := range ids {
		if w := f.workers[id]; w != nil {
			w.unresponsive, w.unregistered = cut, cut
		}
	}
}

// extendLease moves the end of a worker's lease to a deadline on the worker's clock, but
// no further than MaxLease from now; it never shortens the lease. The deadline of a call
// for an earlier process of the worker is on the clock of that one.
func (f *TaskFleet) extendLease(w *taskWorker, deadline int64) {
	if f.MaxLease > 0 {
		deadline = min(deadline, w.clockMs()+f.MaxLease.Milliseconds())
	}
	w.leaseDeadline = max(w.leaseDeadline, deadline)
}

// endRunsAtLeaseExpiry ends all runs of a worker when its lease has expired.
func (f *TaskFleet) endRunsAtLeaseExpiry(w *taskWorker) {
	left := time.Duration(w.leaseDeadline-w.clockMs()) * time.Millisecond
	time.AfterFunc(left+time.Millisecond, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.workers[w.ID] != w || len(w.runs) == 0 {
			return
		}
		if w.clockMs() < w.leaseDeadline {
			f.endRunsAtLeaseExpiry(w)
			return
		}
		for id, r := range w.runs {
			r.cancelTimer()
			f.recordEnd(w, id, r, modeler.EndLapsed)
		}
	})
}
