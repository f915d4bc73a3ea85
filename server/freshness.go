package server

import (
	"context"
	"sync"
	"time"

	"github.com/coltsfootlever/coltsfootlever/classifier"
	"github.com/coltsfootlever/coltsfootlever/registrar"
)

// freshnessPollInterval is the time between two checks of whether the entry may
// have missed a change.
const freshnessPollInterval = 250 * time.Millisecond

type (
	// membership tells whether this entry may have missed a change of the
	// cluster membership.
	membership interface {
		CheckFreshness() error
		Connectivity() registrar.Connectivity
	}

	// freshness tells whether an entry may act on the membership and the rules
	// that it knows. Contact with the key-value service confirms the membership,
	// but not the rules: an entry that was isolated or paused may have missed
	// the withdrawal of a key, so it must read the rules again before it acts.
	freshness struct {
		members membership
		maxGap  time.Duration // longest time between two checks after which the rules still count as current

		mu            sync.Mutex
		lastConnected time.Time // time of the last check at which the entry was not isolated
		rulesStale    bool      // the rules may be out of date
		lastStaleAt   time.Time // time of the last check that followed too long a gap
	}

	// memberView is the membership, with a freshness check that includes the
	// rules.
	memberView struct {
		*registrar.Registrar
		fresh func() error
	}
)

// CheckFreshness returns an error while the membership or the rules may be out of
// date.
func (m memberView) CheckFreshness() error {
	return m.fresh()
}

func newFreshness(members membership, maxGap time.Duration) *freshness {
	return &freshness{members: members, maxGap: maxGap, lastConnected: time.Now()}
}

// check returns a refusal with the code Isolated while the entry may have missed a
// change of the membership or the rules.
func (f *freshness) check() error {
	err := f.members.CheckFreshness()
	if f.observe(time.Now(), err != nil) && err == nil {
		return classifier.Refuse(classifier.Isolated, "the entry is reading the rules anew: try another").WithRetryAfter(time.Second)
	}
	return err
}

// observe records one check of the membership and reports whether the rules may be
// out of date. They may be when more than maxGap has passed since the last check
// at which the entry was not isolated, whether it was isolated since then or the
// process was paused.
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

// markRulesRead records that the rules have been read, starting at readStart. They
// stay out of date if a gap was noticed after that time.
func (f *freshness) markRulesRead(readStart time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.lastStaleAt.Before(readStart) {
		f.rulesStale = false
	}
}

// rulesStaleAt reports whether the rules must be read again, and when the last gap
// was noticed.
func (f *freshness) rulesStaleAt() (since time.Time, stale bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lastStaleAt, f.rulesStale
}

// watchFreshness checks at intervals whether the rules may be out of date, and
// reads them again if so.
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

// refreshRules makes sure that the rules are up to date: it reads them from the
// key-value service or, during an outage of the service, checks that no reachable
// peer has newer ones.
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

// peersHaveNoNewerRules reports whether every reachable peer has sent a heartbeat
// after since and has no newer rules than this entry. Peers without a heartbeat
// within the staleness bound are skipped: the membership has already established
// that they are gone, or it would not report an outage.
func (e *Entry) peersHaveNoNewerRules(since time.Time) bool {
	for _, m := range e.members.View().Others(e.self().ID) {
		hb, at, ok := e.heartbeats.get(m.ID)
		if !ok || time.Since(at) > e.cfg.Staleness {
			continue
		}
		if at.Before(since) || hb.Rules > e.rules.RulesNumber() {
			return false
		}
	}
	return true
}
