package server

import (
	"context"
	"sync"
	"time"

	"github.com/coltsfootlever/coltsfootlever/classifier"
	"github.com/coltsfootlever/coltsfootlever/registrar"
)

// freshnessPoll is the time between looks at an entry's standing.
const freshnessPoll = 250 * time.Millisecond

type (
	// standing judges whether this member may have missed a change of the
	// membership.
	standing interface {
		CheckFreshness() error
		Connectivity() registrar.Connectivity
	}

	// freshness judges whether an entry may act on what it knows. Contact with
	// the service proves the membership, but not the rules: a member that was
	// isolated or paused may have missed a withdrawn key, and acts again only
	// after it has read the rules anew.
	freshness struct {
		members standing
		bound   time.Duration // longest time between two looks without doubt

		mu     sync.Mutex
		last   time.Time // of the last look at a member that was not isolated
		doubt  bool      // the rules may be old
		doubts time.Time // when the doubt was last renewed
	}

	// memberView is the membership with the entry's own judgement of freshness.
	memberView struct {
		*registrar.Registrar
		fresh func() error
	}
)

// CheckFreshness implements the members of the router.
func (m memberView) CheckFreshness() error {
	return m.fresh()
}

func newFreshness(members standing, bound time.Duration) *freshness {
	return &freshness{members: members, bound: bound, last: time.Now()}
}

// check refuses with Isolated while the entry may have missed a change.
func (f *freshness) check() error {
	err := f.members.CheckFreshness()
	if f.look(time.Now(), err != nil) && err == nil {
		return classifier.Refuse(classifier.Isolated, "the entry is reading the rules anew: try another").WithRetryAfter(time.Second)
	}
	return err
}

// look notes one look at the standing and says whether the rules are in doubt.
// They are after a time without a fresh look that is longer than the bound,
// whether the member was isolated or the process paused.
func (f *freshness) look(now time.Time, isolated bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	gap := max(now.Sub(f.last), now.Round(0).Sub(f.last.Round(0)))
	if gap > f.bound {
		f.doubt = true
		f.doubts = now
	}
	if !isolated {
		f.last = now
	}
	return f.doubt
}

// cleared ends the doubt unless it was renewed after since.
func (f *freshness) cleared(since time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.doubts.Before(since) {
		f.doubt = false
	}
}

// inDoubt says whether the rules must be read anew, and since when.
func (f *freshness) inDoubt() (since time.Time, doubt bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.doubts, f.doubt
}

// watchFreshness looks at the standing and reads the rules anew after doubt.
func (e *Entry) watchFreshness(ctx context.Context) error {
	tick := time.NewTicker(freshnessPoll)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		if e.fresh.check() != nil {
			e.readRulesAnew(ctx)
		}
	}
}

// readRulesAnew ends the doubt about the rules: by the service, or in an outage
// by the word of all peers that count.
func (e *Entry) readRulesAnew(ctx context.Context) {
	start := time.Now()
	since, doubt := e.fresh.inDoubt()
	switch {
	case !doubt:
	case e.members.Connectivity() == registrar.Connected:
		ctx, cancel := context.WithTimeout(ctx, e.cfg.Staleness)
		defer cancel()
		if e.rules.Refresh(ctx) == nil {
			e.fresh.cleared(start)
		}
	case e.members.Connectivity() == registrar.Outage && e.peersKnowNoMore(since):
		e.fresh.cleared(start)
	}
}

// peersKnowNoMore says whether every peer that counts has been heard after since
// and has no newer rules. A peer that was not heard within the staleness bound
// is counted out, or the standing would not be that of an outage.
func (e *Entry) peersKnowNoMore(since time.Time) bool {
	for _, m := range e.members.View().Others(e.self().ID) {
		hb, at, ok := e.loads.of(m.ID)
		if !ok || time.Since(at) > e.cfg.Staleness {
			continue
		}
		if at.Before(since) || hb.Rules > e.rules.Number() {
			return false
		}
	}
	return true
}
