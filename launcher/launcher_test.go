package launcher_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/launcher"
	"github.com/coltsfootlever/coltsfootlever/platform"
)

// freeAddress returns a loopback address whose port is free.
func freeAddress(t *testing.T) string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, l.Close())
	return l.Addr().String()
}

// writeSettings writes a settings file with the given addresses to path.
func writeSettings(t *testing.T, path, callers, ready, store string) {
	template, err := os.ReadFile("../platform/testdata/node.yaml")
	require.NoError(t, err)
	text := strings.NewReplacer("CALLERS", callers, "READY", ready, "STORE", store).Replace(string(template))
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
}

func TestNewFailsOnUnreadableOrInvalidSettings(t *testing.T) {
	path := filepath.Join(t.TempDir(), "node.yaml")
	_, err := launcher.New(path)
	require.ErrorContains(t, err, "settings file")
	require.NoError(t, os.WriteFile(path, []byte("node: n"), 0o600))
	_, err = launcher.New(path)
	require.ErrorContains(t, err, "settings file without")
}

// An entry node whose store refuses every call starts, reports that it is not
// ready, refuses callers with the code "unready", and stops when its context ends.
func TestEntryNodeWithoutStoreIsNotReady(t *testing.T) {
	store := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer store.Close()
	callers, ready := freeAddress(t), freeAddress(t)
	path := filepath.Join(t.TempDir(), "node.yaml")
	writeSettings(t, path, callers, ready, strings.TrimPrefix(store.URL, "http://"))
	entryNode, err := launcher.New(path)
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(t.Context())
	stopped := make(chan error, 1)
	go func() { stopped <- entryNode.Run(ctx) }()

	get := func(url string) (int, string) {
		res, err := http.Get(url)
		if err != nil {
			return 0, err.Error()
		}
		defer func() { _ = res.Body.Close() }()
		body, err := io.ReadAll(res.Body)
		require.NoError(t, err)
		return res.StatusCode, string(body)
	}
	require.Eventually(t, func() bool {
		status, _ := get("http://" + ready + platform.PathReadiness)
		return status == http.StatusServiceUnavailable
	}, 10*time.Second, 10*time.Millisecond)
	status, body := get("http://" + callers + "/q/")
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.Contains(t, body, `"code":"unready"`)

	writeSettings(t, path, callers, ready, "127.0.0.1:1")
	entryNode.Reload()
	cancel()
	require.NoError(t, <-stopped)
}
