package prover

import (
	"context"
	"sync"
	"time"

	"github.com/coltsfootlever/coltsfootlever/classifier"
	"github.com/coltsfootlever/coltsfootlever/messenger"
)

const (
	connectTime = 500 * time.Millisecond // wait for a connection before a call
	breakTime   = 15 * time.Second       // until an idle connection is found broken
	networkTime = time.Millisecond       // of a message one way
)

type (
	// network carries messages between nodes and shows its faults.
	network struct {
		mu           sync.Mutex
		nodes        map[string]*Node        // by the address of their peers' port
		cuts         map[[2]string]time.Time // by the instances of a pair; since when
		delay        time.Duration
		loseRequests int
		loseReplies  int
	}

	// peerPort is a node's way to its peers. It implements server.Peers.
	peerPort struct {
		net   *network
		gate  *gate
		self  string // instance
		trace *trace
	}

	reply[T any] struct {
		value T
		err   error
	}
)

func newNetwork() *network {
	return &network{nodes: make(map[string]*Node), cuts: make(map[[2]string]time.Time), delay: networkTime}
}

func pair(a, b string) [2]string {
	if b < a {
		a, b = b, a
	}
	return [2]string{a, b}
}

func (n *network) cut(a, b string, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.cuts, pair(a, b))
	if on {
		n.cuts[pair(a, b)] = time.Now()
	}
}

// cutSince returns when the pair was cut.
func (n *network) cutSince(a, b string) (time.Time, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	since, ok := n.cuts[pair(a, b)]
	return since, ok
}

func (n *network) at(address string) *Node {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.nodes[address]
}

func (n *network) place(address string, node *Node) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.nodes[address] = node
}

func (n *network) set(change func(*network)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	change(n)
}

// faults returns the delay one way and whether this call loses its request or
// its reply.
func (n *network) faults() (delay time.Duration, loseRequest, loseReply bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.loseRequests > 0 {
		n.loseRequests--
		return n.delay, true, false
	}
	if n.loseReplies > 0 {
		n.loseReplies--
		return n.delay, false, true
	}
	return n.delay, false, false
}

// call sends a message and waits for its reply.
func call[Q, A any](ctx context.Context, p peerPort, address string, q Q, handle func(messenger.Handler, context.Context, Q) (A, error)) (A, error) {
	var none A
	if !p.gate.pass() {
		return none, refused(address)
	}
	a, err := carry(ctx, p, address, q, handle)
	if !p.gate.pass() {
		return none, lost(address)
	}
	return a, err
}

func carry[Q, A any](ctx context.Context, p peerPort, address string, q Q, handle func(messenger.Handler, context.Context, Q) (A, error)) (A, error) {
	var none A
	if ctx.Err() != nil {
		return none, refused(address)
	}
	node := p.net.at(address)
	if node == nil || !node.alive() {
		wait(ctx, networkTime)
		return none, refused(address)
	}
	if since, cut := p.net.cutSince(p.self, node.Instance); cut {
		if time.Since(since) > breakTime {
			wait(ctx, connectTime)
			return none, refused(address)
		}
		wait(ctx, breakTime)
		return none, lost(address)
	}
	delay, loseRequest, loseReply := p.net.faults()
	if loseRequest {
		wait(ctx, breakTime)
		return none, lost(address)
	}
	replies := make(chan reply[A], 1)
	remote, end := p.remote(ctx, node)
	go func() {
		defer end()
		time.Sleep(delay)
		if !node.gate.pass() {
			return
		}
		value, err := handle(node.entry.PeerHandler(), remote, q)
		if !node.gate.pass() {
			return
		}
		time.Sleep(delay)
		if err != nil {
			err = classifier.As(err)
		}
		replies <- reply[A]{value, err}
	}()
	select {
	case r := <-replies:
		if _, cut := p.net.cutSince(p.self, node.Instance); cut || loseReply {
			wait(ctx, breakTime)
			return none, lost(address)
		}
		return r.value, r.err
	case <-node.gate.dead:
		return none, lost(address)
	case <-ctx.Done():
		return none, lost(address)
	}
}

// remote returns the context of a call at its receiver. The end of the caller's
// reaches it unless the pair is cut.
func (p peerPort) remote(ctx context.Context, node *Node) (context.Context, context.CancelFunc) {
	remote, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, func() {
		if _, cut := p.net.cutSince(p.self, node.Instance); !cut {
			cancel()
		}
	})
	return remote, func() {
		stop()
		cancel()
	}
}

func refused(address string) error {
	return classifier.Refuse(classifier.PeerLost, "no connection to %s", address)
}

func lost(address string) error {
	return classifier.Uncertain(classifier.PeerLost, "no answer of %s", address)
}

// wait waits for d or until ctx ends.
func wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Heartbeat implements server.Peers.
func (p peerPort) Heartbeat(ctx context.Context, address string, hb messenger.Heartbeat) (messenger.Heartbeat, error) {
	return call(ctx, p, address, hb, messenger.Handler.Heartbeat)
}

// Claim implements server.Peers.
func (p peerPort) Claim(ctx context.Context, address string, r messenger.ClaimRequest) (messenger.ClaimReply, error) {
	reply, err := call(ctx, p, address, r, messenger.Handler.Claim)
	p.trace.note(r.Name, "%s claims for task %s of %s under view %d: granted %t, holder %s, task %s, view %d, %v, %v",
		p.self, r.Task, address, r.View, reply.Granted, reply.Holder, reply.Task, reply.View, reply.Err, err)
	return reply, err
}

// Settle implements server.Peers.
func (p peerPort) Settle(ctx context.Context, address string, r messenger.SettleRequest) error {
	err := order(ctx, p, address, r, messenger.Handler.Settle)
	p.trace.note(r.Name, "%s settles task %s as %s at %s: %v", p.self, r.Task, r.Verdict, address, err)
	return err
}

// HandOver implements server.Peers.
func (p peerPort) HandOver(ctx context.Context, address string, r messenger.HandOverRequest) error {
	return order(ctx, p, address, r, messenger.Handler.HandOver)
}

// Attach implements server.Peers.
func (p peerPort) Attach(ctx context.Context, address string, r messenger.AttachRequest) (messenger.Answer, error) {
	return call(ctx, p, address, r, messenger.Handler.Attach)
}

// Forward implements server.Peers.
func (p peerPort) Forward(ctx context.Context, address string, r messenger.ForwardRequest) (messenger.Answer, error) {
	answer, err := call(ctx, p, address, r, messenger.Handler.Forward)
	p.trace.note(r.Task.Name, "%s forwarded task %s to %s: %v, %v", p.self, r.Task.ID, address, answer.Err, err)
	return answer, err
}

// Cancel implements server.Peers.
func (p peerPort) Cancel(ctx context.Context, address string, r messenger.CancelRequest) error {
	return order(ctx, p, address, r, messenger.Handler.Cancel)
}

// Changes implements server.Peers.
func (p peerPort) Changes(ctx context.Context, address string, r messenger.ChangesRequest) (messenger.ChangesReply, error) {
	return call(ctx, p, address, r, messenger.Handler.Changes)
}

// order is a call without a result.
func order[Q any](ctx context.Context, p peerPort, address string, q Q, handle func(messenger.Handler, context.Context, Q) error) error {
	_, err := call(ctx, p, address, q, func(h messenger.Handler, ctx context.Context, q Q) (struct{}, error) {
		return struct{}{}, handle(h, ctx, q)
	})
	return err
}

// Report implements server.Peers.
func (p peerPort) Report(ctx context.Context, address string, r messenger.ReportRequest) (messenger.ReportReply, error) {
	return call(ctx, p, address, r, messenger.Handler.Report)
}
