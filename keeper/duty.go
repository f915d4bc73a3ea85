package keeper

import (
	"context"
	"log/slog"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"
)

const (
	defaultLeaseMargin = time.Second // part of a lease that its holder does not use
	renewalsPerLease   = 3           // renewals tried in the time of one lease
	releaseTimeout     = time.Second // longest wait for the release of a lease
)

type (
	// LeaseStore is the part of the key-value service that a Duty needs.
	LeaseStore interface {
		SwapStore
		Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
		KeepAlive(ctx context.Context, id LeaseID) error
		Revoke(ctx context.Context, id LeaseID) error
	}

	// LeaseLock is the leased right of one member at a time to do a control duty.
	// It reduces double work and nothing more: a paused holder can still
	// believe in it for a moment, so each write of a duty is fenced by
	// compare-and-swap on what it read.
	LeaseLock struct {
		store  LeaseStore
		key    string
		self   string
		ttl    time.Duration
		margin time.Duration
		log    *slog.Logger

		lease LeaseID // used by Run alone
		op    string  // operation id in the record of this lease

		mu    sync.Mutex
		until time.Time // the right is held before this time
	}

	// LeaseLockOption changes a Duty.
	LeaseLockOption func(*LeaseLock)
)

// WithLeaseTime sets the time to live of the lease and the margin before its
// end from which the right is no longer used.
func WithLeaseTime(ttl, margin time.Duration) LeaseLockOption {
	return func(d *LeaseLock) { d.ttl, d.margin = ttl, margin }
}

// WithLeaseLockLog sets the logger for gained and lost rights.
func WithLeaseLockLog(log *slog.Logger) LeaseLockOption {
	return func(d *LeaseLock) { d.log = log }
}

// NewLeaseLock returns the duty called name as seen by the member self.
func NewLeaseLock(store LeaseStore, name, self string, opts ...LeaseLockOption) *LeaseLock {
	d := &LeaseLock{
		store:  store,
		key:    LeasePrefix + name,
		self:   self,
		ttl:    DefaultLeaseTime,
		margin: defaultLeaseMargin,
		log:    slog.New(slog.DiscardHandler),
	}
	for _, opt := range opts {
		opt(d)
	}
	return d
}

// Held reports whether this member has the right now, judged by the local
// monotonic clock.
func (d *LeaseLock) Held() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Now().Before(d.until)
}

// Run tries to gain and to keep the right until ctx ends, gives it up and
// returns the error of ctx.
func (d *LeaseLock) Run(ctx context.Context) error {
	ticker := time.NewTicker(d.ttl / renewalsPerLease)
	defer ticker.Stop()
	for {
		if err := d.step(ctx); err != nil && ctx.Err() == nil {
			d.log.Debug("leased duty", "key", d.key, "err", err)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			d.release(ctx)
			return ctx.Err()
		}
	}
}

// step renews the lease, or takes the duty when nobody holds it.
func (d *LeaseLock) step(ctx context.Context) error {
	if d.lease != 0 {
		return d.renew(ctx)
	}
	record, err := d.store.Get(ctx, d.key)
	if err != nil {
		return errors.Trace(err)
	}
	if record.Revision != 0 {
		return nil
	}
	return d.take(ctx)
}

func (d *LeaseLock) take(ctx context.Context) error {
	start := time.Now()
	lease, err := d.store.Grant(ctx, d.ttl)
	if err != nil {
		return errors.Trace(err)
	}
	d.lease, d.op = lease, uuid.NewString()
	value, err := Encode(d.op, d.self)
	if err != nil {
		return errors.Trace(err)
	}
	_, err = d.store.Swap(ctx, d.key, value, 0, lease)
	switch {
	case err == nil:
		d.hold(start)
		return nil
	case errors.Is(err, ErrUnknown):
		return errors.Trace(err) // the next renewal reads the record back
	}
	d.drop(ctx)
	return errors.Trace(err)
}

// renew extends the lease and checks that the record is still its own.
func (d *LeaseLock) renew(ctx context.Context) error {
	start := time.Now()
	err := d.store.KeepAlive(ctx, d.lease)
	if errors.Is(err, ErrLeaseLost) {
		d.drop(ctx)
	}
	if err != nil {
		return errors.Trace(err)
	}
	record, err := d.store.Get(ctx, d.key)
	if err != nil {
		return errors.Trace(err)
	}
	if _, op, err := decode[string](record); err != nil || op != d.op {
		d.drop(ctx)
		return errors.Trace(err)
	}
	d.hold(start)
	return nil
}

// hold marks the right as held for a lease that was renewed not before start.
func (d *LeaseLock) hold(start time.Time) {
	d.setUntil(start.Add(d.ttl - d.margin))
}

// drop forgets the lease. It is revoked so that a late write cannot bind the
// record to it.
func (d *LeaseLock) drop(ctx context.Context) {
	lease := d.lease
	d.setUntil(time.Time{})
	d.lease, d.op = 0, ""
	if err := d.store.Revoke(ctx, lease); err != nil {
		d.log.Debug("revoking a lease", "key", d.key, "err", err)
	}
}

func (d *LeaseLock) release(ctx context.Context) {
	if d.lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	d.drop(ctx)
}

func (d *LeaseLock) setUntil(t time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.until = t
}
