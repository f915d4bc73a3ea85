package connector_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/connector"
)

// countedServer starts a server that counts the connections to it.
func countedServer(t testing.TB, h http.HandlerFunc) (server *httptest.Server, opened *atomic.Int64) {
	opened = new(atomic.Int64)
	server = httptest.NewUnstartedServer(h)
	server.Config.ConnState = func(_ net.Conn, s http.ConnState) {
		if s == http.StateNew {
			opened.Add(1)
		}
	}
	server.Start()
	t.Cleanup(server.Close)
	return server, opened
}

func post(ctx context.Context, t testing.TB, transport *connector.Transport, url, body string) (status int, answer string, err error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	require.NoError(t, err)
	res, err := transport.RoundTrip(r)
	if err != nil {
		return 0, "", err
	}
	defer func() { require.NoError(t, res.Body.Close()) }()
	raw, err := io.ReadAll(res.Body)
	return res.StatusCode, string(raw), err
}

func TestCallsShareAConnection(t *testing.T) {
	server, opened := countedServer(t, func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil || r.Header.Get("User-Agent") != "" {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		if len(body) > 3 {
			w.(http.Flusher).Flush() // chunked from here on
		}
		_, _ = fmt.Fprintf(w, "got %s", body)
	})
	transport := connector.New()
	for _, body := range []string{"a", "bb", strings.Repeat("c", 100_000)} {
		status, answer, err := post(t.Context(), t, transport, server.URL, body)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, status)
		require.Equal(t, "got "+body, answer)
	}
	require.EqualValues(t, 1, opened.Load())
	transport.CloseIdleConnections()
	_, _, err := post(t.Context(), t, transport, server.URL, "d")
	require.NoError(t, err)
	require.EqualValues(t, 2, opened.Load())
}

// Guards against a caller that gets the response to an earlier call: the late
// response must be read from the connection before its next use.
func TestConnectionWithLateResponseIsKept(t *testing.T) {
	release := make(chan struct{})
	server, opened := countedServer(t, func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		if string(body) == "slow" {
			<-release
		}
		_, _ = w.Write(body)
	})
	t.Cleanup(func() {
		select {
		case <-release:
		default:
			close(release)
		}
	})
	transport := connector.New()
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, _, err := post(ctx, t, transport, server.URL, "slow")
	require.ErrorIs(t, err, context.DeadlineExceeded)
	_, answer, err := post(t.Context(), t, transport, server.URL, "next")
	require.NoError(t, err)
	require.Equal(t, "next", answer)
	require.EqualValues(t, 2, opened.Load(), "the first connection awaits its response")
	close(release)
	time.Sleep(200 * time.Millisecond)
	answers := make(chan string, 2)
	for range 2 {
		go func() {
			_, answer, err := post(t.Context(), t, transport, server.URL, "both")
			answers <- fmt.Sprint(answer, err)
		}()
	}
	require.Equal(t, "both<nil>", <-answers)
	require.Equal(t, "both<nil>", <-answers)
	require.EqualValues(t, 2, opened.Load())
}

func TestCancelledCallEndsAtOnce(t *testing.T) {
	server, _ := countedServer(t, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // the server notices a closed connection only then
		<-r.Context().Done()
	})
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(20*time.Millisecond, cancel)
	_, _, err := post(ctx, t, connector.New(), server.URL, "x")
	require.ErrorIs(t, err, context.Canceled)
}

// Guards against a request that is sent on a connection that the other side has
// closed, which would leave open whether it was carried out.
func TestClosedIdleConnectionIsNotUsed(t *testing.T) {
	server, opened := countedServer(t, func(http.ResponseWriter, *http.Request) {})
	transport := connector.New()
	_, _, err := post(t.Context(), t, transport, server.URL, "x")
	require.NoError(t, err)
	server.CloseClientConnections()
	time.Sleep(100 * time.Millisecond)
	_, _, err = post(t.Context(), t, transport, server.URL, "x")
	require.NoError(t, err)
	require.EqualValues(t, 2, opened.Load())
}

func TestResponseAboveTheLimitIsAnError(t *testing.T) {
	server, _ := countedServer(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, 101)) })
	_, _, err := post(t.Context(), t, connector.New(connector.WithMaxBody(100)), server.URL, "x")
	require.ErrorContains(t, err, "the limit is 100")
}

func TestMalformedResponseIsAnError(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { require.NoError(t, l.Close()) }()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			_, _ = c.Write([]byte("HTTP/1.1 nonsense\r\n\r\n"))
			_ = c.Close()
		}
	}()
	_, _, err = post(t.Context(), t, connector.New(), "http://"+l.Addr().String(), "x")
	require.Error(t, err)
}

func TestHooksTellWhetherAConnectionWasOpened(t *testing.T) {
	looked, got := false, false
	ctx := httptrace.WithClientTrace(t.Context(), &httptrace.ClientTrace{
		GetConn: func(string) { looked = true },
		GotConn: func(httptrace.GotConnInfo) { got = true },
	})
	_, _, err := post(ctx, t, connector.New(), "http://127.0.0.1:1", "x")
	require.Error(t, err)
	require.True(t, looked)
	require.False(t, got)
	server, _ := countedServer(t, func(http.ResponseWriter, *http.Request) {})
	_, _, err = post(ctx, t, connector.New(), server.URL, "x")
	require.NoError(t, err)
	require.True(t, got)
}

func BenchmarkCall(b *testing.B) {
	server, _ := countedServer(b, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(`{"status":"ok"}`)) })
	for name, transport := range map[string]http.RoundTripper{"connector": connector.New(), "net-http": &http.Transport{}} {
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				r, err := http.NewRequestWithContext(b.Context(), http.MethodPost, server.URL, strings.NewReader("{}"))
				require.NoError(b, err)
				res, err := transport.RoundTrip(r)
				require.NoError(b, err)
				_, err = io.Copy(io.Discard, res.Body)
				require.NoError(b, err)
				require.NoError(b, res.Body.Close())
			}
		})
	}
}

func TestCallUsesOnlyAConnectionWithItsMark(t *testing.T) {
	server, opened := countedServer(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "x") })
	transport := connector.New()
	call := func(mark int64) (*connector.Affinity, error) {
		a := &connector.Affinity{Mark: mark}
		_, _, err := post(connector.WithAffinity(t.Context(), a), t, transport, server.URL, "x")
		return a, err
	}
	first, err := call(0)
	require.NoError(t, err)
	_, err = call(5)
	require.ErrorIs(t, err, connector.ErrNoMarkedConnection)
	first.MarkConnection(5)
	_, err = call(5)
	require.NoError(t, err)
	require.EqualValues(t, 1, opened.Load())

	transport.CloseIdleConnections()
	_, err = call(5)
	require.ErrorIs(t, err, connector.ErrNoMarkedConnection)
	require.EqualValues(t, 1, opened.Load(), "a call that is not sent opens no connection")
}

// A call without a mark would otherwise take the connection that the next call with a
// mark requires.
func TestCallWithoutAMarkPrefersAnUnmarkedConnection(t *testing.T) {
	release := make(chan struct{})
	server, opened := countedServer(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/wait" {
			<-release
		}
	})
	transport := connector.New()
	waiting := make(chan error)
	go func() {
		_, _, err := post(t.Context(), t, transport, server.URL+"/wait", "")
		waiting <- err
	}()
	require.Eventually(t, func() bool { return opened.Load() == 1 }, time.Second, time.Millisecond)
	marked := new(connector.Affinity)
	_, _, err := post(connector.WithAffinity(t.Context(), marked), t, transport, server.URL, "")
	require.NoError(t, err)
	marked.MarkConnection(5)
	close(release)
	require.NoError(t, <-waiting)

	for range 3 {
		a := new(connector.Affinity)
		_, _, err = post(connector.WithAffinity(t.Context(), a), t, transport, server.URL, "")
		require.NoError(t, err)
		a.MarkConnection(0)
		a = &connector.Affinity{Mark: 5}
		_, _, err = post(connector.WithAffinity(t.Context(), a), t, transport, server.URL, "")
		require.NoError(t, err)
	}
	require.EqualValues(t, 2, opened.Load())
}

// silentProxy forwards connections to a server. Those that are open when it falls silent
// stay open and forward nothing any more.
type silentProxy struct {
	net.Listener
	target string

	mu     sync.Mutex
	opened int
	silent map[net.Conn]bool // by connection of a client
}

func newSilentProxy(t *testing.T, target string) *silentProxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	p := &silentProxy{Listener: l, target: target, silent: make(map[net.Conn]bool)}
	t.Cleanup(func() { _ = l.Close() })
	go p.serve()
	return p
}

func (p *silentProxy) serve() {
	for {
		client, err := p.Accept()
		if err != nil {
			return // the test has ended
		}
		server, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = client.Close()
			continue
		}
		p.mu.Lock()
		p.opened++
		p.silent[client] = false
		p.mu.Unlock()
		go p.forward(client, server, client)
		go p.forward(client, client, server)
	}
}

// forward copies what from sends unless the client's connection is silent.
func (p *silentProxy) forward(client, from, to net.Conn) {
	buf := make([]byte, 4096)
	for {
		n, err := from.Read(buf)
		if err != nil {
			_ = to.Close()
			return
		}
		p.mu.Lock()
		silent := p.silent[client]
		p.mu.Unlock()
		if !silent {
			_, _ = to.Write(buf[:n])
		}
	}
}

// fallSilent makes all open connections silent.
func (p *silentProxy) fallSilent() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.silent {
		p.silent[c] = true
	}
}

func (p *silentProxy) openedConnections() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}

// When the connections to a host have fallen silent, one call without a response must be
// enough to notice. See docs/incidents/2026-12-05-withdrawn-key-in-use.md.
func TestOneCallWithoutAResponseShowsThatConnectionsAreSilent(t *testing.T) {
	const connections = 4
	release := make(chan struct{})
	var waiting sync.WaitGroup
	waiting.Add(connections)
	server, _ := countedServer(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/wait" {
			waiting.Done()
			<-release
		}
	})
	proxy := newSilentProxy(t, server.Listener.Addr().String())
	transport := connector.New(connector.WithMaxIdlePerHost(connections))
	url := "http://" + proxy.Addr().String()
	var calls sync.WaitGroup
	for range connections {
		calls.Go(func() { _, _, _ = post(t.Context(), t, transport, url+"/wait", "") })
	}
	waiting.Wait()
	close(release)
	calls.Wait()

	proxy.fallSilent()
	call := func() error {
		ctx, cancel := context.WithTimeout(t.Context(), 300*time.Millisecond)
		defer cancel()
		_, _, err := post(ctx, t, transport, url, "")
		return err
	}
	require.ErrorIs(t, call(), context.DeadlineExceeded)
	for range 10 {
		require.NoError(t, call())
	}
	require.Equal(t, connections+1, proxy.openedConnections(), "further calls share the new connection")
}

// A host that is slow once must not cost all its connections.
func TestConnectionsAreUsedAgainAfterALateResponse(t *testing.T) {
	release := make(chan struct{})
	server, opened := countedServer(t, func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/wait" {
			<-release
		}
	})
	transport := connector.New()
	done := make(chan struct{})
	go func() {
		_, _, _ = post(t.Context(), t, transport, server.URL+"/wait", "")
		close(done)
	}()
	require.Eventually(t, func() bool { return opened.Load() == 1 }, time.Second, time.Millisecond)
	_, _, err := post(t.Context(), t, transport, server.URL, "")
	require.NoError(t, err)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, _, err = post(ctx, t, transport, server.URL+"/wait", "")
	require.ErrorIs(t, err, context.DeadlineExceeded)
	close(release)
	<-done
	time.Sleep(50 * time.Millisecond)
	for range 5 {
		_, _, err := post(t.Context(), t, transport, server.URL, "")
		require.NoError(t, err)
	}
	require.EqualValues(t, 2, opened.Load())
}
