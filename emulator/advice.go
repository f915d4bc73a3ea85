package emulator

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/modeler"
	"github.com/coltsfootlever/coltsfootlever/requester"
	"github.com/coltsfootlever/coltsfootlever/supervisor"
)

const (
	maxWaitingAdvice  = 32               // further calls are refused while this many wait
	maxAdvisedWorkers = 100              // limit on the workers that one call names
	silentCallTimeout = 30 * time.Second // a call without a response fails after this time if its caller has not given it up
)

type (
	// AdviceService emulates the service that decides which workers may run a step.
	// It handles the calls of each client one at a time, in the order of their
	// arrival, also those that their callers have given up meanwhile.
	AdviceService struct {
		// Permits reports whether a worker may run a step. The decision on a worker must
		// not change. Nil permits all.
		Permits func(step, worker string) bool

		mu       sync.Mutex
		settings modeler.Advice
		slowdown float64
		silent   bool
		clients  map[string]*adviceQueue
		tickets  map[string]adviceTicket
		issued   int
		counts   AdviceCounts
	}

	// AdviceCounts are the numbers of calls by what became of them.
	AdviceCounts struct {
		Handled   int // calls that the service has decided on
		Abandoned int // of these, calls that their callers had given up by then
		Refused   int // calls that found too many others waiting
	}

	// AdviceClient is the connection of one client to an AdviceService.
	AdviceClient struct {
		service *AdviceService
		name    string
	}

	// adviceQueue is what the service still has to do for a client.
	adviceQueue struct {
		freeAt time.Time   // when all calls so far will have been handled
		starts []time.Time // when the calls that wait will be begun
	}

	// adviceTicket is a permission that the service has issued.
	adviceTicket struct {
		step, worker  string
		issued, until time.Time
	}
)

// NewAdviceService returns a service that takes as long for its decisions, and
// whose tickets are valid for as long, as the settings say.
func NewAdviceService(settings modeler.Advice) *AdviceService {
	return &AdviceService{settings: settings, slowdown: 1, clients: make(map[string]*adviceQueue), tickets: make(map[string]adviceTicket)}
}

// ClientFor returns the connection of the client with a name.
func (s *AdviceService) ClientFor(name string) *AdviceClient {
	return &AdviceClient{s, name}
}

// SetSlowdown sets by which factor the service is slower than its settings say.
func (s *AdviceService) SetSlowdown(factor float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slowdown = factor
}

// SetSilent sets whether the responses to calls that arrive from now on are lost.
func (s *AdviceService) SetSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent = silent
}

// Counts returns the numbers of calls so far.
func (s *AdviceService) Counts() AdviceCounts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// CheckTicket reports whether the ticket of an order permits its start on a worker. A
// ticket is valid for the process of the worker that was at work when it was issued.
// The method fits TaskFleet.CheckTicket.
func (s *AdviceService) CheckTicket(w modeler.Worker, o modeler.StartOrder) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	t, ok := s.tickets[o.Ticket]
	return ok && t.step == o.Task.StepID() && t.worker == w.ID && t.issued.UnixMilli() >= w.StartTimeMs && time.Now().Before(t.until)
}

// Advise returns tickets for the workers that may run the step, by worker ID, and
// how long they are valid. The error is modeler.ErrUnhealthy if too many calls wait,
// and modeler.ErrRejected if the call names too many workers.
func (c *AdviceClient) Advise(ctx context.Context, step string, workers []string) (map[string]string, time.Duration, error) {
	s := c.service
	if len(workers) > maxAdvisedWorkers {
		return nil, 0, errors.Annotatef(modeler.ErrRejected, "%d workers named, at most %d may be", len(workers), maxAdvisedWorkers)
	}
	handledAt, silent, err := s.enqueue(c.name, len(workers))
	if err != nil {
		return nil, 0, err
	}
	if supervisor.Pause(ctx, time.Until(handledAt)) != nil { // the service handles the call all the same
		time.AfterFunc(time.Until(handledAt), func() { s.count(true) })
		return nil, 0, &requester.Error{MaybeSent: true, Err: ctx.Err()}
	}
	s.count(false)
	if silent {
		_ = supervisor.Pause(ctx, silentCallTimeout) // either way there is no response
		return nil, 0, &requester.Error{MaybeSent: true, Err: errors.New("no answer")}
	}
	return s.decide(step, workers), s.settings.TicketValidity, nil
}

// enqueue adds a call that names n workers to the queue of its client and returns
// when it will have been handled.
func (s *AdviceService) enqueue(client string, n int) (handledAt time.Time, silent bool, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	q := s.clients[client]
	if q == nil {
		q = &adviceQueue{}
		s.clients[client] = q
	}
	for len(q.starts) > 0 && !now.Before(q.starts[0]) {
		q.starts = q.starts[1:]
	}
	if len(q.starts) >= maxWaitingAdvice {
		s.counts.Refused++
		return time.Time{}, false, modeler.ErrUnhealthy
	}
	start := now
	if q.freeAt.After(now) {
		start = q.freeAt
		q.starts = append(q.starts, start)
	}
	q.freeAt = start.Add(time.Duration(s.slowdown * float64(s.settings.ServiceTime(n))))
	return q.freeAt, s.silent, nil
}

func (s *AdviceService) count(abandoned bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Handled++
	if abandoned {
		s.counts.Abandoned++
	}
}

// decide issues tickets for the workers that may run the step.
func (s *AdviceService) decide(step string, workers []string) map[string]string {
	workers = slices.DeleteFunc(slices.Clone(workers), func(w string) bool { return s.Permits != nil && !s.Permits(step, w) })
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for ticket, t := range s.tickets {
		if !now.Before(t.until) {
			delete(s.tickets, ticket)
		}
	}
	permitted := make(map[string]string)
	for _, w := range workers {
		s.issued++
		ticket := fmt.Sprint("ticket-", s.issued)
		s.tickets[ticket] = adviceTicket{step, w, now, now.Add(s.settings.TicketValidity)}
		permitted[w] = ticket
	}
	return permitted
}
