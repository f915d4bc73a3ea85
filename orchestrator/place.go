package orchestrator

import (
	"cmp"
	"slices"
	"strings"
	"time"

	"github.com/coltsfootlever/coltsfootlever/assigner"
	"github.com/coltsfootlever/coltsfootlever/modeler"
)

// maxReserved is the part of a pool's workers that may wait for the room that a
// lasting task needs. The others go on with what fits.
const maxReservedShare = 0.25

type (
	// pass is one round of placing the waiting tasks.
	placementPass struct {
		engine         *Engine
		now            time.Time
		manifest       *modeler.Manifest
		customerUsage  map[string]modeler.Resources // by customer
		pools          map[string]*poolView
		customerShares map[string]customerShares // by pool
	}

	poolView struct {
		name                  string
		workers               []*worker
		assignerViews         []*assigner.Worker
		unplaceable           []modeler.Resources // asks that found no worker, without further conditions
		reserved              int                 // workers closed for a task that waits for room
		waitChecked, mustWait bool                // see pass.guarded
	}

	candidateStep struct {
		*assigner.Claim
		step *step
	}
)

// place gives waiting tasks to workers with room.
func (e *Engine) runPlacement(now time.Time) {
	if e.shuttingDown {
		return
	}
	p := &placementPass{engine: e, now: now, manifest: e.cfg.Manifest(), customerUsage: e.usageByCustomer(), pools: make(map[string]*poolView)}
	claims := p.listCandidates()
	p.customerShares = p.customerSharesByPool(claims)
	for _, fair := range []bool{true, false} { // what is left of the shares goes to all
		for _, c := range claims {
			p.placeStep(c.step, fair)
		}
	}
}

// usage sums up what each customer has or may have running.
func (e *Engine) usageByCustomer() map[string]modeler.Resources {
	usage := make(map[string]modeler.Resources)
	for _, w := range e.workersByID {
		for _, t := range w.tasks {
			customer := t.step.occurrence.job.Customer
			usage[customer] = usage[customer].Add(t.limitUsage())
		}
	}
	return usage
}

// claims lists the steps with tasks that may start, the most urgent first.
func (p *placementPass) listCandidates() []candidateStep {
	var claims []candidateStep
	byPool := make(map[string][]*assigner.Claim)
	for _, j := range p.engine.jobs {
		q := p.manifest.Queue(j.Queue)
		if q == nil || j.state.IsFinal() {
			continue
		}
		for _, o := range j.occurrences {
			if o.finishedSteps == len(o.steps) || p.now.Before(o.due.Add(-p.engine.cfg.EarlyStart)) && j.Repeat > 0 {
				continue
			}
			c := p.describeOccurrence(o, q)
			byPool[q.Pool] = append(byPool[q.Pool], c)
			for _, s := range o.steps {
				if s.waitingTasks > 0 && s.dependenciesDone() {
					claims = append(claims, candidateStep{c, s})
				}
			}
		}
	}
	for pool, list := range byPool {
		assigner.Defer(list, p.availableCores(pool))
	}
	slices.SortStableFunc(claims, func(a, b candidateStep) int {
		return cmp.Or(assigner.Compare(a.Claim, b.Claim), cmp.Compare(a.step.number, b.step.number))
	})
	return claims
}

// claim describes an occurrence to the choice of the next one.
func (p *placementPass) describeOccurrence(o *occurrence, q *modeler.Queue) *assigner.Claim {
	return &assigner.Claim{
		ID:        o.job.ID,
		Priority:  q.Priority,
		Lasting:   o.job.IsLongRunning(),
		Begun:     o.hasStarted(),
		Deadline:  o.due.Add(o.targetDuration(q)).Sub(p.now),
		Remaining: o.remainingCriticalPath(p.now),
		Work:      o.remainingWork(),
		Size:      p.engine.sizeRelativeToQueueMean(o.job, q),
		Accepted:  o.due,
	}
}

// cores is what the pool has or can get soon for tasks that end: its own
// workers, instances on their way to it, and those that could move to it.
func (p *placementPass) availableCores(pool string) float64 {
	cores := 0.0
	for _, w := range p.engine.workersByID {
		if w.Pool != pool || !w.acceptsTasks(p.now) {
			continue
		}
		cores += float64(w.Capacity.CPU)
		for _, t := range w.tasks {
			if t.step.LongRunning {
				cores -= float64(t.step.ReservedResources().CPU)
			}
		}
	}
	for _, i := range p.engine.planner.instances {
		if i.plan == movePlan && i.targetPool == pool || i.Pool != pool && p.engine.isMovable(i) {
			cores += float64(i.Capacity.CPU)
		}
	}
	return cores / milliCoresPerCore
}

// objective is the time in which the occurrence should be done.
func (o *occurrence) targetDuration(q *modeler.Queue) time.Duration {
	ends := make([]time.Duration, len(o.steps))
	longest := time.Duration(0)
	for i, s := range o.steps {
		ends[i] = s.Estimate
		for _, n := range s.After {
			ends[i] = max(ends[i], ends[n]+s.Estimate)
		}
		longest = max(longest, ends[i])
	}
	return time.Duration(q.ObjectiveFactor*float64(longest)) + q.ObjectiveOffset
}

// placeStep places what waits of a step. With fair set, it stops at the
// customer's share.
func (p *placementPass) placeStep(s *step, fair bool) {
	if s.waitingTasks == 0 || s.LongRunning && !fair {
		return // nothing is left, or the first round has tried
	}
	j := s.occurrence.job
	q := p.manifest.Queue(j.Queue)
	view := p.poolView(q.Pool)
	if j.fromEarlierTerm && p.mustWaitForWorkers(q.Pool) {
		return
	}
	if s.Gang && s.waitingTasks < s.Count || q.Advice != nil && !p.engine.hasCurrentTickets(s, q, view.workers, p.now) {
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
	for _, t := range tasks {
		p.commitPlacement(t)
	}
}

// placeTasks places waiting tasks of a step until one finds no place.
func (p *placementPass) placeTasks(s *step, j *job, view *poolView, fair bool) []*task {
	var tasks []*task
	for _, t := range s.tasks {
		if t.phase != waiting {
			continue
		}
		if !p.isWithinCustomerLimit(t, j) || fair && p.exceedsFairShare(s, view.name) {
			break
		}
		if p.tryPlaceTask(t, view) {
			tasks = append(tasks, t)
			continue
		}
		if !s.LongRunning {
			break
		}
		p.engine.poolHistoryOf(view.name).lastNoRoom = p.now
		if !p.reserveWorkerFor(s, view) {
			break
		}
	}
	return tasks
}

// guarded is Engine.isGuarded, asked once in a pass.
func (p *placementPass) mustWaitForWorkers(pool string) bool {
	v := p.poolView(pool)
	if !v.waitChecked {
		v.waitChecked, v.mustWait = true, p.engine.mustWaitForWorkers(pool, p.now)
	}
	return v.mustWait
}

// admits says whether the task is within its customer's limit.
func (p *placementPass) isWithinCustomerLimit(t *task, j *job) bool {
	c := p.manifest.Customer(j.Customer)
	return c == nil || c.WithinLimit(p.customerUsage[j.Customer].Add(t.limitUsage()))
}

// placeTask finds a worker for a task and takes the room, in the pass only.
func (p *placementPass) tryPlaceTask(t *task, view *poolView) bool {
	s := t.step
	view.useReservation(t)
	plain := s.Label == "" && s.MaxPerWorker == 0 && s.tickets == nil
	if plain && view.isKnownUnplaceable(s.ReservedResources()) {
		return false
	}
	i := assigner.Choose(view.assignerViews, s.assignerRequest(), func(i int) int { return s.countSameStepTasks(view.workers[i]) })
	if i < 0 {
		if plain {
			view.unplaceable = append(view.unplaceable, s.ReservedResources())
		}
		return false
	}
	customer := s.occurrence.job.Customer
	p.customerUsage[customer] = p.customerUsage[customer].Add(t.limitUsage())
	t.assignTo(view.workers[i], placed)
	view.adjustView(i, s, 1)
	if share := p.customerShares[view.name][customer]; share != nil && !s.LongRunning {
		share.running += s.ReservedResources().CPU
	}
	return true
}

// reserve keeps less urgent tasks away from the worker that will soonest have
// room for a task of the step. Without it smaller tasks would take each gap, and
// a large one would never find room. It reports false when enough is reserved.
func (p *placementPass) reserveWorkerFor(s *step, view *poolView) bool {
	if view.reserved >= max(1, int(maxReservedShare*float64(len(view.workers)))) {
		return false
	}
	i := assigner.Reserve(view.assignerViews, s.assignerRequest(), func(i int) int { return s.countSameStepTasks(view.workers[i]) })
	if i < 0 {
		return false
	}
	view.assignerViews[i].Closed = true
	view.reserved++
	return true
}

// settleRack chooses the rack of a step whose tasks are slower on several: that of
// the tasks that run, or one with room for all that wait.
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

func (s *step) assignerRequest() assigner.Ask {
	return assigner.Ask{Room: s.ReservedResources(), Label: s.Label, Rack: cmp.Or(s.DataRack, s.preferredRack), Fills: s.UsesIdleCPU, Serves: s.LatencyTarget > 0, Lasting: s.LongRunning}
}

// others counts the tasks of the step that a worker has, -1 when it must not
// have another one.
func (s *step) countSameStepTasks(w *worker) int {
	n := s.countTasksOn(w)
	if s.MaxPerWorker > 0 && n >= s.MaxPerWorker || s.tickets != nil && s.tickets[w.ID] == "" {
		return -1
	}
	return n
}

// release takes a placement of the pass back.
func (p *placementPass) undoPlacement(t *task, j *job, view *poolView) {
	i := slices.Index(view.workers, t.worker)
	p.customerUsage[j.Customer] = p.customerUsage[j.Customer].Sub(t.limitUsage())
	if share := p.customerShares[view.name][j.Customer]; share != nil && !t.step.LongRunning {
		share.running -= t.step.ReservedResources().CPU
	}
	view.adjustView(i, t.step, -1)
	t.requeue()
}

// commit numbers the run and has the placement stored; the order follows.
func (p *placementPass) commitPlacement(t *task) {
	e, j := p.engine, t.step.occurrence.job
	t.run++
	t.phaseSince = p.now
	if t.step.Gang {
		for _, member := range t.step.tasks {
			t.run = max(t.run, member.run)
		}
	}
	if !j.hasStarted {
		j.hasStarted = true
		j.state = modeler.Running
	}
	e.markUnstored(j)
	t.placementVersion = j.version
	t.ticket = t.step.tickets[t.worker.ID]
	e.awaitingStart = append(e.awaitingStart, t)
	e.log.Info("task placed", "task", t.id.String(), "run", t.run, "worker", t.worker.ID, "waited", p.now.Sub(t.step.occurrence.due).Round(time.Millisecond).String(),
		"free-cpu", t.worker.freeResources().CPU, "manifest", p.manifest.Version)
}

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
		view := w.assignerView()
		view.Due = p.engine.isMaintenanceDue(w.Instance)
		v.assignerViews = append(v.assignerViews, view)
	}
	p.pools[name] = v
	return v
}

func (w *worker) assignerView() *assigner.Worker {
	v := &assigner.Worker{Free: w.unreservedResources(), Total: w.Capacity, Labels: w.Labels, Rack: modeler.RackLabel(w.Labels)}
	for _, t := range w.tasks {
		v.Count(t.step.Step, 1)
	}
	return v
}

// isFull says whether an ask as small as one that failed already is asked.
func (v *poolView) isKnownUnplaceable(room modeler.Resources) bool {
	return slices.ContainsFunc(v.unplaceable, func(failed modeler.Resources) bool { return failed.Fits(room) })
}

// take books n tasks of a step at a worker of the pass.
func (v *poolView) adjustView(i int, s *step, n int) {
	view := v.assignerViews[i]
	view.Free = view.Free.Sub(s.ReservedResources().Times(n))
	view.Count(s.Step, n)
}

// redeem gives a task the room that was promised to it, in the pass only.
func (v *poolView) useReservation(t *task) {
	w := t.reservedOn
	if w == nil {
		return
	}
	w.cancelReservation(t)
	if i := slices.Index(v.workers, w); i >= 0 {
		v.assignerViews[i].Free = v.assignerViews[i].Free.Add(t.step.ReservedResources())
		v.unplaceable = nil
	}
}
