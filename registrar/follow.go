package registrar

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/keeper"
)

// registerMember registers the member and retries until ctx ends.
func (r *Registrar) registerMember(ctx context.Context) error {
	delay := minRetryDelay
	for {
		start := time.Now()
		v, err := r.updateMembership(ctx, func(cur View) (View, bool, error) {
			next, write := cur.withMember(r.self, time.Now())
			return next, write, nil
		})
		if err == nil {
			r.adoptRegistration(v)
			r.adoptView(v, start)
			return nil
		}
		r.log.Warn("registering this member in the key-value service failed; retrying", "error", err)
		if !sleep(ctx, delay) {
			return errors.Annotate(ctx.Err(), "registering")
		}
		delay = min(2*delay, maxRetryDelay)
	}
}

// adoptRegistration copies the registered form of this member, with Joined and
// State, from the view.
func (r *Registrar) adoptRegistration(v View) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, m := range v.Members {
		if m.Nonce == r.self.Nonce {
			r.self = m
		}
	}
}

// updateMembership changes the membership record by compare-and-swap.
func (r *Registrar) updateMembership(ctx context.Context, change func(cur View) (View, bool, error)) (View, error) {
	v, _, err := keeper.Update(ctx, r.store, keeper.MembersKey, func(cur View, _ bool) (View, bool, error) {
		return change(cur)
	})
	return v, errors.Trace(err)
}

// pollLoop reads the membership in every period, also while earlier reads still
// wait for their answers.
func (r *Registrar) pollLoop(ctx context.Context) error {
	ticker := time.NewTicker(r.cfg.poll)
	defer ticker.Stop()
	done := make(chan struct{}, maxConcurrentReads)
	running := 0
	for {
		select {
		case <-ctx.Done():
			for ; running > 0; running-- {
				<-done
			}
			return nil
		case <-done:
			running--
			continue
		case <-ticker.C:
		case <-r.pollNow:
		}
		if running == maxConcurrentReads {
			continue
		}
		running++
		go func() {
			defer func() { done <- struct{}{} }()
			r.pollMembership(ctx)
		}()
	}
}

// pollMembership reads the membership record once. It reports whether the
// key-value service returned a readable one.
func (r *Registrar) pollMembership(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	start := time.Now()
	record, err := r.store.Get(ctx, keeper.MembersKey)
	if err != nil {
		return false
	}
	v, err := keeper.Decode[View](record)
	if err != nil || v.Number == 0 {
		r.log.Error("membership record in the key-value service is unreadable; keeping the known view", "error", err, "revision", record.Revision)
		return false
	}
	r.adoptView(v, start)
	return true
}

// Refresh reads the membership now, or asks the peers when the key-value
// service does not answer.
func (r *Registrar) Refresh(ctx context.Context) {
	select {
	case r.readSlots <- struct{}{}:
		defer func() { <-r.readSlots }()
	case <-ctx.Done():
		return
	}
	if !r.pollMembership(ctx) {
		r.sendHeartbeats(ctx)
	}
}

// adoptView makes v the known view if v is newer, and calls the subscribers. No
// view newer than v existed at the time provedAt.
func (r *Registrar) adoptView(v View, provedAt time.Time) {
	r.adopting <- struct{}{}
	defer func() { <-r.adopting }()
	old, newer := r.recordNewerView(v, provedAt)
	if !newer {
		return
	}
	for _, fn := range r.viewSubscribers() {
		fn(old, v)
	}
	wakeLoop(r.heartbeatNow)
}

func (r *Registrar) viewSubscribers() []func(old, next View) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.onView
}

// recordNewerView stores v if it is newer than the known view. It returns the
// view known before and whether v is newer.
func (r *Registrar) recordNewerView(v View, provedAt time.Time) (View, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.view
	if v.Number < old.Number {
		return old, false
	}
	if provedAt.After(r.provedAt) {
		r.provedAt = provedAt
	}
	if v.Number == old.Number {
		r.cfg.assert(len(v.Members) == len(old.Members), "two membership views have number %d", v.Number)
		return old, false
	}
	r.view = v
	r.forgetRemovedMembers(old)
	r.recordNewMembers(time.Now())
	r.recordConfirmedDepartures(time.Now())
	me, ok := v.Member(r.self.ID)
	if !ok && r.self.Joined > 0 {
		r.signalOwnRemoval()
	}
	if !ok {
		return old, true
	}
	r.self = me
	return old, true
}

// signalOwnRemoval closes removed unless it is closed already.
func (r *Registrar) signalOwnRemoval() {
	select {
	case <-r.removed:
	default:
		close(r.removed)
	}
}

// forgetRemovedMembers deletes what was recorded about members and departures
// that the known view no longer lists. The caller holds mu.
func (r *Registrar) forgetRemovedMembers(old View) {
	for _, m := range old.Members {
		if _, ok := r.view.Member(m.ID); !ok {
			delete(r.contacts, m.ID)
			delete(r.firstSeen, m.ID)
			delete(r.knownViews, m.ID)
		}
	}
	for id := range r.confirmedAt {
		if _, ok := r.view.Departure(id); !ok {
			delete(r.confirmedAt, id)
		}
	}
}

// recordNewMembers records when the members that the view added were first
// seen. The caller holds mu.
func (r *Registrar) recordNewMembers(now time.Time) {
	for _, m := range r.view.Members {
		if _, ok := r.firstSeen[m.ID]; !ok {
			r.firstSeen[m.ID] = now
		}
	}
}

// hasSeenView reports whether m is known to have seen the view with the given
// number or a later one.
func (r *Registrar) hasSeenView(m Member, number uint64) bool {
	return m.Joined >= number || r.knownViews[m.ID] >= number
}

// recordConfirmedDepartures records the departures that every registered member
// now knows of. The caller holds mu.
func (r *Registrar) recordConfirmedDepartures(now time.Time) {
	for _, d := range r.view.Departed {
		if _, ok := r.confirmedAt[d.ID]; ok || !r.allHaveSeenView(d.View) {
			continue
		}
		r.confirmedAt[d.ID] = now
	}
}

// allHaveSeenView reports whether every other member has seen the view with the
// given number.
func (r *Registrar) allHaveSeenView(number uint64) bool {
	for _, m := range r.view.Others(r.self.ID) {
		if !r.hasSeenView(m, number) {
			return false
		}
	}
	return true
}

// wakeLoop wakes the loop that reads from ch.
func wakeLoop(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
}

// sleep waits for d. It returns false when ctx ends first.
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
