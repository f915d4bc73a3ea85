package orchestrator

import (
	"context"
	"time"

	"github.com/coltsfootlever/coltsfootlever/modeler"
)

const (
	ticketSafetyMargin         = 200 * time.Millisecond // a start has to arrive while its ticket holds
	maxWorkersPerAdviceRequest = 100                    // workers that a question may name, from the platform's pages
	adviceRetryInterval        = 300 * time.Millisecond // after a question that failed
)

// Advisor tells which workers may run a step, with a ticket for each.
type Advisor interface {
	Advise(ctx context.Context, step string, workers []string) (map[string]string, time.Duration, error)
}

// advised says whether the workers that may run the step are known. It asks
// when they are not, one question for a step at a time.
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
		e.runInEventLoop(e.callCtx, func() { e.handleAdvice(s, tickets, validity, err) })
	})
	return false
}

func (e *Engine) handleAdvice(s *step, tickets map[string]string, validity time.Duration, err error) {
	s.advicePending = false
	now := time.Now()
	if err != nil {
		e.log.Warn("no advice", "step", s.tasks[0].id.StepID(), "error", err)
		s.ticketsUntil = now.Add(adviceRetryInterval)
		return
	}
	s.tickets, s.ticketsUntil = tickets, now.Add(validity-ticketSafetyMargin)
	e.requestPlacement()
}
