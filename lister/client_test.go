package lister_test

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/emulator"
	"github.com/coltsfootlever/coltsfootlever/lister"
)

// handlerTransport sends requests straight to a handler and counts the bytes of
// the response bodies.
type handlerTransport struct {
	h     http.Handler
	bytes int
}

func (p *handlerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	w := httptest.NewRecorder()
	p.h.ServeHTTP(w, r)
	p.bytes += w.Body.Len()
	return w.Result(), nil
}

func TestUnchangedListIsNotTransferredAgain(t *testing.T) {
	platform := emulator.NewPlatform(0, time.Second, nil)
	platform.Add(lister.Listing{ID: "worker-1"}, lister.Listing{ID: "worker-2"})
	wire := &handlerTransport{h: platform.Handler()}
	c := lister.NewClient("http://list", lister.WithTransport(wire))
	first, err := c.List(t.Context())
	require.NoError(t, err)
	require.Len(t, first, 2)
	transferred := wire.bytes
	again, err := c.List(t.Context())
	require.NoError(t, err)
	require.Equal(t, first, again)
	require.Equal(t, transferred, wire.bytes)
	platform.Add(lister.Listing{ID: "worker-3"})
	changed, err := c.List(t.Context())
	require.NoError(t, err)
	require.Len(t, changed, 3)
}
