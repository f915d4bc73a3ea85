package granter

import (
	"slices"
	"strings"
)

type (
	// Account is the ledger record of one team.
	Account struct {
		Team    string  `json:"team"`
		Rules   uint64  `json:"rules"`    // number of the rules version in which Limit last changed
		Limit   int     `json:"limit"`    // limit that the coordinator aims for
		InForce int     `json:"in-force"` // limit that applies now; above Limit until members have released the excess slots
		Grants  []Grant `json:"grants"`   // sorted by Member
	}

	// Grant is the number of slots that one member may use for the team.
	Grant struct {
		Member string `json:"member"` // ID of the member that holds the grant
		View   uint64 `json:"view"`   // number of the membership view in which the grant was created
		Held   int    `json:"held"`   // slots held now; changed by the member itself, or reclaimed once the member has stopped
		Target int    `json:"target"` // slots that the member should hold; changed by the coordinator only
	}
)

// Held returns the sum of the slots held by all members.
func (a Account) Held() int {
	sum := 0
	for _, g := range a.Grants {
		sum += g.Held
	}
	return sum
}

// Grant returns the member's grant. ok is false when the member has none.
func (a Account) Grant(member string) (g Grant, ok bool) {
	i, ok := a.findGrant(member)
	if !ok {
		return Grant{}, false
	}
	return a.Grants[i], true
}

// findGrant returns the index in Grants at which the member's grant is or would
// be inserted.
func (a Account) findGrant(member string) (int, bool) {
	return slices.BinarySearchFunc(a.Grants, member, func(g Grant, id string) int {
		return strings.Compare(g.Member, id)
	})
}

// availableSlots returns the number of slots by which members may still raise
// their grants. It is 0 while the members hold more than the limit.
func (a Account) availableSlots() int {
	return max(0, a.Limit-a.Held())
}

// withLimitInForceUpdated returns the account with InForce set to the limit, or
// to the slots held if these are more.
func (a Account) withLimitInForceUpdated() Account {
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
