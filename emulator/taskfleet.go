package emulator

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/modeler"
	"github.com/coltsfootlever/coltsfootlever/requester"
	"github.com/coltsfootlever/coltsfootlever/supervisor"
)

type (
	// TaskFleet stands in for workers that run tasks under leases and fencing
	// tokens. It notes in Violations what must never happen.
	TaskFleet struct {
		mu               sync.Mutex
		workers          map[string]*taskWorker
		acknowledgedDone map[modeler.TaskID]bool // a worker has listed the end and was told that it is noted
		RunOutcome       func(id modeler.TaskID, run int) (time.Duration, modeler.EndKind)
		StartDelay       func(id modeler.TaskID, run int) time.Duration // a start is carried out so much later, unanswered
		StopTime         time.Duration                                  // from a stop to the end of the run
		RemovedListTime  time.Duration                                  // a worker that has ended stays listed for so long
		// ReportedLoad is what a running task reports as its load, given the paces of all
		// tasks on its worker. Nil reports zero.
		ReportedLoad       func(id modeler.TaskID, pace map[modeler.TaskID]int) int
		violations         []string
		startCounts        map[modeler.TaskID]int
		doneCounts         map[modeler.TaskID]int // ends done
		unacknowledgedDone map[modeler.TaskID]int // ends done that nobody had confirmed when their worker ended
	}

	taskWorker struct {
		modeler.Worker
		startTime          time.Time
		unresponsive       bool
		highestToken       int64
		leaseDeadline      int64
		runs               map[modeler.TaskID]*taskRun
		highestFinishedRun map[modeler.TaskID]int // highest run that ended or was stopped
		ended              []modeler.EndedTask
		endCounter         int64
		changed            chan struct{}
	}

	taskRun struct {
		number        int
		cancelTimer   func()
		startTime     time.Time
		pacePercent   int  // percent
		stopRequested bool // to stop
	}
)

// errNoResponse is the failure of a call that a worker does not answer.
var errNoResponse = &requester.Error{MaybeSent: true, Err: errors.New("no answer")}

const (
	noResponseTimeout = 300 * time.Millisecond // until a call without an answer is given up
	defaultStopTime   = 100 * time.Millisecond // unless TaskFleet.StopTime says otherwise
	fullPacePercent   = 100                    // percent
	startupTime       = 500 * time.Millisecond // of a lasting task
	clockStartMs      = 1_000_000              // a worker's clock does not begin at zero
)

// NewTaskFleet returns workers without any task. work tells how long a run
// takes and how it ends; a negative time never ends.
func NewTaskFleet(runOutcome func(id modeler.TaskID, run int) (time.Duration, modeler.EndKind)) *TaskFleet {
	return &TaskFleet{
		StopTime: defaultStopTime, workers: make(map[string]*taskWorker), acknowledgedDone: make(map[modeler.TaskID]bool), RunOutcome: runOutcome,
		startCounts: make(map[modeler.TaskID]int), doneCounts: make(map[modeler.TaskID]int),
		unacknowledgedDone: make(map[modeler.TaskID]int),
	}
}

// Add starts a worker.
func (f *TaskFleet) Add(w modeler.Worker) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w.StartTimeMs = time.Now().UnixMilli()
	f.workers[w.ID] = &taskWorker{
		Worker: w, startTime: time.Now(), runs: make(map[modeler.TaskID]*taskRun), highestFinishedRun: make(map[modeler.TaskID]int),
		changed: make(chan struct{}),
	}
}

// Remove ends a worker with all that it runs. It stays in the list for Linger.
func (f *TaskFleet) Remove(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workers[id]
	if w == nil {
		return
	}
	for _, r := range w.runs {
		r.cancelTimer()
	}
	for _, end := range w.ended { // its word on what nobody has confirmed is lost
		if end.EndKind == modeler.EndDone {
			f.unacknowledgedDone[end.Task]++
		}
	}
	if f.RemovedListTime == 0 {
		delete(f.workers, id)
		return
	}
	w.unresponsive, w.runs = true, make(map[modeler.TaskID]*taskRun)
	time.AfterFunc(f.RemovedListTime, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.workers, id)
	})
}

// SetUnresponsive makes a worker deaf to calls, while it runs on. One that has ended
// stays as it is.
func (f *TaskFleet) SetUnresponsive(id string, silent bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if w := f.workers[id]; w != nil {
		w.unresponsive = silent
	}
}

// SetDraining makes a worker say that it is about to leave.
func (f *TaskFleet) SetDraining(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.workers[id].Draining = true
}

// Violations lists what must not have happened.
func (f *TaskFleet) Violations() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.violations
}

// RunCountOfJob counts the runs of a job.
func (f *TaskFleet) RunCountOfJob(job string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, w := range f.workers {
		for id := range w.runs {
			if id.Job == job {
				n++
			}
		}
	}
	return n
}

// StoppingRunCount counts the runs that have been told to stop and have not ended.
func (f *TaskFleet) StoppingRunCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, w := range f.workers {
		for _, r := range w.runs {
			if r.stopRequested {
				n++
			}
		}
	}
	return n
}

// RunCountOfJobPrefix counts the runs of the jobs whose id begins with a prefix.
func (f *TaskFleet) RunCountOfJobPrefix(prefix string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, w := range f.workers {
		for id := range w.runs {
			if strings.HasPrefix(id.Job, prefix) {
				n++
			}
		}
	}
	return n
}

// RunningTasks lists what runs, by worker.
func (f *TaskFleet) RunningTasks() map[string][]modeler.TaskID {
	f.mu.Lock()
	defer f.mu.Unlock()
	tasks := make(map[string][]modeler.TaskID, len(f.workers))
	for name, w := range f.workers {
		for id := range w.runs {
			tasks[name] = append(tasks[name], id)
		}
	}
	return tasks
}

// Ends counts the runs of a task that have ended well.
func (f *TaskFleet) SuccessfulRuns(id modeler.TaskID) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.doneCounts[id]
}

// SetStartDelay changes Late while the fleet is in use.
func (f *TaskFleet) SetStartDelay(late func(id modeler.TaskID, run int) time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.StartDelay = late
}

// RunCountOnWorker counts the runs of a worker.
func (f *TaskFleet) RunCountOnWorker(worker string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if w := f.workers[worker]; w != nil {
		return len(w.runs)
	}
	return 0
}

// StartedRuns counts the runs that a task has begun.
func (f *TaskFleet) StartedRuns(id modeler.TaskID) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.startCounts[id]
}

// Workers implements the list of workers.
func (f *TaskFleet) Workers(ctx context.Context) ([]modeler.Worker, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []modeler.Worker
	for _, w := range f.workers {
		list = append(list, w.Worker)
	}
	return list, ctx.Err()
}

func (f *TaskFleet) addViolation(format string, args ...any) {
	f.violations = append(f.violations, fmt.Sprintf(format, args...))
}

// respondingWorker returns a worker that answers.
func (f *TaskFleet) respondingWorker(ctx context.Context, id string) (*taskWorker, error) {
	f.mu.Lock()
	w := f.workers[id]
	silent := w == nil || w.unresponsive
	f.mu.Unlock()
	if silent {
		if err := supervisor.Pause(ctx, noResponseTimeout); err != nil {
			return nil, err
		}
		return nil, errors.Annotatef(errNoResponse, "worker %s", id)
	}
	return w, ctx.Err()
}

func (w *taskWorker) clockMs() int64 {
	return clockStartMs + time.Since(w.startTime).Milliseconds()
}

// acceptToken takes in a token and says whether it is high enough.
func (w *taskWorker) acceptToken(token int64) bool {
	if token < w.highestToken {
		return false
	}
	w.highestToken = token
	return true
}

func (w *taskWorker) extendLease(deadline int64) {
	w.leaseDeadline = max(w.leaseDeadline, deadline)
}

func (w *taskWorker) notifyChange() {
	close(w.changed)
	w.changed = make(chan struct{})
}

// Start implements orders to workers.
func (f *TaskFleet) Start(ctx context.Context, info modeler.Worker, o modeler.StartOrder) (int64, error) {
	w, err := f.respondingWorker(ctx, info.ID)
	if err != nil {
		return 0, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.StartDelay != nil {
		if late := f.StartDelay(o.Task, o.Run); late > 0 {
			time.AfterFunc(late, func() {
				f.mu.Lock()
				defer f.mu.Unlock()
				if f.workers[w.ID] == w {
					_ = f.startRun(w, o) // nobody hears of the outcome
				}
			})
			return 0, errNoResponse
		}
	}
	return w.clockMs(), f.startRun(w, o)
}

func (f *TaskFleet) startRun(w *taskWorker, o modeler.StartOrder) error {
	if !w.acceptToken(o.FencingToken) {
		return modeler.ErrFenced
	}
	if r := w.runs[o.Task]; r != nil && r.number == o.Run {
		return nil
	}
	w.extendLease(o.DeadlineMs)
	switch {
	case o.Run <= w.highestFinishedRun[o.Task]:
		return modeler.ErrStaleRun
	case o.DeadlineMs <= w.clockMs():
		return modeler.ErrLeaseExpired
	}
	f.checkStart(w, o)
	f.startCounts[o.Task]++
	work, endKind := f.RunOutcome(o.Task, o.Run)
	r := &taskRun{number: o.Run, startTime: time.Now(), cancelTimer: func() {}, pacePercent: fullPacePercent}
	w.runs[o.Task] = r
	if work >= 0 {
		timer := time.AfterFunc(work, func() { f.endRun(w, o.Task, r, endKind) })
		r.cancelTimer = func() { timer.Stop() }
	}
	f.endRunsAtLeaseExpiry(w)
	return nil
}

// checkStart notes a start that must not happen.
func (f *TaskFleet) checkStart(w *taskWorker, o modeler.StartOrder) {
	if f.acknowledgedDone[o.Task] {
		f.addViolation("task %s starts although it is done", o.Task)
	}
	for _, other := range f.workers {
		if _, ok := other.runs[o.Task]; ok {
			f.addViolation("task %s starts on %s while it runs on %s", o.Task, w.ID, other.ID)
		}
	}
}

// endRunsAtLeaseExpiry ends all runs when the worker's lease is over.
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

func (f *TaskFleet) endRun(w *taskWorker, id modeler.TaskID, r *taskRun, endKind modeler.EndKind) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.workers[w.ID] == w && w.runs[id] == r {
		f.recordEnd(w, id, r, endKind)
	}
}

// recordEnd moves a run to the recordEnd of ends.
func (f *TaskFleet) recordEnd(w *taskWorker, id modeler.TaskID, r *taskRun, endKind modeler.EndKind) {
	delete(w.runs, id)
	w.highestFinishedRun[id] = max(w.highestFinishedRun[id], r.number)
	w.endCounter++
	w.ended = append(w.ended, modeler.EndedTask{Number: w.endCounter, Task: id, Run: r.number, EndKind: endKind})
	if endKind == modeler.EndDone {
		f.doneCounts[id]++
		if n := f.doneCounts[id] - f.unacknowledgedDone[id]; n > 1 {
			f.addViolation("task %s was done %d times", id, n)
		}
	}
	w.notifyChange()
}

// Stop implements orders to workers.
func (f *TaskFleet) Stop(ctx context.Context, info modeler.Worker, task modeler.TaskID, run int, token int64) error {
	w, err := f.respondingWorker(ctx, info.ID)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if !w.acceptToken(token) {
		return modeler.ErrFenced
	}
	w.highestFinishedRun[task] = max(w.highestFinishedRun[task], run)
	if r := w.runs[task]; r != nil && r.number == run {
		r.cancelTimer()
		r.stopRequested = true
		time.AfterFunc(f.StopTime, func() { f.endRun(w, task, r, modeler.EndStopped) })
	}
	return nil
}

// Pace implements orders to workers.
func (f *TaskFleet) Pace(ctx context.Context, info modeler.Worker, task modeler.TaskID, run, percent int, token int64) error {
	w, err := f.respondingWorker(ctx, info.ID)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if !w.acceptToken(token) {
		return modeler.ErrFenced
	}
	if r := w.runs[task]; r != nil && r.number == run {
		r.pacePercent = percent
	}
	return nil
}

// PaceOf is the pace of a running task, 0 when it does not run.
func (f *TaskFleet) PaceOf(task modeler.TaskID) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, w := range f.workers {
		if r := w.runs[task]; r != nil {
			return r.pacePercent
		}
	}
	return 0
}

// Hold implements orders to workers.
func (f *TaskFleet) Hold(ctx context.Context, info modeler.Worker, deadline, token, seen int64, wait time.Duration) (modeler.Report, error) {
	w, err := f.respondingWorker(ctx, info.ID)
	if err != nil {
		return modeler.Report{}, err
	}
	until := time.NewTimer(wait)
	defer until.Stop()
	if err := f.renewLease(w, deadline, token, seen); err != nil {
		return modeler.Report{}, err
	}
	for {
		f.mu.Lock()
		changed, waiting := w.changed, len(w.ended) == 0 && f.workers[w.ID] == w && !w.unresponsive
		f.mu.Unlock()
		if !waiting {
			break
		}
		select {
		case <-ctx.Done():
			return modeler.Report{}, ctx.Err()
		case <-changed:
			continue
		case <-until.C:
		}
		break
	}
	if _, err := f.respondingWorker(ctx, info.ID); err != nil {
		return modeler.Report{}, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.workers[w.ID] != w {
		return modeler.Report{}, errors.Annotatef(errNoResponse, "worker %s", info.ID)
	}
	return f.buildReport(w), nil
}

func (f *TaskFleet) renewLease(w *taskWorker, deadline, token, seen int64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !w.acceptToken(token) {
		return modeler.ErrFenced
	}
	w.extendLease(deadline)
	kept := w.ended[:0]
	for _, e := range w.ended {
		if e.Number > seen {
			kept = append(kept, e)
		} else if e.EndKind == modeler.EndDone {
			f.acknowledgedDone[e.Task] = true
		}
	}
	w.ended = kept
	return nil
}

func (f *TaskFleet) buildReport(w *taskWorker) modeler.Report {
	paces := make(map[modeler.TaskID]int, len(w.runs))
	for id, run := range w.runs {
		paces[id] = run.pacePercent
	}
	r := modeler.Report{StartTimeMs: w.StartTimeMs, ClockMs: w.clockMs(), Ended: append([]modeler.EndedTask(nil), w.ended...)}
	for id, run := range w.runs {
		percent := 0
		if time.Since(run.startTime) > startupTime {
			percent = 100
		}
		load := 0
		if f.ReportedLoad != nil {
			load = f.ReportedLoad(id, paces)
		}
		r.Running = append(r.Running, modeler.RunningTask{Task: id, Run: run.number, Percent: percent, Metric: load})
	}
	return r
}
