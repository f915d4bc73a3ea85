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

	fastHeartbeat = 500 * time.Millisecond // while the service does not answer
	callTime      = 2 * time.Second        // longest wait for one answer
	maxReads      = 3                      // reads of the membership under way
	nonceDigits   = 4                      // of the nonce in an identity
	listReads     = 3                      // missed readings after which the list is stale
	minRetry      = 100 * time.Millisecond
	maxRetry      = 2 * time.Second
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

	// Lister reads the platform's instance list.
	Lister interface {
		List(ctx context.Context) ([]lister.Listing, error)
	}

	// Registrar keeps one member registered and follows the membership.
	Registrar struct {
		store  keeper.Swapper
		peers  Peers
		list   Lister
		limits limits
		cfg    settings
		log    *slog.Logger

		kickPoll chan struct{}
		kickBeat chan struct{}
		reads    chan struct{} // slots of reads under way
		removed  chan struct{} // closed when self is no longer registered
		turn     chan struct{} // one adoption at a time

		mu         sync.Mutex
		self       Member
		view       View
		proved     time.Time
		beating    map[string]bool // heartbeats under way
		heard      map[string]contact
		reached    map[string]uint64    // highest view that a member is known to have
		confirmed  map[string]time.Time // departures that all members know
		listed     time.Time
		absent     map[string]time.Time // first read of the list that lacked the member's instance
		firstSeen  map[string]time.Time // when the member was first seen in a view
		seenListed bool                 // the list has held the own instance
		delisted   bool                 // the list held the own instance and does not any more
		left       bool
		onView     []func(old, next View)
		onBeat     []func(messenger.Heartbeat)
	}

	// Option sets an optional part of a Registrar.
	Option func(*Registrar)

	settings struct {
		heartbeat time.Duration
		poll      time.Duration
		listPoll  time.Duration
		load      func() ([]messenger.PoolLoad, []messenger.TeamLoad)
		rules     func() uint64
		duty      interface{ Held() bool }
		handOver  func(ctx context.Context, view uint64) error
		assert    func(ok bool, format string, args ...any)
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

// WithList sets the time between reads of the instance list and its longest
// lag.
func WithList(poll, lag time.Duration) Option {
	return func(r *Registrar) { r.cfg.listPoll, r.limits.lag = poll, lag }
}

// WithLoad sets the source of the loads in heartbeats. The loads of teams go
// only to the member that holds the duty of WithDuty, in the replies to its
// heartbeats.
func WithLoad(fn func() ([]messenger.PoolLoad, []messenger.TeamLoad)) Option {
	return func(r *Registrar) { r.cfg.load = fn }
}

// WithRules sets the source of the number of rules in heartbeats.
func WithRules(fn func() uint64) Option {
	return func(r *Registrar) { r.cfg.rules = fn }
}

// WithDuty sets the coordinator's duty: the right to remove members whose
// instance is gone and to be told the loads of teams. Without it the registrar
// removes none.
func WithDuty(duty interface{ Held() bool }) Option {
	return func(r *Registrar) { r.cfg.duty = duty }
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
func New(store keeper.Swapper, peers Peers, list Lister, self Member, opts ...Option) *Registrar {
	self.Nonce = uuid.NewString()
	self.ID = self.Instance + "." + strconv.FormatInt(time.Now().UnixMicro(), 36) + self.Nonce[:nonceDigits]
	r := &Registrar{
		store:  store,
		peers:  peers,
		list:   list,
		self:   self,
		limits: limits{stale: DefaultStaleness, lag: DefaultListLag},
		cfg: settings{
			heartbeat: DefaultHeartbeat,
			poll:      DefaultPoll,
			listPoll:  DefaultListPoll,
			handOver:  func(context.Context, uint64) error { return nil },
		},
		log:       slog.New(slog.DiscardHandler),
		kickPoll:  make(chan struct{}, 1),
		kickBeat:  make(chan struct{}, 1),
		reads:     make(chan struct{}, maxReads),
		removed:   make(chan struct{}),
		turn:      make(chan struct{}, 1),
		beating:   map[string]bool{},
		heard:     map[string]contact{},
		reached:   map[string]uint64{},
		confirmed: map[string]time.Time{},
		absent:    map[string]time.Time{},
		firstSeen: map[string]time.Time{},
	}
	for _, opt := range opts {
		opt(r)
	}
	r.limits.listed = listReads * r.cfg.listPoll
	if r.cfg.assert == nil {
		r.cfg.assert = r.logAssert
	}
	return r
}

func (r *Registrar) logAssert(ok bool, format string, args ...any) {
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

// Subscribe has fn called with every change of view, one at a time and in
// order. fn must return soon and call neither Refresh nor Leave. Subscribe is
// called before Run.
func (r *Registrar) Subscribe(fn func(old, next View)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.onView = append(r.onView, fn)
}

// OnHeartbeat has fn called with every heartbeat received. It is called before
// Run.
func (r *Registrar) OnHeartbeat(fn func(messenger.Heartbeat)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.onBeat = append(r.onBeat, fn)
}

// Standing judges now whether the member may have missed a change.
func (r *Registrar) Standing() Standing {
	r.mu.Lock()
	defer r.mu.Unlock()
	return judge(r.facts(time.Now()), r.limits)
}

// facts returns what a standing is judged on. The caller holds mu.
func (r *Registrar) facts(now time.Time) facts {
	return facts{
		now:      now,
		self:     r.self.ID,
		view:     r.view,
		proved:   r.proved,
		heard:    r.heard,
		listed:   r.listed,
		absent:   r.absent,
		delisted: r.delisted,
	}
}

// Fresh returns nil while the member may act on its view and rules, or a
// refusal with classifier.Isolated.
func (r *Registrar) Fresh() error {
	if r.Standing() != Isolated {
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
	f := r.facts(time.Now())
	if _, ok := r.view.Member(r.self.ID); !ok {
		return false
	}
	for _, m := range r.view.Others(r.self.ID) {
		if !r.knows(m, r.self.Joined) && !f.countedOut(m.ID, r.limits) {
			return false
		}
	}
	return true
}

// Evidence returns the time since which the departed member cannot start
// anything on a view that lacks its departure, by the clock of this process,
// plus the staleness bound that the caller must add. It reports false while
// the departure is unknown or some registered member may not know it.
func (r *Registrar) Evidence(id string) (time.Time, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	d, ok := r.view.Departure(id)
	if !ok {
		return time.Time{}, false
	}
	at, ok := r.confirmed[id]
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
	g.Go(func() error { return r.beatLoop(ctx) })
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
	if r.left {
		return errStopped
	}
	return errors.Annotatef(ErrRemoved, "member %s", r.self.ID)
}
