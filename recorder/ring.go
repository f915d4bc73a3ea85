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
	// RingSlots is the number of slots of the ring, each of which is one record
	// in the key-value service.
	RingSlots = 128
	// SlotDecisions is the maximum number of decisions in one slot. A decision
	// has at most about 5 KB, so the ring stays below 128 x 32 x 5 KB = 20 MB and
	// a record below 160 KB; a usual decision has about 400 bytes.
	SlotDecisions = 32
	// maxPending is the maximum number of decisions that wait to be written.
	maxPending = 256
	// batchInterval is how long decisions are collected for one write.
	batchInterval = time.Second
	// retryInterval is the wait before a failed write is retried.
	retryInterval = 5 * time.Second
)

type (
	// Store is the part of the key-value service that a Ring needs.
	Store interface {
		keeper.SwapStore
		List(ctx context.Context, prefix string) ([]keeper.Record, int64, error)
	}

	// Ring keeps the last decisions of all entries in a fixed number of records,
	// called slots, in the key-value service, so that decisions survive the entry
	// that made them. When all slots are full, the oldest slot is overwritten. An
	// entry's own decisions in memory are in a Journal.
	Ring struct {
		store      Store
		log        *slog.Logger
		pending    chan Decision
		dropped    atomic.Uint64
		newestSlot uint64 // number of the newest slot known; 0 until it was looked up
	}

	// slotRecord is the content of one slot of the ring.
	slotRecord struct {
		Number    uint64     `json:"number"` // grows by RingSlots with each reuse
		Decisions []Decision `json:"decisions"`
	}
)

// NewRing returns a ring whose records are in store.
func NewRing(store Store, log *slog.Logger) *Ring {
	return &Ring{store: store, log: log, pending: make(chan Decision, maxPending)}
}

// Enqueue queues a decision for writing. If the queue is full, it drops the
// decision and counts it.
func (r *Ring) Enqueue(d Decision) {
	select {
	case r.pending <- d.truncated():
	default:
		r.dropped.Add(1)
	}
}

// Dropped returns the number of decisions dropped because the queue was full.
func (r *Ring) Dropped() uint64 {
	return r.dropped.Load()
}

// Run writes the queued decisions until ctx ends. It returns the error of ctx.
// While the key-value service is down, it retries, and decisions stay queued.
func (r *Ring) Run(ctx context.Context) error {
	for {
		batch, err := r.nextBatch(ctx)
		if err != nil {
			return err
		}
		for len(batch) > 0 {
			written, err := r.writeBatch(ctx, batch)
			if ctx.Err() != nil {
				return ctx.Err()
			}
			if err != nil {
				r.log.Warn("decisions could not be written to the shared ring in the key-value service; retrying in 5 s", "count", len(batch), "err", err)
				wait(ctx, retryInterval)
				continue
			}
			batch = batch[written:]
		}
	}
}

// nextBatch waits for a decision and returns it with those queued within
// batchInterval after it, at most SlotDecisions.
func (r *Ring) nextBatch(ctx context.Context) ([]Decision, error) {
	var batch []Decision
	select {
	case <-ctx.Done():
		return nil, ctx.Err()
	case d := <-r.pending:
		batch = append(batch, d)
	}
	wait(ctx, batchInterval)
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

// writeBatch appends decisions to the newest slot, or to the next slot if that is
// full. It returns the number of decisions written.
func (r *Ring) writeBatch(ctx context.Context, batch []Decision) (int, error) {
	if err := r.findNewestSlot(ctx); err != nil {
		return 0, errors.Trace(err)
	}
	for {
		number, written := r.newestSlot, 0
		change := func(cur slotRecord, _ bool) (slotRecord, bool, error) {
			next, n := cur.withAppended(number, batch)
			written = n
			return next, n > 0 && len(next.Decisions) > len(cur.decisionsAt(number)), nil
		}
		stored, _, err := keeper.Update(ctx, r.store, slotKey(number), change)
		if err != nil {
			return 0, errors.Trace(err)
		}
		if written > 0 {
			return written, nil
		}
		r.newestSlot = max(number+1, stored.Number)
	}
}

// findNewestSlot looks up the newest slot, unless it is known already.
func (r *Ring) findNewestSlot(ctx context.Context) error {
	if r.newestSlot > 0 {
		return nil
	}
	slots, err := r.readSlots(ctx)
	if err != nil {
		return errors.Trace(err)
	}
	r.newestSlot = 1
	for _, s := range slots {
		r.newestSlot = max(r.newestSlot, s.Number)
	}
	return nil
}

// readSlots returns the slots that are in use. It leaves out those that can't be
// decoded and logs them.
func (r *Ring) readSlots(ctx context.Context) ([]slotRecord, error) {
	records, _, err := r.store.List(ctx, keeper.JournalPrefix)
	if err != nil {
		return nil, errors.Annotate(err, "reading the journal")
	}
	var slots []slotRecord
	for _, record := range records {
		s, err := keeper.Decode[slotRecord](record)
		if err != nil {
			r.log.Error("slot of the shared ring under journal/ in the key-value service cannot be decoded; its decisions are left out", "key", record.Key, "err", err)
			continue
		}
		slots = append(slots, s)
	}
	return slots, nil
}

// Decisions returns the decisions in the ring on a subject, oldest first. It does
// not return those that still wait to be written.
func (r *Ring) Decisions(ctx context.Context, kind Kind, subject string) ([]Decision, error) {
	slots, err := r.readSlots(ctx)
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

// withAppended returns the slot with as many decisions of the batch as fit, and
// how many of the batch the slot now holds. That is 0 if the slot is full or
// another entry has already reused it under a higher number.
func (s slotRecord) withAppended(number uint64, batch []Decision) (slotRecord, int) {
	if s.Number > number {
		return s, 0
	}
	next := slotRecord{Number: number, Decisions: slices.Clone(s.decisionsAt(number))}
	for i, d := range batch {
		if next.contains(d) {
			continue
		}
		if len(next.Decisions) == SlotDecisions {
			return next, i
		}
		next.Decisions = append(next.Decisions, d)
	}
	return next, len(batch)
}

// decisionsAt returns the decisions of the slot if it is in use under number. A
// slot still in use under an older number counts as empty.
func (s slotRecord) decisionsAt(number uint64) []Decision {
	if s.Number != number {
		return nil
	}
	return s.Decisions
}

func (s slotRecord) contains(d Decision) bool {
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
