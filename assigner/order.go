package assigner

import (
	"cmp"
	"container/heap"
	"hash/fnv"
	"math"
	"slices"
	"time"
)

// Candidate is a job's claim to come next.
type Candidate struct {
	ID             string
	Priority       int           // of the queue, 0 first
	LongRunning    bool          // runs until it is cancelled
	Started        bool          // some of its work is done or under way
	TimeToDeadline time.Duration // end of its objective, from now; negative when it is over
	RemainingTime  time.Duration // least time that it still needs
	RemainingWork  float64       // core-seconds that are left
	RelativeSize   float64       // all its work, in units of the mean of its queue
	Accepted       time.Time
	Deferred       bool // others come first, see Defer
}

// The worth of a job to its caller in units of its queue's mean job, from the
// platform's rules: a part is the same for all, the rest grows with its work.
const (
	baseValue    = 0.3
	valuePerSize = 0.7
	maxValue     = 4.0
)

// CannotMeetDeadline says whether a job can no longer reach its objective.
func (c *Candidate) CannotMeetDeadline() bool {
	return !c.LongRunning && c.RemainingTime > c.TimeToDeadline
}

// CompareCandidates orders claims. Within a priority lasting jobs come first, since each
// second without them is lost; then the jobs that can still reach their
// objective, the earliest deadline first; then the others by age.
func CompareCandidates(a, b *Candidate) int {
	return cmp.Or(
		cmp.Compare(a.Priority, b.Priority),
		-compareBool(a.LongRunning, b.LongRunning),
		compareBool(a.isDeprioritized(), b.isDeprioritized()),
		cmp.Compare(a.deadlineSortKey(), b.deadlineSortKey()),
		a.Accepted.Compare(b.Accepted),
		cmp.Compare(a.ID, b.ID),
	)
}

func (c *Candidate) isDeprioritized() bool {
	return c.Deferred || c.CannotMeetDeadline()
}

func (c *Candidate) deadlineSortKey() time.Duration {
	if c.isDeprioritized() {
		return 0
	}
	return c.TimeToDeadline
}

// DeferJobs marks the jobs of one pool that cannot reach their objectives on its
// cores together with the others. The load that it answers is a queue that
// asks more than its pool holds: without it each job would wait until it is
// almost late, and all would be late.
//
// It goes through the jobs by deadline, as if each got all cores in its turn,
// and drops the job that is worth least for its work whenever one would be
// late (Moore and Hodgson's rule). Jobs that have begun are kept.
func DeferJobs(candidates []*Candidate, cores float64) {
	if cores <= 0 {
		return
	}
	var unstarted []*Candidate
	workAhead := 0.0 // core-seconds
	for _, c := range candidates {
		switch {
		case c.LongRunning || c.CannotMeetDeadline():
		case c.Started:
			workAhead += c.RemainingWork
		default:
			unstarted = append(unstarted, c)
		}
	}
	slices.SortFunc(unstarted, func(a, b *Candidate) int {
		return cmp.Or(cmp.Compare(a.slack(), b.slack()), cmp.Compare(a.ID, b.ID))
	})
	accepted := &valueDensityHeap{}
	for _, c := range unstarted {
		heap.Push(accepted, c)
		workAhead += c.RemainingWork
		for accepted.Len() > 0 && workAhead/cores > c.slack().Seconds() {
			dropped := heap.Pop(accepted).(*Candidate)
			dropped.Deferred = true
			workAhead -= dropped.RemainingWork
		}
	}
}

// slack is how long the job may wait.
func (c *Candidate) slack() time.Duration {
	return c.TimeToDeadline - c.RemainingTime
}

// valueDensity is the worth of a job for its work. A factor that differs by job lets
// some large jobs come before small ones, so that no size is always served
// last.
func (c *Candidate) valueDensity() float64 {
	worth := min(maxValue, baseValue+valuePerSize*c.RelativeSize)
	return worth / max(c.RemainingWork, 0.001) * c.hashFactor()
}

// hashFactor is a number from 0.5 to 1.5 that depends on the job alone.
func (c *Candidate) hashFactor() float64 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(c.ID)) // a hash's Write returns no error
	return 0.5 + float64(h.Sum32())/math.MaxUint32
}

// valueDensityHeap is a heap with the job of the least density on top.
type valueDensityHeap []*Candidate

func (h valueDensityHeap) Len() int           { return len(h) }
func (h valueDensityHeap) Less(i, j int) bool { return h[i].valueDensity() < h[j].valueDensity() }
func (h valueDensityHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *valueDensityHeap) Push(x any) { *h = append(*h, x.(*Candidate)) }

// Pop implements heap.Interface.
func (h *valueDensityHeap) Pop() any {
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
