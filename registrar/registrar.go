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
	// DefaultStaleness is the longest time for which a member acts on a view
	// without a new proof that it is the latest one.
	DefaultStaleness = 3 * time.Second
	// DefaultHeartbeat is the time between heartbeats to a peer.
	DefaultHeartbeat = 2 * time.Second
	// DefaultPoll is the time between reads of the membership.
	DefaultPoll = time.Second
	// DefaultListLag is the longest lag of the platform's instance list.
	DefaultListLag = 10 * time.Second
	// DefaultListPoll is the time between reads of the instance list.
	DefaultListPoll = 2 * time.Second

	unprovedHeartbeat  = 500 * time.Millisecond // while the service does not answer
	callTimeout        = 2 * time.Second        // longest wait for one answer
	maxConcurrentReads = 3                      // reads of the membership under way
	nonceDigits        = 4                      // of the nonce in an identity
	maxMissedListReads = 3                      // missed readings after which the list is stale
	minRetryDelay      = 100 * time.Millisecond
	maxRetryDelay      = 2 * time.Second
)

const (
	// ErrRemoved reports that the member has been removed or superseded.
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
		store  keeper.Swapper
		peers  Peers
		list   InstanceLister
		limits timeLimits
		cfg    settings
		log    *slog.Logger

		pollNow      chan struct{}
		heartbeatNow chan struct{}
		readSlots    chan struct{} // slots of reads under way
		removed      chan struct{} // closed when self is no longer registered
		adopting     chan struct{} // one adoption at a time

		mu           sync.Mutex
		self         Member
		view         View
		provedAt     time.Time
		heartbeating map[string]bool // heartbeats under way
		contacts     map[string]peerContact
		knownViews   map[string]uint64    // highest view that a member is known to have
		confirmedAt  map[string]time.Time // departures that all members know
		listedAt     time.Time
		absentSince  map[string]time.Time // first read of the list that lacked the member's instance
		firstSeen    map[string]time.Time // when the member was first seen in a view
		wasListed    bool                 // the list has held the own instance
		delisted     bool                 // the list held the own instance and does not any more
		leaving      bool
		onView       []func(old, next View)
		onHeartbeat  []func(messenger.Heartbeat)
	}

	// Option sets an optional part of a Registrar.
	Option func(*Registrar)

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

// WithPoll sets the time between reads of the membership.
func WithPoll(d time.Duration) Option {
	return func(r *Registrar) { r.cfg.poll = d }
}

// WithListTiming sets the time between reads of the instance list and its longest
// lag.
func WithListTiming(poll, lag time.Duration) Option {
	return func(r *Registrar) { r.cfg.listPoll, r.limits.lag = poll, lag }
}

// WithLoadSource sets the source of the loads in heartbeats. The loads of teams go
// only to the member that holds the duty of WithDuty, in the replies to its
// heartbeats.
func WithLoadSource(fn func() ([]messenger.PoolLoad, []messenger.TeamLoad)) Option {
	return func(r *Registrar) { r.cfg.load = fn }
}

// WithRulesNumber sets the source of the number of rules in heartbeats.
func WithRulesNumber(fn func() uint64) Option {
	return func(r *Registrar) { r.cfg.rules = fn }
}

// WithCoordinatorRole sets the coordinator's duty: the right to remove members whose
// instance is gone and to be told the loads of teams. Without it the registrar
// removes none.
func WithCoordinatorRole(duty interface{ Held() bool }) Option {
	return func(r *Registrar) { r.cfg.coordinator = duty }
}

// WithHandOver sets what Leave waits for between becoming Leaving and
// deregistering: the return of fn for the view in which the member is Leaving.
func WithHandOver(fn func(ctx context.Context, view uint64) error) Option {
	return func(r *Registrar) { r.cfg.handOver = fn }
}

// WithAssert sets the check of invariants.
func WithAssert(fn func(ok bool, format string, args ...any)) Option {
	return func(r *Registrar) { r.cfg.assert = fn }
}

// WithLog sets the log.
func WithLog(log *slog.Logger) Option {
	return func(r *Registrar) { r.log = log }
}

// New returns a registrar for self, whose ID, Joined, State and Nonce it sets
// itself. The ID is that of the process, whether it is registered yet or not.
func New(store keeper.Swapper, peers Peers, list InstanceLister, self Member, opts ...Option) *Registrar {
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
		log:          slog.New(slog.DiscardHandler),
		pollNow:      make(chan struct{}, 1),
		heartbeatNow: make(chan struct{}, 1),
		readSlots:    make(chan struct{}, maxConcurrentReads),
		removed:      make(chan struct{}),
		adopting:     make(chan struct{}, 1),
		heartbeating: map[string]bool{},
		contacts:     map[string]peerContact{},
		knownViews:   map[string]uint64{},
		confirmedAt:  map[string]time.Time{},
		absentSince:  map[string]time.Time{},
		firstSeen:    map[string]time.Time{},
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

func (r *Registrar) logBrokenInvariant(ok bool, format string, args ...any) {
	if !ok {
		r.log.Error("invariant broken", "what", fmt.Sprintf(format, args...))
	}
}

// View returns the latest view known. Its Number is 0 before registration.
func (r *Registrar) View() View {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.view
}

// Self returns the member that the registrar keeps. Its Joined is 0 before
// registration.
func (r *Registrar) Self() Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.self
}

// SubscribeViews has fn called with every change of view, one at a time and in
// order. fn must return soon and call neither Refresh nor Leave. SubscribeViews is
// called before Run.
func (r *Registrar) SubscribeViews(fn func(old, next View)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.onView = append(r.onView, fn)
}

// SubscribeHeartbeats has fn called with every heartbeat received. It is called before
// Run.
func (r *Registrar) SubscribeHeartbeats(fn func(messenger.Heartbeat)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.onHeartbeat = append(r.onHeartbeat, fn)
}

// Standing judges now whether the member may have missed a change.
func (r *Registrar) Connectivity() Connectivity {
	r.mu.Lock()
	defer r.mu.Unlock()
	return connectivityOf(r.observe(time.Now()), r.limits)
}

// observe returns what a standing is judged on. The caller holds mu.
func (r *Registrar) observe(now time.Time) observations {
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

// Fresh returns nil while the member may act on its view and rules, or a
// refusal with classifier.Isolated.
func (r *Registrar) CheckFreshness() error {
	if r.Connectivity() != Isolated {
		return nil
	}
	return classifier.Refuse(classifier.Isolated, "entry %s may have missed a change; try another entry", r.Self().Instance)
}

// Announced reports whether every other registered member knows the view that
// added this one, or is missing from the instance list. Until then the member
// accepts no change of rules.
func (r *Registrar) Announced() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	o := r.observe(time.Now())
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

// DepartureConfirmedAt returns the time since which the departed member cannot start
// anything on a view that lacks its departure, by the clock of this process,
// plus the staleness bound that the caller must add. It reports false while
// the departure is unknown or some registered member may not know it.
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

// Staleness returns the longest time for which a member acts without proof
// that its view is the latest one.
func (r *Registrar) Staleness() time.Duration { return r.limits.stale }

// Run registers the member and keeps it registered until ctx ends or Leave has
// deregistered it. It returns ErrRemoved when the member has been removed by
// others: the process must then exit.
func (r *Registrar) Run(ctx context.Context) error {
	if err := r.register(ctx); err != nil {
		return errors.Trace(err)
	}
	g, ctx := errgroup.WithContext(ctx)
	g.Go(func() error { return r.pollLoop(ctx) })
	g.Go(func() error { return r.heartbeatLoop(ctx) })
	g.Go(func() error { return r.listLoop(ctx) })
	g.Go(func() error { return r.watchRemoval(ctx) })
	err := g.Wait()
	if errors.Is(err, errStopped) {
		return nil
	}
	return errors.Trace(err)
}

// errStopped ends the loops after a planned deregistration.
const errStopped = errors.ConstError("stopped")

func (r *Registrar) watchRemoval(ctx context.Context) error {
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
