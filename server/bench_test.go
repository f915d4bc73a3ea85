package server_test

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/authenticator"
	"github.com/coltsfootlever/coltsfootlever/caller"
	"github.com/coltsfootlever/coltsfootlever/emulator"
	"github.com/coltsfootlever/coltsfootlever/lister"
	"github.com/coltsfootlever/coltsfootlever/messenger"
	"github.com/coltsfootlever/coltsfootlever/operator"
	"github.com/coltsfootlever/coltsfootlever/scheduler"
	"github.com/coltsfootlever/coltsfootlever/server"
)

const (
	benchReadyTimeout = 20 * time.Second
	benchPollInterval = 50 * time.Millisecond
	benchSlots        = 64
	benchRules        = `pool solo # measurement
team leads customer a share 1 limit 64 # measurement
queue leads team leads open service s pool solo bound 1000 # measurement
`
)

// startBenchEntry starts entry number n. It listens for other entries on the
// loopback interface; callers' requests go directly to its HTTP handler.
func (f *fleet) startBenchEntry(b *testing.B, n int) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	cfg := server.DefaultSettings()
	cfg.Instance, cfg.Zone = fmt.Sprintf("entry-%d", n), "a"
	cfg.PeersAddress, cfg.CallersAddress = l.Addr().String(), fmt.Sprintf("127.0.0.1:%d", 7000+n)
	cfg.OperatorHash = authenticator.Hash(operatorKey)
	cfg.Log = slog.New(slog.DiscardHandler)
	cfg.Assert = func(ok bool, format string, args ...any) { require.True(b, ok, format, args) }
	f.platform.Add(lister.Listing{ID: cfg.Instance, Kind: lister.EntryKind, Address: cfg.PeersAddress, Zone: "a", State: lister.Live})
	client := messenger.NewClient()
	e, err := server.New(cfg, server.Platform{Store: f.store, Instances: f.platform, Workers: f.workers, Peers: client})
	require.NoError(b, err)
	f.entries = append(f.entries, e)
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan error, 2)
	go func() { ended <- messenger.NewServer(e.PeerHandler(), messenger.WithListener(l)).Run(ctx) }()
	go func() { ended <- e.Run(ctx) }()
	b.Cleanup(func() {
		stop()
		<-ended
		<-ended
		_ = client.Close()
	})
}

// newBenchEntries starts two entries and one worker. It returns the entry that
// owns the worker, and the other one, which has to forward its requests.
func newBenchEntries(b *testing.B) (owner, nonOwner *server.Entry) {
	f := &fleet{store: emulator.NewStore(), platform: emulator.NewPlatform(0, time.Second, nil), workers: &emulator.Fleet{}}
	f.platform.Add(lister.Listing{ID: "w", Kind: lister.WorkerKind, Address: "10.0.1.1:9000", Zone: "a", Rack: "a1", Slots: benchSlots, Pool: "solo", State: lister.Live})
	f.workers.Add("10.0.1.1:9000", emulator.NewWorker("w", benchSlots, nil))
	for n := range 2 {
		f.startBenchEntry(b, n)
	}
	waitUntil(b, func() bool {
		_, err := f.client(0).Apply(b.Context(), operator.ApplyRequest{Text: benchRules})
		return err == nil
	})
	waitUntil(b, func() bool {
		owner, nonOwner = f.entries[0], f.entries[1]
		if nonOwner.OwnedSlots() > 0 {
			owner, nonOwner = nonOwner, owner
		}
		return owner.GrantedSlots("leads") > 0 && owner.OwnedSlots() > 0 && submitRequest(b, nonOwner, caller.Request{Idempotent: true}) == nil
	})
	time.Sleep(2 * server.DefaultHeartbeat) // by now both entries have each other's loads from heartbeats
	return owner, nonOwner
}

// waitUntil polls done until it returns true. It fails the benchmark after
// benchReadyTimeout.
func waitUntil(b *testing.B, done func() bool) {
	for end := time.Now().Add(benchReadyTimeout); !done(); time.Sleep(benchPollInterval) {
		require.True(b, time.Now().Before(end), "the fleet did not get ready")
	}
}

// submitRequest sends a request for an urgent task to the entry and waits for the
// answer.
func submitRequest(b *testing.B, e *server.Entry, r caller.Request) error {
	client := caller.New("http://entry", &http.Client{Transport: handlerTransport{e.Callers()}})
	r.Queue, r.Class, r.Deadline, r.Body = "leads", scheduler.Urgent, time.Minute, []byte("{}")
	_, err := client.Submit(b.Context(), r)
	return err
}

// BenchmarkRequest measures a request from the entry's HTTP handler for callers to
// the answer. The worker answers at once, and messages between the entries go over
// the loopback interface. In the "claimed" cases the request is not idempotent, so
// its name is claimed first; for half of the names the other entry grants claims.
func BenchmarkRequest(b *testing.B) {
	owner, nonOwner := newBenchEntries(b)
	for _, c := range []struct {
		name       string
		entry      *server.Entry
		idempotent bool
	}{
		{"local-idempotent", owner, true},
		{"local-claimed", owner, false},
		{"forwarded-idempotent", nonOwner, true},
		{"forwarded-claimed", nonOwner, false},
	} {
		b.Run(c.name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				r := caller.Request{Idempotent: c.idempotent}
				if !c.idempotent {
					r.Name = uuid.Must(uuid.NewV7()).String()
				}
				if err := submitRequest(b, c.entry, r); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
