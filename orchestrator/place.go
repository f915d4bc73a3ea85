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
const maxReserved = 0.25

type (
	// pass is one round of placing the waiting tasks.
	pass struct {
		e        *Engine
		now      time.Time
		manifest *modeler.Manifest
		usage    map[string]modeler.Resources // by customer
		pools    map[string]*poolView
		shares   map[string]shares // by pool
	}

	poolView struct {
		name           string
		workers        []*worker
		views          []*assigner.Worker
		full           []modeler.Resources // asks that found no worker, without further conditions
		reserved       int                 // workers closed for a task that waits for room
		asked, guarded bool                // see pass.guarded
	}

	claim struct {
		*assigner.Claim
		step *step
	}
)

// place gives waiting tasks to workers with room.
func (e *Engine) place(now time.Time) {
	if e.closing {
		return
	}
	p := &pass{e: e, now: now, manifest: e.cfg.Manifest(), usage: e.usage(), pools: make(map[string]*poolView)}
	claims := p.claims()
	p.shares = p.divide(claims)
	for _, fair := range []bool{true, false} { // what is left of the shares goes to all
		for _, c := range claims {
			p.placeStep(c.step, fair)
		}
	}
}

// usage sums up what each customer has or may have running.
func (e *Engine) usage() map[string]modeler.Resources {
	usage := make(map[string]modeler.Resources)
	for _, w := range e.fleet {
		for _, t := range w.tasks {
			customer := t.step.occurrence.job.Customer
			usage[customer] = usage[customer].Add(t.need())
		}
	}
	return usage
}

// claims lists the steps with tasks that may start, the most urgent first.
func (p *pass) claims() []claim {
	var claims []claim
	byPool := make(map[string][]*assigner.Claim)
	for _, j := range p.e.jobs {
		q := p.manifest.Queue(j.Queue)
		if q == nil || j.state.IsFinal() {
			continue
		}
		for _, o := range j.occurrences {
			if o.done == len(o.steps) || p.now.Before(o.due.Add(-p.e.cfg.EarlyStart)) && j.Repeat > 0 {
				continue
			}
			c := p.claim(o, q)
			byPool[q.Pool] = append(byPool[q.Pool], c)
			for _, s := range o.steps {
				if s.waiting > 0 && s.isReady() {
					claims = append(claims, claim{c, s})
				}
			}
		}
	}
	for pool, list := range byPool {
		assigner.Defer(list, p.cores(pool))
	}
	slices.SortStableFunc(claims, func(a, b claim) int {
		return cmp.Or(assigner.Compare(a.Claim, b.Claim), cmp.Compare(a.step.number, b.step.number))
	})
	return claims
}

// claim describes an occurrence to the choice of the next one.
func (p *pass) claim(o *occurrence, q *modeler.Queue) *assigner.Claim {
	return &assigner.Claim{
		ID:        o.job.ID,
		Priority:  q.Priority,
		Lasting:   o.job.IsLongRunning(),
		Begun:     o.isBegun(),
		Deadline:  o.due.Add(o.objective(q)).Sub(p.now),
		Remaining: o.chain(p.now),
		Work:      o.workLeft(),
		Size:      p.e.relativeSize(o.job, q),
		Accepted:  o.due,
	}
}

// cores is what the pool has or can get soon for tasks that end: its own
// workers, instances on their way to it, and those that could move to it.
func (p *pass) cores(pool string) float64 {
	cores := 0.0
	for _, w := range p.e.fleet {
		if w.Pool != pool || !w.isOpen(p.now) {
			continue
		}
		cores += float64(w.Capacity.CPU)
		for _, t := range w.tasks {
			if t.step.LongRunning {
				cores -= float64(t.step.ReservedResources().CPU)
			}
		}
	}
	for _, i := range p.e.estate.instances {
		if i.plan == movePlan && i.to == pool || i.Pool != pool && p.e.isMovable(i) {
			cores += float64(i.Capacity.CPU)
		}
	}
	return cores / coreUnit
}

// objective is the time in which the occurrence should be done.
func (o *occurrence) objective(q *modeler.Queue) time.Duration {
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
func (p *pass) placeStep(s *step, fair bool) {
	if s.waiting == 0 || s.LongRunning && !fair {
		return // nothing is left, or the first round has tried
	}
	j := s.occurrence.job
	q := p.manifest.Queue(j.Queue)
	view := p.pool(q.Pool)
	if j.inherited && p.guarded(q.Pool) {
		return
	}
	if s.Gang && s.waiting < s.Count || q.Advice != nil && !p.e.advised(s, q, view.workers, p.now) {
		return
	}
	s.settleRack(view)
	tasks := p.placeTasks(s, j, view, fair)
	if s.Gang && len(tasks) < s.Count {
		for _, t := range tasks {
			p.release(t, j, view)
		}
		return
	}
	for _, t := range tasks {
		p.commit(t)
	}
}

// placeTasks places waiting tasks of a step until one finds no place.
func (p *pass) placeTasks(s *step, j *job, view *poolView, fair bool) []*task {
	var tasks []*task
	for _, t := range s.tasks {
		if t.phase != waiting {
			continue
		}
		if !p.admits(t, j) || fair && p.exceeded(s, view.name) {
			break
		}
		if p.placeTask(t, view) {
			tasks = append(tasks, t)
			continue
		}
		if !s.LongRunning {
			break
		}
		p.e.history(view.name).stuck = p.now
		if !p.reserve(s, view) {
			break
		}
	}
	return tasks
}

// guarded is Engine.isGuarded, asked once in a pass.
func (p *pass) guarded(pool string) bool {
	v := p.pool(pool)
	if !v.asked {
		v.asked, v.guarded = true, p.e.isGuarded(pool, p.now)
	}
	return v.guarded
}

// admits says whether the task is within its customer's limit.
func (p *pass) admits(t *task, j *job) bool {
	c := p.manifest.Customer(j.Customer)
	return c == nil || c.WithinLimit(p.usage[j.Customer].Add(t.need()))
}

// placeTask finds a worker for a task and takes the room, in the pass only.
func (p *pass) placeTask(t *task, view *poolView) bool {
	s := t.step
	view.redeem(t)
	plain := s.Label == "" && s.MaxPerWorker == 0 && s.allowed == nil
	if plain && view.isFull(s.ReservedResources()) {
		return false
	}
	i := assigner.Choose(view.views, s.ask(), func(i int) int { return s.others(view.workers[i]) })
	if i < 0 {
		if plain {
			view.full = append(view.full, s.ReservedResources())
		}
		return false
	}
	customer := s.occurrence.job.Customer
	p.usage[customer] = p.usage[customer].Add(t.need())
	t.attach(view.workers[i], placed)
	view.take(i, s, 1)
	if share := p.shares[view.name][customer]; share != nil && !s.LongRunning {
		share.running += s.ReservedResources().CPU
	}
	return true
}

// reserve keeps less urgent tasks away from the worker that will soonest have
// room for a task of the step. Without it smaller tasks would take each gap, and
// a large one would never find room. It reports false when enough is reserved.
func (p *pass) reserve(s *step, view *poolView) bool {
	if view.reserved >= max(1, int(maxReserved*float64(len(view.workers)))) {
		return false
	}
	i := assigner.Reserve(view.views, s.ask(), func(i int) int { return s.others(view.workers[i]) })
	if i < 0 {
		return false
	}
	view.views[i].Closed = true
	view.reserved++
	return true
}

// settleRack chooses the rack of a step whose tasks are slower on several: that of
// the tasks that run, or one with room for all that wait.
func (s *step) settleRack(view *poolView) {
	if !s.SameRack || s.DataRack != "" {
		return
	}
	s.home = ""
	for _, t := range s.tasks {
		if t.worker != nil {
			s.home = modeler.RackLabel(t.worker.Labels)
			return
		}
	}
	s.home = assigner.ChooseRack(view.views, s.ask(), s.waiting)
}

func (s *step) ask() assigner.Ask {
	return assigner.Ask{Room: s.ReservedResources(), Label: s.Label, Rack: cmp.Or(s.DataRack, s.home), Fills: s.UsesIdleCPU, Serves: s.LatencyTarget > 0, Lasting: s.LongRunning}
}

// others counts the tasks of the step that a worker has, -1 when it must not
// have another one.
func (s *step) others(w *worker) int {
	n := s.on(w)
	if s.MaxPerWorker > 0 && n >= s.MaxPerWorker || s.allowed != nil && s.allowed[w.ID] == "" {
		return -1
	}
	return n
}

// release takes a placement of the pass back.
func (p *pass) release(t *task, j *job, view *poolView) {
	i := slices.Index(view.workers, t.worker)
	p.usage[j.Customer] = p.usage[j.Customer].Sub(t.need())
	if share := p.shares[view.name][j.Customer]; share != nil && !t.step.LongRunning {
		share.running -= t.step.ReservedResources().CPU
	}
	view.take(i, t.step, -1)
	t.requeue()
}

// commit numbers the run and has the placement stored; the order follows.
func (p *pass) commit(t *task) {
	e, j := p.e, t.step.occurrence.job
	t.run++
	t.since = p.now
	if t.step.Gang {
		for _, member := range t.step.tasks {
			t.run = max(t.run, member.run)
		}
	}
	if !j.begun {
		j.begun = true
		j.state = modeler.Running
	}
	e.change(j)
	t.version = j.version
	t.ticket = t.step.allowed[t.worker.ID]
	e.toStart = append(e.toStart, t)
	e.log.Info("task placed", "task", t.id.String(), "run", t.run, "worker", t.worker.ID, "waited", p.now.Sub(t.step.occurrence.due).Round(time.Millisecond).String(),
		"free-cpu", t.worker.free().CPU, "manifest", p.manifest.Version)
}

func (p *pass) pool(name string) *poolView {
	if v := p.pools[name]; v != nil {
		return v
	}
	v := &poolView{name: name}
	for _, w := range p.e.fleet {
		if w.Pool == name && w.isOpen(p.now) {
			v.workers = append(v.workers, w)
		}
	}
	slices.SortFunc(v.workers, func(a, b *worker) int { return strings.Compare(a.ID, b.ID) })
	for _, w := range v.workers {
		view := w.view()
		view.Due = p.e.isDue(w.Instance)
		v.views = append(v.views, view)
	}
	p.pools[name] = v
	return v
}

func (w *worker) view() *assigner.Worker {
	v := &assigner.Worker{Free: w.spare(), Total: w.Capacity, Labels: w.Labels, Rack: modeler.RackLabel(w.Labels)}
	for _, t := range w.tasks {
		v.Count(t.step.Step, 1)
	}
	return v
}

// isFull says whether an ask as small as one that failed already is asked.
func (v *poolView) isFull(room modeler.Resources) bool {
	return slices.ContainsFunc(v.full, func(failed modeler.Resources) bool { return failed.Fits(room) })
}

// take books n tasks of a step at a worker of the pass.
func (v *poolView) take(i int, s *step, n int) {
	view := v.views[i]
	view.Free = view.Free.Sub(s.ReservedResources().Times(n))
	view.Count(s.Step, n)
}

// redeem gives a task the room that was promised to it, in the pass only.
func (v *poolView) redeem(t *task) {
	w := t.promised
	if w == nil {
		return
	}
	w.unpromise(t)
	if i := slices.Index(v.workers, w); i >= 0 {
		v.views[i].Free = v.views[i].Free.Add(t.step.ReservedResources())
		v.full = nil
	}
}
