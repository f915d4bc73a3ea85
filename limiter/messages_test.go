package limiter_test

import (
	"encoding/binary"
	"log/slog"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/coltsfootlever/coltsfootlever/limiter"
)

// Types and flags of HTTP/2 frames.
const (
	dataFrame    = 0
	headersFrame = 1
	resetFrame   = 3
	pingFrame    = 6
	endStream    = 1
)

func frame(kind, flags byte, stream uint32, length int) []byte {
	f := binary.BigEndian.AppendUint32(nil, uint32(length)<<8|uint32(kind))
	f = append(f, flags)
	f = binary.BigEndian.AppendUint32(f, stream)
	return append(f, make([]byte, length)...)
}

// dialMessages returns the client's side of a connection whose messages are counted.
// closed is closed when the server's side can't be read any more.
func dialMessages(t *testing.T, b *limiter.MessageBudget) (client net.Conn, closed chan struct{}) {
	client, raw := net.Pipe()
	server, _, err := b.Credentials(insecure.NewCredentials()).ServerHandshake(raw)
	require.NoError(t, err)
	closed = make(chan struct{})
	go func() {
		defer close(closed)
		p := make([]byte, 7)
		for _, err := server.Read(p); err == nil; {
			_, err = server.Read(p)
		}
	}()
	t.Cleanup(func() {
		_ = client.Close()
		_ = server.Close()
	})
	_, err = client.Write(make([]byte, 24)) // the preface
	require.NoError(t, err)
	return client, closed
}

func TestMessagesThatEndHoldNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := limiter.NewMessageBudget(1<<20, slog.New(slog.DiscardHandler))
		c, _ := dialMessages(t, b)
		for n, step := range []struct {
			frame []byte
			holds bool
		}{
			{frame(pingFrame, 0, 0, 8), false},
			{frame(headersFrame, 0, 1, 50), true},
			{frame(dataFrame, 0, 1, 1000), true},
			{frame(dataFrame, endStream, 1, 1000), false},
			{frame(dataFrame, 0, 1, 1000), false},
			{frame(headersFrame, endStream, 3, 50), false},
			{frame(headersFrame, 0, 5, 50), true},
			{frame(dataFrame, 0, 5, 5000), true},
			{frame(resetFrame, 0, 5, 4), false},
			{frame(headersFrame, 0, 7, 50), true},
		} {
			_, err := c.Write(step.frame)
			require.NoError(t, err)
			synctest.Wait()
			require.Equal(t, step.holds, b.Held() > 0, "frame %d", n)
		}
		require.NoError(t, c.Close())
	})
}

// A message that stopped short of its end kept its connection.
func TestConnectionOfMessageThatStopsIsClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := limiter.NewMessageBudget(1<<20, slog.New(slog.DiscardHandler))
		c, closed := dialMessages(t, b)
		time.Sleep(time.Hour) // a connection without messages stays open
		_, err := c.Write(frame(headersFrame, 0, 1, 50))
		require.NoError(t, err)
		began := time.Now()
		<-closed
		require.Equal(t, limiter.MessageTimeout, time.Since(began))
		require.Zero(t, b.Held())
	})
}

// The connection of a message that had just begun was closed for one that had stopped.
func TestOldestMessageIsBrokenOffForOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := limiter.NewMessageBudget(64<<10, slog.New(slog.DiscardHandler))
		stopped, closed := dialMessages(t, b)
		_, err := stopped.Write(append(frame(headersFrame, 0, 1, 50), frame(dataFrame, 0, 1, 30<<10)...))
		require.NoError(t, err)
		time.Sleep(time.Second)
		other, _ := dialMessages(t, b)
		_, err = other.Write(append(frame(headersFrame, 0, 1, 50), frame(dataFrame, 0, 1, 30<<10)...))
		require.NoError(t, err)
		<-closed
		_, err = other.Write(frame(dataFrame, endStream, 1, 1))
		require.NoError(t, err)
		synctest.Wait()
		require.Zero(t, b.Held())
	})
}
