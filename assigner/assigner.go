package assigner

import (
	"slices"

	"github.com/coltsfootlever/coltsfootlever/modeler"
)

type (
	// Worker is the state of a worker that placement decisions depend on.
	Worker struct {
		Name             string // workers of equal cost are preferred in this order
		Free             modeler.Resources
		Capacity         modeler.Resources
		Retained         modeler.Resources // used by long-running tasks or reserved for them
		Labels           []string
		Rack             string
		Unavailable      bool    // accepts no new tasks
		LatencyTasks     int     // running tasks with a latency target
		IdleCPUTasks     int     // running tasks that use the CPU time that other tasks leave unused
		LongRunningTasks int     // tasks that run until they are cancelled
		EvacuationDue    bool    // its tasks will soon be moved to other workers
		Suspects         int     // tasks whose earlier workers have crashed
		Slowdown         float64 // how many times as long tasks take as on other workers; 0 to 1 if they don't

		indexed                      bool  // in an Index
		indexedCapacity, indexedFree int64 // when it was put into the Index
	}

	// Request describes a task that needs a worker.
	Request struct {
		Resources        modeler.Resources
		RequiredLabel    string // the worker must have this label; empty for none
		PreferredRack    string // the worker should be in this rack; empty for any
		UsesIdleCPU      bool   // the task runs on unused CPU time and slows down tasks with a latency target
		HasLatencyTarget bool   // the task is slowed down by tasks that run on unused CPU time
		LongRunning      bool   // the task runs until it is cancelled
		Suspect          bool   // an earlier worker of the task has crashed
	}
)

// NeedsOnlyResources reports whether ChooseWorker compares workers for the request only
// by the CPU that they have free.
func (r *Request) NeedsOnlyResources() bool {
	return *r == Request{Resources: r.Resources}
}

// ChooseWorker returns the index of the best worker for a task, or -1 if none
// can run it. sameStepTasks returns the number of tasks of the same step that
// worker i runs already; a negative number excludes the worker.
//
// Tasks that end are packed tightly, so that some workers become empty and have
// room for large tasks. Long-running tasks are put together on few workers, so
// that the other instances can move between pools.
func ChooseWorker(workers []*Worker, r Request, sameStepTasks func(i int) int) int {
	best, bestCost := -1, 0.0
	for i, w := range workers {
		if w.Unavailable || !r.Resources.Fits(w.Free) || r.RequiredLabel != "" && !slices.Contains(w.Labels, r.RequiredLabel) {
			continue
		}
		same := sameStepTasks(i)
		if same < 0 {
			continue
		}
		cost := w.placementCost(r, same)
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}

// ChooseWorkerToKeepFree returns the index of the worker to keep free for a task
// that fits on no worker now, or -1 if it fits on none even after all tasks that
// end have ended. It is the worker with the most free CPU, which is likely to
// have room first. sameStepTasks is as in ChooseWorker.
func ChooseWorkerToKeepFree(workers []*Worker, r Request, sameStepTasks func(i int) int) int {
	best := -1
	for i, w := range workers {
		if w.Unavailable || !r.Resources.Fits(w.Capacity.Sub(w.Retained)) || r.RequiredLabel != "" && !slices.Contains(w.Labels, r.RequiredLabel) || sameStepTasks(i) < 0 {
			continue
		}
		if best < 0 || w.Free.CPU > workers[best].Free.CPU {
			best = i
		}
	}
	return best
}

// ChooseRack returns the rack for count tasks that should all run on one rack.
// It is the rack with the least room that still has room for all of them, or
// else the rack with the most room. The result is empty if no worker has room
// for even one of them.
func ChooseRack(workers []*Worker, r Request, count int) string {
	fitting := make(map[string]int) // number of tasks that fit, by rack
	for _, w := range workers {
		if !w.Unavailable && (r.RequiredLabel == "" || slices.Contains(w.Labels, r.RequiredLabel)) {
			fitting[w.Rack] += countFitting(r.Resources, w.Free, count)
		}
	}
	best := ""
	for rack, n := range fitting {
		m := fitting[best]
		switch {
		case n == 0:
		case m == 0, n >= count && (m < count || n < m), m < count && n > m, n == m && rack < best:
			best = rack
		}
	}
	return best
}

// CountFitting returns for how many tasks with a need the worker has room, at most limit.
func (w *Worker) CountFitting(need modeler.Resources, limit int) int {
	return countFitting(need, w.Free, limit)
}

// countFitting returns how many tasks that need this much fit into free, at most limit.
func countFitting(need, free modeler.Resources, limit int) int {
	n := 0
	for n < limit && need.Times(n+1).Fits(free) {
		n++
	}
	return n
}

// Costs of putting a task on a worker, in the unit of the worker's free share
// of CPU. Only their order matters, not their size: first the distance to the
// data, then interference with latency, then tight packing.
const (
	costRemoteRack       = 8.0  // away from its data a task takes several times as long
	costInterference     = 4.0  // for each task that the new task slows down or that slows it down
	costSameStep         = 0.25 // for each task of the same step, since one failure would end them together
	costFirstLongRunning = 0.5  // for a long-running task on a worker without any, whose instance could otherwise change pools
	costSuspects         = 1.0  // for each other suspect, since a crash then tells less about its cause
	costSlowdown         = 4.0  // for each multiple of the run time on other workers; 1.25 outweighs tight packing, 4 a remote rack
	costEvacuationDue    = 2.0  // for a long-running task on a worker that it would soon have to leave
)

func (w *Worker) placementCost(r Request, sameStep int) float64 {
	cost := freeCPUShare(w.Free, w.Capacity)
	if r.PreferredRack != "" && r.PreferredRack != w.Rack {
		cost += costRemoteRack
	}
	if w.Slowdown > 1 {
		cost += costSlowdown * (w.Slowdown - 1)
	}
	if r.UsesIdleCPU {
		cost += costInterference * float64(w.LatencyTasks)
	}
	if r.HasLatencyTarget {
		cost += costInterference * float64(w.IdleCPUTasks)
	}
	if r.Suspect {
		cost += costSuspects * float64(w.Suspects)
	}
	if r.LongRunning {
		cost += costSameStep * float64(sameStep)
		if w.LongRunningTasks == 0 {
			cost += costFirstLongRunning
		}
		if w.EvacuationDue {
			cost += costEvacuationDue
		}
	}
	return cost
}

// freeCPUShare returns the fraction of a worker's CPU that is free.
func freeCPUShare(free, total modeler.Resources) float64 {
	if total.CPU <= 0 {
		return 0
	}
	return float64(free.CPU) / float64(total.CPU)
}

// AddTasks adds n tasks of the step to the worker's counts of tasks. n may be negative.
func (w *Worker) AddTasks(s *modeler.Step, n int) {
	if s.LatencyTarget > 0 {
		w.LatencyTasks += n
	}
	if s.UsesIdleCPU {
		w.IdleCPUTasks += n
	}
	if s.LongRunning {
		w.LongRunningTasks += n
		w.Retained = w.Retained.Add(s.ReservedResources().Times(n))
	}
}
