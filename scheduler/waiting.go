package scheduler

import (
	"sync"
	"time"

	"github.com/coltsfootlever/coltsfootlever/classifier"
)

const (
	// DefaultBound is the most tasks that wait in a queue without a bound.
	DefaultBound = 1024
	// backgroundEvery is the number of starts of a team of which one goes to
	// background work when both classes wait.
	backgroundEvery = 8
	// lookAhead is the number of tasks behind the head of a queue that may
	// start before it when the head does not fit.
	lookAhead = 16
	// maxBypass is the number of times that a head that does not fit is passed
	// over before its queue waits for it and a worker is kept free for it.
	maxBypass = 64
)

type (
	// Waiting holds the tasks that wait in one entry and decides which starts
	// next. It is safe for concurrent use.
	Waiting struct {
		mu     sync.Mutex
		pools  map[string]*shelf
		nodes  map[string]*node // by task
		queues map[string]int   // tasks waiting by queue
		bounds map[string]int   // by queue
		shares map[string]float64
		dues   dueHeap
		lines  []*line // scratch space of Next
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

// NewWaiting returns an empty set of waiting tasks.
func NewWaiting() *Waiting {
	return &Waiting{
		pools:  make(map[string]*shelf),
		nodes:  make(map[string]*node),
		queues: make(map[string]int),
		bounds: make(map[string]int),
		shares: make(map[string]float64),
	}
}

// SetBounds replaces the bounds of the queues, in tasks. Tasks above a lowered
// bound stay.
func (w *Waiting) SetBounds(bounds map[string]int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.bounds = make(map[string]int, len(bounds))
	for queue, n := range bounds {
		w.bounds[queue] = n
	}
}

// SetShares replaces the weights of the teams in pools without weights of
// their own.
func (w *Waiting) SetShares(shares map[string]float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.shares = make(map[string]float64, len(shares))
	for team, share := range shares {
		w.shares[team] = share
	}
	w.reweigh()
}

// SetWeights replaces the weights of the teams in one pool. A nil map brings
// back the shares.
func (w *Waiting) SetWeights(pool string, weights map[string]float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.shelf(pool).setWeights(weights)
	w.reweigh()
}

func (w *Waiting) reweigh() {
	for _, s := range w.pools {
		s.reweigh(w.shares)
	}
}

// Add lets a task wait. It refuses with classifier.QueueFull when the task's
// queue has reached its bound, and with classifier.Repeated when a task of the
// same identity waits already.
func (w *Waiting) Add(item Item) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	t := item.Task
	if _, ok := w.nodes[t.ID]; ok {
		return classifier.Refuse(classifier.Repeated, "task %s waits already", t.ID)
	}
	bound, ok := w.bounds[t.Queue]
	if !ok {
		bound = DefaultBound
	}
	if w.queues[t.Queue] >= bound {
		err := classifier.Refuse(classifier.QueueFull, "queue %s has its bound of %d requests waiting: come back later", t.Queue, bound)
		return err.WithRetryAfter(time.Second)
	}
	n := &node{item: item}
	n.item.Task.Slots = max(1, t.Slots)
	w.nodes[t.ID] = n
	w.queues[t.Queue]++
	w.dues.add(n)
	w.shelf(t.Pool).push(n, w.shares)
	return nil
}

// Cancel takes a waiting task out. It reports false when the task does not
// wait here. The cost does not depend on the number of waiting tasks.
func (w *Waiting) Cancel(id string) (Item, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	n, ok := w.nodes[id]
	if !ok {
		return Item{}, false
	}
	w.drop(n)
	return n.item, true
}

// Next takes out the task to start next in the pool on a worker with the given
// free slots. It asks can in order of preference whether the team may run the
// slots, and takes the first task for which can reports true, so can may
// reserve what it is asked for. can must not call Waiting.
func (w *Waiting) Next(pool string, freeSlots int, can func(team string, n int) bool) (Item, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s, ok := w.pools[pool]
	if !ok || freeSlots < 1 {
		return Item{}, false
	}
	if n := s.starved(); n != nil && n.item.Task.Slots <= freeSlots && can(n.item.Task.Team, n.item.Task.Slots) {
		return w.start(s, n), true
	}
	s.skipped = s.skipped[:0]
	order := lineHeap(s.backlogged(w.lines[:0]))
	w.lines = order
	order.init()
	for len(order) > 0 {
		l := order.pop()
		n := l.candidate(s, freeSlots)
		if n == nil || !can(l.team, n.item.Task.Slots) {
			continue
		}
		s.passOver()
		return w.start(s, n), true
	}
	return Item{}, false
}

func (w *Waiting) start(s *shelf, n *node) Item {
	s.start(s.lines[n.item.Task.Team], n)
	w.drop(n)
	return n.item
}

// Starved returns the slots of the task that has been passed over too often
// since it did not fit, 0 when there is none. Next prefers it; Fleet.Reserve
// makes room for it.
func (w *Waiting) Starved(pool string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	s, ok := w.pools[pool]
	if !ok {
		return 0
	}
	if n := s.starved(); n != nil {
		return n.item.Task.Slots
	}
	return 0
}

// Done corrects what a started task was charged to its team by the time that
// it ran; 0 takes the charge back. It must be called once for each task that
// Next returned.
func (w *Waiting) Done(t Task, ran time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.shelf(t.Pool).settle(t, ran, w.shares)
}

// Expire takes out and returns the tasks whose deadline has passed.
func (w *Waiting) Expire(now time.Time) []Item {
	w.mu.Lock()
	defer w.mu.Unlock()
	var expired []Item
	for {
		n := w.dues.due(now)
		if n == nil {
			return expired
		}
		w.drop(n)
		expired = append(expired, n.item)
	}
}

func (w *Waiting) drop(n *node) {
	t := &n.item.Task
	n.list.remove(n)
	delete(w.nodes, t.ID)
	w.queues[t.Queue]--
	if w.queues[t.Queue] == 0 {
		delete(w.queues, t.Queue)
	}
	w.shelf(t.Pool).dropped(n)
	w.dues.drop(n)
}

func (w *Waiting) shelf(pool string) *shelf {
	s, ok := w.pools[pool]
	if !ok {
		s = newShelf()
		w.pools[pool] = s
	}
	return s
}
