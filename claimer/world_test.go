package claimer_test

import (
	"context"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/coltsfootlever/coltsfootlever/claimer"
	"github.com/coltsfootlever/coltsfootlever/classifier"
	"github.com/coltsfootlever/coltsfootlever/emulator"
	"github.com/coltsfootlever/coltsfootlever/keeper"
	"github.com/coltsfootlever/coltsfootlever/lister"
	"github.com/coltsfootlever/coltsfootlever/messenger"
	"github.com/coltsfootlever/coltsfootlever/registrar"
)

const (
	listLag  = 4 * time.Second
	wireTime = time.Millisecond
)

type (
	// world is a set of members on a faulty network, with a checker of grants.
	world struct {
		ctx   context.Context
		store *emulator.Store
		opts  []claimer.Option
		wg    sync.WaitGroup

		mu     sync.Mutex
		rnd    *rand.Rand
		nodes  []*node
		cuts   map[[2]string]bool
		loss   float64         // share of messages lost, half of them after delivery
		slow   float64         // share of messages delayed by seconds
		dead   map[string]bool // instances off the list
		names  []string
		holder map[string]string // task that may have run, by name
		grants int
		faults []string
		trace  []string // what happened, to explain a fault
	}

	// node is one process of an entry.
	node struct {
		w        *world
		instance string
		address  string
		port     *emulator.Port
		members  *registrar.Registrar
		claims   *claimer.Claimer
		cancel   context.CancelFunc
		stopped  bool
		wake     chan struct{} // closed while the process is not paused
	}

	held bool
)

func (h held) Held() bool { return bool(h) }

func newWorld(ctx context.Context, seed uint64, names int, opts ...claimer.Option) *world {
	return &world{
		ctx:    ctx,
		store:  emulator.NewStore(),
		opts:   opts,
		rnd:    rand.New(rand.NewPCG(seed, 1)),
		cuts:   map[[2]string]bool{},
		dead:   map[string]bool{},
		names:  make([]string, names),
		holder: map[string]string{},
	}
}

func (w *world) fail(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = append(w.faults, fmt.Sprintf(format, args...))
}

// takeFaults returns and forgets the faults found.
func (w *world) takeFaults() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	faults := w.faults
	w.faults = nil
	return faults
}

func (w *world) assert(ok bool, format string, args ...any) {
	if !ok {
		w.fail(format, args...)
	}
}

// note adds a line to the trace.
func (w *world) note(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.trace = append(w.trace, time.Now().Format("04:05.000 ")+fmt.Sprintf(format, args...))
}

// start runs a process on the instance. Earlier processes of it go on.
func (w *world) start(instance string) *node {
	n := &node{
		w:        w,
		instance: instance,
		address:  fmt.Sprintf("%s#%d", instance, len(w.nodes)),
		wake:     make(chan struct{}),
	}
	close(n.wake)
	n.port = w.store.Caller(n.address)
	self := registrar.Member{Instance: instance, Address: n.address}
	n.members = registrar.New(n, n, w, self,
		registrar.WithDuty(held(true)),
		registrar.WithList(time.Second, listLag),
		registrar.WithAssert(w.assert),
		registrar.WithHandOver(func(ctx context.Context, view uint64) error { return n.claims.HandedOver(ctx, view) }),
	)
	n.claims = claimer.New(n.members, n, append([]claimer.Option{claimer.WithAssert(w.assert)}, w.opts...)...)
	n.members.Subscribe(n.claims.OnView)
	n.members.Subscribe(func(_, next registrar.View) {
		w.note("%s adopts view %d: members %v, departed %v", n.address, next.Number, next.Active(), next.Departed)
	})
	ctx, cancel := context.WithCancel(w.ctx)
	n.cancel = cancel
	w.mu.Lock()
	w.nodes = append(w.nodes, n)
	w.mu.Unlock()
	w.wg.Go(func() {
		_ = n.members.Run(ctx)
		cancel() // a member that was removed exits
	})
	w.wg.Go(func() { _ = n.claims.Run(ctx) })
	return n
}

// kill ends all processes of an instance without notice and takes it off the
// list.
func (w *world) kill(instance string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, n := range w.nodes {
		if n.instance == instance {
			n.cancel()
			n.stopped = true
		}
	}
	w.dead[instance] = true
}

// List implements registrar.Lister.
func (w *world) List(context.Context) ([]lister.Listing, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var listings []lister.Listing
	for _, n := range w.nodes {
		if !w.dead[n.instance] {
			listings = append(listings, lister.Listing{ID: n.instance, Kind: lister.EntryKind})
		}
	}
	return listings, nil
}

// cut cuts or restores the network between two processes.
func (w *world) cut(a, b *node, cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.cuts[[2]string{a.address, b.address}] = cut
	w.cuts[[2]string{b.address, a.address}] = cut
}

// isolate cuts the process off from the store and from all others.
func (w *world) isolate(n *node, cut bool) {
	n.port.SetDown(cut)
	for _, m := range w.nodes {
		if m != n {
			w.cut(n, m, cut)
		}
	}
}

// setFaults sets the shares of messages that are lost and delayed.
func (w *world) setFaults(loss, slow float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.loss, w.slow = loss, slow
}

// drawFaults draws what happens to one message.
func (w *world) drawFaults() (delay time.Duration, lost, unheard bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delay = wireTime
	if w.rnd.Float64() < w.slow {
		delay = time.Duration(w.rnd.IntN(5000)) * time.Millisecond
	}
	return delay, w.rnd.Float64() < w.loss/2, w.rnd.Float64() < w.loss/2
}

func (w *world) find(address string) *node {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, n := range w.nodes {
		if n.address == address {
			return n
		}
	}
	return nil
}

// pause stops what the process sends and receives until resume.
func (n *node) pause() {
	n.w.mu.Lock()
	defer n.w.mu.Unlock()
	n.wake = make(chan struct{})
}

// ended reports whether the process was killed.
func (n *node) ended() bool {
	n.w.mu.Lock()
	defer n.w.mu.Unlock()
	return n.stopped
}

func (n *node) resume() {
	n.w.mu.Lock()
	defer n.w.mu.Unlock()
	select {
	case <-n.wake:
	default:
		close(n.wake)
	}
}

// awake waits while the process is paused. It reports false at the world's end.
func (n *node) awake() bool {
	n.w.mu.Lock()
	wake := n.wake
	n.w.mu.Unlock()
	select {
	case <-wake:
		return true
	case <-n.w.ctx.Done():
		return false
	}
}

// deliver carries a call from n to the address: it loses, delays and cuts. A
// message under way is delivered even when its sender has given up.
func deliver[A any](ctx context.Context, n *node, address string, call func(ctx context.Context, to *node) (A, error)) (A, error) {
	w := n.w
	var none A
	to := w.find(address)
	w.mu.Lock()
	cut := w.cuts[[2]string{n.address, address}]
	gone := to.stopped
	w.mu.Unlock()
	if !n.awake() || cut || gone {
		return none, classifier.Refuse(classifier.PeerLost, "no connection to %s", address)
	}
	delay, lost, unheard := w.drawFaults()
	type result struct {
		a   A
		err error
	}
	answer := make(chan result, 1)
	w.wg.Go(func() {
		time.Sleep(delay)
		if lost || !to.awake() || to.ended() {
			return
		}
		a, err := call(w.ctx, to)
		if !unheard && to.awake() && !to.ended() {
			answer <- result{a, err}
		}
	})
	select {
	case r := <-answer:
		n.awake()
		return r.a, r.err
	case <-ctx.Done():
		n.awake()
		return none, classifier.Uncertain(classifier.PeerLost, "no answer of %s", address)
	}
}

func (n *node) Heartbeat(ctx context.Context, address string, hb messenger.Heartbeat) (messenger.Heartbeat, error) {
	return deliver(ctx, n, address, func(ctx context.Context, to *node) (messenger.Heartbeat, error) {
		return to.members.HandleHeartbeat(ctx, hb)
	})
}

func (n *node) Claim(ctx context.Context, address string, r messenger.ClaimRequest) (messenger.ClaimReply, error) {
	return deliver(ctx, n, address, func(ctx context.Context, to *node) (messenger.ClaimReply, error) {
		return to.claims.HandleClaim(ctx, r)
	})
}

func (n *node) Settle(ctx context.Context, address string, r messenger.SettleRequest) error {
	_, err := deliver(ctx, n, address, func(ctx context.Context, to *node) (struct{}, error) {
		return struct{}{}, to.claims.HandleSettle(ctx, r)
	})
	return err
}

func (n *node) HandOver(ctx context.Context, address string, r messenger.HandOverRequest) error {
	_, err := deliver(ctx, n, address, func(ctx context.Context, to *node) (struct{}, error) {
		return struct{}{}, to.claims.HandleHandOver(ctx, r)
	})
	return err
}

// name returns a name, made with its date at its first use. Every fourth has
// no date.
func (w *world) name(i int) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	i %= len(w.names)
	if w.names[i] == "" {
		w.names[i] = dated(time.Now(), uint64(i))
		if i%4 == 3 {
			w.names[i] = fmt.Sprintf("order-%d", i)
		}
	}
	return w.names[i]
}

// renew replaces a name by a fresh one.
func (w *world) renew(i int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.names[i%len(w.names)] = ""
}

// dated returns a UUID of version 7.
func dated(t time.Time, n uint64) string {
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[:8], uint64(t.UnixMilli())<<16)
	binary.BigEndian.PutUint64(id[8:], n)
	id[6] = id[6]&0x0f | 0x70
	id[8] = id[8]&0x3f | 0x80
	return id.String()
}

// claim claims the name at the process and checks that no other task holds it.
func (w *world) claim(n *node, name string, free bool) (claimer.Decision, error) {
	task := uuid.NewString()
	d, err := n.claims.Claim(w.ctx, "team", name, sha256.Sum256([]byte(name)), task)
	if !d.Granted {
		return d, err
	}
	w.grant(n, name, task)
	if free {
		w.mu.Lock()
		delete(w.holder, name)
		w.mu.Unlock()
		_ = n.claims.Settle(w.ctx, "team", name, task, classifier.NotRun)
	}
	return d, err
}

func (w *world) grant(n *node, name, task string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.grants++
	w.trace = append(w.trace, fmt.Sprintf("%s %s: name %s granted to %s", time.Now().Format("04:05.000"), n.address, name, task))
	if other, ok := w.holder[name]; ok {
		w.faults = append(w.faults, fmt.Sprintf("%s: name %s granted to %s and to %s", n.address, name, other, task))
	}
	w.holder[name] = task
}

// Get implements keeper.Swapper with the pauses of the process.
func (n *node) Get(ctx context.Context, k string) (keeper.Record, error) {
	n.awake()
	defer n.awake()
	return n.port.Get(ctx, k)
}

// Swap implements keeper.Swapper with the pauses of the process.
func (n *node) Swap(ctx context.Context, k string, value []byte, revision int64, lease keeper.LeaseID) (keeper.Record, error) {
	n.awake()
	defer n.awake()
	return n.port.Swap(ctx, k, value, revision, lease)
}
