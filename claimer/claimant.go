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

// settlement is a settlement that its home has not acknowledged.
type settlement struct {
	request messenger.SettleRequest
	since   time.Time
}

// Claim claims the name for the task at the home of the name. With
// Decision.Granted the task may start once. Otherwise Decision names the
// member and the task that hold the name. Errors are *classifier.Error:
// not-run means that the task has no right to start and the name is not known
// to have run, may-have-run with classifier.Repeated that an earlier task of
// the name may have run. A task whose claim was granted is settled.
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
	a := attempt{c: c, request: request}
	for {
		done, retry := a.try(ctx)
		if done {
			c.release(request, a.sent && !a.decision.Granted)
			return a.decision, a.result()
		}
		if !retry || time.Since(start) > c.cfg.patience || !sleep(ctx, retryDelay) {
			c.release(request, a.sent)
			return Decision{}, a.result()
		}
	}
}

func (c *Claimer) nextSequence() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sequence++
	return c.sequence
}

// release frees the name when a home may have granted it to a task that will
// not start.
func (c *Claimer) release(r messenger.ClaimRequest, sent bool) {
	if !sent {
		return
	}
	err := c.queue(messenger.SettleRequest{
		Team:     r.Team,
		Name:     r.Name,
		Task:     r.Task,
		Verdict:  classifier.NotRun,
		Sequence: r.Sequence,
	})
	if err != nil {
		c.log.Warn("name stays held", "task", r.Task, "error", err)
	}
}

// attempt is the state of one call of Claim.
type attempt struct {
	c        *Claimer
	request  messenger.ClaimRequest
	decision Decision
	err      *classifier.Error
	sent     bool // a home may have granted the name without our knowing
}

// result returns the error without the typed nil.
func (a *attempt) result() error {
	if a.err == nil {
		return nil
	}
	return a.err
}

// try asks the home once. It reports whether the claim is decided and
// otherwise whether another try may help.
func (a *attempt) try(ctx context.Context) (done, retry bool) {
	c := a.c
	if err := c.fresh(); err != nil {
		a.err = classifier.As(err)
		return false, true
	}
	view := c.members.View()
	home, ok := c.homeOf(view, keyOf(a.request.Team, a.request.Name))
	if !ok {
		a.err = classifier.Refuse(classifier.HomeAbsent, "no entry is active")
		return false, true
	}
	a.request.View = view.Number
	start := time.Now()
	reply, err := c.ask(ctx, home, a.request)
	if err != nil {
		a.sent = a.sent || classifier.VerdictOf(err) != classifier.NotRun
		a.err = classifier.Refuse(classifier.HomeAbsent, "home %s of the name: %v", home.ID, classifier.As(err).Message)
		return false, true
	}
	if reply.Granted {
		a.sent = true
		return a.granted(start)
	}
	return a.denied(ctx, reply, view.Number)
}

// granted takes in a grant unless it came too late to rely on.
func (a *attempt) granted(start time.Time) (done, retry bool) {
	if !a.c.skip.fresh {
		if time.Since(start) > a.c.cfg.staleness {
			a.err = classifier.Refuse(classifier.HomeAbsent, "the home's answer came too late")
			return false, false
		}
		if err := a.c.members.Fresh(); err != nil {
			a.err = classifier.As(err)
			return false, false
		}
	}
	a.err = nil
	a.decision = Decision{Granted: true, Holder: a.request.Member, Task: a.request.Task}
	a.c.mu.Lock()
	defer a.c.mu.Unlock()
	a.c.claimed[a.request.Task] = a.request.Sequence
	return true, false
}

// denied takes in an answer without a grant.
func (a *attempt) denied(ctx context.Context, reply messenger.ClaimReply, number uint64) (done, retry bool) {
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

func (c *Claimer) fresh() error {
	if c.skip.fresh {
		return nil
	}
	return c.members.Fresh()
}

// homeOf returns the home of the key under the view. It reports false when no
// member is active.
func (c *Claimer) homeOf(view registrar.View, k key) (registrar.Member, bool) {
	c.mu.Lock()
	known := c.gate.homes
	same := c.view.Number == view.Number
	c.mu.Unlock()
	if !same {
		known = newHomes(view.Active())
	}
	return view.Member(known.of(k))
}

// ask sends a claim to the home, which may be this member.
func (c *Claimer) ask(ctx context.Context, home registrar.Member, r messenger.ClaimRequest) (messenger.ClaimReply, error) {
	ctx, cancel := context.WithTimeout(ctx, askTime)
	defer cancel()
	if home.ID == r.Member {
		return c.HandleClaim(ctx, r)
	}
	return c.peers.Claim(ctx, home.Address, r)
}

// Settle tells the home how a granted claim ended; NotRun frees the name. When
// the home does not answer, Run repeats the message. It fails with
// classifier.QueueFull when too many settlements wait already; the name then
// stays held.
func (c *Claimer) Settle(ctx context.Context, team, name, task string, verdict classifier.Verdict) error {
	r := messenger.SettleRequest{Team: team, Name: name, Task: task, Verdict: verdict}
	c.mu.Lock()
	sequence, ok := c.claimed[task]
	delete(c.claimed, task)
	c.mu.Unlock()
	if !ok {
		return nil
	}
	r.Sequence = sequence
	if c.settle(ctx, r) == nil {
		return nil
	}
	return c.queue(r)
}

// queue has Run repeat the settlement.
func (c *Claimer) queue(r messenger.SettleRequest) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.settles) >= maxSettles {
		c.dropped++
		return classifier.Refuse(classifier.QueueFull, "%d settlements wait for their homes", len(c.settles))
	}
	c.settles = append(c.settles, settlement{request: r, since: time.Now()})
	return nil
}

// settle sends a settlement to the home once.
func (c *Claimer) settle(ctx context.Context, r messenger.SettleRequest) error {
	view := c.members.View()
	home, ok := c.homeOf(view, keyOf(r.Team, r.Name))
	if !ok {
		return classifier.Refuse(classifier.HomeAbsent, "no entry is active")
	}
	ctx, cancel := context.WithTimeout(ctx, askTime)
	defer cancel()
	if home.ID == c.members.Self().ID {
		return errors.Trace(c.HandleSettle(ctx, r))
	}
	return errors.Trace(c.peers.Settle(ctx, home.Address, r))
}

// settleLoop repeats the settlements that their homes have not acknowledged.
func (c *Claimer) settleLoop(ctx context.Context) {
	ticker := time.NewTicker(settlePeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		c.repeatSettles(ctx)
	}
}

// repeatSettles sends every waiting settlement once.
func (c *Claimer) repeatSettles(ctx context.Context) {
	c.mu.Lock()
	waiting := c.settles
	c.settles = nil
	c.mu.Unlock()
	work := make(chan settlement)
	var wg sync.WaitGroup
	for range min(settleWorkers, len(waiting)) {
		wg.Go(func() {
			for s := range work {
				c.repeatSettle(ctx, s)
			}
		})
	}
	for _, s := range waiting {
		work <- s
	}
	close(work)
	wg.Wait()
}

func (c *Claimer) repeatSettle(ctx context.Context, s settlement) {
	if c.settle(ctx, s.request) == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Since(s.since) > settleLife || len(c.settles) >= maxSettles {
		c.dropped++
		return
	}
	c.settles = append(c.settles, s)
}

// sleep waits for d and reports false when ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
