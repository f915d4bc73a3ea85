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

// Faults of one answer of a worker.
const (
	LoseResponse     ResponseFault = "lose"     // the task runs, its answer is lost
	TruncateResponse ResponseFault = "truncate" // the answer lacks its end
	SwapResponse     ResponseFault = "cross"    // the answer of another task comes
)

type (
	// Worker is a stand-in for one worker of the platform. It is reached
	// through a Fleet.
	Worker struct {
		id      string
		slots   int
		observe func(Execution)

		mu             sync.Mutex
		faults         WorkerFaults
		changed        condition // given when the faults change
		running        map[string]*runningTask
		lastAttempts   map[string]int // last attempt by task
		previousFinish dispatcher.Finish
		executions     []Execution
		usage          dispatcher.Usage
		usageTime      time.Time
	}

	// WorkerFaults are the faults that a worker shows.
	WorkerFaults struct {
		Crashed       bool            // not reached; all tasks end without an answer
		Paused        bool            // receives and answers nothing
		Leaving       bool            // refuses new tasks; what runs goes on
		FailTasks     bool            // all tasks fail at once
		RefusalReason string          // reason to refuse all starts
		ResponseDelay time.Duration   // added to each answer to a start
		NextResponses []ResponseFault // faults of the next answers, one each
	}

	// ResponseFault is a fault of one answer.
	ResponseFault string

	// Execution is one run of a task, for checkers. End is zero while it runs.
	Execution struct {
		Worker  string
		Order   dispatcher.Start // without its body
		Start   time.Time
		End     time.Time
		Outcome dispatcher.Outcome // empty after a crash
	}

	// Behaviour is what a task does, read from the body of its start. Other
	// bodies end at once with the body as output.
	Behaviour struct {
		SleepMillis int  `json:"sleep-ms"`
		Fail        bool `json:"fail"`
		Crash       bool `json:"crash"`        // the task brings its worker down
		OutputBytes int  `json:"output-bytes"` // zeros in the output; 0 for the body itself
	}

	// startResponse is what a worker answers to a start.
	startResponse struct {
		finish        dispatcher.Finish
		refusalReason string // reason not to start; empty when the task ran
		truncated     bool   // the answer lacks its end
		err           error  // no answer comes
	}

	// runningTask is a task that runs. The worker's mutex guards it.
	runningTask struct {
		Behaviour
		order           dispatcher.Start
		slots           int
		endTime         time.Time
		completionTimer *time.Timer // fires when the task is complete
		leaseExpiry     time.Time
		leaseTimer      *time.Timer // fires when the lease lapses
		done            chan dispatcher.Finish
		execution       Execution
	}
)

// NewWorker returns a worker with the given number of slots. observe is called
// at the start and at the end of each task; it must not call the worker.
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

// InjectFaults changes the faults. A crash makes the worker forget its tasks.
func (w *Worker) InjectFaults(change func(*WorkerFaults)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	change(&w.faults)
	if w.faults.Crashed {
		w.crash()
	}
	w.changed.broadcast()
}

func (w *Worker) crash() {
	w.faults.Crashed = true
	for _, t := range w.running {
		w.endTask(t, "", "")
	}
	clear(w.lastAttempts)
}

// Executions returns the log of the tasks that have ended, in that order.
func (w *Worker) Executions() []Execution {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.executions)
}

// refusalReason returns the reason not to start s, or "".
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

// startTask runs s from now on.
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

// completeTask ends a task whose run time is over.
func (w *Worker) completeTask(t *runningTask) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case time.Now().Before(t.endTime): // throttled in the meantime
	case t.Crash && w.running[t.order.Task] == t:
		w.crash()
	case t.Fail || w.faults.FailTasks:
		w.endTask(t, dispatcher.Failed, "the task failed")
	default:
		w.endTask(t, dispatcher.Done, "")
	}
}

// expireLease ends a task whose lease was not renewed.
func (w *Worker) expireLease(t *runningTask) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !time.Now().Before(t.leaseExpiry) {
		w.endTask(t, dispatcher.Stopped, "lease lapsed")
	}
}

// endTask ends a task once. An empty outcome is a crash: no answer comes.
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

// applyNextFault puts the next fault on the answer f.
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

// waitWhilePaused releases the mutex while the worker is paused. On failure the mutex is
// unlocked.
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

func (w *Worker) noResponseError() error {
	return classifier.Uncertain(classifier.WorkerLost, "no answer from worker %q", w.id)
}
