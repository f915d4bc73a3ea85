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
	settle = 5 * time.Second
	lag    = 4 * time.Second
)

type (
	// fleet is a set of members on a network in memory.
	fleet struct {
		t     *testing.T
		ctx   context.Context
		store *emulator.Store
		mu    sync.Mutex
		nodes map[string]*node // by address
		gone  map[string]bool  // instances off the list
	}

	node struct {
		*registrar.Registrar
		f      *fleet
		port   *emulator.Port
		deaf   bool // neither sends nor receives
		cancel context.CancelFunc
		done   chan error
		views  []uint64
	}

	duty bool
)

// id returns the identity of the process.
func (n *node) id() string { return n.Self().ID }

func (d duty) Held() bool { return bool(d) }

func (n *node) Heartbeat(ctx context.Context, address string, hb messenger.Heartbeat) (messenger.Heartbeat, error) {
	n.f.mu.Lock()
	to := n.f.nodes[address]
	cut := to == nil || n.deaf || to.deaf
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
		if id := n.Self().Instance; !f.gone[id] {
			listings = append(listings, lister.Listing{ID: id, Kind: lister.EntryKind})
		}
	}
	return listings, nil
}

func (f *fleet) start(instance, address string, opts ...registrar.Option) *node {
	n := &node{f: f, port: f.store.Caller(address), done: make(chan error, 1)}
	opts = append([]registrar.Option{
		registrar.WithList(time.Second, lag),
		registrar.WithAssert(func(ok bool, format string, args ...any) { require.True(f.t, ok, format, args) }),
	}, opts...)
	self := registrar.Member{Instance: instance, Address: address}
	n.Registrar = registrar.New(n.port, n, f, self, opts...)
	n.Subscribe(func(_, next registrar.View) { n.views = append(n.views, next.Number) })
	f.do(func() { f.nodes[address] = n })
	ctx, cancel := context.WithCancel(f.ctx)
	n.cancel = cancel
	go func() { n.done <- n.Run(ctx) }()
	synctest.Wait()
	return n
}

func (f *fleet) kill(n *node) {
	n.cancel()
	id := n.Self().Instance
	f.do(func() { n.deaf, f.gone[id] = true, true })
}

// do changes the network.
func (f *fleet) do(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
}

func inFleet(t *testing.T, fn func(t *testing.T, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := &fleet{t: t, ctx: ctx, store: emulator.NewStore(), nodes: map[string]*node{}, gone: map[string]bool{}}
		fn(t, f)
		cancel()
		synctest.Wait()
	})
}

func TestMembersSeeEachOther(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		a, b, c := f.start("a", "a:1"), f.start("b", "b:1"), f.start("c", "c:1")
		time.Sleep(settle)
		for _, n := range []*node{a, b, c} {
			require.Equal(t, []string{a.id(), b.id(), c.id()}, n.View().Active())
			require.Equal(t, registrar.Connected, n.Standing())
			require.True(t, n.Announced())
			require.IsIncreasing(t, append([]uint64{0}, n.views...))
		}
		require.True(t, strings.HasPrefix(c.id(), "c."))
		require.EqualValues(t, 3, c.Self().Joined)
	})
}

func TestNewerProcessSupersedes(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		old, b := f.start("a", "a:1"), f.start("b", "b:1")
		time.Sleep(settle)
		next := f.start("a", "a:2")
		err := <-old.done
		require.True(t, errors.Is(err, registrar.ErrRemoved))
		require.Equal(t, classifier.Isolated, classifier.As(old.Fresh()).Code)
		require.Equal(t, classifier.NotRun, classifier.VerdictOf(old.Fresh()))
		time.Sleep(settle)
		d, ok := next.View().Departure(old.id())
		require.True(t, ok)
		require.Equal(t, registrar.Superseded, d.Reason)
		_, ok = b.Evidence(old.id())
		require.True(t, ok)
		_, ok = b.Evidence(b.id())
		require.False(t, ok)
	})
}

func TestEvidenceWaitsForEveryMember(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		a, b, c := f.start("a", "a:1"), f.start("b", "b:1"), f.start("c", "c:1")
		time.Sleep(settle)
		f.do(func() { c.deaf = true })
		c.port.SetDown(true)
		require.NoError(t, b.Evict(t.Context(), a.id(), "operator"))
		time.Sleep(settle)
		_, ok := b.Evidence(a.id())
		require.False(t, ok, "c may still pass on the old view")
		f.do(func() { c.deaf = false })
		time.Sleep(settle)
		since, ok := b.Evidence(a.id())
		require.True(t, ok)
		require.WithinDuration(t, time.Now(), since, settle)
		require.Equal(t, registrar.Evicted, b.View().Departed[0].Reason)
		require.Equal(t, "operator", b.View().Departed[0].By)
	})
}

func TestLeaveWaitsForTheHandOver(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		handed := make(chan struct{})
		a := f.start("a", "a:1", registrar.WithHandOver(func(context.Context, uint64) error {
			<-handed
			return nil
		}))
		b := f.start("b", "b:1")
		time.Sleep(settle)
		left := make(chan error, 1)
		go func() { left <- a.Leave(t.Context()) }()
		time.Sleep(settle)
		m, ok := b.View().Member(a.id())
		require.True(t, ok)
		require.Equal(t, registrar.Leaving, m.State)
		require.Equal(t, []string{b.id()}, b.View().Active())
		f.start("c", "c:1") // the membership changes meanwhile
		close(handed)
		require.NoError(t, <-left)
		require.NoError(t, <-a.done)
		time.Sleep(settle)
		d, ok := b.View().Departure(a.id())
		require.True(t, ok)
		require.Equal(t, registrar.Left, d.Reason)
	})
}

func TestStandings(t *testing.T) {
	tests := []struct {
		name    string
		disturb func(f *fleet, a, b, c *node)
		want    registrar.Standing
	}{
		{"all well", func(*fleet, *node, *node, *node) {}, registrar.Connected},
		{"store lost by one", func(_ *fleet, a, _, _ *node) { a.port.SetDown(true) }, registrar.Connected},
		{"cut off", func(f *fleet, a, _, _ *node) {
			f.do(func() { a.deaf = true })
			a.port.SetDown(true)
		}, registrar.Isolated},
		{"store down", func(f *fleet, _, _, _ *node) { f.store.SetDown(true) }, registrar.Outage},
		{"store down, member silent", func(f *fleet, _, _, c *node) {
			f.do(func() { c.deaf = true })
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
			inFleet(t, func(t *testing.T, f *fleet) {
				a, b, c := f.start("a", "a:1"), f.start("b", "b:1"), f.start("c", "c:1")
				time.Sleep(settle)
				tt.disturb(f, a, b, c)
				time.Sleep(settle + lag)
				require.Equal(t, tt.want, a.Standing())
				require.Equal(t, tt.want == registrar.Isolated, a.Fresh() != nil)
			})
		})
	}
}

func TestOutageEndsWithoutGaps(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		a := f.start("a", "a:1")
		f.start("b", "b:1")
		f.start("c", "c:1")
		time.Sleep(settle)
		f.store.SetDown(true)
		isolated := time.Duration(0)
		for range 300 {
			time.Sleep(100 * time.Millisecond)
			if a.Standing() == registrar.Isolated {
				isolated += 100 * time.Millisecond
			}
		}
		require.LessOrEqual(t, isolated, time.Second, "a refuses only until all peers have noticed")
		f.store.SetDown(false)
		time.Sleep(settle)
		require.Equal(t, registrar.Connected, a.Standing())
	})
}

func TestStartDuringOutage(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		f.store.SetDown(true)
		a := f.start("a", "a:1")
		time.Sleep(settle)
		require.Equal(t, classifier.Isolated, classifier.As(a.Fresh()).Code)
		f.store.SetDown(false)
		time.Sleep(settle)
		require.NoError(t, a.Fresh())
	})
}

func TestLostAnswerRegistersOnce(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		f.store.Caller("a:1").LoseNextAnswers(1)
		a := f.start("a", "a:1")
		time.Sleep(settle)
		require.Equal(t, []string{a.id()}, a.View().Active())
		require.Empty(t, a.View().Departed)
	})
}

func TestGoneMembersAreRemoved(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		a := f.start("a", "a:1", registrar.WithDuty(duty(true)))
		b, c := f.start("b", "b:1"), f.start("c", "c:1")
		time.Sleep(settle)
		f.kill(b)
		time.Sleep(lag / 2)
		_, ok := c.View().Member(b.id())
		require.True(t, ok, "the list lags")
		time.Sleep(lag + settle)
		d, ok := c.View().Departure(b.id())
		require.True(t, ok)
		require.Equal(t, registrar.Gone, d.Reason)
		// A list without the reader's own instance is not relied on.
		f.do(func() { f.gone["a"], f.gone["c"] = true, true })
		time.Sleep(lag + settle)
		require.Equal(t, []string{a.id(), c.id()}, a.View().Active())
	})
}

// slowStore holds its answers back, as a paused process finds them late.
type slowStore struct {
	keeper.Swapper
	hold atomic.Pointer[chan struct{}]
}

func (s *slowStore) Get(ctx context.Context, k string) (keeper.Record, error) {
	r, err := s.Swapper.Get(ctx, k)
	if hold := s.hold.Load(); hold != nil {
		<-*hold
	}
	return r, err
}

func TestPausedMemberIsIsolatedWhenItWakes(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		store := &slowStore{Swapper: f.store}
		self := registrar.Member{Instance: "a", Address: "a:1"}
		a := registrar.New(store, &node{f: f}, f, self)
		ctx, cancel := context.WithCancel(f.ctx)
		done := make(chan error, 1)
		go func() { done <- a.Run(ctx) }()
		time.Sleep(settle)
		require.NoError(t, a.Fresh())
		hold := make(chan struct{})
		store.hold.Store(&hold)
		time.Sleep(registrar.DefaultStaleness + settle)
		close(hold)
		synctest.Wait()
		require.Error(t, a.Fresh(), "the answers that came late prove nothing")
		cancel()
		require.NoError(t, <-done)
	})
}

func TestLoadsOfTeamsGoToTheCoordinator(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		load := registrar.WithLoad(func() ([]messenger.PoolLoad, []messenger.TeamLoad) {
			return []messenger.PoolLoad{{Pool: "p"}}, []messenger.TeamLoad{{Team: "t"}}
		})
		pools, teams := map[string]int{}, map[string]int{}
		for _, id := range []string{"a", "b"} {
			n := f.start(id, id+":1", load, registrar.WithDuty(duty(id == "a")))
			n.OnHeartbeat(func(hb messenger.Heartbeat) {
				f.do(func() { pools[id], teams[id] = pools[id]+len(hb.Pools), teams[id]+len(hb.Teams) })
			})
		}
		time.Sleep(settle)
		f.do(func() {
			require.NotZero(t, pools["a"])
			require.NotZero(t, pools["b"])
			require.NotZero(t, teams["a"])
			require.Zero(t, teams["b"])
		})
	})
}

func TestViewsPassBetweenPeers(t *testing.T) {
	inFleet(t, func(t *testing.T, f *fleet) {
		a, b := f.start("a", "a:1"), f.start("b", "b:1")
		time.Sleep(settle)
		a.port.SetDown(true)
		f.start("c", "c:1")
		time.Sleep(settle)
		require.Equal(t, b.View(), a.View())
		require.Equal(t, registrar.Connected, a.Standing(), "b proves the view to a")
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
