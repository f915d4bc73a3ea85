package elector

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/keeper"
	"github.com/coltsfootlever/coltsfootlever/supervisor"
)

const (
	// Key is the store key of the leader record.
	Key = "leader"

	defaultLeaseTime       = 1500 * time.Millisecond // a crashed leader is replaced after this time; longer than a slow store takes to respond
	renewalsPerLease       = 4                       // two renewals in a row may fail before the lease expires
	extensionAfterLease    = 4 * time.Second         // a leader that cannot renew its lease may extend task leases this long after the lease expires; together with the task leases this covers a store outage of nine seconds
	maxCandidateJitter     = 20 * time.Millisecond   // a few round trips, so that two candidates rarely collide
	maxTimeWithoutProgress = 3 * time.Second         // a leader reads all jobs in less time and makes decisions ten times a second
	pauseAfterStall        = 2 * time.Second         // wait after a term that ended with ErrStalled; longer than another entry node needs to become leader
	retryInterval          = 200 * time.Millisecond  // wait after a failed attempt to become leader
	revokeTimeout          = 500 * time.Millisecond  // for the call that revokes the lease at the end of a term
)

type (
	// Store is the part of the key-value store client that the election needs.
	Store interface {
		keeper.Watcher
		Get(ctx context.Context, key string) (keeper.Record, error)
		Commit(ctx context.Context, txn keeper.Txn) (int64, []keeper.Record, error)
		Grant(ctx context.Context, ttl time.Duration) (keeper.LeaseID, error)
		KeepAlive(ctx context.Context, id keeper.LeaseID) error
		Revoke(ctx context.Context, id keeper.LeaseID) error
	}

	// Term is the period during which one entry node is the leader.
	Term struct {
		Token        int64 // fencing token: store revision of the leader record; increases from term to term
		requestedAt  time.Duration
		lastRenewal  atomic.Int64
		lastProgress atomic.Int64
		leaseTime    time.Duration
		now          func() time.Duration
		cancel       context.CancelCauseFunc
		seen         *seenTerms
	}

	// Elector runs for leadership on behalf of one entry node.
	Elector struct {
		store          Store
		entryName      string
		runTerm        func(ctx context.Context, t *Term)
		leaseTime      time.Duration
		candidateDelay func(ctx context.Context) time.Duration
		now            func() time.Duration
		log            *slog.Logger
		vacant         chan struct{} // signals that there may be no leader
		newLeader      chan struct{} // signals that there may be another leader
		seen           seenTerms
		isBetter       func(ctx context.Context, leader string) (bool, error)
	}

	// Option configures an Elector.
	Option func(*Elector)
)

// ErrStalled is the cause of a term's end when the leader made no progress,
// resigned, or returned from its work.
const ErrStalled = errors.ConstError("leader did not get its work done in time, or resigned")

// ErrDeposed is the cause of a term's end when another entry node has become
// leader, or may have because the lease of the leadership is lost.
const ErrDeposed = errors.ConstError("another entry leads the fleet now")

// WithLeaseTime sets how long the leader's lease lasts without renewal. Another
// entry node replaces the leader after that.
func WithLeaseTime(d time.Duration) Option {
	return func(e *Elector) { e.leaseTime = d }
}

// WithDelay sets the function that returns how long this entry node waits
// before it runs for leadership. Entry nodes that are better suited to lead
// return shorter delays.
func WithDelay(delay func(ctx context.Context) time.Duration) Option {
	return func(e *Elector) { e.candidateDelay = delay }
}

// WithClock sets the clock for measuring leases. It must keep counting while
// the machine is suspended.
func WithClock(now func() time.Duration) Option {
	return func(e *Elector) { e.now = now }
}

// New returns the elector of the entry node entryName. It calls runTerm in a
// new goroutine for each term; runTerm must return soon after its context ends.
func New(store Store, entryName string, runTerm func(ctx context.Context, t *Term), log *slog.Logger, opts ...Option) *Elector {
	start := time.Now()
	e := &Elector{
		store:          store,
		entryName:      entryName,
		runTerm:        runTerm,
		leaseTime:      defaultLeaseTime,
		now:            func() time.Duration { return time.Since(start) },
		log:            log,
		candidateDelay: func(context.Context) time.Duration { return 0 },
		vacant:         make(chan struct{}, 1),
		newLeader:      make(chan struct{}, 1),
	}
	for _, opt := range opts {
		opt(e)
	}
	return e
}

// Depose ends the term because another entry node has become leader, or may have
// because the lease of the leadership is lost.
func (t *Term) Depose() {
	t.cancel(ErrDeposed)
}

// Resign ends the term so that an entry node that is better suited can lead.
func (t *Term) Resign() {
	t.cancel(ErrStalled)
}

// ReportProgress records that the leader is making progress. If it is not
// called for maxTimeWithoutProgress, the term ends, so that a leader that is
// too slow is replaced.
func (t *Term) ReportProgress() {
	t.lastProgress.Store(int64(t.now()))
}

// MayExtend reports whether the leader may still extend the leases of running
// tasks. It may do so for extensionAfterLease beyond its own lease, so that a
// store outage doesn't end running tasks. A successor waits for this time
// before it assumes that those task leases have expired.
func (t *Term) MayExtend() bool {
	return t.now()-time.Duration(t.lastRenewal.Load()) < t.leaseTime+extensionAfterLease
}

// IsValid reports whether the leader's lease has certainly not expired.
func (t *Term) IsValid() bool {
	return t.WasValidAt(t.Now())
}

// Now returns the time on the clock that measures the leader's lease.
func (t *Term) Now() time.Duration {
	return t.now()
}

// WasValidAt reports whether the leader's lease had certainly not expired at a
// time returned by Now. A later renewal counts too, because an expired lease can't
// be renewed.
func (t *Term) WasValidAt(at time.Duration) bool {
	return at-time.Duration(t.lastRenewal.Load()) < t.leaseTime
}

// Age returns how long ago the leadership was requested.
func (t *Term) Age() time.Duration {
	return t.now() - t.requestedAt
}

// SinceSeen returns for how long this entry node has known of a term. The leadership was
// requested before that. It reports false if this entry node has not heard of the term.
func (t *Term) SinceSeen(token int64) (time.Duration, bool) {
	at, ok := t.seen.at(token)
	return t.now() - at, ok
}

// ExtensionLimit returns the longest time after the start of a term during
// which the previous leader may still have extended task leases.
func ExtensionLimit() time.Duration {
	return extensionAfterLease
}

// Run takes part in elections until ctx ends. If this entry node leads at that
// moment, Run waits for runTerm to return and then revokes the lease.
func (e *Elector) Run(ctx context.Context) error {
	follower := keeper.NewFollower(e.store, Key, keeper.OnReset(e.handleSnapshot), keeper.OnEvent(e.handleEvent), keeper.WithFollowerLog(e.log))
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		_ = follower.Run(ctx) // only returns ctx's error
	}()
	defer func() { <-watched }()
	if e.isBetter != nil {
		challenging := make(chan struct{})
		go func() {
			defer close(challenging)
			e.challengeLeaders(ctx)
		}()
		defer func() { <-challenging }()
	}
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-e.vacant:
		}
		delay := e.candidateDelay(ctx)
		if supervisor.Pause(ctx, delay+rand.N(maxCandidateJitter)) != nil {
			return ctx.Err()
		}
		if err := e.holdTerm(ctx, delay > 0); err != nil {
			e.log.Warn("leadership not acquired, trying again", "error", err)
			if !errors.Is(err, keeper.ErrConflict) {
				_ = supervisor.Pause(ctx, retryInterval)
				e.checkForLeader(ctx)
			}
		}
	}
}

func (e *Elector) handleSnapshot(records []keeper.Record) {
	for _, record := range records {
		if record.Key == Key {
			e.seen.add(record.Revision, e.now())
			e.signalLeader()
			return
		}
	}
	e.signalVacancy()
}

func (e *Elector) handleEvent(ev keeper.Event) {
	switch {
	case ev.Key != Key:
	case ev.Deleted:
		e.signalVacancy()
	default:
		e.seen.add(ev.Revision, e.now())
		e.signalLeader()
	}
}

func (e *Elector) signalVacancy() {
	select {
	case e.vacant <- struct{}{}:
	default:
	}
}

// checkForLeader reads the leader record and signals a vacancy if there is none
// or if the read fails. It is needed after a failed attempt, since no watch
// event may follow.
func (e *Elector) checkForLeader(ctx context.Context) {
	r, err := e.store.Get(ctx, Key)
	if err != nil || r.Revision == 0 {
		e.signalVacancy()
	}
}

// holdTerm creates the leader record, runs the term and returns when the term
// is over. It returns an error if this entry node didn't become leader. Only a leader
// that may be less suited than others looks for challenges.
func (e *Elector) holdTerm(ctx context.Context, mayBeChallenged bool) error {
	requestedAt := e.now()
	id, err := e.store.Grant(ctx, e.leaseTime)
	if err != nil {
		return errors.Annotate(err, "granting a lease on the leader record")
	}
	token, err := e.createLeaderRecord(ctx, id)
	if err != nil {
		e.revokeLease(ctx, id)
		return errors.Annotate(err, "acquiring leadership: creating the leader record")
	}
	termCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	t := &Term{Token: token, requestedAt: requestedAt, leaseTime: e.leaseTime, now: e.now, cancel: cancel, seen: &e.seen}
	t.lastRenewal.Store(int64(requestedAt))
	t.ReportProgress()
	e.log.Info("leadership acquired", "token", token)
	done := make(chan struct{})
	go func() {
		defer close(done)
		e.runTerm(termCtx, t)
		cancel(ErrStalled) // no effect if the term has already ended with another cause
	}()
	challenged := make(chan struct{})
	go func() {
		defer close(challenged)
		if mayBeChallenged && e.isBetter != nil {
			e.resignWhenChallenged(termCtx, t)
		}
	}()
	e.keepLeaseAlive(termCtx, t, id)
	<-done
	<-challenged
	e.log.Info("leadership ended", "token", token, "cause", context.Cause(termCtx).Error())
	e.revokeLease(ctx, id)
	if errors.Is(context.Cause(termCtx), ErrStalled) {
		_ = supervisor.Pause(ctx, pauseAfterStall) // let other entry nodes become leader first
	}
	return nil
}

// createLeaderRecord creates the leader record and returns its revision. If the
// outcome of the write is unknown, it reads the record and checks whether it
// contains this attempt's unique identity.
func (e *Elector) createLeaderRecord(ctx context.Context, id keeper.LeaseID) (int64, error) {
	identity := e.entryName + "/" + uuid.NewString()
	revision, _, err := e.store.Commit(ctx, keeper.Txn{
		Expect: []keeper.Expectation{{Key: Key}},
		Put:    []keeper.Put{{Key: Key, Value: []byte(identity), Lease: id}},
	})
	if !errors.Is(err, keeper.ErrUnknown) {
		return revision, err
	}
	r, readErr := e.store.Get(ctx, Key)
	if readErr != nil {
		return 0, errors.Annotate(err, readErr.Error())
	}
	if string(r.Value) != identity {
		return 0, err
	}
	return r.Revision, nil
}

// keepLeaseAlive renews the lease until the term ends. It ends the term if the
// lease is lost or the leader makes no progress.
func (e *Elector) keepLeaseAlive(ctx context.Context, t *Term, id keeper.LeaseID) {
	for {
		if supervisor.Pause(ctx, e.leaseTime/renewalsPerLease) != nil {
			return
		}
		sentAt := e.now()
		if sentAt-time.Duration(t.lastProgress.Load()) > maxTimeWithoutProgress {
			e.log.Warn("leader did not get its work done in time, ending its term", "token", t.Token)
			t.cancel(ErrStalled)
			return
		}
		err := e.store.KeepAlive(ctx, id)
		switch {
		case err == nil:
			t.lastRenewal.Store(int64(sentAt))
		case errors.Is(err, keeper.ErrLeaseLost):
			e.log.Warn("lease of the leadership lost, ending the term", "token", t.Token)
			t.Depose()
		case ctx.Err() != nil:
		default:
			e.log.Warn("leadership lease not renewed, trying again", "token", t.Token, "error", err)
		}
	}
}

// revokeLease revokes a lease so that a successor doesn't have to wait until it
// expires.
func (e *Elector) revokeLease(ctx context.Context, id keeper.LeaseID) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), revokeTimeout)
	defer cancel()
	if err := e.store.Revoke(ctx, id); err != nil {
		e.log.Warn("leader lease not revoked on the store, it will run out by itself", "error", err)
	}
}
