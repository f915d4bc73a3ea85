package claimer

import (
	"slices"
	"time"

	"github.com/coltsfootlever/coltsfootlever/registrar"
)

const (
	maxBases    = 8  // earlier views kept to tell which names never moved
	maxDoubts   = 64 // doubts kept apart
	maxSkipped  = 64 // views that may be skipped with all departures in sight
	clockChecks = 2  // margins in a cut-off date: the caller's clock and the home's
)

type (
	// gate tells which names a home may answer for after a change of view. It
	// is pure: the caller passes the time and guards it by a mutex.
	//
	// Each adoption of a view starts a round, in which every other registered
	// member hands over what it holds for this home. Until the round is
	// complete, only names are open that were this home's under all views
	// since the last complete round, without a skipped one.
	gate struct {
		self    string
		number  uint64          // view adopted
		homes   homes           // active members of the view
		bases   []homes         // homes of the views since the last complete round
		closed  bool            // no name is open before the round is complete
		waiting map[string]bool // members that have not handed over yet
		pending bool            // a departure whose cut-off date is not fixed
		doubt   time.Time       // latest date that a sender of this round doubts
		doubts  []doubt
	}

	// doubt covers the names that a departed member may have granted.
	doubt struct {
		until time.Time // latest date of such a name
		bases []homes   // names that had their home here under all of these are not covered
	}
)

// adopt starts the round of the view v. Joined is the number of the view that
// added this member. A new member learns of departures before it joined from
// the members that saw them, and doubts all earlier names when there is none.
func (g *gate) adopt(v registrar.View, joined uint64, margin time.Duration) {
	last := g.number
	first := last == 0
	if first {
		last = joined - 1
	}
	complete := !first && len(g.waiting) == 0
	g.moveBases(complete, first || v.Number != last+1)
	if !complete && !g.doubt.IsZero() {
		g.addDoubt(g.doubt)
	}
	fixed, open := departedSince(v, last, margin)
	g.doubt = fixed
	alone := first && len(v.Members) <= 1
	g.pending = g.pending && !complete || open || alone && v.Number > 1
	g.number = v.Number
	g.homes = newHomes(v.Active())
	g.waiting = make(map[string]bool)
	for _, m := range v.Others(g.self) {
		g.waiting[m.ID] = true
	}
}

// moveBases updates which names stay open during the next round.
func (g *gate) moveBases(complete, skipped bool) {
	switch {
	case skipped:
		g.closed, g.bases = true, nil
	case complete:
		g.closed, g.bases = false, []homes{g.homes}
	case len(g.bases) == maxBases:
		g.closed, g.bases = true, nil
	case !g.closed:
		g.bases = append(slices.Clone(g.bases), g.homes)
	}
}

// departedSince returns what the departures without hand-over after the view
// last leave in doubt. fixed is the latest date of a name that a process which
// had ended by a known time may have granted. open tells that v holds, or may
// have dropped, a departure whose process may go on for a while.
func departedSince(v registrar.View, last uint64, margin time.Duration) (fixed time.Time, open bool) {
	open = v.Number > last+maxSkipped
	for _, d := range v.Departed {
		switch {
		case d.View <= last || d.Reason == registrar.Left:
		case d.Absent.IsZero():
			open = true
		default:
			fixed = later(fixed, d.Absent.Add(clockChecks*margin))
		}
	}
	return fixed, open
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// hand notes that the member has handed over everything. It reports whether
// the round is complete.
func (g *gate) hand(from string, until time.Time, pending bool) bool {
	delete(g.waiting, from)
	g.doubt = later(g.doubt, until)
	g.pending = g.pending || pending
	return len(g.waiting) == 0
}

// finish ends a complete round at now. Every member that is not departed knows
// the view by now, so a departed one stops granting within the staleness bound
// from now.
func (g *gate) finish(now time.Time, staleness, margin time.Duration) {
	until := g.doubt
	if g.pending {
		until = later(until, now.Add(staleness+clockChecks*margin))
	}
	if !until.IsZero() {
		g.addDoubt(until)
	}
	g.pending = false
	g.doubt = time.Time{}
}

// addDoubt covers all names that may have moved in the round. The two oldest
// doubts become one when there are too many.
func (g *gate) addDoubt(until time.Time) {
	d := doubt{until: until}
	if !g.closed {
		d.bases = append(slices.Clone(g.bases), g.homes)
	}
	g.doubts = append(g.doubts, d)
	if len(g.doubts) <= maxDoubts {
		return
	}
	if g.doubts[0].until.After(g.doubts[1].until) {
		g.doubts[1].until = g.doubts[0].until
	}
	g.doubts[1].bases = nil
	g.doubts = slices.Delete(g.doubts, 0, 1)
}

// expire drops the doubts that only cover names dated before oldest.
func (g *gate) expire(oldest time.Time) {
	g.doubts = slices.DeleteFunc(g.doubts, func(d doubt) bool { return d.until.Before(oldest) })
}

// latest returns the latest date of any doubt, that of the round included, zero
// for none.
func (g *gate) latest() time.Time {
	latest := g.doubt
	for _, d := range g.doubts {
		latest = later(latest, d.until)
	}
	return latest
}

// open reports whether the home knows all that was granted for the key by
// members that are still registered.
func (g *gate) open(k key) bool {
	if len(g.waiting) == 0 {
		return true
	}
	return !g.closed && g.owns(k) && g.always(g.bases, k)
}

// doubtful reports whether a departed member may have granted the key. Names
// without a date count as old.
func (g *gate) doubtful(k key, date time.Time, dated bool) bool {
	return slices.ContainsFunc(g.doubts, func(d doubt) bool {
		if dated && date.After(d.until) {
			return false
		}
		return len(d.bases) == 0 || !g.always(d.bases, k)
	})
}

// always reports whether the key had its home here under all of the bases.
func (g *gate) always(bases []homes, k key) bool {
	return !slices.ContainsFunc(bases, func(h homes) bool { return h.of(k) != g.self })
}

// isHome reports whether the member is active in the view.
func (g *gate) isHome(id string) bool { return slices.Contains(g.homes.ids, id) }

// owns reports whether this member is the home of the key under the view.
func (g *gate) owns(k key) bool { return g.self != "" && g.homes.of(k) == g.self }
