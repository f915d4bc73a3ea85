package messenger

import (
	"context"
	"crypto/sha256"
	"net"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	"github.com/coltsfootlever/coltsfootlever/classifier"
	"github.com/coltsfootlever/coltsfootlever/messenger/peerpb"
)

const (
	// DefaultConnectTime bounds the wait for a connection before a call.
	DefaultConnectTime = 500 * time.Millisecond

	reconnectBase    = 100 * time.Millisecond
	reconnectMax     = 2 * time.Second
	reconnectFactor  = 1.6
	reconnectJitter  = 0.2
	keepaliveTime    = 10 * time.Second
	keepaliveTimeout = 5 * time.Second
)

type (
	// Client calls peers over gRPC. It keeps one connection for each address.
	// A call that cannot have reached the peer fails with the verdict not-run
	// and classifier.PeerLost, one whose outcome is unknown with the verdict
	// may-have-run.
	Client struct {
		dial        func(ctx context.Context, address string) (net.Conn, error)
		creds       credentials.TransportCredentials
		connectTime time.Duration

		mu     sync.Mutex
		closed bool
		conns  map[string]*grpc.ClientConn
	}

	// ClientOption sets an optional part of a Client.
	ClientOption func(*Client)
)

// WithDialer replaces the TCP dialer.
func WithDialer(dial func(ctx context.Context, address string) (net.Conn, error)) ClientOption {
	return func(c *Client) { c.dial = dial }
}

// WithCredentials protects the connections. Without it they are in the clear.
func WithCredentials(creds credentials.TransportCredentials) ClientOption {
	return func(c *Client) { c.creds = creds }
}

// WithConnectTime bounds the wait for a connection before a call.
func WithConnectTime(d time.Duration) ClientOption {
	return func(c *Client) { c.connectTime = d }
}

// NewClient returns a client without connections.
func NewClient(opts ...ClientOption) *Client {
	c := &Client{
		creds:       insecure.NewCredentials(),
		connectTime: DefaultConnectTime,
		conns:       map[string]*grpc.ClientConn{},
	}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Retain closes the connections to all other addresses.
func (c *Client) Retain(addresses ...string) {
	keep := make(map[string]bool, len(addresses))
	for _, address := range addresses {
		keep[address] = true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, conn := range c.conns {
		if !keep[address] {
			_ = conn.Close()
			delete(c.conns, address)
		}
	}
}

// Close closes all connections. Later calls are refused.
func (c *Client) Close() error {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.Retain()
	return nil
}

// Heartbeat tells the peer the sender's state and returns the peer's.
func (c *Client) Heartbeat(ctx context.Context, address string, hb Heartbeat) (Heartbeat, error) {
	return call(ctx, c, address, encodeHeartbeat(hb), peerpb.PeerClient.Heartbeat, decodeHeartbeat)
}

// Claim asks the peer as the home of a name for the right to start its task.
func (c *Client) Claim(ctx context.Context, address string, r ClaimRequest) (ClaimReply, error) {
	return call(ctx, c, address, encodeClaimRequest(r), peerpb.PeerClient.Claim, decodeClaimReply)
}

// Settle tells the peer as the home of a name how its task ended.
func (c *Client) Settle(ctx context.Context, address string, r SettleRequest) error {
	_, err := call(ctx, c, address, encodeSettle(r), peerpb.PeerClient.Settle, decodeEmpty)
	return err
}

// HandOver passes names to their new home.
func (c *Client) HandOver(ctx context.Context, address string, r HandOverRequest) error {
	_, err := call(ctx, c, address, encodeHandOver(r), peerpb.PeerClient.HandOver, decodeEmpty)
	return err
}

// Attach waits for the answer of a task that the peer runs or has run. An
// answer that is truncated or belongs to another task is an error.
func (c *Client) Attach(ctx context.Context, address string, r AttachRequest) (Answer, error) {
	a, err := call(ctx, c, address, encodeAttach(r), peerpb.PeerClient.Attach, decodeAnswer)
	if err != nil {
		return Answer{}, err
	}
	return verified(a, r.Task)
}

// Forward hands a task to the peer and waits for its answer. An answer that is
// truncated or belongs to another task is an error.
func (c *Client) Forward(ctx context.Context, address string, r ForwardRequest) (Answer, error) {
	a, err := call(ctx, c, address, encodeForward(r), peerpb.PeerClient.Forward, decodeAnswer)
	if err != nil {
		return Answer{}, err
	}
	return verified(a, r.Task.ID)
}

// Cancel withdraws a task that was forwarded to the peer.
func (c *Client) Cancel(ctx context.Context, address string, r CancelRequest) error {
	p := &peerpb.CancelRequest{Task: r.Task}
	_, err := call(ctx, c, address, p, peerpb.PeerClient.Cancel, decodeEmpty)
	return err
}

// Changes asks the peer for the rule changes after a number.
func (c *Client) Changes(ctx context.Context, address string, r ChangesRequest) (ChangesReply, error) {
	p := &peerpb.ChangesRequest{After: r.After}
	return call(ctx, c, address, p, peerpb.PeerClient.Changes, decodeChanges)
}

// Report asks the peer for what it knows for an operator's question.
func (c *Client) Report(ctx context.Context, address string, r ReportRequest) (ReportReply, error) {
	p := &peerpb.ReportRequest{Kind: r.Kind, Subject: r.Subject}
	return call(ctx, c, address, p, peerpb.PeerClient.Report, decodeReport)
}

// verified returns the answer when it is whole and belongs to task.
func verified(a Answer, task string) (Answer, error) {
	if task != "" && a.Task != task {
		return Answer{}, classifier.Uncertain(classifier.Crossed, "answer of task %q to task %q", a.Task, task)
	}
	if a.Err == nil && a.Digest != sha256.Sum256(a.Output) {
		return Answer{}, classifier.Uncertain(classifier.Truncated, "answer of task %q fails its digest", a.Task)
	}
	return a, nil
}

func decodeEmpty(*peerpb.Empty) (struct{}, error) { return struct{}{}, nil }

// call sends one message when the connection is ready and decodes the reply.
func call[P, Q, A any](
	ctx context.Context,
	c *Client,
	address string,
	p P,
	method func(peerpb.PeerClient, context.Context, P, ...grpc.CallOption) (Q, error),
	decode func(Q) (A, error),
) (A, error) {
	var none A
	conn, err := c.ready(ctx, address)
	if err != nil {
		return none, err
	}
	reply, err := method(peerpb.NewPeerClient(conn), ctx, p)
	if err != nil {
		return none, fromStatus(ctx, address, err)
	}
	a, err := decode(reply)
	if err != nil {
		return none, classifier.Uncertain(classifier.PeerLost, "reply of %s: %v", address, err)
	}
	return a, nil
}

// fromStatus returns the error that the peer's handler reported, or a doubt
// when the status is the transport's.
func fromStatus(ctx context.Context, address string, err error) error {
	for _, detail := range status.Convert(err).Details() {
		if p, ok := detail.(*peerpb.Error); ok {
			return decodeError(p)
		}
	}
	if ctx.Err() != nil {
		return classifier.Uncertain(classifier.PeerLost, "no answer of %s: %v", address, context.Cause(ctx))
	}
	return classifier.Uncertain(classifier.PeerLost, "no answer of %s: %v", address, err)
}

// ready returns the connection to address once it is established, or a
// refusal: nothing has been sent.
func (c *Client) ready(ctx context.Context, address string) (*grpc.ClientConn, error) {
	conn, err := c.conn(address)
	if err != nil {
		return nil, classifier.Refuse(classifier.PeerLost, "no connection to %s: %v", address, err)
	}
	ctx, cancel := context.WithTimeout(ctx, c.connectTime)
	defer cancel()
	for {
		state := conn.GetState()
		switch state {
		case connectivity.Ready:
			if ctx.Err() != nil {
				return nil, classifier.Refuse(classifier.PeerLost, "no time left to call %s", address)
			}
			return conn, nil
		case connectivity.Idle:
			conn.Connect()
		case connectivity.TransientFailure, connectivity.Shutdown:
			return nil, classifier.Refuse(classifier.PeerLost, "no connection to %s", address)
		}
		if !conn.WaitForStateChange(ctx, state) {
			return nil, classifier.Refuse(classifier.PeerLost, "no connection to %s in time", address)
		}
	}
}

func (c *Client) conn(address string) (*grpc.ClientConn, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, net.ErrClosed
	}
	if conn, ok := c.conns[address]; ok {
		return conn, nil
	}
	conn, err := grpc.NewClient("passthrough:///"+address, c.dialOptions()...)
	if err != nil {
		return nil, err
	}
	c.conns[address] = conn
	return conn, nil
}

func (c *Client) dialOptions() []grpc.DialOption {
	opts := []grpc.DialOption{
		grpc.WithTransportCredentials(c.creds),
		grpc.WithDisableRetry(),
		grpc.WithDisableServiceConfig(),
		grpc.WithIdleTimeout(0),
		grpc.WithDefaultCallOptions(
			grpc.MaxCallRecvMsgSize(MaxMessageBytes),
			grpc.MaxCallSendMsgSize(MaxMessageBytes),
		),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff: backoff.Config{
				BaseDelay:  reconnectBase,
				Multiplier: reconnectFactor,
				Jitter:     reconnectJitter,
				MaxDelay:   reconnectMax,
			},
			MinConnectTimeout: c.connectTime,
		}),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{
			Time:    keepaliveTime,
			Timeout: keepaliveTimeout,
		}),
	}
	if c.dial != nil {
		opts = append(opts, grpc.WithContextDialer(c.dial))
	}
	return opts
}
