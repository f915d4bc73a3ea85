package assigner

import (
	"slices"

	"github.com/coltsfootlever/coltsfootlever/modeler"
)

type (
	// Worker is what a choice needs to know of a worker.
	Worker struct {
		Free    modeler.Resources
		Total   modeler.Resources
		Labels  []string
		Rack    string
		Closed  bool // takes nothing new on
		Serving int  // running tasks with a latency target
		Filling int  // running tasks that use what others leave
		Held    int  // tasks that do not end by themselves
		Due     bool // to be emptied soon
	}

	// Ask is a task that wants a worker.
	Ask struct {
		Room    modeler.Resources
		Label   string // the worker must have it
		Rack    string // the worker should be there
		Fills   bool   // disturbs serving tasks
		Serves  bool   // is disturbed by filling tasks
		Lasting bool   // does not end by itself
	}
)

// Choose returns the worker for a task, -1 when none can take it. others tells
// how many tasks of the same step a worker has already; a negative number
// rules it out.
//
// Tasks that end are packed tightly, so that workers fall empty and large tasks
// find room. Tasks that last go where such tasks are already, so that the
// other instances can move between pools.
func Choose(workers []*Worker, a Ask, others func(i int) int) int {
	best, bestCost := -1, 0.0
	for i, w := range workers {
		if w.Closed || !a.Room.Fits(w.Free) || a.Label != "" && !slices.Contains(w.Labels, a.Label) {
			continue
		}
		same := others(i)
		if same < 0 {
			continue
		}
		cost := w.cost(a, same)
		if best < 0 || cost < bestCost {
			best, bestCost = i, cost
		}
	}
	return best
}

// Reserve returns the worker that will soonest have room for a task that fits
// nowhere now, -1 when none ever will. others is as in Choose.
func Reserve(workers []*Worker, a Ask, others func(i int) int) int {
	best := -1
	for i, w := range workers {
		if w.Closed || !a.Room.Fits(w.Total) || a.Label != "" && !slices.Contains(w.Labels, a.Label) || others(i) < 0 {
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
func ChooseRack(workers []*Worker, a Ask, count int) string {
	room := make(map[string]int) // tasks that fit, by rack
	for _, w := range workers {
		if !w.Closed && (a.Label == "" || slices.Contains(w.Labels, a.Label)) {
			room[w.Rack] += fits(a.Room, w.Free, count)
		}
	}
	best := ""
	for rack, n := range room {
		m := room[best]
		switch {
		case n == 0:
		case m == 0, n >= count && (m < count || n < m), m < count && n > m, n == m && rack < best:
			best = rack
		}
	}
	return best
}

// fits is how many tasks of a size have room, at most limit.
func fits(room, free modeler.Resources, limit int) int {
	n := 0
	for n < limit && room.Times(n+1).Fits(free) {
		n++
	}
	return n
}

// Weights of the parts of a choice, in shares of a worker. The order matters,
// not the size: data first, then harm, then packing.
const (
	costFar   = 8.0  // away from its data a task takes a multiple of its time
	costHarm  = 4.0  // for each task that the new one disturbs or that disturbs it
	costApart = 0.25 // for each task of the same step, which one fault would end together
	costFresh = 0.5  // a lasting task on a worker that could otherwise move
	costDue   = 2.0  // a lasting task on a worker that it would have to leave soon
)

func (w *Worker) cost(a Ask, same int) float64 {
	cost := share(w.Free, w.Total)
	if a.Rack != "" && a.Rack != w.Rack {
		cost += costFar
	}
	if a.Fills {
		cost += costHarm * float64(w.Serving)
	}
	if a.Serves {
		cost += costHarm * float64(w.Filling)
	}
	if a.Lasting {
		cost += costApart * float64(same)
		if w.Held == 0 {
			cost += costFresh
		}
		if w.Due {
			cost += costDue
		}
	}
	return cost
}

// share is the part of a worker's processor that is free.
func share(free, total modeler.Resources) float64 {
	if total.CPU <= 0 {
		return 0
	}
	return float64(free.CPU) / float64(total.CPU)
}

// Count books n tasks of a step by what they do to others.
func (w *Worker) Count(s *modeler.Step, n int) {
	if s.LatencyTarget > 0 {
		w.Serving += n
	}
	if s.UsesIdleCPU {
		w.Filling += n
	}
	if s.LongRunning {
		w.Held += n
	}
}
