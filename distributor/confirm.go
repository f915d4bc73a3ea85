package distributor

import (
	"context"
	"maps"
	"slices"

	"github.com/coltsfootlever/coltsfootlever/registrar"
)

// RecordMemberRules records the number of the rules in force in a member, as its heartbeat
// told. A number above this entry's own makes it catch up.
func (d *Distributor) RecordMemberRules(member string, rules uint64) {
	members := d.view().Members
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(members) > 0 {
		d.forgetDepartedMembers(members)
	}
	if rules > d.memberNumbers[member] {
		d.memberNumbers[member] = rules
		close(d.progress)
		d.progress = make(chan struct{})
	}
	if rules > d.number {
		wake(d.catchUpWanted)
	}
}

// forgetDepartedMembers forgets what was heard of members no longer registered.
func (d *Distributor) forgetDepartedMembers(members []registrar.Member) {
	for id := range d.memberNumbers {
		registered := slices.ContainsFunc(members, func(m registrar.Member) bool { return m.ID == id })
		if !registered {
			delete(d.memberNumbers, id)
		}
	}
}

// awaitConfirmations waits until every other registered member has the number in force,
// or for the confirmation time. It returns the members that have it, this
// entry included, and those that have not said so.
func (d *Distributor) awaitConfirmations(ctx context.Context, number uint64) (confirmed, missing []string) {
	ctx, cancel := context.WithTimeout(ctx, d.confirmTimeout)
	defer cancel()
	for {
		var progress <-chan struct{}
		confirmed, missing, progress = d.confirmations(number)
		if len(missing) == 0 {
			return confirmed, missing
		}
		select {
		case <-progress:
		case <-ctx.Done():
			return confirmed, missing
		}
	}
}

func (d *Distributor) confirmations(number uint64) (confirmed, missing []string, progress <-chan struct{}) {
	members, self := d.view().Members, d.self()
	d.mu.Lock()
	defer d.mu.Unlock()
	if self != "" {
		confirmed = append(confirmed, self)
	}
	for _, m := range members {
		switch {
		case m.ID == self:
		case d.memberNumbers[m.ID] >= number:
			confirmed = append(confirmed, m.ID)
		default:
			missing = append(missing, m.ID)
		}
	}
	return confirmed, missing, d.progress
}

// MemberRulesNumbers returns the number of the rules in force by member, as last heard.
func (d *Distributor) MemberRulesNumbers() map[string]uint64 {
	self := d.self()
	d.mu.Lock()
	defer d.mu.Unlock()
	numbers := maps.Clone(d.memberNumbers)
	if self != "" {
		numbers[self] = d.number
	}
	return numbers
}
