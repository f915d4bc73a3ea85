package launcher

import (
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/platform"
)

// Connections that callers kept open took all descriptors of the process.
func TestOpenConnectionsStayBelowTheDescriptors(t *testing.T) {
	l := &Launcher{log: slog.New(slog.DiscardHandler)}
	listener, err := l.listen(t.Context(), &platform.Settings{MaxDescriptors: 300}, "callers-test", "127.0.0.1:0", callerSockets, 0)
	require.NoError(t, err)
	server := newServer(listener, http.NotFoundHandler())
	go func() { _ = server.Serve(listener) }()
	defer func() { _ = server.Close() }()
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
