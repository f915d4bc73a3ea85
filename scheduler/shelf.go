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

func (pq *poolQueue) setWeights(weights map[string]float64) {
	pq.weights = nil
	if weights == nil {
		return
	}
	pq.weights = make(map[string]float64, len(weights))
	for team, weight := range weights {
		pq.weights[team] = weight
	}
}

// weight returns the weight of the team in this pool, or else its share, or
// else defaultWeight.
func (pq *poolQueue) weight(team string, shares map[string]float64) float64 {
	weight, ok := pq.weights[team]
	if !ok {
		weight, ok = shares[team]
	}
	if !ok {
		weight = defaultWeight
	}
	return max(minWeight, weight)
}

func (pq *poolQueue) updateWeights(shares map[string]float64) {
	for team, tq := range pq.teams {
		tq.weight = pq.weight(team, shares)
	}
}

func (pq *poolQueue) teamQueue(team string, shares map[string]float64) *teamQueue {
	tq, ok := pq.teams[team]
	if !ok {
		tq = &teamQueue{
			team:           team,
			weight:         pq.weight(team, shares),
			pass:           pq.pass,
			meanRunSeconds: initialRunSeconds,
			index:          -1,
			chargedSeconds: make(map[string]float64),
		}
		pq.teams[team] = tq
	}
	return tq
}

func (pq *poolQueue) push(n *node, shares map[string]float64) {
	tq := pq.teamQueue(n.item.Task.Team, shares)
	if tq.index < 0 {
		tq.pass = max(tq.pass, pq.pass)
		tq.index = len(pq.active)
		pq.active = append(pq.active, tq)
	}
	tq.count = tq.count.add(Count{Tasks: 1, Slots: n.item.Task.Slots})
	tq.class(n.item.Task.Class).push(n)
}

// taskRemoved updates the counts after n has been removed from its queue.
func (pq *poolQueue) taskRemoved(n *node) {
	tq := pq.teams[n.item.Task.Team]
	tq.count = tq.count.add(Count{Tasks: -1, Slots: -n.item.Task.Slots})
	if tq.count.Tasks > 0 {
		return
	}
	last := pq.active[len(pq.active)-1]
	pq.active[tq.index] = last
	last.index = tq.index
	tq.index = -1
	pq.active = pq.active[:len(pq.active)-1]
}

// appendActive appends to teams those with waiting tasks.
func (pq *poolQueue) appendActive(teams []*teamQueue) []*teamQueue {
	return append(teams, pq.active...)
}

// chargeStart increases the pass of the team by the expected slot-seconds of n.
func (pq *poolQueue) chargeStart(tq *teamQueue, n *node) {
	t := &n.item.Task
	pq.pass = max(pq.pass, tq.pass)
	tq.chargedSeconds[t.ID] = tq.meanRunSeconds
	tq.pass += float64(t.Slots) * tq.meanRunSeconds / tq.weight
	tq.countUrgentStart(t)
}

// countBypasses counts the start of a task as a bypass of each queue whose head
// did not fit.
func (pq *poolQueue) countBypasses() {
	for _, q := range pq.skipped {
		q.bypassed++
	}
}

// starvedHead returns the longest-waiting of the queue heads that have been
// bypassed at least maxBypass times, or nil.
func (pq *poolQueue) starvedHead() *node {
	var oldest *node
	for _, tq := range pq.active {
		if n := tq.starvedHead(); n != nil && (oldest == nil || n.item.Since.Before(oldest.item.Since)) {
			oldest = n
		}
	}
	return oldest
}

// correctCharge corrects the charge for a task from the expected run time to the
// actual one, and limits how far the team falls behind (see maxDebtSeconds).
func (pq *poolQueue) correctCharge(t Task, ran time.Duration, shares map[string]float64) {
	tq := pq.teamQueue(t.Team, shares)
	charged, ok := tq.chargedSeconds[t.ID]
	if !ok {
		return
	}
	delete(tq.chargedSeconds, t.ID)
	seconds := ran.Seconds()
	if ran > 0 {
		tq.meanRunSeconds += runTimeGain * (seconds - tq.meanRunSeconds)
	}
	slots := float64(max(1, t.Slots))
	tq.pass += slots * (seconds - charged) / tq.weight
	tq.pass = math.Min(tq.pass, pq.pass+maxDebtSeconds*slots/tq.weight)
}

// candidate returns the task that the team would start on a worker with the
// given number of free slots, or nil.
func (tq *teamQueue) candidate(pq *poolQueue, freeSlots int) *node {
	first, second := tq.class(Urgent), tq.class(Background)
	if tq.urgentStarts >= backgroundEvery-1 {
		first, second = second, first
	}
	if n := first.candidate(pq, freeSlots); n != nil {
		return n
	}
	return second.candidate(pq, freeSlots)
}

// starvedHead returns the head of a queue that has been bypassed at least
// maxBypass times, or nil.
func (tq *teamQueue) starvedHead() *node {
	for i := range tq.classes {
		for _, q := range tq.classes[i].queues {
			if q.bypassed >= maxBypass {
				return q.head
			}
		}
	}
	return nil
}

// countUrgentStart counts the urgent tasks started while background tasks wait.
// After backgroundEvery-1 of them a background task goes first.
func (tq *teamQueue) countUrgentStart(t *Task) {
	if t.Class != Urgent {
		tq.urgentStarts = 0
		return
	}
	if tq.class(Background).hasWaiting() {
		tq.urgentStarts++
	}
}

func (tq *teamQueue) class(c Class) *class {
	if c == Urgent {
		return &tq.classes[0]
	}
	return &tq.classes[1]
}

func (tq *teamQueue) appendHeads(heads []Item) []Item {
	for i := range tq.classes {
		for _, q := range tq.classes[i].queues {
			if q.head != nil {
				heads = append(heads, q.head.item)
			}
		}
	}
	return heads
}
