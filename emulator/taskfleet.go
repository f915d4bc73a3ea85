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
		mu              sync.Mutex
		workers         map[string]*taskWorker
		done            map[modeler.TaskID]bool // a worker has listed the end and was told that it is noted
		RunOutcome      func(id modeler.TaskID, run int) (time.Duration, modeler.EndKind)
		StartDelay      func(id modeler.TaskID, run int) time.Duration // a start is carried out so much later, unanswered
		StopTime        time.Duration                                  // from a stop to the end of the run
		RemovedListTime time.Duration                                  // a worker that has ended stays listed for so long
		// ReportedLoad is what a running task reports as its load, given the paces of all
		// tasks on its worker. Nil reports zero.
		ReportedLoad func(id modeler.TaskID, pace map[modeler.TaskID]int) int
		violations   []string
		starts       map[modeler.TaskID]int
		ends         map[modeler.TaskID]int // ends done
		lost         map[modeler.TaskID]int // ends done that nobody had confirmed when their worker ended
	}

	taskWorker struct {
		modeler.Worker
		begun    time.Time
		silent   bool
		token    int64
		deadline int64
		runs     map[modeler.TaskID]*taskRun
		last     map[modeler.TaskID]int // highest run that ended or was stopped
		ended    []modeler.EndedTask
		counter  int64
		changed  chan struct{}
	}

	taskRun struct {
		number int
		stop   func()
		began  time.Time
		pace   int  // percent
		told   bool // to stop
	}
)

// errSilent is the failure of a call that a worker does not answer.
var errSilent = &requester.Error{MaybeSent: true, Err: errors.New("no answer")}

const (
	silentTime   = 300 * time.Millisecond // until a call without an answer is given up
	stopTime     = 100 * time.Millisecond // unless TaskFleet.StopTime says otherwise
	fullPace     = 100                    // percent
	startupTime  = 500 * time.Millisecond // of a lasting task
	clockStartMs = 1_000_000              // a worker's clock does not begin at zero
)

// NewTaskFleet returns workers without any task. work tells how long a run
// takes and how it ends; a negative time never ends.
func NewTaskFleet(work func(id modeler.TaskID, run int) (time.Duration, modeler.EndKind)) *TaskFleet {
	return &TaskFleet{
		StopTime: stopTime, workers: make(map[string]*taskWorker), done: make(map[modeler.TaskID]bool), RunOutcome: work,
		starts: make(map[modeler.TaskID]int), ends: make(map[modeler.TaskID]int),
		lost: make(map[modeler.TaskID]int),
	}
}

// Add starts a worker.
func (f *TaskFleet) Add(w modeler.Worker) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w.StartTimeMs = time.Now().UnixMilli()
	f.workers[w.ID] = &taskWorker{
		Worker: w, begun: time.Now(), runs: make(map[modeler.TaskID]*taskRun), last: make(map[modeler.TaskID]int),
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
		r.stop()
	}
	for _, end := range w.ended { // its word on what nobody has confirmed is lost
		if end.EndKind == modeler.EndDone {
			f.lost[end.Task]++
		}
	}
	if f.RemovedListTime == 0 {
		delete(f.workers, id)
		return
	}
	w.silent, w.runs = true, make(map[modeler.TaskID]*taskRun)
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
		w.silent = silent
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
			if r.told {
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
	return f.ends[id]
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
	return f.starts[id]
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

func (f *TaskFleet) violate(format string, args ...any) {
	f.violations = append(f.violations, fmt.Sprintf(format, args...))
}

// reach returns a worker that answers.
func (f *TaskFleet) reach(ctx context.Context, id string) (*taskWorker, error) {
	f.mu.Lock()
	w := f.workers[id]
	silent := w == nil || w.silent
	f.mu.Unlock()
	if silent {
		if err := supervisor.Pause(ctx, silentTime); err != nil {
			return nil, err
		}
		return nil, errors.Annotatef(errSilent, "worker %s", id)
	}
	return w, ctx.Err()
}

func (w *taskWorker) clock() int64 {
	return clockStartMs + time.Since(w.begun).Milliseconds()
}

// raise takes in a token and says whether it is high enough.
func (w *taskWorker) raise(token int64) bool {
	if token < w.token {
		return false
	}
	w.token = token
	return true
}

func (w *taskWorker) extend(deadline int64) {
	w.deadline = max(w.deadline, deadline)
}

func (w *taskWorker) signal() {
	close(w.changed)
	w.changed = make(chan struct{})
}

// Start implements orders to workers.
func (f *TaskFleet) Start(ctx context.Context, info modeler.Worker, o modeler.StartOrder) (int64, error) {
	w, err := f.reach(ctx, info.ID)
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
					_ = f.start(w, o) // nobody hears of the outcome
				}
			})
			return 0, errSilent
		}
	}
	return w.clock(), f.start(w, o)
}

func (f *TaskFleet) start(w *taskWorker, o modeler.StartOrder) error {
	if !w.raise(o.FencingToken) {
		return modeler.ErrFenced
	}
	if r := w.runs[o.Task]; r != nil && r.number == o.Run {
		return nil
	}
	w.extend(o.DeadlineMs)
	switch {
	case o.Run <= w.last[o.Task]:
		return modeler.ErrStaleRun
	case o.DeadlineMs <= w.clock():
		return modeler.ErrLeaseExpired
	}
	f.check(w, o)
	f.starts[o.Task]++
	work, how := f.RunOutcome(o.Task, o.Run)
	r := &taskRun{number: o.Run, began: time.Now(), stop: func() {}, pace: fullPace}
	w.runs[o.Task] = r
	if work >= 0 {
		timer := time.AfterFunc(work, func() { f.end(w, o.Task, r, how) })
		r.stop = func() { timer.Stop() }
	}
	f.guard(w)
	return nil
}

// check notes a start that must not happen.
func (f *TaskFleet) check(w *taskWorker, o modeler.StartOrder) {
	if f.done[o.Task] {
		f.violate("task %s starts although it is done", o.Task)
	}
	for _, other := range f.workers {
		if _, ok := other.runs[o.Task]; ok {
			f.violate("task %s starts on %s while it runs on %s", o.Task, w.ID, other.ID)
		}
	}
}

// guard ends all runs when the worker's lease is over.
func (f *TaskFleet) guard(w *taskWorker) {
	left := time.Duration(w.deadline-w.clock()) * time.Millisecond
	time.AfterFunc(left+time.Millisecond, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if f.workers[w.ID] != w || len(w.runs) == 0 {
			return
		}
		if w.clock() < w.deadline {
			f.guard(w)
			return
		}
		for id, r := range w.runs {
			r.stop()
			f.list(w, id, r, modeler.EndLapsed)
		}
	})
}

func (f *TaskFleet) end(w *taskWorker, id modeler.TaskID, r *taskRun, how modeler.EndKind) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.workers[w.ID] == w && w.runs[id] == r {
		f.list(w, id, r, how)
	}
}

// list moves a run to the list of ends.
func (f *TaskFleet) list(w *taskWorker, id modeler.TaskID, r *taskRun, how modeler.EndKind) {
	delete(w.runs, id)
	w.last[id] = max(w.last[id], r.number)
	w.counter++
	w.ended = append(w.ended, modeler.EndedTask{Number: w.counter, Task: id, Run: r.number, EndKind: how})
	if how == modeler.EndDone {
		f.ends[id]++
		if n := f.ends[id] - f.lost[id]; n > 1 {
			f.violate("task %s was done %d times", id, n)
		}
	}
	w.signal()
}

// Stop implements orders to workers.
func (f *TaskFleet) Stop(ctx context.Context, info modeler.Worker, task modeler.TaskID, run int, token int64) error {
	w, err := f.reach(ctx, info.ID)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if !w.raise(token) {
		return modeler.ErrFenced
	}
	w.last[task] = max(w.last[task], run)
	if r := w.runs[task]; r != nil && r.number == run {
		r.stop()
		r.told = true
		time.AfterFunc(f.StopTime, func() { f.end(w, task, r, modeler.EndStopped) })
	}
	return nil
}

// Pace implements orders to workers.
func (f *TaskFleet) Pace(ctx context.Context, info modeler.Worker, task modeler.TaskID, run, percent int, token int64) error {
	w, err := f.reach(ctx, info.ID)
	if err != nil {
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if !w.raise(token) {
		return modeler.ErrFenced
	}
	if r := w.runs[task]; r != nil && r.number == run {
		r.pace = percent
	}
	return nil
}

// PaceOf is the pace of a running task, 0 when it does not run.
func (f *TaskFleet) PaceOf(task modeler.TaskID) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, w := range f.workers {
		if r := w.runs[task]; r != nil {
			return r.pace
		}
	}
	return 0
}

// Hold implements orders to workers.
func (f *TaskFleet) Hold(ctx context.Context, info modeler.Worker, deadline, token, seen int64, wait time.Duration) (modeler.Report, error) {
	w, err := f.reach(ctx, info.ID)
	if err != nil {
		return modeler.Report{}, err
	}
	until := time.NewTimer(wait)
	defer until.Stop()
	if err := f.hold(w, deadline, token, seen); err != nil {
		return modeler.Report{}, err
	}
	for {
		f.mu.Lock()
		changed, waiting := w.changed, len(w.ended) == 0 && f.workers[w.ID] == w && !w.silent
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
	if _, err := f.reach(ctx, info.ID); err != nil {
		return modeler.Report{}, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.workers[w.ID] != w {
		return modeler.Report{}, errors.Annotatef(errSilent, "worker %s", info.ID)
	}
	return f.report(w), nil
}

func (f *TaskFleet) hold(w *taskWorker, deadline, token, seen int64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !w.raise(token) {
		return modeler.ErrFenced
	}
	w.extend(deadline)
	kept := w.ended[:0]
	for _, e := range w.ended {
		if e.Number > seen {
			kept = append(kept, e)
		} else if e.EndKind == modeler.EndDone {
			f.done[e.Task] = true
		}
	}
	w.ended = kept
	return nil
}

func (f *TaskFleet) report(w *taskWorker) modeler.Report {
	paces := make(map[modeler.TaskID]int, len(w.runs))
	for id, run := range w.runs {
		paces[id] = run.pace
	}
	r := modeler.Report{StartTimeMs: w.StartTimeMs, ClockMs: w.clock(), Ended: append([]modeler.EndedTask(nil), w.ended...)}
	for id, run := range w.runs {
		percent := 0
		if time.Since(run.began) > startupTime {
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
