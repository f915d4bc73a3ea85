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
	rebootTime     = 10 * time.Minute
	checkpointTime = time.Minute
	slotsEach      = 8
	walkLimit      = 70 * 24 * time.Hour
)

type (
	// box is one instance of a written input.
	box struct {
		id, pool, zone, rack string
		slots                []slot
		phase                string // "", "draining", "rebooting" or "done"
		since                time.Time
		failed               time.Time // out of service by itself until then
		notBefore            time.Time // an undone drain is tried again from here on
		tries                int
	}

	// slot runs one job after another.
	slot struct {
		rng        *rand.Rand
		long       float64 // share of jobs that take hours
		start, end time.Time
		saves      bool // the job can be checkpointed
	}

	failure struct {
		at, until time.Time
		hits      func(b *box) bool
	}

	world struct {
		start, now time.Time
		step       time.Duration
		boxes      []*box
		budgets    []parser.Budget
		failures   []failure
		checkpoint bool
		blind      bool          // the planner gets no estimates
		limit      time.Duration // after which a drain is undone; 0 for none
		figures    figures
	}

	figures struct {
		rollout     time.Duration
		buffer      time.Duration // instances times the time they were idle or absent
		idle        time.Duration // part of buffer before the reboots
		longest     time.Duration // longest drain
		checkpoints int
		undone      int // drains
		overdrafts  int
		left        int // instances not maintained when the walk ends
	}

	// order picks the next drains of a world.
	order func(w *world) []*box
)

// input writes a fleet of n instances in pools pools from a fixed seed.
func input(n, pools, zones int, step time.Duration, budgets []parser.Budget) *world {
	start := time.Date(2026, 1, 5, 0, 0, 0, 0, time.UTC)
	w := &world{start: start, now: start, step: step, budgets: budgets}
	for k := range n {
		pool, zone := k*pools/n, k%zones
		b := &box{id: fmt.Sprintf("w%04d", k), pool: fmt.Sprintf("p%02d", pool), zone: fmt.Sprintf("z%d", zone),
			rack: fmt.Sprintf("z%d-r%03d", zone, k/zones/4)}
		for s := range slotsEach {
			long := 0.001
			if pool%4 == 0 {
				long = 0.004
			}
			b.slots = append(b.slots, slot{rng: rand.New(rand.NewPCG(7, uint64(k*slotsEach+s))), long: long})
		}
		w.boxes = append(w.boxes, b)
	}
	w.fail(n)
	w.now = start.Add(-24 * time.Hour) // jobs are under way when the roll-out starts
	for _, b := range w.boxes {
		b.since = w.now
	}
	for w.now.Before(start) {
		w.work()
		w.now = w.now.Add(w.step)
	}
	return w
}

// fail writes 18 failures of an hour a day for 1,100 instances, the loss of a
// rack on the second day and the loss of a zone on the tenth.
func (w *world) fail(n int) {
	rng := rand.New(rand.NewPCG(11, 11))
	every := 24 * time.Hour * 1100 / time.Duration(18*n)
	for at := w.start; at.Before(w.start.Add(walkLimit)); at = at.Add(time.Duration(rng.ExpFloat64() * float64(every))) {
		id := w.boxes[rng.IntN(n)].id
		w.failures = append(w.failures, failure{at, at.Add(time.Hour), func(b *box) bool { return b.id == id }})
	}
	rack := w.boxes[n/2].rack
	day := 24 * time.Hour
	w.failures = append(w.failures,
		failure{w.start.Add(day), w.start.Add(day + 4*time.Hour), func(b *box) bool { return b.rack == rack }},
		failure{w.start.Add(9 * day), w.start.Add(9*day + time.Hour), func(b *box) bool { return b.zone == "z1" }})
	slices.SortStableFunc(w.failures, func(a, b failure) int { return a.at.Compare(b.at) })
}

// begin draws the next job of a slot: mostly seconds, some minutes, a few
// hours with a long tail.
func (s *slot) begin(at time.Time) {
	gap := time.Duration(s.rng.ExpFloat64() * float64(2*time.Minute))
	var d time.Duration
	switch kind := s.rng.Float64(); {
	case kind < s.long:
		d = min(24*time.Hour, time.Duration(float64(time.Hour)/(0.04+s.rng.Float64())))
	case kind < 0.1:
		d = time.Duration(s.rng.ExpFloat64() * float64(20*time.Minute))
	default:
		d = time.Duration(s.rng.ExpFloat64() * float64(30*time.Second))
	}
	s.saves = s.rng.Float64() < 0.6
	s.start = at.Add(gap)
	s.end = s.start.Add(d)
}

func (s *slot) busy(now time.Time) bool {
	return !s.start.After(now) && s.end.After(now)
}

// work has the slots of the instances in service go on.
func (w *world) work() {
	for _, b := range w.boxes {
		if (b.phase != "" && b.phase != "done") || b.failed.After(w.now) {
			continue
		}
		for n := range b.slots {
			for !b.slots[n].end.After(w.now) {
				b.slots[n].begin(maxTime(b.slots[n].end, b.since))
			}
		}
	}
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// wait estimates how long the running work goes on: as long as it has run
// already, for declared run times are far off.
func (w *world) wait(b *box) time.Duration {
	var longest time.Duration
	for _, s := range b.slots {
		if w.blind || !s.busy(w.now) {
			continue
		}
		left := w.now.Sub(s.start)
		if w.checkpoint && s.saves {
			left = min(left, checkpointTime)
		}
		longest = max(longest, left)
	}
	return longest
}

// state is what the planner is told.
func (w *world) state() State {
	s := State{Now: w.now, Started: w.start, Total: len(w.boxes), Budgets: w.budgets}
	for _, b := range w.boxes {
		c := Candidate{ID: b.id, Pool: b.pool, Zone: b.zone, Rack: b.rack, Wait: w.wait(b), NotBefore: b.notBefore}
		switch {
		case b.failed.After(w.now) || b.phase == "draining" || b.phase == "rebooting":
			s.Absent.List = append(s.Absent.List, absenceOf(b))
		case b.phase == "":
			s.Todo = append(s.Todo, c)
		}
	}
	return s
}

func absenceOf(b *box) budgeter.Absence {
	return budgeter.Absence{Instance: b.id, Pool: b.pool, Zone: b.zone, Rack: b.rack}
}

// walk rolls out in an order until all is done.
func (w *world) walk(next order) figures {
	for w.now.Sub(w.start) < walkLimit {
		w.strike()
		w.work()
		left := 0
		for _, b := range w.boxes {
			w.advance(b)
			if b.phase != "done" {
				left++
			}
		}
		if left == 0 {
			break
		}
		w.drain(next(w))
		w.now = w.now.Add(w.step)
	}
	w.figures.left = len(w.boxes) - w.count("done")
	w.figures.rollout = w.now.Sub(w.start)
	return w.figures
}

// strike has the failures that are due happen. Work on a failed instance ends.
func (w *world) strike() {
	for len(w.failures) > 0 && !w.failures[0].at.After(w.now) {
		f := w.failures[0]
		w.failures = w.failures[1:]
		for _, b := range w.boxes {
			if f.hits(b) {
				b.failed = f.until
				for n := range b.slots {
					b.slots[n].end = maxTime(f.until, w.now)
				}
			}
		}
	}
}

func (w *world) drain(picked []*box) {
	counter := budgeter.NewCounter(w.budgets, w.state().Absent)
	for _, b := range picked {
		if _, spent := counter.Exhausted(absenceOf(b)); spent {
			w.figures.overdrafts++
		}
		counter.Add(absenceOf(b))
		b.phase, b.since = "draining", w.now
	}
}

// advance takes an instance that is out of service one step on and counts what
// it costs.
func (w *world) advance(b *box) {
	switch b.phase {
	case "draining":
		idle := 0
		for n := range b.slots {
			s := &b.slots[n]
			if w.checkpoint && s.saves && s.busy(w.now) && w.now.Sub(b.since) >= checkpointTime {
				s.end = w.now
				w.figures.checkpoints++
			}
			if !s.busy(w.now) {
				idle++
			}
		}
		cost := w.step * time.Duration(idle) / slotsEach
		w.figures.buffer += cost
		w.figures.idle += cost
		if idle == slotsEach && !b.failed.After(w.now) {
			w.figures.longest = max(w.figures.longest, w.now.Sub(b.since))
			b.phase, b.since = "rebooting", w.now
		} else if w.limit > 0 && w.now.Sub(b.since) >= w.limit {
			w.figures.undone++
			b.tries++
			b.phase, b.since, b.notBefore = "", w.now, w.now.Add(30*time.Minute*time.Duration(b.tries))
		}
	case "rebooting":
		w.figures.buffer += w.step
		if w.now.Sub(b.since) >= rebootTime && !b.failed.After(w.now) {
			b.phase, b.since = "done", w.now
		}
	}
}

func (w *world) count(phases ...string) int {
	n := 0
	for _, b := range w.boxes {
		if slices.Contains(phases, b.phase) {
			n++
		}
	}
	return n
}

func (w *world) todo() []*box {
	var list []*box
	for _, b := range w.boxes {
		if b.phase == "" && !b.failed.After(w.now) {
			list = append(list, b)
		}
	}
	slices.SortFunc(list, func(a, b *box) int { return cmp.Compare(a.id, b.id) })
	return list
}
