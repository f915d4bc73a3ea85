package distributor

import (
	"sort"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/messenger"
	"github.com/coltsfootlever/coltsfootlever/parser"
)

// adopt puts a change in force if it is the next one. A change that is in
// force already is only remembered; one that skips a number wakes the healing
// loop.
func (d *Distributor) adopt(value []byte) error {
	change, err := DecodeChange(value)
	if err != nil {
		return errors.Trace(err)
	}
	d.adopting.Lock()
	defer d.adopting.Unlock()
	number := d.Number()
	d.saw(change.Number)
	switch {
	case change.Number <= number:
		d.remember(held{change, value})
		return nil
	case change.Number > number+1:
		wake(d.behind)
		return nil
	}
	rules, err := change.next(d.rules.Load())
	if err != nil {
		d.assert(false, "adopting a change: %v", err)
		return errors.Trace(err)
	}
	d.remember(held{change, value})
	d.force(rules)
	d.log.Info("rules changed", "number", change.Number, "who", change.Who, "differences", len(change.Differences))
	return nil
}

// adoptSnapshot puts a whole set in force if it is newer.
func (d *Distributor) adoptSnapshot(value []byte) error {
	snapshot, err := decodeSnapshot(value)
	if err != nil {
		return errors.Trace(err)
	}
	d.adopting.Lock()
	defer d.adopting.Unlock()
	if snapshot.Number <= d.Number() {
		return nil
	}
	rules, err := snapshot.Rules()
	if err != nil {
		d.assert(false, "adopting a snapshot: %v", err)
		return errors.Trace(err)
	}
	d.saw(snapshot.Number)
	d.force(rules)
	d.log.Info("rules loaded", "number", snapshot.Number)
	return nil
}

// force makes a newer set the one in force and tells the subscribers. The
// number follows when they have returned, so that a confirmed number means
// that the set is in force in every part of the entry.
func (d *Distributor) force(rules *parser.Rules) {
	number := d.Number()
	d.assert(rules.Number > number, "rules go back from number %d to %d", number, rules.Number)
	d.rules.Store(rules)
	for _, fn := range d.subs {
		fn(rules)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.number = rules.Number
	d.known = true
}

// saw records that a change exists.
func (d *Distributor) saw(number uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.seen = max(d.seen, number)
}

// remember keeps a committed change for peers and for conflicts.
func (d *Distributor) remember(h held) {
	d.mu.Lock()
	defer d.mu.Unlock()
	number := h.change.Number
	if was, ok := d.history[number]; ok {
		d.assert(was.change.Op == h.change.Op, "two changes have number %d", number)
		return
	}
	d.history[number] = h
	d.bytes += len(h.value)
	d.forget()
}

// forget drops the oldest changes beyond the bounds of the history.
func (d *Distributor) forget() {
	numbers := make([]uint64, 0, len(d.history))
	for number := range d.history {
		numbers = append(numbers, number)
	}
	sort.Slice(numbers, func(i, j int) bool { return numbers[i] < numbers[j] })
	for len(numbers) > 1 && (len(numbers) > keepChanges || d.bytes > historyBytes) {
		d.bytes -= len(d.history[numbers[0]].value)
		delete(d.history, numbers[0])
		numbers = numbers[1:]
	}
}

func (d *Distributor) remembers(number uint64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, ok := d.history[number]
	return ok
}

// op returns the operation that committed a change still remembered.
func (d *Distributor) op(number uint64) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.history[number].change.Op
}

// since returns the remembered changes after base in order, and whether none
// is missing.
func (d *Distributor) since(base uint64) ([]held, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var all []held
	for number := d.number; number > base; number-- {
		h, ok := d.history[number]
		if !ok {
			break
		}
		all = append(all, h)
	}
	for i, j := 0, len(all)-1; i < j; i, j = i+1, j-1 {
		all[i], all[j] = all[j], all[i]
	}
	return all, base >= d.number || uint64(len(all)) == d.number-base
}

// absorb adopts what a peer answered.
func (d *Distributor) absorb(reply messenger.ChangesReply) error {
	if len(reply.Snapshot) > 0 {
		if err := d.adoptSnapshot(reply.Snapshot); err != nil {
			return errors.Trace(err)
		}
	}
	for _, value := range reply.Changes {
		if err := d.adopt(value); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}
