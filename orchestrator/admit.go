package orchestrator

import (
	"encoding/json"
	"time"

	"github.com/coltsfootlever/coltsfootlever/keeper"
	"github.com/coltsfootlever/coltsfootlever/modeler"
	"github.com/coltsfootlever/coltsfootlever/refuser"
)

const (
	admissionDelay   = 5 * time.Second // a new leader leaves the limitations as they are until it has heard of the workers and placed what waited for it
	rateIntervals    = 6               // intervals of which the leader remembers the rate of starts
	limitedIntervals = 3               // in so many of them placement stopped for lack of starts before the leader takes itself for the limit
	minLimitation    = 0.99            // shares above this are not published
	minWeight        = 0.01            // stands for the weight of a customer that has none
	roomShare        = 0.25            // of a pool's cores; while so many are free, a new leader doesn't go on with limitations
)

type (
	// Limitation tells entry nodes to accept only a share of the new jobs of a
	// customer in a queue, because the others can't be served in time.
	Limitation struct {
		Accept float64 `json:"accept"`  // share of the new jobs to accept, below 1
		WaitMs int64   `json:"wait-ms"` // how long a new job waits at present, in ms

		Cause     refuser.Cause `json:"cause,omitempty"`      // what the wait is due to
		FreeCores float64       `json:"free-cores,omitempty"` // of the pool's workers, by what they report
		Age       time.Duration `json:"-"`                    // how long ago the entry node received it
	}

	// admissionKey identifies the new jobs that share a decision.
	admissionKey struct{ queue, customer string }

	// admissionState is what the decisions on new jobs are based on.
	admissionState struct {
		admissions   map[admissionKey]*refuser.Admission
		updatedAt    time.Time
		starts       map[string]int                   // confirmed starts since then, by pool
		startsLacked map[string]bool                  // pools whose placement has stopped for lack of starts since then
		startRates   map[string][]intervalRate        // by pool
		inherited    map[string]map[string]Limitation // of the previous leader
		objectives   map[string]objectiveSums
		lacksMemory  map[string]bool // customers whose new jobs are refused for lack of memory
	}

	// intervalRate is the rate of starts in an interval, and whether it was too low for
	// the tasks that there was room for.
	intervalRate struct {
		startsPerSecond float64
		lacked          bool
	}

	// objectiveSums contains the sums of the objectives of a queue's jobs and of the
	// times that they take without waiting.
	objectiveSums struct {
		objective, ideal time.Duration
		count            int
	}

	// backlogKey identifies the tasks that wait for each other.
	backlogKey struct {
		priority int
		customer string
	}

	// poolBacklog is what waits and runs in a pool.
	poolBacklog struct {
		wantedCores float64
		freeCores   float64 // of the workers that accept tasks, by what they report
		byKey       map[backlogKey]refuser.Backlog
		queueWork   map[admissionKey]float64 // core-seconds that wait
	}
)

func newAdmissionState() admissionState {
	return admissionState{
		admissions: make(map[admissionKey]*refuser.Admission), starts: make(map[string]int), startsLacked: make(map[string]bool),
		startRates: make(map[string][]intervalRate), objectives: make(map[string]objectiveSums),
	}
}

// admissionOf returns the decision for the new jobs of a customer in a queue and
// adds it if it is missing.
func (s *admissionState) admissionOf(k admissionKey) *refuser.Admission {
	a := s.admissions[k]
	if a == nil {
		a = refuser.NewAdmission(1)
		s.admissions[k] = a
	}
	return a
}

// restoreLoad takes over the limitations of the previous leader, so that a change of
// the leader does not let through what can't be served.
func (e *Engine) restoreLoad(records []keeper.Record) {
	for _, r := range records {
		var l Load
		if err := json.Unmarshal(r.Value, &l); err != nil {
			e.log.Error("published load cannot be read, all new jobs are accepted at first", "revision", r.Revision, "error", err)
			continue
		}
		e.admission.inherited = l.Limited
	}
	e.inheritAdmissions()
}

// inheritAdmissions sets the decisions to those of the previous leader.
func (e *Engine) inheritAdmissions() {
	s := &e.admission
	clear(s.admissions)
	for queue, byCustomer := range s.inherited {
		for customer, l := range byCustomer {
			if l.Cause == refuser.LackOfMemory {
				continue // found anew once the jobs are loaded
			}
			s.admissions[admissionKey{queue, customer}] = refuser.NewAdmission(l.Accept)
		}
	}
}

// recordNewJob records a new job for the decisions on the next ones.
func (e *Engine) recordNewJob(j *job, q *modeler.Queue) {
	s := &e.admission
	s.admissionOf(admissionKey{j.Queue, j.Customer}).RecordAccepted(j.work * e.estimateFactor(j.Queue))
	sums := s.objectives[j.Queue]
	o := j.occurrences[0]
	sums.objective += o.targetDuration(q)
	sums.ideal += j.criticalPath
	sums.count++
	s.objectives[j.Queue] = sums
}

// updateAdmissions adapts the decisions on new jobs and returns those that limit
// them, by queue and customer.
func (e *Engine) updateAdmissions(now time.Time) map[string]map[string]Limitation {
	s := &e.admission
	interval := now.Sub(s.updatedAt)
	s.updatedAt = now
	backlogs, cores := e.backlogsByPool(), e.countCores(now)
	if now.Sub(e.termStart) < admissionDelay {
		e.inheritAdmissions() // also forgets the jobs loaded so far, which are not new
		e.addFreeCores(backlogs, now)
		return e.inheritedWithoutRoom(backlogs, cores, now)
	}
	s.updateStartRates(backlogs, interval)
	e.addFreeCores(backlogs, now)
	limits := make(map[string]map[string]Limitation)
	for i := range e.cfg.Manifest().Queues {
		q := &e.cfg.Manifest().Queues[i]
		b := backlogs[q.Pool]
		if b == nil {
			b = &poolBacklog{}
		}
		pool := b.describe(q.Priority)
		pool.Cores = e.coresInOverload(q.Pool, cores, backlogs)
		pool.StartsPerSecond = s.startsPerSecond(q.Pool)
		e.updateQueueAdmissions(q, pool, b, interval, limits)
	}
	return limits
}

// addFreeCores adds the free cores of the workers that accept tasks.
func (e *Engine) addFreeCores(backlogs map[string]*poolBacklog, now time.Time) {
	for _, w := range e.workersByID {
		if !w.acceptsTasks(now) {
			continue
		}
		b := backlogs[w.Pool]
		if b == nil {
			b = &poolBacklog{}
			backlogs[w.Pool] = b
		}
		b.freeCores += float64(max(0, w.freeResources().CPU)) / milliCoresPerCore
	}
}

// inheritedWithoutRoom returns the limitations of the previous leader, without those of
// customers that have nothing waiting while the workers of the pool have room. Before
// all workers have reported, the room is not known.
func (e *Engine) inheritedWithoutRoom(backlogs map[string]*poolBacklog, cores *coreCounts, now time.Time) map[string]map[string]Limitation {
	if !e.knowsAllRuns(now) {
		return e.admission.inherited
	}
	limits := make(map[string]map[string]Limitation)
	for queue, byCustomer := range e.admission.inherited {
		q := e.cfg.Manifest().Queue(queue)
		for customer, l := range byCustomer {
			if q != nil && backlogs[q.Pool].hasRoomFor(admissionKey{queue, customer}, float64(cores.usable[q.Pool])/milliCoresPerCore) {
				continue
			}
			if limits[queue] == nil {
				limits[queue] = make(map[string]Limitation)
			}
			limits[queue][customer] = l
		}
	}
	return limits
}

// hasRoomFor reports whether nothing of the customer waits and roomShare of the pool's
// cores is free.
func (b *poolBacklog) hasRoomFor(k admissionKey, cores float64) bool {
	return b != nil && b.freeCores > 0 && b.queueWork[k] == 0 && b.freeCores >= roomShare*cores
}

// coresInOverload returns the cores that a pool has or can get: its own and idle
// ones, and also those that are in use by other pools and more than these want.
func (e *Engine) coresInOverload(pool string, cores *coreCounts, backlogs map[string]*poolBacklog) float64 {
	all := 0.0
	for name, cpu := range cores.usable {
		all += float64(cpu) / milliCoresPerCore
		if b := backlogs[name]; b != nil && name != pool {
			all -= b.wantedCores
		}
	}
	for name, cpu := range cores.movableOf {
		if e.isSparePool(name) {
			all += float64(cpu) / milliCoresPerCore
		}
	}
	return max(all, float64(cores.usable[pool]+cores.movable-cores.movableOf[pool])/milliCoresPerCore)
}

// updateQueueAdmissions adapts the decisions on the new jobs of a queue and adds
// those that limit them.
func (e *Engine) updateQueueAdmissions(q *modeler.Queue, pool refuser.Pool, b *poolBacklog, interval time.Duration, limits map[string]map[string]Limitation) {
	sums := e.admission.objectives[q.Name]
	if sums.count == 0 {
		return
	}
	n := time.Duration(sums.count)
	limit := refuser.Limit(sums.objective/n, sums.ideal/n)
	waits, room := pool.Waits(), b.freeCores/max(1, float64(e.admission.countLimited(q, e.cfg.Manifest())))
	for k, a := range e.admission.admissions {
		if k.queue != q.Name {
			continue
		}
		limited := a.Share() < 1
		wait, cause := waits[k.customer], pool.CauseOf(k.customer)
		if advice := e.waitForAdvice(q); advice > wait {
			wait, cause = advice, refuser.LackOfAdvice
		}
		if room > 0 && wait == 0 && b.queueWork[k] == 0 {
			a.UpdateWithRoom(interval, limit, min(room, pool.UnusedCores(k.customer)))
		} else {
			a.Update(interval, wait, limit, b.queueWork[k])
		}
		if limited != (a.Share() < 1) {
			e.log.Info("new jobs of a customer limited or free again", "queue", k.queue, "customer", k.customer, "accept", a.Share(),
				"wait", wait.Round(time.Millisecond).String(), "limit", limit.Round(time.Millisecond).String(), "cause", string(cause), "cores", pool.Cores, "free-cores", b.freeCores, "starts-per-second", pool.StartsPerSecond, "work", b.queueWork[k])
		}
		if a.Share() >= minLimitation {
			continue
		}
		if limits[k.queue] == nil {
			limits[k.queue] = make(map[string]Limitation)
		}
		limits[k.queue][k.customer] = Limitation{Accept: a.Share(), WaitMs: wait.Milliseconds(), Cause: cause, FreeCores: b.freeCores}
	}
}

// countLimited returns the number of decisions that limit new jobs of queues which
// share the queue's pool.
func (s *admissionState) countLimited(q *modeler.Queue, m *modeler.Manifest) int {
	n := 0
	for k, a := range s.admissions {
		if other := m.Queue(k.queue); other != nil && other.Pool == q.Pool && a.Share() < 1 {
			n++
		}
	}
	return n
}

// startsPerSecond returns the highest recent rate of starts in a pool if that is what
// its tasks wait for, and 0 otherwise.
func (s *admissionState) startsPerSecond(pool string) float64 {
	lacked, highest := 0, 0.0
	for _, r := range s.startRates[pool] {
		highest = max(highest, r.startsPerSecond)
		if r.lacked {
			lacked++
		}
	}
	if lacked < limitedIntervals {
		return 0
	}
	return highest
}

// updateStartRates records the rates of starts in an interval. Without any start it
// tells of an outage and not of what the leader can do.
func (s *admissionState) updateStartRates(backlogs map[string]*poolBacklog, interval time.Duration) {
	for pool := range backlogs {
		if s.starts[pool] == 0 {
			delete(s.startRates, pool)
			continue
		}
		rates := append(s.startRates[pool], intervalRate{float64(s.starts[pool]) / interval.Seconds(), s.startsLacked[pool]})
		s.startRates[pool] = rates[max(0, len(rates)-rateIntervals):]
	}
	clear(s.starts)
	clear(s.startsLacked)
}

// describe returns the backlogs of the queues that come before or with those of a
// priority.
func (b *poolBacklog) describe(priority int) refuser.Pool {
	byCustomer := make(map[string]*refuser.Backlog)
	for k, part := range b.byKey {
		if k.priority > priority {
			continue
		}
		sum := byCustomer[k.customer]
		if sum == nil {
			sum = &refuser.Backlog{Customer: part.Customer, Weight: part.Weight, MaxCores: part.MaxCores}
			byCustomer[k.customer] = sum
		}
		sum.WantedCores += part.WantedCores
		sum.Work += part.Work
		sum.Tasks += part.Tasks
	}
	var pool refuser.Pool
	for _, sum := range byCustomer {
		pool.Backlogs = append(pool.Backlogs, *sum)
	}
	return pool
}

// backlogsByPool returns what waits and runs in each pool. Long-running tasks don't
// count.
func (e *Engine) backlogsByPool() map[string]*poolBacklog {
	byPool := make(map[string]*poolBacklog)
	now, m := e.cfg.WallClock(), e.cfg.Manifest()
	for _, j := range e.jobs {
		q := j.settingsIn(m).queue
		if q == nil || j.state.IsFinal() || j.IsLongRunning() {
			continue
		}
		b := byPool[q.Pool]
		if b == nil {
			b = &poolBacklog{byKey: make(map[backlogKey]refuser.Backlog), queueWork: make(map[admissionKey]float64)}
			byPool[q.Pool] = b
		}
		factor := e.estimateFactor(j.Queue)
		e.handling = j
		for _, o := range j.occurrences {
			if j.Repeat == 0 || !now.Before(o.due) {
				b.addOccurrence(o, q, m, factor)
			}
		}
	}
	e.handling = nil
	return byPool
}

// addOccurrence adds the tasks of an occurrence that run or could start.
// estimateFactor is the ratio of actual to estimated durations.
func (b *poolBacklog) addOccurrence(o *occurrence, q *modeler.Queue, m *modeler.Manifest, estimateFactor float64) {
	j := o.job
	key := backlogKey{q.Priority, j.Customer}
	sum, ok := b.byKey[key]
	if !ok {
		sum = refuser.Backlog{Customer: j.Customer, Weight: 1}
		if c := m.Customer(j.Customer); c != nil {
			sum.Weight, sum.MaxCores = max(c.Weight, minWeight), float64(c.Limit.CPU)/milliCoresPerCore
		}
	}
	for _, s := range o.steps {
		if s.finishedTasks == s.Count || !s.dependenciesDone() {
			continue
		}
		cores := float64(s.ReservedResources().CPU) / milliCoresPerCore
		unstarted, started := s.Count-len(s.tasks), 0
		for _, t := range s.tasks {
			switch t.phase {
			case done:
			case waiting, placed:
				unstarted++
			default:
				started++
			}
		}
		work := float64(unstarted) * s.taskWork() * estimateFactor
		sum.Tasks += unstarted
		sum.Work += work
		b.queueWork[admissionKey{j.Queue, j.Customer}] += work
		sum.WantedCores += float64(unstarted+started) * cores
		b.wantedCores += float64(unstarted+started) * cores
	}
	b.byKey[key] = sum
}
