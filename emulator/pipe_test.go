package emulator_test

import (
	"context"
	"net"
	"net/http"
	"sync"
	"testing"

	"github.com/juju/errors"
)

// pipes is a listener whose connections are in-memory pipes, so that they work
// in virtual time.
type pipes struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

// serve serves handler over pipes until the test ends. It returns a transport
// to it.
func serve(t *testing.T, handler http.Handler) (*pipes, *http.Transport) {
	l := &pipes{conns: make(chan net.Conn), closed: make(chan struct{})}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(l) }()
	transport := &http.Transport{DialContext: l.dial}
	t.Cleanup(func() {
		transport.CloseIdleConnections()
		_ = server.Close()
	})
	return l, transport
}

func (l *pipes) dial(ctx context.Context, _, _ string) (net.Conn, error) {
	client, server := net.Pipe()
	select {
	case l.conns <- server:
		return client, nil
	case <-l.closed:
		return nil, errors.New("connection refused")
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Accept implements net.Listener.
func (l *pipes) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *pipes) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *pipes) Addr() net.Addr {
	return &net.TCPAddr{}
}
