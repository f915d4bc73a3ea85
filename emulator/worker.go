package emulator

import (
	"context"
	"encoding/json"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/coltsfootlever/coltsfootlever/classifier"
	"github.com/coltsfootlever/coltsfootlever/dispatcher"
)

// Faults of one response of a worker.
const (
	LoseResponse     ResponseFault = "lose"     // the task runs and its response is lost
	TruncateResponse ResponseFault = "truncate" // the end of the response is cut off
	SwapResponse     ResponseFault = "cross"    // the response to the previous task is sent instead of the one to this task
)

type (
	// Worker emulates one worker for package dispatcher. It is called through a
	// Fleet.
	Worker struct {
		id      string
		slots   int
		observe func(Execution)

		mu             sync.Mutex
		faults         WorkerFaults
		changed        condition // broadcast when the faults change
		running        map[string]*runningTask
		lastAttempts   map[string]int // last attempt by task ID
		previousFinish dispatcher.Finish
		executions     []Execution
		usage          dispatcher.Usage
		usageTime      time.Time
	}

	// WorkerFaults are the faults that a worker shows.
	WorkerFaults struct {
		Crashed       bool            // cannot be connected to; all its tasks end without a response
		Paused        bool            // neither processes requests nor responds to them
		Leaving       bool            // refuses new tasks; running tasks continue
		FailTasks     bool            // all tasks fail immediately
		RefusalReason string          // reason for refusing all starts; empty to accept them
		ResponseDelay time.Duration   // added to each response to a start
		NextResponses []ResponseFault // faults of the next responses, one for each response
	}

	// ResponseFault is a fault of one response.
	ResponseFault string

	// Execution is one run of a task, passed to the observer of NewWorker. End is
	// zero while the task runs.
	Execution struct {
		Worker  string
		Order   dispatcher.Start // without the body
		Start   time.Time
		End     time.Time
		Outcome dispatcher.Outcome // empty after a crash
	}

	// Behaviour is what a task does. It is decoded from the body of the task's
	// start. A task whose body is not valid JSON ends immediately with the body as
	// its output.
	Behaviour struct {
		SleepMillis int  `json:"sleep-ms"`
		Fail        bool `json:"fail"`
		Crash       bool `json:"crash"`        // the task crashes its worker
		OutputBytes int  `json:"output-bytes"` // size of an output of zeros; 0 to return the body as output
	}

	// startResponse is the response of a worker to a start.
	startResponse struct {
		finish        dispatcher.Finish
		refusalReason string // reason for refusing the start; empty when the task ran
		truncated     bool   // the end of the response is cut off
		err           error  // the error of a call that gets no response
	}

	// runningTask is a task that the worker runs. The worker's mutex guards it.
	runningTask struct {
		Behaviour
		order           dispatcher.Start
		slots           int
		endTime         time.Time
		completionTimer *time.Timer // fires when the task is complete
		leaseExpiry     time.Time
		leaseTimer      *time.Timer // fires when the lease expires
		done            chan dispatcher.Finish
		execution       Execution
	}
)

// NewWorker returns a worker with a number of slots. observe is called at the
// start and at the end of each task; it must not call the worker.
func NewWorker(id string, slots int, observe func(Execution)) *Worker {
	if observe == nil {
		observe = func(Execution) {}
	}
	return &Worker{
		id:           id,
		slots:        slots,
		observe:      observe,
		changed:      newCondition(),
		running:      make(map[string]*runningTask),
		lastAttempts: make(map[string]int),
	}
}

// InjectFaults changes the faults under the worker's mutex. A crash ends all tasks
// and forgets earlier attempts.
func (w *Worker) InjectFaults(change func(*WorkerFaults)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change(&w.faults)
	if w.faults.Crashed {
		w.crash()
	}
	w.changed.broadcast()
}

// crash ends all tasks without a response and forgets earlier attempts.
func (w *Worker) crash() {
	w.faults.Crashed = true
	for _, t := range w.running {
		w.endTask(t, "", "")
	}
	clear(w.lastAttempts)
}

// Executions returns the executions that have ended, in the order of their ends.
func (w *Worker) Executions() []Execution {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.executions)
}

// refusalReason returns the reason for refusing a start, or "" if the task can
// start.
func (w *Worker) refusalReason(s dispatcher.Start) string {
	used := 0
	for _, t := range w.running {
		used += t.slots
	}
	attempt, repeated := w.lastAttempts[s.Task]
	switch {
	case w.faults.RefusalReason != "":
		return w.faults.RefusalReason
	case repeated && (!s.Idempotent || s.Attempt <= attempt || w.running[s.Task] != nil):
		return dispatcher.Duplicate
	case time.Now().After(s.StartBy):
		return dispatcher.Late
	case w.faults.Leaving:
		return dispatcher.IsLeaving
	case s.Slots > w.slots:
		return dispatcher.NeverFits
	case used+s.Slots > w.slots:
		return dispatcher.Full
	}
	return ""
}

// startTask starts a task. The caller holds the worker's mutex.
func (w *Worker) startTask(s dispatcher.Start) *runningTask {
	now := time.Now()
	t := &runningTask{order: s, slots: s.Slots, done: make(chan dispatcher.Finish, 1)}
	if json.Unmarshal(s.Body, &t.Behaviour) != nil {
		t.Behaviour = Behaviour{}
	}
	left := time.Duration(t.SleepMillis) * time.Millisecond
	if saved, err := strconv.ParseInt(string(s.Checkpoint), 10, 64); err == nil {
		left = time.Duration(saved)
	}
	if w.faults.FailTasks {
		left = 0
	}
	t.execution = Execution{Worker: w.id, Order: s, Start: now}
	t.execution.Order.Body = nil
	w.running[s.Task], w.lastAttempts[s.Task] = t, s.Attempt
	w.observe(t.execution)
	t.endTime, t.leaseExpiry = now.Add(left), now.Add(s.Lease)
	t.completionTimer = time.AfterFunc(left, func() { w.completeTask(t) })
	t.leaseTimer = time.AfterFunc(s.Lease, func() { w.expireLease(t) })
	return t
}

// completeTask ends a task whose work is complete.
func (w *Worker) completeTask(t *runningTask) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case time.Now().Before(t.endTime): // the task was throttled, so its end has moved
	case t.Crash && w.running[t.order.Task] == t:
		w.crash()
	case t.Fail || w.faults.FailTasks:
		w.endTask(t, dispatcher.Failed, "the task failed")
	default:
		w.endTask(t, dispatcher.Done, "")
	}
}

// expireLease stops a task whose lease was not renewed in time.
func (w *Worker) expireLease(t *runningTask) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !time.Now().Before(t.leaseExpiry) {
		w.endTask(t, dispatcher.Stopped, "lease lapsed")
	}
}

// endTask ends a task and sends its result. It has no effect on a task that has
// ended. An empty outcome means that the worker crashed and sends no response.
func (w *Worker) endTask(t *runningTask, outcome dispatcher.Outcome, reason string) {
	if w.running[t.order.Task] != t {
		return
	}
	delete(w.running, t.order.Task)
	t.completionTimer.Stop()
	t.leaseTimer.Stop()
	t.execution.End, t.execution.Outcome = time.Now(), outcome
	w.executions = append(w.executions, t.execution)
	w.observe(t.execution)
	if outcome == "" {
		close(t.done)
		return
	}
	f := dispatcher.Finish{Task: t.order.Task, Attempt: t.order.Attempt, Outcome: outcome, Reason: reason}
	switch outcome {
	case dispatcher.Done:
		f.Output = t.order.Body
		if t.OutputBytes > 0 {
			f.Output = make([]byte, t.OutputBytes)
		}
	case dispatcher.Checkpointed:
		f.Checkpoint = strconv.AppendInt(nil, int64(time.Until(t.endTime)), 10)
	}
	f.Digest = dispatcher.Digest(f.Output)
	t.done <- f
}

// throttle halves the slots and the speed of a task.
func (t *runningTask) throttle() {
	left := 2 * time.Until(t.endTime)
	t.slots = (t.slots + 1) / 2
	t.endTime = time.Now().Add(left)
	t.completionTimer.Reset(left)
}

// applyNextFault applies the next of WorkerFaults.NextResponses to a response.
func (w *Worker) applyNextFault(f dispatcher.Finish) startResponse {
	last := w.previousFinish
	w.previousFinish = f
	if len(w.faults.NextResponses) == 0 {
		return startResponse{finish: f}
	}
	fault := w.faults.NextResponses[0]
	w.faults.NextResponses = w.faults.NextResponses[1:]
	switch fault {
	case LoseResponse:
		return startResponse{err: w.noResponseError()}
	case SwapResponse:
		return startResponse{finish: last}
	}
	return startResponse{finish: f, truncated: true}
}

// waitWhilePaused releases the mutex while the worker is paused. On failure it
// returns with the mutex unlocked.
func (w *Worker) waitWhilePaused(ctx context.Context) error {
	for w.faults.Paused && !w.faults.Crashed && ctx.Err() == nil {
		w.changed.wait(ctx, &w.mu)
	}
	if w.faults.Crashed || ctx.Err() != nil {
		w.mu.Unlock()
		return w.noResponseError()
	}
	return nil
}

// noResponseError returns the error of a call that the worker may have processed
// without a response.
func (w *Worker) noResponseError() error {
	return classifier.Uncertain(classifier.WorkerLost, "no answer from worker %q", w.id)
}
