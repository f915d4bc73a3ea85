package acceptor_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/acceptor"
	"github.com/coltsfootlever/coltsfootlever/limiter"
	"github.com/coltsfootlever/coltsfootlever/meter"
	"github.com/coltsfootlever/coltsfootlever/orchestrator"
	"github.com/coltsfootlever/coltsfootlever/platform"
)

// newBoundedFixture returns a fixture with a budget of its own.
func newBoundedFixture(t *testing.T, bytes int64) (*fixture, *limiter.Budget) {
	b, budget := newFixture(t), limiter.NewBudget(0, limiter.WithBytes(bytes))
	b.fleet.manifest.MaxBody = 1 << 20
	b.a = acceptor.New(b.store.ClientFor("entry"), b.fleet, acceptor.WithBudget(budget))
	return b, budget
}

// requireNoJobs checks that no job has been stored.
func (b *fixture) requireNoJobs() {
	records, _, err := b.store.ClientFor("x").List(b.t.Context(), orchestrator.JobPrefix)
	require.NoError(b.t, err)
	require.Empty(b.t, records)
}

// A body that stopped short of its end kept its request open for ever.
func TestBodyThatStopsShortIsRefusedAsNotRun(t *testing.T) {
	b, budget := newBoundedFixture(t, 1<<20)
	server := httptest.NewServer(b.a)
	defer server.Close()
	conn, err := net.Dial("tcp", strings.TrimPrefix(server.URL, "http://"))
	require.NoError(t, err)
	defer func() { _ = conn.Close() }() // the server closes it
	require.NoError(t, conn.SetDeadline(time.Now().Add(20*time.Second)))
	_, err = fmt.Fprintf(conn, "POST /o/%s HTTP/1.1\r\nHost: h.example\r\n%s: 300\r\nContent-Length: %d\r\n\r\n%s", jobID, platform.HeaderDeadlineMs, len(body), body[:len(body)-1])
	require.NoError(t, err)
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, res.StatusCode)
	require.NotEmpty(t, res.Header.Get("Retry-After"))
	require.NoError(t, res.Body.Close())
	require.Zero(t, budget.Held())
	b.requireNoJobs()
}

// Bodies were read, and jobs parsed, whatever memory the requests before them held.
func TestRequestWithoutRoomIsRefusedAsNotRun(t *testing.T) {
	b, budget := newBoundedFixture(t, 1<<20)
	long := `{"spec":"s","steps":[{"count":1,"cpu":500,"image":"` + strings.Repeat("x", 100_000) + `"}]}`
	other := budget.Open(func() {})
	require.NoError(t, other.Add(500_000))
	require.True(t, other.Finish())
	w := b.call("POST", "/o/"+jobID, long, "")
	require.Equal(t, http.StatusServiceUnavailable, w.Code, w.Body.String())
	require.Contains(t, w.Body.String(), "not-run")
	require.NotEmpty(t, w.Header().Get("Retry-After"))
	b.requireNoJobs()
	require.Equal(t, http.StatusOK, b.call("POST", "/o/"+jobID, body, "").Code) // a small one has room
	other.Close()
	require.Equal(t, http.StatusOK, b.call("POST", "/o/0123456789abcdef", long, "").Code)
	require.Zero(t, budget.Held())
}

// Each method that a client made up added metrics that were kept for ever.
func TestMadeUpMethodsAddNoMetrics(t *testing.T) {
	b := newFixture(t)
	for n := range 50 {
		require.Equal(t, http.StatusMethodNotAllowed, b.call(fmt.Sprintf("MADEUP%d", n), "/o/"+jobID, "", "").Code)
	}
	var text strings.Builder
	meter.Write(&text)
	require.False(t, strings.Contains(text.String(), "MADEUP"))
	require.True(t, strings.Contains(text.String(), `coltsfootlever_calls_total{method="other",status="405"}`))
}

func BenchmarkSubmit(b *testing.B) {
	f := newFixture(&testing.T{})
	server := httptest.NewUnstartedServer(f.a)
	listener := limiter.NewListener(server.Listener, 100)
	server.Listener = listener
	listener.Configure(server.Config)
	server.Start()
	defer server.Close()
	client := server.Client()
	for b.Loop() {
		r, err := http.NewRequest(http.MethodPost, server.URL+"/o/"+jobID, strings.NewReader(body))
		require.NoError(b, err)
		r.Host = "h.example"
		res, err := client.Do(r)
		require.NoError(b, err)
		require.Equal(b, http.StatusOK, res.StatusCode)
		require.NoError(b, res.Body.Close())
	}
}

// A call that repeated one whose answer was lost was answered with not-run for lack of memory, though the job runs.
func TestStoredJobIsNotRefusedForLackOfRoom(t *testing.T) {
	b, budget := newBoundedFixture(t, 1<<20)
	long := `{"spec":"s","steps":[{"count":1,"cpu":500,"image":"` + strings.Repeat("x", 100_000) + `"}]}`
	require.Equal(t, http.StatusOK, b.call("POST", "/o/"+jobID, long, "").Code) // the answer is lost
	other := budget.Open(func() {})
	require.NoError(t, other.Add(500_000))
	require.True(t, other.Finish())
	w := b.call("POST", "/o/"+jobID, long, "")
	require.NotContains(t, w.Body.String(), "not-run")
}

// A call that repeated one whose answer was lost was answered with not-run when its body stopped short.
func TestStoredJobIsNotRefusedForAShortBody(t *testing.T) {
	b, _ := newBoundedFixture(t, 1<<20)
	require.Equal(t, http.StatusOK, b.call("POST", "/o/"+jobID, body, "").Code) // the answer is lost
	server := httptest.NewServer(b.a)
	defer server.Close()
	conn, err := net.Dial("tcp", strings.TrimPrefix(server.URL, "http://"))
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	require.NoError(t, conn.SetDeadline(time.Now().Add(20*time.Second)))
	_, err = fmt.Fprintf(conn, "POST /o/%s HTTP/1.1\r\nHost: h.example\r\n%s: 300\r\nContent-Length: %d\r\n\r\n%s", jobID, platform.HeaderDeadlineMs, len(body), body[:len(body)-1])
	require.NoError(t, err)
	res, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(t, err)
	defer func() { _ = res.Body.Close() }()
	require.NotEqual(t, http.StatusServiceUnavailable, res.StatusCode)
}
