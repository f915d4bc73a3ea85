package scheduler

import (
	"math"
	"time"
)

const (
	defaultWeight = 1.0
	minWeight     = 1e-3
	// firstCost is the run time charged for a task of a team that has not
	// finished any, in seconds.
	firstCost = 1.0
	// costGain is the weight of the newest run time in the moving average.
	costGain = 0.2
	// maxDebt bounds how far a team is set back for tasks that ran longer than
	// charged, in seconds at its weight per slot.
	maxDebt = 60.0
)

type (
	// shelf is what waits for one pool. Teams are served by stride scheduling:
	// the team with the smallest pass goes first, and each start moves its
	// pass by the slot-seconds it is expected to use, divided by its weight.
	shelf struct {
		lines   map[string]*line // by team
		active  []*line          // with waiting tasks, in no order
		weights map[string]float64
		pass    float64  // pass of the last team served
		skipped []*queue // scratch space of Next: heads that did not fit
	}

	// line is what one team has waiting for one pool.
	line struct {
		team    string
		weight  float64
		pass    float64
		cost    float64 // moving average of run times, in seconds
		index   int     // in active, -1 when nothing waits
		count   Count
		urgents int // urgent starts since the last background start
		classes [2]class
		charges map[string]float64 // seconds charged per slot, by running task
	}
)

func newShelf() *shelf {
	return &shelf{lines: make(map[string]*line)}
}

func (s *shelf) setWeights(weights map[string]float64) {
	s.weights = nil
	if weights == nil {
		return
	}
	s.weights = make(map[string]float64, len(weights))
	for team, weight := range weights {
		s.weights[team] = weight
	}
}

func (s *shelf) weight(team string, shares map[string]float64) float64 {
	weight, ok := s.weights[team]
	if !ok {
		weight, ok = shares[team]
	}
	if !ok {
		weight = defaultWeight
	}
	return max(minWeight, weight)
}

func (s *shelf) reweigh(shares map[string]float64) {
	for team, l := range s.lines {
		l.weight = s.weight(team, shares)
	}
}

func (s *shelf) line(team string, shares map[string]float64) *line {
	l, ok := s.lines[team]
	if !ok {
		l = &line{
			team:    team,
			weight:  s.weight(team, shares),
			pass:    s.pass,
			cost:    firstCost,
			index:   -1,
			charges: make(map[string]float64),
		}
		s.lines[team] = l
	}
	return l
}

func (s *shelf) push(n *node, shares map[string]float64) {
	l := s.line(n.item.Task.Team, shares)
	if l.index < 0 {
		l.pass = max(l.pass, s.pass)
		l.index = len(s.active)
		s.active = append(s.active, l)
	}
	l.count = l.count.plus(Count{Tasks: 1, Slots: n.item.Task.Slots})
	l.class(n.item.Task.Class).push(n)
}

// dropped updates the counts after n has left its queue.
func (s *shelf) dropped(n *node) {
	l := s.lines[n.item.Task.Team]
	l.count = l.count.plus(Count{Tasks: -1, Slots: -n.item.Task.Slots})
	if l.count.Tasks > 0 {
		return
	}
	last := s.active[len(s.active)-1]
	s.active[l.index] = last
	last.index = l.index
	l.index = -1
	s.active = s.active[:len(s.active)-1]
}

func (s *shelf) backlogged(lines []*line) []*line {
	return append(lines, s.active...)
}

// start charges the team for n.
func (s *shelf) start(l *line, n *node) {
	t := &n.item.Task
	s.pass = max(s.pass, l.pass)
	l.charges[t.ID] = l.cost
	l.pass += float64(t.Slots) * l.cost / l.weight
	l.started(t)
}

// passOver counts the start of another task against the heads that did not fit.
func (s *shelf) passOver() {
	for _, q := range s.skipped {
		q.bypassed++
	}
}

// starved returns the head that has been passed over too often and has waited
// longest, or nil.
func (s *shelf) starved() *node {
	var oldest *node
	for _, l := range s.active {
		if n := l.starved(); n != nil && (oldest == nil || n.item.Since.Before(oldest.item.Since)) {
			oldest = n
		}
	}
	return oldest
}

// settle replaces the charge for a task by the time that it ran.
func (s *shelf) settle(t Task, ran time.Duration, shares map[string]float64) {
	l := s.line(t.Team, shares)
	charged, ok := l.charges[t.ID]
	if !ok {
		return
	}
	delete(l.charges, t.ID)
	seconds := ran.Seconds()
	if ran > 0 {
		l.cost += costGain * (seconds - l.cost)
	}
	slots := float64(max(1, t.Slots))
	l.pass += slots * (seconds - charged) / l.weight
	l.pass = math.Min(l.pass, s.pass+maxDebt*slots/l.weight)
}

// candidate returns the task that the team would start on a worker with the
// given free slots, or nil.
func (l *line) candidate(s *shelf, freeSlots int) *node {
	first, second := l.class(Urgent), l.class(Background)
	if l.urgents >= backgroundEvery-1 {
		first, second = second, first
	}
	if n := first.candidate(s, freeSlots); n != nil {
		return n
	}
	return second.candidate(s, freeSlots)
}

func (l *line) starved() *node {
	for i := range l.classes {
		for _, q := range l.classes[i].queues {
			if q.bypassed >= maxBypass {
				return q.head
			}
		}
	}
	return nil
}

// started counts the start towards the guaranteed part of background work.
func (l *line) started(t *Task) {
	if t.Class != Urgent {
		l.urgents = 0
		return
	}
	if l.class(Background).waiting() {
		l.urgents++
	}
}

func (l *line) class(c Class) *class {
	if c == Urgent {
		return &l.classes[0]
	}
	return &l.classes[1]
}

func (l *line) appendHeads(heads []Item) []Item {
	for i := range l.classes {
		for _, q := range l.classes[i].queues {
			if q.head != nil {
				heads = append(heads, q.head.item)
			}
		}
	}
	return heads
}
