package excluder

import (
	"context"
	"log/slog"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/classifier"
	"github.com/coltsfootlever/coltsfootlever/keeper"
)

// Default durations and limits.
const (
	// DefaultStaleness is the longest time for which an entry starts work without
	// confirmation that its record is the latest one.
	DefaultStaleness = 3 * time.Second

	pollInterval          = time.Second
	callTimeout           = 2 * time.Second
	maxConcurrentReads    = 3 // a read may take longer than pollInterval
	defaultConfirmTimeout = 10 * time.Second
	confirmInterval       = 250 * time.Millisecond
	storeRetryAfter       = 5 * time.Second
)

type (
	// Peers requests what the other registered entries know.
	Peers interface {
		// Self returns the ID of this entry.
		Self() string
		// Registered returns the IDs of the other registered entries.
		Registered() []string
		// Refresh reads the membership anew.
		Refresh(ctx context.Context)
		// Heard returns the IDs of the other entries that have sent a heartbeat
		// within the staleness bound.
		Heard() []string
		// Outage reports whether the key-value service is down for every
		// registered entry, so that no change can have been accepted.
		Outage() bool
		// Reports requests the reports of the other entries, by entry ID, and
		// leaves out those that did not answer. An entry whose record has a
		// lower number than the given one reads the record first.
		Reports(ctx context.Context, number uint64) map[string]Report
	}

	// Report is what one entry knows of the record.
	Report struct {
		Record Record        `json:"record"` // in force in the entry
		Proved bool          `json:"proved"` // the entry knows that the record was the latest one Age ago
		Age    time.Duration `json:"age-ns"`
	}

	// Change is the result of a change that was accepted.
	Change struct {
		Evacuation
		Number    uint64   `json:"number"`              // number of the record with the change
		Confirmed []string `json:"confirmed,omitempty"` // entries that have the change in force
		Missing   []string `json:"missing,omitempty"`   // registered entries that have not confirmed it
	}

	// Excluder follows the record for one entry and changes it for operators.
	Excluder struct {
		store          keeper.SwapStore
		peers          Peers
		inService      func(ctx context.Context) (InService, error)
		changeCheck    func() error
		staleness      time.Duration
		confirmTimeout time.Duration
		log            *slog.Logger
		readSlots      chan struct{} // semaphore for concurrent reads

		adopting    sync.Mutex // held while a record is adopted and subscribers are called
		record      atomic.Pointer[Record]
		subscribers []func(Record)

		mu          sync.Mutex
		inForce     Record    // record that is in force in all parts of the entry
		provedAt    time.Time // the record was the latest one at this time
		peersReadAt time.Time // start of the last read in which every entry heard from answered and none had a newer record
		stale       bool      // result of the last check, for the log
	}

	// Option configures an Excluder.
	Option func(*Excluder)
)

// WithStaleness sets the longest time for which the entry starts work without
// confirmation that its record is the latest one.
func WithStaleness(d time.Duration) Option {
	return func(x *Excluder) { x.staleness = d }
}

// WithChangeCheck sets a check that must pass before a change is accepted, such
// as that the entry is registered.
func WithChangeCheck(check func() error) Option {
	return func(x *Excluder) { x.changeCheck = check }
}

// WithConfirmTimeout sets how long a change waits for the other entries to confirm
// it.
func WithConfirmTimeout(d time.Duration) Option {
	return func(x *Excluder) { x.confirmTimeout = d }
}

// WithLog sets the logger.
func WithLog(log *slog.Logger) Option {
	return func(x *Excluder) { x.log = log }
}

// New returns an Excluder that knows no record. inService returns the known zones
// and how many instances are in service in each.
func New(store keeper.SwapStore, peers Peers, inService func(ctx context.Context) (InService, error), opts ...Option) *Excluder {
	x := &Excluder{
		store:          store,
		peers:          peers,
		inService:      inService,
		changeCheck:    func() error { return nil },
		staleness:      DefaultStaleness,
		confirmTimeout: defaultConfirmTimeout,
		log:            slog.New(slog.DiscardHandler),
		readSlots:      make(chan struct{}, maxConcurrentReads),
		stale:          true,
	}
	for _, opt := range opts {
		opt(x)
	}
	x.record.Store(&Record{})
	return x
}

// Subscribe registers fn, which is called with each newer record before this
// entry confirms it. Call Subscribe before Run.
func (x *Excluder) Subscribe(fn func(Record)) {
	x.subscribers = append(x.subscribers, fn)
}

// Record returns the latest record that this entry knows.
func (x *Excluder) Record() Record {
	return *x.record.Load()
}

// IsEvacuated reports whether the latest known record has the zone.
func (x *Excluder) IsEvacuated(zone string) bool {
	_, ok := x.record.Load().Find(zone)
	return ok
}

// Check returns a refusal with code classifier.Isolated while the entry may have
// missed a change of the record. The entry must then start nothing.
func (x *Excluder) Check() error {
	if x.isFresh(time.Now()) {
		return nil
	}
	return classifier.Refuse(classifier.Isolated, "the entry may have missed the evacuation of a zone: try another").WithRetryAfter(time.Second)
}

// CheckStart returns a refusal if no work may be started in the zone now.
func (x *Excluder) CheckStart(zone string) error {
	if err := x.Check(); err != nil {
		return err
	}
	if e, ok := x.record.Load().Find(zone); ok {
		return classifier.Refuse(classifier.NoCapacity, "zone %q is evacuated by %s since %s", zone, e.RequestedBy, e.Since.Format(time.RFC3339))
	}
	return nil
}

// Age returns the time since the record was last known to be the latest one, and
// false if it never was.
func (x *Excluder) Age() (time.Duration, bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	return max(0, elapsed(x.provedAt, time.Now())), !x.provedAt.IsZero()
}

// isFresh reports whether the record can be relied on: it was the latest one
// within the staleness bound, or the service is down for all entries and, within
// the bound, no entry had a newer record.
func (x *Excluder) isFresh(now time.Time) bool {
	x.mu.Lock()
	provedAt, peersReadAt := x.provedAt, x.peersReadAt
	x.mu.Unlock()
	if x.isWithinBound(provedAt, now) {
		return true
	}
	return x.isWithinBound(peersReadAt, now) && x.peers.Outage()
}

func (x *Excluder) isWithinBound(t, now time.Time) bool {
	return !t.IsZero() && elapsed(t, now) <= x.staleness
}

// elapsed returns the time from t to now by the monotonic or by the wall clock,
// whichever is greater: on a suspended machine the monotonic clock stops.
func elapsed(t, now time.Time) time.Duration {
	return max(now.Sub(t), now.Round(0).Sub(t.Round(0)))
}

// Run reads the record periodically until ctx ends.
func (x *Excluder) Run(ctx context.Context) error {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	var reads sync.WaitGroup
	defer reads.Wait()
	for {
		select {
		case x.readSlots <- struct{}{}:
			reads.Go(func() {
				defer func() { <-x.readSlots }()
				x.Refresh(ctx)
			})
		default:
		}
		x.logFreshness()
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}

// logFreshness logs that starts are withheld because the record may be out of
// date, and the end of this.
func (x *Excluder) logFreshness() {
	fresh := x.isFresh(time.Now())
	x.mu.Lock()
	changed := x.stale == fresh
	x.stale = !fresh
	x.mu.Unlock()
	switch {
	case !changed:
	case fresh:
		x.log.Info("record of evacuated zones is up to date; starting work", "number", x.Record().Number)
	default:
		x.log.Warn("record of evacuated zones not confirmed within the staleness bound; starting no work until it is", "bound", x.staleness, "number", x.Record().Number)
	}
}

// Refresh reads the record from the key-value service or, if that does not
// answer, from the other entries.
func (x *Excluder) Refresh(ctx context.Context) {
	start := time.Now()
	stored, err := x.readStore(ctx)
	if err != nil {
		x.log.Debug("record of evacuated zones not read from the key-value service; asking the other entries", "err", err)
		x.refreshFromPeers(ctx, start)
		return
	}
	if known := x.Record(); stored.Number < known.Number {
		x.log.Error("the key-value service has lost changes of the evacuated zones; writing the record again", "stored", stored.Number, "known", known.Number)
		if stored, err = x.rewrite(ctx); err != nil {
			x.log.Error("record of evacuated zones not written again; retrying", "err", err)
			return
		}
	}
	x.adopt(stored, start)
}

func (x *Excluder) readStore(ctx context.Context) (Record, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	stored, err := x.store.Get(ctx, keeper.EvacuationsKey)
	if err != nil {
		return Record{}, errors.Trace(err)
	}
	return keeper.Decode[Record](stored)
}

// rewrite writes the known record after the service has lost it, for example
// because it was restored from a backup.
func (x *Excluder) rewrite(ctx context.Context) (Record, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	next, _, err := keeper.Update(ctx, x.store, keeper.EvacuationsKey, func(cur Record, _ bool) (Record, bool, error) {
		known := x.Record()
		return newer(cur, known), known.Number > cur.Number, nil
	})
	return next, err
}

// refreshFromPeers adopts the newest record that another entry has. A peer that
// has the same record as this entry proves it as of its own last proof.
func (x *Excluder) refreshFromPeers(ctx context.Context, start time.Time) {
	heard := x.peers.Heard()
	reports := x.peers.Reports(ctx, 0)
	for _, r := range reports {
		x.adopt(r.Record, time.Time{})
	}
	number := x.Record().Number
	for _, r := range reports {
		if r.Proved && r.Record.Number == number {
			x.prove(number, start.Add(-r.Age))
		}
	}
	for _, id := range heard {
		if _, ok := reports[id]; !ok {
			return
		}
	}
	if len(reports) > 0 {
		x.mu.Lock()
		x.peersReadAt = start
		x.mu.Unlock()
	}
}

// adopt puts a record in force if it is newer than the known one. The record was
// the latest one at provedAt; the zero time stands for unknown.
func (x *Excluder) adopt(r Record, provedAt time.Time) {
	x.adopting.Lock()
	defer x.adopting.Unlock()
	if known := x.Record(); r.Number > known.Number {
		x.record.Store(&r)
		for _, fn := range x.subscribers {
			fn(r)
		}
		x.logChange(known, r)
		x.mu.Lock()
		x.inForce = r
		x.mu.Unlock()
	}
	x.prove(r.Number, provedAt)
}

// prove records that the record with the number was the latest one at the given
// time.
func (x *Excluder) prove(number uint64, at time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if number == x.inForce.Number && at.After(x.provedAt) {
		x.provedAt = at
	}
}

func (x *Excluder) logChange(before, after Record) {
	for _, e := range after.Zones {
		if was, ok := before.Find(e.Zone); !ok || was.Op != e.Op {
			x.log.Info("zone evacuated; starting no work there", "zone", e.Zone, "operator", e.RequestedBy, "since", e.Since, "comment", e.Comment, "number", after.Number)
		}
	}
	for _, e := range before.Zones {
		if _, ok := after.Find(e.Zone); !ok {
			x.log.Info("zone restored; starting work there again", "zone", e.Zone, "number", after.Number)
		}
	}
}

// HandleReport returns what this entry knows. subject is the number of a record
// that exists; the entry reads a record that it does not have yet first.
func (x *Excluder) HandleReport(ctx context.Context, subject string) Report {
	if number, err := strconv.ParseUint(subject, 10, 64); err == nil && number > x.Record().Number {
		x.Refresh(ctx)
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	return Report{Record: x.inForce, Proved: !x.provedAt.IsZero(), Age: max(0, elapsed(x.provedAt, time.Now()))}
}
