package registrar

import (
	"context"
	"sync"
	"time"

	"github.com/coltsfootlever/coltsfootlever/messenger"
)

// beatLoop sends heartbeats in every period, faster while the view is not
// proved, and at once after a change of view. A peer that does not answer
// delays no other.
func (r *Registrar) beatLoop(ctx context.Context) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		for _, m := range r.View().Others(r.Self().ID) {
			if r.startBeat(m.ID) {
				wg.Go(func() {
					defer r.endBeat(m.ID)
					r.beatOne(ctx, m)
				})
			}
		}
		timer := time.NewTimer(r.beatPeriod())
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-timer.C:
		case <-r.kickBeat:
			timer.Stop()
		}
	}
}

// startBeat reports whether no heartbeat to the member is under way.
func (r *Registrar) startBeat(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.beating[id] {
		return false
	}
	r.beating[id] = true
	return true
}

func (r *Registrar) endBeat(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.beating, id)
}

func (r *Registrar) beatPeriod() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if elapsed(r.proved, time.Now()) > r.limits.stale/2 {
		return min(fastHeartbeat, r.cfg.heartbeat)
	}
	return r.cfg.heartbeat
}

// beat sends one heartbeat to each other member and waits for the answers.
func (r *Registrar) beat(ctx context.Context) {
	var wg sync.WaitGroup
	for _, m := range r.View().Others(r.Self().ID) {
		wg.Go(func() { r.beatOne(ctx, m) })
	}
	wg.Wait()
}

func (r *Registrar) beatOne(ctx context.Context, m Member) {
	ctx, cancel := context.WithTimeout(ctx, min(callTime, r.limits.stale))
	defer cancel()
	start := time.Now()
	reply, err := r.peers.Heartbeat(ctx, m.Address, r.request())
	if err != nil || reply.From != m.ID {
		return
	}
	r.hear(start, reply)
	r.tell(reply)
}

// request returns a heartbeat without loads: each member learns those of its
// peers from their replies, so that they cross once in a period and not twice.
func (r *Registrar) request() messenger.Heartbeat {
	hb := r.own(false)
	hb.Pools = nil
	return hb
}

// own returns the member's heartbeat, with the loads of teams or without.
func (r *Registrar) own(teams bool) messenger.Heartbeat {
	var hb messenger.Heartbeat
	if r.cfg.load != nil {
		hb.Pools, hb.Teams = r.cfg.load()
	}
	if !teams {
		hb.Teams = nil
	}
	hb.Coordinator = r.cfg.duty != nil && r.cfg.duty.Held()
	if r.cfg.rules != nil {
		hb.Rules = r.cfg.rules()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	hb.From = r.self.ID
	hb.View = r.view.Number
	hb.StoreAge = max(0, elapsed(r.proved, time.Now()))
	hb.HasStore = !r.proved.IsZero() && hb.StoreAge <= r.limits.stale
	return hb
}

// hear takes in the answer to a heartbeat sent at start.
func (r *Registrar) hear(start time.Time, reply messenger.Heartbeat) {
	if len(reply.Membership) > 0 {
		r.adoptEncoded(reply.Membership)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.view.Member(reply.From); !ok {
		return
	}
	if last := r.heard[reply.From]; start.After(last.at) {
		r.heard[reply.From] = contact{at: start, view: reply.View, hasStore: reply.HasStore}
	}
	r.reach(reply)
	// The peer proved its view StoreAge before its answer, which is after start.
	if proved := start.Add(-reply.StoreAge); reply.HasStore && reply.View == r.view.Number && proved.After(r.proved) {
		r.proved = proved
	}
}

// reach notes the sender's view. The caller holds mu.
func (r *Registrar) reach(hb messenger.Heartbeat) {
	if hb.View > r.reached[hb.From] {
		r.reached[hb.From] = hb.View
		r.confirm(time.Now())
	}
	if hb.View > r.view.Number {
		kick(r.kickPoll)
	}
}

// adoptEncoded takes in a view that a peer passed on. It proves nothing about
// newer views.
func (r *Registrar) adoptEncoded(raw []byte) {
	v, err := DecodeView(raw)
	if err != nil {
		r.log.Error("peer sent a malformed view", "error", err)
		return
	}
	r.adopt(v, time.Time{})
}

// HandleHeartbeat takes in a peer's heartbeat and returns the member's own,
// with the membership when the peer's is older.
func (r *Registrar) HandleHeartbeat(_ context.Context, hb messenger.Heartbeat) (messenger.Heartbeat, error) {
	r.mu.Lock()
	_, known := r.view.Member(hb.From)
	if known {
		r.reach(hb)
	}
	if hb.View > r.view.Number && r.view.Number > 0 {
		kick(r.kickPoll)
		kick(r.kickBeat)
	}
	v := r.view
	r.mu.Unlock()
	if known {
		hb.Partial = true
		r.tell(hb)
	}
	reply := r.own(hb.Coordinator)
	if hb.View < v.Number {
		raw, err := EncodeView(v)
		if err != nil {
			return messenger.Heartbeat{}, err
		}
		reply.Membership = raw
	}
	return reply, nil
}

func (r *Registrar) tell(hb messenger.Heartbeat) {
	r.mu.Lock()
	subscribers := r.onBeat
	r.mu.Unlock()
	for _, fn := range subscribers {
		fn(hb)
	}
}
