package distributor

import (
	"context"
	"maps"
	"slices"

	"github.com/coltsfootlever/coltsfootlever/registrar"
)

// RecordMemberRules records the number of the rules in force in a member, as
// its heartbeat reported. A number higher than this entry's own makes the entry
// catch up.
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
		wakeLoop(d.catchUpWanted)
	}
}

// forgetDepartedMembers deletes the numbers of members that are no longer
// registered. The caller holds mu.
func (d *Distributor) forgetDepartedMembers(members []registrar.Member) {
	for id := range d.memberNumbers {
		registered := slices.ContainsFunc(members, func(m registrar.Member) bool { return m.ID == id })
		if !registered {
			delete(d.memberNumbers, id)
		}
	}
}

// awaitConfirmations waits until every other registered member has the rules
// with the number in force, at most for the confirmation timeout. It returns
// the members that have them, this entry included, and those that have not
// confirmed them.
func (d *Distributor) awaitConfirmations(ctx context.Context, number uint64) (confirmed, missing []string) {
	ctx, cancel := context.WithTimeout(ctx, d.confirmTimeout)
	defer cancel()
	for {
		var progress <-chan struct{}
		confirmed, missing, progress = d.listConfirmations(number)
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

// listConfirmations returns the members that have confirmed the number, those
// that have not, and a channel that is closed when a member reports a higher
// number.
func (d *Distributor) listConfirmations(number uint64) (confirmed, missing []string, progress <-chan struct{}) {
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

// MemberRulesNumbers returns the number of the rules in force in each member,
// as last reported.
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
