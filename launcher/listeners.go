package launcher

import (
	"context"
	"net/http"

	"github.com/coltsfootlever/coltsfootlever/limiter"
	"github.com/coltsfootlever/coltsfootlever/platform"
)

// Parts of the sockets that an entry node may open. The other ones are for its own
// connections, which a leader may have several of to each worker.
const (
	callerSockets  = 1.0 / 6
	otherSockets   = 1.0 / 16 // of each other listener, up to the following bounds
	readinessConns = 32
	metricsConns   = 16
	relayConns     = 64

	socketBuffer = 32 << 10 // bytes; a body of the usual limit of 256 KB takes eight round trips
)

// listen opens a listener at address with a bound on its connections. It has a share of
// the entry node's sockets, up to maxConns if that is not 0, for itself.
func (l *Launcher) listen(ctx context.Context, s *platform.Settings, name, address string, share float64, maxConns int, opts ...limiter.ListenerOption) (*limiter.Listener, error) {
	listener, err := platform.Listen(ctx, address)
	if err != nil {
		return nil, err
	}
	n := int(share * float64(limiter.Sockets(s.MaxDescriptors)))
	if maxConns > 0 {
		n = min(n, maxConns)
	}
	return limiter.NewListener(listener, n, append(opts, limiter.WithName(name), limiter.WithListenerLog(l.log))...), nil
}

// listenForCallers opens the listener for callers, with the limits of the manifest in force.
func (l *Launcher) listenForCallers(ctx context.Context, s *platform.Settings) (*limiter.Listener, error) {
	return l.listen(ctx, s, "callers", s.CallersAddress, callerSockets, 0,
		limiter.WithLimits(l.fleet.connLimits), limiter.WithBuffers(socketBuffer), limiter.WithConnMemory(limiter.ConnMemory(s.MemoryMB)))
}

// connLimits returns the limits of callers' connections that the manifest in force sets.
func (s *fleetState) connLimits() limiter.Limits {
	m := s.Manifest()
	if m == nil {
		return limiter.Limits{}
	}
	return limiter.Limits{HeaderTimeout: m.HeaderTimeout, IdleTimeout: m.IdleTimeout, MaxHeader: m.MaxHeader}
}

// newServer returns the HTTP server of a listener.
func newServer(listener *limiter.Listener, h http.Handler) *http.Server {
	server := &http.Server{Handler: h}
	listener.Configure(server)
	return server
}
