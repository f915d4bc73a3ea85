package operator_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"runtime"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/authenticator"
	"github.com/coltsfootlever/coltsfootlever/limiter"
	"github.com/coltsfootlever/coltsfootlever/operator"
	"github.com/coltsfootlever/coltsfootlever/parser"
)

// liveHeap returns the size of the heap without garbage, in bytes.
func liveHeap() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// startServer serves the handler of the calls on rules on a loopback address.
func startServer(t *testing.T, budget *limiter.Budget) *httptest.Server {
	h := newHandler(&stubRuleStore{rules: &parser.Rules{}}, operator.WithBootstrapHash(authenticator.Hash(bootstrapKey)), operator.WithBudget(budget))
	s := httptest.NewUnstartedServer(h)
	bounded := limiter.NewListener(s.Listener, 100)
	s.Listener = bounded
	bounded.Configure(s.Config)
	s.Start()
	t.Cleanup(s.CloseClientConnections)
	return s
}

// dial sends text on a new connection, which stays open.
func dial(t *testing.T, s *httptest.Server, text string) net.Conn {
	c, err := net.Dial("tcp", s.Listener.Addr().String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	_, _ = io.WriteString(c, text) // fails when the server closes the connection
	return c
}

// apply returns the begin of a call that replaces the rules.
func apply(key string, length int, sent string) string {
	return fmt.Sprintf("PUT /operator/v1/rules HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s", key, length, sent)
}

// The server waited for the body of a caller without a key before it refused the call.
func TestBodyOfUnauthenticatedCallerIsNotAwaited(t *testing.T) {
	s := startServer(t, limiter.NewBudget(0))
	c := dial(t, s, apply("guess", 200<<10, "{"))
	require.NoError(t, c.SetReadDeadline(time.Now().Add(limiter.StallTimeout/2)))
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	require.NoError(t, err)
	require.NoError(t, res.Body.Close())
	require.Equal(t, http.StatusUnauthorized, res.StatusCode)
	require.Equal(t, "not-run", res.Header.Get(operator.VerdictHeader))
	require.True(t, res.Close)
}

// Calls that stopped short of their end held bodies of 4 MiB each without bound.
func TestUnfinishedOperatorCallsStayWithinTheBudget(t *testing.T) {
	budget := limiter.NewBudget(0, limiter.WithBytes(8<<20))
	s := startServer(t, budget)
	const length = 4 << 20
	text := apply(bootstrapKey, length, `{"text": "`+strings.Repeat("#", length-20))
	before := liveHeap()
	for range 16 {
		dial(t, s, text)
		require.LessOrEqual(t, budget.Held(), budget.Size())
	}
	for range 20 {
		require.Less(t, liveHeap()-before, int64(32<<20), "all bodies together have 64 MiB")
		time.Sleep(10 * time.Millisecond)
	}
	client := operator.NewClient([]string{s.Listener.Addr().String()}, bootstrapKey)
	applied, err := client.Apply(t.Context(), operator.ApplyRequest{Text: "pool inquiries"})
	require.NoError(t, err)
	require.Equal(t, uint64(1), applied.Number)
}
