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
	defaultLeaseMargin = time.Second // the holder stops using the lock this long before its lease ends
	renewalsPerLease   = 3           // attempts to renew within the time to live of the lease
	releaseTimeout     = time.Second // time-out for revoking the lease when Run ends
)

type (
	// LeaseStore is the part of the key-value service that a LeaseLock needs.
	LeaseStore interface {
		SwapStore
		Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
		KeepAlive(ctx context.Context, id LeaseID) error
		Revoke(ctx context.Context, id LeaseID) error
	}

	// LeaseLock is a lock that at most one member holds at a time, through a
	// lease of the key-value service. Its holder does a control task such as that
	// of the coordinator. The lock only avoids double work: a holder that was
	// paused can briefly take the lock as held after its lease has ended, so
	// the holder must make each write with compare-and-swap on what it read.
	LeaseLock struct {
		store    LeaseStore
		key      string
		memberID string
		ttl      time.Duration
		margin   time.Duration
		log      *slog.Logger

		lease LeaseID // used only in the goroutine of Run
		op    string  // identity of the write that stored the record under this lease

		mu        sync.Mutex
		heldUntil time.Time // the lock counts as held before this time
	}

	// LeaseLockOption configures a LeaseLock.
	LeaseLockOption func(*LeaseLock)
)

// WithLeaseTime sets the time to live of the lease and how long before its end
// the holder stops using the lock.
func WithLeaseTime(ttl, margin time.Duration) LeaseLockOption {
	return func(l *LeaseLock) { l.ttl, l.margin = ttl, margin }
}

// WithLeaseLockLog sets the logger for failed attempts to acquire, renew or
// release the lock.
func WithLeaseLockLog(log *slog.Logger) LeaseLockOption {
	return func(l *LeaseLock) { l.log = log }
}

// NewLeaseLock returns the lock with the given name, for use by the member with
// the identity memberID.
func NewLeaseLock(store LeaseStore, name, memberID string, opts ...LeaseLockOption) *LeaseLock {
	l := &LeaseLock{
		store:    store,
		key:      LeasePrefix + name,
		memberID: memberID,
		ttl:      DefaultLeaseTime,
		margin:   defaultLeaseMargin,
		log:      slog.New(slog.DiscardHandler),
	}
	for _, opt := range opts {
		opt(l)
	}
	return l
}

// Held reports whether this member holds the lock now, by the local monotonic
// clock.
func (l *LeaseLock) Held() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Now().Before(l.heldUntil)
}

// Run acquires and renews the lock until ctx ends. It then releases the lock and
// returns the error of ctx.
func (l *LeaseLock) Run(ctx context.Context) error {
	ticker := time.NewTicker(l.ttl / renewalsPerLease)
	defer ticker.Stop()
	for {
		if err := l.renewOrAcquire(ctx); err != nil && ctx.Err() == nil {
			l.log.Debug("lock not acquired or renewed, another attempt follows", "key", l.key, "err", err)
		}
		select {
		case <-ticker.C:
		case <-ctx.Done():
			l.release(ctx)
			return ctx.Err()
		}
	}
}

// renewOrAcquire renews the lease of this member, or acquires the lock if no
// member holds it.
func (l *LeaseLock) renewOrAcquire(ctx context.Context) error {
	if l.lease != 0 {
		return l.renew(ctx)
	}
	record, err := l.store.Get(ctx, l.key)
	if err != nil {
		return errors.Trace(err)
	}
	if record.Revision != 0 {
		return nil
	}
	return l.acquire(ctx)
}

// acquire creates a lease and writes the record of the lock under it.
func (l *LeaseLock) acquire(ctx context.Context) error {
	start := time.Now()
	lease, err := l.store.Grant(ctx, l.ttl)
	if err != nil {
		return errors.Trace(err)
	}
	l.lease, l.op = lease, uuid.NewString()
	value, err := Encode(l.op, l.memberID)
	if err != nil {
		return errors.Trace(err)
	}
	_, err = l.store.Swap(ctx, l.key, value, 0, lease)
	switch {
	case err == nil:
		l.markHeld(start)
		return nil
	case errors.Is(err, ErrUnknown):
		return errors.Trace(err) // the next renewal reads the record and finds out
	}
	l.abandonLease(ctx)
	return errors.Trace(err)
}

// renew renews the lease and checks that the record of the lock is the one that
// this member wrote.
func (l *LeaseLock) renew(ctx context.Context) error {
	start := time.Now()
	err := l.store.KeepAlive(ctx, l.lease)
	if errors.Is(err, ErrLeaseLost) {
		l.abandonLease(ctx)
	}
	if err != nil {
		return errors.Trace(err)
	}
	record, err := l.store.Get(ctx, l.key)
	if err != nil {
		return errors.Trace(err)
	}
	if _, op, err := decodeWithOp[string](record); err != nil || op != l.op {
		l.abandonLease(ctx)
		return errors.Trace(err)
	}
	l.markHeld(start)
	return nil
}

// markHeld marks the lock as held until the margin before the end of a lease that
// was created or renewed at start or later.
func (l *LeaseLock) markHeld(start time.Time) {
	l.setHeldUntil(start.Add(l.ttl - l.margin))
}

// abandonLease marks the lock as not held and revokes the lease, so that a write
// that arrives late cannot create the record of the lock under the lease.
func (l *LeaseLock) abandonLease(ctx context.Context) {
	lease := l.lease
	l.setHeldUntil(time.Time{})
	l.lease, l.op = 0, ""
	if err := l.store.Revoke(ctx, lease); err != nil {
		l.log.Debug("lease of the lock not revoked, it ends by itself", "key", l.key, "err", err)
	}
}

// release gives up the lock when Run ends, even though ctx has ended.
func (l *LeaseLock) release(ctx context.Context) {
	if l.lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
	defer cancel()
	l.abandonLease(ctx)
}

func (l *LeaseLock) setHeldUntil(t time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.heldUntil = t
}
