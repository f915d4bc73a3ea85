package orchestrator

import (
	"cmp"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/coltsfootlever/coltsfootlever/assigner"
	"github.com/coltsfootlever/coltsfootlever/modeler"
)

const (
	// maxKeptFreeShare is the maximum share of a pool's workers that may be kept
	// free for long-running tasks waiting for room. The other workers continue
	// to take any task that fits.
	maxKeptFreeShare = 0.25

	// placedPerStart is how many tasks may await their start for each start that may
	// be in flight. Their placements are stored meanwhile.
	placedPerStart = 2
)

type (
	// placementPass is the state of one pass that places waiting tasks.
	placementPass struct {
		engine         *Engine
		now            time.Time
		wallTime       time.Time // see Config.WallClock
		manifest       *modeler.Manifest
		customerUsage  map[string]modeler.Resources // resources in use, by customer
		pools          map[string]*poolView
		customerShares map[string]customerShares // fair shares of customers, by pool
		orphaned       map[modeler.TaskID]bool   // see Engine.tasksWithOrphanedRuns
		cores          *coreCounts               // nil until it is needed
		startsOfAll    int                       // number of placed tasks that may await their start
		startsPerPool  int                       // number of them in one pool
		awaitingStart  map[string]int            // number of placed tasks that await their start, by pool

		allAwaitingStart int // sum of awaitingStart
	}

	// coreCounts is the CPU, in thousandths of a core, that tasks which are not
	// long-running can use: by pool that of its workers and of the instances that
	// are moving to it, and that of the idle instances that could move.
	coreCounts struct {
		usable    map[string]int64
		movable   int64
		movableOf map[string]int64 // by the pool in which they are
	}

	// poolView is the state of one pool in a placement pass: its workers that
	// accept tasks and, for each of them, the view that the assigner chooses from.
	poolView struct {
		name                  string
		workers               []*worker
		assignerViews         []*assigner.Worker
		probations            []probationView
		unplaceable           []modeler.Resources // resource requests for which no worker was found, of tasks without further requirements
		keptFree              int                 // number of workers kept free for tasks that wait for room
		waitChecked, mustWait bool                // cached result of Engine.mustWaitForWorkers
	}

	// candidateStep is a step with waiting tasks that may start, with the
	// description by which its occurrence is ordered among others.
	candidateStep struct {
		*assigner.Candidate
		step *step
	}
)

// runPlacement assigns waiting tasks to workers with enough free resources.
func (e *Engine) runPlacement(now time.Time) {
	if e.shuttingDown {
		return
	}
	p := &placementPass{engine: e, now: now, wallTime: e.cfg.WallClock(), manifest: e.cfg.Manifest(), customerUsage: e.usageByCustomer(), pools: make(map[string]*poolView), orphaned: e.tasksWithOrphanedRuns()}
	p.addUnstoredUsage()
	candidates := p.listCandidates()
	p.customerShares = p.customerSharesByPool(candidates)
	p.shareStarts(candidates)
	for _, fair := range []bool{true, false} { // the second round gives customers what others left of their fair shares
		for _, c := range candidates {
			if !c.step.LongRunning && !p.startsAvailable(c.step) {
				e.admission.startsLacked[p.poolOf(c.step)] = true
				continue // a task that can't be started soon may be placed better later
			}
			e.handling = c.step.occurrence.job
			p.placeStep(c.step, fair)
		}
	}
	e.handling = nil
}

// shareStarts limits how many tasks await their start, since tasks that can't be
// started soon may be placed better later. While they pile up, it divides the
// number among the pools that have candidates, so that a pool with a long backlog
// leaves the others their part.
func (p *placementPass) shareStarts(candidates []candidateStep) {
	p.awaitingStart = make(map[string]int)
	for _, t := range p.engine.awaitingStart {
		if t.phase == placed {
			p.awaitingStart[t.worker.Pool]++
			p.allAwaitingStart++
		}
	}
	p.startsOfAll = placedPerStart * p.engine.throttle.Limit()
	if p.startsPerPool = math.MaxInt; !p.engine.throttle.IsCongested() && p.allAwaitingStart < p.startsOfAll/2 {
		return
	}
	pools := make(map[string]bool)
	for _, c := range candidates {
		pools[p.poolOf(c.step)] = true
	}
	p.startsPerPool = max(1, p.startsOfAll/max(1, len(pools)))
}

// startsAvailable reports whether further tasks of the step's pool may be placed.
func (p *placementPass) startsAvailable(s *step) bool {
	return p.allAwaitingStart < p.startsOfAll && p.awaitingStart[p.poolOf(s)] < p.startsPerPool
}

// poolOf returns the pool in which a step of a candidate is placed.
func (p *placementPass) poolOf(s *step) string {
	return p.manifest.QueueOf(&s.occurrence.job.Job).Pool
}

// usageByCustomer returns the resources of all tasks that are or may be
// running and of orphaned runs whose task is known, by customer.
func (e *Engine) usageByCustomer() map[string]modeler.Resources {
	byCustomer := make(map[string]*modeler.Resources)
	add := func(t *task) {
		customer := t.step.occurrence.job.Customer
		u := byCustomer[customer]
		if u == nil {
			u = &modeler.Resources{}
			byCustomer[customer] = u
		}
		*u = u.Add(t.resourcesTowardCustomerLimit())
	}
	for _, w := range e.workersByID {
		for _, t := range w.tasks {
			add(t)
		}
		for id, r := range w.orphanedRuns {
			if r.task != nil && !r.task.isPlacedAs(w, id.number) { // a run adopted after its first stop is in w.tasks
				add(r.task)
			}
		}
	}
	usage := make(map[string]modeler.Resources, len(byCustomer))
	for customer, u := range byCustomer {
		usage[customer] = *u
	}
	return usage
}

// listCandidates returns the steps with waiting tasks that may start, the most
// urgent first.
func (p *placementPass) listCandidates() []candidateStep {
	var candidates []candidateStep
	byPool := make(map[string][]*assigner.Candidate)
	for _, j := range p.engine.jobs {
		q := p.manifest.QueueOf(&j.Job)
		if q == nil || j.state.IsFinal() {
			continue
		}
		p.engine.handling = j
		for _, o := range j.occurrences {
			if o.finishedSteps == len(o.steps) || p.wallTime.Before(o.due.Add(-p.engine.cfg.EarlyStart)) && j.Repeat > 0 {
				continue
			}
			c := p.describeOccurrence(o, q)
			byPool[q.Pool] = append(byPool[q.Pool], c)
			for _, s := range o.steps {
				if s.waitingTasks > 0 && s.dependenciesDone() {
					candidates = append(candidates, candidateStep{c, s})
				}
			}
		}
	}
	p.engine.handling = nil
	for pool, list := range byPool {
		assigner.DeferJobs(list, p.availableCores(pool))
	}
	slices.SortStableFunc(candidates, func(a, b candidateStep) int {
		return cmp.Or(assigner.CompareCandidates(a.Candidate, b.Candidate), cmp.Compare(a.step.number, b.step.number))
	})
	return candidates
}

// describeOccurrence returns the description of an occurrence by which the
// assigner orders it among others.
func (p *placementPass) describeOccurrence(o *occurrence, q *modeler.Queue) *assigner.Candidate {
	return &assigner.Candidate{
		ID:             o.job.ID,
		Priority:       q.Priority,
		LongRunning:    o.job.IsLongRunning(),
		Started:        o.hasStarted(),
		TimeToDeadline: o.due.Add(o.targetDuration(q)).Sub(p.wallTime),
		RemainingTime:  o.remainingCriticalPath(p.now),
		RemainingWork:  o.remainingWork(),
		RelativeSize:   p.engine.workRelativeToQueueMean(o.job, q),
		Accepted:       o.due,
	}
}

// availableCores returns the number of cores that the pool has or can soon get
// for tasks that are not long-running: its own workers, instances that are
// moving to it and idle instances that could move to it.
func (p *placementPass) availableCores(pool string) float64 {
	if p.cores == nil {
		p.cores = p.engine.countCores(p.now)
	}
	return float64(p.cores.usable[pool]+p.cores.movable-p.cores.movableOf[pool]) / milliCoresPerCore
}

// countCores counts the CPU of all pools.
func (e *Engine) countCores(now time.Time) *coreCounts {
	c := &coreCounts{usable: make(map[string]int64), movableOf: make(map[string]int64)}
	for _, w := range e.workersByID {
		if !w.acceptsTasks(now) {
			continue
		}
		c.usable[w.Pool] += max(0, w.Capacity.CPU-w.longRunningCPU) // long-running tasks stay on a worker whose capacity has shrunk
	}
	for _, i := range e.planner.instances {
		switch {
		case i.plan == movePlan:
			c.usable[i.targetPool] += i.Capacity.CPU
		case e.isMovable(i):
			c.movable += i.Capacity.CPU
			c.movableOf[i.Pool] += i.Capacity.CPU
		}
	}
	return c
}

// targetDuration returns the time within which the occurrence should complete.
func (o *occurrence) targetDuration(q *modeler.Queue) time.Duration {
	return time.Duration(q.ObjectiveFactor*float64(o.longestPath())) + q.ObjectiveOffset
}

// longestPath returns the longest path of estimated work through the dependent
// steps, which is how long the occurrence takes if nothing waits.
func (o *occurrence) longestPath() time.Duration {
	ends := make([]time.Duration, len(o.steps))
	longest := time.Duration(0)
	for i, s := range o.steps {
		ends[i] = s.Estimate
		for _, n := range s.After {
			ends[i] = max(ends[i], ends[n]+s.Estimate)
		}
		longest = max(longest, ends[i])
	}
	return longest
}

// placeStep places the waiting tasks of a step. If fair is set, it stops at the
// customer's fair share.
func (p *placementPass) placeStep(s *step, fair bool) {
	if s.waitingTasks == 0 || s.LongRunning && !fair {
		return // no task is waiting, or the first round has already tried
	}
	j := s.occurrence.job
	q := p.manifest.QueueOf(&j.Job)
	view := p.poolView(q.Pool)
	if j.fromEarlierTerm && p.mustWaitForWorkers(q) {
		return
	}
	if s.Gang && (s.waitingTasks < s.Count || s.hasTaskIn(p.orphaned)) || q.Advice != nil && !p.engine.hasCurrentTickets(s, q, view.workers, p.now) {
		return
	}
	s.choosePreferredRack(view)
	tasks := p.placeTasks(s, j, view, fair)
	if s.Gang && len(tasks) < s.Count {
		for _, t := range tasks {
			p.undoPlacement(t, j, view)
		}
		return
	}
	if s.Gang {
		s.alignRunNumbers()
	}
	for _, t := range tasks {
		p.commitPlacement(t)
	}
	if len(tasks) > 0 {
		p.logPlacements(s, tasks)
	}
}

// logPlacements logs the placements of tasks of a step in one line, each as
// INDEX:RUN@WORKER.
func (p *placementPass) logPlacements(s *step, tasks []*task) {
	var list strings.Builder
	for i, t := range tasks {
		if i > 0 {
			list.WriteByte(' ')
		}
		list.WriteString(strconv.Itoa(t.id.Index))
		list.WriteByte(':')
		list.WriteString(strconv.Itoa(t.run))
		list.WriteByte('@')
		list.WriteString(t.worker.ID)
	}
	id := tasks[0].id
	p.engine.log.Info("tasks placed on workers", "job", id.Job, "occurrence", id.Occurrence, "step", id.Step, "tasks", list.String(), "waiting", s.waitingTasks,
		"waited", p.wallTime.Sub(s.occurrence.due).Round(time.Millisecond).String(), "manifest", p.manifest.Version)
}

// alignRunNumbers sets the run number of all tasks of a gang to the highest one,
// because the members must start under the same number.
func (s *step) alignRunNumbers() {
	highest := 0
	for _, t := range s.tasks {
		highest = max(highest, t.run, t.highestRun)
	}
	for _, t := range s.tasks {
		t.run = highest
	}
}

// placeTasks places waiting tasks of a step until one can't be placed.
func (p *placementPass) placeTasks(s *step, j *job, view *poolView, fair bool) []*task {
	var tasks []*task
	for _, t := range s.tasks {
		if t.phase != waiting || p.orphaned[t.id] || p.now.Before(t.retryAt) {
			continue
		}
		if !p.isWithinCustomerLimit(t, j) || fair && p.exceedsFairShare(s, view.name) {
			break
		}
		if p.tryPlaceTask(t, view) {
			tasks = append(tasks, t)
			continue
		}
		if t.suspicion.IsOnProbation() {
			continue // it waits for a worker of its own, and others of the step need not
		}
		if !s.LongRunning {
			break
		}
		p.engine.poolHistoryOf(view.name).lastNoRoom = p.now
		if !p.keepWorkerFreeFor(s, view) {
			break
		}
	}
	return tasks
}

// mustWaitForWorkers reports whether inherited tasks of a queue must wait.
func (p *placementPass) mustWaitForWorkers(q *modeler.Queue) bool {
	return slices.ContainsFunc(p.engine.poolsOfQueue(q), p.mustWaitInPool)
}

// mustWaitInPool reports whether inherited tasks of a pool must wait. It calls
// Engine.mustWaitForWorkers once per pool and pass.
func (p *placementPass) mustWaitInPool(pool string) bool {
	v := p.poolView(pool)
	if !v.waitChecked {
		v.waitChecked, v.mustWait = true, p.engine.mustWaitForWorkers(pool, p.now)
	}
	return v.mustWait
}

// isWithinCustomerLimit reports whether the customer stays within its limit if
// the task runs.
func (p *placementPass) isWithinCustomerLimit(t *task, j *job) bool {
	c := p.manifest.Customer(j.Customer)
	return c == nil || c.WithinLimit(p.customerUsage[j.Customer].Add(t.resourcesTowardCustomerLimit()))
}

// tryPlaceTask chooses a worker for a task and assigns the task to it. The
// placement becomes final with commitPlacement; undoPlacement reverts it.
func (p *placementPass) tryPlaceTask(t *task, view *poolView) bool {
	s := t.step
	view.releaseReservation(t)
	if k := t.keptWorker; k != nil && !k.acceptsTasks(p.now) {
		t.releaseKeptWorker()
	}
	plain := s.Label == "" && s.MaxPerWorker == 0 && s.tickets == nil && !t.isSuspect()
	if plain && view.isKnownUnplaceable(s.ReservedResources()) {
		return false
	}
	i := assigner.ChooseWorker(view.assignerViews, t.assignerRequest(), func(i int) int {
		if !view.admits(t, i) {
			return -1
		}
		return s.countSameStepTasks(view.workers[i])
	})
	if i < 0 {
		p.keepWorkerForIsolation(t, view)
		if plain {
			view.unplaceable = append(view.unplaceable, s.ReservedResources())
		}
		return false
	}
	customer := s.occurrence.job.Customer
	p.customerUsage[customer] = p.customerUsage[customer].Add(t.resourcesTowardCustomerLimit())
	t.assignTo(view.workers[i], placed)
	view.updateWorkerView(i, s, 1)
	view.probations[i] = view.workers[i].probationView()
	if share := p.customerShares[view.name][customer]; share != nil && !s.LongRunning {
		share.running += s.ReservedResources().CPU
	}
	return true
}

// keepWorkerFreeFor keeps less urgent tasks, for the rest of the pass, off the
// worker that will have room for a task of the step soonest. Otherwise small
// tasks would fill each gap and a large task would never find room. It returns
// false if no worker is suitable or too many are kept free already.
func (p *placementPass) keepWorkerFreeFor(s *step, view *poolView) bool {
	if view.keptFree >= max(1, int(maxKeptFreeShare*float64(len(view.workers)))) {
		return false
	}
	i := assigner.ChooseWorkerToKeepFree(view.assignerViews, s.assignerRequest(), func(i int) int { return s.countSameStepTasks(view.workers[i]) })
	if i < 0 {
		return false
	}
	view.assignerViews[i].Unavailable = true
	view.keptFree++
	return true
}

// choosePreferredRack chooses the rack for a step whose tasks are slower when
// spread over several racks: the rack of its running tasks, or else a rack with
// room for all waiting tasks.
func (s *step) choosePreferredRack(view *poolView) {
	if !s.SameRack || s.DataRack != "" {
		return
	}
	s.preferredRack = ""
	for _, t := range s.tasks {
		if t.worker != nil {
			s.preferredRack = modeler.RackLabel(t.worker.Labels)
			return
		}
	}
	s.preferredRack = assigner.ChooseRack(view.assignerViews, s.assignerRequest(), s.waitingTasks)
}

// assignerRequest describes a task of the step to the assigner.
func (s *step) assignerRequest() assigner.Request {
	return assigner.Request{Resources: s.ReservedResources(), RequiredLabel: s.Label, PreferredRack: cmp.Or(s.DataRack, s.preferredRack), UsesIdleCPU: s.UsesIdleCPU, HasLatencyTarget: s.LatencyTarget > 0, LongRunning: s.LongRunning}
}

// assignerRequest describes the task to the assigner.
func (t *task) assignerRequest() assigner.Request {
	r := t.step.assignerRequest()
	r.Suspect = t.isSuspect()
	return r
}

// countSameStepTasks returns the number of tasks of the step on a worker, or -1
// if the worker must not take another one.
func (s *step) countSameStepTasks(w *worker) int {
	n := s.countTasksOn(w)
	if s.MaxPerWorker > 0 && n >= s.MaxPerWorker || s.tickets != nil && s.tickets[w.ID].value == "" {
		return -1
	}
	return n
}

// undoPlacement reverts a placement of this pass.
func (p *placementPass) undoPlacement(t *task, j *job, view *poolView) {
	i := slices.Index(view.workers, t.worker)
	p.customerUsage[j.Customer] = p.customerUsage[j.Customer].Sub(t.resourcesTowardCustomerLimit())
	if share := p.customerShares[view.name][j.Customer]; share != nil && !t.step.LongRunning {
		share.running -= t.step.ReservedResources().CPU
	}
	view.updateWorkerView(i, t.step, -1)
	t.requeue()
	view.probations[i] = view.workers[i].probationView()
}

// commitPlacement gives the placed task a new run number and queues the
// placement to be stored. The start is sent afterwards.
func (p *placementPass) commitPlacement(t *task) {
	e, j := p.engine, t.step.occurrence.job
	t.run = max(t.run, t.highestRun) + 1
	t.phaseSince, t.placedAt = p.now, p.wallTime
	if !j.hasStarted {
		j.hasStarted = true
		j.state = modeler.Running
	}
	e.markUnstored(j)
	t.placementVersion = j.version
	t.placementBoot = t.worker.StartTimeMs
	t.ticket = t.step.tickets[t.worker.ID].value
	e.awaitingStart = append(e.awaitingStart, t)
	p.awaitingStart[t.worker.Pool]++
	p.allAwaitingStart++
}

// poolView returns the state of a pool in this pass.
func (p *placementPass) poolView(name string) *poolView {
	if v := p.pools[name]; v != nil {
		return v
	}
	v := &poolView{name: name}
	for _, w := range p.engine.workersByID {
		if w.Pool == name && w.acceptsTasks(p.now) {
			v.workers = append(v.workers, w)
		}
	}
	slices.SortFunc(v.workers, func(a, b *worker) int { return strings.Compare(a.ID, b.ID) })
	for _, w := range v.workers {
		if w.keptFor != nil && p.now.Sub(w.keptSince) > maxKeepTime {
			w.keptFor.releaseKeptWorker()
		}
		view := w.assignerView()
		view.EvacuationDue = p.engine.isMaintenanceDue(w.Instance)
		v.assignerViews = append(v.assignerViews, view)
		v.probations = append(v.probations, w.probationView())
	}
	p.pools[name] = v
	return v
}

// assignerView describes the worker to the assigner.
func (w *worker) assignerView() *assigner.Worker {
	v := &assigner.Worker{Free: w.unreservedResources(), Capacity: w.Capacity, Retained: w.reservedResources(), Labels: w.Labels, Rack: modeler.RackLabel(w.Labels)}
	for _, t := range w.tasks {
		v.AddTasks(t.step.Step, 1)
		if t.isSuspect() {
			v.Suspects++
		}
	}
	return v
}

// isKnownUnplaceable reports whether a request for at most these resources has
// already failed in this pass.
func (v *poolView) isKnownUnplaceable(request modeler.Resources) bool {
	return slices.ContainsFunc(v.unplaceable, func(failed modeler.Resources) bool { return failed.Fits(request) })
}

// updateWorkerView adds n tasks of a step to the assigner's view of worker
// i; n may be negative.
func (v *poolView) updateWorkerView(i int, s *step, n int) {
	view := v.assignerViews[i]
	view.Free = view.Free.Sub(s.ReservedResources().Times(n))
	view.AddTasks(s.Step, n)
}

// releaseReservation releases the resources that a worker has reserved for a
// task, before the task is placed, so that the task can use them.
func (v *poolView) releaseReservation(t *task) {
	w := t.reservedOn
	if w == nil {
		return
	}
	w.cancelReservation(t)
	if i := slices.Index(v.workers, w); i >= 0 {
		view := v.assignerViews[i]
		view.Free = view.Free.Add(t.step.ReservedResources())
		view.Retained = view.Retained.Sub(t.step.ReservedResources())
		v.unplaceable = nil
	}
}
