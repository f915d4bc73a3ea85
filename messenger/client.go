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
	// DefaultConnectTimeout limits how long a call waits for its connection.
	DefaultConnectTimeout = 500 * time.Millisecond

	reconnectBase    = 100 * time.Millisecond
	reconnectMax     = 2 * time.Second
	reconnectFactor  = 1.6
	reconnectJitter  = 0.2
	keepaliveTime    = 10 * time.Second
	keepaliveTimeout = 5 * time.Second
)

type (
	// Client calls peers over gRPC. It keeps one connection for each address.
	// A call that fails before it is sent returns classifier.PeerLost with the
	// verdict not-run. A call whose answer was lost returns an error with the
	// verdict may-have-run.
	Client struct {
		dial           func(ctx context.Context, address string) (net.Conn, error)
		creds          credentials.TransportCredentials
		connectTimeout time.Duration

		mu     sync.Mutex
		closed bool
		conns  map[string]*grpc.ClientConn
	}

	// ClientOption configures a Client.
	ClientOption func(*Client)
)

// WithDialer replaces the function that opens TCP connections.
func WithDialer(dial func(ctx context.Context, address string) (net.Conn, error)) ClientOption {
	return func(c *Client) { c.dial = dial }
}

// WithCredentials sets the transport credentials, such as TLS. The default is
// unencrypted connections.
func WithCredentials(creds credentials.TransportCredentials) ClientOption {
	return func(c *Client) { c.creds = creds }
}

// WithConnectTimeout sets how long a call waits for its connection.
func WithConnectTimeout(d time.Duration) ClientOption {
	return func(c *Client) { c.connectTimeout = d }
}

// NewClient returns a client. It opens connections when they are first used.
func NewClient(opts ...ClientOption) *Client {
	c := &Client{
		creds:          insecure.NewCredentials(),
		connectTimeout: DefaultConnectTimeout,
		conns:          map[string]*grpc.ClientConn{},
	}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// CloseConnectionsExcept closes all connections except those to the given
// addresses.
func (c *Client) CloseConnectionsExcept(addresses ...string) {
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

// Close closes all connections. Later calls fail.
func (c *Client) Close() error {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.CloseConnectionsExcept()
	return nil
}

// Heartbeat sends the state of this entry to the peer and returns that of the
// peer.
func (c *Client) Heartbeat(ctx context.Context, address string, hb Heartbeat) (Heartbeat, error) {
	return callPeer(ctx, c, address, encodeHeartbeat(hb), peerpb.PeerClient.Heartbeat, decodeHeartbeat)
}

// Claim asks the peer, which records the use of a name (idempotency key), to grant
// the name to a task.
func (c *Client) Claim(ctx context.Context, address string, r ClaimRequest) (ClaimReply, error) {
	return callPeer(ctx, c, address, encodeClaimRequest(r), peerpb.PeerClient.Claim, decodeClaimReply)
}

// ReportTaskOutcome tells the peer that records the use of a name (idempotency key) whether
// the task of this name has run.
func (c *Client) ReportTaskOutcome(ctx context.Context, address string, r SettleRequest) error {
	_, err := callPeer(ctx, c, address, encodeSettleRequest(r), peerpb.PeerClient.Settle, decodeEmpty)
	return err
}

// HandOver passes names (idempotency keys) to the peer, which records their use
// from now on.
func (c *Client) HandOver(ctx context.Context, address string, r HandOverRequest) error {
	_, err := callPeer(ctx, c, address, encodeHandOverRequest(r), peerpb.PeerClient.HandOver, decodeEmpty)
	return err
}

// WaitForAnswer waits for the answer of a task that the peer runs or has run. An
// answer that is truncated or belongs to another task is an error.
func (c *Client) WaitForAnswer(ctx context.Context, address string, r AttachRequest) (Answer, error) {
	a, err := callPeer(ctx, c, address, encodeAttachRequest(r), peerpb.PeerClient.Attach, decodeAnswer)
	if err != nil {
		return Answer{}, err
	}
	return verifyAnswer(a, r.Task)
}

// ForwardTask passes a task to the peer and waits for its answer. An answer that is
// truncated or belongs to another task is an error.
func (c *Client) ForwardTask(ctx context.Context, address string, r ForwardRequest) (Answer, error) {
	a, err := callPeer(ctx, c, address, encodeForwardRequest(r), peerpb.PeerClient.Forward, decodeAnswer)
	if err != nil {
		return Answer{}, err
	}
	return verifyAnswer(a, r.Task.ID)
}

// CancelTask cancels a task that was forwarded to the peer.
func (c *Client) CancelTask(ctx context.Context, address string, r CancelRequest) error {
	p := &peerpb.CancelRequest{Task: r.Task}
	_, err := callPeer(ctx, c, address, p, peerpb.PeerClient.Cancel, decodeEmpty)
	return err
}

// ListRulesChanges asks the peer for the rule changes with a number above r.After.
func (c *Client) ListRulesChanges(ctx context.Context, address string, r ChangesRequest) (ChangesReply, error) {
	p := &peerpb.ChangesRequest{After: r.After}
	return callPeer(ctx, c, address, p, peerpb.PeerClient.Changes, decodeChangesReply)
}

// FetchReport asks the peer for its part of a report that an operator has requested.
func (c *Client) FetchReport(ctx context.Context, address string, r ReportRequest) (ReportReply, error) {
	p := &peerpb.ReportRequest{Kind: r.Kind, Subject: r.Subject}
	return callPeer(ctx, c, address, p, peerpb.PeerClient.Report, decodeReportReply)
}

// verifyAnswer returns the answer if it belongs to task and its output has the
// right digest, and an error otherwise.
func verifyAnswer(a Answer, task string) (Answer, error) {
	if task != "" && a.Task != task {
		return Answer{}, classifier.Uncertain(classifier.Crossed, "answer of task %q to task %q", a.Task, task)
	}
	if a.Err == nil && a.Digest != sha256.Sum256(a.Output) {
		return Answer{}, classifier.Uncertain(classifier.Truncated, "answer of task %q fails its digest", a.Task)
	}
	return a, nil
}

func decodeEmpty(*peerpb.Empty) (struct{}, error) { return struct{}{}, nil }

// callPeer waits for the connection to address, sends one request and decodes the
// reply.
func callPeer[P, Q, A any](
	ctx context.Context,
	c *Client,
	address string,
	p P,
	method func(peerpb.PeerClient, context.Context, P, ...grpc.CallOption) (Q, error),
	decode func(Q) (A, error),
) (A, error) {
	var zero A
	conn, err := c.waitForConn(ctx, address)
	if err != nil {
		return zero, err
	}
	reply, err := method(peerpb.NewPeerClient(conn), ctx, p)
	if err != nil {
		return zero, errorFromStatus(ctx, address, err)
	}
	a, err := decode(reply)
	if err != nil {
		return zero, classifier.Uncertain(classifier.PeerLost, "reply of %s: %v", address, err)
	}
	return a, nil
}

// errorFromStatus returns the error that the handler of the peer reported. If
// gRPC itself failed, it returns classifier.PeerLost with the verdict
// may-have-run.
func errorFromStatus(ctx context.Context, address string, err error) error {
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

// waitForConn returns the connection to address once it is established. On
// failure it returns an error with the verdict not-run, because nothing has been
// sent.
func (c *Client) waitForConn(ctx context.Context, address string) (*grpc.ClientConn, error) {
	conn, err := c.connFor(address)
	if err != nil {
		return nil, classifier.Refuse(classifier.PeerLost, "no connection to %s: %v", address, err)
	}
	ctx, cancel := context.WithTimeout(ctx, c.connectTimeout)
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

// connFor returns the connection to address. It creates one that is not connected
// yet if there is none.
func (c *Client) connFor(address string) (*grpc.ClientConn, error) {
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
			MinConnectTimeout: c.connectTimeout,
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
