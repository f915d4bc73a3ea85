package prover

import (
	"context"
	"sync"
	"time"

	"github.com/coltsfootlever/coltsfootlever/classifier"
	"github.com/coltsfootlever/coltsfootlever/messenger"
)

const (
	connectTimeout          = 500 * time.Millisecond // until an attempt to connect to a partitioned peer fails
	brokenConnectionTimeout = 15 * time.Second       // until an open connection without traffic counts as broken
	defaultDelay            = time.Millisecond       // of a message in one direction, without a fault
)

type (
	// network delivers messages between nodes and injects network faults.
	network struct {
		mu           sync.Mutex
		nodes        map[string]*Node        // by the address on which they serve peers
		partitions   map[[2]string]time.Time // start of the partition by pair of instances
		delay        time.Duration           // of a message in one direction
		loseRequests int                     // number of next requests to lose
		loseReplies  int                     // number of next replies to lose
	}

	// peerClient is a node's client for its peers. It implements server.Peers.
	peerClient struct {
		net   *network
		gate  *gate
		self  string // own instance ID
		trace *trace
	}

	reply[T any] struct {
		value T
		err   error
	}
)

func newNetwork() *network {
	return &network{nodes: make(map[string]*Node), partitions: make(map[[2]string]time.Time), delay: defaultDelay}
}

func orderedPair(a, b string) [2]string {
	if b < a {
		a, b = b, a
	}
	return [2]string{a, b}
}

// setPartition starts or ends a partition between the instances a and b.
func (n *network) setPartition(a, b string, on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.partitions, orderedPair(a, b))
	if on {
		n.partitions[orderedPair(a, b)] = time.Now()
	}
}

// partitionedSince returns the start of the partition between a and b, if there
// is one.
func (n *network) partitionedSince(a, b string) (time.Time, bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	since, ok := n.partitions[orderedPair(a, b)]
	return since, ok
}

func (n *network) nodeAt(address string) *Node {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.nodes[address]
}

// register makes messages to the address reach the node.
func (n *network) register(address string, node *Node) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.nodes[address] = node
}

// updateFaults applies a change to the network faults under the mutex.
func (n *network) updateFaults(apply func(*network)) {
	n.mu.Lock()
	defer n.mu.Unlock()
	apply(n)
}

// nextCallFaults returns the one-way delay of the next call and whether its
// request or its reply is lost.
func (n *network) nextCallFaults() (delay time.Duration, loseRequest, loseReply bool) {
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

// call sends a message to a peer and waits for the reply. It also waits while the
// calling process is paused, and fails if that process was killed.
func call[Q, A any](ctx context.Context, c peerClient, address string, q Q, handle func(messenger.Handler, context.Context, Q) (A, error)) (A, error) {
	var none A
	if !c.gate.waitUntilRunning() {
		return none, errNotSent(address)
	}
	a, err := deliver(ctx, c, address, q, handle)
	if !c.gate.waitUntilRunning() {
		return none, errNoAnswer(address)
	}
	return a, err
}

// deliver sends a message over the emulated network, with the faults that are
// active, and returns the reply of its receiver.
func deliver[Q, A any](ctx context.Context, c peerClient, address string, q Q, handle func(messenger.Handler, context.Context, Q) (A, error)) (A, error) {
	var none A
	if ctx.Err() != nil {
		return none, errNotSent(address)
	}
	node := c.net.nodeAt(address)
	if node == nil || !node.isAlive() {
		wait(ctx, defaultDelay)
		return none, errNotSent(address)
	}
	if since, cut := c.net.partitionedSince(c.self, node.Instance); cut {
		if time.Since(since) > brokenConnectionTimeout {
			wait(ctx, connectTimeout)
			return none, errNotSent(address)
		}
		wait(ctx, brokenConnectionTimeout)
		return none, errNoAnswer(address)
	}
	delay, loseRequest, loseReply := c.net.nextCallFaults()
	if loseRequest {
		wait(ctx, brokenConnectionTimeout)
		return none, errNoAnswer(address)
	}
	replies := make(chan reply[A], 1)
	remote, end := c.receiverContext(ctx, node)
	go func() {
		defer end()
		time.Sleep(delay)
		if !node.gate.waitUntilRunning() {
			return
		}
		value, err := handle(node.entry.PeerHandler(), remote, q)
		if !node.gate.waitUntilRunning() {
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
		if _, cut := c.net.partitionedSince(c.self, node.Instance); cut || loseReply {
			wait(ctx, brokenConnectionTimeout)
			return none, errNoAnswer(address)
		}
		return r.value, r.err
	case <-node.gate.dead:
		return none, errNoAnswer(address)
	case <-ctx.Done():
		return none, errNoAnswer(address)
	}
}

// receiverContext returns the context of a call at its receiver. Cancelling the
// caller's context cancels it too, unless a partition separates the two nodes.
func (c peerClient) receiverContext(ctx context.Context, node *Node) (context.Context, context.CancelFunc) {
	remote, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, func() {
		if _, cut := c.net.partitionedSince(c.self, node.Instance); !cut {
			cancel()
		}
	})
	return remote, func() {
		stop()
		cancel()
	}
}

func errNotSent(address string) error {
	return classifier.Refuse(classifier.PeerLost, "no connection to %s", address)
}

func errNoAnswer(address string) error {
	return classifier.Uncertain(classifier.PeerLost, "no answer of %s", address)
}

// wait waits for the time d or until ctx ends.
func wait(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}

// Heartbeat implements server.Peers.
func (c peerClient) Heartbeat(ctx context.Context, address string, hb messenger.Heartbeat) (messenger.Heartbeat, error) {
	return call(ctx, c, address, hb, messenger.Handler.Heartbeat)
}

// Claim implements server.Peers.
func (c peerClient) Claim(ctx context.Context, address string, r messenger.ClaimRequest) (messenger.ClaimReply, error) {
	reply, err := call(ctx, c, address, r, messenger.Handler.Claim)
	c.trace.add(r.Name, "%s claims for task %s of %s under view %d: granted %t, holder %s, task %s, view %d, %v, %v",
		c.self, r.Task, address, r.View, reply.Granted, reply.Holder, reply.Task, reply.View, reply.Err, err)
	return reply, err
}

// ReportTaskOutcome implements server.Peers.
func (c peerClient) ReportTaskOutcome(ctx context.Context, address string, r messenger.SettleRequest) error {
	err := callWithoutReply(ctx, c, address, r, messenger.Handler.ReportTaskOutcome)
	c.trace.add(r.Name, "%s settles task %s as %s at %s: %v", c.self, r.Task, r.Verdict, address, err)
	return err
}

// HandOver implements server.Peers.
func (c peerClient) HandOver(ctx context.Context, address string, r messenger.HandOverRequest) error {
	return callWithoutReply(ctx, c, address, r, messenger.Handler.HandOver)
}

// WaitForAnswer implements server.Peers.
func (c peerClient) WaitForAnswer(ctx context.Context, address string, r messenger.AttachRequest) (messenger.Answer, error) {
	return call(ctx, c, address, r, messenger.Handler.WaitForAnswer)
}

// ForwardTask implements server.Peers.
func (c peerClient) ForwardTask(ctx context.Context, address string, r messenger.ForwardRequest) (messenger.Answer, error) {
	answer, err := call(ctx, c, address, r, messenger.Handler.ForwardTask)
	c.trace.add(r.Task.Name, "%s forwarded task %s to %s: %v, %v", c.self, r.Task.ID, address, answer.Err, err)
	return answer, err
}

// CancelTask implements server.Peers.
func (c peerClient) CancelTask(ctx context.Context, address string, r messenger.CancelRequest) error {
	return callWithoutReply(ctx, c, address, r, messenger.Handler.CancelTask)
}

// ListRulesChanges implements server.Peers.
func (c peerClient) ListRulesChanges(ctx context.Context, address string, r messenger.ChangesRequest) (messenger.ChangesReply, error) {
	return call(ctx, c, address, r, messenger.Handler.ListRulesChanges)
}

// callWithoutReply is call for messages whose reply is empty.
func callWithoutReply[Q any](ctx context.Context, c peerClient, address string, q Q, handle func(messenger.Handler, context.Context, Q) error) error {
	_, err := call(ctx, c, address, q, func(h messenger.Handler, ctx context.Context, q Q) (struct{}, error) {
		return struct{}{}, handle(h, ctx, q)
	})
	return err
}

// FetchReport implements server.Peers.
func (c peerClient) FetchReport(ctx context.Context, address string, r messenger.ReportRequest) (messenger.ReportReply, error) {
	return call(ctx, c, address, r, messenger.Handler.FetchReport)
}
