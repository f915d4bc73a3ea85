package crowder

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/coltsfootlever/coltsfootlever/messenger"
	"github.com/coltsfootlever/coltsfootlever/modeler"
	"github.com/coltsfootlever/coltsfootlever/platform"
	"github.com/coltsfootlever/coltsfootlever/scheduler"
	"github.com/coltsfootlever/coltsfootlever/supervisor"
)

// What the clients of a crowd send.
const (
	Nothing     Content = "nothing"      // no byte
	HalfHeaders Content = "half-headers" // headers without their end
	Bodies      Content = "bodies"       // requests with a body
	Requests    Content = "requests"     // requests whose answers are not read
	PeerMessage Content = "peer-message" // a message between entries
)

// What the body of a request contains.
const (
	Filler    Filling = ""           // one long text
	TinySteps Filling = "tiny-steps" // a job of as many steps as the body has room for
	LongTexts Filling = "long-texts" // a job that is accepted and waits, of long texts
	LongLists Filling = "long-lists" // a job that is accepted and waits, of long lists
)

const (
	wholeOneIn     = 8   // one in this many clients of a crowd that stops short sends its whole body
	unreadRequests = 400 // requests of a client that reads no answer
	peerTimeout    = time.Hour
	reconnectPause = 50 * time.Millisecond
	crowdMilliCPU  = 100
)

type (
	// Content is what the clients of a crowd send.
	Content string

	// Filling is what a body contains.
	Filling string

	// Crowd describes clients that misbehave all at once. Each uses a connection of its
	// own, which it keeps open.
	Crowd struct {
		Name       string        `json:"name"`
		Program    string        `json:"program"`  // command of the program that they call
		Listener   Listener      `json:"listener"` // that they connect to
		Content    Content       `json:"content"`
		Filling    Filling       `json:"filling,omitempty"`
		Count      int           `json:"count"`
		Requests   int           `json:"requests,omitempty"`    // with a body on each connection; 1 if 0
		BodyBytes  int           `json:"body-bytes,omitempty"`  // of each request
		ShortBytes int           `json:"short-bytes,omitempty"` // most clients leave out up to this many bytes at the end; 0 if all send whole bodies
		ChunkBytes int           `json:"chunk-bytes,omitempty"` // of a chunk of a chunked body; 0 if the headers state the length
		PieceBytes int           `json:"piece-bytes,omitempty"` // of each write; the whole body if 0
		Pace       time.Duration `json:"pace,omitempty"`        // pause between two pieces
		Reconnects bool          `json:"reconnects,omitempty"`  // clients that lose their connection connect and send again
		AwaitEnd   bool          `json:"await-end,omitempty"`   // ordinary jobs must end, which shows that the leader has read the crowd's jobs
	}

	// client is one of a crowd.
	client struct {
		*Crowd
		number  int
		address string
		target  requestTarget
		body    []byte // as it is sent, shared by all clients
		length  int    // of the body without the chunks' headers, in bytes
		rng     *rand.Rand
	}

	// requestTarget is where a crowd's requests go.
	requestTarget struct {
		method, host, path string // path without the number of the request
		readPath           string // of requests without a body
		headers            []string
		numbered           bool // each request has a path of its own
	}
)

// start connects all clients and returns when each has sent what it sends, has lost its
// connection, or patience is over. They keep their connections until ctx ends; wait
// returns when all have closed them.
func (c *Crowd) start(ctx context.Context, seed uint64, address string, target requestTarget, patience time.Duration) (wait func(), err error) {
	var sent, closed sync.WaitGroup
	body, err := c.encodeBody()
	if err != nil {
		return nil, err
	}
	length := len(body)
	if c.ChunkBytes > 0 {
		body = chunked(body, c.ChunkBytes)
	}
	for n := range c.Count {
		client := &client{Crowd: c, number: n, address: address, target: target, body: body, length: length, rng: rand.New(rand.NewPCG(seed, uint64(n)))}
		sent.Add(1)
		closed.Go(func() { client.run(ctx, sync.OnceFunc(sent.Done)) })
	}
	allSent := make(chan struct{})
	go func() { sent.Wait(); close(allSent) }()
	select {
	case <-allSent:
	case <-time.After(patience):
	}
	return closed.Wait, nil
}

// run sends what the client sends, calls sent and keeps the connection open until ctx
// ends.
func (c *client) run(ctx context.Context, sent func()) {
	defer sent()
	if c.Content == PeerMessage {
		c.sendPeerMessage(ctx, sent)
		return
	}
	c.connect(ctx, sent)
	for c.Reconnects && supervisor.Pause(ctx, reconnectPause) == nil {
		c.connect(ctx, sent)
	}
}

// connect sends what the client sends over a new connection and keeps that until ctx ends
// or the program closes it.
func (c *client) connect(ctx context.Context, sent func()) {
	defer sent()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp4", c.address)
	if err != nil {
		return // refused, which the program may do
	}
	defer func() { _ = conn.Close() }() // the program may have closed it
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	closed := make(chan struct{})
	if c.Content != Requests {
		go func() {
			defer close(closed)
			_, _ = io.Copy(io.Discard, conn) // ends with the connection
		}()
	}
	if c.send(ctx, conn) == nil {
		sent()
		select {
		case <-ctx.Done():
		case <-closed:
		}
	}
}

// send writes what the client sends. An error means that the connection is lost.
func (c *client) send(ctx context.Context, conn net.Conn) error {
	switch c.Content {
	case HalfHeaders:
		_, err := io.WriteString(conn, strings.TrimSuffix(c.headers(0), "\r\n"))
		return err
	case Requests:
		_, err := io.WriteString(conn, strings.Repeat(c.headers(0), unreadRequests))
		return err
	case Bodies:
		for n := range max(1, c.Crowd.Requests) {
			if err := c.sendBody(ctx, conn, n); err != nil {
				return err
			}
		}
	}
	return nil
}

// sendBody writes a request with a body. Most clients of a crowd that stops short leave
// out the end.
func (c *client) sendBody(ctx context.Context, conn net.Conn, request int) error {
	if _, err := io.WriteString(conn, c.headers(request)); err != nil {
		return err
	}
	body := c.body
	if c.ShortBytes > 0 && c.rng.IntN(wholeOneIn) > 0 {
		body = body[:len(body)-1-c.rng.IntN(c.ShortBytes)]
	}
	size := c.PieceBytes
	if size == 0 {
		size = len(body)
	}
	for piece := range slices.Chunk(body, size) {
		if _, err := conn.Write(piece); err != nil {
			return err
		}
		if c.Pace > 0 {
			if err := supervisor.Pause(ctx, c.Pace); err != nil {
				return err
			}
		}
	}
	return nil
}

// headers returns the request line and the headers of a request.
func (c *client) headers(request int) string {
	var b strings.Builder
	method, path := c.target.method, c.target.path
	switch {
	case c.Content != Bodies:
		method, path = http.MethodGet, c.target.readPath
	case c.target.numbered:
		path += fmt.Sprintf("%08x%08x", c.number+1, request)
	}
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", method, path, c.target.host)
	for _, h := range c.target.headers {
		b.WriteString(h + "\r\n")
	}
	switch {
	case c.Content != Bodies:
	case c.ChunkBytes > 0:
		b.WriteString("Transfer-Encoding: chunked\r\n")
	default:
		fmt.Fprintf(&b, "Content-Length: %d\r\n", c.length)
	}
	b.WriteString("\r\n")
	return b.String()
}

// encodeBody returns the body of a request.
func (c *Crowd) encodeBody() ([]byte, error) {
	step := modeler.Step{Count: 1, Need: modeler.Resources{CPU: crowdMilliCPU, Memory: 1}, Estimate: taskTime}
	waiting := step
	waiting.Need.CPU, waiting.Estimate = 2*workerMilliCPU, time.Millisecond // no worker has room for it
	j := modeler.Job{Spec: "crowd", Steps: []modeler.Step{step}}
	switch c.Filling {
	case LongTexts:
		j.Steps = []modeler.Step{waiting}
	case LongLists:
		j.Steps = []modeler.Step{waiting, waiting}
	}
	raw, err := platform.EncodeJob(j)
	if err != nil {
		return nil, err
	}
	room := max(0, c.BodyBytes-len(raw))
	switch c.Filling {
	case TinySteps:
		end := bytes.LastIndexByte(raw, ']')
		return slices.Concat(raw[:end], bytes.Repeat([]byte(",{}"), room/len(",{}")), raw[end:]), nil
	case LongTexts:
		j.Steps[0].Label = strings.Repeat("x", room)
		return platform.EncodeJob(j)
	case LongLists:
		j.Steps[1].After = make([]int, room/len(",0"))
		return platform.EncodeJob(j)
	}
	note := `,"sleep-ms":600000,"note":"` // of a task that the worker of serve keeps
	return slices.Concat(raw[:len(raw)-1], []byte(note), bytes.Repeat([]byte("x"), max(0, room-len(note)-len(`"`))), []byte(`"}`)), nil
}

// chunked returns the body in the chunked transfer encoding.
func chunked(body []byte, size int) []byte {
	var b bytes.Buffer
	for chunk := range slices.Chunk(body, size) {
		fmt.Fprintf(&b, "%x\r\n%s\r\n", len(chunk), chunk)
	}
	b.WriteString("0\r\n\r\n")
	return b.Bytes()
}

// sendPeerMessage sends a message as another entry does, over a connection that drops its
// end.
func (c *client) sendPeerMessage(ctx context.Context, sent func()) {
	dial := func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := (&net.Dialer{}).DialContext(ctx, "tcp4", address)
		return &shortConn{Conn: conn, left: c.BodyBytes - c.ShortBytes, onEnd: sent}, err
	}
	peer := messenger.NewClient(messenger.WithDialer(dial), messenger.WithConnectTimeout(peerTimeout))
	defer func() { _ = peer.Close() }()
	_, _ = peer.ForwardTask(ctx, c.address, messenger.ForwardRequest{From: "crowd", Task: scheduler.Task{ID: "crowd", Body: make([]byte, c.BodyBytes)}}) // never answered
}

// shortConn is a connection that drops what is written after a number of bytes.
type shortConn struct {
	net.Conn
	mu    sync.Mutex
	left  int
	onEnd func()
}

// Write implements net.Conn.
func (c *shortConn) Write(b []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	n, err := c.Conn.Write(b[:min(len(b), c.left)])
	c.left -= n
	if c.left == 0 {
		c.onEnd()
	}
	if err != nil {
		return n, err
	}
	return len(b), nil
}
