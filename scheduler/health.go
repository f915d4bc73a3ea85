package scheduler

import (
	"fmt"
	"slices"
	"time"
)

// health records the recent task failures of a worker and its quarantine. After
// the quarantine the worker is on probation: it gets one task at a time until
// one succeeds.
type health struct {
	failedTasks      []string      // IDs of the different tasks that failed since the last success
	quarantinedUntil time.Time     // end of the last quarantine
	quarantine       time.Duration // duration of the last quarantine; 0 when the worker is healthy
}

// isQuarantined reports whether the worker is in quarantine or on probation.
func (h *health) isQuarantined() bool {
	return h.quarantine > 0
}

// acceptsWork reports whether the worker may get another task while it uses the
// given number of slots. On probation it gets one task at a time.
func (h *health) acceptsWork(running int, now time.Time) bool {
	if !h.isQuarantined() {
		return true
	}
	return running == 0 && !now.Before(h.quarantinedUntil)
}

func (h *health) recordSuccess() {
	*h = health{}
}

// recordFault records a failed task and reports whether limit different tasks
// have failed in a row.
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

// startQuarantine starts a quarantine twice as long as the previous one, and at
// least as long as first.
func (h *health) startQuarantine(first time.Duration, now time.Time) {
	h.quarantine = min(maxQuarantine, max(first, 2*h.quarantine))
	h.quarantinedUntil = now.Add(h.quarantine)
}

// recordOutcome records the outcome of a task for the worker's health. A worker
// whose task fails on probation is quarantined again at once.
func (f *Fleet) recordOutcome(w *worker, o Outcome) {
	now := time.Now()
	switch o.Effect {
	case Succeeded:
		w.health.recordSuccess()
	case Faulted:
		failedAll := w.health.recordFault(o.Task, f.faultLimit)
		onProbation := w.health.isQuarantined() && !now.Before(w.health.quarantinedUntil)
		if onProbation || failedAll && !w.health.isQuarantined() && f.mayQuarantineOneMore(w.Pool) {
			w.health.startQuarantine(f.firstQuarantine, now)
		}
	}
}

// mayQuarantineOneMore reports whether one more worker of the pool may be
// quarantined. The limit is the configured fraction of the workers, but at
// least one worker; the last worker is never quarantined. Otherwise a single
// faulty task or queue could disable the whole pool.
func (f *Fleet) mayQuarantineOneMore(name string) bool {
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

// QuarantinedWorkers returns the IDs of the workers in quarantine or on
// probation, sorted.
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

// BusyWorkers returns the IDs of the workers with slots in use, sorted.
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
