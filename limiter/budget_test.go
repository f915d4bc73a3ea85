package limiter_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/classifier"
	"github.com/coltsfootlever/coltsfootlever/limiter"
)

// site is an HTTP server behind a Listener whose connections are in-memory pipes.
type site struct {
	t        *testing.T
	dials    chan net.Conn
	listener *limiter.Listener
	budget   *limiter.Budget
	hold     chan struct{} // if set, requests that have been read are answered after a value
}

type pipes struct{ dials chan net.Conn }

func (p pipes) Accept() (net.Conn, error) {
	c, ok := <-p.dials
	if !ok {
		return nil, net.ErrClosed
	}
	return c, nil
}

func (p pipes) Close() error { return nil }

func (p pipes) Addr() net.Addr { return &net.TCPAddr{} }

func newSite(t *testing.T, maxConns int, budget int64, opts ...limiter.ListenerOption) *site {
	s := &site{t: t, dials: make(chan net.Conn), budget: limiter.NewBudget(0, limiter.WithBytes(budget))}
	s.listener = limiter.NewListener(pipes{s.dials}, maxConns, opts...)
	server := &http.Server{Handler: s}
	s.listener.Configure(server)
	go func() { _ = server.Serve(s.listener) }()
	t.Cleanup(func() {
		close(s.dials)
		_ = server.Close()
		time.Sleep(time.Second) // the server waits a little before it closes connections whose body it hasn't read
	})
	return s
}

// ServeHTTP answers with the number of bytes in the body. It leaves bodies at /unread.
func (s *site) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/unread" {
		http.NotFound(w, r)
		return
	}
	body, err := s.budget.ReadBody(w, r, limiter.BodyLimits{MaxBytes: 1 << 20, Timeout: 10 * time.Second})
	if err != nil {
		w.WriteHeader(classifier.As(err).Code.HTTPStatus())
		_, _ = io.WriteString(w, err.Error())
		return
	}
	defer body.Release()
	if s.hold != nil {
		<-s.hold
	}
	if r.Context().Err() != nil {
		w.WriteHeader(http.StatusInternalServerError)
	}
	_, _ = fmt.Fprint(w, len(body.Bytes))
}

// client is one connection of a client.
type client struct {
	net.Conn
	answers *bufio.Reader
}

// dial connects and sends text. The rest of the text is lost if the connection is closed.
func (s *site) dial(text string) *client {
	near, far := net.Pipe()
	s.dials <- far
	c := &client{Conn: near, answers: bufio.NewReaderSize(near, 1<<16)}
	c.send(text)
	s.t.Cleanup(func() { _ = near.Close() })
	return c
}

func (c *client) send(text string) {
	go func() { _, _ = io.WriteString(c, text) }()
	synctest.Wait()
}

// status returns the status and the body of the next answer, or 0 if the connection is closed.
func (c *client) status() (int, string) {
	res, err := http.ReadResponse(c.answers, nil)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = res.Body.Close() }()
	raw, _ := io.ReadAll(res.Body)
	return res.StatusCode, string(raw)
}

func post(path string, length int, sent string) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", path, length, sent)
}

func chunked(sent string, chunk int) string {
	var b strings.Builder
	b.WriteString("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n")
	for ; len(sent) > 0; sent = sent[min(chunk, len(sent)):] {
		n := min(chunk, len(sent))
		_, _ = fmt.Fprintf(&b, "%x\r\n%s\r\n", n, sent[:n]) // writing to a Builder doesn't fail
	}
	return b.String()
}

func TestBodiesArriveWhole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 100, 4<<20)
		for _, n := range []int{0, 1, 100, 4095, 4096, 4097, 70_000, 1 << 20} {
			text := strings.Repeat("x", n)
			code, answer := s.dial(post("/", n, text)).status()
			require.Equal(t, http.StatusOK, code, answer)
			require.Equal(t, fmt.Sprint(n), answer)
			for _, chunk := range []int{3, 5000} {
				code, answer = s.dial(chunked(text, chunk) + "0\r\n\r\n").status()
				require.Equal(t, http.StatusOK, code, answer)
				require.Equal(t, fmt.Sprint(n), answer)
			}
			synctest.Wait()
			require.Zero(t, s.budget.Held())
		}
		code, answer := s.dial(post("/", 1<<20+1, strings.Repeat("x", 1<<20+1))).status()
		require.Equal(t, http.StatusBadRequest, code, answer)
		code, answer = s.dial(chunked(strings.Repeat("x", 1<<20+1), 5000) + "0\r\n\r\n").status()
		require.Equal(t, http.StatusBadRequest, code, answer)
	})
}

// Bodies that stopped just short of their end took all memory of the process.
func TestBodiesThatStopShortStayWithinTheBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const size = 60_000
		s := newSite(t, 1000, 1<<20)
		text := strings.Repeat("x", size-1)
		for n := range 60 {
			switch n % 3 {
			case 0:
				s.dial(post("/", size, text))
			case 1:
				s.dial(chunked(text, 7))
			case 2:
				s.dial(chunked(text, 9000))
			}
			time.Sleep(20 * time.Millisecond)
			require.LessOrEqual(t, s.budget.Held(), s.budget.Size()*5/4)
		}
		code, answer := s.dial(post("/", 2000, strings.Repeat("x", 2000))).status()
		require.Equal(t, http.StatusOK, code, answer)
		time.Sleep(time.Minute)
		synctest.Wait()
		require.Zero(t, s.budget.Held())
	})
}

// A crowd of large bodies kept large ones of ordinary callers out until its time limit.
func TestSlowestBodyIsBrokenOffForOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const size = 60_000
		s := newSite(t, 1000, 256<<10)
		crowd := []*client{}
		for range 4 {
			crowd = append(crowd, s.dial(post("/", size, strings.Repeat("x", size-1))))
		}
		time.Sleep(time.Second)
		code, answer := s.dial(post("/", size, strings.Repeat("x", size))).status()
		require.Equal(t, http.StatusOK, code, answer)
		code, answer = crowd[0].status()
		require.Equal(t, http.StatusServiceUnavailable, code)
		require.Contains(t, answer, "not-run")
	})
}

// A request was broken off for others while its job was stored.
func TestRequestThatIsAnsweredIsNotBrokenOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const size = 60_000
		s := newSite(t, 4, 128<<10)
		s.hold = make(chan struct{})
		first := s.dial(post("/", size, strings.Repeat("x", size)))
		for range 20 {
			time.Sleep(time.Second)
			s.dial(post("/", size, strings.Repeat("x", size-1)))
		}
		close(s.hold)
		code, answer := first.status()
		require.Equal(t, http.StatusOK, code, answer)
	})
}

// The length in a header reserved memory that no body had arrived for.
func TestContentLengthReservesAPieceOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 1000, 1<<20)
		for range 100 {
			s.dial(post("/", 1<<20, "x"))
		}
		require.LessOrEqual(t, s.budget.Held(), int64(100*4096))
	})
}

// A sender that stopped, or sent a byte now and then, kept its connection and what the
// process held for it.
func TestStalledAndTricklingBodiesEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 1000, 1<<20)
		s.dial(post("/", 100, "xx"))
		s.dial(post("/unread", 100, "xx"))
		s.dial("POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nxx")
		trickler := s.dial(post("/", 100, "xx"))
		for range 15 {
			time.Sleep(time.Second)
			_, _ = trickler.Write([]byte("x"))
		}
		synctest.Wait()
		require.Zero(t, s.budget.Held())
		require.Zero(t, s.listener.Open())
	})
}

// What is not a body was not broken off for others.
func TestSlowestHoldIsBrokenOff(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := limiter.NewBudget(0, limiter.WithBytes(1<<20))
		var ended []string
		open := func(name string) *limiter.Hold { return b.Open(func() { ended = append(ended, name) }) }
		first, second := open("first"), open("second")
		require.NoError(t, first.Add(200_000))
		require.True(t, first.Finish())
		require.NoError(t, second.Add(200_000))
		third := open("third")
		require.Equal(t, classifier.NotRun, classifier.VerdictOf(third.Add(600_000)))
		time.Sleep(time.Second)
		require.NoError(t, third.Add(600_000))
		require.Equal(t, []string{"second"}, ended)
		require.Error(t, second.Add(1))
		require.False(t, second.Finish())
		for _, h := range []*limiter.Hold{first, second, third} {
			h.Close()
		}
		require.Zero(t, b.Held())
		require.NoError(t, open("alone").Add(2<<20))
	})
}
