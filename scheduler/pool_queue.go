package scheduler

import (
	"math"
	"time"
)

const (
	defaultWeight = 1.0
	minWeight     = 1e-3
	// initialRunSeconds is the run time charged for a task of a team that has not
	// finished any, in seconds.
	initialRunSeconds = 1.0
	// runTimeGain is the weight of the newest run time in the moving average.
	runTimeGain = 0.2
	// maxDebtSeconds bounds how far a team is set back for tasks that ran longer than
	// charged, in seconds at its weight per slot.
	maxDebtSeconds = 60.0
)

type (
	// poolQueue is what waits for one pool. Teams are served by stride scheduling:
	// the team with the smallest pass goes first, and each start moves its
	// pass by the slot-seconds it is expected to use, divided by its weight.
	poolQueue struct {
		teams   map[string]*teamQueue // by team
		active  []*teamQueue          // with waiting tasks, in no order
		weights map[string]float64
		pass    float64  // pass of the last team served
		skipped []*queue // scratch space of Next: heads that did not fit
	}

	// teamQueue is what one team has waiting for one pool.
	teamQueue struct {
		team           string
		weight         float64
		pass           float64
		meanRunSeconds float64 // moving average of run times, in seconds
		index          int     // in active, -1 when nothing waits
		count          Count
		urgentStarts   int // urgent starts since the last background start
		classes        [2]class
		chargedSeconds map[string]float64 // seconds charged per slot, by running task
	}
)

func newPoolQueue() *poolQueue {
	return &poolQueue{teams: make(map[string]*teamQueue)}
}

func (s *poolQueue) setWeights(weights map[string]float64) {
	s.weights = nil
	if weights == nil {
		return
	}
	s.weights = make(map[string]float64, len(weights))
	for team, weight := range weights {
		s.weights[team] = weight
	}
}

func (s *poolQueue) weight(team string, shares map[string]float64) float64 {
	weight, ok := s.weights[team]
	if !ok {
		weight, ok = shares[team]
	}
	if !ok {
		weight = defaultWeight
	}
	return max(minWeight, weight)
}

func (s *poolQueue) updateWeights(shares map[string]float64) {
	for team, l := range s.teams {
		l.weight = s.weight(team, shares)
	}
}

func (s *poolQueue) teamQueue(team string, shares map[string]float64) *teamQueue {
	l, ok := s.teams[team]
	if !ok {
		l = &teamQueue{
			team:           team,
			weight:         s.weight(team, shares),
			pass:           s.pass,
			meanRunSeconds: initialRunSeconds,
			index:          -1,
			chargedSeconds: make(map[string]float64),
		}
		s.teams[team] = l
	}
	return l
}

func (s *poolQueue) push(n *node, shares map[string]float64) {
	l := s.teamQueue(n.item.Task.Team, shares)
	if l.index < 0 {
		l.pass = max(l.pass, s.pass)
		l.index = len(s.active)
		s.active = append(s.active, l)
	}
	l.count = l.count.add(Count{Tasks: 1, Slots: n.item.Task.Slots})
	l.class(n.item.Task.Class).push(n)
}

// taskRemoved updates the counts after n has left its queue.
func (s *poolQueue) taskRemoved(n *node) {
	l := s.teams[n.item.Task.Team]
	l.count = l.count.add(Count{Tasks: -1, Slots: -n.item.Task.Slots})
	if l.count.Tasks > 0 {
		return
	}
	last := s.active[len(s.active)-1]
	s.active[l.index] = last
	last.index = l.index
	l.index = -1
	s.active = s.active[:len(s.active)-1]
}

func (s *poolQueue) appendActive(lines []*teamQueue) []*teamQueue {
	return append(lines, s.active...)
}

// chargeStart charges the team for n.
func (s *poolQueue) chargeStart(l *teamQueue, n *node) {
	t := &n.item.Task
	s.pass = max(s.pass, l.pass)
	l.chargedSeconds[t.ID] = l.meanRunSeconds
	l.pass += float64(t.Slots) * l.meanRunSeconds / l.weight
	l.countClassStart(t)
}

// countBypasses counts the start of another task against the heads that did not fit.
func (s *poolQueue) countBypasses() {
	for _, q := range s.skipped {
		q.bypassed++
	}
}

// starvedHead returns the head that has been passed over too often and has waited
// longest, or nil.
func (s *poolQueue) starvedHead() *node {
	var oldest *node
	for _, l := range s.active {
		if n := l.starvedHead(); n != nil && (oldest == nil || n.item.Since.Before(oldest.item.Since)) {
			oldest = n
		}
	}
	return oldest
}

// settleCharge replaces the charge for a task by the time that it ran.
func (s *poolQueue) settleCharge(t Task, ran time.Duration, shares map[string]float64) {
	l := s.teamQueue(t.Team, shares)
	charged, ok := l.chargedSeconds[t.ID]
	if !ok {
		return
	}
	delete(l.chargedSeconds, t.ID)
	seconds := ran.Seconds()
	if ran > 0 {
		l.meanRunSeconds += runTimeGain * (seconds - l.meanRunSeconds)
	}
	slots := float64(max(1, t.Slots))
	l.pass += slots * (seconds - charged) / l.weight
	l.pass = math.Min(l.pass, s.pass+maxDebtSeconds*slots/l.weight)
}

// candidate returns the task that the team would start on a worker with the
// given free slots, or nil.
func (l *teamQueue) candidate(s *poolQueue, freeSlots int) *node {
	first, second := l.class(Urgent), l.class(Background)
	if l.urgentStarts >= backgroundEvery-1 {
		first, second = second, first
	}
	if n := first.candidate(s, freeSlots); n != nil {
		return n
	}
	return second.candidate(s, freeSlots)
}

func (l *teamQueue) starvedHead() *node {
	for i := range l.classes {
		for _, q := range l.classes[i].queues {
			if q.bypassed >= maxBypass {
				return q.head
			}
		}
	}
	return nil
}

// countClassStart counts the start towards the guaranteed part of background work.
func (l *teamQueue) countClassStart(t *Task) {
	if t.Class != Urgent {
		l.urgentStarts = 0
		return
	}
	if l.class(Background).hasWaiting() {
		l.urgentStarts++
	}
}

func (l *teamQueue) class(c Class) *class {
	if c == Urgent {
		return &l.classes[0]
	}
	return &l.classes[1]
}

func (l *teamQueue) appendHeads(heads []Item) []Item {
	for i := range l.classes {
		for _, q := range l.classes[i].queues {
			if q.head != nil {
				heads = append(heads, q.head.item)
			}
		}
	}
	return heads
}
