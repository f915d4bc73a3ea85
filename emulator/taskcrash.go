package emulator

import (
	"slices"
	"time"

	"github.com/coltsfootlever/coltsfootlever/modeler"
)

const (
	maxCrashes            = 3 // after a task has crashed so many workers, it must be given up soon
	maxStartsAfterCrashes = 2 // so often a task may still start then
)

// earlierCapacity is the capacity that a worker had until it changed.
type earlierCapacity struct {
	modeler.Resources
	until time.Time
}

// CrashCount returns the number of workers that a task has crashed.
func (f *TaskFleet) CrashCount(id modeler.TaskID) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.crashCounts[id]
}

// LostRuns returns the number of runs of a task that ended with their worker.
func (f *TaskFleet) LostRuns(id modeler.TaskID) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lostRuns[id]
}

// noteRestart notes that a task starts whose last run may have ended with its worker.
func (f *TaskFleet) noteRestart(id modeler.TaskID) {
	if since, ok := f.lostAt[id]; ok {
		f.standstills = append(f.standstills, time.Since(since))
		delete(f.lostAt, id)
	}
}

// Standstills returns, sorted, how long tasks whose run ended with its worker stood still
// until their next start.
func (f *TaskFleet) Standstills() []time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Sorted(slices.Values(f.standstills))
}

// scheduleCrash lets a run crash its worker if CrashAfter says so.
func (f *TaskFleet) scheduleCrash(w *taskWorker, id modeler.TaskID, r *taskRun) {
	if f.CrashAfter == nil {
		return
	}
	after, crashes := f.CrashAfter(id, r.number)
	if !crashes {
		return
	}
	time.AfterFunc(after, func() {
		f.mu.Lock()
		present := f.workers[w.ID] == w && w.runs[id] == r
		if present {
			f.crashCounts[id]++
		}
		f.mu.Unlock()
		switch {
		case !present:
		case f.OnCrash == nil:
			f.Remove(w.ID)
		default:
			f.OnCrash(w.ID)
		}
	})
}

// checkCrashes records a violation if a task starts too often after it has crashed
// maxCrashes workers.
func (f *TaskFleet) checkCrashes(id modeler.TaskID) {
	if f.crashCounts[id] < maxCrashes {
		return
	}
	f.startsAfterCrashes[id]++
	if f.startsAfterCrashes[id] > maxStartsAfterCrashes {
		f.addViolation("task %s starts again after it has crashed %d workers", id, f.crashCounts[id])
	}
}

// SetCapacity changes the capacity of a worker while it runs. The list of workers
// shows it. It has no effect if there is no such worker.
func (f *TaskFleet) SetCapacity(id string, capacity modeler.Resources) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w := f.workers[id]
	if w == nil {
		return // its instance is moving or down
	}
	w.earlierCapacities = append(w.earlierCapacities, earlierCapacity{w.Capacity, time.Now()})
	w.Capacity = capacity
}

// RestartWithCapacity ends a worker and its runs, which breaks its connections, and
// after downtime starts it again with the same ID and another capacity.
func (f *TaskFleet) RestartWithCapacity(id string, capacity modeler.Resources, downtime time.Duration) {
	f.mu.Lock()
	before := f.workers[id]
	w := before.Worker
	f.mu.Unlock()
	f.Remove(id)
	f.mu.Lock()
	before.notifyChange()
	f.mu.Unlock()
	time.Sleep(downtime)
	w.Capacity = capacity
	f.Add(w)
}

// checkCapacity records a violation if a task starts on a worker that has no room
// for it, neither now nor within the last CapacityGrace.
func (f *TaskFleet) checkCapacity(w *taskWorker, id modeler.TaskID) {
	if f.Need == nil {
		return
	}
	used := f.Need(id)
	for other := range w.runs {
		used = used.Add(f.Need(other))
	}
	capacity := w.Capacity
	for _, c := range w.earlierCapacities {
		if time.Since(c.until) <= f.CapacityGrace {
			capacity = capacity.Max(c.Resources)
		}
	}
	if !used.Fits(capacity) {
		f.addViolation("task %s starts on %s, where %+v are then in use of %+v", id, w.ID, used, capacity)
	}
}
