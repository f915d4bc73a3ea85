package scheduler

import (
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// DefaultFaultLimit is the number of consecutive failed starts, each of
	// another task, after which a worker is set aside.
	DefaultFaultLimit = 4
	// DefaultQuarantine is the time for which a worker is first set aside.
	DefaultQuarantine = 30 * time.Second
	// maxQuarantine bounds the time, which doubles with each failed probation.
	maxQuarantine = 10 * time.Minute
	// DefaultQuarantineFraction is the largest fraction of a pool's workers set aside.
	DefaultQuarantineFraction = 0.25
)

// Endings of a task as they count for the health of its worker.
const (
	Neutral   HealthEffect = iota // says nothing about the worker
	Succeeded                     // the worker is sound
	Faulted                       // the worker or the task is at fault
)

type (
	// Fleet counts the slots of the workers on which this entry may start
	// work. It is safe for concurrent use.
	Fleet struct {
		mu                     sync.Mutex
		pools                  map[string]*pool
		workers                map[string]*worker
		faultLimit             int
		firstQuarantine        time.Duration
		maxQuarantinedFraction float64
		pickCount              uint64
		assert                 func(ok bool, format string, args ...any)
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
		Effect HealthEffect
	}

	// HealthEffect is how a task's end counts for the health of its worker.
	HealthEffect int

	// Load is the use of this entry's workers in one pool.
	Load struct {
		Pool        string
		Slots       int // slots of workers that take work
		Running     int // slots in use on all workers, also closed ones
		Workers     int // workers that take work
		Quarantined int // workers set aside
		Largest     int // slots of the largest worker, in use or not
	}

	// FleetOption changes a setting of a Fleet.
	FleetOption func(*Fleet)

	pool struct {
		workers     []*worker // sorted by identity
		reserved    *worker   // collects free slots for a large task, or nil
		reservedFor int       // slots of that task
	}

	worker struct {
		Worker
		enabled  bool
		removed  bool
		running  int
		lastPick uint64 // order of the last pick
		health   health
	}
)

// WithFaultLimit sets the consecutive failed starts of different tasks after which
// a worker is set aside, and the time of its first probation.
func WithFaultLimit(n int, quarantine time.Duration) FleetOption {
	return func(f *Fleet) {
		f.faultLimit = n
		f.firstQuarantine = quarantine
	}
}

// WithQuarantineFraction sets the largest fraction of a pool's workers set aside.
func WithQuarantineFraction(fraction float64) FleetOption {
	return func(f *Fleet) { f.maxQuarantinedFraction = fraction }
}

// WithAssert sets the function that is told each invariant checked.
func WithAssert(assert func(ok bool, format string, args ...any)) FleetOption {
	return func(f *Fleet) { f.assert = assert }
}

// NewFleet returns a fleet without workers.
func NewFleet(opts ...FleetOption) *Fleet {
	f := &Fleet{
		pools:                  make(map[string]*pool),
		workers:                make(map[string]*worker),
		faultLimit:             DefaultFaultLimit,
		firstQuarantine:        DefaultQuarantine,
		maxQuarantinedFraction: DefaultQuarantineFraction,
		assert:                 panicUnless,
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
		f.removeFromPool(known)
		known.Pool = w.Pool
		f.pool(w.Pool).add(known)
	}
	known.Worker = w
	known.enabled = true
	known.removed = false
}

// Close stops starts on the worker. What runs there goes on.
func (f *Fleet) DisableWorker(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if w, ok := f.workers[id]; ok {
		w.enabled = false
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
	w.enabled = false
	w.removed = true
	f.removeIfIdle(w)
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

// PickWorker reserves slots on the worker of the pool that takes work, has the most
// free slots and is not to be avoided. It reports false when none fits.
func (f *Fleet) PickWorker(pool string, slots int, avoid map[string]bool) (Worker, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var best *worker
	for _, w := range f.pool(pool).workers {
		if f.startableSlots(w) < slots || avoid[w.ID] {
			continue
		}
		if best == nil || f.isBetterPick(slots, w, best) {
			best = w
		}
	}
	if best == nil {
		return Worker{}, false
	}
	f.pickCount++
	best.lastPick = f.pickCount
	best.running += slots
	f.assert(best.running <= best.Slots, "fleet: worker %s runs %d of %d slots", best.ID, best.running, best.Slots)
	return best.Worker, true
}

// ReleaseSlots returns slots that Pick has reserved and counts the outcome for the
// worker's health.
func (f *Fleet) ReleaseSlots(id string, slots int, o Outcome) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w, ok := f.workers[id]
	if !ok {
		return
	}
	f.assert(slots <= w.running, "fleet: %d slots freed on worker %s, %d in use", slots, id, w.running)
	w.running = max(0, w.running-slots)
	f.recordOutcome(w, o)
	f.removeIfIdle(w)
}

// MaxFreeSlots returns the most slots that a single task could take on a worker
// of the pool now.
func (f *Fleet) MaxFreeSlots(pool string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	most := 0
	for _, w := range f.pool(pool).workers {
		most = max(most, f.startableSlots(w))
	}
	return most
}

// TotalFreeSlots returns the free slots of all workers of the pool.
func (f *Fleet) TotalFreeSlots(pool string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	total := 0
	for _, w := range f.pool(pool).workers {
		total += f.startableSlots(w)
	}
	return total
}

// FreeSlotsByWorker returns the free slots of each worker of the pool that takes
// work, full ones included.
func (f *Fleet) FreeSlotsByWorker(pool string) map[string]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	free := make(map[string]int)
	for _, w := range f.pool(pool).workers {
		if w.enabled && w.health.acceptsWork(w.running, time.Now()) {
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

// ReserveWorker keeps a worker of the pool from smaller tasks until it has the given
// free slots for a large one. 0 ends the reservation.
func (f *Fleet) ReserveWorker(pool string, slots int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := f.pool(pool)
	if slots > 0 && p.reserved != nil && p.reserved.enabled && p.reserved.Pool == pool && p.reserved.Slots >= slots {
		p.reservedFor = slots
		return
	}
	p.reserved, p.reservedFor = nil, slots
	if slots == 0 {
		return
	}
	for _, w := range p.workers {
		if w.Slots >= slots && f.startableSlots(w) > 0 && (p.reserved == nil || f.hasMoreRoom(w, p.reserved)) {
			p.reserved = w
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

// startableSlots returns the slots that may be started on w now: none on the worker
// kept for a large task until there is room for it.
func (f *Fleet) startableSlots(w *worker) int {
	if !w.enabled || !w.health.acceptsWork(w.running, time.Now()) {
		return 0
	}
	free := max(0, w.Slots-w.running)
	if f.isReserved(w) && free < f.pool(w.Pool).reservedFor {
		return 0
	}
	return free
}

func (f *Fleet) isReserved(w *worker) bool {
	return f.pool(w.Pool).reserved == w
}

// hasMoreRoom reports whether w is picked rather than v: the one with more free
// slots, then the one picked longer ago.
func (f *Fleet) hasMoreRoom(w, v *worker) bool {
	if a, b := w.Slots-w.running, v.Slots-v.running; a != b {
		return a > b
	}
	return w.lastPick < v.lastPick
}

// isBetterPick reports whether w is picked rather than v for the given slots. The
// worker kept for a large task comes first for that and last for others.
func (f *Fleet) isBetterPick(slots int, w, v *worker) bool {
	if f.isReserved(w) || f.isReserved(v) {
		large := slots >= f.pool(w.Pool).reservedFor
		return f.isReserved(w) == large
	}
	return f.hasMoreRoom(w, v)
}

func (f *Fleet) removeIfIdle(w *worker) {
	if w.removed && w.running == 0 {
		f.removeFromPool(w)
		delete(f.workers, w.ID)
	}
}

func (f *Fleet) removeFromPool(w *worker) {
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
		if !w.enabled {
			continue
		}
		load.Slots += w.Slots
		load.Workers++
		load.Largest = max(load.Largest, w.Slots)
		if w.health.isQuarantined() {
			load.Quarantined++
		}
	}
	return load
}
