package messenger_test

import (
	"context"
	"encoding/binary"
	"io"
	"log/slog"
	"net"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/limiter"
	"github.com/coltsfootlever/coltsfootlever/messenger"
	"github.com/coltsfootlever/coltsfootlever/messenger/peerpb"
)

const (
	crowdConnections = 64
	unfinishedBytes  = 60_000  // sent of each message, within the first window of HTTP/2
	messageBytes     = 1 << 20 // announced
	maxMessageHeap   = 24 << 20
)

// frame returns an HTTP/2 frame.
func frame(kind, flags byte, stream uint32, payload []byte) []byte {
	f := binary.BigEndian.AppendUint32(nil, uint32(len(payload))<<8|uint32(kind))
	f = append(f, flags)
	f = binary.BigEndian.AppendUint32(f, stream)
	return append(f, payload...)
}

// forwardHeader returns the HPACK form of the header of a call that forwards a task.
func forwardHeader() []byte {
	const method, http = 0x83, 0x86 // POST and http in the static table
	h := []byte{method, http}
	for _, field := range [][2]string{{":path", peerpb.Peer_Forward_FullMethodName}, {":authority", "peer"}, {"content-type", "application/grpc"}, {"te", "trailers"}} {
		h = append(h, 0)
		for _, s := range field {
			h = append(append(h, byte(len(s))), s...)
		}
	}
	return h
}

// unfinishedCalls returns calls whose messages stop short of their end, in frames with at
// most size bytes.
func unfinishedCalls(n, size int) []byte {
	const data, headers, settings, endHeaders = 0, 1, 4, 4
	calls := []byte("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n")
	calls = append(calls, frame(settings, 0, 0, nil)...)
	for stream := uint32(1); stream < uint32(2*n); stream += 2 {
		calls = append(calls, frame(headers, endHeaders, stream, forwardHeader())...)
		message := make([]byte, unfinishedBytes)
		binary.BigEndian.PutUint32(message[1:], messageBytes)
		for ; len(message) > 0; message = message[min(size, len(message)):] {
			calls = append(calls, frame(data, 0, stream, message[:min(size, len(message))])...)
		}
	}
	return calls
}

// Messages that stopped short of their end and stayed open exhausted the memory.
func TestUnfinishedMessagesDoNotExhaustMemory(t *testing.T) {
	for name, calls := range map[string][]byte{"large frames": unfinishedCalls(16, 16<<10), "small frames": unfinishedCalls(16, 64)} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			require.NoError(t, err)
			budget := limiter.NewMessageBudget(8<<20, slog.New(slog.DiscardHandler))
			ctx, stop := context.WithCancel(t.Context())
			ended := make(chan error, 1)
			go func() {
				ended <- messenger.NewServer(&handler{}, messenger.WithListener(l), messenger.WithGracePeriod(0), messenger.WithMessageBudget(budget)).Run(ctx)
			}()
			before := liveHeap()
			for range crowdConnections {
				c, err := net.Dial("tcp", l.Addr().String())
				require.NoError(t, err)
				defer func() { _ = c.Close() }()
				go func() { _, _ = io.Copy(io.Discard, c) }()
				_, _ = c.Write(calls) // fails when the server closes the connection
				require.LessOrEqual(t, budget.Held(), int64(8<<20))
			}
			for range 20 {
				require.Less(t, liveHeap()-before, int64(maxMessageHeap))
				time.Sleep(10 * time.Millisecond)
			}
			c := messenger.NewClient(messenger.WithConnectTimeout(10 * time.Second))
			_, err = c.Heartbeat(ctx, l.Addr().String(), messenger.Heartbeat{From: "a"})
			require.NoError(t, err)
			require.NoError(t, c.Close())
			stop()
			require.NoError(t, <-ended)
		})
	}
}

// liveHeap returns the size of the heap without garbage, in bytes.
func liveHeap() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
