package soaker_test

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/soaker"
)

const noDataTimeout = 200 * time.Millisecond // after this time without data the proxy counts as blocking

// startEchoServer starts a TCP server that sends back the data it receives.
func startEchoServer(t *testing.T) string {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c) }()
		}
	}()
	return l.Addr().String()
}

func TestProxyModes(t *testing.T) {
	p, err := soaker.NewProxy(startEchoServer(t))
	require.NoError(t, err)
	t.Cleanup(func() { _ = p.Close() })
	c, err := net.Dial("tcp4", p.Address())
	require.NoError(t, err)
	exchange := func() error {
		if _, err := c.Write([]byte("x")); err != nil {
			return err
		}
		require.NoError(t, c.SetReadDeadline(time.Now().Add(noDataTimeout)))
		_, err := c.Read(make([]byte, 1))
		return err
	}
	require.NoError(t, exchange())
	for _, m := range []soaker.Mode{soaker.BlockAll, soaker.BlockResponses} {
		p.SetMode(m)
		require.Error(t, exchange(), "mode %d", m)
		p.SetMode(soaker.Pass)
		require.NoError(t, c.SetReadDeadline(time.Now().Add(10*time.Second)))
		_, err = c.Read(make([]byte, 1)) // the data that was held back arrives
		require.NoError(t, err)
	}
	p.SetMode(soaker.Delay)
	require.NoError(t, exchange())
	p.SetMode(soaker.Reset)
	require.Error(t, exchange())
	c, err = net.Dial("tcp4", p.Address())
	require.NoError(t, err)
	require.Error(t, exchange(), "new connections must be reset as well")
}
