package registrar

import (
	"time"
)

// Standings of a member towards the key-value service.
const (
	// Isolated means that the member may have missed a change.
	Isolated Connectivity = iota
	// Connected means that the member's view was proved to be the latest one
	// within the staleness bound, by itself or through a peer.
	Connected
	// Outage means that the service is down for every registered member, so
	// that no change can have been accepted.
	Outage
)

type (
	// Connectivity judges whether a member may have missed a change.
	Connectivity int

	// peerContact is what a peer said in its last answer.
	peerContact struct {
		at       time.Time // start of the call
		view     uint64
		hasStore bool
	}

	// observations are what a standing is judged on.
	observations struct {
		now         time.Time
		self        string
		view        View
		provedAt    time.Time              // the view was the latest one at this time
		contacts    map[string]peerContact // last answers by member
		listedAt    time.Time              // start of the last call for the instance list
		absentSince map[string]time.Time   // by member
		delisted    bool                   // the list held the own instance and does not any more
	}

	// timeLimits are the bounds of a judgement.
	timeLimits struct {
		stale     time.Duration // longest age of a proof or an answer
		lag       time.Duration // longest lag of the instance list
		listStale time.Duration // longest age of the last listing
	}
)

// String returns the standing in the form used in logs.
func (s Connectivity) String() string {
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

// connectivityOf returns the standing that the facts permit.
func connectivityOf(o observations, l timeLimits) Connectivity {
	if _, ok := o.view.Member(o.self); !ok {
		return Isolated
	}
	if o.delisted {
		return Isolated // others take the process for ended
	}
	if !o.provedAt.IsZero() && elapsed(o.provedAt, o.now) <= l.stale {
		return Connected
	}
	heard := 0
	for _, m := range o.view.Others(o.self) {
		switch {
		case o.confirmsOutage(m.ID, l):
			heard++
		case !o.isLost(m.ID, l):
			return Isolated
		}
	}
	if heard == 0 {
		return Isolated // alone, an outage looks like being cut off
	}
	return Outage
}

// confirmsOutage reports whether the member answered within the bound that it
// is without the service and knows the same view.
func (o observations) confirmsOutage(id string, l timeLimits) bool {
	c, ok := o.contacts[id]
	return ok && !c.hasStore && c.view == o.view.Number && elapsed(c.at, o.now) <= l.stale
}

// isLost reports whether the member's instance has been missing from the list for
// longer than the list lags.
func (o observations) isLost(id string, l timeLimits) bool {
	since, ok := o.absentSince[id]
	return ok && o.isListFresh(l) && elapsed(since, o.now) > l.lag
}

func (o observations) isListFresh(l timeLimits) bool {
	return !o.listedAt.IsZero() && elapsed(o.listedAt, o.now) <= l.listStale
}
