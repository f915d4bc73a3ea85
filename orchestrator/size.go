package orchestrator

import (
	"slices"
	"time"

	"github.com/coltsfootlever/coltsfootlever/meter"
	"github.com/coltsfootlever/coltsfootlever/modeler"
	"github.com/coltsfootlever/coltsfootlever/sizer"
)

const (
	milliCoresPerCore              = 1000.0                 // CPU amounts are in thousandths of a core
	loadLogInterval                = time.Second            // between two log lines for each pool
	estimatePriorSeconds           = 10.0                   // weight of the initial assumption that estimates are exact
	maxEstimateFactor              = 3.0                    // larger deviations from the estimates are not assumed to apply to all tasks of a queue
	noRoomTime                     = 400 * time.Millisecond // two planning rounds
	defaultInstanceOrdersPerSecond = 64.0                   // limit on instance orders at the platform's smaller sites
	moveShareOfOrders              = 0.8                    // share of the permitted instance orders that moves may use; maintenance and repeated orders need the rest
	joinDelayAfterMove             = 500 * time.Millisecond // from the end of a move to the first task on the instance: two list reads and a poll
)

type (
	// poolDemand is the CPU capacity of a pool and the demand of its tasks, in
	// cores.
	poolDemand struct {
		longRunning, running, waiting, capacity float64
		minWorkers                              int // minimum number of workers over which some long-running step must be spread
	}

	// poolHistory is what must be remembered about a pool to size it.
	poolHistory struct {
		arrivals       []sizer.Arrival
		surges         sizer.Recurrence
		surgeExpected  bool      // a surge is expected before an instance ordered now would be ready
		oversizedSince time.Time // since when the pool has had more instances than it needs
		lastNoRoom     time.Time // when a long-running task last found no worker
	}
)

// demandByPool returns demand and capacity by pool.
func (e *Engine) demandByPool() map[string]poolDemand {
	byPool := make(map[string]poolDemand)
	for _, w := range e.workersByID {
		if w.listed && w.reachable && !w.Draining {
			d := byPool[w.Pool]
			d.addWorker(w)
			byPool[w.Pool] = d
		}
	}
	now, m := e.cfg.WallClock(), e.cfg.Manifest()
	for _, j := range e.jobs {
		q := j.settingsIn(m).queue
		if q == nil || j.state.IsFinal() {
			continue
		}
		d := byPool[q.Pool]
		e.handling = j
		for _, o := range j.occurrences {
			if j.Repeat == 0 || !now.Before(o.due) {
				d.addOccurrenceDemand(o)
			}
		}
		byPool[q.Pool] = d
	}
	e.handling = nil
	return byPool
}

// addWorker adds a worker's capacity and its running tasks.
func (d *poolDemand) addWorker(w *worker) {
	if !w.outOfUse {
		d.capacity += float64(w.Capacity.CPU) / milliCoresPerCore
	}
	for _, t := range w.tasks {
		cores := float64(t.step.ReservedResources().CPU) / milliCoresPerCore
		if t.step.LongRunning {
			d.longRunning += cores
		} else if !w.outOfUse { // other tasks end on their worker
			d.running += cores
		}
	}
}

// addOccurrenceDemand adds the CPU of the waiting tasks of an occurrence whose
// dependencies are done, and raises the minimum number of workers as the
// long-running steps of the occurrence require.
func (d *poolDemand) addOccurrenceDemand(o *occurrence) {
	for _, s := range o.steps {
		if s.LongRunning && s.MaxPerWorker > 0 {
			d.minWorkers = max(d.minWorkers, (s.Count+s.MaxPerWorker-1)/s.MaxPerWorker)
		}
		if s.waitingTasks > 0 && s.dependenciesDone() {
			d.waiting += float64(s.waitingTasks) * float64(s.ReservedResources().CPU) / milliCoresPerCore
		}
	}
}

// logPoolLoads logs the demand and capacity of each pool once a second.
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
		e.log.Info("load of a pool", "starts-in-flight", e.startsInFlight, "starts-limit", e.throttle.Limit(), "awaiting-start", len(e.awaitingStart), "pool", pool, "instances", instances[pool], "capacity", d.capacity, "lasting", d.longRunning, "running", d.running, "waiting", d.waiting,
			"rate", e.forecastArrivalRate(pool, now))
	}
}

// recordJobArrival records the estimated work of a new job for its pool's
// forecast.
func (e *Engine) recordJobArrival(j *job, now time.Time) {
	m := e.cfg.Manifest()
	if m == nil || j.IsLongRunning() {
		return
	}
	q := j.settingsIn(m).queue
	if q == nil {
		return
	}
	if j.Repeat == 0 {
		e.recordNewJob(j, q)
	}
	if now.Sub(j.Accepted) > sizer.Window {
		return
	}
	h := e.poolHistoryOf(q.Pool)
	work := j.work * e.estimateFactor(j.Queue)
	h.arrivals = append(h.arrivals, sizer.Arrival{At: now, Work: work})
	h.surges.Record(now, work)
}

// recordTaskDuration records the actual and estimated duration of a task.
func (e *Engine) recordTaskDuration(t *task, actual time.Duration) {
	queue := t.step.occurrence.job.Queue
	d := e.durations[queue]
	if t.step.Estimate <= 0 {
		return
	}
	if t.runsNear(t.worker) && t.worker.speed.slowdown <= 1 {
		e.accuracyOf(queue).Record(actual, e.correctedEstimate(t.step))
	}
	e.durations[queue] = durationSums{d.actualSeconds + actual.Seconds(), d.estimatedSeconds + t.step.Estimate.Seconds()}
}

// durationSums contains the sums of the actual and the estimated durations of a
// queue's tasks, in seconds.
type durationSums struct {
	actualSeconds, estimatedSeconds float64
}

// estimateFactor returns the ratio of actual to estimated durations in a queue.
func (e *Engine) estimateFactor(queue string) float64 {
	d := e.durations[queue]
	return min(maxEstimateFactor, max(1/maxEstimateFactor, (d.actualSeconds+estimatePriorSeconds)/(d.estimatedSeconds+estimatePriorSeconds)))
}

// workRelativeToQueueMean returns the work of a job divided by the mean work of
// the jobs in its queue.
func (e *Engine) workRelativeToQueueMean(j *job, q *modeler.Queue) float64 {
	m := e.meanJobWork[q.Name]
	if m.count == 0 || m.sum == 0 {
		return 1
	}
	return j.work / (m.sum / m.count)
}

// workSum contains the sum of the work of a queue's jobs in this term and their
// number.
type workSum struct {
	sum, count float64
}

// addToMeanJobWork adds a job to the mean work of its queue.
func (e *Engine) addToMeanJobWork(j *job) {
	m := e.meanJobWork[j.Queue]
	e.meanJobWork[j.Queue] = workSum{m.sum + j.work, m.count + 1}
}

// poolHistoryOf returns the history of a pool and adds it if it is missing.
func (e *Engine) poolHistoryOf(pool string) *poolHistory {
	h := e.planner.poolHistories[pool]
	if h == nil {
		h = &poolHistory{}
		e.planner.poolHistories[pool] = h
	}
	return h
}

// forecastArrivalRate returns the forecast rate at which work arrives, in
// cores, for the time at which an instance ordered now would be ready.
func (e *Engine) forecastArrivalRate(pool string, now time.Time) float64 {
	h, horizon := e.poolHistoryOf(pool), e.cfg.MoveTime+joinDelayAfterMove
	h.arrivals = sizer.RecentArrivals(h.arrivals, now)
	rate, expected := sizer.ForecastRate(h.arrivals, now, horizon), h.surges.Expected(now, horizon)
	if isExpected := expected > rate; isExpected != h.surgeExpected {
		h.surgeExpected = isExpected
		e.log.Info("pool prepares for a recurring surge, or no longer", "pool", pool, "expected", isExpected, "cores", expected, "arriving", rate)
		meter.SetSurgeExpected(pool, isExpected)
	}
	return max(rate, expected)
}

// planMovesBetweenPools plans moves of instances so that pool sizes follow the
// demand.
func (e *Engine) planMovesBetweenPools(now time.Time) {
	pools := e.poolSizingInputs(now)
	moves := sizer.PlanMoves(pools, e.maxMovesPerRound())
	for _, move := range moves {
		e.startMoves(move, now)
	}
	for _, p := range pools {
		if p.HasUnplacedTask && !slices.ContainsFunc(moves, func(m sizer.Move) bool { return m.To == p.Name }) {
			e.clearInstanceFor(p.Name, now)
		}
	}
}

// clearInstanceFor plans the move of an instance of another pool that is not idle
// to a pool in which a long-running task finds no worker: the one whose tasks
// end first. It gets no new tasks. In overload no instance would ever become idle
// by itself, and the task would wait until the load falls.
func (e *Engine) clearInstanceFor(pool string, now time.Time) {
	var best *instance
	var bestTime time.Duration
	for _, i := range e.planner.instances {
		if i.Pool == pool || e.isSparePool(i.Pool) {
			continue
		}
		if left, ok := e.timeUntilIdle(i, now); ok && (best == nil || left < bestTime) {
			best, bestTime = i, left
		}
	}
	if best == nil {
		return
	}
	e.log.Info("instance is cleared for a long-running task that finds no worker", "instance", best.Name, "pool", best.Pool, "to", pool, "expected", bestTime.Round(time.Millisecond).String())
	best.targetPool, best.wave = pool, 0
	e.startPlan(best, movePlan, now)
}

// timeUntilIdle estimates when the tasks on an instance have ended. It reports false
// if the instance is not up, has a plan, or has tasks that don't end by
// themselves or reservations for such tasks.
func (e *Engine) timeUntilIdle(i *instance, now time.Time) (time.Duration, bool) {
	w := e.currentWorkerOn(i)
	if i.plan != noPlan || i.State != modeler.InstanceUp || w == nil || !w.acceptsTasks(now) || len(w.reservedFor) > 0 {
		return 0, false
	}
	left := time.Duration(0)
	for _, t := range w.tasks {
		if t.step.LongRunning {
			return 0, false
		}
		left = max(left, t.step.Estimate-now.Sub(t.phaseSince))
	}
	return left, true
}

// maxMovesPerRound returns how many moves may start in a planning round.
func (e *Engine) maxMovesPerRound() int {
	orders := e.cfg.InstanceOrdersPerSecond
	if orders == 0 {
		orders = defaultInstanceOrdersPerSecond
	}
	return max(1, int(moveShareOfOrders*orders*planRoundInterval.Seconds()))
}

// startMoves chooses the instances for a move and starts their plans.
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

// isMovable reports whether an instance can be moved at once: it is listed and up,
// its zone is in use, it has no tasks, reservations or plan, and its worker is known
// and not draining.
func (e *Engine) isMovable(i *instance) bool {
	if i.plan != noPlan || i.missed || i.State != modeler.InstanceUp || !e.isInUse(i) {
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

// countsTowardPoolSize reports whether an instance counts toward the size of
// its pool, now or after its move. It doesn't if it is down, due for maintenance or
// in an evacuated zone, or if its worker is draining or unresponsive.
func (e *Engine) countsTowardPoolSize(i *instance) bool {
	if i.State == modeler.InstanceDown || i.plan == maintenancePlan || !e.isInUse(i) {
		return false
	}
	w := e.currentWorkerOn(i)
	return w == nil || i.plan == movePlan || !w.Draining && (!w.polled || w.reachable)
}

// poolSizingInputs describes the pools to the sizer.
func (e *Engine) poolSizingInputs(now time.Time) []sizer.Pool {
	demands := e.demandByPool()
	index, hasIncomingMoves := make(map[string]int), make(map[string]bool)
	var pools []sizer.Pool
	for _, p := range e.cfg.Manifest().Pools {
		index[p.Name] = len(pools)
		d := demands[p.Name]
		pools = append(pools, sizer.Pool{
			Name: p.Name, Spare: p.Spare, LongRunningCores: d.longRunning, DemandCores: d.running + d.waiting, ArrivalRate: e.forecastArrivalRate(p.Name, now), MinWorkers: d.minWorkers,
		})
	}
	largest := 0.0 // CPU cores of the largest instance
	for _, i := range e.planner.instances {
		cores := float64(i.Capacity.CPU) / milliCoresPerCore
		largest = max(largest, cores)
		n, ok := index[i.Pool]
		if i.plan == movePlan {
			n, ok = index[i.targetPool]
		}
		if !ok {
			continue
		}
		p := &pools[n]
		hasIncomingMoves[p.Name] = hasIncomingMoves[p.Name] || i.plan == movePlan && e.isInUse(i)
		if e.countsTowardPoolSize(i) {
			p.Instances++
		}
		p.CoresPerInstance = max(p.CoresPerInstance, cores)
		if e.isMovable(i) {
			p.Movable++
		}
	}
	for n := range pools {
		p := &pools[n]
		if p.CoresPerInstance == 0 && p.LongRunningCores+p.DemandCores+p.ArrivalRate > 0 {
			p.CoresPerInstance = largest // the pool has no instance that tells
		}
		h := e.poolHistoryOf(p.Name)
		p.HasUnplacedTask = now.Sub(h.lastNoRoom) < noRoomTime && !hasIncomingMoves[p.Name]
		if p.Spare || sizer.DesiredInstances(*p) >= p.Instances {
			h.oversizedSince = now
		}
		if h.oversizedSince.IsZero() {
			h.oversizedSince = now
		}
		p.SurplusFor = now.Sub(h.oversizedSince)
	}
	return pools
}
