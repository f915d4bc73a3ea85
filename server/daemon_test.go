package server_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/admitter"
	"github.com/coltsfootlever/coltsfootlever/authenticator"
	"github.com/coltsfootlever/coltsfootlever/classifier"
	"github.com/coltsfootlever/coltsfootlever/emulator"
	"github.com/coltsfootlever/coltsfootlever/messenger"
	"github.com/coltsfootlever/coltsfootlever/server"
)

const (
	answerTimeout = 10 * time.Second // for an ordinary call; no answer at all fails the tests
	closeTimeout  = 3 * time.Second  // for the server to accept a crowd and close what is too much
)

// startDaemon runs an entry on loopback addresses with 64 descriptors and returns its
// listeners.
func startDaemon(t *testing.T) server.Listeners {
	var l server.Listeners
	for _, to := range []*net.Listener{&l.Callers, &l.Peers, &l.Operators, &l.Metrics} {
		var err error
		*to, err = net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
	}
	cfg := server.DefaultSettings()
	cfg.Instance, cfg.Zone = "entry-0", "a"
	cfg.PeersAddress, cfg.CallersAddress = l.Peers.Addr().String(), l.Callers.Addr().String()
	cfg.OperatorHash = authenticator.Hash(operatorKey)
	cfg.MaxDescriptors, cfg.MemoryBytes = 64, 1<<30
	cfg.BalancerDelay, cfg.StopTimeout = 0, 100*time.Millisecond
	cfg.Log = slog.New(slog.DiscardHandler)
	client := messenger.NewClient()
	e, err := server.New(cfg, server.Platform{
		Store: emulator.NewStore().ClientFor(cfg.Instance), Instances: emulator.NewPlatform(0, time.Second, nil), Workers: &emulator.Fleet{}, Peers: client,
	})
	require.NoError(t, err)
	ctx, stop := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_ = server.NewDaemon(e, l).Run(ctx) // a stop without a cluster is incomplete
	}()
	t.Cleanup(func() {
		stop()
		<-ended
		_ = client.Close()
	})
	return l
}

// dialCrowd opens connections that send text and nothing more.
func dialCrowd(t *testing.T, l net.Listener, n int, text string) []net.Conn {
	var crowd []net.Conn
	for range n {
		c, err := net.Dial("tcp", l.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		_, _ = io.WriteString(c, text) // fails on a connection that is closed already
		crowd = append(crowd, c)
	}
	return crowd
}

// requireOpen waits until the server has at most n connections of the crowd open.
func requireOpen(t *testing.T, n int, crowd []net.Conn) {
	for deadline := time.Now().Add(closeTimeout); ; {
		open := countOpen(crowd)
		if open <= n {
			return
		}
		require.True(t, time.Now().Before(deadline), "%d connections are open", open)
	}
}

// countOpen returns how many of the connections the server has not closed.
func countOpen(crowd []net.Conn) int {
	n := 0
	for _, c := range crowd {
		_ = c.SetReadDeadline(time.Now().Add(time.Millisecond))
		if _, err := io.Copy(io.Discard, c); errors.Is(err, os.ErrDeadlineExceeded) {
			n++
		}
	}
	return n
}

// call sends a request on a connection of its own and returns the answer without its
// body.
func call(t *testing.T, method string, l net.Listener, path, key, body string) *http.Response {
	ctx, stop := context.WithTimeout(t.Context(), answerTimeout)
	defer stop()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+l.Addr().String()+path, strings.NewReader(body))
	require.NoError(t, err)
	r.Header.Set("Authorization", "Bearer "+key)
	res, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(r)
	require.NoError(t, err)
	_, err = io.Copy(io.Discard, res.Body)
	require.NoError(t, err)
	require.NoError(t, res.Body.Close())
	return res
}

// Connections that sent nothing, or a part of a header or a body, were kept without
// bound, and callers found no descriptor.
func TestUnfinishedConnectionsDoNotKeepCallersOut(t *testing.T) {
	for name, text := range map[string]string{
		"silent":       "",
		"half header":  "POST /v1/queues/inquiry/jobs HTTP/1.1\r\nHost: entry\r\n",
		"half body":    "POST /v1/queues/inquiry/jobs HTTP/1.1\r\nHost: entry\r\nContent-Length: 1000\r\n\r\nhalf",
		"half chunked": "POST /v1/queues/inquiry/jobs HTTP/1.1\r\nHost: entry\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nh\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			l := startDaemon(t)
			crowd := dialCrowd(t, l.Callers, 100, text)
			requireOpen(t, 32, crowd)
			res := call(t, http.MethodPost, l.Callers, "/v1/queues/inquiry/jobs", "", "{}")
			require.Equal(t, http.StatusServiceUnavailable, res.StatusCode, "the entry has no rules yet")
			require.Equal(t, classifier.NotRun.String(), res.Header.Get(admitter.VerdictHeader))
			require.Equal(t, http.StatusOK, call(t, http.MethodGet, l.Operators, "/operator/v1/status", operatorKey, "").StatusCode)
			require.Equal(t, http.StatusOK, call(t, http.MethodGet, l.Metrics, "/healthz", "", "").StatusCode)
		})
	}
}

// Crowds on the operators' and the metrics' listeners were kept without bound.
func TestUnfinishedConnectionsDoNotKeepOperatorsAndHealthChecksOut(t *testing.T) {
	l := startDaemon(t)
	const half = "GET / HTTP/1.1\r\n"
	operators, metrics := dialCrowd(t, l.Operators, 30, half), dialCrowd(t, l.Metrics, 30, half)
	requireOpen(t, 4, operators)
	requireOpen(t, 4, metrics)
	require.Equal(t, http.StatusOK, call(t, http.MethodGet, l.Operators, "/operator/v1/status", operatorKey, "").StatusCode)
	require.Equal(t, http.StatusOK, call(t, http.MethodGet, l.Metrics, "/healthz", "", "").StatusCode)
	require.Equal(t, http.StatusRequestEntityTooLarge, call(t, http.MethodGet, l.Metrics, "/healthz", "", fmt.Sprint(l)).StatusCode)
}

// Connections that stopped in the handshake were kept for two minutes, and peers found
// no descriptor.
func TestUnfinishedConnectionsDoNotKeepPeersOut(t *testing.T) {
	for name, text := range map[string]string{"silent": "", "half handshake": "PRI * HTTP/2.0"} {
		t.Run(name, func(t *testing.T) {
			l := startDaemon(t)
			requireOpen(t, 8, dialCrowd(t, l.Peers, 60, text))
			c := messenger.NewClient(messenger.WithConnectTimeout(answerTimeout))
			defer func() { require.NoError(t, c.Close()) }()
			_, err := c.ListRulesChanges(t.Context(), l.Peers.Addr().String(), messenger.ChangesRequest{})
			require.ErrorContains(t, err, "no rules are known here", "the answer of the entry")
		})
	}
}
