package scheduler

import (
	"fmt"
	"slices"
	"time"
)

// health is the record of a worker's recent starts.
type health struct {
	failed    []string // different tasks that failed since the last success
	asideTill time.Time
	probation time.Duration // length of the current time aside; 0 when sound
}

// isAside reports whether the worker is set aside or on trial.
func (h *health) isAside() bool {
	return h.probation > 0
}

// takes reports whether the worker may take work. After its time aside it
// takes one task at a time until one succeeds.
func (h *health) takes(running int, now time.Time) bool {
	if !h.isAside() {
		return true
	}
	return running == 0 && !now.Before(h.asideTill)
}

func (h *health) succeeded() {
	*h = health{}
}

// faulted counts a failed task and reports whether the worker has failed
// limit different tasks in a row.
func (h *health) faulted(task string, limit int) bool {
	for _, id := range h.failed {
		if id == task {
			return false
		}
	}
	if len(h.failed) < limit {
		h.failed = append(h.failed, task)
	}
	return len(h.failed) >= limit
}

// setAside begins a time aside, twice as long as the one before.
func (h *health) setAside(first time.Duration, now time.Time) {
	h.probation = min(maxProbation, max(first, 2*h.probation))
	h.asideTill = now.Add(h.probation)
}

// judge counts the outcome of a task for the worker's health. A worker that
// fails on trial goes aside again at once.
func (f *Fleet) judge(w *worker, o Outcome) {
	now := time.Now()
	switch o.Ending {
	case Succeeded:
		w.health.succeeded()
	case Faulted:
		failedAll := w.health.faulted(o.Task, f.faults)
		onTrial := w.health.isAside() && !now.Before(w.health.asideTill)
		if onTrial || failedAll && !w.health.isAside() && f.mayLose(w.Pool) {
			w.health.setAside(f.probation, now)
		}
	}
}

// mayLose reports whether one more worker of the pool may be set aside: the
// stated fraction, at least one, never the last. One bad task or queue must
// not empty the pool.
func (f *Fleet) mayLose(name string) bool {
	aside, open := 0, 0
	for _, w := range f.pool(name).workers {
		if !w.open {
			continue
		}
		open++
		if w.health.isAside() {
			aside++
		}
	}
	most := max(1, int(f.aside*float64(open)))
	return aside+1 <= most && aside+1 < open
}

func panicUnless(ok bool, format string, args ...any) {
	if !ok {
		panic(fmt.Sprintf(format, args...))
	}
}

// Aside returns the workers that are set aside, sorted.
func (f *Fleet) Aside() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var ids []string
	for id, w := range f.workers {
		if w.health.isAside() {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// Busy returns the workers with slots in use, sorted.
func (f *Fleet) Busy() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var ids []string
	for id, w := range f.workers {
		if w.running > 0 {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}
