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
	w := v.nextView(now)
	m.Joined = w.Number
	m.State = Active
	for _, have := range v.Members {
		if have.Instance == m.Instance {
			w.dropMember(Departure{ID: have.ID, Since: now, Reason: Superseded, By: m.ID})
		}
	}
	w.Members = append(w.Members, m)
	return w, true
}

// markLeaving returns v with the member in state Leaving. It returns false when
// the member is not registered or is already leaving.
func (v View) markLeaving(id string, now time.Time) (View, bool) {
	m, ok := v.Member(id)
	if !ok || m.State == Leaving {
		return v, false
	}
	w := v.nextView(now)
	for i := range w.Members {
		if w.Members[i].ID == id {
			w.Members[i].State = Leaving
		}
	}
	return w, true
}

// withoutMembers returns v without the members that the departures name. It
// returns false when none of them is registered.
func (v View) withoutMembers(departures []Departure, now time.Time) (View, bool) {
	w := v.nextView(now)
	for _, d := range departures {
		d.Since = now
		w.dropMember(d)
	}
	return w, len(w.Members) < len(v.Members)
}

// dropMember moves a member from Members to Departed. Departed keeps at most
// maxDepartures entries, the newest ones.
func (v *View) dropMember(d Departure) {
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
