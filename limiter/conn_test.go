package limiter_test

import (
	"net"
	"os"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/limiter"
)

// A later write of an answer that was broken off for others extended its deadline.
func TestBrokenOffWriteIsNotResumed(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	bounded := limiter.NewListener(l, 4)
	defer func() { require.NoError(t, bounded.Close()) }()
	client, err := net.Dial("tcp", l.Addr().String())
	require.NoError(t, err)
	defer func() { require.NoError(t, client.Close()) }()
	server, err := bounded.Accept()
	require.NoError(t, err)
	defer func() { require.NoError(t, server.Close()) }()
	_, err = server.Write([]byte("x"))
	require.NoError(t, err)
	brokenOff := make(chan error)
	go func() { brokenOff <- server.SetWriteDeadline(time.Unix(1, 0)) }()
	require.NoError(t, <-brokenOff)
	_, err = server.Write([]byte("x"))
	require.ErrorIs(t, err, os.ErrDeadlineExceeded)
}
