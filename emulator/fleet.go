package emulator

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/coltsfootlever/coltsfootlever/classifier"
	"github.com/coltsfootlever/coltsfootlever/dispatcher"
)

const maxUsageAge = time.Second // maximum age of a usage report

// Fleet calls the emulated Workers by address and has the methods of
// dispatcher.Client.
type Fleet struct {
	workers sync.Map // address to *Worker
}

// Add registers w as the worker at an address. A nil w removes the worker at the
// address.
func (f *Fleet) Add(address string, w *Worker) {
	f.workers.Store(address, w)
}

// Start runs a task on the worker at an address and returns when the task has
// ended.
func (f *Fleet) Start(ctx context.Context, address string, s dispatcher.Start) (dispatcher.Finish, error) {
	a := f.startTask(ctx, address, s)
	switch {
	case a.err != nil:
		return dispatcher.Finish{}, a.err
	case a.refusalReason != "":
		return dispatcher.Finish{}, dispatcher.RefusalError(s, dispatcher.Refusal{Task: s.Task, Reason: a.refusalReason})
	case a.truncated:
		a.finish.Output = a.finish.Output[:len(a.finish.Output)/2]
	}
	if err := dispatcher.Verify(s, a.finish); err != nil {
		return dispatcher.Finish{}, err
	}
	return a.finish, nil
}

// startTask starts a task and waits for its end or for the end of ctx. It returns
// the response with the next configured fault applied.
func (f *Fleet) startTask(ctx context.Context, address string, s dispatcher.Start) startResponse {
	w, err := f.lockWorker(ctx, address)
	if err != nil {
		return startResponse{err: err}
	}
	if reason := w.refusalReason(s); reason != "" {
		w.mu.Unlock()
		return startResponse{refusalReason: reason}
	}
	t, delay := w.startTask(s), w.faults.ResponseDelay
	w.mu.Unlock()
	select {
	case finish, ok := <-t.done:
		if !ok || !sleep(ctx, delay) {
			return startResponse{err: w.noResponseError()}
		}
		w.mu.Lock()
		if err := w.waitWhilePaused(ctx); err != nil {
			return startResponse{err: err}
		}
		defer w.mu.Unlock()
		return w.applyNextFault(finish)
	case <-ctx.Done():
		return startResponse{err: w.noResponseError()}
	}
}

// Renew extends the leases of tasks and returns the tasks that the worker does not
// run for this owner.
func (f *Fleet) Renew(ctx context.Context, address string, r dispatcher.Renewal) ([]string, error) {
	w, err := f.lockWorker(ctx, address)
	if err != nil {
		return nil, err
	}
	defer w.mu.Unlock()
	var unknown []string
	for _, task := range r.Tasks {
		t, ok := w.running[task]
		if !ok || t.order.Owner != r.Owner {
			unknown = append(unknown, task)
			continue
		}
		t.leaseExpiry = time.Now().Add(r.Lease)
		t.leaseTimer.Reset(r.Lease)
	}
	return unknown, nil
}

// Stop ends a task without output.
func (f *Fleet) Stop(ctx context.Context, address, task string) error {
	return f.withRunningTask(ctx, address, task, func(w *Worker, t *runningTask) { w.endTask(t, dispatcher.Stopped, "stopped by order") })
}

// Checkpoint ends a task and saves its progress.
func (f *Fleet) Checkpoint(ctx context.Context, address, task string) error {
	return f.withRunningTask(ctx, address, task, func(w *Worker, t *runningTask) { w.endTask(t, dispatcher.Checkpointed, "") })
}

// Throttle halves the slots and the speed of a task.
func (f *Fleet) Throttle(ctx context.Context, address, task string) error {
	return f.withRunningTask(ctx, address, task, func(_ *Worker, t *runningTask) { t.throttle() })
}

// Usage returns the usage report of a worker, which is up to one second old.
func (f *Fleet) Usage(ctx context.Context, address string) (dispatcher.Usage, error) {
	w, err := f.lockWorker(ctx, address)
	if err != nil {
		return dispatcher.Usage{}, err
	}
	defer w.mu.Unlock()
	if w.usageTime.IsZero() || time.Since(w.usageTime) >= maxUsageAge {
		tasks := slices.Sorted(maps.Keys(w.running))
		w.usage = dispatcher.Usage{Slots: w.slots, Leaving: w.faults.Leaving, Tasks: tasks}
		w.usageTime = time.Now()
	}
	return w.usage, nil
}

// withRunningTask locks the worker at an address and calls fn with its running
// task.
func (f *Fleet) withRunningTask(ctx context.Context, address, task string, fn func(*Worker, *runningTask)) error {
	w, err := f.lockWorker(ctx, address)
	if err != nil {
		return err
	}
	defer w.mu.Unlock()
	t, ok := w.running[task]
	if !ok {
		return classifier.Refuse(classifier.NotFound, "the worker at %s does not run task %q", address, task)
	}
	fn(w, t)
	return nil
}

// lockWorker returns the worker at an address with its mutex locked. On failure
// the mutex is unlocked.
func (f *Fleet) lockWorker(ctx context.Context, address string) (*Worker, error) {
	found, _ := f.workers.Load(address)
	w, _ := found.(*Worker)
	if w == nil {
		return nil, classifier.Refuse(classifier.WorkerLost, "no worker at %s", address)
	}
	w.mu.Lock()
	if w.faults.Crashed {
		w.mu.Unlock()
		return nil, classifier.Refuse(classifier.WorkerLost, "worker %q was not reached", w.id)
	}
	return w, w.waitWhilePaused(ctx)
}
