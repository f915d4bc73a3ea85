package maintainer

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	instanceTime         = 5 * time.Second // estimated time to drain an instance, maintain it and see it return
	deadlineReserve      = 5 * time.Second // time kept free before a wave's deadline for instances that are slow to drain
	maxPoolShare         = 0.25            // maximum part of a pool in maintenance while the wave is on schedule
	maxPoolShareLate     = 0.6             // maximum part of a pool in maintenance while the wave is behind schedule
	longRunningFirstPart = 0.25            // part of MaxConcurrent that is used for instances with long-running tasks before all others
)

type (
	// Wave is the state of a wave.
	Wave struct {
		MaxConcurrent     int           // maximum number of instances in maintenance at the same time
		InMaintenance     int           // instances being drained or down
		MovingLongRunning int           // instances in maintenance from which long-running tasks must still be moved
		TimeLeft          time.Duration // until the wave's deadline
		Pending           []Instance    // instances whose maintenance has not started
	}

	// Instance is an instance whose maintenance has not started.
	Instance struct {
		Name             string
		Pool             string
		Spare            bool // in a pool of spare instances, which run no tasks
		Up               bool // the platform reports the instance as up
		ShortTasks       int  // running tasks that end on their own
		LongRunningTasks int  // running tasks that must be moved to another instance
	}

	// Pool is the state of a pool.
	Pool struct {
		Instances     int
		InMaintenance int     // instances being drained or down
		Utilization   float64 // CPU that running and waiting tasks need, as a part of the pool's CPU
	}
)

// selection is the instances that one call of Next has chosen.
type selection struct {
	names       []string
	countByPool map[string]int
}

// Next returns the names of the instances whose maintenance starts now. Spare
// instances and instances without tasks come first, because their maintenance
// interrupts no task. The others are spread over the time until the wave's
// deadline and over the pools. Some instances with long-running tasks start at
// the beginning of the wave: only a few tasks of a job step may be interrupted
// at the same time, so these tasks are moved one after another, and a wave that
// leaves them until its end misses its deadline.
func Next(w Wave, pools map[string]Pool) []string {
	free := w.MaxConcurrent - w.InMaintenance
	required := w.requiredConcurrency()
	candidates := slices.Clone(w.Pending)
	slices.SortFunc(candidates, func(a, b Instance) int {
		return cmp.Or(cmp.Compare(a.disruptionCost(pools), b.disruptionCost(pools)), cmp.Compare(a.Name, b.Name))
	})
	chosen := selection{countByPool: make(map[string]int)}
	longRunningFirst := min(free, max(1, int(longRunningFirstPart*float64(w.MaxConcurrent)))-w.MovingLongRunning)
	for _, c := range candidates {
		if c.LongRunningTasks > 0 && c.Up && len(chosen.names) < longRunningFirst && w.poolAllowsOneMore(pools[c.Pool], chosen.countByPool[c.Pool], required) {
			chosen.add(c)
		}
	}
	for _, c := range candidates {
		if len(chosen.names) >= free {
			break
		}
		if c.Up && !slices.Contains(chosen.names, c.Name) && w.mayStart(c, pools[c.Pool], chosen.countByPool[c.Pool], len(chosen.names), required) {
			chosen.add(c)
		}
	}
	return chosen.names
}

func (s *selection) add(c Instance) {
	s.names = append(s.names, c.Name)
	s.countByPool[c.Pool]++
}

// requiredConcurrency returns how many instances must be in maintenance at the
// same time to complete the wave before its deadline.
func (w *Wave) requiredConcurrency() int {
	left := max(w.TimeLeft-deadlineReserve, instanceTime/2)
	return int(math.Ceil(float64(len(w.Pending)+w.InMaintenance) * float64(instanceTime) / float64(left)))
}

// mayStart reports whether the maintenance of c may start, in addition to the
// instances that this call of Next has chosen: chosenTotal in all and
// chosenInPool in the pool of c.
func (w *Wave) mayStart(c Instance, p Pool, chosenInPool, chosenTotal, required int) bool {
	if c.Spare {
		return true
	}
	if !w.poolAllowsOneMore(p, chosenInPool, required) {
		return false
	}
	if c.ShortTasks == 0 && c.LongRunningTasks == 0 && p.Utilization < 1-maxPoolShare {
		return true
	}
	return w.InMaintenance+chosenTotal < required
}

// poolAllowsOneMore reports whether one more instance of a pool may be in
// maintenance, in addition to the chosenInPool instances just chosen. The wave
// counts as behind schedule when it requires more than two thirds of
// MaxConcurrent.
func (w *Wave) poolAllowsOneMore(p Pool, chosenInPool, required int) bool {
	share := maxPoolShare
	if required > w.MaxConcurrent*2/3 {
		share = maxPoolShareLate
	}
	return p.InMaintenance+chosenInPool < max(1, int(share*float64(p.Instances)))
}

// disruptionCost returns a relative measure of how much the maintenance of the
// instance disrupts running work.
func (i *Instance) disruptionCost(pools map[string]Pool) float64 {
	if i.Spare {
		return 0
	}
	// A moved long-running task is interrupted for a second; a short task only
	// delays the maintenance until it ends.
	const longRunningCost, utilizationCost = 2, 10
	return 1 + float64(i.ShortTasks) + longRunningCost*float64(i.LongRunningTasks) + utilizationCost*pools[i.Pool].Utilization
}
