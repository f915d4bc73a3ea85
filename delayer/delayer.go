package delayer

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/coltsfootlever/coltsfootlever/modeler"
)

const (
	priorError  = 0.5 // relative error of estimates before any run has ended
	priorWeight = 4   // number of runs that outweigh it
	maxRatio    = 10  // of an actual to an estimated duration; longer runs have been held up
)

type (
	// Task is a task that could start away from its preferred location.
	Task struct {
		Estimate     time.Duration // of its run time near its data
		RemoteFactor float64       // how many times as long it runs elsewhere
		Slack        time.Duration // how long it may wait until its job would miss its objective
		Waited       time.Duration // since it first waited for the location
	}

	// Run is a run that occupies a part of a worker.
	Run struct {
		Resources modeler.Resources
		Estimate  time.Duration
		Elapsed   time.Duration
		Endless   bool // it doesn't end by itself
	}

	// Worker is a worker at the preferred location.
	Worker struct {
		Free modeler.Resources // less what earlier waiting tasks will take
		Runs []Run
	}

	// Room tells when a location has room for a task.
	Room struct {
		Worker int // index among the workers of the location
		In     time.Duration
		Error  time.Duration // standard deviation of In
	}

	// Accuracy measures the estimates of the run times of some tasks. The zero value has
	// seen no run.
	Accuracy struct {
		runs    float64
		squares float64 // sum of the squared deviations of actual from estimated durations, relative to the latter
	}
)

// ShouldWait reports whether the task should wait for the location. It does only if it
// will end earlier there by more than the error, in time for its job's objective, and
// if all of its waits together cost less than it can gain, however often others take
// the room that it waits for.
func (t Task) ShouldWait(room Room) bool {
	wait := room.In + room.Error
	gain := time.Duration((t.RemoteFactor - 1) * float64(t.Estimate))
	return t.Waited+wait < gain && wait <= t.Slack
}

// FindRoom returns when each of count tasks that need these resources will have room on
// the workers, the first one first. There are fewer if some won't have room even after
// all runs have ended. relativeError is that of the estimates.
func FindRoom(workers []Worker, need modeler.Resources, count int, relativeError float64) []Room {
	var rooms []Room
	for i := range workers {
		for _, r := range workers[i].rooms(need, count, relativeError) {
			r.Worker = i
			rooms = append(rooms, r)
		}
	}
	slices.SortStableFunc(rooms, func(a, b Room) int { return cmp.Compare(a.In, b.In) })
	return rooms[:min(count, len(rooms))]
}

// rooms returns when each of up to count tasks has room on the worker.
func (w *Worker) rooms(need modeler.Resources, count int, relativeError float64) []Room {
	ends := make([]endOfRun, 0, len(w.Runs))
	for _, r := range w.Runs {
		if !r.Endless {
			ends = append(ends, endOfRun{r.remaining(relativeError), r.Resources})
		}
	}
	slices.SortFunc(ends, func(a, b endOfRun) int { return cmp.Compare(a.room.In, b.room.In) })
	var rooms []Room
	free, now := w.Free, Room{}
	for len(rooms) < count {
		switch {
		case need.Fits(free):
			free = free.Sub(need)
			rooms = append(rooms, now)
		case len(ends) == 0:
			return rooms
		default:
			free, now = free.Add(ends[0].released), ends[0].room
			ends = ends[1:]
		}
	}
	return rooms
}

// endOfRun is when a run ends and what it releases.
type endOfRun struct {
	room     Room
	released modeler.Resources
}

// remaining estimates how long the run still takes. One that has taken longer than
// estimated is assumed to go on for as long as estimates are usually wrong by.
func (r Run) remaining(relativeError float64) Room {
	deviation := time.Duration(relativeError * float64(r.Estimate))
	return Room{In: max(r.Estimate-r.Elapsed, deviation), Error: deviation}
}

// Record records a run that has ended.
func (a *Accuracy) Record(actual, estimate time.Duration) {
	if estimate <= 0 {
		return
	}
	deviation := min(float64(actual)/float64(estimate), maxRatio) - 1
	a.runs++
	a.squares += deviation * deviation
}

// RelativeError returns the standard error of an estimate, relative to it.
func (a *Accuracy) RelativeError() float64 {
	return math.Sqrt((priorWeight*priorError*priorError + a.squares) / (priorWeight + a.runs))
}
