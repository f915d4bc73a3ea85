package relayer_test

import (
	"context"
	"log/slog"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/emulator"
	"github.com/coltsfootlever/coltsfootlever/modeler"
	"github.com/coltsfootlever/coltsfootlever/relayer"
	"github.com/coltsfootlever/coltsfootlever/throttler"
)

// startRelay serves a relay on l over gRPC until the returned function is called,
// which stops it as a planned stop does.
func startRelay(t *testing.T, workers relayer.Workers, l net.Listener) (stop func()) {
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- relayer.NewServer(workers).Run(ctx, l) }()
	return func() {
		cancel()
		<-done
	}
}

// Over real connections: calls take the relay, one that is under way at a planned
// stop still gets its result, and after a restart the relay is used again.
func TestRelayOverGRPC(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	address := l.Addr().String()
	store := emulator.NewMetaStore().ClientFor("relay")
	log := slog.New(slog.DiscardHandler)
	require.NoError(t, relayer.Register(t.Context(), store, relayer.Registration{Name: "r", Address: address, Zone: "z", ProcessorShare: 0.8, LinkMbps: 200}, log))
	record, err := store.Get(t.Context(), "relays/r")
	require.NoError(t, err)
	require.JSONEq(t, `{"address":"`+address+`","zone":"z","processor-share":0.8,"link-mbps":200}`, string(record.Value))

	direct, byRelay := &fakeWorkers{}, &fakeWorkers{}
	stop := startRelay(t, byRelay, l)
	c := relayer.NewClient(direct, 8, "leader", throttler.New(), func(ctx context.Context) ([]relayer.Registration, error) {
		return relayer.ListRegistrations(ctx, store, log)
	}, relayer.WithUse(func(int, bool) bool { return true }))
	c.SetWorkers([]modeler.Worker{{ID: "w0"}})
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		c.Run(ctx)
	}()
	start := func() error {
		_, err := c.Start(ctx, modeler.Worker{ID: "w0", Address: "a"}, modeler.StartOrder{Task: modeler.TaskID{Job: "j"}, Run: 1, FencingToken: 8})
		return err
	}
	usesRelay := func(f *fakeWorkers) func() bool {
		return func() bool {
			before, _ := f.counts()
			require.NoError(t, start())
			after, _ := f.counts()
			return after > before
		}
	}
	require.Eventually(t, usesRelay(byRelay), 5*time.Second, 20*time.Millisecond)
	byRelay.delay.Store(int64(200 * time.Millisecond))
	result := make(chan error, 1)
	go func() { result <- start() }()
	time.Sleep(50 * time.Millisecond)
	stop()
	require.NoError(t, <-result)
	require.Eventually(t, usesRelay(direct), time.Second, 20*time.Millisecond)

	byRelay.delay.Store(0)
	l, err = net.Listen("tcp", address)
	require.NoError(t, err)
	defer startRelay(t, byRelay, l)()
	require.Eventually(t, usesRelay(byRelay), 10*time.Second, 50*time.Millisecond)
	cancel()
	<-ended
}

// Streams that sent nothing stayed open without bound.
func TestSilentStreamsAreEnded(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer startRelay(t, &fakeWorkers{}, l)()
	const crowd = 24
	ended := make(chan error, crowd)
	for range crowd {
		s, err := relayer.Dial(t.Context(), l.Addr().String())
		require.NoError(t, err)
		go func() {
			_, err := s.Receive()
			ended <- err
		}()
	}
	for range crowd {
		select {
		case err := <-ended:
			require.Error(t, err)
		case <-time.After(10 * time.Second):
			require.Fail(t, "a silent stream is open")
		}
	}
}
