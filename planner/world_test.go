package planner

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/coltsfootlever/coltsfootlever/budgeter"
	"github.com/coltsfootlever/coltsfootlever/parser"
)

const (
	rebootTime       = 10 * time.Minute
	checkpointTime   = time.Minute
	slotsPerInstance = 8
	maxRolloutTime   = 70 * 24 * time.Hour
)

type (
	// simulatedInstance is one instance of the simulated fleet.
	simulatedInstance struct {
		id, pool, zone, rack string
		slots                []slot
		phase                string // "", "draining", "rebooting" or "done"
		phaseSince           time.Time
		failedUntil          time.Time // out of service until then because of a failure
		notBefore            time.Time // earliest time for the next try after a drain was undone
		tries                int
	}

	// slot runs one job after another.
	slot struct {
		rng           *rand.Rand
		longJobShare  float64 // fraction of jobs that take hours
		start, end    time.Time
		canCheckpoint bool // the job can be checkpointed
	}

	failure struct {
		at, until time.Time
		affects   func(b *simulatedInstance) bool
	}

	simulation struct {
		start, now  time.Time
		step        time.Duration
		instances   []*simulatedInstance
		budgets     []parser.Budget
		failures    []failure
		checkpoint  bool
		noEstimates bool          // the planner gets an estimated wait of 0 for every instance
		drainLimit  time.Duration // time after which a drain is undone; 0 for none
		result      result
	}

	result struct {
		rollout      time.Duration
		lostTime     time.Duration // instance time that was idle in drains or spent on reboots
		idleTime     time.Duration // part of lostTime that was idle in drains
		longestDrain time.Duration
		checkpoints  int
		undoneDrains int
		overdrafts   int
		unmaintained int // instances not maintained when the simulation ends
	}

	// drainPolicy returns the instances to drain next.
	drainPolicy func(w *simulation) []*simulatedInstance
)

// newSimulation returns a fleet of n instances in the given numbers of pools and
// zones, with jobs and failures from fixed seeds.
func newSimulation(n, pools, zones int, step time.Duration, budgets []parser.Budget) *simulation {
	start := time.Date(2026, 1, 5, 0, 0, 0, 0, time.UTC)
	w := &simulation{start: start, now: start, step: step, budgets: budgets}
	for k := range n {
		pool, zone := k*pools/n, k%zones
		b := &simulatedInstance{id: fmt.Sprintf("w%04d", k), pool: fmt.Sprintf("p%02d", pool), zone: fmt.Sprintf("z%d", zone),
			rack: fmt.Sprintf("z%d-r%03d", zone, k/zones/4)}
		for s := range slotsPerInstance {
			long := 0.001
			if pool%4 == 0 {
				long = 0.004
			}
			b.slots = append(b.slots, slot{rng: rand.New(rand.NewPCG(7, uint64(k*slotsPerInstance+s))), longJobShare: long})
		}
		w.instances = append(w.instances, b)
	}
	w.addFailures(n)
	w.now = start.Add(-24 * time.Hour) // so that jobs are running when the roll-out starts
	for _, b := range w.instances {
		b.phaseSince = w.now
	}
	for w.now.Before(start) {
		w.startDueJobs()
		w.now = w.now.Add(w.step)
	}
	return w
}

// addFailures adds 18 failures of an hour per day for 1,100 instances, and
// proportionally for other fleet sizes, the loss of a rack on the second day and
// the loss of a zone on the tenth day.
func (w *simulation) addFailures(n int) {
	rng := rand.New(rand.NewPCG(11, 11))
	every := 24 * time.Hour * 1100 / time.Duration(18*n)
	for at := w.start; at.Before(w.start.Add(maxRolloutTime)); at = at.Add(time.Duration(rng.ExpFloat64() * float64(every))) {
		id := w.instances[rng.IntN(n)].id
		w.failures = append(w.failures, failure{at, at.Add(time.Hour), func(b *simulatedInstance) bool { return b.id == id }})
	}
	rack := w.instances[n/2].rack
	day := 24 * time.Hour
	w.failures = append(w.failures,
		failure{w.start.Add(day), w.start.Add(day + 4*time.Hour), func(b *simulatedInstance) bool { return b.rack == rack }},
		failure{w.start.Add(9 * day), w.start.Add(9*day + time.Hour), func(b *simulatedInstance) bool { return b.zone == "z1" }})
	slices.SortStableFunc(w.failures, func(a, b failure) int { return a.at.Compare(b.at) })
}

// startNextJob draws the duration of the next job of a slot: mostly seconds,
// sometimes minutes, rarely hours with a long tail.
func (s *slot) startNextJob(at time.Time) {
	gap := time.Duration(s.rng.ExpFloat64() * float64(2*time.Minute))
	var d time.Duration
	switch kind := s.rng.Float64(); {
	case kind < s.longJobShare:
		d = min(24*time.Hour, time.Duration(float64(time.Hour)/(0.04+s.rng.Float64())))
	case kind < 0.1:
		d = time.Duration(s.rng.ExpFloat64() * float64(20*time.Minute))
	default:
		d = time.Duration(s.rng.ExpFloat64() * float64(30*time.Second))
	}
	s.canCheckpoint = s.rng.Float64() < 0.6
	s.start = at.Add(gap)
	s.end = s.start.Add(d)
}

func (s *slot) isBusy(now time.Time) bool {
	return !s.start.After(now) && s.end.After(now)
}

// startDueJobs starts the next job in each slot, on the instances in service, whose job has ended.
func (w *simulation) startDueJobs() {
	for _, b := range w.instances {
		if (b.phase != "" && b.phase != "done") || b.failedUntil.After(w.now) {
			continue
		}
		for n := range b.slots {
			for !b.slots[n].end.After(w.now) {
				b.slots[n].startNextJob(laterTime(b.slots[n].end, b.phaseSince))
			}
		}
	}
}

func laterTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// estimateWait estimates the time until the running work ends. It assumes that
// each job runs for as long again as it has run already, since declared run
// times are inaccurate.
func (w *simulation) estimateWait(b *simulatedInstance) time.Duration {
	var longest time.Duration
	for _, s := range b.slots {
		if w.noEstimates || !s.isBusy(w.now) {
			continue
		}
		left := w.now.Sub(s.start)
		if w.checkpoint && s.canCheckpoint {
			left = min(left, checkpointTime)
		}
		longest = max(longest, left)
	}
	return longest
}

// plannerState returns the state that the planner gets.
func (w *simulation) plannerState() State {
	s := State{Now: w.now, Started: w.start, Total: len(w.instances), Budgets: w.budgets}
	for _, b := range w.instances {
		c := Candidate{ID: b.id, Pool: b.pool, Zone: b.zone, Rack: b.rack, EstimatedWait: w.estimateWait(b), NotBefore: b.notBefore}
		switch {
		case b.failedUntil.After(w.now) || b.phase == "draining" || b.phase == "rebooting":
			s.Absent.List = append(s.Absent.List, absenceOf(b))
		case b.phase == "":
			s.Pending = append(s.Pending, c)
		}
	}
	return s
}

func absenceOf(b *simulatedInstance) budgeter.Absence {
	return budgeter.Absence{Instance: b.id, Pool: b.pool, Zone: b.zone, Rack: b.rack}
}

// run simulates the roll-out with the policy until all instances are maintained
// or maxRolloutTime has passed.
func (w *simulation) run(policy drainPolicy) result {
	for w.now.Sub(w.start) < maxRolloutTime {
		w.applyFailures()
		w.startDueJobs()
		remaining := 0
		for _, b := range w.instances {
			w.advancePhase(b)
			if b.phase != "done" {
				remaining++
			}
		}
		if remaining == 0 {
			break
		}
		w.startDrains(policy(w))
		w.now = w.now.Add(w.step)
	}
	w.result.unmaintained = len(w.instances) - w.countInPhases("done")
	w.result.rollout = w.now.Sub(w.start)
	return w.result
}

// applyFailures starts the failures that are due. Jobs on a failed instance end.
func (w *simulation) applyFailures() {
	for len(w.failures) > 0 && !w.failures[0].at.After(w.now) {
		f := w.failures[0]
		w.failures = w.failures[1:]
		for _, b := range w.instances {
			if f.affects(b) {
				b.failedUntil = f.until
				for n := range b.slots {
					b.slots[n].end = laterTime(f.until, w.now)
				}
			}
		}
	}
}

func (w *simulation) startDrains(picked []*simulatedInstance) {
	counter := budgeter.NewCounter(w.budgets, w.plannerState().Absent)
	for _, b := range picked {
		if _, spent := counter.Exhausted(absenceOf(b)); spent {
			w.result.overdrafts++
		}
		counter.Add(absenceOf(b))
		b.phase, b.phaseSince = "draining", w.now
	}
}

// advancePhase moves an instance that drains or reboots to its next phase when
// it is time, and adds the instance time that this step costs to the result.
func (w *simulation) advancePhase(b *simulatedInstance) {
	switch b.phase {
	case "draining":
		idle := 0
		for n := range b.slots {
			s := &b.slots[n]
			if w.checkpoint && s.canCheckpoint && s.isBusy(w.now) && w.now.Sub(b.phaseSince) >= checkpointTime {
				s.end = w.now
				w.result.checkpoints++
			}
			if !s.isBusy(w.now) {
				idle++
			}
		}
		cost := w.step * time.Duration(idle) / slotsPerInstance
		w.result.lostTime += cost
		w.result.idleTime += cost
		if idle == slotsPerInstance && !b.failedUntil.After(w.now) {
			w.result.longestDrain = max(w.result.longestDrain, w.now.Sub(b.phaseSince))
			b.phase, b.phaseSince = "rebooting", w.now
		} else if w.drainLimit > 0 && w.now.Sub(b.phaseSince) >= w.drainLimit {
			w.result.undoneDrains++
			b.tries++
			b.phase, b.phaseSince, b.notBefore = "", w.now, w.now.Add(30*time.Minute*time.Duration(b.tries))
		}
	case "rebooting":
		w.result.lostTime += w.step
		if w.now.Sub(b.phaseSince) >= rebootTime && !b.failedUntil.After(w.now) {
			b.phase, b.phaseSince = "done", w.now
		}
	}
}

func (w *simulation) countInPhases(phases ...string) int {
	n := 0
	for _, b := range w.instances {
		if slices.Contains(phases, b.phase) {
			n++
		}
	}
	return n
}

func (w *simulation) pendingInstances() []*simulatedInstance {
	var list []*simulatedInstance
	for _, b := range w.instances {
		if b.phase == "" && !b.failedUntil.After(w.now) {
			list = append(list, b)
		}
	}
	slices.SortFunc(list, func(a, b *simulatedInstance) int { return cmp.Compare(a.id, b.id) })
	return list
}
