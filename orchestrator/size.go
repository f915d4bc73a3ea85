package orchestrator

import (
	"time"

	"github.com/coltsfootlever/coltsfootlever/modeler"
	"github.com/coltsfootlever/coltsfootlever/sizer"
)

const (
	coreUnit       = 1000.0                 // thousandths of a core
	noteInterval   = time.Second            // a line for each pool
	priorSeconds   = 10.0                   // weight of the assumption that estimates are right
	maxCalibration = 3.0                    // estimates that are further off are not believed to be so for all tasks
	stuckTime      = 400 * time.Millisecond // two rounds of planned work
	defaultOrders  = 64.0                   // a second, what the platform takes at its smaller sites
	moveShare      = 0.8                    // of the orders that the platform takes; upkeep and repeated orders need the rest
	joinTime       = 500 * time.Millisecond // from the end of a move to the first task: two lists and a look
)

type (
	// demand is what tasks take or want of a pool, in cores.
	demand struct {
		lasting, running, waiting, capacity float64
		least                               int // workers over which some lasting step has to be spread
	}

	// poolHistory is what sizing a pool has to remember.
	poolHistory struct {
		arrived []sizer.Arrival
		calm    time.Time // since when the pool has had more than it wants
		stuck   time.Time // when a lasting task last found no worker
	}
)

// asked sums up demand and capacity by pool.
func (e *Engine) asked() map[string]demand {
	all := make(map[string]demand)
	for _, w := range e.fleet {
		if w.listed && w.reached && !w.Draining {
			d := all[w.Pool]
			d.addWorker(w)
			all[w.Pool] = d
		}
	}
	now, m := time.Now(), e.cfg.Manifest()
	for _, j := range e.jobs {
		q := m.Queue(j.Queue)
		if q == nil || j.state.IsFinal() {
			continue
		}
		d := all[q.Pool]
		for _, o := range j.occurrences {
			if j.Repeat == 0 || !now.Before(o.due) {
				d.addWaiting(o)
			}
		}
		all[q.Pool] = d
	}
	return all
}

// addWorker adds a worker with what it runs.
func (d *demand) addWorker(w *worker) {
	d.capacity += float64(w.Capacity.CPU) / coreUnit
	for _, t := range w.tasks {
		cores := float64(t.step.ReservedResources().CPU) / coreUnit
		if t.step.LongRunning {
			d.lasting += cores
		} else {
			d.running += cores
		}
	}
}

// addWaiting adds the tasks of an occurrence that could run.
func (d *demand) addWaiting(o *occurrence) {
	for _, s := range o.steps {
		if s.LongRunning && s.MaxPerWorker > 0 {
			d.least = max(d.least, (s.Count+s.MaxPerWorker-1)/s.MaxPerWorker)
		}
		if s.waiting > 0 && s.isReady() {
			d.waiting += float64(s.waiting) * float64(s.ReservedResources().CPU) / coreUnit
		}
	}
}

// noteLoad logs what each pool has to do, once a second.
func (e *Engine) noteLoad(now time.Time) {
	if now.Before(e.estate.nextNote) {
		return
	}
	e.estate.nextNote = now.Add(noteInterval)
	instances := make(map[string]int)
	for _, i := range e.estate.instances {
		instances[i.Pool]++
	}
	for pool, d := range e.asked() {
		e.log.Info("pool load", "pool", pool, "instances", instances[pool], "capacity", d.capacity, "lasting", d.lasting, "running", d.running, "waiting", d.waiting,
			"rate", e.rate(e.history(pool), now))
	}
}

// arrive notes the work that a new job brings to its pool.
func (e *Engine) arrive(j *job, now time.Time) {
	m := e.cfg.Manifest()
	if m == nil || j.IsLongRunning() || now.Sub(j.Accepted) > sizer.Window {
		return
	}
	q := m.Queue(j.Queue)
	if q == nil {
		return
	}
	h := e.history(q.Pool)
	h.arrived = append(h.arrived, sizer.Arrival{At: now, Work: j.work() * e.calibration(j.Queue)})
}

// work is the estimated work of one occurrence, in core-seconds.
func (j *job) work() float64 {
	work := 0.0
	for _, s := range j.occurrences[0].steps {
		work += float64(s.Count) * s.work()
	}
	return work
}

// noteDuration compares a task's run with its estimate.
func (e *Engine) noteDuration(t *task, ran time.Duration) {
	queue := t.step.occurrence.job.Queue
	d := e.durations[queue]
	if t.step.Estimate <= 0 {
		return
	}
	e.durations[queue] = durations{d.ran + ran.Seconds(), d.estimated + t.step.Estimate.Seconds()}
}

// durations sums up the runs of a queue and their estimates, in seconds.
type durations struct {
	ran, estimated float64
}

// calibration is the factor from estimated to real durations of a queue.
func (e *Engine) calibration(queue string) float64 {
	d := e.durations[queue]
	return min(maxCalibration, max(1/maxCalibration, (d.ran+priorSeconds)/(d.estimated+priorSeconds)))
}

// relativeSize is the work of a job in units of the mean of its queue.
func (e *Engine) relativeSize(j *job, q *modeler.Queue) float64 {
	m := e.means[q.Name]
	if m.count == 0 || m.sum == 0 {
		return 1
	}
	return j.work() / (m.sum / m.count)
}

// meanWork averages the work of a queue's jobs over the term.
type meanWork struct {
	sum, count float64
}

func (e *Engine) countWork(j *job) {
	m := e.means[j.Queue]
	e.means[j.Queue] = meanWork{m.sum + j.work(), m.count + 1}
}

func (e *Engine) history(pool string) *poolHistory {
	h := e.estate.pools[pool]
	if h == nil {
		h = &poolHistory{}
		e.estate.pools[pool] = h
	}
	return h
}

// rate is the work that is expected to arrive a second once an instance that is
// ordered now has come, in cores.
func (e *Engine) rate(h *poolHistory, now time.Time) float64 {
	h.arrived = sizer.Recent(h.arrived, now)
	return sizer.Forecast(h.arrived, now, e.cfg.MoveTime+joinTime)
}

// planMoves lets the pools follow their demand.
func (e *Engine) planMoves(now time.Time) {
	for _, move := range sizer.Plan(e.poolSizes(now), e.movesPerRound()) {
		e.planMove(move, now)
	}
}

// movesPerRound is how many moves may begin in a round of planned work.
func (e *Engine) movesPerRound() int {
	orders := e.cfg.InstanceOrdersPerSecond
	if orders == 0 {
		orders = defaultOrders
	}
	return max(1, int(moveShare*orders*planInterval.Seconds()))
}

// planMove chooses the instances of a move.
func (e *Engine) planMove(move sizer.Move, now time.Time) {
	n := move.Count
	for _, i := range e.estate.instances {
		if n == 0 {
			return
		}
		if i.Pool == move.From && e.isMovable(i) {
			i.to, i.wave = move.To, 0
			e.begin(i, movePlan, now)
			n--
		}
	}
}

// isMovable says whether an instance runs nothing and is planned for nothing.
func (e *Engine) isMovable(i *instance) bool {
	if i.plan != noPlan || i.State != modeler.InstanceUp {
		return false
	}
	for _, w := range e.workersOn(i) {
		if len(w.tasks)+len(w.promised) > 0 {
			return false
		}
	}
	w := e.workerOn(i)
	return w == nil && e.isSpare(i.Pool) || w != nil && w.known && !w.Draining
}

// counts says whether an instance serves its pool, now or as soon as it has
// moved. One that is to be maintained, or whose worker does not answer or
// drains, does not.
func (e *Engine) counts(i *instance) bool {
	if i.State == modeler.InstanceDown || i.plan == upkeepPlan {
		return false
	}
	w := e.workerOn(i)
	return w == nil || i.plan == movePlan || !w.Draining && (!w.known || w.reached)
}

func (e *Engine) poolSizes(now time.Time) []sizer.Pool {
	asked := e.asked()
	index, arrives := make(map[string]int), make(map[string]bool)
	var pools []sizer.Pool
	for _, p := range e.cfg.Manifest().Pools {
		index[p.Name] = len(pools)
		d := asked[p.Name]
		pools = append(pools, sizer.Pool{
			Name: p.Name, Spare: p.Spare, Lasting: d.lasting, Asked: d.running + d.waiting, Rate: e.rate(e.history(p.Name), now), Least: d.least,
		})
	}
	for _, i := range e.estate.instances {
		n, ok := index[i.Pool]
		if i.plan == movePlan {
			n, ok = index[i.to]
		}
		if !ok {
			continue
		}
		p := &pools[n]
		arrives[p.Name] = arrives[p.Name] || i.plan == movePlan
		if e.counts(i) {
			p.Instances++
		}
		p.Cores = max(p.Cores, float64(i.Capacity.CPU)/coreUnit)
		if e.isMovable(i) {
			p.Movable++
		}
	}
	for n := range pools {
		p := &pools[n]
		h := e.history(p.Name)
		p.Stuck = now.Sub(h.stuck) < stuckTime && !arrives[p.Name]
		if p.Spare || sizer.Wanted(*p) >= p.Instances {
			h.calm = now
		}
		if h.calm.IsZero() {
			h.calm = now
		}
		p.Calm = now.Sub(h.calm)
	}
	return pools
}
