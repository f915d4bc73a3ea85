package assigner

import (
	"cmp"
	"container/heap"
	"hash/fnv"
	"math"
	"slices"
	"time"
)

// Candidate describes a waiting job for the choice of the job that starts next.
type Candidate struct {
	ID             string
	Priority       int           // of the queue; 0 is the highest
	LongRunning    bool          // runs until it is cancelled
	Started        bool          // some of its tasks are running or done
	TimeToDeadline time.Duration // time until the job must be done to meet its objective; negative after that
	RemainingTime  time.Duration // minimum time that the job still needs
	RemainingWork  float64       // core-seconds
	RelativeSize   float64       // total work of the job divided by the mean of its queue
	Accepted       time.Time
	Deferred       bool // jobs that are not deferred come first, see DeferJobs

	hashFactor   float64 // see computeHashFactor; 0 before it is needed
	valueDensity float64 // set by DeferJobs
}

// The platform's rules define the value of a job to its caller, in units of the
// mean job of its queue: a base value that is equal for all jobs plus a value
// that grows with the work of the job, up to a maximum.
const (
	baseValue    = 0.3
	valuePerSize = 0.7
	maxValue     = 4.0
)

// roundingMargin covers that a sum depends on the order of its parts.
const roundingMargin = 1 + 1e-9

// CannotMeetDeadline reports whether the job can no longer meet its objective.
func (c *Candidate) CannotMeetDeadline() bool {
	return !c.LongRunning && c.RemainingTime > c.TimeToDeadline
}

// CompareCandidates sorts jobs into the order in which they should start. Within
// a priority, long-running jobs come first, since each second without them is
// lost; then the jobs that can still meet their objective, with the earliest
// deadline first; then the other jobs, the oldest first.
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

// DeferJobs marks the jobs of one pool to defer, so that the others can meet
// their objectives on its cores. It is needed when the demand exceeds the
// capacity of the pool: without it each job would wait until it is almost late,
// and then all jobs would be late.
//
// It goes through the jobs by deadline, as if each got all cores in turn, and
// whenever a job would be late it defers the job with the least value for its
// work (the Moore-Hodgson algorithm). Jobs that have started are not deferred.
func DeferJobs(candidates []*Candidate, cores float64) {
	if cores <= 0 {
		return
	}
	unstarted := make([]*Candidate, 0, len(candidates))
	workAhead, work, leastSlack := 0.0, 0.0, time.Duration(math.MaxInt64) // core-seconds
	for _, c := range candidates {
		switch {
		case c.LongRunning || c.CannotMeetDeadline():
		case c.Started:
			workAhead += c.RemainingWork
		default:
			unstarted = append(unstarted, c)
			work += c.RemainingWork
			leastSlack = min(leastSlack, c.slack())
		}
	}
	if (workAhead+work)*roundingMargin <= leastSlack.Seconds()*cores {
		return // none would be late
	}
	for _, c := range unstarted {
		c.valueDensity = c.computeValueDensity()
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

// slack returns how long the job can wait and still meet its objective.
func (c *Candidate) slack() time.Duration {
	return c.TimeToDeadline - c.RemainingTime
}

// computeValueDensity returns the value of the job per core-second that is left. A
// factor that differs from job to job puts some large jobs before small ones, so
// that jobs of one size are not always served last.
func (c *Candidate) computeValueDensity() float64 {
	worth := min(maxValue, baseValue+valuePerSize*c.RelativeSize)
	if c.hashFactor == 0 {
		c.hashFactor = c.computeHashFactor()
	}
	return worth / max(c.RemainingWork, 0.001) * c.hashFactor
}

// computeHashFactor returns a number from 0.5 to 1.5 that depends only on the job's ID.
func (c *Candidate) computeHashFactor() float64 {
	h := fnv.New32a()
	_, _ = h.Write([]byte(c.ID)) // a hash's Write returns no error
	return 0.5 + float64(h.Sum32())/math.MaxUint32
}

// valueDensityHeap is a heap with the job of the lowest value density on top.
type valueDensityHeap []*Candidate

func (h valueDensityHeap) Len() int           { return len(h) }
func (h valueDensityHeap) Less(i, j int) bool { return h[i].valueDensity < h[j].valueDensity }
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
