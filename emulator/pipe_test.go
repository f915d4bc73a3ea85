package emulator_test

import (
	"context"
	"net"
	"net/http"
	"sync"
	"testing"

	"github.com/juju/errors"
)

// pipeListener is a listener whose connections are in-memory pipes. Unlike
// sockets, they work with the virtual time of testing/synctest.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

// serveOverPipes serves handler on a pipeListener until the test ends. It returns
// the listener and a transport that connects to it.
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

// dial connects to the listener whatever address is given.
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
