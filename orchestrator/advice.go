package orchestrator

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/assigner"
	"github.com/coltsfootlever/coltsfootlever/inquirer"
	"github.com/coltsfootlever/coltsfootlever/meter"
	"github.com/coltsfootlever/coltsfootlever/modeler"
	"github.com/coltsfootlever/coltsfootlever/requester"
)

const (
	ticketSafetyMargin         = 200 * time.Millisecond // a start must reach the worker before its ticket expires
	maxWorkersPerAdviceRequest = 100                    // limit on the workers named in one request, from the platform's documentation
	minWorkersPerAdviceRequest = 16                     // as many are named if the pool has them, so that there is a choice of workers
	requestedPerWaitingTask    = 2                      // room for so many times the waiting tasks is asked for

	minAdviceRetryPause = 300 * time.Millisecond // before a step is asked for again after a failed request or a refused ticket
	maxAdviceRetryPause = 5 * time.Second
	maxAdviceDoublings  = 5 // of that pause

	initialPermitShare = 0.5
	minPermitShare     = 0.05
	permitShareWeight  = 0.1 // of a request in a queue's share of permitted workers
)

// What a step needs tickets for, the most urgent first.
const (
	adviceToStart     adviceNeed = iota // some of its tasks could start at once
	adviceBeyondShare                   // they could, but its customer has its fair share
	adviceInAdvance                     // there is no room; it is to start when there is
	adviceNeeds                         // number of needs
)

type (
	// Advisor queries the advice service, which decides which workers may run a
	// step. Advise returns a ticket for each permitted worker and how long the
	// tickets are valid.
	Advisor interface {
		Advise(ctx context.Context, step string, workers []string) (map[string]string, time.Duration, error)
	}

	// adviceNeed is what a step needs tickets for.
	adviceNeed int

	// ticket is the permission to run a step on a process of a worker.
	ticket struct {
		value string
		until time.Time
		boot  int64 // start time of the process
	}

	// stepAdvice is what the advice service has decided about a step. Its decision on a
	// worker doesn't change, so that it is asked again only for tickets that have expired.
	stepAdvice struct {
		tickets  map[string]ticket // by worker ID
		refused  map[string]int64  // start times of the workers that may not run the step, by worker ID
		pending  bool              // a request is under way
		retryAt  time.Time         // no request is sent before this time
		listedIn *placementPass    // the last pass that listed the step in adviceState.wanted

		failedRequests int // since the last response
		refusedTickets int // since a worker last accepted one
	}

	// adviceState is the state of the calls to the advice service.
	adviceState struct {
		inquirer *inquirer.Inquirer
		wanted   [adviceNeeds][]adviceRequest // requests of the last placement pass that have not been sent, the most urgent first
		permits  map[string]float64           // share of the workers that may run a step, by queue
	}

	// adviceRequest is a step for which tickets are wanted.
	adviceRequest struct {
		step  *step
		queue *modeler.Queue
		pool  *poolState
	}

	// adviceCandidate is a worker that a request may name.
	adviceCandidate struct {
		id    string
		far   int // 0 near the step's data, 1 elsewhere
		room  int // tasks of the step for which it has room
		index int // in the pool's view
	}
)

func newAdviceState() adviceState {
	return adviceState{inquirer: inquirer.New(), permits: make(map[string]float64)}
}

// permits reports whether the step has a ticket for the present process of a worker.
func (a *stepAdvice) permits(w *worker) bool {
	if a == nil {
		return true
	}
	t, ok := a.tickets[w.ID]
	return ok && t.boot == w.StartTimeMs
}

// ticketOf returns the step's ticket for a worker, empty if it has none.
func (a *stepAdvice) ticketOf(worker string) string {
	if a == nil {
		return ""
	}
	return a.tickets[worker].value
}

// refuses reports whether a worker may not run the step.
func (a *stepAdvice) refuses(w *worker) bool {
	boot, ok := a.refused[w.ID]
	return ok && boot == w.StartTimeMs
}

// postpone delays the next request for the step after a number of failures in a row.
func (a *stepAdvice) postpone(now time.Time, failures int) {
	a.retryAt = now.Add(min(minAdviceRetryPause<<min(failures-1, maxAdviceDoublings), maxAdviceRetryPause))
}

// hasTickets reports whether the step has a valid ticket for some worker, or its queue
// requires none any more. If it needs other tickets, it lists the step among those for
// which tickets are wanted.
func (p *placementPass) hasTickets(s *step, q *modeler.Queue, view *poolView) bool {
	if s.advice == nil {
		s.advice = &stepAdvice{}
	}
	a := s.advice
	maps.DeleteFunc(a.tickets, func(_ string, t ticket) bool { return !p.now.Before(t.until) })
	if q.Advice == nil {
		if len(a.tickets) == 0 {
			s.advice = nil
		}
		return true
	}
	if a.listedIn != p && !a.pending && !p.now.Before(a.retryAt) {
		a.listedIn = p
		if need := p.adviceNeedOf(s, q, view); need < adviceNeeds {
			wanted := &p.engine.advice.wanted[need]
			*wanted = append(*wanted, adviceRequest{s, q, view.pool})
		}
	}
	return len(a.tickets) > 0
}

// adviceNeedOf returns what the step needs further tickets for, or adviceNeeds if it
// doesn't.
func (p *placementPass) adviceNeedOf(s *step, q *modeler.Queue, view *poolView) adviceNeed {
	permitted, roomElsewhere := p.roomFor(s, view)
	if permitted >= s.waitingTasks {
		return adviceNeeds
	}
	if !roomElsewhere || !p.isWithinCustomerLimit(s.taskAt(0), s.occurrence.job) {
		return p.adviceNeedInAdvance(s, q, view)
	}
	if !s.LongRunning && view.pool.shares.isExceededBy(s) {
		return adviceBeyondShare
	}
	return adviceToStart
}

// roomFor returns for how many tasks of the step there is room on workers for which it
// has tickets, and whether there is room on others that may be permitted to run it.
func (p *placementPass) roomFor(s *step, view *poolView) (permitted int, elsewhere bool) {
	need := s.ReservedResources()
	if a := s.advice; len(a.tickets) == 0 && len(a.refused) == 0 {
		return 0, view.pool.index.Choose(need) != nil || len(view.slow) > 0
	}
	for i, w := range view.workers {
		switch v := view.assignerViews[i]; {
		case s.advice.refuses(w) || !s.acceptsLabels(w) || v.Unavailable || !need.Fits(v.Free):
		case s.advice.permits(w):
			permitted += s.roomOn(w, v)
		default:
			elsewhere = true
		}
	}
	return permitted, elsewhere
}

// acceptsLabels reports whether a worker has the label that the step requires.
func (s *step) acceptsLabels(w *worker) bool {
	return s.Label == "" || slices.Contains(w.Labels, s.Label)
}

// roomOn returns for how many further tasks of the step a worker has room.
func (s *step) roomOn(w *worker, v *assigner.Worker) int {
	n := v.CountFitting(s.ReservedResources(), s.waitingTasks)
	if s.MaxPerWorker > 0 {
		n = min(n, max(0, s.MaxPerWorker-s.tasksOn[w]))
	}
	return n
}

// adviceNeedInAdvance returns adviceInAdvance if the step may find room while its tickets
// are valid: the pool's tasks leave about their room in that share of their duration.
func (p *placementPass) adviceNeedInAdvance(s *step, q *modeler.Queue, view *poolView) adviceNeed {
	ahead := view.cpuInAdvance
	view.cpuInAdvance += int64(s.waitingTasks) * s.ReservedResources().CPU
	share := 1.0
	if s.Estimate > q.Advice.TicketValidity {
		share = float64(q.Advice.TicketValidity) / float64(s.Estimate)
	}
	if float64(ahead) > share*float64(view.usable) {
		return adviceNeeds
	}
	return adviceInAdvance
}

// requestAdvice sends the most urgent requests for tickets, but no more than the advice
// service can answer in time.
func (e *Engine) requestAdvice(now time.Time) {
	if e.advisor == nil || e.shuttingDown {
		return
	}
	for need := range e.advice.wanted {
		for len(e.advice.wanted[need]) > 0 {
			if !e.advice.inquirer.IsReady(now) {
				return
			}
			r := e.advice.wanted[need][0]
			workers := e.workersToAskFor(&r, now)
			if len(workers) > 0 && !e.sendAdviceRequest(&r, workers, now) {
				return
			}
			e.advice.wanted[need] = e.advice.wanted[need][1:]
		}
	}
}

// workersToAskFor returns the workers that a request should name: as many as probably
// suffice for the waiting tasks, those near the step's data and with the most room first.
// There are none if the request is not needed any more.
func (e *Engine) workersToAskFor(r *adviceRequest, now time.Time) []string {
	s, view := r.step, &r.pool.view
	if s.waitingTasks == 0 || s.advice == nil || s.advice.pending || s.occurrence.job.state.IsFinal() {
		return nil
	}
	var candidates []adviceCandidate
	for i, w := range view.workers {
		v := view.assignerViews[i]
		if s.advice.permits(w) && now.Before(s.advice.tickets[w.ID].until) || s.advice.refuses(w) || !s.acceptsLabels(w) || !w.acceptsTasks(now) {
			continue
		}
		c := adviceCandidate{id: w.ID, index: i}
		if v.Rack != s.rackPreference() {
			c.far = 1
		}
		if !v.Unavailable {
			c.room = s.roomOn(w, v)
		}
		candidates = append(candidates, c)
	}
	slices.SortFunc(candidates, func(a, b adviceCandidate) int {
		return cmp.Or(cmp.Compare(a.far, b.far), cmp.Compare(b.room, a.room), cmp.Compare(a.index, b.index))
	})
	var ids []string
	room, wanted := 0.0, float64(requestedPerWaitingTask*s.waitingTasks)
	for _, c := range candidates {
		if len(ids) >= maxWorkersPerAdviceRequest || room >= wanted && len(ids) >= minWorkersPerAdviceRequest {
			break
		}
		ids = append(ids, c.id)
		room += e.advice.permitShare(r.queue.Name) * float64(c.room)
	}
	return ids
}

// permitShare returns the share of the workers that may run a step of a queue, by the
// last decisions.
func (a *adviceState) permitShare(queue string) float64 {
	if share, ok := a.permits[queue]; ok {
		return max(share, minPermitShare)
	}
	return initialPermitShare
}

// sendAdviceRequest requests the tickets of some workers for a step, if the advice service
// can answer it in time.
func (e *Engine) sendAdviceRequest(r *adviceRequest, ids []string, now time.Time) bool {
	call, ok := e.advice.inquirer.Begin(now, r.queue.Advice.ServiceTime(len(ids)))
	if !ok {
		return false
	}
	s := r.step
	s.advice.pending = true
	name, queue := s.taskAt(0).id.StepID(), r.queue.Name
	boots := make(map[string]int64, len(ids))
	for _, id := range ids {
		if w := e.workersByID[id]; w != nil {
			boots[id] = w.StartTimeMs
		}
	}
	ctx := e.callCtx
	e.runInBackground(func() {
		ctx, cancel := context.WithTimeout(ctx, call.TimeLimit)
		defer cancel()
		tickets, validity, err := e.advisor.Advise(ctx, name, ids)
		e.runInEventLoop(e.callCtx, func() {
			now := time.Now()
			e.endAdviceCall(call, name, err, now)
			e.handleAdviceResponse(s, queue, boots, tickets, validity, err, now)
			e.requestAdvice(now)
		})
	})
	return true
}

// endAdviceCall records the end of a call to the advice service.
func (e *Engine) endAdviceCall(call inquirer.Call, step string, err error, now time.Time) {
	i := e.advice.inquirer
	result, outcome := adviceResult(err)
	i.End(now, call, result)
	meter.RecordAdviceCall(outcome, call.Age(now))
	if err != nil {
		e.log.Warn("advice request for a step failed, trying again", "step", step, "error", err, "took", call.Age(now).String(), "time-limit", call.TimeLimit.String(),
			"pause", max(0, i.RetryAt().Sub(now)).String(), "slowdown", i.Slowdown(), "waiting-steps", e.advice.countWanted())
	}
}

// adviceResult returns what the error of a call tells about the advice service.
func adviceResult(err error) (inquirer.Result, meter.Outcome) {
	var requestErr *requester.Error
	switch {
	case err == nil:
		return inquirer.Answered, meter.OK
	case errors.Is(err, modeler.ErrRejected):
		return inquirer.Answered, meter.Refused // it is at work, and only this request is at fault
	case errors.As(err, &requestErr) && requestErr.MaybeSent && !requestErr.GotHeader:
		return inquirer.Unanswered, meter.Unknown
	}
	return inquirer.Refused, meter.Refused
}

// waitForAdvice returns how long the step of a new job in a queue waits until the advice
// service has decided on the steps that could start before it.
func (e *Engine) waitForAdvice(q *modeler.Queue) time.Duration {
	if q.Advice == nil {
		return 0
	}
	wait := 0.0
	for _, r := range e.advice.wanted[adviceToStart] {
		if r.queue.Priority <= q.Priority {
			wait += r.queue.Advice.ServiceTime(min(len(r.pool.view.workers), minWorkersPerAdviceRequest)).Seconds()
		}
	}
	return time.Duration(wait * e.advice.inquirer.Slowdown() * float64(time.Second))
}

// countWanted returns the number of steps for which tickets are wanted.
func (a *adviceState) countWanted() int {
	n := 0
	for _, requests := range a.wanted {
		n += len(requests)
	}
	return n
}

// handleAdviceResponse processes the response of the advice service to a request for a
// step's tickets. boots contains the start times of the workers that it named.
func (e *Engine) handleAdviceResponse(s *step, queue string, boots map[string]int64, tickets map[string]string, validity time.Duration, err error, now time.Time) {
	a := s.advice
	if a == nil {
		return // the queue requires no advice any more
	}
	a.pending = false
	if err != nil {
		a.failedRequests++
		a.postpone(now, a.failedRequests)
		return
	}
	a.failedRequests = 0
	if a.tickets == nil {
		a.tickets, a.refused = make(map[string]ticket), make(map[string]int64)
	}
	maps.DeleteFunc(a.refused, func(id string, _ int64) bool { return e.workersByID[id] == nil })
	until := now.Add(validity - min(ticketSafetyMargin, validity/4))
	for id, boot := range boots {
		if tickets[id] != "" {
			a.tickets[id] = ticket{tickets[id], until, boot}
		} else {
			a.refused[id] = boot
		}
	}
	if len(boots) > 0 {
		share := e.advice.permitShare(queue)
		e.advice.permits[queue] = share + permitShareWeight*(float64(len(tickets))/float64(len(boots))-share)
	}
	e.requestPlacement()
}

// dropTicket drops the ticket of a worker that has refused it, so that another
// one is requested.
func (s *step) dropTicket(w *worker, now time.Time) {
	if s.advice != nil {
		delete(s.advice.tickets, w.ID)
		s.advice.refusedTickets++
		s.advice.postpone(now, s.advice.refusedTickets)
	}
}

// noteTicketUsed notes that a worker has accepted a ticket of the step.
func (s *step) noteTicketUsed() {
	if s.advice != nil {
		s.advice.refusedTickets = 0
	}
}
