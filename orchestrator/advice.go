package orchestrator

import (
	"context"
	"time"

	"github.com/coltsfootlever/coltsfootlever/modeler"
)

const (
	ticketMargin = 200 * time.Millisecond // a start has to arrive while its ticket holds
	maxAdvised   = 100                    // workers that a question may name, from the platform's pages
	adviceRetry  = 300 * time.Millisecond // after a question that failed
)

// Advisor tells which workers may run a step, with a ticket for each.
type Advisor interface {
	Advise(ctx context.Context, step string, workers []string) (map[string]string, time.Duration, error)
}

// advised says whether the workers that may run the step are known. It asks
// when they are not, one question for a step at a time.
func (e *Engine) advised(s *step, q *modeler.Queue, workers []*worker, now time.Time) bool {
	if s.allowed != nil && now.Before(s.allowedTo) {
		return true
	}
	if s.asking || len(workers) == 0 || now.Before(s.allowedTo) || e.advisor == nil {
		return false
	}
	s.asking, s.allowed = true, nil
	ids := make([]string, 0, len(workers))
	for _, w := range workers[:min(len(workers), maxAdvised)] {
		ids = append(ids, w.ID)
	}
	name := s.tasks[0].id
	ctx := e.callCtx
	limit := 2*(q.Advice.BaseDelay+time.Duration(len(ids))*q.Advice.DelayPerWorker) + time.Second
	e.spawn(func() {
		ctx, cancel := context.WithTimeout(ctx, limit)
		defer cancel()
		tickets, validity, err := e.advisor.Advise(ctx, name.StepID(), ids)
		e.post(e.callCtx, func() { e.takeAdvice(s, tickets, validity, err) })
	})
	return false
}

func (e *Engine) takeAdvice(s *step, tickets map[string]string, validity time.Duration, err error) {
	s.asking = false
	now := time.Now()
	if err != nil {
		e.log.Warn("no advice", "step", s.tasks[0].id.StepID(), "error", err)
		s.allowedTo = now.Add(adviceRetry)
		return
	}
	s.allowed, s.allowedTo = tickets, now.Add(validity-ticketMargin)
	e.changed()
}
