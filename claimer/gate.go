package claimer

import (
	"slices"
	"time"

	"github.com/coltsfootlever/coltsfootlever/registrar"
)

const (
	maxBaseViews          = 8  // earlier views that are kept to tell which names never had another home
	maxUnknownGrantRanges = 64 // the two oldest ranges are merged above this number
	maxSkippedViews       = 64 // a view lists at least the departures of this many preceding views
	clocksPerCutOff       = 2  // clocks whose difference enters a cut-off date: the caller's and the home's
)

type (
	// handOverState tells for which names (idempotency keys) a home knows all earlier grants after a
	// change of view. It does not read the clock and is not safe for concurrent
	// use: the caller passes the time and holds a mutex.
	//
	// Each new view starts a round, in which every other registered member hands
	// over the names whose home is this member now. Until the round is
	// complete, this member refuses a claim on a name that no task holds, unless
	// it has been the home of the name under all views since the last complete
	// round. It refuses all such claims if it skipped one of these views.
	handOverState struct {
		self                      string
		viewNumber                uint64          // number of the adopted view
		members                   rendezvous      // active members of the view
		baseViews                 []rendezvous    // members of each view since the last complete round
		refuseAllNames            bool            // this member refuses all claims on names that no task holds until the round is complete
		awaited                   map[string]bool // members that have not finished their hand-over
		hasUndatedDeparture       bool            // a member departed, and the time at which its process stopped is not known
		latestUnknownGrantOfRound time.Time       // latest date of a name that a departed member may have granted unknown to this member, as far as known in this round
		unknownGrantRanges        []unknownGrantRange
	}

	// unknownGrantRange covers names (idempotency keys) that a departed member may have granted without
	// a record of it at this member. A claim on such a name fails with an unknown
	// outcome, unless a known task holds the name.
	unknownGrantRange struct {
		until     time.Time    // latest date of such a name
		baseViews []rendezvous // names whose home was this member under all of these views are excluded
	}
)

// startRound starts the round of the view v. joined is the number of the view
// that added this member. A new member learns of earlier departures from the
// members that saw them. If there are none, it assumes that departed members may
// have granted any earlier name.
func (g *handOverState) startRound(v registrar.View, joined uint64, margin time.Duration) {
	last := g.viewNumber
	first := last == 0
	if first {
		last = joined - 1
	}
	wasComplete := !first && len(g.awaited) == 0
	g.updateGrantableNames(wasComplete, first || v.Number != last+1)
	if !wasComplete && !g.latestUnknownGrantOfRound.IsZero() {
		g.addUnknownGrantRange(g.latestUnknownGrantOfRound)
	}
	latestDate, hasUndated := latestNameDateOfDeparted(v, last, margin)
	g.latestUnknownGrantOfRound = latestDate
	alone := first && len(v.Members) <= 1
	g.hasUndatedDeparture = g.hasUndatedDeparture && !wasComplete || hasUndated || alone && v.Number > 1
	g.viewNumber = v.Number
	g.members = newRendezvous(v.Active())
	g.awaited = make(map[string]bool)
	for _, m := range v.Others(g.self) {
		g.awaited[m.ID] = true
	}
}

// updateGrantableNames sets baseViews and refuseAllNames for the round that starts. They
// decide which names this home may grant during the round: those whose home was
// this member under all base views, which are the views since the last complete
// round. wasComplete reports that the round before was complete: the view of that
// round, which g.members still holds, is then the only base view. All names are
// refused if skippedView reports that this member missed a view, or if there would
// be more than maxBaseViews base views.
func (g *handOverState) updateGrantableNames(wasComplete, skippedView bool) {
	switch {
	case skippedView:
		g.refuseAllNames, g.baseViews = true, nil
	case wasComplete:
		g.refuseAllNames, g.baseViews = false, []rendezvous{g.members}
	case len(g.baseViews) == maxBaseViews:
		g.refuseAllNames, g.baseViews = true, nil
	case !g.refuseAllNames:
		g.baseViews = append(slices.Clone(g.baseViews), g.members)
	}
}

// latestNameDateOfDeparted looks at the members that departed after the view last
// without a hand-over. latestDate is the latest date that a name granted by one of
// them can have; it covers the processes with a known stop time. hasUndated reports
// that v lists, or may have dropped, a departure of a process that may still be
// running, so that no latest date is known for the names that it grants.
func latestNameDateOfDeparted(v registrar.View, last uint64, margin time.Duration) (latestDate time.Time, hasUndated bool) {
	hasUndated = v.Number > last+maxSkippedViews
	for _, d := range v.Departed {
		switch {
		case d.View <= last || d.Reason == registrar.Left:
		case d.Absent.IsZero():
			hasUndated = true
		default:
			latestDate = laterTime(latestDate, d.Absent.Add(clocksPerCutOff*margin))
		}
	}
	return latestDate, hasUndated
}

func laterTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// recordHandOver records that the member from has handed over all its names.
// latestUnknownGrant and hasUndatedDeparture are the sender's values, taken from the
// last message of its hand-over. It reports whether the round is complete.
func (g *handOverState) recordHandOver(from string, latestUnknownGrant time.Time, hasUndatedDeparture bool) bool {
	delete(g.awaited, from)
	g.latestUnknownGrantOfRound = laterTime(g.latestUnknownGrantOfRound, latestUnknownGrant)
	g.hasUndatedDeparture = g.hasUndatedDeparture || hasUndatedDeparture
	return len(g.awaited) == 0
}

// completeRound ends a complete round at the time now. Every member that has not
// departed has the view by now, so a departed member stops granting within the
// staleness limit from now.
func (g *handOverState) completeRound(now time.Time, staleness, margin time.Duration) {
	until := g.latestUnknownGrantOfRound
	if g.hasUndatedDeparture {
		until = laterTime(until, now.Add(staleness+clocksPerCutOff*margin))
	}
	if !until.IsZero() {
		g.addUnknownGrantRange(until)
	}
	g.hasUndatedDeparture = false
	g.latestUnknownGrantOfRound = time.Time{}
}

// addUnknownGrantRange adds a range for all names that may have changed their home in
// the round. If there are more than maxUnknownGrantRanges, it merges the two oldest.
func (g *handOverState) addUnknownGrantRange(until time.Time) {
	d := unknownGrantRange{until: until}
	if !g.refuseAllNames {
		d.baseViews = append(slices.Clone(g.baseViews), g.members)
	}
	g.unknownGrantRanges = append(g.unknownGrantRanges, d)
	if len(g.unknownGrantRanges) <= maxUnknownGrantRanges {
		return
	}
	if g.unknownGrantRanges[0].until.After(g.unknownGrantRanges[1].until) {
		g.unknownGrantRanges[1].until = g.unknownGrantRanges[0].until
	}
	g.unknownGrantRanges[1].baseViews = nil
	g.unknownGrantRanges = slices.Delete(g.unknownGrantRanges, 0, 1)
}

// removeExpiredRanges removes the ranges that only cover names dated before
// oldest.
func (g *handOverState) removeExpiredRanges(oldest time.Time) {
	g.unknownGrantRanges = slices.DeleteFunc(g.unknownGrantRanges, func(d unknownGrantRange) bool { return d.until.Before(oldest) })
}

// latestUnknownGrant returns the latest date of a name that a departed member may
// have granted unknown to this member, as far as known by the current round. It
// returns the zero time if there is no such name.
func (g *handOverState) latestUnknownGrant() time.Time {
	latest := g.latestUnknownGrantOfRound
	for _, d := range g.unknownGrantRanges {
		latest = laterTime(latest, d.until)
	}
	return latest
}

// knowsAllGrants reports whether this home knows all grants of the idempotency key
// by members that are still registered.
func (g *handOverState) knowsAllGrants(k nameKey) bool {
	if len(g.awaited) == 0 {
		return true
	}
	return !g.refuseAllNames && g.isHomeOf(k) && g.wasHomeInAll(g.baseViews, k)
}

// mayBeGrantedByDeparted reports whether a departed member may have granted the
// key. Names without a date count as old.
func (g *handOverState) mayBeGrantedByDeparted(k nameKey, date time.Time, dated bool) bool {
	return slices.ContainsFunc(g.unknownGrantRanges, func(d unknownGrantRange) bool {
		if dated && date.After(d.until) {
			return false
		}
		return len(d.baseViews) == 0 || !g.wasHomeInAll(d.baseViews, k)
	})
}

// wasHomeInAll reports whether this member was the home of the idempotency key
// under all of the views.
func (g *handOverState) wasHomeInAll(baseViews []rendezvous, k nameKey) bool {
	return !slices.ContainsFunc(baseViews, func(h rendezvous) bool { return h.homeOf(k) != g.self })
}

// isActive reports whether the member is active in the adopted view.
func (g *handOverState) isActive(id string) bool { return slices.Contains(g.members.ids, id) }

// isHomeOf reports whether this member is the home of the idempotency key under the
// adopted view.
func (g *handOverState) isHomeOf(k nameKey) bool {
	return g.self != "" && g.members.homeOf(k) == g.self
}
