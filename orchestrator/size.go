package orchestrator

import (
	"time"

	"github.com/coltsfootlever/coltsfootlever/modeler"
	"github.com/coltsfootlever/coltsfootlever/sizer"
)

const (
	milliCoresPerCore              = 1000.0                 // thousandths of a core
	loadLogInterval                = time.Second            // a line for each pool
	estimatePriorSeconds           = 10.0                   // weight of the assumption that estimates are right
	maxEstimateFactor              = 3.0                    // estimates that are further off are not believed to be so for all tasks
	noRoomTime                     = 400 * time.Millisecond // two rounds of planned work
	defaultInstanceOrdersPerSecond = 64.0                   // a second, what the platform takes at its smaller sites
	moveShareOfOrders              = 0.8                    // of the orders that the platform takes; upkeep and repeated orders need the rest
	joinDelayAfterMove             = 500 * time.Millisecond // from the end of a move to the first task: two lists and a look
)

type (
	// demand is what tasks take or want of a pool, in cores.
	poolDemand struct {
		longRunning, running, waiting, capacity float64
		minWorkers                              int // workers over which some lasting step has to be spread
	}

	// poolHistory is what sizing a pool has to remember.
	poolHistory struct {
		arrivals       []sizer.Arrival
		oversizedSince time.Time // since when the pool has had more than it wants
		lastNoRoom     time.Time // when a lasting task last found no worker
	}
)

// asked sums up demand and capacity by pool.
func (e *Engine) demandByPool() map[string]poolDemand {
	byPool := make(map[string]poolDemand)
	for _, w := range e.workersByID {
		if w.listed && w.reachable && !w.Draining {
			d := byPool[w.Pool]
			d.addWorker(w)
			byPool[w.Pool] = d
		}
	}
	now, m := time.Now(), e.cfg.Manifest()
	for _, j := range e.jobs {
		q := m.Queue(j.Queue)
		if q == nil || j.state.IsFinal() {
			continue
		}
		d := byPool[q.Pool]
		for _, o := range j.occurrences {
			if j.Repeat == 0 || !now.Before(o.due) {
				d.addWaitingTasks(o)
			}
		}
		byPool[q.Pool] = d
	}
	return byPool
}

// addWorker adds a worker with what it runs.
func (d *poolDemand) addWorker(w *worker) {
	d.capacity += float64(w.Capacity.CPU) / milliCoresPerCore
	for _, t := range w.tasks {
		cores := float64(t.step.ReservedResources().CPU) / milliCoresPerCore
		if t.step.LongRunning {
			d.longRunning += cores
		} else {
			d.running += cores
		}
	}
}

// addWaiting adds the tasks of an occurrence that could run.
func (d *poolDemand) addWaitingTasks(o *occurrence) {
	for _, s := range o.steps {
		if s.LongRunning && s.MaxPerWorker > 0 {
			d.minWorkers = max(d.minWorkers, (s.Count+s.MaxPerWorker-1)/s.MaxPerWorker)
		}
		if s.waitingTasks > 0 && s.dependenciesDone() {
			d.waiting += float64(s.waitingTasks) * float64(s.ReservedResources().CPU) / milliCoresPerCore
		}
	}
}

// noteLoad logs what each pool has to do, once a second.
func (e *Engine) logPoolLoads(now time.Time) {
	if now.Before(e.planner.nextLoadLog) {
		return
	}
	e.planner.nextLoadLog = now.Add(loadLogInterval)
	instances := make(map[string]int)
	for _, i := range e.planner.instances {
		instances[i.Pool]++
	}
	for pool, d := range e.demandByPool() {
		e.log.Info("pool load", "pool", pool, "instances", instances[pool], "capacity", d.capacity, "lasting", d.longRunning, "running", d.running, "waiting", d.waiting,
			"rate", e.forecastRate(e.poolHistoryOf(pool), now))
	}
}

// arrive notes the work that a new job brings to its pool.
func (e *Engine) recordArrival(j *job, now time.Time) {
	m := e.cfg.Manifest()
	if m == nil || j.IsLongRunning() || now.Sub(j.Accepted) > sizer.Window {
		return
	}
	q := m.Queue(j.Queue)
	if q == nil {
		return
	}
	h := e.poolHistoryOf(q.Pool)
	h.arrivals = append(h.arrivals, sizer.Arrival{At: now, Work: j.occurrenceWork() * e.estimateFactor(j.Queue)})
}

// work is the estimated work of one occurrence, in core-seconds.
func (j *job) occurrenceWork() float64 {
	work := 0.0
	for _, s := range j.occurrences[0].steps {
		work += float64(s.Count) * s.taskWork()
	}
	return work
}

// noteDuration compares a task's run with its estimate.
func (e *Engine) recordTaskDuration(t *task, actual time.Duration) {
	queue := t.step.occurrence.job.Queue
	d := e.durations[queue]
	if t.step.Estimate <= 0 {
		return
	}
	e.durations[queue] = durationSums{d.actualSeconds + actual.Seconds(), d.estimatedSeconds + t.step.Estimate.Seconds()}
}

// durations sums up the runs of a queue and their estimates, in seconds.
type durationSums struct {
	actualSeconds, estimatedSeconds float64
}

// calibration is the factor from estimated to real durations of a queue.
func (e *Engine) estimateFactor(queue string) float64 {
	d := e.durations[queue]
	return min(maxEstimateFactor, max(1/maxEstimateFactor, (d.actualSeconds+estimatePriorSeconds)/(d.estimatedSeconds+estimatePriorSeconds)))
}

// relativeSize is the work of a job in units of the mean of its queue.
func (e *Engine) sizeRelativeToQueueMean(j *job, q *modeler.Queue) float64 {
	m := e.meanJobWork[q.Name]
	if m.count == 0 || m.sum == 0 {
		return 1
	}
	return j.occurrenceWork() / (m.sum / m.count)
}

// meanWork averages the work of a queue's jobs over the term.
type workSum struct {
	sum, count float64
}

func (e *Engine) addToQueueMean(j *job) {
	m := e.meanJobWork[j.Queue]
	e.meanJobWork[j.Queue] = workSum{m.sum + j.occurrenceWork(), m.count + 1}
}

func (e *Engine) poolHistoryOf(pool string) *poolHistory {
	h := e.planner.poolHistories[pool]
	if h == nil {
		h = &poolHistory{}
		e.planner.poolHistories[pool] = h
	}
	return h
}

// rate is the work that is expected to arrive a second once an instance that is
// ordered now has come, in cores.
func (e *Engine) forecastRate(h *poolHistory, now time.Time) float64 {
	h.arrivals = sizer.Recent(h.arrivals, now)
	return sizer.Forecast(h.arrivals, now, e.cfg.MoveTime+joinDelayAfterMove)
}

// planMoves lets the pools follow their demand.
func (e *Engine) planMovesBetweenPools(now time.Time) {
	for _, move := range sizer.Plan(e.poolSizingInputs(now), e.maxMovesPerRound()) {
		e.startMoves(move, now)
	}
}

// movesPerRound is how many moves may begin in a round of planned work.
func (e *Engine) maxMovesPerRound() int {
	orders := e.cfg.InstanceOrdersPerSecond
	if orders == 0 {
		orders = defaultInstanceOrdersPerSecond
	}
	return max(1, int(moveShareOfOrders*orders*planRoundInterval.Seconds()))
}

// planMove chooses the instances of a move.
func (e *Engine) startMoves(move sizer.Move, now time.Time) {
	n := move.Count
	for _, i := range e.planner.instances {
		if n == 0 {
			return
		}
		if i.Pool == move.From && e.isMovable(i) {
			i.targetPool, i.wave = move.To, 0
			e.startPlan(i, movePlan, now)
			n--
		}
	}
}

// isMovable says whether an instance runs nothing and is planned for nothing.
func (e *Engine) isMovable(i *instance) bool {
	if i.plan != noPlan || i.State != modeler.InstanceUp {
		return false
	}
	for _, w := range e.allWorkersOn(i) {
		if len(w.tasks)+len(w.reservedFor) > 0 {
			return false
		}
	}
	w := e.currentWorkerOn(i)
	return w == nil && e.isSparePool(i.Pool) || w != nil && w.polled && !w.Draining
}

// counts says whether an instance serves its pool, now or as soon as it has
// moved. One that is to be maintained, or whose worker does not answer or
// drains, does not.
func (e *Engine) countsForPool(i *instance) bool {
	if i.State == modeler.InstanceDown || i.plan == maintenancePlan {
		return false
	}
	w := e.currentWorkerOn(i)
	return w == nil || i.plan == movePlan || !w.Draining && (!w.polled || w.reachable)
}

func (e *Engine) poolSizingInputs(now time.Time) []sizer.Pool {
	demands := e.demandByPool()
	index, hasIncomingMoves := make(map[string]int), make(map[string]bool)
	var pools []sizer.Pool
	for _, p := range e.cfg.Manifest().Pools {
		index[p.Name] = len(pools)
		d := demands[p.Name]
		pools = append(pools, sizer.Pool{
			Name: p.Name, Spare: p.Spare, Lasting: d.longRunning, Asked: d.running + d.waiting, Rate: e.forecastRate(e.poolHistoryOf(p.Name), now), Least: d.minWorkers,
		})
	}
	for _, i := range e.planner.instances {
		n, ok := index[i.Pool]
		if i.plan == movePlan {
			n, ok = index[i.targetPool]
		}
		if !ok {
			continue
		}
		p := &pools[n]
		hasIncomingMoves[p.Name] = hasIncomingMoves[p.Name] || i.plan == movePlan
		if e.countsForPool(i) {
			p.Instances++
		}
		p.Cores = max(p.Cores, float64(i.Capacity.CPU)/milliCoresPerCore)
		if e.isMovable(i) {
			p.Movable++
		}
	}
	for n := range pools {
		p := &pools[n]
		h := e.poolHistoryOf(p.Name)
		p.Stuck = now.Sub(h.lastNoRoom) < noRoomTime && !hasIncomingMoves[p.Name]
		if p.Spare || sizer.Wanted(*p) >= p.Instances {
			h.oversizedSince = now
		}
		if h.oversizedSince.IsZero() {
			h.oversizedSince = now
		}
		p.Calm = now.Sub(h.oversizedSince)
	}
	return pools
}
