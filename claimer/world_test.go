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
	listDelay    = 4 * time.Second
	messageDelay = time.Millisecond
)

type (
	// cluster is a set of members on a faulty network. It checks that no name
	// (idempotency key) is granted twice.
	cluster struct {
		ctx   context.Context
		store *emulator.Store
		opts  []claimer.Option
		wg    sync.WaitGroup

		mu           sync.Mutex
		rnd          *rand.Rand
		processes    []*process
		disconnected map[[2]string]bool
		lossShare    float64         // fraction of messages lost, half of them after delivery
		delayedShare float64         // fraction of messages delayed by up to five seconds
		unlisted     map[string]bool // instances that the platform no longer lists
		names        []string
		holder       map[string]string // task that may have run, by name
		grants       int
		violations   []string
		trace        []string // log of events that explains a violation
	}

	// process is one process of an entry.
	process struct {
		cluster  *cluster
		instance string
		address  string
		port     *emulator.StoreClient
		members  *registrar.Registrar
		claimer  *claimer.Claimer
		cancel   context.CancelFunc
		stopped  bool
		resumed  chan struct{} // closed while the process is not paused
	}

	alwaysHeld bool
)

func (h alwaysHeld) Held() bool { return bool(h) }

func newCluster(ctx context.Context, seed uint64, names int, opts ...claimer.Option) *cluster {
	return &cluster{
		ctx:          ctx,
		store:        emulator.NewStore(),
		opts:         opts,
		rnd:          rand.New(rand.NewPCG(seed, 1)),
		disconnected: map[[2]string]bool{},
		unlisted:     map[string]bool{},
		names:        make([]string, names),
		holder:       map[string]string{},
	}
}

func (c *cluster) recordViolation(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// takeViolations returns the violations found so far and clears them.
func (c *cluster) takeViolations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	violations := c.violations
	c.violations = nil
	return violations
}

func (c *cluster) assert(ok bool, format string, args ...any) {
	if !ok {
		c.recordViolation(format, args...)
	}
}

// recordTrace adds a line to the trace.
func (c *cluster) recordTrace(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.trace = append(c.trace, time.Now().Format("04:05.000 ")+fmt.Sprintf(format, args...))
}

// startProcess starts a process on the instance. Earlier processes on it keep running.
func (c *cluster) startProcess(instance string) *process {
	n := &process{
		cluster:  c,
		instance: instance,
		address:  fmt.Sprintf("%s#%d", instance, len(c.processes)),
		resumed:  make(chan struct{}),
	}
	close(n.resumed)
	n.port = c.store.ClientFor(n.address)
	self := registrar.Member{Instance: instance, Address: n.address}
	n.members = registrar.New(n, n, c, self,
		registrar.WithCoordinatorRole(alwaysHeld(true)),
		registrar.WithListTiming(time.Second, listDelay),
		registrar.WithAssert(c.assert),
		registrar.WithHandOver(func(ctx context.Context, view uint64) error { return n.claimer.WaitForHandOver(ctx, view) }),
	)
	n.claimer = claimer.New(n.members, n, append([]claimer.Option{claimer.WithAssert(c.assert)}, c.opts...)...)
	n.members.SubscribeViews(n.claimer.AdoptView)
	n.members.SubscribeViews(func(_, next registrar.View) {
		c.recordTrace("%s adopts view %d: members %v, departed %v", n.address, next.Number, next.Active(), next.Departed)
	})
	ctx, cancel := context.WithCancel(c.ctx)
	n.cancel = cancel
	c.mu.Lock()
	c.processes = append(c.processes, n)
	c.mu.Unlock()
	c.wg.Go(func() {
		_ = n.members.Run(ctx)
		cancel() // a process whose member was removed exits
	})
	c.wg.Go(func() { _ = n.claimer.Run(ctx) })
	return n
}

// killInstance ends all processes on an instance without notice and removes the
// instance from the platform's list.
func (c *cluster) killInstance(instance string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, n := range c.processes {
		if n.instance == instance {
			n.cancel()
			n.stopped = true
		}
	}
	c.unlisted[instance] = true
}

// List implements registrar.InstanceLister.
func (c *cluster) List(context.Context) ([]lister.Listing, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var listings []lister.Listing
	for _, n := range c.processes {
		if !c.unlisted[n.instance] {
			listings = append(listings, lister.Listing{ID: n.instance, Kind: lister.EntryKind})
		}
	}
	return listings, nil
}

// setDisconnected disconnects or reconnects the network between two processes.
func (c *cluster) setDisconnected(a, b *process, cut bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.disconnected[[2]string{a.address, b.address}] = cut
	c.disconnected[[2]string{b.address, a.address}] = cut
}

// setIsolated disconnects the process from the store and from all other processes,
// or reconnects it.
func (c *cluster) setIsolated(n *process, cut bool) {
	n.port.SetDown(cut)
	for _, m := range c.processes {
		if m != n {
			c.setDisconnected(n, m, cut)
		}
	}
}

// setMessageFaults sets the fractions of messages that are lost and delayed.
func (c *cluster) setMessageFaults(loss, slow float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lossShare, c.delayedShare = loss, slow
}

// drawMessageFaults draws the delay of one message and whether the message or its
// answer is lost.
func (c *cluster) drawMessageFaults() (delay time.Duration, lost, answerLost bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delay = messageDelay
	if c.rnd.Float64() < c.delayedShare {
		delay = time.Duration(c.rnd.IntN(5000)) * time.Millisecond
	}
	return delay, c.rnd.Float64() < c.lossShare/2, c.rnd.Float64() < c.lossShare/2
}

func (c *cluster) findProcess(address string) *process {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, n := range c.processes {
		if n.address == address {
			return n
		}
	}
	return nil
}

// pause stops all sending and receiving of the process until resume is called.
func (p *process) pause() {
	p.cluster.mu.Lock()
	defer p.cluster.mu.Unlock()
	p.resumed = make(chan struct{})
}

// isStopped reports whether the process was killed.
func (p *process) isStopped() bool {
	p.cluster.mu.Lock()
	defer p.cluster.mu.Unlock()
	return p.stopped
}

func (p *process) resume() {
	p.cluster.mu.Lock()
	defer p.cluster.mu.Unlock()
	select {
	case <-p.resumed:
	default:
		close(p.resumed)
	}
}

// waitUntilResumed waits while the process is paused. It returns false if the test
// ends first.
func (p *process) waitUntilResumed() bool {
	p.cluster.mu.Lock()
	wake := p.resumed
	p.cluster.mu.Unlock()
	select {
	case <-wake:
		return true
	case <-p.cluster.ctx.Done():
		return false
	}
}

// deliverMessage carries a call from n to the address. Messages can be delayed or lost,
// or the processes can be disconnected. A message that was sent is delivered even
// when its sender has given up.
func deliverMessage[A any](ctx context.Context, n *process, address string, call func(ctx context.Context, to *process) (A, error)) (A, error) {
	c := n.cluster
	var none A
	to := c.findProcess(address)
	c.mu.Lock()
	cut := c.disconnected[[2]string{n.address, address}]
	gone := to.stopped
	c.mu.Unlock()
	if !n.waitUntilResumed() || cut || gone {
		return none, classifier.Refuse(classifier.PeerLost, "no connection to %s", address)
	}
	delay, lost, unheard := c.drawMessageFaults()
	type result struct {
		a   A
		err error
	}
	answer := make(chan result, 1)
	c.wg.Go(func() {
		time.Sleep(delay)
		if lost || !to.waitUntilResumed() || to.isStopped() {
			return
		}
		a, err := call(c.ctx, to)
		if !unheard && to.waitUntilResumed() && !to.isStopped() {
			answer <- result{a, err}
		}
	})
	select {
	case r := <-answer:
		n.waitUntilResumed()
		return r.a, r.err
	case <-ctx.Done():
		n.waitUntilResumed()
		return none, classifier.Uncertain(classifier.PeerLost, "no answer of %s", address)
	}
}

func (p *process) Heartbeat(ctx context.Context, address string, hb messenger.Heartbeat) (messenger.Heartbeat, error) {
	return deliverMessage(ctx, p, address, func(ctx context.Context, to *process) (messenger.Heartbeat, error) {
		return to.members.HandleHeartbeat(ctx, hb)
	})
}

func (p *process) Claim(ctx context.Context, address string, r messenger.ClaimRequest) (messenger.ClaimReply, error) {
	return deliverMessage(ctx, p, address, func(ctx context.Context, to *process) (messenger.ClaimReply, error) {
		return to.claimer.HandleClaim(ctx, r)
	})
}

func (p *process) ReportTaskOutcome(ctx context.Context, address string, r messenger.SettleRequest) error {
	_, err := deliverMessage(ctx, p, address, func(ctx context.Context, to *process) (struct{}, error) {
		return struct{}{}, to.claimer.HandleTaskOutcome(ctx, r)
	})
	return err
}

func (p *process) HandOver(ctx context.Context, address string, r messenger.HandOverRequest) error {
	_, err := deliverMessage(ctx, p, address, func(ctx context.Context, to *process) (struct{}, error) {
		return struct{}{}, to.claimer.HandleHandOver(ctx, r)
	})
	return err
}

// existingName returns the name with the index. It is created at its first use;
// every fourth name has no date.
func (c *cluster) existingName(i int) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	i %= len(c.names)
	if c.names[i] == "" {
		c.names[i] = newDatedName(time.Now(), uint64(i))
		if i%4 == 3 {
			c.names[i] = fmt.Sprintf("order-%d", i)
		}
	}
	return c.names[i]
}

// renewName replaces the name with the index by a new one at its next use.
func (c *cluster) renewName(i int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.names[i%len(c.names)] = ""
}

// newDatedName returns a version 7 UUID.
func newDatedName(t time.Time, n uint64) string {
	var id uuid.UUID
	binary.BigEndian.PutUint64(id[:8], uint64(t.UnixMilli())<<16)
	binary.BigEndian.PutUint64(id[8:], n)
	id[6] = id[6]&0x0f | 0x70
	id[8] = id[8]&0x3f | 0x80
	return id.String()
}

// claimAndCheck claims the name at the process and, if the claim is granted,
// checks that no other task holds the name. With settle it then settles the claim
// as not run, so that another task can get the name.
func (c *cluster) claimAndCheck(n *process, name string, settle bool) (claimer.Decision, error) {
	task := uuid.NewString()
	d, err := n.claimer.Claim(c.ctx, "team", name, sha256.Sum256([]byte(name)), task)
	if !d.Granted {
		return d, err
	}
	c.recordGrant(n, name, task)
	if settle {
		c.mu.Lock()
		delete(c.holder, name)
		c.mu.Unlock()
		_ = n.claimer.ReportTaskOutcome(c.ctx, "team", name, task, classifier.NotRun)
	}
	return d, err
}

func (c *cluster) recordGrant(n *process, name, task string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.grants++
	c.trace = append(c.trace, fmt.Sprintf("%s %s: name %s granted to %s", time.Now().Format("04:05.000"), n.address, name, task))
	if other, ok := c.holder[name]; ok {
		c.violations = append(c.violations, fmt.Sprintf("%s: name %s granted to %s and to %s", n.address, name, other, task))
	}
	c.holder[name] = task
}

// Get implements keeper.SwapStore. It waits while the process is paused.
func (p *process) Get(ctx context.Context, k string) (keeper.Record, error) {
	p.waitUntilResumed()
	defer p.waitUntilResumed()
	return p.port.Get(ctx, k)
}

// Swap implements keeper.SwapStore. It waits while the process is paused.
func (p *process) Swap(ctx context.Context, k string, value []byte, revision int64, lease keeper.LeaseID) (keeper.Record, error) {
	p.waitUntilResumed()
	defer p.waitUntilResumed()
	return p.port.Swap(ctx, k, value, revision, lease)
}
