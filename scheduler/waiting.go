package scheduler

import (
	"sync"
	"time"

	"github.com/coltsfootlever/coltsfootlever/classifier"
)

const (
	// DefaultQueueBound is the most tasks that wait in a queue without a bound.
	DefaultQueueBound = 1024
	// backgroundEvery is the number of starts of a team of which one goes to
	// background work when both classes wait.
	backgroundEvery = 8
	// maxLookAhead is the number of tasks behind the head of a queue that may
	// start before it when the head does not fit.
	maxLookAhead = 16
	// maxBypass is the number of times that a head that does not fit is passed
	// over before its queue waits for it and a worker is kept free for it.
	maxBypass = 64
)

type (
	// WaitingTasks holds the tasks that wait in one entry and decides which starts
	// next. It is safe for concurrent use.
	WaitingTasks struct {
		mu          sync.Mutex
		pools       map[string]*poolQueue
		nodes       map[string]*node // by task
		queues      map[string]int   // tasks waiting by queue
		bounds      map[string]int   // by queue
		shares      map[string]float64
		deadlines   deadlineHeap
		teamScratch []*teamQueue // scratch space of Next
	}

	// Item is one waiting task.
	Item struct {
		Task  Task
		Since time.Time // when it began to wait here
		Data  any       // the caller's own; never looked at
	}

	// Count is the number of waiting tasks and the slots they take.
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

// SetQueueBounds replaces the bounds of the queues, in tasks. Tasks above a lowered
// bound stay.
func (w *WaitingTasks) SetQueueBounds(bounds map[string]int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.bounds = make(map[string]int, len(bounds))
	for queue, n := range bounds {
		w.bounds[queue] = n
	}
}

// SetTeamShares replaces the weights of the teams in pools without weights of
// their own.
func (w *WaitingTasks) SetTeamShares(shares map[string]float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.shares = make(map[string]float64, len(shares))
	for team, share := range shares {
		w.shares[team] = share
	}
	w.updateWeights()
}

// SetPoolWeights replaces the weights of the teams in one pool. A nil map brings
// back the shares.
func (w *WaitingTasks) SetPoolWeights(pool string, weights map[string]float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.poolQueue(pool).setWeights(weights)
	w.updateWeights()
}

func (w *WaitingTasks) updateWeights() {
	for _, s := range w.pools {
		s.updateWeights(w.shares)
	}
}

// Add lets a task wait. It refuses with classifier.QueueFull when the task's
// queue has reached its bound, and with classifier.Repeated when a task of the
// same identity waits already.
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
		return err.After(time.Second)
	}
	n := &node{item: item}
	n.item.Task.Slots = max(1, t.Slots)
	w.nodes[t.ID] = n
	w.queues[t.Queue]++
	w.deadlines.add(n)
	w.poolQueue(t.Pool).push(n, w.shares)
	return nil
}

// Cancel takes a waiting task out. It reports false when the task does not
// wait here. The cost does not depend on the number of waiting tasks.
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

// Next takes out the task to start next in the pool on a worker with the given
// free slots. It asks can in order of preference whether the team may run the
// slots, and takes the first task for which can reports true, so can may
// reserve what it is asked for. can must not call Waiting.
func (w *WaitingTasks) Next(pool string, freeSlots int, can func(team string, n int) bool) (Item, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s, ok := w.pools[pool]
	if !ok || freeSlots < 1 {
		return Item{}, false
	}
	if n := s.starvedHead(); n != nil && n.item.Task.Slots <= freeSlots && can(n.item.Task.Team, n.item.Task.Slots) {
		return w.takeToStart(s, n), true
	}
	s.skipped = s.skipped[:0]
	order := teamHeap(s.appendActive(w.teamScratch[:0]))
	w.teamScratch = order
	order.init()
	for len(order) > 0 {
		l := order.pop()
		n := l.candidate(s, freeSlots)
		if n == nil || !can(l.team, n.item.Task.Slots) {
			continue
		}
		s.countBypasses()
		return w.takeToStart(s, n), true
	}
	return Item{}, false
}

func (w *WaitingTasks) takeToStart(s *poolQueue, n *node) Item {
	s.chargeStart(s.teams[n.item.Task.Team], n)
	w.removeTask(n)
	return n.item
}

// StarvedSlots returns the slots of the task that has been passed over too often
// since it did not fit, 0 when there is none. Next prefers it; Fleet.Reserve
// makes room for it.
func (w *WaitingTasks) StarvedSlots(pool string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	s, ok := w.pools[pool]
	if !ok {
		return 0
	}
	if n := s.starvedHead(); n != nil {
		return n.item.Task.Slots
	}
	return 0
}

// RecordRunTime corrects what a started task was charged to its team by the time that
// it ran; 0 takes the charge back. It must be called once for each task that
// Next returned.
func (w *WaitingTasks) RecordRunTime(t Task, ran time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.poolQueue(t.Pool).settleCharge(t, ran, w.shares)
}

// RemoveExpired takes out and returns the tasks whose deadline has passed.
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

func (w *WaitingTasks) poolQueue(pool string) *poolQueue {
	s, ok := w.pools[pool]
	if !ok {
		s = newPoolQueue()
		w.pools[pool] = s
	}
	return s
}
