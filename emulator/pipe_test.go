package emulator_test

import (
	"context"
	"net"
	"net/http"
	"sync"
	"testing"

	"github.com/juju/errors"
)

// pipeListener is a listener whose connections are in-memory pipeListener, so that they work
// in virtual time.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

// serveOverPipes serves handler over pipes until the test ends. It returns a transport
// to it.
func serveOverPipes(t *testing.T, handler http.Handler) (*pipeListener, *http.Transport) {
	l := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
	server := &http.Server{Handler: handler}
	go func() { _ = server.Serve(l) }()
	transport := &http.Transport{DialContext: l.dial}
	t.Cleanup(func() {
		transport.CloseIdleConnections()
		_ = server.Close()
	})
	return l, transport
}

func (l *pipeListener) dial(ctx context.Context, _, _ string) (net.Conn, error) {
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
func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr implements net.Listener.
func (l *pipeListener) Addr() net.Addr {
	return &net.TCPAddr{}
}
