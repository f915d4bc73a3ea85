package messenger_test

import (
	"context"
	"log/slog"
	"net"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/limiter"
	"github.com/coltsfootlever/coltsfootlever/messenger"
	"github.com/coltsfootlever/coltsfootlever/scheduler"
)

// Large tasks that a peer forwarded at the same time broke off those that were running.
func TestBurstOfLargeTasksKeepsRunningOnes(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	budget := limiter.NewMessageBudget(8<<20, slog.New(slog.DiscardHandler))
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	ended := make(chan error, 1)
	go func() {
		ended <- messenger.NewServer(&handler{blockForward: true}, messenger.WithListener(l), messenger.WithGracePeriod(0), messenger.WithMessageBudget(budget)).Run(ctx)
	}()
	c := messenger.NewClient(messenger.WithConnectTimeout(10 * time.Second))
	callCtx, cancel := context.WithTimeout(ctx, 4*time.Second)
	defer cancel()
	type outcome struct {
		task string
		took time.Duration
		err  error
	}
	results := make(chan outcome, 100)
	forward := func(name string, size int) {
		began := time.Now()
		_, err := c.ForwardTask(callCtx, l.Addr().String(), messenger.ForwardRequest{From: "a", Task: scheduler.Task{ID: name, Body: make([]byte, size)}})
		results <- outcome{name, time.Since(began), err}
	}
	go forward("small", 10)
	time.Sleep(300 * time.Millisecond)
	for n := range 24 {
		go forward("large"+strconv.Itoa(n), 1<<20)
	}
	select {
	case r := <-results:
		require.Greater(t, r.took, 3*time.Second, "a running task was broken off: %v", r.err)
	case <-time.After(3500 * time.Millisecond):
	}
	stop()
	<-ended
	_ = c.Close()
}
