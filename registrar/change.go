package registrar

import (
	"slices"
	"time"
)

// nextView returns a copy of v with the next number and without the departures
// that are older than maxDepartureAge.
func (v View) nextView(now time.Time) View {
	departed := slices.Clone(v.Departed)
	departed = slices.DeleteFunc(departed, func(d Departure) bool {
		return now.Sub(d.Since) > maxDepartureAge
	})
	return View{
		Number:   v.Number + 1,
		Members:  slices.Clone(v.Members),
		Previous: v.Active(),
		Departed: departed,
	}
}

// withMember returns v with m added and with other members of m's instance
// removed as superseded. It returns false when the process of m is already
// registered.
func (v View) withMember(m Member, now time.Time) (View, bool) {
	for _, have := range v.Members {
		if have.Nonce == m.Nonce {
			return v, false
		}
	}
	next := v.nextView(now)
	m.Joined = next.Number
	m.State = Active
	for _, have := range v.Members {
		if have.Instance == m.Instance {
			next.moveToDeparted(Departure{ID: have.ID, Since: now, Reason: Superseded, By: m.ID})
		}
	}
	next.Members = append(next.Members, m)
	return next, true
}

// withMemberLeaving returns v with the member in state Leaving. It returns
// false when the member is not registered or is already leaving.
func (v View) withMemberLeaving(id string, now time.Time) (View, bool) {
	m, ok := v.Member(id)
	if !ok || m.State == Leaving {
		return v, false
	}
	next := v.nextView(now)
	for i := range next.Members {
		if next.Members[i].ID == id {
			next.Members[i].State = Leaving
		}
	}
	return next, true
}

// withoutMembers returns v without the members that the departures name. It
// returns false when none of them is registered.
func (v View) withoutMembers(departures []Departure, now time.Time) (View, bool) {
	next := v.nextView(now)
	for _, d := range departures {
		d.Since = now
		next.moveToDeparted(d)
	}
	return next, len(next.Members) < len(v.Members)
}

// moveToDeparted moves a member from Members to Departed. Departed keeps at most
// maxDepartures entries, the newest ones.
func (v *View) moveToDeparted(d Departure) {
	kept := slices.DeleteFunc(v.Members, func(m Member) bool { return m.ID == d.ID })
	if len(kept) == len(v.Members) {
		return
	}
	v.Members = kept
	d.Since = d.Since.UTC().Round(0)
	d.Absent = d.Absent.UTC().Round(0)
	d.View = v.Number
	v.Departed = append(v.Departed, d)
	if n := len(v.Departed); n > maxDepartures {
		v.Departed = slices.Delete(v.Departed, 0, n-maxDepartures)
	}
}
