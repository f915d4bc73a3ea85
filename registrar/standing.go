package registrar

import (
	"time"
)

// Standings of a member towards the key-value service.
const (
	// Isolated means that the member may have missed a change.
	Isolated Standing = iota
	// Connected means that the member's view was proved to be the latest one
	// within the staleness bound, by itself or through a peer.
	Connected
	// Outage means that the service is down for every registered member, so
	// that no change can have been accepted.
	Outage
)

type (
	// Standing judges whether a member may have missed a change.
	Standing int

	// contact is what a peer said in its last answer.
	contact struct {
		at       time.Time // start of the call
		view     uint64
		hasStore bool
	}

	// facts are what a standing is judged on.
	facts struct {
		now      time.Time
		self     string
		view     View
		proved   time.Time            // the view was the latest one at this time
		heard    map[string]contact   // last answers by member
		listed   time.Time            // start of the last call for the instance list
		absent   map[string]time.Time // by member
		delisted bool                 // the list held the own instance and does not any more
	}

	// limits are the bounds of a judgement.
	limits struct {
		stale  time.Duration // longest age of a proof or an answer
		lag    time.Duration // longest lag of the instance list
		listed time.Duration // longest age of the last listing
	}
)

// String returns the standing in the form used in logs.
func (s Standing) String() string {
	switch s {
	case Connected:
		return "connected"
	case Outage:
		return "outage"
	default:
		return "isolated"
	}
}

// elapsed returns the time from t to now by the monotonic or by the wall
// clock, whichever is greater: a suspended machine stops the former only.
func elapsed(t, now time.Time) time.Duration {
	return max(now.Sub(t), now.Round(0).Sub(t.Round(0)))
}

// judge returns the standing that the facts permit.
func judge(f facts, l limits) Standing {
	if _, ok := f.view.Member(f.self); !ok {
		return Isolated
	}
	if f.delisted {
		return Isolated // others take the process for ended
	}
	if !f.proved.IsZero() && elapsed(f.proved, f.now) <= l.stale {
		return Connected
	}
	heard := 0
	for _, m := range f.view.Others(f.self) {
		switch {
		case f.hasSameState(m.ID, l):
			heard++
		case !f.countedOut(m.ID, l):
			return Isolated
		}
	}
	if heard == 0 {
		return Isolated // alone, an outage looks like being cut off
	}
	return Outage
}

// hasSameState reports whether the member answered within the bound that it
// is without the service and knows the same view.
func (f facts) hasSameState(id string, l limits) bool {
	c, ok := f.heard[id]
	return ok && !c.hasStore && c.view == f.view.Number && elapsed(c.at, f.now) <= l.stale
}

// countedOut reports whether the member's instance has been missing from the list for
// longer than the list lags.
func (f facts) countedOut(id string, l limits) bool {
	since, ok := f.absent[id]
	return ok && f.listIsFresh(l) && elapsed(since, f.now) > l.lag
}

func (f facts) listIsFresh(l limits) bool {
	return !f.listed.IsZero() && elapsed(f.listed, f.now) <= l.listed
}
