package claimer

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/classifier"
	"github.com/coltsfootlever/coltsfootlever/messenger"
	"github.com/coltsfootlever/coltsfootlever/registrar"
)

// settlement is a report on whether a task has run, which the home of the task's
// idempotency key has not acknowledged yet.
type settlement struct {
	request messenger.SettleRequest
	since   time.Time
}

// Claim claims the name (idempotency key) for the task at its home, which is the
// member that records the use of the key. If Decision.Granted is true, the task may
// start once, and the caller must call ReportTaskOutcome when it has ended.
// Otherwise Decision names the member and the task that hold the name.
//
// Errors are *classifier.Error. The verdict not-run means that the task may not
// start and that the name is not known to have run. The verdict may-have-run
// with the code classifier.Repeated means that an earlier task with the name may
// have run.
func (c *Claimer) Claim(ctx context.Context, team, name string, digest [32]byte, task string) (Decision, error) {
	request := messenger.ClaimRequest{
		Team:     team,
		Name:     name,
		Digest:   digest,
		Member:   c.members.Self().ID,
		Task:     task,
		Sequence: c.nextSequence(),
	}
	start := time.Now()
	a := claimAttempt{c: c, request: request}
	for {
		decided, retry := a.askHomeOnce(ctx)
		if decided {
			c.releaseName(request, a.mayBeGranted && !a.decision.Granted)
			return a.decision, a.errorOrNil()
		}
		if !retry || time.Since(start) > c.cfg.claimTimeout || !sleepOrDone(ctx, retryDelay) {
			c.releaseName(request, a.mayBeGranted)
			return Decision{}, a.errorOrNil()
		}
	}
}

func (c *Claimer) nextSequence() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sequence++
	return c.sequence
}

// releaseName frees the name (idempotency key) when the home may have granted it,
// because the task will not start.
func (c *Claimer) releaseName(r messenger.ClaimRequest, mayBeGranted bool) {
	if !mayBeGranted {
		return
	}
	err := c.queueSettlement(messenger.SettleRequest{
		Team:     r.Team,
		Name:     r.Name,
		Task:     r.Task,
		Verdict:  classifier.NotRun,
		Sequence: r.Sequence,
	})
	if err != nil {
		c.log.Warn("name stays held: too many settlements wait to be sent to their homes", "task", r.Task, "error", err)
	}
}

// claimAttempt is the state of one call of Claim.
type claimAttempt struct {
	c            *Claimer
	request      messenger.ClaimRequest
	decision     Decision
	err          *classifier.Error
	mayBeGranted bool // a home may have granted the name and its answer was lost
}

// errorOrNil returns a.err as an error. A nil *classifier.Error in an error
// interface would not equal nil.
func (a *claimAttempt) errorOrNil() error {
	if a.err == nil {
		return nil
	}
	return a.err
}

// askHomeOnce sends the claim to the home once. It reports whether the claim is
// decided and, if not, whether a retry may help.
func (a *claimAttempt) askHomeOnce(ctx context.Context) (decided, retry bool) {
	c := a.c
	if err := c.checkFreshness(); err != nil {
		a.err = classifier.As(err)
		return false, true
	}
	view := c.members.View()
	home, ok := c.homeOf(view, keyOfName(a.request.Team, a.request.Name))
	if !ok {
		a.err = classifier.Refuse(classifier.HomeAbsent, "no entry is active")
		return false, true
	}
	a.request.View = view.Number
	start := time.Now()
	reply, err := c.sendClaim(ctx, home, a.request)
	if err != nil {
		a.mayBeGranted = a.mayBeGranted || classifier.VerdictOf(err) != classifier.NotRun
		a.err = classifier.Refuse(classifier.HomeAbsent, "home %s of the name: %v", home.ID, classifier.As(err).Message)
		return false, true
	}
	if reply.Granted {
		a.mayBeGranted = true
		return a.acceptGrant(start)
	}
	return a.handleDenial(ctx, reply, view.Number)
}

// acceptGrant accepts a grant unless it arrived too late to rely on.
func (a *claimAttempt) acceptGrant(start time.Time) (decided, retry bool) {
	if !a.c.disabled.freshness {
		if time.Since(start) > a.c.cfg.staleness {
			a.err = classifier.Refuse(classifier.HomeAbsent, "the home's answer came too late")
			return false, false
		}
		if err := a.c.members.CheckFreshness(); err != nil {
			a.err = classifier.As(err)
			return false, false
		}
	}
	a.err = nil
	a.decision = Decision{Granted: true, Holder: a.request.Member, Task: a.request.Task}
	a.c.mu.Lock()
	defer a.c.mu.Unlock()
	a.c.claimSequences[a.request.Task] = a.request.Sequence
	return true, false
}

// handleDenial handles an answer without a grant.
func (a *claimAttempt) handleDenial(ctx context.Context, reply messenger.ClaimReply, number uint64) (decided, retry bool) {
	a.err = reply.Err
	if reply.Err != nil && (reply.Err.Code == classifier.HomeAbsent || reply.Err.Code == classifier.Isolated) {
		if reply.View > number {
			a.c.members.Refresh(ctx)
		}
		return false, true
	}
	a.decision = Decision{Holder: reply.Holder, Task: reply.Task}
	return true, false
}

func (c *Claimer) checkFreshness() error {
	if c.disabled.freshness {
		return nil
	}
	return c.members.CheckFreshness()
}

// homeOf returns the member that records the use of the key under the view. It reports false if no
// member is active.
func (c *Claimer) homeOf(view registrar.View, k nameKey) (registrar.Member, bool) {
	c.mu.Lock()
	known := c.handOvers.members
	same := c.view.Number == view.Number
	c.mu.Unlock()
	if !same {
		known = newRendezvous(view.Active())
	}
	return view.Member(known.homeOf(k))
}

// sendClaim sends a claim to the home, which may be this member itself.
func (c *Claimer) sendClaim(ctx context.Context, home registrar.Member, r messenger.ClaimRequest) (messenger.ClaimReply, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	if home.ID == r.Member {
		return c.HandleClaim(ctx, r)
	}
	return c.peers.Claim(ctx, home.Address, r)
}

// ReportTaskOutcome tells the home of the name (idempotency key) whether the task
// of a granted claim has run; the verdict NotRun frees the name. If the home does
// not answer, Run retries the message. ReportTaskOutcome fails with
// classifier.QueueFull if too many settlements wait already; the name then stays
// held.
func (c *Claimer) ReportTaskOutcome(ctx context.Context, team, name, task string, verdict classifier.Verdict) error {
	r := messenger.SettleRequest{Team: team, Name: name, Task: task, Verdict: verdict}
	c.mu.Lock()
	sequence, ok := c.claimSequences[task]
	delete(c.claimSequences, task)
	c.mu.Unlock()
	if !ok {
		return nil
	}
	r.Sequence = sequence
	if c.sendSettlement(ctx, r) == nil {
		return nil
	}
	return c.queueSettlement(r)
}

// queueSettlement queues the settlement for retries by Run.
func (c *Claimer) queueSettlement(r messenger.SettleRequest) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.pendingSettlements) >= maxPendingSettlements {
		c.droppedSettlements++
		return classifier.Refuse(classifier.QueueFull, "%d settlements wait for their homes", len(c.pendingSettlements))
	}
	c.pendingSettlements = append(c.pendingSettlements, settlement{request: r, since: time.Now()})
	return nil
}

// sendSettlement sends a settlement to the home once.
func (c *Claimer) sendSettlement(ctx context.Context, r messenger.SettleRequest) error {
	view := c.members.View()
	home, ok := c.homeOf(view, keyOfName(r.Team, r.Name))
	if !ok {
		return classifier.Refuse(classifier.HomeAbsent, "no entry is active")
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	if home.ID == c.members.Self().ID {
		return errors.Trace(c.HandleTaskOutcome(ctx, r))
	}
	return errors.Trace(c.peers.ReportTaskOutcome(ctx, home.Address, r))
}

// retrySettlementsLoop retries the queued settlements periodically.
func (c *Claimer) retrySettlementsLoop(ctx context.Context) {
	ticker := time.NewTicker(settlementRetryPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		c.retrySettlements(ctx)
	}
}

// retrySettlements sends every queued settlement once.
func (c *Claimer) retrySettlements(ctx context.Context) {
	c.mu.Lock()
	waiting := c.pendingSettlements
	c.pendingSettlements = nil
	c.mu.Unlock()
	work := make(chan settlement)
	var wg sync.WaitGroup
	for range min(settlementSenders, len(waiting)) {
		wg.Go(func() {
			for s := range work {
				c.retrySettlement(ctx, s)
			}
		})
	}
	for _, s := range waiting {
		work <- s
	}
	close(work)
	wg.Wait()
}

func (c *Claimer) retrySettlement(ctx context.Context, s settlement) {
	if c.sendSettlement(ctx, s.request) == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Since(s.since) > maxSettlementAge || len(c.pendingSettlements) >= maxPendingSettlements {
		c.droppedSettlements++
		return
	}
	c.pendingSettlements = append(c.pendingSettlements, s)
}

// sleepOrDone waits for d. It returns false if ctx ends first.
func sleepOrDone(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
