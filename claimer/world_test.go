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
	// cluster is a set of members on a faulty network. It checks that no name is granted twice.
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
		faults       []string
		trace        []string // log of events that explains a fault
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

func (w *cluster) recordViolation(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = append(w.faults, fmt.Sprintf(format, args...))
}

// takeViolations returns the faults found so far and clears them.
func (w *cluster) takeViolations() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	faults := w.faults
	w.faults = nil
	return faults
}

func (w *cluster) assert(ok bool, format string, args ...any) {
	if !ok {
		w.recordViolation(format, args...)
	}
}

// recordTrace adds a line to the trace.
func (w *cluster) recordTrace(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.trace = append(w.trace, time.Now().Format("04:05.000 ")+fmt.Sprintf(format, args...))
}

// startProcess starts a process on the instance. Earlier processes on it keep running.
func (w *cluster) startProcess(instance string) *process {
	n := &process{
		cluster:  w,
		instance: instance,
		address:  fmt.Sprintf("%s#%d", instance, len(w.processes)),
		resumed:  make(chan struct{}),
	}
	close(n.resumed)
	n.port = w.store.ClientFor(n.address)
	self := registrar.Member{Instance: instance, Address: n.address}
	n.members = registrar.New(n, n, w, self,
		registrar.WithCoordinatorRole(alwaysHeld(true)),
		registrar.WithListTiming(time.Second, listDelay),
		registrar.WithAssert(w.assert),
		registrar.WithHandOver(func(ctx context.Context, view uint64) error { return n.claimer.WaitForHandOver(ctx, view) }),
	)
	n.claimer = claimer.New(n.members, n, append([]claimer.Option{claimer.WithAssert(w.assert)}, w.opts...)...)
	n.members.SubscribeViews(n.claimer.AdoptView)
	n.members.SubscribeViews(func(_, next registrar.View) {
		w.recordTrace("%s adopts view %d: members %v, departed %v", n.address, next.Number, next.Active(), next.Departed)
	})
	ctx, cancel := context.WithCancel(w.ctx)
	n.cancel = cancel
	w.mu.Lock()
	w.processes = append(w.processes, n)
	w.mu.Unlock()
	w.wg.Go(func() {
		_ = n.members.Run(ctx)
		cancel() // a process whose member was removed exits
	})
	w.wg.Go(func() { _ = n.claimer.Run(ctx) })
	return n
}

// killInstance ends all processes on an instance without notice and removes the
// instance from the platform's list.
func (w *cluster) killInstance(instance string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, n := range w.processes {
		if n.instance == instance {
			n.cancel()
			n.stopped = true
		}
	}
	w.unlisted[instance] = true
}

// List implements registrar.InstanceLister.
func (w *cluster) List(context.Context) ([]lister.Listing, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	var listings []lister.Listing
	for _, n := range w.processes {
		if !w.unlisted[n.instance] {
			listings = append(listings, lister.Listing{ID: n.instance, Kind: lister.EntryKind})
		}
	}
	return listings, nil
}

// setDisconnected disconnects or reconnects the network between two processes.
func (w *cluster) setDisconnected(a, b *process, cut bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.disconnected[[2]string{a.address, b.address}] = cut
	w.disconnected[[2]string{b.address, a.address}] = cut
}

// setIsolated disconnects the process from the store and from all other processes,
// or reconnects it.
func (w *cluster) setIsolated(n *process, cut bool) {
	n.port.SetDown(cut)
	for _, m := range w.processes {
		if m != n {
			w.setDisconnected(n, m, cut)
		}
	}
}

// setMessageFaults sets the fractions of messages that are lost and delayed.
func (w *cluster) setMessageFaults(loss, slow float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lossShare, w.delayedShare = loss, slow
}

// drawMessageFaults draws the delay of one message and whether the message or its
// answer is lost.
func (w *cluster) drawMessageFaults() (delay time.Duration, lost, answerLost bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delay = messageDelay
	if w.rnd.Float64() < w.delayedShare {
		delay = time.Duration(w.rnd.IntN(5000)) * time.Millisecond
	}
	return delay, w.rnd.Float64() < w.lossShare/2, w.rnd.Float64() < w.lossShare/2
}

func (w *cluster) findProcess(address string) *process {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, n := range w.processes {
		if n.address == address {
			return n
		}
	}
	return nil
}

// pause stops all sending and receiving of the process until resume is called.
func (n *process) pause() {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	n.resumed = make(chan struct{})
}

// isStopped reports whether the process was killed.
func (n *process) isStopped() bool {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	return n.stopped
}

func (n *process) resume() {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	select {
	case <-n.resumed:
	default:
		close(n.resumed)
	}
}

// waitUntilResumed waits while the process is paused. It returns false if the test
// ends first.
func (n *process) waitUntilResumed() bool {
	n.cluster.mu.Lock()
	wake := n.resumed
	n.cluster.mu.Unlock()
	select {
	case <-wake:
		return true
	case <-n.cluster.ctx.Done():
		return false
	}
}

// deliver carries a call from n to the address. Messages can be delayed or lost,
// or the processes can be disconnected. A message that was sent is delivered even
// when its sender has given up.
func deliver[A any](ctx context.Context, n *process, address string, call func(ctx context.Context, to *process) (A, error)) (A, error) {
	w := n.cluster
	var none A
	to := w.findProcess(address)
	w.mu.Lock()
	cut := w.disconnected[[2]string{n.address, address}]
	gone := to.stopped
	w.mu.Unlock()
	if !n.waitUntilResumed() || cut || gone {
		return none, classifier.Refuse(classifier.PeerLost, "no connection to %s", address)
	}
	delay, lost, unheard := w.drawMessageFaults()
	type result struct {
		a   A
		err error
	}
	answer := make(chan result, 1)
	w.wg.Go(func() {
		time.Sleep(delay)
		if lost || !to.waitUntilResumed() || to.isStopped() {
			return
		}
		a, err := call(w.ctx, to)
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

func (n *process) Heartbeat(ctx context.Context, address string, hb messenger.Heartbeat) (messenger.Heartbeat, error) {
	return deliver(ctx, n, address, func(ctx context.Context, to *process) (messenger.Heartbeat, error) {
		return to.members.HandleHeartbeat(ctx, hb)
	})
}

func (n *process) Claim(ctx context.Context, address string, r messenger.ClaimRequest) (messenger.ClaimReply, error) {
	return deliver(ctx, n, address, func(ctx context.Context, to *process) (messenger.ClaimReply, error) {
		return to.claimer.HandleClaim(ctx, r)
	})
}

func (n *process) ReportTaskOutcome(ctx context.Context, address string, r messenger.SettleRequest) error {
	_, err := deliver(ctx, n, address, func(ctx context.Context, to *process) (struct{}, error) {
		return struct{}{}, to.claimer.HandleTaskOutcome(ctx, r)
	})
	return err
}

func (n *process) HandOver(ctx context.Context, address string, r messenger.HandOverRequest) error {
	_, err := deliver(ctx, n, address, func(ctx context.Context, to *process) (struct{}, error) {
		return struct{}{}, to.claimer.HandleHandOver(ctx, r)
	})
	return err
}

// existingName returns the name with the index. It is created at its first use;
// every fourth name has no date.
func (w *cluster) existingName(i int) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	i %= len(w.names)
	if w.names[i] == "" {
		w.names[i] = newDatedName(time.Now(), uint64(i))
		if i%4 == 3 {
			w.names[i] = fmt.Sprintf("order-%d", i)
		}
	}
	return w.names[i]
}

// renewName replaces the name with the index by a new one at its next use.
func (w *cluster) renewName(i int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.names[i%len(w.names)] = ""
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
func (w *cluster) claimAndCheck(n *process, name string, settle bool) (claimer.Decision, error) {
	task := uuid.NewString()
	d, err := n.claimer.Claim(w.ctx, "team", name, sha256.Sum256([]byte(name)), task)
	if !d.Granted {
		return d, err
	}
	w.recordGrant(n, name, task)
	if settle {
		w.mu.Lock()
		delete(w.holder, name)
		w.mu.Unlock()
		_ = n.claimer.ReportTaskOutcome(w.ctx, "team", name, task, classifier.NotRun)
	}
	return d, err
}

func (w *cluster) recordGrant(n *process, name, task string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.grants++
	w.trace = append(w.trace, fmt.Sprintf("%s %s: name %s granted to %s", time.Now().Format("04:05.000"), n.address, name, task))
	if other, ok := w.holder[name]; ok {
		w.faults = append(w.faults, fmt.Sprintf("%s: name %s granted to %s and to %s", n.address, name, other, task))
	}
	w.holder[name] = task
}

// Get implements keeper.SwapStore. It waits while the process is paused.
func (n *process) Get(ctx context.Context, k string) (keeper.Record, error) {
	n.waitUntilResumed()
	defer n.waitUntilResumed()
	return n.port.Get(ctx, k)
}

// Swap implements keeper.SwapStore. It waits while the process is paused.
func (n *process) Swap(ctx context.Context, k string, value []byte, revision int64, lease keeper.LeaseID) (keeper.Record, error) {
	n.waitUntilResumed()
	defer n.waitUntilResumed()
	return n.port.Swap(ctx, k, value, revision, lease)
}
