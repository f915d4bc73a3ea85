package sizer

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// These limits are made for queues whose demand rises to several times its mean
// within a second or two, while an instance takes some seconds to change its
// pool.
const (
	targetUtilization = 0.85            // fraction of a pool's CPU that tasks of different sizes can use
	headroomInstances = 1               // instances above the demand, for the first jobs when the demand rises
	minSurplusTime    = 2 * time.Second // a pool returns instances to the spare pool after a surplus of this length, which is above the time that a move takes
)

type (
	// Pool is the state of a pool and its demand.
	Pool struct {
		Name             string
		Spare            bool          // the spare pool, which lends its instances to the other pools
		Instances        int           // up, or being moved into the pool
		Movable          int           // instances that are up, run nothing and have no planned move or maintenance
		CoresPerInstance float64       // CPU cores of one instance
		LongRunningCores float64       // cores of the long-running tasks
		DemandCores      float64       // cores of the other tasks that run or could run now
		ArrivalRate      float64       // core-seconds of work that arrive per second
		SurplusFor       time.Duration // how long the pool has had more instances than it needs
		HasUnplacedTask  bool          // a long-running task finds no worker, for lack of room or because of the limit of its step on tasks per worker
		MinWorkers       int           // number of workers that a long-running step needs because of its limit on tasks per worker
	}

	// Move is a decision to move Count instances from one pool to another.
	Move struct {
		From, To string
		Count    int
	}
)

// DesiredInstances returns the number of instances that the pool should have.
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

// PlanMoves returns the moves that bring the pools to their desired sizes. The
// pools with the largest shortage come first. Spare instances are used before
// the surplus of other pools. A pool returns instances to the spare pool only
// when its surplus has lasted for minSurplusTime. At most limit instances are
// moved. Without a spare pool there are no moves.
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

// coverShortages moves at most limit instances to the pools that lack some. It
// lowers the counts in surplus and releasable by what it takes, and returns the
// moves and how much of the limit is left.
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

// namesByDescendingCount returns the names, those with the largest counts first.
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
