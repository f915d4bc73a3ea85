package registrar

import (
	"time"
)

// Values of Connectivity.
const (
	// Isolated means that the member may have missed a change.
	Isolated Connectivity = iota
	// Connected means that the member's view was proved to be the latest one
	// within the staleness bound, by the member itself or through a peer.
	Connected
	// Outage means that the key-value service is down for every registered
	// member, so that no change can have been accepted.
	Outage
)

type (
	// Connectivity tells whether a member may have missed a change in the
	// key-value service.
	Connectivity int

	// peerContact is what a peer reported in its last answer.
	peerContact struct {
		at       time.Time // when the heartbeat was sent
		view     uint64    // number of the peer's latest view
		hasStore bool      // the peer's view is proved within the staleness bound
	}

	// observations are the input of connectivityOf.
	observations struct {
		now         time.Time
		self        string // identity of this member
		view        View
		provedAt    time.Time              // the view was the latest one at this time
		contacts    map[string]peerContact // last answers, by member
		listedAt    time.Time              // start of the last successful read of the instance list
		absentSince map[string]time.Time   // first read of the instance list that lacked the member's instance
		delisted    bool                   // the instance list contained this instance and no longer does
	}

	// timeLimits are the bounds that connectivityOf applies.
	timeLimits struct {
		stale     time.Duration // longest age of a proof or of a peer's answer
		lag       time.Duration // longest time by which the instance list may be out of date
		listStale time.Duration // longest age of the last read of the instance list
	}
)

// String returns the name that logs and status reports use.
func (c Connectivity) String() string {
	switch c {
	case Connected:
		return "connected"
	case Outage:
		return "outage"
	default:
		return "isolated"
	}
}

// elapsedTime returns the time from t to now by the monotonic or by the wall
// clock, whichever is greater: on a suspended machine the monotonic clock
// stops.
func elapsedTime(t, now time.Time) time.Duration {
	return max(now.Sub(t), now.Round(0).Sub(t.Round(0)))
}

// connectivityOf derives the connectivity of a member from observations.
func connectivityOf(o observations, l timeLimits) Connectivity {
	if _, ok := o.view.Member(o.self); !ok {
		return Isolated
	}
	if o.delisted {
		return Isolated // other members assume that this process has ended
	}
	if !o.provedAt.IsZero() && elapsedTime(o.provedAt, o.now) <= l.stale {
		return Connected
	}
	confirming := 0
	for _, m := range o.view.Others(o.self) {
		switch {
		case o.confirmsOutage(m.ID, l):
			confirming++
		case !o.isLost(m.ID, l):
			return Isolated
		}
	}
	if confirming == 0 {
		return Isolated // without peers, an outage cannot be told from a network partition
	}
	return Outage
}

// confirmsOutage reports whether the member answered within the staleness
// bound, cannot reach the key-value service either and knows the same view.
func (o observations) confirmsOutage(id string, l timeLimits) bool {
	c, ok := o.contacts[id]
	return ok && !c.hasStore && c.view == o.view.Number && elapsedTime(c.at, o.now) <= l.stale
}

// isLost reports whether the member's instance has been missing from the
// instance list for longer than the list lags.
func (o observations) isLost(id string, l timeLimits) bool {
	since, ok := o.absentSince[id]
	return ok && o.isListFresh(l) && elapsedTime(since, o.now) > l.lag
}

// isListFresh reports whether the last read of the instance list is recent
// enough to rely on.
func (o observations) isListFresh(l timeLimits) bool {
	return !o.listedAt.IsZero() && elapsedTime(o.listedAt, o.now) <= l.listStale
}
