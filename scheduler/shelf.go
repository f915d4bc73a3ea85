package scheduler

import (
	"math"
	"time"
)

const (
	defaultWeight = 1.0
	minWeight     = 1e-3
	// initialRunSeconds is the run time assumed for the tasks of a team that
	// has not completed any.
	initialRunSeconds = 1.0
	// runTimeGain is the weight of the newest run time in the moving average.
	runTimeGain = 0.2
	// maxDebtSeconds limits how far a team falls behind the other teams because
	// its tasks ran longer than charged, in seconds per slot at a weight of 1.
	maxDebtSeconds = 60.0
)

type (
	// poolQueue holds the tasks that wait for one pool. Teams are served by
	// stride scheduling: the team with the smallest pass goes first, and each
	// start increases its pass by the slot-seconds that the task is expected to
	// use, divided by the weight of the team.
	poolQueue struct {
		teams   map[string]*teamQueue // by team
		active  []*teamQueue          // teams with waiting tasks, in no particular order
		weights map[string]float64    // weights that replace the shares in this pool, by team; nil if none
		pass    float64               // pass of the team served last
		skipped []*queue              // scratch space of Next: queues whose head did not fit
	}

	// teamQueue holds the tasks of one team that wait for one pool.
	teamQueue struct {
		team           string
		weight         float64
		pass           float64 // position of the team in stride scheduling; see poolQueue
		meanRunSeconds float64 // moving average of the run times
		index          int     // index in poolQueue.active; -1 when no task is waiting
		count          Count
		urgentStarts   int                // urgent tasks started since the last background task
		classes        [2]class           // urgent, background
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

// weight returns the weight of the team in this pool, or else its share, or
// else defaultWeight.
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

// taskRemoved updates the counts after n has been removed from its queue.
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

// appendActive appends to teams those with waiting tasks.
func (s *poolQueue) appendActive(teams []*teamQueue) []*teamQueue {
	return append(teams, s.active...)
}

// chargeStart increases the pass of the team by the expected slot-seconds of n.
func (s *poolQueue) chargeStart(l *teamQueue, n *node) {
	t := &n.item.Task
	s.pass = max(s.pass, l.pass)
	l.chargedSeconds[t.ID] = l.meanRunSeconds
	l.pass += float64(t.Slots) * l.meanRunSeconds / l.weight
	l.countClassStart(t)
}

// countBypasses counts the start of a task as a bypass of each queue whose head
// did not fit.
func (s *poolQueue) countBypasses() {
	for _, q := range s.skipped {
		q.bypassed++
	}
}

// starvedHead returns the longest-waiting of the queue heads that have been
// bypassed at least maxBypass times, or nil.
func (s *poolQueue) starvedHead() *node {
	var oldest *node
	for _, l := range s.active {
		if n := l.starvedHead(); n != nil && (oldest == nil || n.item.Since.Before(oldest.item.Since)) {
			oldest = n
		}
	}
	return oldest
}

// settleCharge corrects the charge for a task from the expected run time to the
// actual one, and limits how far the team falls behind (see maxDebtSeconds).
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
// given number of free slots, or nil.
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

// starvedHead returns the head of a queue that has been bypassed at least
// maxBypass times, or nil.
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

// countClassStart counts the urgent tasks started while background tasks wait.
// After backgroundEvery-1 of them a background task goes first.
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
