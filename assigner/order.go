package assigner

import (
	"cmp"
	"container/heap"
	"hash/fnv"
	"math"
	"slices"
	"time"
)

// Claim is a job's claim to come next.
type Claim struct {
	ID        string
	Priority  int           // of the queue, 0 first
	Lasting   bool          // runs until it is cancelled
	Begun     bool          // some of its work is done or under way
	Deadline  time.Duration // end of its objective, from now; negative when it is over
	Remaining time.Duration // least time that it still needs
	Work      float64       // core-seconds that are left
	Size      float64       // all its work, in units of the mean of its queue
	Accepted  time.Time
	Deferred  bool // others come first, see Defer
}

// The worth of a job to its caller in units of its queue's mean job, from the
// platform's rules: a part is the same for all, the rest grows with its work.
const (
	equalWorth = 0.3
	sizeWorth  = 0.7
	maxWorth   = 4.0
)

// IsLost says whether a job can no longer reach its objective.
func (c *Claim) IsLost() bool {
	return !c.Lasting && c.Remaining > c.Deadline
}

// Compare orders claims. Within a priority lasting jobs come first, since each
// second without them is lost; then the jobs that can still reach their
// objective, the earliest deadline first; then the others by age.
func Compare(a, b *Claim) int {
	return cmp.Or(
		cmp.Compare(a.Priority, b.Priority),
		-compareBool(a.Lasting, b.Lasting),
		compareBool(a.isBehind(), b.isBehind()),
		cmp.Compare(a.order(), b.order()),
		a.Accepted.Compare(b.Accepted),
		cmp.Compare(a.ID, b.ID),
	)
}

func (c *Claim) isBehind() bool {
	return c.Deferred || c.IsLost()
}

func (c *Claim) order() time.Duration {
	if c.isBehind() {
		return 0
	}
	return c.Deadline
}

// Defer marks the jobs of one pool that cannot reach their objectives on its
// cores together with the others. The load that it answers is a queue that
// asks more than its pool holds: without it each job would wait until it is
// almost late, and all would be late.
//
// It goes through the jobs by deadline, as if each got all cores in its turn,
// and drops the job that is worth least for its work whenever one would be
// late (Moore and Hodgson's rule). Jobs that have begun are kept.
func Defer(claims []*Claim, cores float64) {
	if cores <= 0 {
		return
	}
	var fresh []*Claim
	ahead := 0.0 // core-seconds
	for _, c := range claims {
		switch {
		case c.Lasting || c.IsLost():
		case c.Begun:
			ahead += c.Work
		default:
			fresh = append(fresh, c)
		}
	}
	slices.SortFunc(fresh, func(a, b *Claim) int {
		return cmp.Or(cmp.Compare(a.slack(), b.slack()), cmp.Compare(a.ID, b.ID))
	})
	kept := &leastWorth{}
	for _, c := range fresh {
		heap.Push(kept, c)
		ahead += c.Work
		for kept.Len() > 0 && ahead/cores > c.slack().Seconds() {
			dropped := heap.Pop(kept).(*Claim)
			dropped.Deferred = true
			ahead -= dropped.Work
		}
	}
}

// slack is how long the job may wait.
func (c *Claim) slack() time.Duration {
	return c.Deadline - c.Remaining
}

// density is the worth of a job for its work. A factor that differs by job lets
// some large jobs come before small ones, so that no size is always served
// last.
func (c *Claim) density() float64 {
	worth := min(maxWorth, equalWorth+sizeWorth*c.Size)
	return worth / max(c.Work, 0.001) * c.chance()
}

// chance is a number from 0.5 to 1.5 that depends on the job alone.
func (c *Claim) chance() float64 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(c.ID)) // a hash's Write returns no error
	return 0.5 + float64(h.Sum32())/math.MaxUint32
}

// leastWorth is a heap with the job of the least density on top.
type leastWorth []*Claim

func (h leastWorth) Len() int           { return len(h) }
func (h leastWorth) Less(i, j int) bool { return h[i].density() < h[j].density() }
func (h leastWorth) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *leastWorth) Push(x any) { *h = append(*h, x.(*Claim)) }

// Pop implements heap.Interface.
func (h *leastWorth) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}
