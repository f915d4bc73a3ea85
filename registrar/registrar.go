package registrar

import (
	"context"
	"fmt"
	"log/slog"
	"strconv"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/juju/errors"
	"golang.org/x/sync/errgroup"

	"github.com/coltsfootlever/coltsfootlever/classifier"
	"github.com/coltsfootlever/coltsfootlever/keeper"
	"github.com/coltsfootlever/coltsfootlever/lister"
	"github.com/coltsfootlever/coltsfootlever/messenger"
)

const (
	// DefaultStaleness is the longest time for which a member acts on its
	// membership view without new proof that the view is the latest one.
	DefaultStaleness = 3 * time.Second
	// DefaultHeartbeat is the time between heartbeats to a peer.
	DefaultHeartbeat = 2 * time.Second
	// DefaultPoll is the time between reads of the membership record.
	DefaultPoll = time.Second
	// DefaultListLag is the longest time by which the platform's instance list
	// may be out of date.
	DefaultListLag = 10 * time.Second
	// DefaultListPoll is the time between reads of the instance list.
	DefaultListPoll = 2 * time.Second

	unprovedHeartbeat  = 500 * time.Millisecond // heartbeat interval while the view may soon be too old to act on
	callTimeout        = 2 * time.Second        // longest wait for one answer of the service, the platform or a peer
	maxConcurrentReads = 3                      // concurrent reads of the membership record
	nonceDigits        = 4                      // characters of the nonce that go into a member's identity
	maxMissedListReads = 3                      // missed reads after which the instance list is stale
	minRetryDelay      = 100 * time.Millisecond
	maxRetryDelay      = 2 * time.Second
)

const (
	// ErrRemoved reports that the member was removed from the membership, or
	// replaced by a newer process of the same instance.
	ErrRemoved = errors.ConstError("removed from the membership")
	// ErrUnregistered reports that the member is not registered yet.
	ErrUnregistered = errors.ConstError("not registered yet")
)

type (
	// Peers sends heartbeats.
	Peers interface {
		Heartbeat(ctx context.Context, address string, hb messenger.Heartbeat) (messenger.Heartbeat, error)
	}

	// InstanceLister reads the platform's instance list.
	InstanceLister interface {
		List(ctx context.Context) ([]lister.Listing, error)
	}

	// Registrar keeps one member registered and follows the membership.
	Registrar struct {
		store  keeper.SwapStore
		peers  Peers
		list   InstanceLister
		limits timeLimits
		cfg    settings
		log    *slog.Logger

		pollNow      chan struct{} // wakes the loop that reads the membership
		heartbeatNow chan struct{} // wakes the loop that sends heartbeats
		readSlots    chan struct{} // semaphore for concurrent calls of Refresh
		removed      chan struct{} // closed when this member is no longer registered
		adopting     chan struct{} // semaphore: one view is adopted at a time

		mu                 sync.Mutex
		self               Member // this process
		view               View
		provedAt           time.Time              // the view was the latest one at this time
		heartbeatsInFlight map[string]bool        // members that a heartbeat is being sent to
		contacts           map[string]peerContact // last answers, by member
		knownViews         map[string]uint64      // highest view number that each member is known to have
		confirmedAt        map[string]time.Time   // when a departure became known to all members, by departed member
		listedAt           time.Time              // start of the last successful read of the instance list
		absentSince        map[string]time.Time   // first read of the instance list that lacked the member's instance
		firstSeen          map[string]time.Time   // when the member was first seen in a view
		wasListed          bool                   // the instance list has contained this instance
		delisted           bool                   // the instance list contained this instance and no longer does
		leaving            bool                   // Leave has been called
		onView             []func(old, next View)
		onHeartbeat        []func(messenger.Heartbeat)
	}

	// Option sets an optional part of a Registrar.
	Option func(*Registrar)

	// settings are the optional parts that the With functions set.
	settings struct {
		heartbeat   time.Duration
		poll        time.Duration
		listPoll    time.Duration
		load        func() ([]messenger.PoolLoad, []messenger.TeamLoad)
		rules       func() uint64
		coordinator interface{ Held() bool }
		handOver    func(ctx context.Context, view uint64) error
		assert      func(ok bool, format string, args ...any)
	}
)

// WithStaleness sets the longest time for which a member acts without proof
// that its view is the latest one.
func WithStaleness(d time.Duration) Option {
	return func(r *Registrar) { r.limits.stale = d }
}

// WithHeartbeat sets the time between heartbeats to a peer.
func WithHeartbeat(d time.Duration) Option {
	return func(r *Registrar) { r.cfg.heartbeat = d }
}

// WithPoll sets the time between reads of the membership record.
func WithPoll(d time.Duration) Option {
	return func(r *Registrar) { r.cfg.poll = d }
}

// WithListTiming sets the time between reads of the instance list and the
// longest time by which the list may be out of date.
func WithListTiming(poll, lag time.Duration) Option {
	return func(r *Registrar) { r.cfg.listPoll, r.limits.lag = poll, lag }
}

// WithLoadSource sets the function that returns the loads of pools and teams
// for heartbeats. The loads of teams go only to the coordinator (see
// WithCoordinatorRole), in the replies to its heartbeats.
func WithLoadSource(fn func() ([]messenger.PoolLoad, []messenger.TeamLoad)) Option {
	return func(r *Registrar) { r.cfg.load = fn }
}

// WithRulesNumber sets the function that returns the version number of the
// rules in force, which heartbeats carry.
func WithRulesNumber(fn func() uint64) Option {
	return func(r *Registrar) { r.cfg.rules = fn }
}

// WithCoordinatorRole sets the source that tells whether this member is the
// coordinator. The coordinator removes members whose instance is lost, and
// peers send it the loads of teams. Without this option the registrar removes
// no other members.
func WithCoordinatorRole(role interface{ Held() bool }) Option {
	return func(r *Registrar) { r.cfg.coordinator = role }
}

// WithHandOver sets the function that Leave calls after the member became
// Leaving and before it deregisters. fn returns when the member's idempotency
// keys are handed over under the view with the given number.
func WithHandOver(fn func(ctx context.Context, view uint64) error) Option {
	return func(r *Registrar) { r.cfg.handOver = fn }
}

// WithAssert sets the function that receives the result of each check of an
// invariant.
func WithAssert(fn func(ok bool, format string, args ...any)) Option {
	return func(r *Registrar) { r.cfg.assert = fn }
}

// WithLog sets the logger.
func WithLog(log *slog.Logger) Option {
	return func(r *Registrar) { r.log = log }
}

// New returns a registrar for the member self. New sets the Nonce and the ID of
// self; the ID identifies this process also before it is registered.
// Registration sets Joined and State.
func New(store keeper.SwapStore, peers Peers, list InstanceLister, self Member, opts ...Option) *Registrar {
	self.Nonce = uuid.NewString()
	self.ID = self.Instance + "." + strconv.FormatInt(time.Now().UnixMicro(), 36) + self.Nonce[:nonceDigits]
	r := &Registrar{
		store:  store,
		peers:  peers,
		list:   list,
		self:   self,
		limits: timeLimits{stale: DefaultStaleness, lag: DefaultListLag},
		cfg: settings{
			heartbeat: DefaultHeartbeat,
			poll:      DefaultPoll,
			listPoll:  DefaultListPoll,
			handOver:  func(context.Context, uint64) error { return nil },
		},
		log:                slog.New(slog.DiscardHandler),
		pollNow:            make(chan struct{}, 1),
		heartbeatNow:       make(chan struct{}, 1),
		readSlots:          make(chan struct{}, maxConcurrentReads),
		removed:            make(chan struct{}),
		adopting:           make(chan struct{}, 1),
		heartbeatsInFlight: map[string]bool{},
		contacts:           map[string]peerContact{},
		knownViews:         map[string]uint64{},
		confirmedAt:        map[string]time.Time{},
		absentSince:        map[string]time.Time{},
		firstSeen:          map[string]time.Time{},
	}
	for _, opt := range opts {
		opt(r)
	}
	r.limits.listStale = maxMissedListReads * r.cfg.listPoll
	if r.cfg.assert == nil {
		r.cfg.assert = r.logBrokenInvariant
	}
	return r
}

// logBrokenInvariant is the default of WithAssert.
func (r *Registrar) logBrokenInvariant(ok bool, format string, args ...any) {
	if !ok {
		r.log.Error("invariant broken", "what", fmt.Sprintf(format, args...))
	}
}

// View returns the latest known view. Its Number is 0 before registration.
func (r *Registrar) View() View {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.view
}

// Self returns this process as a member. Its Joined is 0 before registration.
func (r *Registrar) Self() Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.self
}

// SubscribeViews registers fn, which is called with every change of view, one
// at a time and in order. fn must return soon and must not call Refresh or
// Leave. Call SubscribeViews before Run.
func (r *Registrar) SubscribeViews(fn func(old, next View)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.onView = append(r.onView, fn)
}

// SubscribeHeartbeats registers fn, which is called with every heartbeat
// received. Call SubscribeHeartbeats before Run.
func (r *Registrar) SubscribeHeartbeats(fn func(messenger.Heartbeat)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.onHeartbeat = append(r.onHeartbeat, fn)
}

// Connectivity returns whether this member may have missed a change, as judged
// at the time of the call.
func (r *Registrar) Connectivity() Connectivity {
	r.mu.Lock()
	defer r.mu.Unlock()
	return connectivityOf(r.collectObservations(time.Now()), r.limits)
}

// collectObservations collects the input of connectivityOf. The caller holds
// mu.
func (r *Registrar) collectObservations(now time.Time) observations {
	return observations{
		now:         now,
		self:        r.self.ID,
		view:        r.view,
		provedAt:    r.provedAt,
		contacts:    r.contacts,
		listedAt:    r.listedAt,
		absentSince: r.absentSince,
		delisted:    r.delisted,
	}
}

// CheckFreshness returns nil while the member may act on its view and rules,
// and otherwise a refusal with code classifier.Isolated.
func (r *Registrar) CheckFreshness() error {
	if r.Connectivity() != Isolated {
		return nil
	}
	return classifier.Refuse(classifier.Isolated, "entry %s may have missed a change; try another entry", r.Self().Instance)
}

// Announced reports whether every other registered member knows the view that
// added this member, or has lost its instance. Until then this member accepts
// no change of rules.
func (r *Registrar) Announced() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	o := r.collectObservations(time.Now())
	if _, ok := r.view.Member(r.self.ID); !ok {
		return false
	}
	for _, m := range r.view.Others(r.self.ID) {
		if !r.hasSeenView(m, r.self.Joined) && !o.isLost(m.ID, r.limits) {
			return false
		}
	}
	return true
}

// DepartureConfirmedAt returns the time, by the clock of this process, from
// which all registered members are known to have seen the departure. Once the
// staleness bound, which the caller must add, has also passed, the departed
// member can no longer start anything on a view in which it is still a member.
// DepartureConfirmedAt returns false while the departure is unknown or some
// registered member may not have seen it.
func (r *Registrar) DepartureConfirmedAt(id string) (time.Time, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	d, ok := r.view.Departure(id)
	if !ok {
		return time.Time{}, false
	}
	at, ok := r.confirmedAt[id]
	if !ok {
		return time.Time{}, false
	}
	if d.Since.After(at) {
		return d.Since, true
	}
	return at, true
}

// StalenessBound returns the longest time for which a member acts without proof
// that its view is the latest one.
func (r *Registrar) StalenessBound() time.Duration { return r.limits.stale }

// Run registers the member and keeps it registered until ctx ends or Leave has
// deregistered it. It returns ErrRemoved when another process removed the
// member; this process must then exit.
func (r *Registrar) Run(ctx context.Context) error {
	if err := r.registerMember(ctx); err != nil {
		return errors.Trace(err)
	}
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return r.pollLoop(ctx) })
	g.Go(func() error { return r.heartbeatLoop(ctx) })
	g.Go(func() error { return r.listLoop(ctx) })
	g.Go(func() error { return r.waitForRemoval(ctx) })
	err := g.Wait()
	if errors.Is(err, errStopped) {
		return nil
	}
	return errors.Trace(err)
}

// errStopped ends the loops after Leave has deregistered the member.
const errStopped = errors.ConstError("stopped")

// waitForRemoval waits until the member is no longer registered. It returns
// errStopped after a call of Leave, and otherwise ErrRemoved.
func (r *Registrar) waitForRemoval(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return nil
	case <-r.removed:
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.leaving {
		return errStopped
	}
	return errors.Annotatef(ErrRemoved, "member %s", r.self.ID)
}
