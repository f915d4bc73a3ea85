package orchestrator

import (
	"maps"
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

// Results of an attempt to place a task.
const (
	noRoom attempt = iota
	taskPlaced
	taskWaits // for room in its preferred rack, or on the only worker that may take it
)

type (
	// attempt is the result of an attempt to place a task.
	attempt int

	// placementPass is the state of one pass that places waiting tasks.
	placementPass struct {
		engine        *Engine
		number        int64 // of the pass in this term
		now           time.Time
		wallTime      time.Time // see Config.WallClock
		manifest      *modeler.Manifest
		extraUsage    map[string]modeler.Resources // by customer, resources that may be in use besides customerState.usage
		queues        []*candidateQueue            // steps that may start, by priority
		orphaned      map[modeler.TaskID]bool      // see Engine.tasksWithOrphanedRuns
		startsOfAll   int                          // number of placed tasks that may await their start
		startsPerPool int                          // number of them in one pool

		allAwaitingStart int // number of placed tasks that await their start

		anyPlaced bool // some task has been placed
		anyLeft   bool // some job has had its turn before all its tasks were looked at
	}

	// coreCounts is the CPU, in thousandths of a core, that tasks which are not
	// long-running can use: by pool that of its workers and of the instances that
	// are moving to it, and that of the idle instances that could move.
	coreCounts struct {
		usable    map[string]int64
		movable   int64
		movableOf map[string]int64 // by the pool in which they are
	}

	// instanceCores is the CPU, in thousandths of a core, of instances that move or could
	// move.
	instanceCores struct {
		known     bool             // nothing has changed since they were counted
		moving    map[string]int64 // by the pool to which they move
		movable   int64            // of the idle instances that could move
		movableOf map[string]int64 // by the pool in which they are
	}
)

// runPlacement assigns waiting tasks to workers with enough free resources.
func (e *Engine) runPlacement(now time.Time) {
	if e.shuttingDown || e.zoneState.outdated {
		return
	}
	e.placement.passes++
	p := &placementPass{engine: e, number: e.placement.passes, now: now, wallTime: e.cfg.WallClock(), manifest: e.cfg.Manifest(), extraUsage: e.usageOfOrphanedRuns(), orphaned: e.tasksWithOrphanedRuns()}
	for need := range e.advice.wanted {
		clear(e.advice.wanted[need])
		e.advice.wanted[need] = e.advice.wanted[need][:0]
	}
	p.addUnstoredUsage()
	e.unanswered.addUsage(p.extraUsage, now)
	p.listCandidates()
	p.computeShares()
	p.shareStarts()
	for _, fair := range []bool{true, false} { // the second round gives customers what others left of their fair shares
		p.forEachCandidate(func(c *candidateStep) {
			if !c.step.LongRunning && !p.startsAvailable(c.pool) {
				e.admission.startsLacked[c.pool.name] = true
				return // a task that can't be started soon may be placed better later
			}
			if c.needsOnlyRoom && c.pool.viewedIn == p && c.pool.view.full {
				return
			}
			e.handling = c.step.occurrence.job
			p.placeStep(c.step, c.pool, fair)
		})
	}
	e.handling = nil
	if p.anyPlaced && p.anyLeft {
		e.requestPlacement() // otherwise the next tick does
	}
	e.requestAdvice(now)
}

// shareStarts limits how many tasks await their start, since tasks that can't be
// started soon may be placed better later. While they pile up, it divides the
// number among the pools that have candidates, so that a pool with a long backlog
// leaves the others their part.
func (p *placementPass) shareStarts() {
	for _, t := range p.engine.awaitingStart {
		if t.phase == placed {
			t.worker.pool.awaitingStart++
			p.allAwaitingStart++
		}
	}
	p.startsOfAll = placedPerStart * p.engine.throttle.Limit()
	if p.startsPerPool = math.MaxInt; !p.engine.throttle.IsCongested() && p.allAwaitingStart < p.startsOfAll/2 {
		return
	}
	pools := 0
	for _, pool := range p.engine.pools {
		if pool.hasCandidates {
			pools++
		}
	}
	p.startsPerPool = max(1, p.startsOfAll/max(1, pools))
}

// startsAvailable reports whether further tasks may be placed in a pool.
func (p *placementPass) startsAvailable(pool *poolState) bool {
	return p.allAwaitingStart < p.startsOfAll && pool.awaitingStart < p.startsPerPool
}

// usageByCustomer returns the resources of all tasks that are or may be
// running and of orphaned runs whose task is known, by customer.
func (e *Engine) usageByCustomer() map[string]modeler.Resources {
	usage := e.usageOfOrphanedRuns()
	for name, c := range e.customers {
		usage[name] = usage[name].Add(c.usage)
	}
	return usage
}

// usageOfOrphanedRuns returns the resources of orphaned runs whose task is known,
// by customer.
func (e *Engine) usageOfOrphanedRuns() map[string]modeler.Resources {
	usage := make(map[string]modeler.Resources)
	for w := range e.orphanHolders() {
		for id, r := range w.orphanedRuns {
			if r.task != nil && !r.task.isPlacedAs(w, id.number) { // a run adopted after its first stop is in w.tasks
				customer := r.task.step.occurrence.job.Customer
				usage[customer] = usage[customer].Add(r.task.resourcesTowardCustomerLimit())
			}
		}
	}
	return usage
}

// availableCores returns the number of cores that the pool has or can soon get
// for tasks that are not long-running: its own workers, instances that are
// moving to it and idle instances that could move to it.
func (p *placementPass) availableCores(pool *poolState) float64 {
	i := p.engine.idleCores()
	return float64(p.poolView(pool).usable+i.moving[pool.name]+i.movable-i.movableOf[pool.name]) / milliCoresPerCore
}

// countCores counts the CPU of all pools.
func (e *Engine) countCores(now time.Time) *coreCounts {
	i := e.idleCores()
	c := &coreCounts{usable: maps.Clone(i.moving), movable: i.movable, movableOf: i.movableOf}
	for _, w := range e.workersByID {
		if w.acceptsTasks(now) {
			c.usable[w.Pool] += w.usableCPU()
		}
	}
	return c
}

// usableCPU returns the CPU that tasks which are not long-running can use.
func (w *worker) usableCPU() int64 {
	return max(0, w.Capacity.CPU-w.longRunningCPU) // long-running tasks stay on a worker whose capacity has shrunk
}

// idleCores returns the CPU of the instances that move or could move. It counts
// them again after a change of an instance or a plan, or when a worker has become idle
// or busy; in any case once in a planning round.
func (e *Engine) idleCores() *instanceCores {
	c := &e.instanceCores
	if c.known {
		return c
	}
	*c = instanceCores{known: true, moving: make(map[string]int64), movableOf: make(map[string]int64)}
	for _, i := range e.planner.instances {
		switch {
		case !e.isInUse(i):
		case i.plan == movePlan:
			c.moving[i.targetPool] += i.Capacity.CPU
		case e.isMovable(i):
			c.movable += i.Capacity.CPU
			c.movableOf[i.Pool] += i.Capacity.CPU
		}
	}
	return c
}

// targetDuration returns the time within which the occurrence should complete.
func (o *occurrence) targetDuration(q *modeler.Queue) time.Duration {
	return time.Duration(q.ObjectiveFactor*float64(o.job.criticalPath)) + q.ObjectiveOffset
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
func (p *placementPass) placeStep(s *step, pool *poolState, fair bool) {
	if s.waitingTasks == 0 || s.LongRunning && !fair {
		return // no task is waiting, or the first round has already tried
	}
	j := s.occurrence.job
	q := j.settingsIn(p.manifest).queue
	view := p.poolView(pool)
	if j.fromEarlierTerm && p.mustWaitForWorkers(q) {
		return
	}
	if s.Gang && !p.mayPlaceGang(s, view) {
		return
	}
	if (s.advice != nil || q.Advice != nil) && !p.hasTickets(s, q, view) {
		return
	}
	s.choosePreferredRack(view)
	wasFull := view.full
	tasks := p.placeTasks(s, j, view, fair)
	if s.Gang && (len(tasks) < s.Count || p.mayWaitForRack(s.tasks[0]) && hasTaskElsewhere(tasks)) {
		complete := len(tasks) == s.Count
		view.full = wasFull // the tasks that were placed leave their room again
		p.undoPlacements(tasks, view)
		if !complete || p.waitsForRack(s.tasks[0], view, s.Count) {
			return
		}
		tasks = p.placeTasks(s, j, view, fair)
	}
	if s.Gang {
		s.alignRunNumbers()
	}
	allNear := !s.Gang || !hasTaskElsewhere(tasks)
	for _, t := range tasks {
		p.commitPlacement(t)
		p.endRackWait(t, allNear && t.runsNear(t.worker))
	}
	if len(tasks) > 0 {
		p.logPlacements(s, tasks)
	}
}

// mayPlaceGang reports whether all tasks of a gang wait for nothing but room. If the pool
// has none for so many, less urgent tasks of their size leave them what there is.
func (p *placementPass) mayPlaceGang(s *step, view *poolView) bool {
	if s.waitingTasks < s.Count || s.hasTaskIn(p.orphaned) || slices.ContainsFunc(s.tasks, func(t *task) bool { return p.engine.awaitsLateStart(t, p.now) }) {
		return false
	}
	if s.Count <= maxTasksPerTurn || view.mayHaveRoomForGang(s) {
		return true
	}
	if s.hasPlainRequirements() {
		view.unplaceable = append(view.unplaceable, s.ReservedResources())
	}
	return false
}

// logPlacements logs the placements of tasks of a step in one line, each as
// INDEX:RUN@WORKER, and only the first ones of many.
func (p *placementPass) logPlacements(s *step, tasks []*task) {
	var list strings.Builder
	for i, t := range tasks[:min(len(tasks), maxTasksPerTurn)] {
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
	p.engine.log.Info("tasks placed on workers", "job", id.Job, "occurrence", id.Occurrence, "step", id.Step, "tasks", list.String(), "placed", len(tasks), "waiting", s.waitingTasks,
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

// placeTasks places waiting tasks of a step until one can't be placed. It looks at a gang
// as a whole, and at no more tasks of another step than the turn of the job allows.
func (p *placementPass) placeTasks(s *step, j *job, view *poolView, fair bool) []*task {
	var tasks []*task
	turn := p.turnOf(j)
	first := s.resumeAt
	s.resumeAt = 0
	for i, left := s.nextWaiting(first), s.waitingTasks; left > 0; left-- {
		if i < 0 {
			i = s.nextWaiting(0)
		}
		if !s.Gang {
			if turn.tasks <= 0 {
				s.resumeAt, p.anyLeft = i, true
				break
			}
			turn.tasks--
		}
		t := s.taskAt(i)
		i = s.nextWaiting(i + 1)
		if p.orphaned[t.id] || p.now.Before(t.retryAt) || p.engine.awaitsLateStart(t, p.now) {
			continue
		}
		if !p.isWithinCustomerLimit(t, j) || fair && view.pool.shares.isExceededBy(s) {
			break
		}
		switch p.tryPlaceTask(t, view) {
		case taskPlaced:
			tasks = append(tasks, t)
			continue
		case taskWaits:
			continue // others of the step may not
		}
		if t.suspicion.IsOnProbation() {
			continue // it waits for a worker of its own, and others of the step need not
		}
		if !s.LongRunning {
			break
		}
		p.engine.poolHistoryOf(view.pool.name).lastNoRoom = p.now
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
	v := p.poolView(p.engine.poolState(pool))
	if !v.waitChecked {
		v.waitChecked, v.mustWait = true, p.engine.mustWaitForWorkers(pool, p.now)
	}
	return v.mustWait
}

// isWithinCustomerLimit reports whether the customer stays within its limit if
// the task runs. Late starts of the task itself are refused on its worker.
func (p *placementPass) isWithinCustomerLimit(t *task, j *job) bool {
	c := j.settingsIn(p.manifest).customer
	if c == nil {
		return true
	}
	usage := j.customer.usage.Add(p.extraUsage[j.Customer])
	if t.confinedTo != nil {
		usage = usage.Sub(t.resourcesTowardCustomerLimit().Times(t.countOwnLateStarts(p.now)))
	}
	return c.WithinLimit(usage.Add(t.resourcesTowardCustomerLimit()))
}

// tryPlaceTask chooses a worker for a task and assigns the task to it. The
// placement becomes final with commitPlacement; undoPlacements reverts it.
func (p *placementPass) tryPlaceTask(t *task, view *poolView) attempt {
	s := t.step
	view.releaseReservation(t)
	if k := t.keptWorker; k != nil && !k.acceptsTasks(p.now) {
		t.releaseKeptWorker()
	}
	plain := s.hasPlainRequirements() && !t.isSuspect() && t.confinedTo == nil
	if w := t.confinedTo; w != nil { // the room of its late starts is its own
		own := s.ReservedResources().Times(t.countOwnLateStarts(p.now))
		w.view.Free = w.view.Free.Add(own)
		defer func() {
			if t.worker != w {
				w.view.Free = w.view.Free.Sub(own)
			}
		}()
	}
	if plain && view.isKnownUnplaceable(s.ReservedResources()) {
		return noRoom
	}
	i := view.chooseWorker(t, plain)
	if w := t.confinedTo; i < 0 && w != nil {
		if !w.acceptsTasks(p.now) {
			return taskWaits
		}
		t.confinedTo = nil // it has no room
		i = view.chooseWorker(t, plain)
	}
	if i < 0 {
		p.keepWorkerForIsolation(t, view)
		if plain {
			view.addUnplaceable(s.ReservedResources())
		}
		return noRoom
	}
	if !s.Gang && !t.runsNear(view.workers[i]) && p.waitsForRack(t, view, 1) {
		return taskWaits
	}
	kept := t.keptWorker
	t.assignTo(view.workers[i], placed)
	view.probations[i] = view.workers[i].view.probation
	view.updateIndex(i)
	if k := slices.Index(view.workers, kept); k >= 0 {
		view.updateIndex(k) // other tasks may use it now
	}
	view.pool.shares.addRunning(s, 1)
	return taskPlaced
}

// hasTaskElsewhere reports whether some of the placed tasks is outside its preferred
// rack.
func hasTaskElsewhere(tasks []*task) bool {
	return slices.ContainsFunc(tasks, func(t *task) bool { return !t.runsNear(t.worker) })
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
	view.updateIndex(i)
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
	if i := s.assigned.next(0); i >= 0 {
		s.preferredRack = modeler.RackLabel(s.tasks[i].worker.Labels)
		return
	}
	s.preferredRack = assigner.ChooseRack(view.assignerViews, s.assignerRequest(), s.waitingTasks)
}

// assignerRequest describes a task of the step to the assigner.
func (s *step) assignerRequest() assigner.Request {
	return assigner.Request{Resources: s.ReservedResources(), RequiredLabel: s.Label, PreferredRack: s.rackPreference(), UsesIdleCPU: s.UsesIdleCPU, HasLatencyTarget: s.LatencyTarget > 0, LongRunning: s.LongRunning}
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
	n := s.tasksOn[w]
	if s.MaxPerWorker > 0 && n >= s.MaxPerWorker || !s.advice.permits(w) {
		return -1
	}
	return n
}

// undoPlacements reverts placements of this pass.
func (p *placementPass) undoPlacements(tasks []*task, view *poolView) {
	touched := make(map[*worker]bool)
	for _, t := range tasks {
		touched[t.worker] = true
		view.pool.shares.addRunning(t.step, -1)
		t.requeue()
	}
	for i, w := range view.workers {
		if touched[w] {
			unavailable := w.view.Unavailable
			w.updateView(w.view.late)
			w.view.Unavailable = unavailable
			view.probations[i] = w.view.probation
			view.updateIndex(i)
		}
	}
}

// commitPlacement gives the placed task a new run number and queues the
// placement to be stored. The start is sent afterwards.
func (p *placementPass) commitPlacement(t *task) {
	e, j := p.engine, t.step.occurrence.job
	t.run = max(t.run, t.highestRun) + 1
	t.phaseSince, t.placedAt, t.startsRepeated = p.now, p.wallTime, 0
	j.markPlaced()
	e.markUnstored(j)
	t.placementVersion = j.version
	t.placementBoot = t.worker.StartTimeMs
	t.ticket = t.step.advice.ticketOf(t.worker.ID)
	e.awaitingStart = append(e.awaitingStart, t)
	t.worker.pool.awaitingStart++
	p.allAwaitingStart++
	p.anyPlaced = true
}
