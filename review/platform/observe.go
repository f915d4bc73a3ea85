package main

import (
	"fmt"
	"strings"
	"time"
)

// setWork sets how long the subtasks take whose name begins with prefix.
func (w *world) setWork(prefix string, d time.Duration) {
	w.obsMu.Lock()
	defer w.obsMu.Unlock()
	w.work[prefix] = d
}

// workOf returns how long a subtask takes.
func (w *world) workOf(task string) time.Duration {
	w.obsMu.Lock()
	defer w.obsMu.Unlock()
	longest, work := -1, defaultWork
	for prefix, d := range w.work {
		if strings.HasPrefix(task, prefix) && len(prefix) > longest {
			longest, work = len(prefix), d
		}
	}
	return work
}

func (w *world) noteStart(v *worker, k runKey, token int64) {
	w.obsMu.Lock()
	defer w.obsMu.Unlock()
	w.runs = append(w.runs, &observedRun{task: k.task, run: k.run, worker: v, began: time.Now()})
	w.rec.note("run starts: %s run %d on %s (born %d), fence %d", k.task, k.run, v.ID, v.StartTimeMs, token)
}

func (w *world) noteStop(v *worker, k runKey, atWork bool) {
	w.obsMu.Lock()
	defer w.obsMu.Unlock()
	w.stops = append(w.stops, observedStop{k.task, time.Now(), atWork})
	w.rec.note("run is stopped: %s run %d on %s, at work: %t", k.task, k.run, v.ID, atWork)
}

func (w *world) noteEnd(v *worker, k runKey, how string, number int64) {
	w.obsMu.Lock()
	defer w.obsMu.Unlock()
	if r := w.find(v, k); r != nil {
		r.ended, r.how, r.number = time.Now(), how, number
	}
	w.rec.note("run ends: %s run %d on %s (born %d): %s, end %d", k.task, k.run, v.ID, v.StartTimeMs, how, number)
}

func (w *world) noteSeen(v *worker, e endedRun, lastSeen int64) {
	w.obsMu.Lock()
	defer w.obsMu.Unlock()
	if r := w.find(v, e.key); r != nil {
		r.seen, r.seenAt, r.lastAck = true, time.Now(), lastSeen
	}
	w.rec.note("end %d of %s (born %d) is taken note of by last_seen %d: %s run %d %s", e.number, v.ID, v.StartTimeMs, lastSeen, e.key.task, e.key.run, e.how)
}

// find returns the run of a worker. The caller holds the mutex.
func (w *world) find(v *worker, k runKey) *observedRun {
	for _, r := range w.runs {
		if r.worker == v && r.task == k.task && r.run == k.run {
			return r
		}
	}
	return nil
}

// startedAgainAfterDone returns a run that began after another run of its subtask had
// ended as done, if that end has been taken note of: rule TWICE.
func (w *world) startedAgainAfterDone() string {
	w.obsMu.Lock()
	defer w.obsMu.Unlock()
	for _, first := range w.runs {
		if first.how != "done" || !first.seen {
			continue
		}
		for _, next := range w.runs {
			if next.task == first.task && next != first && next.began.After(first.ended) {
				return fmt.Sprintf("%s run %d ended done on %s (born %d) as its end %d, which last_seen %d has reached; run %d started on %s (born %d) %v after that end",
					first.task, first.run, first.worker.ID, first.worker.StartTimeMs, first.number, first.lastAck,
					next.run, next.worker.ID, next.worker.StartTimeMs, next.began.Sub(first.ended).Round(time.Millisecond))
			}
		}
	}
	return ""
}

// runsOf returns how many runs of a job have started, and how many ended as how.
func (w *world) runsOf(job, how string) (started, ended int) {
	w.obsMu.Lock()
	defer w.obsMu.Unlock()
	for _, r := range w.runs {
		if strings.HasPrefix(r.task, job+".") {
			started++
			if r.how == how {
				ended++
			}
		}
	}
	return started, ended
}

// workerOf returns the worker on which a subtask is at work, or nil.
func (w *world) workerOf(task string) *worker {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, m := range w.machines {
		if m.worker != nil && m.worker.runsTask(task) {
			return m.worker
		}
	}
	return nil
}

// runsTask reports whether a run of the subtask is at work on the worker.
func (v *worker) runsTask(task string) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	for k := range v.runs {
		if k.task == task {
			return true
		}
	}
	return false
}
