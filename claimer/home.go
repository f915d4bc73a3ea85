package claimer

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/classifier"
	"github.com/coltsfootlever/coltsfootlever/messenger"
)

// HandleClaim answers a claim as the member that records the use of the claimed
// name (idempotency key), which is the home of the name. All refusals are in the
// reply; the returned error is always nil.
func (c *Claimer) HandleClaim(ctx context.Context, r messenger.ClaimRequest) (messenger.ClaimReply, error) {
	c.refreshIfBehind(ctx, r.View)
	c.mu.Lock()
	defer c.mu.Unlock()
	reply, err := c.decideClaim(r, time.Now())
	reply.View = c.view.Number
	reply.Err = err
	return reply, nil
}

// refreshIfBehind fetches the membership if a peer has a newer view than this member.
func (c *Claimer) refreshIfBehind(ctx context.Context, number uint64) {
	c.mu.Lock()
	behind := c.view.Number < number
	c.mu.Unlock()
	if !behind {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	c.members.Refresh(ctx)
}

// decideClaim decides on a claim. The caller holds mu.
func (c *Claimer) decideClaim(r messenger.ClaimRequest, now time.Time) (messenger.ClaimReply, *classifier.Error) {
	k := keyOfName(r.Team, r.Name)
	if err := c.checkHome(r, k); err != nil {
		return messenger.ClaimReply{}, err
	}
	if held, ok := c.table.claims[k]; ok {
		return c.decideHeldName(r, held)
	}
	if c.table.isWithdrawn(r.Task, r.Sequence) {
		return messenger.ClaimReply{}, classifier.Refuse(classifier.HomeAbsent, "the claim of task %s was withdrawn", r.Task)
	}
	if err := c.checkNewName(r, k, now); err != nil {
		return messenger.ClaimReply{}, err
	}
	c.table.claims[k] = messenger.HeldName{
		Hash:     k,
		Digest:   r.Digest,
		Member:   r.Member,
		Task:     r.Task,
		Claimed:  now,
		View:     c.view.Number,
		Sequence: r.Sequence,
	}
	return messenger.ClaimReply{Granted: true, Holder: r.Member, Task: r.Task}, nil
}

// checkHome refuses a claim unless this member is the home of the name
// (idempotency key) and its view is up to date and the same as the claimant's.
func (c *Claimer) checkHome(r messenger.ClaimRequest, k nameKey) *classifier.Error {
	if !c.disabled.freshness {
		if err := c.members.CheckFreshness(); err != nil {
			return classifier.As(err)
		}
	}
	if c.disabled.viewCheck {
		return nil
	}
	if r.View != c.view.Number {
		return classifier.Refuse(classifier.HomeAbsent, "claim under view %d, home knows view %d", r.View, c.view.Number)
	}
	if !c.handOvers.isHomeOf(k) {
		return classifier.Refuse(classifier.HomeAbsent, "entry is not the home of the name")
	}
	if _, ok := c.view.Member(r.Member); !ok {
		return classifier.Refuse(classifier.Isolated, "claimant %s is not registered", r.Member)
	}
	return nil
}

// decideHeldName decides on a claim of a name (idempotency key) that a task already
// holds.
func (c *Claimer) decideHeldName(r messenger.ClaimRequest, held messenger.HeldName) (messenger.ClaimReply, *classifier.Error) {
	reply := messenger.ClaimReply{Holder: held.Member, Task: held.Task}
	if held.Digest != r.Digest {
		return messenger.ClaimReply{}, classifier.Refuse(classifier.NameMismatch,
			"name was used with another body; use a new name")
	}
	if held.Member == r.Member && held.Task == r.Task && !held.Settled {
		reply.Granted = c.renewClaim(r, held)
		return reply, nil
	}
	if _, ok := c.view.Member(held.Member); !ok {
		return reply, classifier.Uncertain(classifier.Repeated, "task %s of a departed entry holds the name", held.Task)
	}
	return reply, nil
}

// renewClaim renews the claim of the task that holds the name. It returns false
// for a delayed message of an earlier claim.
func (c *Claimer) renewClaim(r messenger.ClaimRequest, held messenger.HeldName) bool {
	if r.Sequence < held.Sequence {
		return false
	}
	held.Sequence = r.Sequence
	held.View = c.view.Number
	c.table.claims[held.Hash] = held
	return true
}

// checkNewName returns an error if a claim on a name (idempotency key) that no known
// task holds must not be granted: another member may have granted the name, its date is out of
// range, or the table is full.
func (c *Claimer) checkNewName(r messenger.ClaimRequest, k nameKey, now time.Time) *classifier.Error {
	if !c.disabled.handOver && !c.handOvers.knowsAllGrants(k) {
		return classifier.Refuse(classifier.HomeAbsent, "names are being handed over").WithRetryAfter(time.Second)
	}
	date, dated := dateOfName(r.Name)
	if dated && date.After(now.Add(c.cfg.clockMargin)) {
		return classifier.Refuse(classifier.BadRequest, "name is dated %s in the future; set the caller's clock",
			date.Sub(now).Round(time.Millisecond))
	}
	if dated && date.Before(now.Add(-c.cfg.retention)) {
		return classifier.Uncertain(classifier.Repeated, "name is older than %s", c.cfg.retention)
	}
	if !c.disabled.handOver && c.handOvers.mayBeGrantedByDeparted(k, date, dated) {
		return classifier.Uncertain(classifier.Repeated, "an entry that is gone may have started the name")
	}
	if c.table.isFull() {
		return classifier.Refuse(classifier.QueueFull, "home remembers %d names already", c.cfg.maxNames).WithRetryAfter(time.Minute)
	}
	return nil
}

// HandleTaskOutcome records whether the task of a claim has run. The verdict NotRun
// frees the name (idempotency key). It refuses with classifier.HomeAbsent if this member is not the home
// of the name.
func (c *Claimer) HandleTaskOutcome(_ context.Context, r messenger.SettleRequest) error {
	k := keyOfName(r.Team, r.Name)
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.handOvers.isHomeOf(k) || !c.handOvers.knowsAllGrants(k) {
		return classifier.Refuse(classifier.HomeAbsent, "entry is not the home of the name")
	}
	c.table.recordTaskOutcome(k, r.Task, r.Sequence, r.Verdict == classifier.NotRun)
	return nil
}

// HandleHandOver accepts the names (idempotency keys) that their former home hands
// over. It refuses
// with classifier.Conflict unless both members have the same view.
func (c *Claimer) HandleHandOver(ctx context.Context, r messenger.HandOverRequest) error {
	c.refreshIfBehind(ctx, r.View)
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.disabled.viewCheck && r.View != c.view.Number {
		return classifier.Refuse(classifier.Conflict, "hand-over under view %d, receiver knows view %d", r.View, c.view.Number)
	}
	if !c.handOvers.awaited[r.From] {
		return nil
	}
	for _, n := range r.Names {
		c.table.mergeHandedOver(n)
	}
	if r.Last && c.handOvers.recordHandOver(r.From, r.LatestUnknownGrant, r.HasUndatedDeparture) {
		c.handOvers.completeRound(time.Now(), c.cfg.staleness, c.cfg.clockMargin)
	}
	return nil
}

// handOverLoop runs a hand-over round after each change of view.
func (c *Claimer) handOverLoop(ctx context.Context) {
	done := make(chan struct{})
	close(done)
	cancel := context.CancelFunc(func() {})
	for {
		select {
		case <-ctx.Done():
			cancel()
			<-done
			return
		case <-c.roundStarted:
		}
		cancel()
		<-done
		done, cancel = c.startHandOverRound(ctx)
	}
}

// startHandOverRound starts to hand names (idempotency keys) over to every other active member, in a
// goroutine that ends when all have acknowledged or ctx ends. It returns a
// channel that is closed at the end of the round, and a function that cancels
// the round.
func (c *Claimer) startHandOverRound(ctx context.Context) (chan struct{}, context.CancelFunc) {
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.runHandOverRound(ctx)
	}()
	return done, cancel
}

func (c *Claimer) runHandOverRound(ctx context.Context) {
	c.mu.Lock()
	number := c.view.Number
	moved := c.table.namesByOtherHome(c.handOvers.members, c.handOvers.self)
	last := messenger.HandOverRequest{
		From:                c.handOvers.self,
		View:                number,
		Last:                true,
		LatestUnknownGrant:  c.handOvers.latestUnknownGrant(),
		HasUndatedDeparture: c.handOvers.hasUndatedDeparture,
	}
	receivers := c.handOverReceivers()
	c.mu.Unlock()
	done := make(chan struct{}, len(receivers))
	for id, address := range receivers {
		go func() {
			defer func() { done <- struct{}{} }()
			c.handOverNamesTo(ctx, id, address, last, moved[id])
		}()
	}
	for range receivers {
		<-done
	}
}

// handOverReceivers returns the addresses of the other active members by member
// ID. The caller holds mu.
func (c *Claimer) handOverReceivers() map[string]string {
	receivers := map[string]string{}
	for _, m := range c.view.Others(c.handOvers.self) {
		if c.handOvers.isActive(m.ID) {
			receivers[m.ID] = m.Address
		}
	}
	return receivers
}

// handOverNamesTo sends the names (idempotency keys) until the receiver has acknowledged all of them.
func (c *Claimer) handOverNamesTo(ctx context.Context, id, address string, last messenger.HandOverRequest, names []messenger.HeldName) {
	delay := minHandOverDelay
	for {
		err := c.sendNames(ctx, address, last, names)
		if err == nil {
			c.recordAcknowledgement(id, last.View, names)
			return
		}
		if ctx.Err() != nil {
			return
		}
		if classifier.As(err).Code == classifier.Conflict {
			c.members.Refresh(ctx)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(delay):
		}
		delay = min(2*delay, maxHandOverDelay)
	}
}

// sendNames sends the names (idempotency keys) in batches. The last batch ends the hand-over.
func (c *Claimer) sendNames(ctx context.Context, address string, last messenger.HandOverRequest, names []messenger.HeldName) error {
	for len(names) > namesPerBatch {
		batch := messenger.HandOverRequest{From: last.From, View: last.View, Names: names[:namesPerBatch]}
		if err := c.sendNameBatch(ctx, address, batch); err != nil {
			return errors.Trace(err)
		}
		names = names[namesPerBatch:]
	}
	last.Names = names
	return errors.Trace(c.sendNameBatch(ctx, address, last))
}

func (c *Claimer) sendNameBatch(ctx context.Context, address string, r messenger.HandOverRequest) error {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	return errors.Trace(c.peers.HandOver(ctx, address, r))
}

// recordAcknowledgement records that the member has accepted the names (idempotency
// keys) and now records their use.
func (c *Claimer) recordAcknowledgement(id string, number uint64, names []messenger.HeldName) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.table.removeHandedOver(names)
	if c.view.Number != number {
		return
	}
	c.acknowledged[id] = true
	c.checkAllAcknowledged()
}
