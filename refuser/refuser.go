package refuser

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	minLimit       = time.Second     // the least wait that new jobs are kept to
	maxLimit       = 8 * time.Second // accepted jobs must end even if their callers would wait longer
	lateFactor     = 3               // a job that takes longer than this multiple of its objective is worth nothing to its caller, from the platform's rules
	targetShare    = 0.6             // of the limit; the wait varies around the target
	correctionTime = 2 * time.Second // within which a wait is brought to its target
	minAccepted    = 0.01            // of new jobs, so that the end of an overload is seen
	maxFall        = 0.25            // factor by which the accepted share changes at most in one step
	maxRise        = 1.5
	smoothing      = 0.5 // weight of the last interval in the accepted work

	minCores       = 0.01 // stands for the cores of a pool without any, in which tasks wait very long
	minSharedCores = 0.1  // share of the cores that customers with waiting work get at least
)

// Causes of a wait.
const (
	AtMaximum     Cause = "maximum" // the customer uses as many cores as it may
	LackOfCores   Cause = "cores"   // customers want more cores than the pool has or can get
	LackOfStarts  Cause = "starts"  // the leader can't start tasks any faster
	LackOfAdvice  Cause = "advice"  // the advice service can't decide on steps any faster
	LackOfMemory  Cause = "memory"  // the customer's unfinished jobs take up its part of the leader's memory
	NothingWaits  Cause = "none"
	causeUnstated Cause = ""
)

type (
	// Cause is the figure by which a customer's new jobs wait longest.
	Cause string

	// Backlog is what a customer has running and waiting in a pool.
	Backlog struct {
		Customer    string
		Weight      float64 // of the customer's share of the pool, above 0
		MaxCores    float64 // cores that the customer may use; 0 if they are not limited
		WantedCores float64 // of the running tasks and of the tasks that could start if there were room
		Work        float64 // core-seconds of the tasks that could start if there were room
		Tasks       int     // number of these tasks
	}

	// Pool is the state of a pool.
	Pool struct {
		Cores           float64 // that tasks of the pool can use, now or after moves of idle instances
		StartsPerSecond float64 // measured, if tasks wait although there is room; 0 otherwise
		Backlogs        []Backlog
	}
)

// Waits returns, by customer, how long a new job will wait behind the jobs that the
// customer already has, if no other customer's demand changes. It contains the
// customers with waiting work.
//
// If the customers together want more cores than there are, those with waiting work
// share by weight what the others leave, and what one has got done goes to the rest
// (generalized processor sharing, Parekh and Gallager 1993), so a large backlog of one
// customer does not delay the others. If tasks wait although there is room, the
// leader can't start them any faster, and all customers wait for all tasks.
func (p *Pool) Waits() map[string]time.Duration {
	waits, _ := p.waitsWithCauses()
	return waits
}

// CauseOf returns what the wait of a customer's new jobs is due to.
func (p *Pool) CauseOf(customer string) Cause {
	_, causes := p.waitsWithCauses()
	if c := causes[customer]; c != causeUnstated {
		return c
	}
	return NothingWaits
}

// waitsWithCauses returns the waits and their causes, by customer.
func (p *Pool) waitsWithCauses() (map[string]time.Duration, map[string]Cause) {
	waits, causes := make(map[string]time.Duration, len(p.Backlogs)), make(map[string]Cause)
	raise := func(customer string, wait time.Duration, cause Cause) {
		if wait > waits[customer] {
			waits[customer], causes[customer] = wait, cause
		}
	}
	tasks, wanted, cores := 0, 0.0, p.Cores
	var waiting []Backlog
	for _, b := range p.Backlogs {
		tasks += b.Tasks
		wanted += b.WantedCores
		if b.Work > 0 {
			waiting = append(waiting, b)
		} else {
			cores -= b.WantedCores
		}
	}
	if wanted > p.Cores {
		for customer, wait := range sharingWaits(waiting, max(cores, minSharedCores*p.Cores, minCores)) {
			raise(customer, wait, LackOfCores)
		}
	}
	for _, b := range waiting {
		if b.MaxCores > 0 && b.WantedCores > b.MaxCores {
			raise(b.Customer, seconds(b.Work/b.MaxCores), AtMaximum)
		}
		if p.StartsPerSecond > 0 {
			raise(b.Customer, seconds(float64(tasks)/p.StartsPerSecond), LackOfStarts)
		}
	}
	return waits, causes
}

// UnusedCores returns how many cores the customer may use beyond those that it uses.
func (p *Pool) UnusedCores(customer string) float64 {
	for _, b := range p.Backlogs {
		if b.Customer == customer && b.MaxCores > 0 {
			return max(0, b.MaxCores-b.WantedCores)
		}
	}
	return math.Inf(1)
}

// sharingWaits returns the waits of customers that share cores by weight.
func sharingWaits(waiting []Backlog, cores float64) map[string]time.Duration {
	waits := make(map[string]time.Duration, len(waiting))
	perWeight := func(b Backlog) float64 { return b.Work / b.Weight }
	sorted := slices.SortedFunc(slices.Values(waiting), func(a, b Backlog) int {
		return cmp.Or(cmp.Compare(perWeight(a), perWeight(b)), cmp.Compare(a.Customer, b.Customer))
	})
	weight := 0.0
	for _, b := range sorted {
		weight += b.Weight
	}
	at, served := 0.0, 0.0 // time, and work per weight that each of the remaining customers has got by then
	for _, b := range sorted {
		at += (perWeight(b) - served) * weight / cores
		served = perWeight(b)
		weight -= b.Weight
		waits[b.Customer] = seconds(at)
	}
	return waits
}

// Limit returns how long new jobs of a queue may wait and still be worth something
// to their callers. objective is that of a mean job, and ideal is how long it takes
// without waiting.
func Limit(objective, ideal time.Duration) time.Duration {
	return min(max(lateFactor*objective-ideal, minLimit), maxLimit)
}

// Admission is the decision for the new jobs of a customer in a queue.
type Admission struct {
	share    float64 // of the new jobs that entry nodes accept
	pending  float64 // core-seconds of the jobs accepted since the last update
	accepted float64 // smoothed work of the accepted jobs, in core-seconds a second
}

// NewAdmission returns an Admission that accepts the given share of the new jobs at
// first.
func NewAdmission(share float64) *Admission {
	return &Admission{share: min(max(share, minAccepted), 1)}
}

// Share returns the share of the customer's new jobs to accept, up to 1.
func (a *Admission) Share() float64 {
	return a.share
}

// RecordAccepted records a new job with its work in core-seconds.
func (a *Admission) RecordAccepted(work float64) {
	a.pending += work
}

// Update adapts the share after an interval. wait is how long a new job will wait
// behind the backlog of the given core-seconds, and limit how long it may wait.
//
// Many entry nodes act on a decision that is some time old, so it is a share of the
// new jobs and not a yes or no: one by which as much is accepted as gets done, more
// or less by what brings the wait to its target.
func (a *Admission) Update(interval, wait, limit time.Duration, backlog float64) {
	a.smoothAccepted(interval)
	target := time.Duration(targetShare * float64(limit))
	if wait <= target && a.share == 1 {
		return
	}
	factor := maxRise
	if wait > 0 && a.accepted > 0 {
		done := backlog / max(wait, interval).Seconds()
		wanted := done * max(0, 1+(target-wait).Seconds()/correctionTime.Seconds())
		factor = min(max(wanted/a.accepted, maxFall), maxRise)
	}
	a.share = min(max(a.share*factor, minAccepted), 1)
}

// UpdateWithRoom adapts the share after an interval at whose end nothing of the customer
// waits and the given number of cores is free for it.
//
// Refusing a job then would waste the room, and raising the share by a factor each
// time takes seconds. The share is raised to one by which as much more is accepted as
// fills the room and lets new jobs wait for the target. If no new job was accepted,
// nothing speaks against accepting all.
func (a *Admission) UpdateWithRoom(interval, limit time.Duration, cores float64) {
	a.smoothAccepted(interval)
	if a.accepted < cores*minAccepted {
		a.share = 1
		return
	}
	target := targetShare * limit.Seconds()
	wanted := a.accepted + cores*(1+target/correctionTime.Seconds())
	a.share = min(a.share*max(wanted/a.accepted, maxRise), 1)
}

// smoothAccepted adds the work accepted in an interval to the smoothed one.
func (a *Admission) smoothAccepted(interval time.Duration) {
	a.accepted += smoothing * (a.pending/interval.Seconds() - a.accepted)
	a.pending = 0
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
