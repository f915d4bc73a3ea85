package messenger_test

import (
	"context"
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/messenger"
	"github.com/coltsfootlever/coltsfootlever/scheduler"
)

// startPeer serves h on a loopback TCP address. It returns a client and the
// address.
func startPeer(b *testing.B, h messenger.Handler) (*messenger.Client, string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	s := messenger.NewServer(h, messenger.WithListener(l))
	go func() { done <- s.Run(ctx) }()
	c := messenger.NewClient()
	b.Cleanup(func() {
		_ = c.Close()
		cancel()
		<-done
	})
	return c, l.Addr().String()
}

func BenchmarkClaimOverLoopback(b *testing.B) {
	c, address := startPeer(b, &handler{reply: messenger.ClaimReply{Granted: true}})
	r := messenger.ClaimRequest{View: 1, Team: "team", Name: "018f6f3e-0000-7000-8000-000000000001", Member: "a.1", Task: "t"}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := c.Claim(b.Context(), address, r); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkForwardOverLoopback(b *testing.B) {
	c, address := startPeer(b, &handler{answer: completeAnswer("k", "output")})
	r := messenger.ForwardRequest{Task: scheduler.Task{ID: "k", Body: make([]byte, 1024)}}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := c.ForwardTask(b.Context(), address, r); err != nil {
			b.Fatal(err)
		}
	}
}
