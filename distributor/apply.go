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

const readBackDelay = 100 * time.Millisecond

type (
	// Applied is the outcome of a change that was accepted.
	Applied struct {
		Number      uint64              `json:"number"`
		Unchanged   bool                `json:"unchanged,omitempty"` // the set was in force already; nothing was written
		Differences []parser.Difference `json:"differences,omitempty"`
		Confirmed   []string            `json:"confirmed,omitempty"` // members that have it in force
		Missing     []string            `json:"missing,omitempty"`   // registered members that have not said so
	}

	// ConflictError refuses a change whose base is not the set in force.
	// Nothing was written.
	ConflictError struct {
		Base     uint64    `json:"base"`
		Number   uint64    `json:"number"`   // of the set in force
		Changes  []Summary `json:"changes"`  // committed since the base, oldest first
		Complete bool      `json:"complete"` // the list goes back to the base
	}

	// Summary tells of a committed change.
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

// Apply makes text the rules in force everywhere. base is the number of the
// set that the text was made from; when another set is in force by now, Apply
// fails with *ConflictError and writes nothing. Faults of the text come back
// as parser.Errors. A *classifier.Error with NotRun means that nothing was
// written; any other verdict means that the change may have been accepted.
//
// After the change is committed, Apply waits until all registered members have
// it in force and names those that have not said so within the time.
func (d *Distributor) Apply(ctx context.Context, base uint64, text []byte, who string) (Applied, error) {
	next, err := parser.Parse("rules", bytes.NewReader(text))
	if err != nil {
		return Applied{}, errors.Trace(err)
	}
	if err := d.prepare(ctx); err != nil {
		return Applied{}, errors.Trace(err)
	}
	return d.applyTo(ctx, d.Rules(), base, next, who)
}

// prepare checks that changes are accepted here and reads the latest rules.
func (d *Distributor) prepare(ctx context.Context) error {
	if err := d.accepting(); err != nil {
		return unwritten(err)
	}
	if err := d.Refresh(ctx); err != nil {
		return classifier.Refuse(classifier.StoreDown, "nothing was changed: %v", err)
	}
	return nil
}

// applyTo commits the step from cur to next if cur has number base.
func (d *Distributor) applyTo(ctx context.Context, cur *parser.Rules, base uint64, next *parser.Rules, who string) (Applied, error) {
	if numberOf(cur) != base {
		return Applied{}, errors.Trace(d.conflict(base))
	}
	applied := Applied{Number: base, Differences: parser.Diff(cur, next)}
	if len(applied.Differences) == 0 {
		applied.Unchanged = true
		applied.Confirmed, applied.Missing = d.confirm(ctx, base)
		return applied, nil
	}
	applied.Number = base + 1
	change, value, err := encodeChange(cur, applied, who)
	if err != nil {
		return Applied{}, errors.Trace(err)
	}
	if err := d.commit(ctx, change, value); err != nil {
		return Applied{}, errors.Trace(err)
	}
	d.record(summaryOf(change))
	if change.Number%compactEvery == 0 {
		wake(d.compact)
	}
	applied.Confirmed, applied.Missing = d.confirm(ctx, change.Number)
	return applied, nil
}

// unwritten gives an error that came before any write the verdict NotRun. An
// error that says so itself is returned as it is.
func unwritten(err error) error {
	var faults parser.Errors
	var verdict *classifier.Error
	if err == nil || errors.As(err, &faults) || errors.As(err, &verdict) {
		return errors.Trace(err)
	}
	return classifier.Refuse(classifier.BadRequest, "nothing was changed: %v", err)
}

func numberOf(rules *parser.Rules) uint64 {
	if rules == nil {
		return 0
	}
	return rules.Number
}

// encodeChange makes the change, checks that it leads to the wanted set and
// that the service can hold it and a snapshot of the set.
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
		return Change{}, nil, unwritten(err)
	}
	change.Digest = digest(next)
	if _, err := keeper.Encode(change.Op, snapshotOf(next)); err != nil {
		return Change{}, nil, classifier.Refuse(classifier.BadRequest, "the rules are too large for the key-value service: %v", err)
	}
	value, err := keeper.Encode(change.Op, change)
	if err != nil {
		return Change{}, nil, classifier.Refuse(classifier.BadRequest, "the change is too large for the key-value service: %v", err)
	}
	return change, value, nil
}

// commit creates the record of a change. When the answer is lost it reads the
// record back and compares the operation. Creating it once more is safe: it
// carries the same operation, and only one record can have the number.
func (d *Distributor) commit(ctx context.Context, change Change, value []byte) error {
	key := changeKey(change.Number)
	doubt := false
	for {
		record, err := d.store.Swap(ctx, key, value, 0, 0)
		switch {
		case err == nil:
			return d.committed(ctx, change, record)
		case errors.Is(err, keeper.ErrConflict):
			return d.readBack(ctx, change, doubt)
		case !errors.Is(err, keeper.ErrUnavailable):
			doubt = true
		case !doubt:
			return classifier.Refuse(classifier.StoreDown, "nothing was changed: %v", err)
		}
		d.log.Warn("outcome of a rules change unknown", "number", change.Number, "err", err)
		if !sleep(ctx, readBackDelay) {
			return inDoubt(change, err)
		}
	}
}

func inDoubt(change Change, err error) error {
	return classifier.Uncertain(classifier.StoreDown,
		"change %d may have been accepted: run rules show before another attempt: %v", change.Number, err)
}

// readBack finds out whose change has the number.
func (d *Distributor) readBack(ctx context.Context, change Change, doubt bool) error {
	for {
		record, err := d.store.Get(ctx, changeKey(change.Number))
		if err == nil && record.Revision != 0 {
			return d.settle(ctx, change, record)
		}
		if err == nil || !sleep(ctx, readBackDelay) {
			return d.unread(change, doubt, err)
		}
	}
}

// unread is the outcome when the winning change cannot be read. Without an
// unanswered write it is another operator's.
func (d *Distributor) unread(change Change, doubt bool, err error) error {
	if doubt {
		return inDoubt(change, err)
	}
	return errors.Trace(d.conflict(change.Number - 1))
}

func (d *Distributor) settle(ctx context.Context, change Change, record keeper.Record) error {
	found, err := DecodeChange(record.Value)
	if err == nil && found.Op == change.Op {
		return d.committed(ctx, change, record)
	}
	if err := d.Refresh(ctx); err != nil {
		d.log.Warn("reading the winning change", "err", err)
	}
	return errors.Trace(d.conflict(change.Number - 1))
}

// committed puts the change in force here. A process that was paused for long
// may have created a number that was used and compacted in the meantime; a
// snapshot older than the record then has a higher number, and the record is
// deleted again.
func (d *Distributor) committed(ctx context.Context, change Change, record keeper.Record) error {
	snapshot, err := d.store.Get(ctx, keeper.SnapshotKey)
	if err != nil {
		d.log.Warn("reading the snapshot after a change", "err", err)
	}
	if err == nil && d.isStray(change, record, snapshot) {
		if err := d.store.Delete(ctx, record.Key, record.Revision); err != nil {
			d.log.Error("deleting a stray change", "number", change.Number, "err", err)
		}
		return errors.Trace(d.conflict(change.Number - 1))
	}
	if err := d.adopt(record.Value); err != nil {
		return errors.Trace(err)
	}
	op := d.op(change.Number)
	d.assert(op == "" || op == change.Op, "change %d was committed twice", change.Number)
	return nil
}

func (d *Distributor) isStray(change Change, record, snapshot keeper.Record) bool {
	if snapshot.Revision == 0 || snapshot.Revision > record.Revision {
		return false
	}
	s, err := decodeSnapshot(snapshot.Value)
	return err == nil && s.Number >= change.Number
}

// conflict describes what was committed since base.
func (d *Distributor) conflict(base uint64) *ConflictError {
	changes, complete := d.since(base)
	e := &ConflictError{Base: base, Number: d.Number(), Complete: complete}
	for _, h := range changes {
		e.Changes = append(e.Changes, summaryOf(h.change))
	}
	return e
}

func summaryOf(c Change) Summary {
	return Summary{Number: c.Number, Who: c.Who, When: c.When, Differences: c.Differences}
}
