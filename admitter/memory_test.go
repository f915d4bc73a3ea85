package admitter_test

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/admitter"
	"github.com/coltsfootlever/coltsfootlever/authenticator"
	"github.com/coltsfootlever/coltsfootlever/classifier"
	"github.com/coltsfootlever/coltsfootlever/limiter"
	"github.com/coltsfootlever/coltsfootlever/messenger"
)

const (
	crowdSize   = 64
	maxHeap     = 32 << 20 // growth with a budget of 4 MiB; the bodies of the crowd together have 64 MiB
	crowdHeader = "POST /v1/queues/walk-in/jobs HTTP/1.1\r\nHost: entry\r\nIdempotency-Key: n\r\n"
)

// liveHeap returns the size of the heap without garbage, in bytes.
func liveHeap() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// shortBody returns a body of 1 MiB in chunks, or whole if chunk is 0, without its last
// byte.
func shortBody(chunk int) string {
	body := strings.Repeat("b", 1<<20)
	if chunk == 0 {
		return fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body[1:])
	}
	var b strings.Builder
	b.WriteString("Transfer-Encoding: chunked\r\n\r\n")
	for rest := body[1:]; rest != ""; {
		n := min(chunk, len(rest))
		_, _ = fmt.Fprintf(&b, "%x\r\n%s\r\n", n, rest[:n]) // writing to a Builder doesn't fail
		rest = rest[n:]
	}
	return b.String()
}

// Bodies that stopped just short of their end and stayed open exhausted the memory.
func TestUnfinishedBodiesDoNotExhaustMemory(t *testing.T) {
	for name, text := range map[string]string{"whole": shortBody(0), "large chunks": shortBody(64 << 10), "small chunks": shortBody(16)} {
		t.Run(name, func(t *testing.T) {
			budget := limiter.NewBudget(0, limiter.WithBytes(4<<20))
			s := httptest.NewUnstartedServer(admitter.New(rules, &authenticator.Authenticator{}, alwaysFresh, &fullJobs{}, admitter.WithBudget(budget)))
			bounded := limiter.NewListener(s.Listener, 2*crowdSize)
			s.Listener = bounded
			bounded.Configure(s.Config)
			s.Start()
			t.Cleanup(s.CloseClientConnections)
			before := liveHeap()
			var crowd sync.WaitGroup
			for range crowdSize {
				c, err := net.Dial("tcp", s.Listener.Addr().String())
				require.NoError(t, err)
				t.Cleanup(func() { _ = c.Close() })
				crowd.Go(func() {
					_, _ = c.Write([]byte(crowdHeader))
					_, _ = c.Write([]byte(text)) // fails when the server closes the connection
				})
			}
			crowd.Wait()
			for range 20 {
				require.Less(t, liveHeap()-before, int64(maxHeap))
				require.LessOrEqual(t, budget.Held(), budget.Size())
				time.Sleep(10 * time.Millisecond)
			}
			r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, s.URL+"/v1/queues/walk-in/jobs", strings.NewReader("body"))
			require.NoError(t, err)
			r.Header.Set(admitter.IdempotencyKeyHeader, "n")
			res, err := http.DefaultClient.Do(r)
			require.NoError(t, err)
			require.NoError(t, res.Body.Close())
			require.Equal(t, classifier.QueueFull.HTTPStatus(), res.StatusCode, "a small request is read and reaches the queue")
		})
	}
}

// A body without room was refused without a verdict and a time to come back.
func TestBodyWithoutRoomIsRefusedAsNotRun(t *testing.T) {
	budget := limiter.NewBudget(0, limiter.WithBytes(1<<10))
	a := admitter.New(rules, &authenticator.Authenticator{}, alwaysFresh, &fullJobs{}, admitter.WithBudget(budget))
	hold, err := budget.ReadBody(httptest.NewRecorder(), httptest.NewRequest(http.MethodPost, "/", strings.NewReader("body")), limiter.BodyLimits{MaxBytes: 8})
	require.NoError(t, err)
	w := submit(a, "walk-in", "", strings.Repeat("b", 1<<10), map[string]string{admitter.IdempotencyKeyHeader: "n"})
	require.Equal(t, http.StatusServiceUnavailable, w.Code)
	require.Equal(t, classifier.NotRun.String(), w.Header().Get(admitter.VerdictHeader))
	require.NotEmpty(t, w.Header().Get("Retry-After"))
	hold.Release()
	w = submit(a, "walk-in", "", strings.Repeat("b", 1<<10), map[string]string{admitter.IdempotencyKeyHeader: "n"})
	require.Equal(t, classifier.QueueFull.HTTPStatus(), w.Code)
	require.Zero(t, budget.Held())
}

// largeJobs keeps one large answer.
type largeJobs struct {
	fullJobs
	output []byte
}

func (j *largeJobs) JobResult(context.Context, string, string) (messenger.Answer, error) {
	return messenger.Answer{Output: j.output}, nil
}

// pipes is a listener whose connections hold nothing of what a client does not read.
type pipes chan net.Conn

func (p pipes) Close() error   { return nil }
func (p pipes) Addr() net.Addr { return &net.TCPAddr{} }

func (p pipes) Accept() (net.Conn, error) {
	if c, ok := <-p; ok {
		return c, nil
	}
	return nil, net.ErrClosed
}

// Answers that clients did not read exhausted the memory.
func TestUnreadAnswersDoNotExhaustMemory(t *testing.T) {
	budget := limiter.NewBudget(0, limiter.WithBytes(16<<20))
	conns := make(pipes)
	bounded := limiter.NewListener(conns, 2*crowdSize)
	s := &http.Server{Handler: admitter.New(rules, &authenticator.Authenticator{}, alwaysFresh, &largeJobs{output: make([]byte, 1<<20)}, admitter.WithBudget(budget))}
	bounded.Configure(s)
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = s.Serve(bounded)
	}()
	defer func() {
		close(conns)
		_ = s.Close()
		<-ended
	}()
	ask := func() net.Conn {
		near, far := net.Pipe()
		t.Cleanup(func() { _ = near.Close() })
		conns <- far
		_, err := near.Write([]byte("GET /v1/jobs/j HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer leads-secret\r\n\r\n"))
		require.NoError(t, err)
		return near
	}
	before := liveHeap()
	for range crowdSize {
		ask()
	}
	for range 20 {
		require.Less(t, liveHeap()-before, int64(maxHeap))
		require.LessOrEqual(t, budget.Held(), budget.Size())
		time.Sleep(10 * time.Millisecond)
	}
	for deadline := time.Now().Add(10 * time.Second); ; {
		res, err := http.ReadResponse(bufio.NewReader(ask()), nil)
		require.NoError(t, err)
		if res.StatusCode == http.StatusOK {
			return
		}
		require.Equal(t, classifier.Ran.String(), res.Header.Get(admitter.VerdictHeader))
		require.True(t, time.Now().Before(deadline), "no room after the crowd had its time")
		time.Sleep(10 * time.Millisecond)
	}
}

// unfinishedJobs has a job that is under way.
type unfinishedJobs struct{ fullJobs }

func (*unfinishedJobs) JobResult(context.Context, string, string) (messenger.Answer, error) {
	return messenger.Answer{}, classifier.Refuse(classifier.UnderWay, "under way")
}

// The status of a job under way said that it had ended while a larger answer was being sent.
func TestStatusOfAJobUnderWayNeedsNoMemory(t *testing.T) {
	budget := limiter.NewBudget(0, limiter.WithBytes(1<<20))
	a := admitter.New(rules, &authenticator.Authenticator{}, alwaysFresh, &unfinishedJobs{}, admitter.WithBudget(budget))
	hold := budget.Open(func() {})
	require.NoError(t, hold.Add(2<<20)) // a large answer that is alone
	defer hold.Close()
	r := httptest.NewRequest(http.MethodGet, "/v1/jobs/j", nil)
	w := httptest.NewRecorder()
	a.ServeHTTP(w, r)
	require.Equal(t, http.StatusOK, w.Code, w.Body.String())
}
