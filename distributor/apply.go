package distributor

import (
	"bytes"
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/classifier"
	"github.com/coltsfootlever/coltsfootlever/keeper"
	"github.com/coltsfootlever/coltsfootlever/parser"
)

const readBackDelay = 100 * time.Millisecond // pause before a write of unknown outcome is checked or repeated

type (
	// Applied is the result of a change that was accepted.
	Applied struct {
		Number      uint64              `json:"number"`
		Unchanged   bool                `json:"unchanged,omitempty"` // the rules were in force already; nothing was written
		Differences []parser.Difference `json:"differences,omitempty"`
		Confirmed   []string            `json:"confirmed,omitempty"` // members that have the rules in force
		Missing     []string            `json:"missing,omitempty"`   // registered members that have not confirmed the rules
	}

	// ConflictError refuses a change that was based on other rules than those
	// in force. Nothing was written.
	ConflictError struct {
		Base     uint64    `json:"base"`     // number of the rules that the change was based on
		Number   uint64    `json:"number"`   // number of the rules in force
		Changes  []Summary `json:"changes"`  // committed since the base, oldest first
		Complete bool      `json:"complete"` // Changes contains every change since Base
	}

	// Summary describes a committed change.
	Summary struct {
		Number      uint64              `json:"number"`
		Who         string              `json:"who"`
		When        time.Time           `json:"when"`
		Differences []parser.Difference `json:"differences"`
	}
)

// Error implements error.
func (e *ConflictError) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "the rules are at number %d, not %d; changed since:", e.Number, e.Base)
	if !e.Complete {
		b.WriteString("\n  (older changes are no longer kept)")
	}
	for _, c := range e.Changes {
		for _, diff := range c.Differences {
			fmt.Fprintf(&b, "\n  %d by %s: %s %s %s", c.Number, c.Who, diff.Action, diff.Kind, diff.Name)
		}
	}
	fmt.Fprintf(&b, "\nnothing was changed: bring these changes into your set and apply it with base %d", e.Number)
	return b.String()
}

// Apply makes text the rules in force in every entry. base is the number of the
// rules that the text was made from; when other rules are in force by now,
// Apply fails with *ConflictError and writes nothing. Faults of the text are
// returned as parser.Errors. A *classifier.Error with verdict NotRun means that
// nothing was written; any other verdict means that the change may have been
// accepted.
//
// After the change is committed, Apply waits until all registered members have
// it in force, at most for the confirmation timeout, and returns the members
// that have not confirmed it as Missing.
func (d *Distributor) Apply(ctx context.Context, base uint64, text []byte, who string) (Applied, error) {
	next, err := parser.Parse("rules", bytes.NewReader(text))
	if err != nil {
		return Applied{}, errors.Trace(err)
	}
	if err := d.checkAndRefreshRules(ctx); err != nil {
		return Applied{}, errors.Trace(err)
	}
	return d.changeRules(ctx, d.Rules(), base, next, who)
}

// checkAndRefreshRules checks that this entry accepts changes, and reads the
// latest rules.
func (d *Distributor) checkAndRefreshRules(ctx context.Context) error {
	if err := d.applyCheck(); err != nil {
		return withVerdictNotRun(err)
	}
	if err := d.Refresh(ctx); err != nil {
		return classifier.Refuse(classifier.StoreDown, "nothing was changed: %v", err)
	}
	return nil
}

// changeRules commits the change from the rules cur to next if cur has the
// number base.
func (d *Distributor) changeRules(ctx context.Context, cur *parser.Rules, base uint64, next *parser.Rules, who string) (Applied, error) {
	if rulesNumberOf(cur) != base {
		return Applied{}, errors.Trace(d.conflictErrorSince(base))
	}
	applied := Applied{Number: base, Differences: parser.Diff(cur, next)}
	if len(applied.Differences) == 0 {
		applied.Unchanged = true
		applied.Confirmed, applied.Missing = d.awaitConfirmations(ctx, base)
		return applied, nil
	}
	applied.Number = base + 1
	change, value, err := encodeChange(cur, applied, who)
	if err != nil {
		return Applied{}, errors.Trace(err)
	}
	if err := d.commitChange(ctx, change, value); err != nil {
		return Applied{}, errors.Trace(err)
	}
	d.onCommit(summaryOf(change))
	if change.Number%snapshotInterval == 0 {
		wakeLoop(d.compactWanted)
	}
	applied.Confirmed, applied.Missing = d.awaitConfirmations(ctx, change.Number)
	return applied, nil
}

// withVerdictNotRun gives the verdict NotRun to an error that occurred before
// any write. An error with a verdict of its own and faults of the text are
// returned as they are.
func withVerdictNotRun(err error) error {
	var faults parser.Errors
	var verdict *classifier.Error
	if err == nil || errors.As(err, &faults) || errors.As(err, &verdict) {
		return errors.Trace(err)
	}
	return classifier.Refuse(classifier.BadRequest, "nothing was changed: %v", err)
}

// rulesNumberOf returns the number of the rules, 0 without rules.
func rulesNumberOf(rules *parser.Rules) uint64 {
	if rules == nil {
		return 0
	}
	return rules.Number
}

// encodeChange creates the change and checks that it leads to the wanted rules,
// and that the key-value service can hold the change and a snapshot of the
// rules.
func encodeChange(cur *parser.Rules, applied Applied, who string) (Change, []byte, error) {
	change := Change{
		Number:      applied.Number,
		Op:          uuid.NewString(),
		Who:         who,
		When:        time.Now().UTC(),
		Differences: applied.Differences,
	}
	next, err := parser.Patch(cur, change.Differences)
	if err != nil {
		return Change{}, nil, withVerdictNotRun(err)
	}
	change.Digest = rulesDigest(next)
	if _, err := keeper.Encode(change.Op, snapshotOf(next)); err != nil {
		return Change{}, nil, classifier.Refuse(classifier.BadRequest, "the rules are too large for the key-value service: %v", err)
	}
	value, err := keeper.Encode(change.Op, change)
	if err != nil {
		return Change{}, nil, classifier.Refuse(classifier.BadRequest, "the change is too large for the key-value service: %v", err)
	}
	return change, value, nil
}

// commitChange creates the record of a change. When the answer is lost, it
// creates the record again; on a conflict it reads the record back and compares
// the identity of the write. Creating the record again is safe: it carries the
// same identity, and only one record can have the number.
func (d *Distributor) commitChange(ctx context.Context, change Change, value []byte) error {
	key := changeKey(change.Number)
	mayBeWritten := false
	for {
		record, err := d.store.Swap(ctx, key, value, 0, 0)
		switch {
		case err == nil:
			return d.adoptCommitted(ctx, change, record)
		case errors.Is(err, keeper.ErrConflict):
			return d.readBackChange(ctx, change, mayBeWritten)
		case !errors.Is(err, keeper.ErrUnavailable):
			mayBeWritten = true
		case !mayBeWritten:
			return classifier.Refuse(classifier.StoreDown, "nothing was changed: %v", err)
		}
		d.log.Warn("write of a rules change was not answered; checking whether it was committed", "number", change.Number, "err", err)
		if !sleep(ctx, readBackDelay) {
			return unknownOutcomeError(change, err)
		}
	}
}

// unknownOutcomeError returns the error for a change whose write was not
// answered.
func unknownOutcomeError(change Change, err error) error {
	return classifier.Uncertain(classifier.StoreDown,
		"change %d may have been accepted: run rules show before another attempt: %v", change.Number, err)
}

// readBackChange reads the record with the change's number to find out which
// write created it. mayBeWritten is set when a write of this change was not
// answered.
func (d *Distributor) readBackChange(ctx context.Context, change Change, mayBeWritten bool) error {
	for {
		record, err := d.store.Get(ctx, changeKey(change.Number))
		if err == nil && record.Revision != 0 {
			return d.resolveConflict(ctx, change, record)
		}
		if err == nil || !sleep(ctx, readBackDelay) {
			return d.unreadRecordError(change, mayBeWritten, err)
		}
	}
}

// unreadRecordError returns the error for a change that lost a conflict against
// a record that cannot be read. Unless a write of this change was not answered,
// the record belongs to another operator's change.
func (d *Distributor) unreadRecordError(change Change, mayBeWritten bool, err error) error {
	if mayBeWritten {
		return unknownOutcomeError(change, err)
	}
	return errors.Trace(d.conflictErrorSince(change.Number - 1))
}

// resolveConflict adopts the change if the record found is its own, and
// otherwise returns a conflict with the change that was committed first.
func (d *Distributor) resolveConflict(ctx context.Context, change Change, record keeper.Record) error {
	found, err := DecodeChange(record.Value)
	if err == nil && found.Op == change.Op {
		return d.adoptCommitted(ctx, change, record)
	}
	if err := d.Refresh(ctx); err != nil {
		d.log.Warn("reading the rules after a conflict failed; the conflict may lack the latest changes", "err", err)
	}
	return errors.Trace(d.conflictErrorSince(change.Number - 1))
}

// adoptCommitted puts a committed change in force here. A process that was
// paused for long may have created a record with a number that other entries
// had used and compacted in the meantime. A snapshot that is older than the
// record then has this number or a higher one; the record is deleted again and
// the change fails with a conflict.
func (d *Distributor) adoptCommitted(ctx context.Context, change Change, record keeper.Record) error {
	snapshot, err := d.store.Get(ctx, keeper.SnapshotKey)
	if err != nil {
		d.log.Warn("reading the rules snapshot after a change failed; skipping the check for a compacted number", "err", err)
	}
	if err == nil && d.isAlreadyCompacted(change, record, snapshot) {
		if err := d.store.Delete(ctx, record.Key, record.Revision); err != nil {
			d.log.Error("deleting a rules change whose number was compacted already failed", "number", change.Number, "err", err)
		}
		return errors.Trace(d.conflictErrorSince(change.Number - 1))
	}
	if err := d.adoptChange(record.Value); err != nil {
		return errors.Trace(err)
	}
	op := d.writeIDOf(change.Number)
	d.assert(op == "" || op == change.Op, "rules change %d was committed twice", change.Number)
	return nil
}

// isAlreadyCompacted reports whether the snapshot was written before the record
// and covers its number.
func (d *Distributor) isAlreadyCompacted(change Change, record, snapshot keeper.Record) bool {
	if snapshot.Revision == 0 || snapshot.Revision > record.Revision {
		return false
	}
	s, err := decodeSnapshot(snapshot.Value)
	return err == nil && s.Number >= change.Number
}

// conflictErrorSince returns the error that describes what was committed since
// base.
func (d *Distributor) conflictErrorSince(base uint64) *ConflictError {
	changes, complete := d.changesSince(base)
	e := &ConflictError{Base: base, Number: d.RulesNumber(), Complete: complete}
	for _, h := range changes {
		e.Changes = append(e.Changes, summaryOf(h.change))
	}
	return e
}

// summaryOf returns the change without its identity and digest.
func summaryOf(c Change) Summary {
	return Summary{Number: c.Number, Who: c.Who, When: c.When, Differences: c.Differences}
}
