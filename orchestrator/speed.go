package orchestrator

import (
	"time"

	"github.com/coltsfootlever/coltsfootlever/appraiser"
	"github.com/coltsfootlever/coltsfootlever/meter"
)

const speedInterval = 500 * time.Millisecond // between two comparisons of the workers' speeds

// workerSpeed is what the leader knows about the speed of a worker.
type workerSpeed struct {
	appraiser.Speed
	lastStep *step   // whose task was recorded last
	slowdown float64 // how many times as long tasks certainly take as on the median worker of the pool; at most 1 if they don't
}

// recordWorkerSpeed records the duration of a task that has ended on its worker, unless
// it says more about the task's rack than about the worker.
func (e *Engine) recordWorkerSpeed(t *task, actual time.Duration, now time.Time) {
	s := &t.worker.speed
	if t.step.LongRunning || t.step.UsesIdleCPU || s.lastStep == t.step || !t.runsNear(t.worker) {
		return
	}
	s.lastStep = t.step
	s.Record(actual, e.correctedEstimate(t.step), now)
}

// updateSpeeds compares the workers of each pool.
func (e *Engine) updateSpeeds(now time.Time) {
	if now.Before(e.nextSpeedUpdate) {
		return
	}
	e.nextSpeedUpdate = now.Add(speedInterval)
	slow := 0
	for _, p := range e.pools {
		speeds := make([]*appraiser.Speed, len(p.workers))
		for i, w := range p.workers {
			speeds[i] = &w.speed.Speed
		}
		for i, slowdown := range appraiser.Slowdowns(speeds, now) {
			e.setSlowdown(p.workers[i], slowdown)
			if slowdown > 1 {
				slow++
			}
		}
	}
	meter.SetSlowWorkers(slow)
}

// setSlowdown records how slow a worker is.
func (e *Engine) setSlowdown(w *worker, slowdown float64) {
	before := w.speed.slowdown
	w.speed.slowdown = slowdown
	w.view.upToDate = w.view.upToDate && before == slowdown
	if slowdown > 1 != (before > 1) {
		e.log.Info("worker is slower than others of its pool, or as fast again", "worker", w.ID, "instance", w.Instance, "pool", w.Pool, "slowdown", slowdown)
	}
}
