package registrar

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/keeper"
)

// register registers the member, trying until ctx ends.
func (r *Registrar) register(ctx context.Context) error {
	delay := minRetry
	for {
		start := time.Now()
		v, err := r.update(ctx, func(cur View) (View, bool, error) {
			next, write := cur.register(r.self, time.Now())
			return next, write, nil
		})
		if err == nil {
			r.takeIdentity(v)
			r.adopt(v, start)
			return nil
		}
		r.log.Warn("registration failed", "error", err)
		if !sleep(ctx, delay) {
			return errors.Annotate(ctx.Err(), "registering")
		}
		delay = min(2*delay, maxRetry)
	}
}

func (r *Registrar) takeIdentity(v View) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, m := range v.Members {
		if m.Nonce == r.self.Nonce {
			r.self = m
		}
	}
}

// update changes the membership by compare-and-swap.
func (r *Registrar) update(ctx context.Context, change func(cur View) (View, bool, error)) (View, error) {
	v, _, err := keeper.Update(ctx, r.store, keeper.MembersKey, func(cur View, _ bool) (View, bool, error) {
		return change(cur)
	})
	return v, errors.Trace(err)
}

// pollLoop reads the membership in every period, also while earlier reads wait
// for their answers.
func (r *Registrar) pollLoop(ctx context.Context) error {
	ticker := time.NewTicker(r.cfg.poll)
	defer ticker.Stop()
	done := make(chan struct{}, maxReads)
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
		case <-r.kickPoll:
		}
		if running == maxReads {
			continue
		}
		running++
		go func() {
			defer func() { done <- struct{}{} }()
			r.poll(ctx)
		}()
	}
}

// poll reads the membership once. It reports whether the service answered.
func (r *Registrar) poll(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	start := time.Now()
	record, err := r.store.Get(ctx, keeper.MembersKey)
	if err != nil {
		return false
	}
	v, err := keeper.Decode[View](record)
	if err != nil || v.Number == 0 {
		r.log.Error("membership unreadable", "error", err, "revision", record.Revision)
		return false
	}
	r.adopt(v, start)
	return true
}

// Refresh reads the membership now, or asks the peers when the service does
// not answer.
func (r *Registrar) Refresh(ctx context.Context) {
	select {
	case r.reads <- struct{}{}:
		defer func() { <-r.reads }()
	case <-ctx.Done():
		return
	}
	if !r.poll(ctx) {
		r.beat(ctx)
	}
}

// adopt takes v in when it is newer than the known view, and proved as a time
// at which no newer view than v existed.
func (r *Registrar) adopt(v View, proved time.Time) {
	r.turn <- struct{}{}
	defer func() { <-r.turn }()
	old, newer := r.record(v, proved)
	if !newer {
		return
	}
	for _, fn := range r.subscribers() {
		fn(old, v)
	}
	kick(r.kickBeat)
}

func (r *Registrar) subscribers() []func(old, next View) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.onView
}

// record takes the view in and reports whether it is newer than the one before.
func (r *Registrar) record(v View, proved time.Time) (View, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.view
	if v.Number < old.Number {
		return old, false
	}
	if proved.After(r.proved) {
		r.proved = proved
	}
	if v.Number == old.Number {
		r.cfg.assert(len(v.Members) == len(old.Members), "two views with number %d", v.Number)
		return old, false
	}
	r.view = v
	r.prune(old)
	r.noteNew(time.Now())
	r.confirm(time.Now())
	me, ok := v.Member(r.self.ID)
	if !ok && r.self.Joined > 0 {
		r.noteRemoval()
	}
	if !ok {
		return old, true
	}
	r.self = me
	return old, true
}

func (r *Registrar) noteRemoval() {
	select {
	case <-r.removed:
	default:
		close(r.removed)
	}
}

// prune forgets what was heard of members that are no longer registered.
func (r *Registrar) prune(old View) {
	for _, m := range old.Members {
		if _, ok := r.view.Member(m.ID); !ok {
			delete(r.heard, m.ID)
			delete(r.firstSeen, m.ID)
			delete(r.reached, m.ID)
		}
	}
	for id := range r.confirmed {
		if _, ok := r.view.Departure(id); !ok {
			delete(r.confirmed, id)
		}
	}
}

// noteNew notes the members that the view has added. The caller holds mu.
func (r *Registrar) noteNew(now time.Time) {
	for _, m := range r.view.Members {
		if _, ok := r.firstSeen[m.ID]; !ok {
			r.firstSeen[m.ID] = now
		}
	}
}

// knows reports whether m is known to have seen the view with the number.
func (r *Registrar) knows(m Member, number uint64) bool {
	return m.Joined >= number || r.reached[m.ID] >= number
}

// confirm notes the departures that every registered member knows by now.
func (r *Registrar) confirm(now time.Time) {
	for _, d := range r.view.Departed {
		if _, ok := r.confirmed[d.ID]; ok || !r.allKnow(d.View) {
			continue
		}
		r.confirmed[d.ID] = now
	}
}

func (r *Registrar) allKnow(number uint64) bool {
	for _, m := range r.view.Others(r.self.ID) {
		if !r.knows(m, number) {
			return false
		}
	}
	return true
}

// kick wakes the loop that reads from ch.
func kick(ch chan struct{}) {
	select {
	case ch <- struct{}{}:
	default:
	}
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
