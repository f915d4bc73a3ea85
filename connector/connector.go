package connector

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"
)

const (
	defaultMaxIdlePerHost  = 2
	defaultMaxBody         = 64 << 20               // bytes of a response body
	defaultConnectTimeout  = 300 * time.Millisecond // a connection within a region opens in a few ms
	idleTimeout            = 60 * time.Second       // an idle connection is not used again after this time
	minIdleTimeBeforeCheck = 50 * time.Millisecond  // a connection used more recently is assumed to be open
	lateResponseTimeout    = 2 * time.Second        // how long a late response is awaited in order to keep its connection
	readBufferBytes        = 2 << 10                // most responses fit
)

type (
	// Transport is an http.RoundTripper. It reads each response completely before
	// it returns it, never sends a request twice, and calls the hooks GetConn and
	// GotConn of httptrace.
	//
	// A connection whose response is late, because the context of the call ended
	// first, is not closed at once: it is used again if the response still comes. Until
	// then the other unused connections to the host are not used either, since they may
	// have fallen silent together. If the response doesn't come, they are closed.
	Transport struct {
		dial           func(ctx context.Context, network, address string) (net.Conn, error)
		connectTimeout func() time.Duration
		maxIdlePerHost int
		maxBody        int64

		mu        sync.Mutex
		hosts     map[string]*host
		nextSweep time.Time // when connections that have been idle for too long are closed
	}

	// host is the connections to one host that are not in use.
	host struct {
		idle   []*conn   // the one used last is at the end
		late   int       // connections that await a late response
		lateAt time.Time // when the last call without a response failed; connections that have not responded since are in doubt
	}

	conn struct {
		net.Conn
		reader    *bufio.Reader
		idleSince time.Time
		mark      atomic.Int64 // see Affinity; 0 for none
	}

	// Affinity restricts a call to the connections with a mark. A connection reaches
	// the same process of a server as long as it lasts, so a caller that marks it with
	// what a response says of the process can send later calls to that process only.
	Affinity struct {
		// Mark is the mark of the connections that the call may use, 0 for any. Without
		// such a connection the call fails with ErrNoMarkedConnection and is not sent.
		Mark int64

		used atomic.Pointer[conn]
	}

	affinityKey struct{} // key of an Affinity in a context

	// Option configures a Transport.
	Option func(*Transport)
)

// ErrNoMarkedConnection reports that no unused connection has the mark that the call
// requires.
const ErrNoMarkedConnection = errors.ConstError("no unused connection reaches the required process")

var requestBuffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// WithDialer sets the dialer of connections.
func WithDialer(d *net.Dialer) Option {
	return func(t *Transport) { t.dial = d.DialContext }
}

// WithConnectTimeout sets the function that returns how long a connection may
// take to open.
func WithConnectTimeout(timeout func() time.Duration) Option {
	return func(t *Transport) { t.connectTimeout = timeout }
}

// WithMaxIdlePerHost sets how many unused connections to a host are kept.
func WithMaxIdlePerHost(n int) Option {
	return func(t *Transport) { t.maxIdlePerHost = n }
}

// WithMaxBody sets the size limit of a response body in bytes.
func WithMaxBody(n int64) Option {
	return func(t *Transport) { t.maxBody = n }
}

// New returns a transport.
func New(opts ...Option) *Transport {
	t := &Transport{
		dial: (&net.Dialer{}).DialContext, connectTimeout: func() time.Duration { return defaultConnectTimeout },
		maxIdlePerHost: defaultMaxIdlePerHost, maxBody: defaultMaxBody, hosts: make(map[string]*host),
	}
	for _, opt := range opts {
		opt(t)
	}
	return t
}

// WithAffinity returns a context for one call with the affinity.
func WithAffinity(ctx context.Context, a *Affinity) context.Context {
	return context.WithValue(ctx, affinityKey{}, a)
}

// MarkConnection marks the connection that the call has used, if it has used one.
func (a *Affinity) MarkConnection(mark int64) {
	if c := a.used.Load(); c != nil {
		c.mark.Store(mark)
	}
}

func (a *Affinity) requiredMark() int64 {
	if a == nil {
		return 0
	}
	return a.Mark
}

// RoundTrip implements http.RoundTripper. It supports the scheme http only.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	if r.Body != nil {
		defer func() { _ = r.Body.Close() }() // the body has been read by then
	}
	if r.URL.Scheme != "http" {
		return nil, errors.NotSupportedf("scheme %q in %s", r.URL.Scheme, r.URL)
	}
	ctx, name := r.Context(), r.URL.Host
	trace := httptrace.ContextClientTrace(ctx)
	if trace != nil && trace.GetConn != nil {
		trace.GetConn(name)
	}
	affinity, _ := ctx.Value(affinityKey{}).(*Affinity)
	c, reused, err := t.connectionTo(ctx, name, affinity.requiredMark())
	if err != nil {
		return nil, err
	}
	if affinity != nil {
		affinity.used.Store(c)
	}
	if trace != nil && trace.GotConn != nil {
		trace.GotConn(httptrace.GotConnInfo{Conn: c, Reused: reused})
	}
	return t.exchange(r, name, c)
}

// exchange sends the request and reads the response.
func (t *Transport) exchange(r *http.Request, name string, c *conn) (*http.Response, error) {
	ctx := r.Context()
	deadline, _ := ctx.Deadline() // the zero time means none
	if err := c.SetDeadline(deadline); err != nil {
		_ = c.Close() // a connection that is not usable
		return nil, errors.Annotatef(err, "connection to %s", name)
	}
	interrupted := make(chan struct{})
	stop := context.AfterFunc(ctx, func() {
		_ = c.SetDeadline(time.Unix(1, 0)) // ends the reads and writes below
		close(interrupted)
	})
	res, responding, err := t.call(c, r)
	if !stop() {
		<-interrupted // so that it does not end a later use of the connection
	}
	switch {
	case err == nil && !res.Close:
		t.putIdle(name, c)
	case err != nil && !responding && isTimeout(err):
		t.awaitLateResponse(name, c, errors.Is(ctx.Err(), context.Canceled))
	default:
		_ = c.Close() // the response is complete, or there will be none
	}
	if err != nil {
		return nil, errorOf(ctx, err)
	}
	return res, nil
}

// call sends the request and reads the response. If it fails, responding reports
// whether the request may be incomplete or a part of the response has been read.
func (t *Transport) call(c *conn, r *http.Request) (res *http.Response, responding bool, err error) {
	if err := c.send(r); err != nil {
		return nil, true, err
	}
	if _, err := c.reader.Peek(1); err != nil {
		return nil, false, err
	}
	res, err = t.readResponse(c, r)
	return res, true, err
}

// errorOf returns the error of the context if it has ended, because that has
// caused err.
func errorOf(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if isTimeout(err) {
		return context.DeadlineExceeded // the connection's deadline comes a moment before that of the context
	}
	return err
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// send writes the request in one call, so that it takes one packet if it is
// small.
func (c *conn) send(r *http.Request) error {
	buf := requestBuffers.Get().(*bytes.Buffer)
	defer requestBuffers.Put(buf)
	buf.Reset()
	if _, ok := r.Header["User-Agent"]; !ok {
		r = r.WithContext(r.Context()) // a RoundTripper must not change the request
		r.Header = r.Header.Clone()
		if r.Header == nil {
			r.Header = make(http.Header)
		}
		r.Header["User-Agent"] = []string{""} // leaves out the default one
	}
	if err := r.Write(buf); err != nil {
		return errors.Trace(err)
	}
	_, err := c.Write(buf.Bytes())
	return err
}

// readResponse reads a response with its body.
func (t *Transport) readResponse(c *conn, r *http.Request) (*http.Response, error) {
	for {
		res, err := http.ReadResponse(c.reader, r)
		if err != nil {
			return nil, err
		}
		if res.StatusCode >= 100 && res.StatusCode < 200 {
			continue // the final response follows
		}
		body, err := readBody(res, t.maxBody)
		if err != nil {
			return nil, err
		}
		res.Body = io.NopCloser(bytes.NewReader(body))
		return res, nil
	}
}

func readBody(res *http.Response, limit int64) ([]byte, error) {
	defer func() { _ = res.Body.Close() }() // has no effect on the connection
	if res.ContentLength > limit {
		return nil, errors.Errorf("the response has %d bytes, the limit is %d", res.ContentLength, limit)
	}
	if res.ContentLength >= 0 {
		body := make([]byte, res.ContentLength)
		_, err := io.ReadFull(res.Body, body)
		return body, err
	}
	body, err := io.ReadAll(io.LimitReader(res.Body, limit+1))
	if err == nil && int64(len(body)) > limit {
		err = errors.Errorf("the response has more than %d bytes, the limit", limit)
	}
	return body, err
}

// connectionTo returns an idle connection to the host, or opens one. If mark is not 0,
// it returns an idle connection with that mark, or ErrNoMarkedConnection.
func (t *Transport) connectionTo(ctx context.Context, name string, mark int64) (c *conn, reused bool, err error) {
	for {
		if c = t.takeIdle(name, mark); c == nil {
			break
		}
		if c.isUsable() {
			return c, true, nil
		}
		_ = c.Close() // closed by the other side
	}
	if mark != 0 {
		return nil, false, ErrNoMarkedConnection
	}
	ctx, cancel := context.WithTimeout(ctx, t.connectTimeout())
	defer cancel()
	opened, err := t.dial(ctx, "tcp", name)
	if err != nil {
		return nil, false, err
	}
	return &conn{Conn: opened, reader: bufio.NewReaderSize(opened, readBufferBytes)}, false, nil
}

// takeIdle returns the idle connection with the mark that was used last, or nil.
// Without a mark it prefers an unmarked one, so that marked ones are there for the
// calls that require them.
func (t *Transport) takeIdle(name string, mark int64) *conn {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.hosts[name]
	if h == nil {
		return nil
	}
	i := h.lastWithMark(mark)
	if i < 0 && mark == 0 {
		i = len(h.idle) - 1
	}
	if i < 0 || h.isInDoubt(h.idle[i]) {
		return nil
	}
	c := h.idle[i]
	h.idle = slices.Delete(h.idle, i, i+1)
	return c
}

// lastWithMark returns the index of the idle connection with the mark that was used
// last, or -1. The caller holds the mutex of the transport.
func (h *host) lastWithMark(mark int64) int {
	for i, c := range slices.Backward(h.idle) {
		if c.mark.Load() == mark && !h.isInDoubt(c) {
			return i
		}
	}
	return -1
}

// isInDoubt reports whether a call to the host has had no response since the idle
// connection was used last.
func (h *host) isInDoubt(c *conn) bool {
	return c.idleSince.Before(h.lateAt)
}

// takeInDoubt removes the connections in doubt from the idle ones and returns them.
func (h *host) takeInDoubt() []*conn {
	var inDoubt []*conn
	h.idle = slices.DeleteFunc(h.idle, func(c *conn) bool {
		if h.isInDoubt(c) {
			inDoubt = append(inDoubt, c)
			return true
		}
		return false
	})
	return inDoubt
}

// putIdle keeps a connection for the next call.
func (t *Transport) putIdle(name string, c *conn) {
	c.idleSince = time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closeUnused(c.idleSince)
	h := t.hostOf(name)
	if c.reader.Buffered() > 0 {
		_ = c.Close() // sends more than its responses
		return
	}
	h.idle = append(h.idle, c)
	if len(h.idle) > t.maxIdlePerHost {
		i := 0
		if !h.isInDoubt(h.idle[0]) {
			i = max(0, h.lastWithMark(0)) // a marked one is harder to replace
		}
		_ = h.idle[i].Close() // is not needed
		h.idle = slices.Delete(h.idle, i, i+1)
	}
}

// closeUnused closes the connections that have been idle for too long, since the
// hosts of some of them are gone. The caller holds the mutex.
func (t *Transport) closeUnused(now time.Time) {
	if now.Before(t.nextSweep) {
		return
	}
	t.nextSweep = now.Add(idleTimeout / 2)
	for name, h := range t.hosts {
		h.idle = slices.DeleteFunc(h.idle, func(c *conn) bool {
			unused := now.Sub(c.idleSince) > idleTimeout
			if unused {
				_ = c.Close() // is not in use
			}
			return unused
		})
		if len(h.idle) == 0 && h.late == 0 {
			delete(t.hosts, name)
		}
	}
}

// hostOf returns the state of a host. The caller holds the mutex.
func (t *Transport) hostOf(name string) *host {
	h := t.hosts[name]
	if h == nil {
		h = &host{}
		t.hosts[name] = h
	}
	return h
}

// awaitLateResponse keeps a connection if its response comes within
// lateResponseTimeout. It does so for one connection to a host at a time, because
// a host that answers none of several calls is probably gone. Unless the caller has
// cancelled the call, the other unused connections are in doubt until the response
// comes.
func (t *Transport) awaitLateResponse(name string, c *conn, cancelled bool) {
	t.mu.Lock()
	h := t.hostOf(name)
	if !cancelled {
		h.lateAt = time.Now()
	}
	if h.late > 0 {
		t.mu.Unlock()
		_ = c.Close() // the connection has no further use
		return
	}
	h.late++
	t.mu.Unlock()
	go func() {
		err := c.SetDeadline(time.Now().Add(lateResponseTimeout))
		if err == nil {
			var res *http.Response
			if res, err = t.readResponse(c, nil); err == nil && res.Close {
				err = io.EOF
			}
		}
		var unneeded []*conn
		t.mu.Lock()
		h.late--
		if err == nil {
			h.lateAt = time.Time{}
		} else {
			unneeded = append(h.takeInDoubt(), c)
		}
		t.mu.Unlock()
		for _, c := range unneeded {
			_ = c.Close() // has not responded
		}
		if err == nil {
			t.putIdle(name, c)
		}
	}()
}

// CloseIdleConnections closes all connections that are not in use.
func (t *Transport) CloseIdleConnections() {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, h := range t.hosts {
		for _, c := range h.idle {
			_ = c.Close() // is not in use
		}
		h.idle = nil
	}
}

// isUsable reports whether the other side has neither closed an idle connection
// nor sent anything on it.
func (c *conn) isUsable() bool {
	idle := time.Since(c.idleSince)
	if idle < minIdleTimeBeforeCheck {
		return true
	}
	if idle > idleTimeout {
		return false
	}
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	usable := false
	err = raw.Control(func(fd uintptr) {
		var b [1]byte
		_, _, err := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		usable = errors.Is(err, unix.EAGAIN)
	})
	return err == nil && usable
}
