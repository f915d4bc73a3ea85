package launcher

import (
	"log/slog"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/limiter"
	"github.com/coltsfootlever/coltsfootlever/modeler"
	"github.com/coltsfootlever/coltsfootlever/platform"
)

// serveCallers serves callers with 404 until the test ends.
func serveCallers(t *testing.T, maxDescriptors int64) (*Launcher, *limiter.Listener) {
	l := &Launcher{log: slog.New(slog.DiscardHandler), fleet: &fleetState{}}
	listener, err := l.listenForCallers(t.Context(), &platform.Settings{CallersAddress: "127.0.0.1:0", MaxDescriptors: maxDescriptors})
	require.NoError(t, err)
	server := newServer(listener, http.NotFoundHandler())
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return l, listener
}

// Connections that callers kept open took all descriptors of the process.
func TestOpenConnectionsStayBelowTheDescriptors(t *testing.T) {
	_, listener := serveCallers(t, 300)
	require.Less(t, listener.MaxConns(), 300-200)
	for range 300 {
		c, err := net.Dial("tcp4", listener.Addr().String())
		require.NoError(t, err)
		defer func() { _ = c.Close() }() // the server closes most of them
		require.LessOrEqual(t, listener.Open(), listener.MaxConns())
	}
	client := &http.Client{Timeout: 20 * time.Second}
	res, err := client.Get("http://" + listener.Addr().String())
	require.NoError(t, err)
	require.Equal(t, http.StatusNotFound, res.StatusCode)
	require.NoError(t, res.Body.Close())
}

// The limits that a manifest sets for headers and idle connections were not applied.
func TestLimitsOfTheManifestInForceApplyToCallers(t *testing.T) {
	l, listener := serveCallers(t, 0)
	client := &http.Client{Timeout: 20 * time.Second}
	request := func(headerBytes int) int {
		r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+listener.Addr().String(), nil)
		require.NoError(t, err)
		r.Header.Set("Padding", strings.Repeat("x", headerBytes))
		res, err := client.Do(r)
		require.NoError(t, err)
		require.NoError(t, res.Body.Close())
		return res.StatusCode
	}
	require.Equal(t, http.StatusNotFound, request(15_000))
	l.fleet.manifest.Store(&modeler.Manifest{MaxHeader: 1000})
	require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, request(15_000))
	l.fleet.manifest.Store(&modeler.Manifest{MaxHeader: 100_000, HeaderTimeout: time.Second, IdleTimeout: time.Minute})
	require.Equal(t, http.StatusNotFound, request(90_000))
	require.Equal(t, limiter.Limits{MaxHeader: 100_000, HeaderTimeout: time.Second, IdleTimeout: time.Minute}, l.fleet.connLimits())
}
