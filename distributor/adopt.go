package distributor

import (
	"sort"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/messenger"
	"github.com/coltsfootlever/coltsfootlever/parser"
)

// adoptChange puts a change in force if it follows directly on the rules in
// force. A change that is in force already is only added to the history; a
// change that skips a number wakes catchUpLoop.
func (d *Distributor) adoptChange(value []byte) error {
	change, err := DecodeChange(value)
	if err != nil {
		return errors.Trace(err)
	}
	d.adopting.Lock()
	defer d.adopting.Unlock()
	number := d.RulesNumber()
	d.recordHighestSeenChange(change.Number)
	switch {
	case change.Number <= number:
		d.addToHistory(encodedChange{change, value})
		return nil
	case change.Number > number+1:
		wakeLoop(d.catchUpWanted)
		return nil
	}
	rules, err := change.applyTo(d.rules.Load())
	if err != nil {
		d.assert(false, "adopting a rules change: %v", err)
		return errors.Trace(err)
	}
	d.addToHistory(encodedChange{change, value})
	d.activateRules(rules)
	d.log.Info("rules changed: next change put in force", "number", change.Number, "who", change.Who, "differences", len(change.Differences))
	return nil
}

// adoptSnapshot puts the rules of a snapshot in force if they are newer.
func (d *Distributor) adoptSnapshot(value []byte) error {
	snapshot, err := decodeSnapshot(value)
	if err != nil {
		return errors.Trace(err)
	}
	d.adopting.Lock()
	defer d.adopting.Unlock()
	if snapshot.Number <= d.RulesNumber() {
		return nil
	}
	rules, err := snapshot.Rules()
	if err != nil {
		d.assert(false, "adopting a rules snapshot: %v", err)
		return errors.Trace(err)
	}
	d.recordHighestSeenChange(snapshot.Number)
	d.activateRules(rules)
	d.log.Info("rules snapshot put in force", "number", snapshot.Number)
	return nil
}

// activateRules makes newer rules the ones in force and calls the subscribers.
// It raises the number only when the subscribers have returned, so that a
// confirmed number means that the rules are in force in every part of the
// entry.
func (d *Distributor) activateRules(rules *parser.Rules) {
	number := d.RulesNumber()
	d.assert(rules.Number > number, "rules went back from number %d to %d", number, rules.Number)
	d.rules.Store(rules)
	for _, fn := range d.subscribers {
		fn(rules)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.number = rules.Number
	d.hasRead = true
}

// recordHighestSeenChange records that a change with the number exists.
func (d *Distributor) recordHighestSeenChange(number uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.highestSeen = max(d.highestSeen, number)
}

// addToHistory keeps a committed change to answer peers and to describe
// conflicts.
func (d *Distributor) addToHistory(c encodedChange) {
	d.mu.Lock()
	defer d.mu.Unlock()
	number := c.change.Number
	if known, ok := d.history[number]; ok {
		d.assert(known.change.Op == c.change.Op, "two rules changes have number %d", number)
		return
	}
	d.history[number] = c
	d.historySize += len(c.value)
	d.trimHistory()
}

// trimHistory deletes the oldest changes beyond the limits of the history. The
// caller holds mu.
func (d *Distributor) trimHistory() {
	numbers := make([]uint64, 0, len(d.history))
	for number := range d.history {
		numbers = append(numbers, number)
	}
	sort.Slice(numbers, func(i, j int) bool { return numbers[i] < numbers[j] })
	for len(numbers) > 1 && (len(numbers) > keptChanges || d.historySize > maxHistoryBytes) {
		d.historySize -= len(d.history[numbers[0]].value)
		delete(d.history, numbers[0])
		numbers = numbers[1:]
	}
}

// isInHistory reports whether the history has the change with the number.
func (d *Distributor) isInHistory(number uint64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, ok := d.history[number]
	return ok
}

// writeIDOf returns the identity of the write that committed a change, or ""
// when the change is not in the history.
func (d *Distributor) writeIDOf(number uint64) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.history[number].change.Op
}

// changesSince returns the changes after base that the history has, in order,
// and whether none is missing.
func (d *Distributor) changesSince(base uint64) ([]encodedChange, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	var all []encodedChange
	for number := d.number; number > base; number-- {
		c, ok := d.history[number]
		if !ok {
			break
		}
		all = append(all, c)
	}
	for i, j := 0, len(all)-1; i < j; i, j = i+1, j-1 {
		all[i], all[j] = all[j], all[i]
	}
	return all, base >= d.number || uint64(len(all)) == d.number-base
}

// adoptPeerReply adopts the snapshot and the changes in a peer's reply.
func (d *Distributor) adoptPeerReply(reply messenger.ChangesReply) error {
	if len(reply.Snapshot) > 0 {
		if err := d.adoptSnapshot(reply.Snapshot); err != nil {
			return errors.Trace(err)
		}
	}
	for _, value := range reply.Changes {
		if err := d.adoptChange(value); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}
