package granter

import (
	"slices"
	"strings"
)

type (
	// Account is the ledger record of one team.
	Account struct {
		Team    string  `json:"team"`
		Rules   uint64  `json:"rules"`    // number of the rules in which Limit last changed
		Limit   int     `json:"limit"`    // limit the coordinator works towards
		InForce int     `json:"in-force"` // limit that holds now; above Limit while slots are taken back
		Grants  []Grant `json:"grants"`   // by member, sorted
	}

	// Grant is the slots that one member may run for the team.
	Grant struct {
		Member string `json:"member"` // identity of the holder
		View   uint64 `json:"view"`   // number of the view with the holder in which the grant was made
		Held   int    `json:"held"`   // changed by the holder alone, or on evidence
		Target int    `json:"target"` // changed by the coordinator alone
	}
)

// Held returns the slots held by all members together.
func (a Account) Held() int {
	sum := 0
	for _, g := range a.Grants {
		sum += g.Held
	}
	return sum
}

// Grant returns the member's grant. ok is false when it has none.
func (a Account) Grant(member string) (g Grant, ok bool) {
	i, ok := a.findGrant(member)
	if !ok {
		return Grant{}, false
	}
	return a.Grants[i], true
}

func (a Account) findGrant(member string) (int, bool) {
	return slices.BinarySearchFunc(a.Grants, member, func(g Grant, id string) int {
		return strings.Compare(g.Member, id)
	})
}

// availableSlots returns the slots that holders may still add. It is 0 while slots are
// taken back.
func (a Account) availableSlots() int {
	return max(0, a.Limit-a.Held())
}

// withUpdatedInForce lets InForce follow the limit as far as the slots held permit.
func (a Account) withUpdatedInForce() Account {
	a.InForce = max(a.Limit, a.Held())
	return a
}

func (a Account) clone() Account {
	a.Grants = slices.Clone(a.Grants)
	return a
}

func (a Account) equal(b Account) bool {
	sameFields := a.Team == b.Team && a.Rules == b.Rules && a.Limit == b.Limit && a.InForce == b.InForce
	return sameFields && slices.Equal(a.Grants, b.Grants)
}
