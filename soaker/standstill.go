package soaker

import (
	"context"
	"slices"
	"time"

	"github.com/coltsfootlever/coltsfootlever/modeler"
	"github.com/coltsfootlever/coltsfootlever/supervisor"
)

const (
	finishTime     = 14 * time.Second // from the platform's documentation: from so long after the end of the load no job may stand still
	maxStandstill  = 3 * time.Second  // from the platform's documentation: longest time for which a job may stand still then
	standstillStep = 100 * time.Millisecond
)

// roomView is what workers have in use, and what customers have running.
type roomView struct {
	free           []modeler.Resources // by worker
	capacity, used int64               // CPU of all workers, in thousandths of a core
	byCustomer     map[string]int64    // CPU in use, in thousandths of a core
	activeJobs     map[string]bool     // jobs that have a task running
}

// checkStandstill records a breach for each accepted job that stands still beside room for
// maxStandstill, as the platform's documentation puts it: it has nothing running while a
// task's turn has come, there is capacity for the task twice over, its customer has under
// half of its limit running, and under half of the pool is in use. It begins finishTime after
// calm, the time since the start of the run at which the load and the lasting faults end.
func (r *soakRun) checkStandstill(ctx context.Context, calm time.Duration) {
	if supervisor.Pause(ctx, calm+finishTime-time.Since(r.began)) != nil {
		return
	}
	lowestLimit := min(r.customerLimit(0), r.customerLimit(1))
	since, reported := make(map[string]time.Time), make(map[string]bool) // by job
	for supervisor.Pause(ctx, standstillStep) == nil {
		view, err := r.viewRoom(ctx)
		if err != nil {
			return // ctx has ended
		}
		for _, j := range r.checker.unfinishedJobs() {
			if !view.standsStill(j, lowestLimit, func(step int) bool { return r.isDone(j, step) }) {
				delete(since, j.ID)
				continue
			}
			if since[j.ID].IsZero() {
				since[j.ID] = time.Now()
			}
			if time.Since(since[j.ID]) >= maxStandstill && !reported[j.ID] {
				reported[j.ID] = true
				r.checker.AddBreach("job %s has stood still for %s beside room, %s after the end of the load", j.ID, maxStandstill, (time.Since(r.began) - calm).Round(time.Second))
			}
		}
	}
}

// calmFrom returns when the load and the lasting faults end, as the time since the start of
// the run.
func calmFrom(load time.Duration, faults []Fault) time.Duration {
	end := load
	for _, f := range faults {
		if f.Duration > 0 {
			end = max(end, f.At+f.Duration)
		}
	}
	return end
}

// viewRoom returns the present view of the workers.
func (r *soakRun) viewRoom(ctx context.Context) (*roomView, error) {
	workers, err := r.fleet.Workers(ctx)
	if err != nil {
		return nil, err
	}
	v := &roomView{byCustomer: make(map[string]int64), activeJobs: make(map[string]bool)}
	running := r.fleet.RunningTasks()
	for _, w := range workers {
		free := w.Capacity
		for _, id := range running[w.ID] {
			need := r.checker.needOf(id)
			free = free.Sub(need)
			v.used += need.CPU
			v.byCustomer[r.checker.customerOf(id.Job)] += need.CPU
			v.activeJobs[id.Job] = true
		}
		v.free = append(v.free, free)
		v.capacity += w.Capacity.CPU
	}
	return v, nil
}

// standsStill reports whether a job of a customer with a limit has nothing running although
// there is room. done tells which of its steps have ended.
func (v *roomView) standsStill(j modeler.Job, limit int64, done func(step int) bool) bool {
	if v.activeJobs[j.ID] || v.used*2 >= v.capacity || v.byCustomer[j.Customer]*2 >= limit {
		return false
	}
	for i, s := range j.Steps {
		isDue := !slices.ContainsFunc(s.After, func(n int) bool { return !done(n) })
		if !done(i) && isDue && v.fitsTwice(s.Need) {
			return true
		}
	}
	return false
}

// isDone reports whether all tasks of a step have ended as done.
func (r *soakRun) isDone(j modeler.Job, step int) bool {
	for i := range j.Steps[step].Count {
		if r.fleet.SuccessfulRuns(modeler.TaskID{Job: j.ID, Step: step, Index: i}) == 0 {
			return false
		}
	}
	return true
}

// fitsTwice reports whether there is room for two tasks of a need.
func (v *roomView) fitsTwice(need modeler.Resources) bool {
	n := 0
	for _, free := range v.free {
		for ; n < 2 && need.Fits(free); n++ {
			free = free.Sub(need)
		}
	}
	return n >= 2
}
