package recorder

import (
	"context"
	"fmt"
	"log/slog"
	"slices"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/keeper"
)

const (
	// RingSlots is the number of records that the ring has in the key-value
	// service.
	RingSlots = 128
	// SlotDecisions is the number of decisions in one record. A decision has at
	// most about 5 KB, so that the ring stays below 128 x 32 x 5 KB = 20 MB and
	// a record below 160 KB; a usual decision has about 400 bytes.
	SlotDecisions = 32
	// pendingDecisions is the number of decisions that wait to be written.
	pendingDecisions = 256
	// flushEvery is the time in which decisions are gathered for one write.
	flushEvery = time.Second
	// retryEvery is the time after which a failed write is repeated.
	retryEvery = 5 * time.Second
)

type (
	// Store is the part of the key-value service that a Ring needs.
	Store interface {
		keeper.SwapStore
		List(ctx context.Context, prefix string) ([]keeper.Record, int64, error)
	}

	// Ring keeps the last decisions on the fleet in the key-value service, so
	// that they outlive the entry that took them. Every entry writes to it.
	Ring struct {
		store   Store
		log     *slog.Logger
		pending chan Decision
		dropped atomic.Uint64
		slot    uint64 // number of the slot last written, growing
	}

	// slotRecord is one record of the ring.
	slotRecord struct {
		Number    uint64     `json:"number"` // grows by RingSlots with each reuse
		Decisions []Decision `json:"decisions"`
	}
)

// NewRing returns a ring over the store.
func NewRing(store Store, log *slog.Logger) *Ring {
	return &Ring{store: store, log: log, pending: make(chan Decision, pendingDecisions)}
}

// Put hands a decision over for writing. When too many wait, it is dropped and
// counted.
func (r *Ring) Put(d Decision) {
	select {
	case r.pending <- d.bounded():
	default:
		r.dropped.Add(1)
	}
}

// Dropped returns the number of decisions that were not written since too many
// waited.
func (r *Ring) Dropped() uint64 {
	return r.dropped.Load()
}

// Run writes the decisions until ctx ends, and returns the error of ctx.
// Decisions that wait while the service is down are written after it.
func (r *Ring) Run(ctx context.Context) error {
	for {
		batch, err := r.gather(ctx)
		if err != nil {
			return err
		}
		for len(batch) > 0 {
			written, err := r.write(ctx, batch)
			if ctx.Err() != nil {
				return ctx.Err()
			}
			if err != nil {
				r.log.Warn("decisions not written", "count", len(batch), "err", err)
				wait(ctx, retryEvery)
				continue
			}
			batch = batch[written:]
		}
	}
}

// gather waits for a decision and for those that follow it closely.
func (r *Ring) gather(ctx context.Context) ([]Decision, error) {
	var batch []Decision
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case d := <-r.pending:
		batch = append(batch, d)
	}
	wait(ctx, flushEvery)
	for len(batch) < SlotDecisions {
		select {
		case d := <-r.pending:
			batch = append(batch, d)
		default:
			return batch, ctx.Err()
		}
	}
	return batch, ctx.Err()
}

// write appends decisions to the newest slot, or to the next one when that is
// full. It returns how many it wrote.
func (r *Ring) write(ctx context.Context, batch []Decision) (int, error) {
	if err := r.find(ctx); err != nil {
		return 0, errors.Trace(err)
	}
	for {
		number, written := r.slot, 0
		change := func(cur slotRecord, _ bool) (slotRecord, bool, error) {
			next, n := cur.with(number, batch)
			written = n
			return next, n > 0 && len(next.Decisions) > len(cur.in(number)), nil
		}
		stored, _, err := keeper.Update(ctx, r.store, slotKey(number), change)
		if err != nil {
			return 0, errors.Trace(err)
		}
		if written > 0 {
			return written, nil
		}
		r.slot = max(number+1, stored.Number)
	}
}

// find looks for the newest slot once.
func (r *Ring) find(ctx context.Context) error {
	if r.slot > 0 {
		return nil
	}
	slots, err := r.read(ctx)
	if err != nil {
		return errors.Trace(err)
	}
	r.slot = 1
	for _, s := range slots {
		r.slot = max(r.slot, s.Number)
	}
	return nil
}

func (r *Ring) read(ctx context.Context) ([]slotRecord, error) {
	records, _, err := r.store.List(ctx, keeper.JournalPrefix)
	if err != nil {
		return nil, errors.Annotate(err, "reading the journal")
	}
	var slots []slotRecord
	for _, record := range records {
		s, err := keeper.Decode[slotRecord](record)
		if err != nil {
			r.log.Error("journal record unreadable", "key", record.Key, "err", err)
			continue
		}
		slots = append(slots, s)
	}
	return slots, nil
}

// Explain returns the decisions in the ring on a subject, oldest first.
func (r *Ring) Explain(ctx context.Context, kind Kind, subject string) ([]Decision, error) {
	slots, err := r.read(ctx)
	if err != nil {
		return nil, errors.Trace(err)
	}
	var found []Decision
	for _, s := range slots {
		for _, d := range s.Decisions {
			if d.isAbout(kind, subject) {
				found = append(found, d)
			}
		}
	}
	return Merge(found), nil
}

// with returns the slot with as many of the batch as fit, and their number. It
// is 0 when the slot is full or has been reused by a faster writer.
func (s slotRecord) with(number uint64, batch []Decision) (slotRecord, int) {
	if s.Number > number {
		return s, 0
	}
	next := slotRecord{Number: number, Decisions: slices.Clone(s.in(number))}
	for i, d := range batch {
		if next.has(d) {
			continue
		}
		if len(next.Decisions) == SlotDecisions {
			return next, i
		}
		next.Decisions = append(next.Decisions, d)
	}
	return next, len(batch)
}

// in returns the decisions if the slot has not been used under an older number.
func (s slotRecord) in(number uint64) []Decision {
	if s.Number != number {
		return nil
	}
	return s.Decisions
}

func (s slotRecord) has(d Decision) bool {
	return slices.ContainsFunc(s.Decisions, func(e Decision) bool { return d.ID != "" && e.ID == d.ID })
}

func slotKey(number uint64) string {
	return fmt.Sprintf("%s%03d", keeper.JournalPrefix, number%RingSlots)
}

func wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
