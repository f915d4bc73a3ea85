package orchestrator

import (
	"context"
	"time"

	"github.com/coltsfootlever/coltsfootlever/modeler"
)

const (
	ticketSafetyMargin         = 200 * time.Millisecond // a start must reach the worker before its ticket expires
	maxWorkersPerAdviceRequest = 100                    // limit on the workers named in one request, from the platform's documentation
	adviceRetryInterval        = 300 * time.Millisecond // after a failed request
)

// Advisor queries the advice service, which decides which workers may run a
// step. Advise returns a ticket for each permitted worker and how long the
// tickets are valid.
type Advisor interface {
	Advise(ctx context.Context, step string, workers []string) (map[string]string, time.Duration, error)
}

// hasCurrentTickets reports whether valid tickets of the advice service are
// known for the step. If not, it requests them in the background, with at most
// one request for a step at a time.
func (e *Engine) hasCurrentTickets(s *step, q *modeler.Queue, workers []*worker, now time.Time) bool {
	if s.tickets != nil && now.Before(s.ticketsUntil) {
		return true
	}
	if s.advicePending || len(workers) == 0 || now.Before(s.ticketsUntil) || e.advisor == nil {
		return false
	}
	s.advicePending, s.tickets = true, nil
	ids := make([]string, 0, len(workers))
	for _, w := range workers[:min(len(workers), maxWorkersPerAdviceRequest)] {
		ids = append(ids, w.ID)
	}
	name := s.tasks[0].id
	ctx := e.callCtx
	limit := 2*(q.Advice.BaseDelay+time.Duration(len(ids))*q.Advice.DelayPerWorker) + time.Second
	e.runInBackground(func() {
		ctx, cancel := context.WithTimeout(ctx, limit)
		defer cancel()
		tickets, validity, err := e.advisor.Advise(ctx, name.StepID(), ids)
		e.runInEventLoop(e.callCtx, func() { e.handleAdviceResponse(s, tickets, validity, err) })
	})
	return false
}

// handleAdviceResponse processes the response of the advice service.
func (e *Engine) handleAdviceResponse(s *step, tickets map[string]string, validity time.Duration, err error) {
	s.advicePending = false
	now := time.Now()
	if err != nil {
		e.log.Warn("advice request for a step failed, trying again", "step", s.tasks[0].id.StepID(), "error", err)
		s.ticketsUntil = now.Add(adviceRetryInterval)
		return
	}
	s.tickets, s.ticketsUntil = tickets, now.Add(validity-ticketSafetyMargin)
	e.requestPlacement()
}
