package scheduler

import (
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// DefaultFaultLimit is the number of different tasks that must fail on a
	// worker in a row before the worker is quarantined.
	DefaultFaultLimit = 4
	// DefaultQuarantine is the duration of the first quarantine of a worker.
	DefaultQuarantine = 30 * time.Second
	// maxQuarantine limits the duration, which doubles each time that the trial
	// task after a quarantine fails.
	maxQuarantine = 10 * time.Minute
	// DefaultQuarantineFraction is the largest fraction of a pool's workers in
	// quarantine at the same time.
	DefaultQuarantineFraction = 0.25
)

// How the end of a task counts for the health of its worker.
const (
	Neutral   HealthEffect = iota // says nothing about the worker
	Succeeded                     // the worker is healthy
	Faulted                       // the worker or the task is faulty
)

type (
	// Fleet tracks the workers on which this entry may start tasks, the slots
	// in use on them, and their health. It is safe for concurrent use.
	Fleet struct {
		mu                     sync.Mutex
		pools                  map[string]*pool
		workers                map[string]*worker
		faultLimit             int           // see WithFaultLimit
		firstQuarantine        time.Duration // see WithFaultLimit
		maxQuarantinedFraction float64       // see WithQuarantineFraction
		pickCount              uint64        // number of calls of AcquireSlots that found a worker
		assert                 func(ok bool, format string, args ...any)
	}

	// Worker describes one instance that runs tasks.
	Worker struct {
		ID      string
		Address string // IP address and port
		Pool    string
		Zone    string
		Rack    string
		Slots   int
	}

	// ZoneUsage is what runs on this entry's workers in one zone.
	ZoneUsage struct {
		Workers int `json:"workers"` // workers that run tasks
		Tasks   int `json:"tasks"`   // tasks that run, or may run until their leases expire
	}

	// Outcome is the end of a task on a worker.
	Outcome struct {
		Task   string
		Effect HealthEffect
	}

	// HealthEffect is how the end of a task counts for the health of its
	// worker.
	HealthEffect int

	// Load is the usage of this entry's workers in one pool.
	Load struct {
		Pool        string
		Slots       int // slots of enabled workers
		Running     int // slots in use on all workers, including disabled ones
		Workers     int // number of enabled workers
		Quarantined int // number of enabled workers in quarantine or on probation
		Largest     int // slots of the largest enabled worker, whether in use or free
	}

	// FleetOption sets an option of a Fleet.
	FleetOption func(*Fleet)

	pool struct {
		workers     []*worker // sorted by ID
		reserved    *worker   // worker that smaller tasks must not use, or nil; see ReserveWorker
		reservedFor int       // slots of the large task that reserved is kept free for
	}

	worker struct {
		Worker
		enabled  bool   // new tasks may start on it
		removed  bool   // to be deleted as soon as no task runs on it
		running  int    // slots in use
		tasks    int    // tasks that use them
		lastPick uint64 // value of pickCount when the worker was last picked
		health   health
	}
)

// WithFaultLimit sets the number of different tasks that must fail on a worker
// in a row before it is quarantined, and the duration of its first quarantine.
func WithFaultLimit(n int, quarantine time.Duration) FleetOption {
	return func(f *Fleet) {
		f.faultLimit = n
		f.firstQuarantine = quarantine
	}
}

// WithQuarantineFraction sets the largest fraction of a pool's workers in
// quarantine at the same time.
func WithQuarantineFraction(fraction float64) FleetOption {
	return func(f *Fleet) { f.maxQuarantinedFraction = fraction }
}

// WithAssert sets the function that receives the result of each invariant
// check. By default a violated invariant panics.
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

// EnableWorker allows new tasks on the worker, and adds the worker if it is not
// known. The description of a known worker is replaced; tasks that run on it
// continue.
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

// DisableWorker allows no new tasks on the worker. Tasks that run on it
// continue.
func (f *Fleet) DisableWorker(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if w, ok := f.workers[id]; ok {
		w.enabled = false
	}
}

// RemoveWorker disables the worker and deletes it as soon as no task runs on
// it.
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

// SlotsInUse returns the number of slots in use on the worker.
func (f *Fleet) SlotsInUse(id string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if w, ok := f.workers[id]; ok {
		return w.running
	}
	return 0
}

// Worker returns the description of a worker. It returns false when the worker
// is not known.
func (f *Fleet) Worker(id string) (Worker, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if w, ok := f.workers[id]; ok {
		return w.Worker, true
	}
	return Worker{}, false
}

// AcquireSlots reserves slots on the worker of the pool with the most free
// slots. It ignores workers in avoid and workers that accept no tasks. It
// returns false when no worker has enough free slots.
func (f *Fleet) AcquireSlots(pool string, slots int, avoid map[string]bool) (Worker, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var best *worker
	for _, w := range f.pool(pool).workers {
		if f.startableSlots(w) < slots || avoid[w.ID] {
			continue
		}
		if best == nil || f.isBetterWorker(slots, w, best) {
			best = w
		}
	}
	if best == nil {
		return Worker{}, false
	}
	f.pickCount++
	best.lastPick = f.pickCount
	best.running += slots
	best.tasks++
	f.assert(best.running <= best.Slots, "fleet: worker %s runs tasks of %d slots but has only %d", best.ID, best.running, best.Slots)
	return best.Worker, true
}

// ReleaseSlots releases slots that AcquireSlots has reserved, and records the
// outcome of the task for the worker's health.
func (f *Fleet) ReleaseSlots(id string, slots int, o Outcome) {
	f.mu.Lock()
	defer f.mu.Unlock()
	w, ok := f.workers[id]
	if !ok {
		return
	}
	f.assert(slots <= w.running, "fleet: %d slots released on worker %s, but only %d in use", slots, id, w.running)
	w.running = max(0, w.running-slots)
	w.tasks = max(0, w.tasks-1)
	f.recordOutcome(w, o)
	f.removeIfIdle(w)
}

// MaxFreeSlots returns the largest number of slots that one task could take on
// a worker of the pool now.
func (f *Fleet) MaxFreeSlots(pool string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	most := 0
	for _, w := range f.pool(pool).workers {
		most = max(most, f.startableSlots(w))
	}
	return most
}

// TotalFreeSlots returns the sum of the free slots of all workers of the pool.
func (f *Fleet) TotalFreeSlots(pool string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	total := 0
	for _, w := range f.pool(pool).workers {
		total += f.startableSlots(w)
	}
	return total
}

// FreeSlotsByWorker returns the free slots of each worker of the pool that
// accepts tasks, including workers with none.
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

// Loads returns the usage of each pool that has workers, sorted by pool.
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

// UsageByZone returns what runs in each zone in which any task runs.
func (f *Fleet) UsageByZone() map[string]ZoneUsage {
	f.mu.Lock()
	defer f.mu.Unlock()
	zones := map[string]ZoneUsage{}
	for _, w := range f.workers {
		if w.running == 0 {
			continue
		}
		u := zones[w.Zone]
		u.Workers++
		u.Tasks += w.tasks
		zones[w.Zone] = u
	}
	return zones
}

// ReserveWorker selects a worker of the pool that takes no smaller tasks until
// it has the given number of free slots for a large task. A number of 0 ends
// the reservation.
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
		if w.Slots >= slots && f.startableSlots(w) > 0 && (p.reserved == nil || f.hasMoreFreeSlots(w, p.reserved)) {
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

// startableSlots returns the slots of w that new tasks may use now. It returns
// 0 for a reserved worker until the free slots suffice for the large task.
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

// isReserved reports whether w is the reserved worker of its pool.
func (f *Fleet) isReserved(w *worker) bool {
	return f.pool(w.Pool).reserved == w
}

// hasMoreFreeSlots reports whether w has more free slots than v, or as many and
// was picked longer ago.
func (f *Fleet) hasMoreFreeSlots(w, v *worker) bool {
	if a, b := w.Slots-w.running, v.Slots-v.running; a != b {
		return a > b
	}
	return w.lastPick < v.lastPick
}

// isBetterWorker reports whether to pick w rather than v for a task with the
// given slots. The reserved worker is preferred for the large task and avoided
// for smaller ones.
func (f *Fleet) isBetterWorker(slots int, w, v *worker) bool {
	if f.isReserved(w) || f.isReserved(v) {
		large := slots >= f.pool(w.Pool).reservedFor
		return f.isReserved(w) == large
	}
	return f.hasMoreFreeSlots(w, v)
}

// removeIfIdle deletes a worker marked as removed when no task runs on it.
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

// add inserts the worker in order of ID.
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
