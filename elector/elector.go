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
	// Key is the record of the leader.
	Key = "leader"

	defaultLeaseTime       = 1500 * time.Millisecond // a dead leader is replaced after this; above a slow store's answers
	renewalsPerLease       = 4                       // two renewals in a row may fail
	extensionAfterLease    = 4 * time.Second         // a leader that cannot renew extends running work this long after its lease; with the leases of runs it bridges an outage of nine seconds
	maxCandidateJitter     = 20 * time.Millisecond   // some round trips, so that seldom two candidates collide
	maxTimeWithoutProgress = 3 * time.Second         // a leader reads all jobs in less, and decides ten times a second
	pauseAfterStall        = 2 * time.Second         // after a term that stalled, above the time that others take to lead
	retryInterval          = 200 * time.Millisecond  // between attempts to take or to renew after a failure
	revokeTimeout          = 500 * time.Millisecond  // of the last call of a term
)

type (
	// Store is the part of the key-value service that leadership needs.
	Store interface {
		keeper.Watcher
		Get(ctx context.Context, key string) (keeper.Record, error)
		Commit(ctx context.Context, txn keeper.Txn) (int64, []keeper.Record, error)
		Grant(ctx context.Context, ttl time.Duration) (keeper.LeaseID, error)
		KeepAlive(ctx context.Context, id keeper.LeaseID) error
		Revoke(ctx context.Context, id keeper.LeaseID) error
	}

	// Term is one leadership.
	Term struct {
		Token        int64 // revision at which leadership was taken; grows from term to term
		lastRenewal  atomic.Int64
		lastProgress atomic.Int64
		leaseTime    time.Duration
		now          func() time.Duration
		cancel       context.CancelCauseFunc
	}

	// Elector takes part in the election.
	Elector struct {
		store          Store
		entryName      string
		runTerm        func(ctx context.Context, t *Term)
		leaseTime      time.Duration
		candidateDelay func(ctx context.Context) time.Duration
		now            func() time.Duration
		log            *slog.Logger
		vacant         chan struct{} // holds a token while no leader is seen
	}

	// Option changes an Elector.
	Option func(*Elector)
)

// ErrStalled is the cause of a term's end when its leader does not get on.
const ErrStalled = errors.ConstError("the leader does not get on")

// ErrDeposed is the cause of a term's end when another entry leads.
const ErrDeposed = errors.ConstError("another entry leads")

// WithLeaseTime sets the time after which a silent leader is replaced.
func WithLeaseTime(d time.Duration) Option {
	return func(e *Elector) { e.leaseTime = d }
}

// WithDelay sets what tells how long this entry waits before it becomes a
// candidate, so that better equipped ones come first.
func WithDelay(delay func(ctx context.Context) time.Duration) Option {
	return func(e *Elector) { e.candidateDelay = delay }
}

// WithClock sets the clock that leases are measured with. It has to go on
// while the machine is suspended.
func WithClock(now func() time.Duration) Option {
	return func(e *Elector) { e.now = now }
}

// New returns an elector of an entry. lead is called in a goroutine of its own
// for each term and has to return soon after its context ends.
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
	}
	for _, opt := range opts {
		opt(e)
	}
	return e
}

// Depose ends the term because another entry leads.
func (t *Term) Depose() {
	t.cancel(ErrDeposed)
}

// Resign ends the term so that a better equipped entry can lead.
func (t *Term) Resign() {
	t.cancel(ErrStalled)
}

// ReportProgress tells that the leader gets on. Without it the term ends, so that an entry
// that is too slow to lead gives way.
func (t *Term) ReportProgress() {
	t.lastProgress.Store(int64(t.now()))
}

// MayExtend says whether the leader may still extend the leases of running
// work. It may so for some time after its own lease, because an outage of the
// service must not end running work; a successor counts on that time.
func (t *Term) MayExtend() bool {
	return t.now()-time.Duration(t.lastRenewal.Load()) < t.leaseTime+extensionAfterLease
}

// IsValid says whether the lease of the leadership certainly holds.
func (t *Term) IsValid() bool {
	return t.now()-time.Duration(t.lastRenewal.Load()) < t.leaseTime
}

// ExtensionLimit is the longest time after the start of a term for which the
// predecessor may have extended leases.
func ExtensionLimit() time.Duration {
	return extensionAfterLease
}

// Run takes part until ctx ends. A term that is held then is given back after
// lead has returned.
func (e *Elector) Run(ctx context.Context) error {
	follower := keeper.NewFollower(e.store, Key, keeper.OnReset(e.handleSnapshot), keeper.OnEvent(e.handleEvent), keeper.WithFollowerLog(e.log))
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		_ = follower.Run(ctx) // returns only the end of ctx
	}()
	defer func() { <-watched }()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-e.vacant:
		}
		if supervisor.Pause(ctx, e.candidateDelay(ctx)+rand.N(maxCandidateJitter)) != nil {
			return ctx.Err()
		}
		if err := e.holdTerm(ctx); err != nil {
			e.log.Warn("leadership not taken", "error", err)
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
			return
		}
	}
	e.signalVacancy()
}

func (e *Elector) handleEvent(ev keeper.Event) {
	if ev.Key == Key && ev.Deleted {
		e.signalVacancy()
	}
}

func (e *Elector) signalVacancy() {
	select {
	case e.vacant <- struct{}{}:
	default:
	}
}

// recheck looks whether there is a leader now, because no event may come.
func (e *Elector) checkForLeader(ctx context.Context) {
	r, err := e.store.Get(ctx, Key)
	if err != nil || r.Revision == 0 {
		e.signalVacancy()
	}
}

// serveTerm takes leadership and returns after the term.
func (e *Elector) holdTerm(ctx context.Context) error {
	requestedAt := e.now()
	id, err := e.store.Grant(ctx, e.leaseTime)
	if err != nil {
		return errors.Annotate(err, "granting a lease")
	}
	token, err := e.createLeaderRecord(ctx, id)
	if err != nil {
		e.revokeLease(ctx, id)
		return errors.Annotate(err, "taking leadership")
	}
	termCtx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	t := &Term{Token: token, leaseTime: e.leaseTime, now: e.now, cancel: cancel}
	t.lastRenewal.Store(int64(requestedAt))
	t.ReportProgress()
	e.log.Info("leadership taken", "token", token)
	done := make(chan struct{})
	go func() {
		defer close(done)
		e.runTerm(termCtx, t)
		cancel(ErrStalled) // without effect on a term that has ended for another reason
	}()
	e.keepLeaseAlive(termCtx, t, id)
	<-done
	e.log.Info("leadership ended", "token", token, "cause", context.Cause(termCtx).Error())
	e.revokeLease(ctx, id)
	if errors.Is(context.Cause(termCtx), ErrStalled) {
		_ = supervisor.Pause(ctx, pauseAfterStall) // others come first
	}
	return nil
}

// take creates the leader's record. After an unknown outcome it looks for its
// own identity in it.
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

// renew keeps the lease alive until the term ends.
func (e *Elector) keepLeaseAlive(ctx context.Context, t *Term, id keeper.LeaseID) {
	for {
		if supervisor.Pause(ctx, e.leaseTime/renewalsPerLease) != nil {
			return
		}
		sentAt := e.now()
		if sentAt-time.Duration(t.lastProgress.Load()) > maxTimeWithoutProgress {
			e.log.Warn("leader does not get on", "token", t.Token)
			t.cancel(ErrStalled)
			return
		}
		err := e.store.KeepAlive(ctx, id)
		switch {
		case err == nil:
			t.lastRenewal.Store(int64(sentAt))
		case errors.Is(err, keeper.ErrLeaseLost):
			e.log.Warn("lease of the leadership lost", "token", t.Token)
			t.Depose()
		case ctx.Err() != nil:
		default:
			e.log.Warn("leadership not renewed", "token", t.Token, "error", err)
		}
	}
}

// release gives a lease back, so that a successor need not wait for its end.
func (e *Elector) revokeLease(ctx context.Context, id keeper.LeaseID) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), revokeTimeout)
	defer cancel()
	if err := e.store.Revoke(ctx, id); err != nil {
		e.log.Warn("lease not given back, it will run out", "error", err)
	}
}
