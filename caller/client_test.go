package caller_test

import (
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/caller"
	"github.com/coltsfootlever/coltsfootlever/classifier"
)

// net/http retries a request whose reused connection breaks. If that retry cannot
// connect, the error must still be MayHaveRun, because the first attempt reached
// the entry.
func TestRequestRepeatedByTransportMayHaveRun(t *testing.T) {
	var listener net.Listener
	var requests atomic.Int64
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if requests.Add(1) == 1 {
			return // leaves an open connection that the next request reuses
		}
		_ = listener.Close()
		conn, _, err := w.(http.Hijacker).Hijack()
		if err == nil {
			_ = conn.Close()
		}
	}))
	defer s.Close()
	listener = s.Listener
	client := caller.New(s.URL, s.Client())
	_, err := client.Submit(t.Context(), caller.Request{Queue: "inquiries", Name: "n1"})
	require.NoError(t, err)
	_, err = client.Submit(t.Context(), caller.Request{Queue: "inquiries", Name: "n2"})
	require.Equal(t, classifier.MayHaveRun, classifier.VerdictOf(err), "%v", err)
	require.EqualValues(t, 2, requests.Load())
}

func TestRefusedConnectionMeansNotRun(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, l.Close())
	_, err = caller.New("http://"+l.Addr().String(), &http.Client{}).Submit(t.Context(), caller.Request{Queue: "inquiries", Name: "n"})
	require.Equal(t, classifier.NotRun, classifier.VerdictOf(err))
}
