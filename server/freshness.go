package server

import (
	"context"
	"sync"
	"time"

	"github.com/coltsfootlever/coltsfootlever/classifier"
	"github.com/coltsfootlever/coltsfootlever/registrar"
)

// freshnessPoll is the time between looks at an entry's standing.
const freshnessPollInterval = 250 * time.Millisecond

type (
	// standing judges whether this member may have missed a change of the
	// membership.
	membership interface {
		CheckFreshness() error
		Connectivity() registrar.Connectivity
	}

	// freshness judges whether an entry may act on what it knows. Contact with
	// the service proves the membership, but not the rules: a member that was
	// isolated or paused may have missed a withdrawn key, and acts again only
	// after it has read the rules anew.
	freshness struct {
		members membership
		maxGap  time.Duration // longest time between two looks without doubt

		mu            sync.Mutex
		lastConnected time.Time // of the last look at a member that was not isolated
		rulesStale    bool      // the rules may be old
		lastStaleAt   time.Time // when the doubt was last renewed
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

func newFreshness(members membership, bound time.Duration) *freshness {
	return &freshness{members: members, maxGap: bound, lastConnected: time.Now()}
}

// check refuses with Isolated while the entry may have missed a change.
func (f *freshness) check() error {
	err := f.members.CheckFreshness()
	if f.observe(time.Now(), err != nil) && err == nil {
		return classifier.Refuse(classifier.Isolated, "the entry is reading the rules anew: try another").WithRetryAfter(time.Second)
	}
	return err
}

// look notes one look at the standing and says whether the rules are in doubt.
// They are after a time without a fresh look that is longer than the bound,
// whether the member was isolated or the process paused.
func (f *freshness) observe(now time.Time, isolated bool) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	gap := max(now.Sub(f.lastConnected), now.Round(0).Sub(f.lastConnected.Round(0)))
	if gap > f.maxGap {
		f.rulesStale = true
		f.lastStaleAt = now
	}
	if !isolated {
		f.lastConnected = now
	}
	return f.rulesStale
}

// cleared ends the doubt unless it was renewed after since.
func (f *freshness) markRulesRead(readStart time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lastStaleAt.Before(readStart) {
		f.rulesStale = false
	}
}

// inDoubt says whether the rules must be read anew, and since when.
func (f *freshness) rulesStaleAt() (since time.Time, stale bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lastStaleAt, f.rulesStale
}

// watchFreshness looks at the standing and reads the rules anew after doubt.
func (e *Entry) watchFreshness(ctx context.Context) error {
	tick := time.NewTicker(freshnessPollInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		if e.freshness.check() != nil {
			e.refreshRules(ctx)
		}
	}
}

// readRulesAnew ends the doubt about the rules: by the service, or in an outage
// by the word of all peers that count.
func (e *Entry) refreshRules(ctx context.Context) {
	start := time.Now()
	since, stale := e.freshness.rulesStaleAt()
	switch {
	case !stale:
	case e.members.Connectivity() == registrar.Connected:
		ctx, cancel := context.WithTimeout(ctx, e.cfg.Staleness)
		defer cancel()
		if e.rules.Refresh(ctx) == nil {
			e.freshness.markRulesRead(start)
		}
	case e.members.Connectivity() == registrar.Outage && e.peersHaveNoNewerRules(since):
		e.freshness.markRulesRead(start)
	}
}

// peersKnowNoMore says whether every peer that counts has been heard after since
// and has no newer rules. A peer that was not heard within the staleness bound
// is counted out, or the standing would not be that of an outage.
func (e *Entry) peersHaveNoNewerRules(since time.Time) bool {
	for _, m := range e.members.View().Others(e.self().ID) {
		hb, at, ok := e.heartbeats.get(m.ID)
		if !ok || time.Since(at) > e.cfg.Staleness {
			continue
		}
		if at.Before(since) || hb.Rules > e.rules.Number() {
			return false
		}
	}
	return true
}
