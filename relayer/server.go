package relayer

import (
	"context"
	"log/slog"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/keepalive"

	"github.com/coltsfootlever/coltsfootlever/elector"
	"github.com/coltsfootlever/coltsfootlever/modeler"
	"github.com/coltsfootlever/coltsfootlever/supervisor"
)

const (
	maxCallAge       = 500 * time.Millisecond // calls whose stamp is older are refused; a start that is older may have been given up by its leader
	maxCallsInFlight = 1024                   // of a stream: one poll and two other calls for each of 256 workers, and some to spare
	maxStreams       = 8                      // of a connection; a leader opens one
	silenceInterval  = 500 * time.Millisecond // between two checks of when the leader was last heard
	maxNewStreams    = 4                      // of all connections, before their first frame has arrived
	firstFrameTime   = 2 * time.Second        // for the first frame of a stream to arrive
	handshakeTime    = 2 * time.Second        // for the handshake of a connection
	idleTime         = 10 * time.Second       // a connection without a stream is closed after it
	pingTime         = 10 * time.Second       // a connection on which nothing arrives is tested after it
	pingTimeout      = 5 * time.Second
	maxHeaderBytes   = 16 << 10               // of a stream
	drainTime        = 600 * time.Millisecond // for open calls when the relay stops; a poll that lasts longer is repeated by the leader
)

const (
	errSuperseded = errors.ConstError("a leader with a higher or the same fencing token has opened a stream")
	errLeaderLost = errors.ConstError("nothing received from the leader for too long")
	errStopping   = errors.ConstError("relay is stopping")
	errNoFrame    = errors.ConstError("no first frame in time")
	errCrowded    = errors.ConstError("too many streams without a first frame")
)

type (
	// Server is a relay: it carries out the calls that a leader sends.
	Server struct {
		workers    Workers
		now        func() time.Duration
		log        *slog.Logger
		maxSilence time.Duration

		mu       sync.Mutex
		session  *session // the stream with the highest token, nil if there is none
		stopping bool
		open     sync.WaitGroup  // streams
		started  []chan struct{} // streams without a first frame, the oldest first; closed to end one
	}

	// session is a stream from a leader.
	session struct {
		version   uint64 // of the leader's protocol
		token     int64
		cancel    context.CancelCauseFunc
		out       *outbox
		lastFrame atomic.Int64 // when the last frame arrived, on the clock of the server
		inFlight  chan struct{}
		leaving   atomic.Bool
	}

	// ServerOption configures a Server.
	ServerOption func(*Server)
)

// WithServerClock sets the clock that stamps frames. It must keep counting while
// the machine is suspended.
func WithServerClock(now func() time.Duration) ServerOption {
	return func(s *Server) { s.now = now }
}

// WithServerLog sets the logger.
func WithServerLog(log *slog.Logger) ServerOption {
	return func(s *Server) { s.log = log }
}

// NewServer returns a relay that sends calls through workers.
func NewServer(workers Workers, opts ...ServerOption) *Server {
	s := &Server{workers: workers, now: elector.BootClock, log: slog.New(slog.DiscardHandler), maxSilence: elector.ExtensionLimit()}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// Run accepts streams on l until ctx ends. It then tells the leader, which sends
// no more calls, and waits for open calls for at most drainTime.
func (s *Server) Run(ctx context.Context, l net.Listener) error {
	server := grpc.NewServer(
		grpc.ForceServerCodecV2(frameCodec{}), grpc.MaxRecvMsgSize(maxFrameBytes), grpc.MaxSendMsgSize(maxFrameBytes), grpc.MaxConcurrentStreams(maxStreams),
		grpc.StaticStreamWindowSize(windowBytes), grpc.StaticConnWindowSize(windowBytes), grpc.WriteBufferSize(bufferBytes), grpc.ReadBufferSize(bufferBytes),
		grpc.ConnectionTimeout(handshakeTime), grpc.MaxHeaderListSize(maxHeaderBytes), grpc.KeepaliveParams(keepalive.ServerParameters{MaxConnectionIdle: idleTime, Time: pingTime, Timeout: pingTimeout}),
	)
	server.RegisterService(&serviceDesc, s)
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(l) }()
	select {
	case err := <-failed:
		return errors.Annotate(err, "serving the leader")
	case <-ctx.Done():
	}
	s.drain()
	server.Stop()
	<-failed
	return ctx.Err()
}

// drain ends all streams after their open calls, or after drainTime.
func (s *Server) drain() {
	s.mu.Lock()
	s.stopping = true
	current := s.session
	s.mu.Unlock()
	if current == nil {
		return
	}
	current.leaving.Store(true)
	current.out.flush()
	deadline := time.Now().Add(drainTime)
	for time.Now().Before(deadline) && len(current.inFlight) > 0 {
		time.Sleep(batchInterval)
	}
	time.Sleep(2 * batchInterval) // for the last results
	current.cancel(errStopping)
	s.open.Wait()
}

// Serve serves a stream until it fails, ctx ends, a leader with a higher token
// opens another, or the leader has been silent for as long as a leader without its
// own lease may extend those of tasks.
func (s *Server) Serve(ctx context.Context, stream Stream) error {
	first, err := s.receiveFirst(ctx, stream)
	if err != nil {
		s.log.Warn("stream ended before its first frame", "error", err)
		return err
	}
	version, token, err := (&reader{rest: first}).hello()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	current := &session{version: version, token: token, cancel: cancel, inFlight: make(chan struct{}, maxCallsInFlight)}
	current.out = newOutbox(func(buf []byte) []byte { return appendHeader(buf, s.now(), current.leaving.Load()) })
	current.lastFrame.Store(int64(s.now()))
	if err := s.accept(current); err != nil {
		s.log.Warn("stream from a leader refused", "token", token, "error", err)
		return err
	}
	defer s.release(current)
	s.log.Info("relay serves a leader", "token", token)
	current.out.flush() // the first stamp
	go func() { cancel(current.out.run(ctx, stream.Send)) }()
	go func() { cancel(s.receive(ctx, current, stream)) }()
	s.awaitEnd(ctx, current)
	err = context.Cause(ctx)
	s.log.Info("relay no longer serves a leader", "token", token, "cause", err)
	return err
}

// receiveFirst returns the first frame of a stream. It gives up after firstFrameTime, or
// earlier if more than maxNewStreams wait for theirs and this one is the oldest. The
// stream must then be ended, which ends the goroutine that receives.
func (s *Server) receiveFirst(ctx context.Context, stream Stream) (string, error) {
	ended := s.addStarted()
	defer s.removeStarted(ended)
	type frame struct {
		data string
		err  error
	}
	received := make(chan frame, 1)
	go func() {
		data, err := stream.Receive()
		received <- frame{data, err}
	}()
	timer := time.NewTimer(firstFrameTime)
	defer timer.Stop()
	select {
	case f := <-received:
		return f.data, f.err
	case <-ended:
		return "", errCrowded
	case <-timer.C:
		return "", errNoFrame
	case <-ctx.Done():
		return "", ctx.Err()
	}
}

// addStarted adds a stream without a first frame. At the bound it ends the oldest one.
func (s *Server) addStarted() (ended chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ended = make(chan struct{})
	if len(s.started) >= maxNewStreams {
		close(s.started[0])
		s.started = s.started[1:]
	}
	s.started = append(s.started, ended)
	return ended
}

func (s *Server) removeStarted(ended chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if i := slices.Index(s.started, ended); i >= 0 {
		s.started = slices.Delete(s.started, i, i+1)
	}
}

// awaitEnd returns when the stream has ended, and ends it when the leader is
// silent.
func (s *Server) awaitEnd(ctx context.Context, current *session) {
	for supervisor.Pause(ctx, silenceInterval) == nil {
		if s.now()-time.Duration(current.lastFrame.Load()) > s.maxSilence {
			current.cancel(errLeaderLost)
		}
	}
}

// accept makes a stream the current one and ends the one before, unless that has
// a higher token.
func (s *Server) accept(next *session) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.stopping:
		return errStopping
	case s.session != nil && s.session.token > next.token:
		return errSuperseded
	case s.session != nil:
		s.session.cancel(errSuperseded)
	}
	s.session = next
	s.open.Add(1)
	return nil
}

func (s *Server) release(ended *session) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.session == ended {
		s.session = nil
	}
	s.open.Done()
}

// receive starts the calls that arrive until the stream fails.
func (s *Server) receive(ctx context.Context, current *session, stream Stream) error {
	for {
		data, err := stream.Receive()
		if err != nil {
			return err
		}
		current.lastFrame.Store(int64(s.now()))
		for r := (&reader{rest: data, version: current.version}); r.rest != ""; {
			c := r.call()
			if r.err != nil {
				return r.err
			}
			s.startCall(ctx, current, &c)
		}
	}
}

// startCall carries out a call in a goroutine of its own, or refuses it if too many
// are open.
func (s *Server) startCall(ctx context.Context, current *session, c *call) {
	select {
	case current.inFlight <- struct{}{}:
	default:
		s.respond(current, c, result{id: c.id, outcome: outcomeNotSent, text: "too many open calls"})
		return
	}
	go func() {
		defer func() { <-current.inFlight }()
		s.respond(current, c, s.execute(ctx, current.token, c))
	}()
}

func (s *Server) respond(current *session, c *call, res result) {
	if !current.out.add(func(buf []byte) []byte { return appendResult(buf, &res, c.kind) }) {
		current.cancel(errors.New("leader takes no results")) // lost results count as unknown outcomes
	}
}

// execute sends a call to its worker unless the call is too old or its stream has
// ended.
func (s *Server) execute(ctx context.Context, token int64, c *call) result {
	if age := s.now() - c.stamp; age > maxCallAge || ctx.Err() != nil {
		return result{id: c.id, outcome: outcomeNotSent, text: "too old: " + age.String()}
	}
	ctx, cancel := context.WithTimeout(ctx, c.wait+c.limit)
	defer cancel()
	res := result{id: c.id}
	w := modeler.Worker{ID: c.worker, Address: c.address, StartTimeMs: c.process}
	var err error
	switch c.kind {
	case callStart:
		res.clock, err = s.workers.Start(ctx, w, modeler.StartOrder{
			Task: c.task, Run: c.run, Spec: c.spec, Checkpoint: c.checkpoint, Ticket: c.ticket, DeadlineMs: c.leaseDeadline, FencingToken: token,
		})
	case callStop:
		err = s.workers.Stop(ctx, w, c.task, c.run, token)
	case callPace:
		err = s.workers.SetPace(ctx, w, c.task, c.run, c.percent, token)
	case callPoll:
		res.report, err = s.workers.RenewAndPoll(ctx, w, c.leaseDeadline, token, c.acknowledged, c.wait)
	}
	if err != nil {
		return newFailure(c.id, err)
	}
	return res
}
