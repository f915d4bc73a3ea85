package assigner

import (
	"slices"

	"github.com/coltsfootlever/coltsfootlever/modeler"
)

type (
	// Worker is what a choice needs to know of a worker.
	Worker struct {
		Free             modeler.Resources
		Capacity         modeler.Resources
		Labels           []string
		Rack             string
		Unavailable      bool // takes nothing new on
		LatencyTasks     int  // running tasks with a latency target
		IdleCPUTasks     int  // running tasks that use what others leave
		LongRunningTasks int  // tasks that do not end by themselves
		EvacuationDue    bool // to be emptied soon
	}

	// Request is a task that wants a worker.
	Request struct {
		Resources        modeler.Resources
		RequiredLabel    string // the worker must have it
		PreferredRack    string // the worker should be there
		UsesIdleCPU      bool   // disturbs serving tasks
		HasLatencyTarget bool   // is disturbed by filling tasks
		LongRunning      bool   // does not end by itself
	}
)

// ChooseWorker returns the worker for a task, -1 when none can take it. others tells
// how many tasks of the same step a worker has already; a negative number
// rules it out.
//
// Tasks that end are packed tightly, so that workers fall empty and large tasks
// find room. Tasks that last go where such tasks are already, so that the
// other instances can move between pools.
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

// ChooseWorkerToReserve returns the worker that will soonest have room for a task that fits
// nowhere now, -1 when none ever will. others is as in Choose.
func ChooseWorkerToReserve(workers []*Worker, r Request, sameStepTasks func(i int) int) int {
	best := -1
	for i, w := range workers {
		if w.Unavailable || !r.Resources.Fits(w.Capacity) || r.RequiredLabel != "" && !slices.Contains(w.Labels, r.RequiredLabel) || sameStepTasks(i) < 0 {
			continue
		}
		if best < 0 || w.Free.CPU > workers[best].Free.CPU {
			best = i
		}
	}
	return best
}

// ChooseRack returns the rack for tasks that should run on one rack: the one that
// has room for all of them and least for others, or else the one with most room;
// empty when no worker can take one.
func ChooseRack(workers []*Worker, r Request, count int) string {
	fitting := make(map[string]int) // tasks that fit, by rack
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

// countFitting is how many tasks of a size have room, at most limit.
func countFitting(need, free modeler.Resources, limit int) int {
	n := 0
	for n < limit && need.Times(n+1).Fits(free) {
		n++
	}
	return n
}

// Weights of the parts of a choice, in shares of a worker. The order matters,
// not the size: data first, then harm, then packing.
const (
	costRemoteRack       = 8.0  // away from its data a task takes a multiple of its time
	costInterference     = 4.0  // for each task that the new one disturbs or that disturbs it
	costSameStep         = 0.25 // for each task of the same step, which one fault would end together
	costFirstLongRunning = 0.5  // a lasting task on a worker that could otherwise move
	costEvacuationDue    = 2.0  // a lasting task on a worker that it would have to leave soon
)

func (w *Worker) placementCost(r Request, sameStep int) float64 {
	cost := freeCPUShare(w.Free, w.Capacity)
	if r.PreferredRack != "" && r.PreferredRack != w.Rack {
		cost += costRemoteRack
	}
	if r.UsesIdleCPU {
		cost += costInterference * float64(w.LatencyTasks)
	}
	if r.HasLatencyTarget {
		cost += costInterference * float64(w.IdleCPUTasks)
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

// freeCPUShare is the part of a worker's processor that is free.
func freeCPUShare(free, total modeler.Resources) float64 {
	if total.CPU <= 0 {
		return 0
	}
	return float64(free.CPU) / float64(total.CPU)
}

// AddTasks books n tasks of a step by what they do to others.
func (w *Worker) AddTasks(s *modeler.Step, n int) {
	if s.LatencyTarget > 0 {
		w.LatencyTasks += n
	}
	if s.UsesIdleCPU {
		w.IdleCPUTasks += n
	}
	if s.LongRunning {
		w.LongRunningTasks += n
	}
}
