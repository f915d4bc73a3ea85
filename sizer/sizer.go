package sizer

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// The load that the figures answer: queues that ask several times their mean
// within a second or two, while an instance takes some seconds to change its
// pool.
const (
	targetUtilization = 0.85            // part of a pool's processors that tasks of uneven size can fill
	headroomInstances = 1               // instances beyond the demand, so that the first jobs of a rise find room
	minSurplusTime    = 2 * time.Second // a pool gives instances to the spare one after it had too many for this long, above the time that a move takes
)

type (
	// Pool is what is known of a pool.
	Pool struct {
		Name             string
		Spare            bool
		Instances        int           // up, or on their way into the pool
		Movable          int           // instances up that run nothing and are not planned for anything
		CoresPerInstance float64       // of one instance
		LongRunningCores float64       // cores of tasks that last
		DemandCores      float64       // cores of the other tasks that run or could run at once
		ArrivalRate      float64       // core-seconds of work that arrive a second
		SurplusFor       time.Duration // for how long the pool has had more instances than it wants
		HasUnplacedTask  bool          // a lasting task finds no worker, for lack of room or because its step must be spread
		MinWorkers       int           // workers over which some lasting step has to be spread
	}

	// Move takes Count instances from one pool to another.
	Move struct {
		From, To string
		Count    int
	}
)

// DesiredInstances is how many instances the pool should have.
func DesiredInstances(p Pool) int {
	if p.CoresPerInstance <= 0 {
		return p.Instances
	}
	cores := (p.LongRunningCores + max(p.DemandCores, p.ArrivalRate)) / targetUtilization
	n := max(int(math.Ceil(cores/p.CoresPerInstance)), p.MinWorkers) + headroomInstances
	if p.HasUnplacedTask {
		n = max(n, p.Instances+1)
	}
	return n
}

// PlanMoves returns the moves that bring the pools to their wanted sizes. Pools
// that lack most come first; spare instances are taken before those that other
// pools have too many of. The spare pool gets only what has been too much for a
// while. There are at most limit moves.
func PlanMoves(pools []Pool, limit int) []Move {
	var spare *Pool
	shortages, surplus, releasable := make(map[string]int), make(map[string]int), make(map[string]int)
	for i, p := range pools {
		if p.Spare {
			spare = &pools[i]
			continue
		}
		switch n := DesiredInstances(p) - p.Instances; {
		case n > 0:
			shortages[p.Name] = n
		case n < 0:
			surplus[p.Name] = min(-n, p.Movable)
			if p.SurplusFor >= minSurplusTime {
				releasable[p.Name] = p.Movable
			}
		}
	}
	if spare == nil {
		return nil
	}
	moves, remaining := coverShortages(shortages, spare, surplus, releasable, limit)
	for _, name := range namesByDescendingCount(surplus) {
		if n := min(surplus[name], releasable[name], remaining); n > 0 {
			moves = append(moves, Move{name, spare.Name, n})
			remaining -= n
		}
	}
	return moves
}

// coverShortages gives instances to the pools that lack some, at most limit of them. It
// takes what it gives from extra and idle.
func coverShortages(shortages map[string]int, spare *Pool, surplus, releasable map[string]int, limit int) ([]Move, int) {
	var moves []Move
	free := spare.Movable
	for _, name := range namesByDescendingCount(shortages) {
		if n := min(shortages[name], free, limit); n > 0 {
			moves = append(moves, Move{spare.Name, name, n})
			shortages[name] -= n
			free -= n
			limit -= n
		}
		for _, from := range namesByDescendingCount(surplus) {
			if n := min(shortages[name], surplus[from], limit); n > 0 {
				moves = append(moves, Move{from, name, n})
				shortages[name] -= n
				surplus[from] -= n
				releasable[from] -= n
				limit -= n
			}
		}
	}
	return moves, limit
}

// namesByDescendingCount returns the names with the largest numbers first.
func namesByDescendingCount(counts map[string]int) []string {
	names := make([]string, 0, len(counts))
	for name := range counts {
		names = append(names, name)
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(counts[b], counts[a]), cmp.Compare(a, b))
	})
	return names
}
