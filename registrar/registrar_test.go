package registrar_test

import (
	"context"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/classifier"
	"github.com/coltsfootlever/coltsfootlever/emulator"
	"github.com/coltsfootlever/coltsfootlever/keeper"
	"github.com/coltsfootlever/coltsfootlever/lister"
	"github.com/coltsfootlever/coltsfootlever/messenger"
	"github.com/coltsfootlever/coltsfootlever/registrar"
)

const (
	settleTime = 5 * time.Second // long enough for all members to learn of a change
	lag        = 4 * time.Second // longest time by which the instance list may be out of date
)

type (
	// fleet is a set of members that share an in-memory network and key-value
	// service.
	fleet struct {
		t        *testing.T
		ctx      context.Context
		store    *emulator.Store
		mu       sync.Mutex
		nodes    map[string]*node // by address
		unlisted map[string]bool  // instances that the instance list lacks
	}

	// node is one member of a fleet.
	node struct {
		*registrar.Registrar
		f           *fleet
		storeClient *emulator.StoreClient
		isolated    bool // neither sends nor receives heartbeats
		cancel      context.CancelFunc
		done        chan error // receives what Run returned
		views       []uint64   // numbers of the views adopted, in order
	}

	// coordinatorRole is true for a member that is the coordinator.
	coordinatorRole bool
)

func (n *node) id() string { return n.Self().ID }

func (d coordinatorRole) Held() bool { return bool(d) }

func (n *node) Heartbeat(ctx context.Context, address string, hb messenger.Heartbeat) (messenger.Heartbeat, error) {
	n.f.mu.Lock()
	to := n.f.nodes[address]
	cut := to == nil || n.isolated || to.isolated
	n.f.mu.Unlock()
	if cut {
		return messenger.Heartbeat{}, classifier.Refuse(classifier.PeerLost, "cut")
	}
	return to.HandleHeartbeat(ctx, hb)
}

func (f *fleet) List(context.Context) ([]lister.Listing, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var listings []lister.Listing
	for _, n := range f.nodes {
		if id := n.Self().Instance; !f.unlisted[id] {
			listings = append(listings, lister.Listing{ID: id, Kind: lister.EntryKind})
		}
	}
	return listings, nil
}

// start registers a member and runs it until the test ends.
func (f *fleet) start(instance, address string, opts ...registrar.Option) *node {
	n := &node{f: f, storeClient: f.store.ClientFor(address), done: make(chan error, 1)}
	opts = append([]registrar.Option{
		registrar.WithListTiming(time.Second, lag),
		registrar.WithAssert(func(ok bool, format string, args ...any) { require.True(f.t, ok, format, args) }),
	}, opts...)
	self := registrar.Member{Instance: instance, Address: address}
	n.Registrar = registrar.New(n.storeClient, n, f, self, opts...)
	n.SubscribeViews(func(_, next registrar.View) { n.views = append(n.views, next.Number) })
	f.changeNetwork(func() { f.nodes[address] = n })
	ctx, cancel := context.WithCancel(f.ctx)
	n.cancel = cancel
	go func() { n.done <- n.Run(ctx) }()
	synctest.Wait()
	return n
}

// kill ends the member's process without deregistering it, and its instance.
func (f *fleet) kill(n *node) {
	n.cancel()
	id := n.Self().Instance
	f.changeNetwork(func() { n.isolated, f.unlisted[id] = true, true })
}

// changeNetwork applies a change to the state of the network under its lock.
func (f *fleet) changeNetwork(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

// runInFleet runs fn with virtual time and an empty fleet.
func runInFleet(t *testing.T, fn func(t *testing.T, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := &fleet{t: t, ctx: ctx, store: emulator.NewStore(), nodes: map[string]*node{}, unlisted: map[string]bool{}}
		fn(t, f)
		cancel()
		synctest.Wait()
	})
}

func TestMembersSeeEachOther(t *testing.T) {
	runInFleet(t, func(t *testing.T, f *fleet) {
		a, b, c := f.start("a", "a:1"), f.start("b", "b:1"), f.start("c", "c:1")
		time.Sleep(settleTime)
		for _, n := range []*node{a, b, c} {
			require.Equal(t, []string{a.id(), b.id(), c.id()}, n.View().Active())
			require.Equal(t, registrar.Connected, n.Connectivity())
			require.True(t, n.Announced())
			require.IsIncreasing(t, append([]uint64{0}, n.views...))
		}
		require.True(t, strings.HasPrefix(c.id(), "c."))
		require.EqualValues(t, 3, c.Self().Joined)
	})
}

func TestNewerProcessSupersedesTheOlderOne(t *testing.T) {
	runInFleet(t, func(t *testing.T, f *fleet) {
		old, b := f.start("a", "a:1"), f.start("b", "b:1")
		time.Sleep(settleTime)
		next := f.start("a", "a:2")
		err := <-old.done
		require.True(t, errors.Is(err, registrar.ErrRemoved))
		require.Equal(t, classifier.Isolated, classifier.As(old.CheckFreshness()).Code)
		require.Equal(t, classifier.NotRun, classifier.VerdictOf(old.CheckFreshness()))
		time.Sleep(settleTime)
		d, ok := next.View().Departure(old.id())
		require.True(t, ok)
		require.Equal(t, registrar.Superseded, d.Reason)
		_, ok = b.DepartureConfirmedAt(old.id())
		require.True(t, ok)
		_, ok = b.DepartureConfirmedAt(b.id())
		require.False(t, ok)
	})
}

func TestDepartureIsConfirmedByEveryMember(t *testing.T) {
	runInFleet(t, func(t *testing.T, f *fleet) {
		a, b, c := f.start("a", "a:1"), f.start("b", "b:1"), f.start("c", "c:1")
		time.Sleep(settleTime)
		f.changeNetwork(func() { c.isolated = true })
		c.storeClient.SetDown(true)
		require.NoError(t, b.Evict(t.Context(), a.id(), "operator"))
		time.Sleep(settleTime)
		_, ok := b.DepartureConfirmedAt(a.id())
		require.False(t, ok, "c does not know of the departure yet")
		f.changeNetwork(func() { c.isolated = false })
		time.Sleep(settleTime)
		since, ok := b.DepartureConfirmedAt(a.id())
		require.True(t, ok)
		require.WithinDuration(t, time.Now(), since, settleTime)
		require.Equal(t, registrar.Evicted, b.View().Departed[0].Reason)
		require.Equal(t, "operator", b.View().Departed[0].By)
	})
}

func TestLeaveWaitsForTheHandOver(t *testing.T) {
	runInFleet(t, func(t *testing.T, f *fleet) {
		handed := make(chan struct{})
		a := f.start("a", "a:1", registrar.WithHandOver(func(context.Context, uint64) error {
			<-handed
			return nil
		}))
		b := f.start("b", "b:1")
		time.Sleep(settleTime)
		left := make(chan error, 1)
		go func() { left <- a.Leave(t.Context()) }()
		time.Sleep(settleTime)
		m, ok := b.View().Member(a.id())
		require.True(t, ok)
		require.Equal(t, registrar.Leaving, m.State)
		require.Equal(t, []string{b.id()}, b.View().Active())
		f.start("c", "c:1") // the membership changes meanwhile
		close(handed)
		require.NoError(t, <-left)
		require.NoError(t, <-a.done)
		time.Sleep(settleTime)
		d, ok := b.View().Departure(a.id())
		require.True(t, ok)
		require.Equal(t, registrar.Left, d.Reason)
	})
}

func TestConnectivity(t *testing.T) {
	tests := []struct {
		name        string
		injectFault func(f *fleet, a, b, c *node)
		want        registrar.Connectivity
	}{
		{"all well", func(*fleet, *node, *node, *node) {}, registrar.Connected},
		{"store lost by one", func(_ *fleet, a, _, _ *node) { a.storeClient.SetDown(true) }, registrar.Connected},
		{"cut off", func(f *fleet, a, _, _ *node) {
			f.changeNetwork(func() { a.isolated = true })
			a.storeClient.SetDown(true)
		}, registrar.Isolated},
		{"store down", func(f *fleet, _, _, _ *node) { f.store.SetDown(true) }, registrar.Outage},
		{"store down, member silent", func(f *fleet, _, _, c *node) {
			f.changeNetwork(func() { c.isolated = true })
			f.store.SetDown(true)
		}, registrar.Isolated},
		{"store down, member dead", func(f *fleet, _, _, c *node) {
			f.store.SetDown(true)
			f.kill(c)
		}, registrar.Outage},
		{"store down, all others dead", func(f *fleet, _, b, c *node) {
			f.store.SetDown(true)
			f.kill(b)
			f.kill(c)
		}, registrar.Isolated},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			runInFleet(t, func(t *testing.T, f *fleet) {
				a, b, c := f.start("a", "a:1"), f.start("b", "b:1"), f.start("c", "c:1")
				time.Sleep(settleTime)
				tt.injectFault(f, a, b, c)
				time.Sleep(settleTime + lag)
				require.Equal(t, tt.want, a.Connectivity())
				require.Equal(t, tt.want == registrar.Isolated, a.CheckFreshness() != nil)
			})
		})
	}
}

func TestMemberIsIsolatedBrieflyWhenAnOutageBegins(t *testing.T) {
	runInFleet(t, func(t *testing.T, f *fleet) {
		a := f.start("a", "a:1")
		f.start("b", "b:1")
		f.start("c", "c:1")
		time.Sleep(settleTime)
		f.store.SetDown(true)
		isolated := time.Duration(0)
		for range 300 {
			time.Sleep(100 * time.Millisecond)
			if a.Connectivity() == registrar.Isolated {
				isolated += 100 * time.Millisecond
			}
		}
		require.LessOrEqual(t, isolated, time.Second, "a is isolated only until all peers report the outage")
		f.store.SetDown(false)
		time.Sleep(settleTime)
		require.Equal(t, registrar.Connected, a.Connectivity())
	})
}

func TestStartDuringOutage(t *testing.T) {
	runInFleet(t, func(t *testing.T, f *fleet) {
		f.store.SetDown(true)
		a := f.start("a", "a:1")
		time.Sleep(settleTime)
		require.Equal(t, classifier.Isolated, classifier.As(a.CheckFreshness()).Code)
		f.store.SetDown(false)
		time.Sleep(settleTime)
		require.NoError(t, a.CheckFreshness())
	})
}

func TestLostAnswerRegistersOnce(t *testing.T) {
	runInFleet(t, func(t *testing.T, f *fleet) {
		f.store.ClientFor("a:1").LoseNextWriteResponses(1)
		a := f.start("a", "a:1")
		time.Sleep(settleTime)
		require.Equal(t, []string{a.id()}, a.View().Active())
		require.Empty(t, a.View().Departed)
	})
}

func TestMembersOfLostInstancesAreRemoved(t *testing.T) {
	runInFleet(t, func(t *testing.T, f *fleet) {
		a := f.start("a", "a:1", registrar.WithCoordinatorRole(coordinatorRole(true)))
		b, c := f.start("b", "b:1"), f.start("c", "c:1")
		time.Sleep(settleTime)
		f.kill(b)
		time.Sleep(lag / 2)
		_, ok := c.View().Member(b.id())
		require.True(t, ok, "the list lags")
		time.Sleep(lag + settleTime)
		d, ok := c.View().Departure(b.id())
		require.True(t, ok)
		require.Equal(t, registrar.Gone, d.Reason)
		// A list without the reader's own instance is not trusted.
		f.changeNetwork(func() { f.unlisted["a"], f.unlisted["c"] = true, true })
		time.Sleep(lag + settleTime)
		require.Equal(t, []string{a.id(), c.id()}, a.View().Active())
	})
}

// blockingStore delays its answers while blocked is set, as a process that was
// paused receives them late.
type blockingStore struct {
	keeper.SwapStore
	blocked atomic.Pointer[chan struct{}] // closed to release the answers
}

func (s *blockingStore) Get(ctx context.Context, k string) (keeper.Record, error) {
	r, err := s.SwapStore.Get(ctx, k)
	if release := s.blocked.Load(); release != nil {
		<-*release
	}
	return r, err
}

func TestPausedMemberIsIsolatedWhenItResumes(t *testing.T) {
	runInFleet(t, func(t *testing.T, f *fleet) {
		store := &blockingStore{SwapStore: f.store}
		self := registrar.Member{Instance: "a", Address: "a:1"}
		a := registrar.New(store, &node{f: f}, f, self)
		ctx, cancel := context.WithCancel(f.ctx)
		done := make(chan error, 1)
		go func() { done <- a.Run(ctx) }()
		time.Sleep(settleTime)
		require.NoError(t, a.CheckFreshness())
		release := make(chan struct{})
		store.blocked.Store(&release)
		time.Sleep(registrar.DefaultStaleness + settleTime)
		close(release)
		synctest.Wait()
		require.Error(t, a.CheckFreshness(), "late answers do not prove that the view is the latest one now")
		cancel()
		require.NoError(t, <-done)
	})
}

func TestLoadsOfTeamsGoToTheCoordinator(t *testing.T) {
	runInFleet(t, func(t *testing.T, f *fleet) {
		load := registrar.WithLoadSource(func() ([]messenger.PoolLoad, []messenger.TeamLoad) {
			return []messenger.PoolLoad{{Pool: "p"}}, []messenger.TeamLoad{{Team: "t"}}
		})
		pools, teams := map[string]int{}, map[string]int{}
		for _, id := range []string{"a", "b"} {
			n := f.start(id, id+":1", load, registrar.WithCoordinatorRole(coordinatorRole(id == "a")))
			n.SubscribeHeartbeats(func(hb messenger.Heartbeat) {
				f.changeNetwork(func() { pools[id], teams[id] = pools[id]+len(hb.Pools), teams[id]+len(hb.Teams) })
			})
		}
		time.Sleep(settleTime)
		f.changeNetwork(func() {
			require.NotZero(t, pools["a"])
			require.NotZero(t, pools["b"])
			require.NotZero(t, teams["a"])
			require.Zero(t, teams["b"])
		})
	})
}

func TestPeersForwardMembershipViews(t *testing.T) {
	runInFleet(t, func(t *testing.T, f *fleet) {
		a, b := f.start("a", "a:1"), f.start("b", "b:1")
		time.Sleep(settleTime)
		a.storeClient.SetDown(true)
		f.start("c", "c:1")
		time.Sleep(settleTime)
		require.Equal(t, b.View(), a.View())
		require.Equal(t, registrar.Connected, a.Connectivity(), "b confirms to a that the view is the latest one")
	})
}

func FuzzDecodeView(f *testing.F) {
	raw, err := registrar.EncodeView(registrar.View{
		Number:  2,
		Members: []registrar.Member{{ID: "a.1", Instance: "a", State: registrar.Active, Joined: 1}},
	})
	require.NoError(f, err)
	f.Add(raw)
	f.Add([]byte(`{"number":1,"members":[{"id":""}]}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		v, err := registrar.DecodeView(raw)
		if err != nil {
			require.True(t, errors.Is(err, registrar.ErrMalformedView))
			return
		}
		again, err := registrar.EncodeView(v)
		require.NoError(t, err)
		w, err := registrar.DecodeView(again)
		require.NoError(t, err)
		require.Equal(t, v.Number, w.Number)
		require.Equal(t, v.Active(), w.Active())
	})
}
