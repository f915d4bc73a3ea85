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

const usageLag = time.Second // age that a usage report may have

// Fleet reaches workers by their address, in the way of dispatcher.Client.
type Fleet struct {
	workers sync.Map // *Worker by address
}

// Add makes w the worker at an address; nil takes the worker there away.
func (f *Fleet) Add(address string, w *Worker) {
	f.workers.Store(address, w)
}

// Start runs a task and answers when it has ended.
func (f *Fleet) Start(ctx context.Context, address string, s dispatcher.Start) (dispatcher.Finish, error) {
	a := f.start(ctx, address, s)
	switch {
	case a.err != nil:
		return dispatcher.Finish{}, a.err
	case a.refusal != "":
		return dispatcher.Finish{}, dispatcher.RefusalError(s, dispatcher.Refusal{Task: s.Task, Reason: a.refusal})
	case a.truncated:
		a.finish.Output = a.finish.Output[:len(a.finish.Output)/2]
	}
	if err := dispatcher.Verify(s, a.finish); err != nil {
		return dispatcher.Finish{}, err
	}
	return a.finish, nil
}

func (f *Fleet) start(ctx context.Context, address string, s dispatcher.Start) answer {
	w, err := f.reach(ctx, address)
	if err != nil {
		return answer{err: err}
	}
	if reason := w.refusal(s); reason != "" {
		w.mu.Unlock()
		return answer{refusal: reason}
	}
	t, delay := w.begin(s), w.faults.ResponseDelay
	w.mu.Unlock()
	select {
	case finish, ok := <-t.done:
		if !ok || !sleep(ctx, delay) {
			return answer{err: w.lost()}
		}
		w.mu.Lock()
		if err := w.await(ctx); err != nil {
			return answer{err: err}
		}
		defer w.mu.Unlock()
		return w.spoil(finish)
	case <-ctx.Done():
		return answer{err: w.lost()}
	}
}

// Renew extends leases and returns the tasks that do not run for the owner.
func (f *Fleet) Renew(ctx context.Context, address string, r dispatcher.Renewal) ([]string, error) {
	w, err := f.reach(ctx, address)
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
		t.expires = time.Now().Add(r.Lease)
		t.lease.Reset(r.Lease)
	}
	return unknown, nil
}

// Stop ends a task without an output.
func (f *Fleet) Stop(ctx context.Context, address, task string) error {
	return f.with(ctx, address, task, func(w *Worker, t *run) { w.end(t, dispatcher.Stopped, "stopped by order") })
}

// Checkpoint ends a task with its progress saved.
func (f *Fleet) Checkpoint(ctx context.Context, address, task string) error {
	return f.with(ctx, address, task, func(w *Worker, t *run) { w.end(t, dispatcher.Checkpointed, "") })
}

// Throttle halves the slots and the speed of a task.
func (f *Fleet) Throttle(ctx context.Context, address, task string) error {
	return f.with(ctx, address, task, func(_ *Worker, t *run) { t.throttle() })
}

// Usage reports on a worker, as of a moment up to a second ago.
func (f *Fleet) Usage(ctx context.Context, address string) (dispatcher.Usage, error) {
	w, err := f.reach(ctx, address)
	if err != nil {
		return dispatcher.Usage{}, err
	}
	defer w.mu.Unlock()
	if w.usageAt.IsZero() || time.Since(w.usageAt) >= usageLag {
		tasks := slices.Sorted(maps.Keys(w.running))
		w.usage = dispatcher.Usage{Slots: w.slots, Leaving: w.faults.Leaving, Tasks: tasks}
		w.usageAt = time.Now()
	}
	return w.usage, nil
}

// with calls fn with a running task, under the worker's mutex.
func (f *Fleet) with(ctx context.Context, address, task string, fn func(*Worker, *run)) error {
	w, err := f.reach(ctx, address)
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

// reach returns the worker at an address with its mutex locked.
func (f *Fleet) reach(ctx context.Context, address string) (*Worker, error) {
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
	return w, w.await(ctx)
}
