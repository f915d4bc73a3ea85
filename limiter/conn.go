package limiter

import (
	"net"
	"os"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
)

// What a connection does.
const (
	receiving phase = iota // the TLS handshake or the header of a request
	reading                // the body of a request, or what its handler has left of it
	answering              // the body has been read; the server sets the deadlines
	idle
	unmanaged // it doesn't carry requests one after another
)

const (
	resetDelay        = 500 * time.Millisecond // a client that is still sending may lose an answer when the connection is closed
	errHeaderTooLarge = errors.ConstError("request header too large")
	headerTooLarge    = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n431 Request Header Fields Too Large"
)

type (
	phase = int32

	// conn is a connection of a Listener.
	conn struct {
		net.Conn
		listener *Listener
		plain    bool // without TLS
		phase    atomic.Int32
		cut      atomic.Bool  // the reading of the body has been broken off
		writeCut atomic.Bool  // a deadline in the past was set, no more is written
		usedAt   atomic.Int64 // unmanaged: time of the last use, in ns since 1970

		// These are used by the goroutine that reads requests.
		since         time.Time // when the phase began
		deadlineSet   bool      // for the phase
		headerBytes   int
		bodyDeadline  time.Time // for the whole body; zero if nothing reads it
		writeDeadline time.Time // used by the goroutine that writes

		// These are guarded by the listener's mutex.
		place   place[*conn]
		evicted bool // the listener closes it
		closed  bool
	}
)

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	switch c.phase.Load() {
	case receiving, idle:
		return c.readRequest(p)
	case reading:
		return c.readBody(p)
	case unmanaged:
		n, err := c.Conn.Read(p)
		c.touch()
		return n, err
	}
	return c.Conn.Read(p)
}

// readRequest reads bytes of a handshake or a header, or waits for a request.
func (c *conn) readRequest(p []byte) (int, error) {
	limits := c.listener.limitsInForce()
	if !c.deadlineSet {
		limit := limits.HeaderTimeout
		if c.phase.Load() == idle {
			limit = limits.IdleTimeout
		}
		if err := c.Conn.SetReadDeadline(c.since.Add(limit)); err != nil {
			return 0, err
		}
		c.deadlineSet = true
	}
	if c.headerBytes > limits.MaxHeader+headerSlop {
		c.listener.countClosed(reasonHeader)
		if c.plain {
			_, _ = c.Write([]byte(headerTooLarge)) // the connection is closed anyway
			_ = c.CloseWrite()
			time.Sleep(resetDelay)
		}
		return 0, &net.OpError{Op: "read", Net: "tcp", Addr: c.RemoteAddr(), Err: errHeaderTooLarge}
	}
	n, err := c.Conn.Read(p)
	c.headerBytes += n
	switch {
	case n > 0 && c.phase.Load() == idle:
		c.phase.Store(receiving)
		c.since, c.deadlineSet = time.Now(), false
		c.wait()
	case errors.Is(err, os.ErrDeadlineExceeded) && c.phase.Load() == receiving:
		c.listener.countClosed(reasonTimeout)
	}
	return n, err
}

// readBody reads bytes of a body. Bytes that came together with the header don't get
// here, so that most requests need no deadline.
func (c *conn) readBody(p []byte) (int, error) {
	now := time.Now()
	if c.bodyDeadline.IsZero() {
		c.bodyDeadline = now.Add(StallTimeout)
	}
	if err := c.Conn.SetReadDeadline(earlier(c.bodyDeadline, now.Add(StallTimeout))); err != nil {
		return 0, err
	}
	if c.cut.Load() { // meanwhile or before
		_ = c.Conn.SetReadDeadline(aLongTimeAgo) // a connection that is closed has no deadline
	}
	return c.Conn.Read(p)
}

// breakOff ends the reading of the body. The server closes the connection after the answer.
func (c *conn) breakOff() {
	c.cut.Store(true)
	_ = c.Conn.SetReadDeadline(aLongTimeAgo) // a connection that is closed has no deadline
}

// SetReadDeadline implements net.Conn. The server clears the deadline when the body has
// been read, before another goroutine reads from the connection.
func (c *conn) SetReadDeadline(t time.Time) error {
	if t.IsZero() && c.phase.Load() == reading {
		c.phase.Store(answering)
	}
	return c.Conn.SetReadDeadline(t)
}

// SetWriteDeadline implements net.Conn. The connection has a deadline of its own, which
// the server may not clear. One in the past breaks off all writing, also from another
// goroutine.
func (c *conn) SetWriteDeadline(t time.Time) error {
	if t.IsZero() {
		return nil
	}
	if !t.After(time.Now()) {
		c.writeCut.Store(true)
	}
	return c.Conn.SetWriteDeadline(t)
}

// Write implements net.Conn. The client must take what is written in time. Until it has,
// the connection may be closed at the bound.
func (c *conn) Write(p []byte) (int, error) {
	if c.phase.Load() == answering {
		c.wait()
		defer c.protect()
	}
	written := 0
	for {
		part := p[written:min(len(p), written+writeBytes)]
		if now := time.Now(); c.writeDeadline.Sub(now) < WriteTimeout/2 {
			c.writeDeadline = now.Add(WriteTimeout)
			if err := c.Conn.SetWriteDeadline(c.writeDeadline); err != nil {
				return written, err
			}
		}
		if c.writeCut.Load() {
			c.listener.countClosed(reasonUnsent)
			return written, os.ErrDeadlineExceeded
		}
		n, err := c.Conn.Write(part)
		written += n
		if errors.Is(err, os.ErrDeadlineExceeded) {
			c.listener.countClosed(reasonUnsent)
		}
		if err != nil {
			c.discardUnsent()
		}
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// discardUnsent makes the kernel drop what the client has not taken when the connection is
// closed.
func (c *conn) discardUnsent() {
	if l, ok := c.Conn.(interface{ SetLinger(sec int) error }); ok {
		_ = l.SetLinger(0) // without it the kernel keeps the data until it gives up
	}
}

// Close implements net.Conn.
func (c *conn) Close() error {
	l := c.listener
	l.mu.Lock()
	if !c.closed {
		c.closed = true
		l.open--
		l.waiting.remove(&c.place)
	}
	l.mu.Unlock()
	return c.Conn.Close()
}

// CloseWrite closes the sending side, so that the client can still read the last answer.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// endHeader is called when the header of a request has been read, before another
// goroutine reads from the connection.
func (c *conn) endHeader() {
	if c.phase.Load() == unmanaged {
		return
	}
	c.bodyDeadline = time.Time{}
	c.phase.Store(reading)
}

// protect keeps the connection open at the bound until it is idle again. It reports
// false if the listener is closing it already.
func (c *conn) protect() bool {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.listener.waiting.remove(&c.place)
	return !c.evicted
}

// becomeIdle is called when a request has been answered.
func (c *conn) becomeIdle() {
	if c.phase.Load() == unmanaged {
		return
	}
	c.since, c.deadlineSet, c.headerBytes = time.Now(), false, 0
	c.phase.Store(idle)
	c.wait()
}

// unmanage is called for connections that don't carry requests one after another.
func (c *conn) unmanage() {
	if c.phase.Swap(unmanaged) != unmanaged {
		_ = c.SetReadDeadline(time.Time{}) // a connection that is closed has no deadline
	}
}

// touch makes an unmanaged connection the last one to be closed at the bound.
func (c *conn) touch() {
	now := time.Now()
	if last := c.usedAt.Load(); now.UnixNano()-last >= int64(recentTouch) && c.usedAt.CompareAndSwap(last, now.UnixNano()) {
		c.wait()
	}
}

// wait makes the connection the last one to be closed at the bound.
func (c *conn) wait() {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	if !c.closed && !c.evicted {
		c.listener.waiting.push(&c.place)
	}
}
