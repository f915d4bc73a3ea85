package scheduler

import (
	"sync"
	"time"

	"github.com/coltsfootlever/coltsfootlever/classifier"
)

const (
	// DefaultQueueBound is the maximum number of waiting tasks of a queue for
	// which no bound is set.
	DefaultQueueBound = 1024
	// backgroundEvery is the number of starts of a team of which one goes to a
	// background task while tasks of both classes are waiting.
	backgroundEvery = 8
	// maxLookAhead is the number of tasks behind the head of a queue that may
	// start before the head when it does not fit.
	maxLookAhead = 16
	// maxBypass is the number of tasks that may start instead of a head that
	// does not fit. After that, its queue waits for the head and a worker is
	// kept free for it.
	maxBypass = 64
)

type (
	// WaitingTasks holds the tasks that wait in one entry and decides which of
	// them starts next. It is safe for concurrent use.
	WaitingTasks struct {
		mu          sync.Mutex
		pools       map[string]*poolQueue // by pool
		nodes       map[string]*node      // by task ID
		queues      map[string]int        // number of waiting tasks by queue
		bounds      map[string]int        // maximum number of waiting tasks by queue
		shares      map[string]float64    // weights by team, for pools without weights of their own
		deadlines   deadlineHeap
		teamScratch []*teamQueue // scratch space of Next
	}

	// Item is one waiting task.
	Item struct {
		Task  Task
		Since time.Time // time at which it began to wait in this entry
		Data  any       // the caller's own data, which this package does not use
	}

	// Count is a number of waiting tasks and the sum of their slots.
	Count struct {
		Tasks int
		Slots int
	}
)

// NewWaitingTasks returns an empty set of waiting tasks.
func NewWaitingTasks() *WaitingTasks {
	return &WaitingTasks{
		pools:  make(map[string]*poolQueue),
		nodes:  make(map[string]*node),
		queues: make(map[string]int),
		bounds: make(map[string]int),
		shares: make(map[string]float64),
	}
}

// SetQueueBounds replaces the maximum numbers of waiting tasks by queue. When a
// bound is lowered, tasks above it keep waiting.
func (w *WaitingTasks) SetQueueBounds(bounds map[string]int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.bounds = make(map[string]int, len(bounds))
	for queue, n := range bounds {
		w.bounds[queue] = n
	}
}

// SetTeamShares replaces the weights of the teams that apply in pools without
// weights of their own.
func (w *WaitingTasks) SetTeamShares(shares map[string]float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.shares = make(map[string]float64, len(shares))
	for team, share := range shares {
		w.shares[team] = share
	}
	w.updateWeights()
}

// SetPoolWeights replaces the weights of the teams in one pool. With a nil map
// the weights of SetTeamShares apply again.
func (w *WaitingTasks) SetPoolWeights(pool string, weights map[string]float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.poolQueue(pool).setWeights(weights)
	w.updateWeights()
}

func (w *WaitingTasks) updateWeights() {
	for _, pq := range w.pools {
		pq.updateWeights(w.shares)
	}
}

// Add adds a waiting task. It refuses with classifier.QueueFull when the task's
// queue has reached its bound, and with classifier.Repeated when a task with
// the same ID is already waiting.
func (w *WaitingTasks) Add(item Item) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	t := item.Task
	if _, ok := w.nodes[t.ID]; ok {
		return classifier.Refuse(classifier.Repeated, "task %s waits already", t.ID)
	}
	bound, ok := w.bounds[t.Queue]
	if !ok {
		bound = DefaultQueueBound
	}
	if w.queues[t.Queue] >= bound {
		err := classifier.Refuse(classifier.QueueFull, "queue %s has its bound of %d requests waiting: come back later", t.Queue, bound)
		return err.WithRetryAfter(time.Second)
	}
	n := &node{item: item}
	n.item.Task.Slots = max(1, t.Slots)
	w.nodes[t.ID] = n
	w.queues[t.Queue]++
	w.deadlines.add(n)
	w.poolQueue(t.Pool).push(n, w.shares)
	return nil
}

// Cancel removes a waiting task. It returns false when the task is not waiting
// in this entry. Its cost does not depend on the number of waiting tasks.
func (w *WaitingTasks) Cancel(id string) (Item, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	n, ok := w.nodes[id]
	if !ok {
		return Item{}, false
	}
	w.removeTask(n)
	return n.item, true
}

// Next removes and returns the next task to start in the pool on a worker with
// the given number of free slots. It goes through the possible tasks in order
// of preference, calls can with the team and slots of each, and returns the
// first for which can returns true. So can may reserve the slots that it is
// asked about. can must not call methods of WaitingTasks.
func (w *WaitingTasks) Next(pool string, freeSlots int, can func(team string, n int) bool) (Item, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	pq, ok := w.pools[pool]
	if !ok || freeSlots < 1 {
		return Item{}, false
	}
	if n := pq.starvedHead(); n != nil && n.item.Task.Slots <= freeSlots && can(n.item.Task.Team, n.item.Task.Slots) {
		return w.removeForStart(pq, n), true
	}
	pq.skipped = pq.skipped[:0]
	order := teamHeap(pq.appendActive(w.teamScratch[:0]))
	w.teamScratch = order
	order.init()
	for len(order) > 0 {
		tq := order.pop()
		n := tq.candidate(pq, freeSlots)
		if n == nil || !can(tq.team, n.item.Task.Slots) {
			continue
		}
		pq.countBypasses()
		return w.removeForStart(pq, n), true
	}
	return Item{}, false
}

// removeForStart removes n and charges its team for the start.
func (w *WaitingTasks) removeForStart(pq *poolQueue, n *node) Item {
	pq.chargeStart(pq.teams[n.item.Task.Team], n)
	w.removeTask(n)
	return n.item
}

// StarvedSlots returns the slots of the task that has been bypassed too often
// because it did not fit, or 0 when there is none. Next prefers this task, and
// Fleet.ReserveWorker keeps a worker free for it.
func (w *WaitingTasks) StarvedSlots(pool string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	pq, ok := w.pools[pool]
	if !ok {
		return 0
	}
	if n := pq.starvedHead(); n != nil {
		return n.item.Task.Slots
	}
	return 0
}

// RecordRunTime corrects what a team was charged for a started task, from the
// expected run time to ran; with 0 the charge is refunded. Call it exactly once
// for each task that Next returned.
func (w *WaitingTasks) RecordRunTime(t Task, ran time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.poolQueue(t.Pool).correctCharge(t, ran, w.shares)
}

// RemoveExpired removes and returns the tasks whose deadline has passed.
func (w *WaitingTasks) RemoveExpired(now time.Time) []Item {
	w.mu.Lock()
	defer w.mu.Unlock()
	var expired []Item
	for {
		n := w.deadlines.nextExpired(now)
		if n == nil {
			return expired
		}
		w.removeTask(n)
		expired = append(expired, n.item)
	}
}

// removeTask removes the task from its queue, the counts and the deadlines.
func (w *WaitingTasks) removeTask(n *node) {
	t := &n.item.Task
	n.queue.remove(n)
	delete(w.nodes, t.ID)
	w.queues[t.Queue]--
	if w.queues[t.Queue] == 0 {
		delete(w.queues, t.Queue)
	}
	w.poolQueue(t.Pool).taskRemoved(n)
	w.deadlines.markDropped(n)
}

// poolQueue returns the queue of the pool, which it creates if needed.
func (w *WaitingTasks) poolQueue(pool string) *poolQueue {
	pq, ok := w.pools[pool]
	if !ok {
		pq = newPoolQueue()
		w.pools[pool] = pq
	}
	return pq
}
