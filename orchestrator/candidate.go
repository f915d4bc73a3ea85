package orchestrator

import (
	"cmp"
	"slices"
	"time"

	"github.com/coltsfootlever/coltsfootlever/assigner"
	"github.com/coltsfootlever/coltsfootlever/modeler"
)

type (
	// candidateStep is a step with waiting tasks that may start, with the
	// description by which its occurrence is ordered among others.
	candidateStep struct {
		*assigner.Candidate
		step *step
		pool *poolState
		need modeler.Resources // of one task on its worker

		// needsOnlyRoom tells that the tasks have no requirements besides their resources,
		// so that a visit to the step does nothing while the pool is full.
		needsOnlyRoom bool
	}

	// candidateQueue contains the candidate steps of a priority. Most of the waiting jobs
	// of a long backlog can't meet their objective any more and only wait for their
	// turn, so that they need not be sorted in each pass.
	candidateQueue struct {
		priority int
		urgent   []*candidateStep // of long-running jobs and of those that can meet their objective
		late     []*candidateStep // the others, by the time at which they were due
		unsorted bool             // late contains occurrences of repeating jobs, which are not in the order of Engine.jobOrder
	}

	// backlogEntry contains the candidate steps of a job that has not been placed and can't
	// meet its objective any more. They stay the same until it is placed, or the manifest
	// changes.
	backlogEntry struct {
		manifest   *modeler.Manifest
		candidates []*candidateStep
	}

	// occurrenceObjective is the time by which an occurrence should be completed
	// according to a manifest.
	occurrenceObjective struct {
		manifest *modeler.Manifest
		deadline time.Time
	}
)

// compareJobs sorts jobs by the time at which they were accepted.
func compareJobs(a, b *job) int {
	return cmp.Or(a.Accepted.Compare(b.Accepted), cmp.Compare(a.ID, b.ID))
}

// addJob adds a job that has not ended.
func (e *Engine) addJob(j *job) {
	e.jobs[j.ID] = j
	i, _ := slices.BinarySearchFunc(e.jobOrder, j, compareJobs)
	e.jobOrder = slices.Insert(e.jobOrder, i, j)
}

// removeJob removes a job whose outcome is stored.
func (e *Engine) removeJob(j *job) {
	delete(e.jobs, j.ID)
	if i, ok := slices.BinarySearchFunc(e.jobOrder, j, compareJobs); ok {
		e.jobOrder = slices.Delete(e.jobOrder, i, i+1)
	}
}

// listCandidates lists the steps with waiting tasks that may start in p.queues, the
// most urgent first.
func (p *placementPass) listCandidates() {
	p.resetCandidates()
	p.engine.buildDueOccurrences(p.wallTime)
	p.describeJobs()
	for _, pool := range p.engine.pools {
		if pool.mayDefer {
			assigner.DeferJobs(pool.inTime, p.availableCores(pool))
		}
	}
	for _, j := range p.engine.jobOrder {
		switch {
		case j.settings.queue == nil || j.state.IsFinal():
		case j.isBacklog():
			for _, c := range j.backlog.candidates {
				p.addCandidate(c)
			}
		default:
			p.addCandidatesOf(j)
		}
	}
	for _, q := range p.queues {
		slices.SortFunc(q.urgent, compareCandidateSteps)
		if q.unsorted {
			slices.SortFunc(q.late, compareCandidateSteps)
		}
	}
}

// describeJobs describes the occurrences that may run, but for those of the backlog.
func (p *placementPass) describeJobs() {
	e := p.engine
	for _, j := range e.jobOrder {
		q := j.settingsIn(p.manifest).queue
		if q == nil || j.state.IsFinal() {
			continue
		}
		e.handling = j
		if j.isBacklog() {
			continue
		}
		if j.pool == nil || j.pool.name != q.Pool {
			j.pool = e.poolState(q.Pool)
		}
		for _, o := range p.occurrencesInTurn(j) {
			if p.mayRun(o) {
				p.describeOccurrence(o, q)
			}
		}
	}
	e.handling = nil
}

// occurrencesInTurn returns the occurrences of a job that the pass looks at: of many some
// with waiting tasks, from the one on at which the last pass stopped.
func (p *placementPass) occurrencesInTurn(j *job) []*occurrence {
	if len(j.occurrences) <= maxTasksPerTurn {
		return j.occurrences
	}
	turn := p.turnOf(j)
	if turn.occurrences == nil {
		first, _ := j.findOccurrence(turn.firstOccurrence)
		turn.firstOccurrence = 0
		for i := range j.occurrences {
			o := j.occurrences[(first+i)%len(j.occurrences)]
			if len(turn.occurrences) == maxTasksPerTurn {
				turn.firstOccurrence, p.anyLeft = o.number, true
				break
			}
			if o.hasWaitingTasks() {
				turn.occurrences = append(turn.occurrences, o)
			}
		}
	}
	return turn.occurrences
}

// addCandidatesOf adds the steps of a job that may start to the candidates, as many as its
// turn allows. If they stay the same until the job is placed, it becomes part of the
// backlog.
func (p *placementPass) addCandidatesOf(j *job) {
	var candidates []*candidateStep
	occurrences, turn := p.occurrencesInTurn(j), p.turnOf(j)
	becomesBacklog := j.Repeat == 0 && !j.hasBeenPlaced && j.occurrences[0].candidate.CannotMeetDeadline()
	first := turn.firstStep
	turn.firstStep = stepPosition{}
	for _, o := range occurrences {
		if !p.mayRun(o) {
			continue
		}
		for _, s := range o.steps {
			if s.waitingTasks == 0 || s.position().isBefore(first) || !s.dependenciesDone() {
				continue
			}
			if turn.steps == 0 {
				turn.firstOccurrence, turn.firstStep, p.anyLeft = o.number, s.position(), true
				return
			}
			turn.steps--
			s.candidate = candidateStep{&o.candidate, s, j.pool, s.ReservedResources(), s.needsOnlyRoom(j.settings.queue)}
			p.addCandidate(&s.candidate)
			if becomesBacklog {
				candidates = append(candidates, &s.candidate)
			}
		}
	}
	if first != (stepPosition{}) {
		p.anyLeft = true // the next pass begins anew
		return
	}
	if becomesBacklog {
		j.backlog = backlogEntry{p.manifest, candidates}
	}
}

// isBacklog reports whether the job's candidates are those in j.backlog.
func (j *job) isBacklog() bool {
	return !j.hasBeenPlaced && j.backlog.manifest != nil && j.backlog.manifest == j.settings.manifest
}

// mayRun reports whether the occurrence is due and has tasks that are not done.
func (p *placementPass) mayRun(o *occurrence) bool {
	return !o.isFinished() && (o.job.Repeat == 0 || !p.wallTime.Before(o.due.Add(-p.engine.cfg.EarlyStart)))
}

// resetCandidates empties the lists of candidates of the last pass.
func (p *placementPass) resetCandidates() {
	for _, pool := range p.engine.pools {
		clear(pool.inTime)
		pool.inTime, pool.mayDefer, pool.hasCandidates, pool.awaitingStart = pool.inTime[:0], false, false, 0
	}
	p.queues = p.engine.candidateQueues
	for _, q := range p.queues {
		clear(q.urgent)
		clear(q.late)
		q.urgent, q.late, q.unsorted = q.urgent[:0], q.late[:0], false
	}
}

// addCandidate adds a step to the candidates of its priority.
func (p *placementPass) addCandidate(c *candidateStep) {
	if c.pool.hasCandidates {
		c.pool.leastNeed = c.pool.leastNeed.Min(c.need)
	} else {
		c.pool.hasCandidates, c.pool.leastNeed = true, c.need
	}
	i, ok := slices.BinarySearchFunc(p.queues, c.Priority, func(q *candidateQueue, priority int) int { return cmp.Compare(q.priority, priority) })
	if !ok {
		p.queues = slices.Insert(p.queues, i, &candidateQueue{priority: c.Priority})
		p.engine.candidateQueues = p.queues
	}
	q := p.queues[i]
	if !c.Deferred && !c.CannotMeetDeadline() {
		q.urgent = append(q.urgent, c)
		return
	}
	q.late = append(q.late, c)
	q.unsorted = q.unsorted || c.step.occurrence.job.Repeat > 0
}

// needsOnlyRoom reports whether the tasks of the step, which is in a queue, have no
// requirements besides their resources. Tasks of jobs that have been placed may be suspected
// of crashing their workers, inherited ones may have to wait.
func (s *step) needsOnlyRoom(q *modeler.Queue) bool {
	j := s.occurrence.job
	return !j.hasBeenPlaced && !j.fromEarlierTerm && q.Advice == nil && !s.LongRunning && s.hasPlainRequirements()
}

// hasPlainRequirements reports whether any worker with enough room may take a task of
// the step, however many others it has.
func (s *step) hasPlainRequirements() bool {
	return s.Label == "" && s.MaxPerWorker == 0 && s.advice == nil
}

// forEachCandidate calls fn for the candidates, the most urgent first.
func (p *placementPass) forEachCandidate(fn func(c *candidateStep)) {
	for _, q := range p.queues {
		for _, c := range q.urgent {
			fn(c)
		}
		for _, c := range q.late {
			fn(c)
		}
	}
}

func compareCandidateSteps(a, b *candidateStep) int {
	return cmp.Or(assigner.CompareCandidates(a.Candidate, b.Candidate), cmp.Compare(a.step.number, b.step.number))
}

// describeOccurrence describes an occurrence as the assigner orders it among others,
// and adds it to those that can meet their objective if it is one of them.
func (p *placementPass) describeOccurrence(o *occurrence, q *modeler.Queue) {
	j, c := o.job, &o.candidate
	if o.objective.manifest != p.manifest {
		o.objective = occurrenceObjective{p.manifest, o.due.Add(o.targetDuration(q))}
		*c = assigner.Candidate{ID: j.ID, Priority: q.Priority, LongRunning: j.IsLongRunning(), Accepted: o.due}
	}
	c.Deferred, c.Started, c.TimeToDeadline = false, o.hasStarted(), o.objective.deadline.Sub(p.wallTime)
	c.RemainingTime, c.RemainingWork = j.criticalPath, j.work
	if c.LongRunning {
		return
	}
	if c.Started {
		c.RemainingTime, c.RemainingWork = o.remainingCriticalPath(p.now), o.remainingWork()
	}
	if c.CannotMeetDeadline() {
		return
	}
	j.pool.inTime = append(j.pool.inTime, c)
	if !c.Started {
		c.RelativeSize = p.engine.workRelativeToQueueMean(j, q)
		j.pool.mayDefer = true
	}
}
