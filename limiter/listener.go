package limiter

import (
	"context"
	"crypto/tls"
	"log/slog"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/coltsfootlever/coltsfootlever/meter"
)

// Limits of connections that apply where none are set.
const (
	DefaultHeaderTimeout = 3 * time.Second  // for the TLS handshake and the header of a request
	DefaultIdleTimeout   = 15 * time.Second // for a connection without requests
	DefaultMaxHeader     = 16 << 10         // bytes of a request's header
	WriteTimeout         = 10 * time.Second // for a client to take up to writeBytes

	minConns    = 4
	writeBytes  = 64 << 10    // written under one deadline
	headerSlop  = 4 << 10     // bytes that are read together with a header
	connBytes   = 20 << 10    // memory of a connection besides its header: buffers and stacks of goroutines
	recentTouch = time.Second // the last use of a connection without HTTP is known to this
)

// Reasons for which connections are closed, in the metrics.
const (
	reasonOldest  = "oldest"  // idle or unfinished the longest while another one came at the bound
	reasonNewest  = "newest"  // at the bound, while all others were being answered
	reasonHeader  = "header"  // its request's header was too large
	reasonTimeout = "timeout" // no handshake or header in time, or idle for too long
	reasonUnsent  = "unsent"  // the client did not take its answer in time
)

type (
	// Limits are limits of connections that may change while they are open. Where a
	// field is 0, the default applies.
	Limits struct {
		HeaderTimeout time.Duration
		IdleTimeout   time.Duration
		MaxHeader     int // bytes
	}

	// Listener is a net.Listener that bounds its open connections. At the bound it closes
	// the connection that has been idle or unfinished, or has not taken its answer, the
	// longest, or the new one if requests of all others are being answered, so that clients
	// never wait to be accepted.
	//
	// With Configure it also limits the times and header sizes of an http.Server. Without
	// it, a connection counts as idle from the last bytes that it received.
	Listener struct {
		net.Listener
		name     string
		log      *slog.Logger
		maxConns int
		memory   int64 // bytes for connections; 0 for no limit
		buffer   int   // bytes of a connection that the kernel holds in each direction; 0 for its default
		limits   func() Limits
		http     bool

		mu      sync.Mutex
		open    int
		waiting queue[*conn] // connections that are idle or unfinished, the one that has been for the longest comes first
		closed  eventSampler
	}

	// ListenerOption configures a Listener.
	ListenerOption func(*Listener)
)

// WithName sets the name of the listener in metrics and log lines.
func WithName(name string) ListenerOption {
	return func(l *Listener) { l.name = name }
}

// WithListenerLog sets the logger.
func WithListenerLog(log *slog.Logger) ListenerOption {
	return func(l *Listener) { l.log = log }
}

// WithBuffers bounds the bytes of a connection that the kernel holds in each direction:
// those that have not been read yet, also before it is accepted, and those that the client
// has not taken.
func WithBuffers(n int) ListenerOption {
	return func(l *Listener) { l.buffer = n }
}

// WithConnMemory bounds the memory of all connections, in bytes: each one may take
// buffers and its largest header.
func WithConnMemory(n int64) ListenerOption {
	return func(l *Listener) { l.memory = n }
}

// WithLimits sets a function that returns the limits in force.
func WithLimits(limits func() Limits) ListenerOption {
	return func(l *Listener) { l.limits = limits }
}

// NewListener returns a listener with at most maxConns open connections, but at least 4.
func NewListener(l net.Listener, maxConns int, opts ...ListenerOption) *Listener {
	bounded := &Listener{Listener: l, name: "callers", log: slog.New(slog.DiscardHandler), maxConns: maxConns, limits: func() Limits { return Limits{} }}
	for _, opt := range opts {
		opt(bounded)
	}
	if bounded.buffer > 0 {
		if err := setBuffers(l, bounded.buffer); err != nil {
			bounded.log.Warn("buffers of connections not bounded, they may take more memory", "listener", bounded.name, "bytes", bounded.buffer, "error", err)
		}
	}
	meter.ExportOpenConnections(bounded.name, bounded.Open)
	return bounded
}

// Configure makes s, which must not serve yet, tell the listener which connections are
// answering requests. The listener then applies the limits of headers and idle
// connections; those of s should not be set. TLS may lie between the two. Requests of HTTP/2 are
// served, but the connection is then closed at the bound like one without requests.
func (l *Listener) Configure(s *http.Server) {
	l.http = true
	s.Handler = &tracker{next: s.Handler}
	s.ConnContext = func(ctx context.Context, nc net.Conn) context.Context {
		c := connBelow(nc)
		if c != nil {
			c.plain = nc == net.Conn(c)
		}
		return context.WithValue(ctx, connKey{}, c)
	}
	s.ConnState = func(nc net.Conn, state http.ConnState) {
		c := connBelow(nc)
		switch {
		case c == nil:
		case state == http.StateActive && isHTTP2(nc):
			c.unmanage()
		case state == http.StateActive:
			c.endHeader()
		case state == http.StateIdle:
			c.becomeIdle()
		}
	}
	if s.MaxHeaderBytes == 0 {
		s.MaxHeaderBytes = http.DefaultMaxHeaderBytes // the listener's limit is lower
	}
}

// Open returns the number of open connections.
func (l *Listener) Open() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.open
}

// MaxConns returns how many connections may be open under the limits in force.
func (l *Listener) MaxConns() int {
	n := l.maxConns
	if l.memory > 0 {
		n = min(n, int(l.memory/int64(connBytes+l.buffer+l.limitsInForce().MaxHeader)))
	}
	return max(minConns, n)
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.admit(nc); c != nil {
			return c, nil
		}
	}
}

// admit returns the connection for nc. At the bound it closes another connection or,
// if none may be closed, nc; it then returns nil.
func (l *Listener) admit(nc net.Conn) *conn {
	c := &conn{Conn: nc, listener: l, since: time.Now()}
	c.place.owner = c
	if !l.http {
		c.phase.Store(unmanaged)
		c.usedAt.Store(c.since.UnixNano())
	}
	for maxConns := l.MaxConns(); ; {
		l.mu.Lock()
		if l.open < maxConns {
			l.open++
			l.waiting.push(&c.place)
			l.mu.Unlock()
			return c
		}
		first := l.waiting.first
		if first == nil {
			l.mu.Unlock()
			l.countClosed(reasonNewest)
			_ = nc.Close() // nothing was written
			return nil
		}
		first.owner.evicted = true
		l.waiting.remove(first)
		l.mu.Unlock()
		l.countClosed(reasonOldest)
		_ = first.owner.Close() // no answer is under way
	}
}

// countClosed counts a connection that the listener closes.
func (l *Listener) countClosed(reason string) {
	meter.CountClosedConnection(l.name, reason)
	if n, ok := l.closed.add(); ok {
		l.log.Warn("connections closed by the listener", "listener", l.name, "count", n, "last-reason", reason, "open", l.Open(), "bound", l.MaxConns())
	}
}

// limitsInForce returns the limits with defaults where none are set.
func (l *Listener) limitsInForce() Limits {
	limits := l.limits()
	if limits.HeaderTimeout <= 0 {
		limits.HeaderTimeout = DefaultHeaderTimeout
	}
	if limits.IdleTimeout <= 0 {
		limits.IdleTimeout = DefaultIdleTimeout
	}
	if limits.MaxHeader <= 0 {
		limits.MaxHeader = DefaultMaxHeader
	}
	return limits
}

type (
	// tracker is the handler that tells the Listener which requests are being answered.
	tracker struct {
		next http.Handler
	}

	connKey struct{} // context key of a request's *conn
)

// ServeHTTP implements http.Handler. Until ReadBody has read its body, a request counts as
// unfinished. The server reads what the handler leaves of a body for at most StallTimeout.
func (t *tracker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if c := connOf(r); c != nil && r.ContentLength == 0 {
		c.protect() // if it is being closed, the client gets no answer
	}
	t.next.ServeHTTP(w, r)
}

// connOf returns the connection that carries a request and no other one, or nil.
func connOf(r *http.Request) *conn {
	if r.ProtoMajor > 1 {
		return nil
	}
	c, _ := r.Context().Value(connKey{}).(*conn)
	return c
}

func isHTTP2(nc net.Conn) bool {
	c, ok := nc.(interface{ ConnectionState() tls.ConnectionState })
	return ok && c.ConnectionState().NegotiatedProtocol == "h2"
}

// connBelow returns the Listener's connection below a connection of an http.Server, or nil.
func connBelow(nc net.Conn) *conn {
	for {
		switch v := nc.(type) {
		case *conn:
			return v
		case interface{ NetConn() net.Conn }:
			nc = v.NetConn()
		default:
			return nil
		}
	}
}

// Bodiless returns a handler that refuses requests with a body and serves the others
// with next.
func Bodiless(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength != 0 {
			w.Header().Set("Connection", "close")
			_ = http.NewResponseController(w).SetReadDeadline(aLongTimeAgo) // without it the server reads the body
			http.Error(w, "a body is not accepted here", http.StatusRequestEntityTooLarge)
			return
		}
		next.ServeHTTP(w, r)
	})
}
