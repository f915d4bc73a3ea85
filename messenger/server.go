package messenger

import (
	"context"
	"net"
	"time"

	"github.com/juju/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/status"

	"github.com/coltsfootlever/coltsfootlever/classifier"
	"github.com/coltsfootlever/coltsfootlever/messenger/peerpb"
)

const (
	// MaxMessageBytes bounds a single message between entries.
	MaxMessageBytes = 16 << 20
	// DefaultGrace is how long a stopping server waits for running calls.
	DefaultGrace = 10 * time.Second
)

type (
	// Handler answers the messages of peers. An error that it returns reaches
	// the peer with its verdict. Its methods return soon after ctx ends.
	Handler interface {
		Heartbeat(ctx context.Context, hb Heartbeat) (Heartbeat, error)
		Claim(ctx context.Context, r ClaimRequest) (ClaimReply, error)
		Settle(ctx context.Context, r SettleRequest) error
		HandOver(ctx context.Context, r HandOverRequest) error
		Attach(ctx context.Context, r AttachRequest) (Answer, error)
		Forward(ctx context.Context, r ForwardRequest) (Answer, error)
		Cancel(ctx context.Context, r CancelRequest) error
		Changes(ctx context.Context, r ChangesRequest) (ChangesReply, error)
		Report(ctx context.Context, r ReportRequest) (ReportReply, error)
	}

	// Server serves a Handler to peers over gRPC.
	Server struct {
		grpc     *grpc.Server
		listener net.Listener
		address  string
		grace    time.Duration
		creds    credentials.TransportCredentials
	}

	// ServerOption sets an optional part of a Server.
	ServerOption func(*Server)
)

// WithListener makes the server accept connections from l.
func WithListener(l net.Listener) ServerOption {
	return func(s *Server) { s.listener = l }
}

// WithAddress makes the server listen on a TCP address when it has no listener.
func WithAddress(address string) ServerOption {
	return func(s *Server) { s.address = address }
}

// WithGrace sets how long a stopping server waits for running calls.
func WithGrace(d time.Duration) ServerOption {
	return func(s *Server) { s.grace = d }
}

// WithServerCredentials protects the connections. Without it they are in the
// clear.
func WithServerCredentials(creds credentials.TransportCredentials) ServerOption {
	return func(s *Server) { s.creds = creds }
}

// NewServer returns a server that passes messages to h.
func NewServer(h Handler, opts ...ServerOption) *Server {
	s := &Server{grace: DefaultGrace}
	for _, opt := range opts {
		opt(s)
	}
	grpcOpts := []grpc.ServerOption{
		grpc.MaxRecvMsgSize(MaxMessageBytes),
		grpc.MaxSendMsgSize(MaxMessageBytes),
	}
	if s.creds != nil {
		grpcOpts = append(grpcOpts, grpc.Creds(s.creds))
	}
	s.grpc = grpc.NewServer(grpcOpts...)
	peerpb.RegisterPeerServer(s.grpc, &service{h: h})
	return s
}

// Run accepts calls until ctx ends. It then accepts no new call, waits for the
// running ones for at most the grace and returns nil.
func (s *Server) Run(ctx context.Context) error {
	l, err := s.listen()
	if err != nil {
		return errors.Annotate(err, "listening for peers")
	}
	failed := make(chan error, 1)
	go func() { failed <- s.grpc.Serve(l) }()
	select {
	case err := <-failed:
		return errors.Annotate(err, "serving peers")
	case <-ctx.Done():
	}
	s.stop()
	<-failed
	return nil
}

func (s *Server) listen() (net.Listener, error) {
	if s.listener != nil {
		return s.listener, nil
	}
	l, err := net.Listen("tcp", s.address)
	return l, errors.Trace(err)
}

func (s *Server) stop() {
	timer := time.AfterFunc(s.grace, s.grpc.Stop)
	defer timer.Stop()
	s.grpc.GracefulStop()
}

// service adapts a Handler to the generated interface.
type service struct {
	peerpb.UnimplementedPeerServer
	h Handler
}

// toStatus turns an error of the handler into a status that carries the
// verdict in its details.
func toStatus(err error) error {
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

// serve decodes a request, has it handled and encodes the reply. A malformed
// request is refused with the verdict not-run.
func serve[P, R, A, Q any](
	ctx context.Context,
	p P,
	decode func(P) (R, error),
	handle func(context.Context, R) (A, error),
	encode func(A) Q,
) (Q, error) {
	var none Q
	r, err := decode(p)
	if err != nil {
		return none, toStatus(classifier.Refuse(classifier.BadRequest, "%v", err))
	}
	a, err := handle(ctx, r)
	if err != nil {
		return none, toStatus(err)
	}
	return encode(a), nil
}

// serveEmpty is serve for calls without a reply.
func serveEmpty[P, R any](
	ctx context.Context,
	p P,
	decode func(P) (R, error),
	handle func(context.Context, R) error,
) (*peerpb.Empty, error) {
	wrapped := func(ctx context.Context, r R) (struct{}, error) { return struct{}{}, handle(ctx, r) }
	encode := func(struct{}) *peerpb.Empty { return &peerpb.Empty{} }
	return serve(ctx, p, decode, wrapped, encode)
}

func (s *service) Heartbeat(ctx context.Context, p *peerpb.Beat) (*peerpb.Beat, error) {
	return serve(ctx, p, decodeHeartbeat, s.h.Heartbeat, encodeHeartbeat)
}

func (s *service) Claim(ctx context.Context, p *peerpb.ClaimRequest) (*peerpb.ClaimReply, error) {
	return serve(ctx, p, decodeClaimRequest, s.h.Claim, encodeClaimReply)
}

func (s *service) Settle(ctx context.Context, p *peerpb.SettleRequest) (*peerpb.Empty, error) {
	return serveEmpty(ctx, p, decodeSettle, s.h.Settle)
}

func (s *service) HandOver(ctx context.Context, p *peerpb.HandOverRequest) (*peerpb.Empty, error) {
	return serveEmpty(ctx, p, decodeHandOver, s.h.HandOver)
}

func (s *service) Attach(ctx context.Context, p *peerpb.AttachRequest) (*peerpb.Answer, error) {
	return serve(ctx, p, decodeAttach, s.h.Attach, encodeAnswer)
}

func (s *service) Forward(ctx context.Context, p *peerpb.ForwardRequest) (*peerpb.Answer, error) {
	return serve(ctx, p, decodeForward, s.h.Forward, encodeAnswer)
}

func (s *service) Cancel(ctx context.Context, p *peerpb.CancelRequest) (*peerpb.Empty, error) {
	return serveEmpty(ctx, p, decodeCancel, s.h.Cancel)
}

func (s *service) Changes(ctx context.Context, p *peerpb.ChangesRequest) (*peerpb.ChangesReply, error) {
	return serve(ctx, p, decodeChangesRequest, s.h.Changes, encodeChanges)
}

func (s *service) Report(ctx context.Context, p *peerpb.ReportRequest) (*peerpb.ReportReply, error) {
	return serve(ctx, p, decodeReportRequest, s.h.Report, encodeReport)
}
