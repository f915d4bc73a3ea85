package claimer

import (
	"slices"
	"time"

	"github.com/coltsfootlever/coltsfootlever/registrar"
)

const (
	maxBaseViews    = 8  // earlier views kept to tell which names never moved
	maxDoubtRanges  = 64 // doubts kept apart
	maxSkippedViews = 64 // views that may be skipped with all departures in sight
	clocksPerCutOff = 2  // margins in a cut-off date: the caller's clock and the home's
)

type (
	// handOverState tells which names a home may answer for after a change of view. It
	// is pure: the caller passes the time and guards it by a mutex.
	//
	// Each adoption of a view starts a round, in which every other registered
	// member hands over what it holds for this home. Until the round is
	// wasComplete, only names are open that were this home's under all views
	// since the last complete round, without a skipped one.
	handOverState struct {
		self                string
		viewNumber          uint64          // view adopted
		members             rendezvous      // active members of the view
		baseViews           []rendezvous    // homes of the views since the last complete round
		noNameKnown         bool            // no name is open before the round is complete
		awaited             map[string]bool // members that have not handed over yet
		hasUndatedDeparture bool            // a departure whose cut-off date is not fixed
		roundDoubt          time.Time       // latest date that a sender of this round doubts
		doubtRanges         []doubtRange
	}

	// roundDoubt covers the names that a departed member may have granted.
	doubtRange struct {
		until     time.Time    // latest date of such a name
		baseViews []rendezvous // names that had their home here under all of these are not covered
	}
)

// startRound starts the round of the view v. Joined is the number of the view that
// added this member. A new member learns of departures before it joined from
// the members that saw them, and doubts all earlier names when there is none.
func (g *handOverState) startRound(v registrar.View, joined uint64, margin time.Duration) {
	last := g.viewNumber
	first := last == 0
	if first {
		last = joined - 1
	}
	wasComplete := !first && len(g.awaited) == 0
	g.updateBaseViews(wasComplete, first || v.Number != last+1)
	if !wasComplete && !g.roundDoubt.IsZero() {
		g.addDoubtRange(g.roundDoubt)
	}
	latestDate, hasUndated := departuresSince(v, last, margin)
	g.roundDoubt = latestDate
	alone := first && len(v.Members) <= 1
	g.hasUndatedDeparture = g.hasUndatedDeparture && !wasComplete || hasUndated || alone && v.Number > 1
	g.viewNumber = v.Number
	g.members = newRendezvous(v.Active())
	g.awaited = make(map[string]bool)
	for _, m := range v.Others(g.self) {
		g.awaited[m.ID] = true
	}
}

// updateBaseViews updates which names stay open during the next round.
func (g *handOverState) updateBaseViews(wasComplete, skippedView bool) {
	switch {
	case skippedView:
		g.noNameKnown, g.baseViews = true, nil
	case wasComplete:
		g.noNameKnown, g.baseViews = false, []rendezvous{g.members}
	case len(g.baseViews) == maxBaseViews:
		g.noNameKnown, g.baseViews = true, nil
	case !g.noNameKnown:
		g.baseViews = append(slices.Clone(g.baseViews), g.members)
	}
}

// departuresSince returns what the departures without hand-over after the view
// last leave in doubt. fixed is the latest date of a name that a process which
// had ended by a known time may have granted. open tells that v holds, or may
// have dropped, a departure whose process may go on for a while.
func departuresSince(v registrar.View, last uint64, margin time.Duration) (latestDate time.Time, hasUndated bool) {
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

// recordHandOver notes that the member has handed over everything. It reports whether
// the round is complete.
func (g *handOverState) recordHandOver(from string, until time.Time, pending bool) bool {
	delete(g.awaited, from)
	g.roundDoubt = laterTime(g.roundDoubt, until)
	g.hasUndatedDeparture = g.hasUndatedDeparture || pending
	return len(g.awaited) == 0
}

// completeRound ends a complete round at now. Every member that is not departed knows
// the view by now, so a departed one stops granting within the staleness bound
// from now.
func (g *handOverState) completeRound(now time.Time, staleness, margin time.Duration) {
	until := g.roundDoubt
	if g.hasUndatedDeparture {
		until = laterTime(until, now.Add(staleness+clocksPerCutOff*margin))
	}
	if !until.IsZero() {
		g.addDoubtRange(until)
	}
	g.hasUndatedDeparture = false
	g.roundDoubt = time.Time{}
}

// addDoubtRange covers all names that may have moved in the round. The two oldest
// doubtRanges become one when there are too many.
func (g *handOverState) addDoubtRange(until time.Time) {
	d := doubtRange{until: until}
	if !g.noNameKnown {
		d.baseViews = append(slices.Clone(g.baseViews), g.members)
	}
	g.doubtRanges = append(g.doubtRanges, d)
	if len(g.doubtRanges) <= maxDoubtRanges {
		return
	}
	if g.doubtRanges[0].until.After(g.doubtRanges[1].until) {
		g.doubtRanges[1].until = g.doubtRanges[0].until
	}
	g.doubtRanges[1].baseViews = nil
	g.doubtRanges = slices.Delete(g.doubtRanges, 0, 1)
}

// removeExpiredDoubts drops the doubts that only cover names dated before oldest.
func (g *handOverState) removeExpiredDoubts(oldest time.Time) {
	g.doubtRanges = slices.DeleteFunc(g.doubtRanges, func(d doubtRange) bool { return d.until.Before(oldest) })
}

// latestDoubt returns the latest date of any doubt, that of the round included, zero
// for none.
func (g *handOverState) latestDoubt() time.Time {
	latest := g.roundDoubt
	for _, d := range g.doubtRanges {
		latest = laterTime(latest, d.until)
	}
	return latest
}

// hasUndated reports whether the home knows all that was granted for the key by
// members that are still registered.
func (g *handOverState) knowsAllGrants(k nameKey) bool {
	if len(g.awaited) == 0 {
		return true
	}
	return !g.noNameKnown && g.isHomeOf(k) && g.wasHomeInAll(g.baseViews, k)
}

// mayBeGrantedByDeparted reports whether a departed member may have granted the key. Names
// without a date count as old.
func (g *handOverState) mayBeGrantedByDeparted(k nameKey, date time.Time, dated bool) bool {
	return slices.ContainsFunc(g.doubtRanges, func(d doubtRange) bool {
		if dated && date.After(d.until) {
			return false
		}
		return len(d.baseViews) == 0 || !g.wasHomeInAll(d.baseViews, k)
	})
}

// wasHomeInAll reports whether the key had its home here under all of the bases.
func (g *handOverState) wasHomeInAll(baseViews []rendezvous, k nameKey) bool {
	return !slices.ContainsFunc(baseViews, func(h rendezvous) bool { return h.homeOf(k) != g.self })
}

// isActive reports whether the member is active in the view.
func (g *handOverState) isActive(id string) bool { return slices.Contains(g.members.ids, id) }

// isHomeOf reports whether this member is the home of the key under the view.
func (g *handOverState) isHomeOf(k nameKey) bool {
	return g.self != "" && g.members.homeOf(k) == g.self
}
