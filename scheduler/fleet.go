package scheduler

import (
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// DefaultFaults is the number of consecutive failed starts, each of
	// another task, after which a worker is set aside.
	DefaultFaults = 4
	// DefaultProbation is the time for which a worker is first set aside.
	DefaultProbation = 30 * time.Second
	// maxProbation bounds the time, which doubles with each failed probation.
	maxProbation = 10 * time.Minute
	// DefaultAside is the largest fraction of a pool's workers set aside.
	DefaultAside = 0.25
)

// Endings of a task as they count for the health of its worker.
const (
	Neutral   Ending = iota // says nothing about the worker
	Succeeded               // the worker is sound
	Faulted                 // the worker or the task is at fault
)

type (
	// Fleet counts the slots of the workers on which this entry may start
	// work. It is safe for concurrent use.
	Fleet struct {
		mu        sync.Mutex
		pools     map[string]*pool
		workers   map[string]*worker
		faults    int
		probation time.Duration
		aside     float64
		picks     uint64
		assert    func(ok bool, format string, args ...any)
	}

	// Worker is one instance that runs tasks.
	Worker struct {
		ID      string
		Address string // IP number and port
		Pool    string
		Zone    string
		Rack    string
		Slots   int
	}

	// Outcome tells how a task ended on a worker.
	Outcome struct {
		Task   string
		Ending Ending
	}

	// Ending is how a task's end counts for the health of its worker.
	Ending int

	// Load is the use of this entry's workers in one pool.
	Load struct {
		Pool    string
		Slots   int // slots of workers that take work
		Running int // slots in use on all workers, also closed ones
		Workers int // workers that take work
		Aside   int // workers set aside
		Largest int // slots of the largest worker, in use or not
	}

	// FleetOption changes a setting of a Fleet.
	FleetOption func(*Fleet)

	pool struct {
		workers []*worker // sorted by identity
		kept    *worker   // collects free slots for a large task, or nil
		keep    int       // slots of that task
	}

	worker struct {
		Worker
		open    bool
		removed bool
		running int
		picked  uint64 // order of the last pick
		health  health
	}
)

// WithFaults sets the consecutive failed starts of different tasks after which
// a worker is set aside, and the time of its first probation.
func WithFaults(n int, probation time.Duration) FleetOption {
	return func(f *Fleet) {
		f.faults = n
		f.probation = probation
	}
}

// WithAside sets the largest fraction of a pool's workers set aside.
func WithAside(fraction float64) FleetOption {
	return func(f *Fleet) { f.aside = fraction }
}

// WithAssert sets the function that is told each invariant checked.
func WithAssert(assert func(ok bool, format string, args ...any)) FleetOption {
	return func(f *Fleet) { f.assert = assert }
}

// NewFleet returns a fleet without workers.
func NewFleet(opts ...FleetOption) *Fleet {
	f := &Fleet{
		pools:     make(map[string]*pool),
		workers:   make(map[string]*worker),
		faults:    DefaultFaults,
		probation: DefaultProbation,
		aside:     DefaultAside,
		assert:    panicUnless,
	}
	for _, opt := range opts {
		opt(f)
	}
	return f
}

// Open lets a worker take work. For a known worker it takes over the new
// description; what runs there goes on.
func (f *Fleet) EnableWorker(w Worker) {
	f.mu.Lock()
	defer f.mu.Unlock()
	known, ok := f.workers[w.ID]
	if !ok {
		known = &worker{Worker: w}
		f.workers[w.ID] = known
		f.pool(w.Pool).add(known)
	}
	if known.Pool != w.Pool {
		f.leavePool(known)
		known.Pool = w.Pool
		f.pool(w.Pool).add(known)
	}
	known.Worker = w
	known.open = true
	known.removed = false
}

// Close stops starts on the worker. What runs there goes on.
func (f *Fleet) DisableWorker(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if w, ok := f.workers[id]; ok {
		w.open = false
	}
}

// Remove forgets the worker as soon as nothing runs there.
func (f *Fleet) RemoveWorker(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w, ok := f.workers[id]
	if !ok {
		return
	}
	w.open = false
	w.removed = true
	f.forgetIdle(w)
}

// Running returns the slots in use on the worker.
func (f *Fleet) Running(id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if w, ok := f.workers[id]; ok {
		return w.running
	}
	return 0
}

// Worker returns the description of a worker.
func (f *Fleet) Worker(id string) (Worker, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if w, ok := f.workers[id]; ok {
		return w.Worker, true
	}
	return Worker{}, false
}

// Pick reserves slots on the worker of the pool that takes work, has the most
// free slots and is not to be avoided. It reports false when none fits.
func (f *Fleet) Pick(pool string, slots int, avoid map[string]bool) (Worker, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var best *worker
	for _, w := range f.pool(pool).workers {
		if f.freeOn(w) < slots || avoid[w.ID] {
			continue
		}
		if best == nil || f.prefers(slots, w, best) {
			best = w
		}
	}
	if best == nil {
		return Worker{}, false
	}
	f.picks++
	best.picked = f.picks
	best.running += slots
	f.assert(best.running <= best.Slots, "fleet: worker %s runs %d of %d slots", best.ID, best.running, best.Slots)
	return best.Worker, true
}

// Free returns slots that Pick has reserved and counts the outcome for the
// worker's health.
func (f *Fleet) Free(id string, slots int, o Outcome) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w, ok := f.workers[id]
	if !ok {
		return
	}
	f.assert(slots <= w.running, "fleet: %d slots freed on worker %s, %d in use", slots, id, w.running)
	w.running = max(0, w.running-slots)
	f.judge(w, o)
	f.forgetIdle(w)
}

// FreeSlots returns the most slots that a single task could take on a worker
// of the pool now.
func (f *Fleet) FreeSlots(pool string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	most := 0
	for _, w := range f.pool(pool).workers {
		most = max(most, f.freeOn(w))
	}
	return most
}

// TotalFree returns the free slots of all workers of the pool.
func (f *Fleet) TotalFree(pool string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	total := 0
	for _, w := range f.pool(pool).workers {
		total += f.freeOn(w)
	}
	return total
}

// FreeByWorker returns the free slots of each worker of the pool that takes
// work, full ones included.
func (f *Fleet) FreeByWorker(pool string) map[string]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	free := make(map[string]int)
	for _, w := range f.pool(pool).workers {
		if w.open && w.health.takes(w.running, time.Now()) {
			free[w.ID] = w.Slots - w.running
		}
	}
	return free
}

// Loads returns the use of each pool, sorted by pool.
func (f *Fleet) Loads() []Load {
	f.mu.Lock()
	defer f.mu.Unlock()
	loads := make([]Load, 0, len(f.pools))
	for name, p := range f.pools {
		if len(p.workers) > 0 {
			loads = append(loads, p.load(name))
		}
	}
	slices.SortFunc(loads, func(a, b Load) int { return strings.Compare(a.Pool, b.Pool) })
	return loads
}

// Reserve keeps a worker of the pool from smaller tasks until it has the given
// free slots for a large one. 0 ends the reservation.
func (f *Fleet) Reserve(pool string, slots int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.pool(pool)
	if slots > 0 && p.kept != nil && p.kept.open && p.kept.Pool == pool && p.kept.Slots >= slots {
		p.keep = slots
		return
	}
	p.kept, p.keep = nil, slots
	if slots == 0 {
		return
	}
	for _, w := range p.workers {
		if w.Slots >= slots && f.freeOn(w) > 0 && (p.kept == nil || f.before(w, p.kept)) {
			p.kept = w
		}
	}
}

func (f *Fleet) pool(name string) *pool {
	p, ok := f.pools[name]
	if !ok {
		p = &pool{}
		f.pools[name] = p
	}
	return p
}

// freeOn returns the slots that may be started on w now: none on the worker
// kept for a large task until there is room for it.
func (f *Fleet) freeOn(w *worker) int {
	if !w.open || !w.health.takes(w.running, time.Now()) {
		return 0
	}
	free := max(0, w.Slots-w.running)
	if f.isKept(w) && free < f.pool(w.Pool).keep {
		return 0
	}
	return free
}

func (f *Fleet) isKept(w *worker) bool {
	return f.pool(w.Pool).kept == w
}

// before reports whether w is picked rather than v: the one with more free
// slots, then the one picked longer ago.
func (f *Fleet) before(w, v *worker) bool {
	if a, b := w.Slots-w.running, v.Slots-v.running; a != b {
		return a > b
	}
	return w.picked < v.picked
}

// prefers reports whether w is picked rather than v for the given slots. The
// worker kept for a large task comes first for that and last for others.
func (f *Fleet) prefers(slots int, w, v *worker) bool {
	if f.isKept(w) || f.isKept(v) {
		large := slots >= f.pool(w.Pool).keep
		return f.isKept(w) == large
	}
	return f.before(w, v)
}

func (f *Fleet) forgetIdle(w *worker) {
	if w.removed && w.running == 0 {
		f.leavePool(w)
		delete(f.workers, w.ID)
	}
}

func (f *Fleet) leavePool(w *worker) {
	p := f.pool(w.Pool)
	p.workers = slices.DeleteFunc(p.workers, func(v *worker) bool { return v == w })
}

func (p *pool) add(w *worker) {
	i, _ := slices.BinarySearchFunc(p.workers, w.ID, func(v *worker, id string) int {
		return strings.Compare(v.ID, id)
	})
	p.workers = slices.Insert(p.workers, i, w)
}

func (p *pool) load(name string) Load {
	load := Load{Pool: name}
	for _, w := range p.workers {
		load.Running += w.running
		if !w.open {
			continue
		}
		load.Slots += w.Slots
		load.Workers++
		load.Largest = max(load.Largest, w.Slots)
		if w.health.isAside() {
			load.Aside++
		}
	}
	return load
}
