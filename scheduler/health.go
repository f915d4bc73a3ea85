package scheduler

import (
	"fmt"
	"slices"
	"time"
)

// health is the record of a worker's recent starts.
type health struct {
	failedTasks      []string // different tasks that failed since the last success
	quarantinedUntil time.Time
	quarantine       time.Duration // length of the current time aside; 0 when sound
}

// isQuarantined reports whether the worker is set aside or on trial.
func (h *health) isQuarantined() bool {
	return h.quarantine > 0
}

// acceptsWork reports whether the worker may take work. After its time aside it
// acceptsWork one task at a time until one succeeds.
func (h *health) acceptsWork(running int, now time.Time) bool {
	if !h.isQuarantined() {
		return true
	}
	return running == 0 && !now.Before(h.quarantinedUntil)
}

func (h *health) recordSuccess() {
	*h = health{}
}

// recordFault counts a failed task and reports whether the worker has failed
// limit different tasks in a row.
func (h *health) recordFault(task string, limit int) bool {
	for _, id := range h.failedTasks {
		if id == task {
			return false
		}
	}
	if len(h.failedTasks) < limit {
		h.failedTasks = append(h.failedTasks, task)
	}
	return len(h.failedTasks) >= limit
}

// startQuarantine begins a time aside, twice as long as the one before.
func (h *health) startQuarantine(first time.Duration, now time.Time) {
	h.quarantine = min(maxQuarantine, max(first, 2*h.quarantine))
	h.quarantinedUntil = now.Add(h.quarantine)
}

// recordOutcome counts the outcome of a task for the worker's health. A worker that
// fails on trial goes aside again at once.
func (f *Fleet) recordOutcome(w *worker, o Outcome) {
	now := time.Now()
	switch o.Effect {
	case Succeeded:
		w.health.recordSuccess()
	case Faulted:
		failedAll := w.health.recordFault(o.Task, f.faultLimit)
		onProbation := w.health.isQuarantined() && !now.Before(w.health.quarantinedUntil)
		if onProbation || failedAll && !w.health.isQuarantined() && f.mayQuarantineOne(w.Pool) {
			w.health.startQuarantine(f.firstQuarantine, now)
		}
	}
}

// mayQuarantineOne reports whether one more worker of the pool may be set aside: the
// stated fraction, at least one, never the last. One bad task or queue must
// not empty the pool.
func (f *Fleet) mayQuarantineOne(name string) bool {
	quarantined, enabled := 0, 0
	for _, w := range f.pool(name).workers {
		if !w.enabled {
			continue
		}
		enabled++
		if w.health.isQuarantined() {
			quarantined++
		}
	}
	most := max(1, int(f.maxQuarantinedFraction*float64(enabled)))
	return quarantined+1 <= most && quarantined+1 < enabled
}

func panicUnless(ok bool, format string, args ...any) {
	if !ok {
		panic(fmt.Sprintf(format, args...))
	}
}

// QuarantinedWorkers returns the workers that are set aside, sorted.
func (f *Fleet) QuarantinedWorkers() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	var ids []string
	for id, w := range f.workers {
		if w.health.isQuarantined() {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// BusyWorkers returns the workers with slots in use, sorted.
func (f *Fleet) BusyWorkers() []string {
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
