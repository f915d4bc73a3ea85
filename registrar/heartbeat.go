package registrar

import (
	"context"
	"sync"
	"time"

	"github.com/coltsfootlever/coltsfootlever/messenger"
)

// heartbeatLoop sends heartbeats in every period, more often while the view is
// not proved, and at once after a change of view. A peer that does not answer
// does not delay the heartbeats to others.
func (r *Registrar) heartbeatLoop(ctx context.Context) error {
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		for _, m := range r.View().Others(r.Self().ID) {
			if r.beginHeartbeat(m.ID) {
				wg.Go(func() {
					defer r.endHeartbeat(m.ID)
					r.sendHeartbeat(ctx, m)
				})
			}
		}
		timer := time.NewTimer(r.heartbeatInterval())
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-timer.C:
		case <-r.heartbeatNow:
			timer.Stop()
		}
	}
}

// beginHeartbeat marks that a heartbeat is being sent to the member. It returns
// false when one is being sent already.
func (r *Registrar) beginHeartbeat(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.heartbeatsInFlight[id] {
		return false
	}
	r.heartbeatsInFlight[id] = true
	return true
}

// endHeartbeat reverts beginHeartbeat.
func (r *Registrar) endHeartbeat(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.heartbeatsInFlight, id)
}

// heartbeatInterval returns the time until the next heartbeats. It is shorter
// when the last proof of the view is older than half the staleness bound.
func (r *Registrar) heartbeatInterval() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if elapsedTime(r.provedAt, time.Now()) > r.limits.stale/2 {
		return min(unprovedHeartbeat, r.cfg.heartbeat)
	}
	return r.cfg.heartbeat
}

// sendHeartbeats sends one heartbeat to each other member and waits for the
// answers.
func (r *Registrar) sendHeartbeats(ctx context.Context) {
	var wg sync.WaitGroup
	for _, m := range r.View().Others(r.Self().ID) {
		wg.Go(func() { r.sendHeartbeat(ctx, m) })
	}
	wg.Wait()
}

// sendHeartbeat sends one heartbeat to m. An answer from another process, which
// has taken over m's address, is ignored.
func (r *Registrar) sendHeartbeat(ctx context.Context, m Member) {
	ctx, cancel := context.WithTimeout(ctx, min(callTimeout, r.limits.stale))
	defer cancel()
	start := time.Now()
	reply, err := r.peers.Heartbeat(ctx, m.Address, r.heartbeatRequest())
	if err != nil || reply.From != m.ID {
		return
	}
	r.handleReply(start, reply)
	r.notifyHeartbeatSubscribers(reply)
}

// heartbeatRequest returns a heartbeat without loads. Each member learns the
// loads of its peers from their replies, so that each load is sent once in a
// period and not twice.
func (r *Registrar) heartbeatRequest() messenger.Heartbeat {
	hb := r.ownHeartbeat(false)
	hb.Pools = nil
	return hb
}

// ownHeartbeat returns this member's heartbeat. It contains the loads of teams
// only if teams is set.
func (r *Registrar) ownHeartbeat(teams bool) messenger.Heartbeat {
	var hb messenger.Heartbeat
	if r.cfg.load != nil {
		hb.Pools, hb.Teams = r.cfg.load()
	}
	if !teams {
		hb.Teams = nil
	}
	hb.Coordinator = r.cfg.coordinator != nil && r.cfg.coordinator.Held()
	if r.cfg.rules != nil {
		hb.Rules = r.cfg.rules()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	hb.From = r.self.ID
	hb.View = r.view.Number
	hb.StoreAge = max(0, elapsedTime(r.provedAt, time.Now()))
	hb.HasStore = !r.provedAt.IsZero() && hb.StoreAge <= r.limits.stale
	return hb
}

// handleReply processes the reply to a heartbeat that was sent at start.
func (r *Registrar) handleReply(start time.Time, reply messenger.Heartbeat) {
	if len(reply.Membership) > 0 {
		r.adoptEncodedView(reply.Membership)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, ok := r.view.Member(reply.From); !ok {
		return
	}
	if last := r.contacts[reply.From]; start.After(last.at) {
		r.contacts[reply.From] = peerContact{at: start, view: reply.View, hasStore: reply.HasStore}
	}
	r.recordPeerView(reply)
	// The peer proved its view StoreAge before its answer, which is after start.
	if proved := start.Add(-reply.StoreAge); reply.HasStore && reply.View == r.view.Number && proved.After(r.provedAt) {
		r.provedAt = proved
	}
}

// recordPeerView records the number of the sender's view. The caller holds mu.
func (r *Registrar) recordPeerView(hb messenger.Heartbeat) {
	if hb.View > r.knownViews[hb.From] {
		r.knownViews[hb.From] = hb.View
		r.recordConfirmedDepartures(time.Now())
	}
	if hb.View > r.view.Number {
		wakeLoop(r.pollNow)
	}
}

// adoptEncodedView adopts a view that a peer sent. Such a view is no proof that
// no newer view exists.
func (r *Registrar) adoptEncodedView(raw []byte) {
	v, err := DecodeView(raw)
	if err != nil {
		r.log.Error("peer sent a malformed membership view; ignoring it", "error", err)
		return
	}
	r.adoptView(v, time.Time{})
}

// HandleHeartbeat processes a peer's heartbeat and returns this member's own,
// together with the membership when the peer's view is older.
func (r *Registrar) HandleHeartbeat(_ context.Context, hb messenger.Heartbeat) (messenger.Heartbeat, error) {
	r.mu.Lock()
	_, known := r.view.Member(hb.From)
	if known {
		r.recordPeerView(hb)
	}
	if hb.View > r.view.Number && r.view.Number > 0 {
		wakeLoop(r.pollNow)
		wakeLoop(r.heartbeatNow)
	}
	v := r.view
	r.mu.Unlock()
	if known {
		hb.Partial = true
		r.notifyHeartbeatSubscribers(hb)
	}
	reply := r.ownHeartbeat(hb.Coordinator)
	if hb.View < v.Number {
		raw, err := EncodeView(v)
		if err != nil {
			return messenger.Heartbeat{}, err
		}
		reply.Membership = raw
	}
	return reply, nil
}

// notifyHeartbeatSubscribers calls the functions registered with
// SubscribeHeartbeats.
func (r *Registrar) notifyHeartbeatSubscribers(hb messenger.Heartbeat) {
	r.mu.Lock()
	subscribers := r.onHeartbeat
	r.mu.Unlock()
	for _, fn := range subscribers {
		fn(hb)
	}
}
