package limiter

import (
	"encoding/binary"
	"log/slog"
	"net"
	"sync"
	"time"

	"google.golang.org/grpc/credentials"
)

const (
	// MessageTimeout is the longest time that a gRPC message may take to arrive.
	MessageTimeout = 10 * time.Second

	streamBytes    = 8 << 10 // memory of a gRPC stream whose message has not arrived
	dataFrameBytes = 128     // memory of a DATA frame besides its payload
)

// Parts of HTTP/2.
const (
	prefaceBytes     = 24
	frameHeaderBytes = 9
	dataFrame        = 0x0
	headersFrame     = 0x1
	resetFrame       = 0x3
	endStreamFlag    = 0x1
)

type (
	// MessageBudget is the memory for the messages of unary gRPC calls that are arriving
	// at a server. When they take more, or one takes longer than MessageTimeout, the
	// connection of the message that began first is closed. It is safe for concurrent
	// use.
	MessageBudget struct {
		log  *slog.Logger
		size int64

		mu         sync.Mutex
		used       int64
		unfinished queue[*stream] // the message that began first comes first
		timer      *time.Timer    // nil while no message is arriving
		broken     eventSampler   // connections closed
	}

	// stream is a call whose message is arriving.
	stream struct {
		conn  *messageConn
		held  int64
		begin time.Time
		place place[*stream]
	}

	// messageConn is a connection whose messages are counted. Only the goroutine that
	// reads uses frames.
	messageConn struct {
		net.Conn
		budget  *MessageBudget
		frames  frameScanner
		streams map[uint32]*stream // guarded by the budget's mutex; nil when closed
	}

	// frameScanner finds the headers of frames in what a client sends.
	frameScanner struct {
		skip   int // bytes before the next header
		header [frameHeaderBytes]byte
		filled int
	}

	// countingCredentials count the messages on the connections that they secure.
	countingCredentials struct {
		credentials.TransportCredentials
		budget *MessageBudget
	}
)

// NewMessageBudget returns a budget of the given size in bytes.
func NewMessageBudget(size int64, log *slog.Logger) *MessageBudget {
	return &MessageBudget{size: size, log: log}
}

// Credentials returns creds for a server whose messages take their memory from the
// budget.
func (b *MessageBudget) Credentials(creds credentials.TransportCredentials) credentials.TransportCredentials {
	return countingCredentials{creds, b}
}

// Held returns the number of bytes held for messages that are arriving.
func (b *MessageBudget) Held() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// ServerHandshake implements credentials.TransportCredentials.
func (c countingCredentials) ServerHandshake(raw net.Conn) (net.Conn, credentials.AuthInfo, error) {
	conn, info, err := c.TransportCredentials.ServerHandshake(raw)
	if err != nil {
		return nil, nil, err
	}
	return &messageConn{Conn: conn, budget: c.budget, frames: frameScanner{skip: prefaceBytes}, streams: map[uint32]*stream{}}, info, nil
}

// Clone implements credentials.TransportCredentials.
func (c countingCredentials) Clone() credentials.TransportCredentials {
	return countingCredentials{c.TransportCredentials.Clone(), c.budget}
}

// Read implements net.Conn.
func (c *messageConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.frames.scan(p[:n], c.countFrame)
	return n, err
}

// Close implements net.Conn.
func (c *messageConn) Close() error {
	c.budget.mu.Lock()
	c.drop()
	c.budget.mu.Unlock()
	return c.Conn.Close()
}

// scan calls fn for each frame whose header ends in p.
func (s *frameScanner) scan(p []byte, fn func(kind, flags byte, id uint32, length int)) {
	for len(p) > 0 {
		if s.skip > 0 {
			n := min(s.skip, len(p))
			s.skip -= n
			p = p[n:]
			continue
		}
		n := copy(s.header[s.filled:], p)
		s.filled += n
		p = p[n:]
		if s.filled < frameHeaderBytes {
			return
		}
		s.filled = 0
		s.skip = int(s.header[0])<<16 | int(s.header[1])<<8 | int(s.header[2])
		fn(s.header[3], s.header[4], binary.BigEndian.Uint32(s.header[5:])&(1<<31-1), s.skip)
	}
}

// countFrame counts a frame for the message of its stream.
func (c *messageConn) countFrame(kind, flags byte, id uint32, length int) {
	b := c.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.streams == nil {
		return
	}
	s := c.streams[id]
	switch kind {
	case headersFrame:
		if s == nil {
			s = &stream{conn: c, begin: time.Now()}
			s.place.owner = s
			c.streams[id] = s
			b.unfinished.push(&s.place)
			b.add(s, streamBytes)
		}
	case dataFrame:
		if s != nil {
			b.add(s, int64(length)+dataFrameBytes)
		}
	case resetFrame:
		flags = endStreamFlag
	default:
		return
	}
	if s != nil && flags&endStreamFlag != 0 {
		c.end(id, s)
	}
}

// end gives back what a stream holds. The caller holds the budget's mutex.
func (c *messageConn) end(id uint32, s *stream) {
	delete(c.streams, id)
	c.budget.unfinished.remove(&s.place)
	c.budget.used -= s.held
	s.held = 0
}

// drop gives back what all streams of the connection hold. The caller holds the
// budget's mutex.
func (c *messageConn) drop() {
	for id, s := range c.streams {
		c.end(id, s)
	}
	c.streams = nil
}

// add counts n more bytes for s and makes room for them. The caller holds mu.
func (b *MessageBudget) add(s *stream, n int64) {
	b.used += n
	s.held += n
	for b.used > b.size && b.unfinished.first != nil {
		b.breakOff(b.unfinished.first.owner, reasonNoRoom)
	}
	b.startTimer()
}

// startTimer starts the timer for the message that began first, unless it runs. The
// caller holds mu.
func (b *MessageBudget) startTimer() {
	if b.timer == nil && b.unfinished.first != nil {
		b.timer = time.AfterFunc(time.Until(b.unfinished.first.owner.begin.Add(MessageTimeout)), b.breakOffLate)
	}
}

// breakOffLate closes the connections of the messages that take too long.
func (b *MessageBudget) breakOffLate() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for b.unfinished.first != nil && time.Since(b.unfinished.first.owner.begin) >= MessageTimeout {
		b.breakOff(b.unfinished.first.owner, reasonTooSlow)
	}
	b.timer = nil
	b.startTimer()
}

// breakOff closes the connection of s. The caller holds mu.
func (b *MessageBudget) breakOff(s *stream, reason string) {
	if count, ok := b.broken.add(); ok {
		b.log.Warn("connections of unfinished messages closed", "count", count, "last-reason", reason, "remote", s.conn.RemoteAddr().String(), "bytes", s.held, "held", b.used, "size", b.size)
	}
	s.conn.drop()
	go func() { _ = s.conn.Conn.Close() }() // a TLS connection sends an alert, which may block
}
