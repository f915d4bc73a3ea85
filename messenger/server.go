package messenger

import (
	"context"
	"net"
	"time"

	"github.com/juju/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
	"google.golang.org/grpc/status"

	"github.com/coltsfootlever/coltsfootlever/classifier"
	"github.com/coltsfootlever/coltsfootlever/limiter"
	"github.com/coltsfootlever/coltsfootlever/messenger/peerpb"
)

const (
	// MaxMessageBytes limits the size of one reply between entries.
	MaxMessageBytes = 16 << 20
	// MaxRequestBytes limits the size of one request between entries. The largest are
	// a task with its body and a batch of names in a hand-over.
	MaxRequestBytes = 4 << 20
	// DefaultGracePeriod is how long a server waits for running calls when it
	// stops.
	DefaultGracePeriod = 10 * time.Second

	maxStreams             = 32 << 10 // of a connection; a peer opens one for each task that it forwards or waits for
	maxHeaderBytes         = 16 << 10 // of a request
	handshakeTimeout       = 5 * time.Second
	serverKeepaliveTime    = 30 * time.Second
	serverKeepaliveTimeout = 10 * time.Second
	minPingInterval        = keepaliveTime / 2 // a peer that pings more often is disconnected
)

type (
	// Handler handles the requests of peers. An error that it returns is sent to
	// the peer together with its verdict. Its methods must return soon after ctx
	// ends.
	Handler interface {
		Heartbeat(ctx context.Context, hb Heartbeat) (Heartbeat, error)
		Claim(ctx context.Context, r ClaimRequest) (ClaimReply, error)
		ReportTaskOutcome(ctx context.Context, r SettleRequest) error
		HandOver(ctx context.Context, r HandOverRequest) error
		WaitForAnswer(ctx context.Context, r AttachRequest) (Answer, error)
		ForwardTask(ctx context.Context, r ForwardRequest) (Answer, error)
		CancelTask(ctx context.Context, r CancelRequest) error
		ListRulesChanges(ctx context.Context, r ChangesRequest) (ChangesReply, error)
		FetchReport(ctx context.Context, r ReportRequest) (ReportReply, error)
	}

	// Server serves a Handler to peers over gRPC.
	Server struct {
		grpc        *grpc.Server
		listener    net.Listener
		address     string
		gracePeriod time.Duration
		creds       credentials.TransportCredentials
		messages    *limiter.MessageBudget
	}

	// ServerOption configures a Server.
	ServerOption func(*Server)
)

// WithListener makes the server accept connections from l.
func WithListener(l net.Listener) ServerOption {
	return func(s *Server) { s.listener = l }
}

// WithAddress sets the TCP address to listen on. It has no effect together with
// WithListener.
func WithAddress(address string) ServerOption {
	return func(s *Server) { s.address = address }
}

// WithGracePeriod sets how long the server waits for running calls when it stops.
func WithGracePeriod(d time.Duration) ServerOption {
	return func(s *Server) { s.gracePeriod = d }
}

// WithServerCredentials sets the transport credentials, such as TLS. The default
// is unencrypted connections.
func WithServerCredentials(creds credentials.TransportCredentials) ServerOption {
	return func(s *Server) { s.creds = creds }
}

// WithMessageBudget bounds the memory of the requests that are arriving. The default
// is no bound.
func WithMessageBudget(b *limiter.MessageBudget) ServerOption {
	return func(s *Server) { s.messages = b }
}

// NewServer returns a server that passes requests to h.
func NewServer(h Handler, opts ...ServerOption) *Server {
	s := &Server{gracePeriod: DefaultGracePeriod, creds: insecure.NewCredentials()}
	for _, opt := range opts {
		opt(s)
	}
	if s.messages != nil {
		s.creds = s.messages.Credentials(s.creds)
	}
	s.grpc = grpc.NewServer(
		grpc.Creds(s.creds),
		grpc.MaxRecvMsgSize(MaxRequestBytes),
		grpc.MaxSendMsgSize(MaxMessageBytes),
		grpc.MaxHeaderListSize(maxHeaderBytes),
		grpc.MaxConcurrentStreams(maxStreams),
		grpc.ConnectionTimeout(handshakeTimeout),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: serverKeepaliveTime, Timeout: serverKeepaliveTimeout}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: minPingInterval, PermitWithoutStream: true}),
	)
	peerpb.RegisterPeerServer(s.grpc, &peerService{handler: h})
	return s
}

// Run accepts calls until ctx ends. It then accepts no new calls, waits at most
// the grace period for the running ones and returns nil.
func (s *Server) Run(ctx context.Context) error {
	l, err := s.listen()
	if err != nil {
		return errors.Annotate(err, "listening for peers")
	}
	serveErr := make(chan error, 1)
	go func() { serveErr <- s.grpc.Serve(l) }()
	select {
	case err := <-serveErr:
		return errors.Annotate(err, "serving peers")
	case <-ctx.Done():
	}
	s.stop()
	<-serveErr
	return nil
}

func (s *Server) listen() (net.Listener, error) {
	if s.listener != nil {
		return s.listener, nil
	}
	l, err := net.Listen("tcp", s.address)
	return l, errors.Trace(err)
}

// stop lets running calls finish and cancels those that still run after the grace
// period.
func (s *Server) stop() {
	timer := time.AfterFunc(s.gracePeriod, s.grpc.Stop)
	defer timer.Stop()
	s.grpc.GracefulStop()
}

// peerService implements the generated server interface with a Handler.
type peerService struct {
	peerpb.UnimplementedPeerServer
	handler Handler
}

// statusFromError converts an error of the handler to a gRPC status that contains
// the verdict in its details.
func statusFromError(err error) error {
	if err == nil {
		return nil
	}
	e := classifier.As(err)
	st, detailErr := status.New(codes.Aborted, e.Message).WithDetails(encodeError(e))
	if detailErr != nil {
		return errors.Trace(detailErr)
	}
	return st.Err()
}

// handleCall decodes a request, passes it to the handler and encodes the reply. It
// refuses a malformed request with the verdict not-run.
func handleCall[P, R, A, Q any](
	ctx context.Context,
	p P,
	decode func(P) (R, error),
	handle func(context.Context, R) (A, error),
	encode func(A) Q,
) (Q, error) {
	var zero Q
	r, err := decode(p)
	if err != nil {
		return zero, statusFromError(classifier.Refuse(classifier.BadRequest, "%v", err))
	}
	a, err := handle(ctx, r)
	if err != nil {
		return zero, statusFromError(err)
	}
	return encode(a), nil
}

// handleCallWithoutReply does the same as handleCall for calls with an empty
// reply.
func handleCallWithoutReply[P, R any](
	ctx context.Context,
	p P,
	decode func(P) (R, error),
	handle func(context.Context, R) error,
) (*peerpb.Empty, error) {
	handleWithoutReply := func(ctx context.Context, r R) (struct{}, error) { return struct{}{}, handle(ctx, r) }
	encode := func(struct{}) *peerpb.Empty { return &peerpb.Empty{} }
	return handleCall(ctx, p, decode, handleWithoutReply, encode)
}

func (s *peerService) Heartbeat(ctx context.Context, p *peerpb.Beat) (*peerpb.Beat, error) {
	return handleCall(ctx, p, decodeHeartbeat, s.handler.Heartbeat, encodeHeartbeat)
}

func (s *peerService) Claim(ctx context.Context, p *peerpb.ClaimRequest) (*peerpb.ClaimReply, error) {
	return handleCall(ctx, p, decodeClaimRequest, s.handler.Claim, encodeClaimReply)
}

func (s *peerService) Settle(ctx context.Context, p *peerpb.SettleRequest) (*peerpb.Empty, error) {
	return handleCallWithoutReply(ctx, p, decodeSettleRequest, s.handler.ReportTaskOutcome)
}

func (s *peerService) HandOver(ctx context.Context, p *peerpb.HandOverRequest) (*peerpb.Empty, error) {
	return handleCallWithoutReply(ctx, p, decodeHandOverRequest, s.handler.HandOver)
}

func (s *peerService) Attach(ctx context.Context, p *peerpb.AttachRequest) (*peerpb.Answer, error) {
	return handleCall(ctx, p, decodeAttachRequest, s.handler.WaitForAnswer, encodeAnswer)
}

func (s *peerService) Forward(ctx context.Context, p *peerpb.ForwardRequest) (*peerpb.Answer, error) {
	return handleCall(ctx, p, decodeForwardRequest, s.handler.ForwardTask, encodeAnswer)
}

func (s *peerService) Cancel(ctx context.Context, p *peerpb.CancelRequest) (*peerpb.Empty, error) {
	return handleCallWithoutReply(ctx, p, decodeCancelRequest, s.handler.CancelTask)
}

func (s *peerService) Changes(ctx context.Context, p *peerpb.ChangesRequest) (*peerpb.ChangesReply, error) {
	return handleCall(ctx, p, decodeChangesRequest, s.handler.ListRulesChanges, encodeChangesReply)
}

func (s *peerService) Report(ctx context.Context, p *peerpb.ReportRequest) (*peerpb.ReportReply, error) {
	return handleCall(ctx, p, decodeReportRequest, s.handler.FetchReport, encodeReportReply)
}
