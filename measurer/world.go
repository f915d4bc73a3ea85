package measurer

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"
	"google.golang.org/grpc/test/bufconn"

	"github.com/coltsfootlever/coltsfootlever/admitter"
	"github.com/coltsfootlever/coltsfootlever/emulator"
	"github.com/coltsfootlever/coltsfootlever/lister"
	"github.com/coltsfootlever/coltsfootlever/messenger"
	"github.com/coltsfootlever/coltsfootlever/server"
)

const (
	slotsPerWorker = 4
	teamLimit      = 40
	zoneCount      = 6
	rackSize       = 20
	pipeBytes      = 4 << 10 // small, since it counts as memory of the entries
)

type (
	// Size is the size of a fleet.
	Size struct {
		Entries int
		Workers int
		Pools   int
		Teams   int
	}

	// world is a fleet of entries whose traffic is counted.
	world struct {
		size      Size
		store     *emulator.Store
		platform  *emulator.Platform
		workers   *emulator.Fleet
		sizes     *listSizes
		entries   []*server.Entry
		meters    []*Meter
		listeners []*bufconn.Listener
		clients   []*messenger.Client
		running   sync.WaitGroup
		end       context.CancelFunc
		failed    chan error
		rules     uint64 // number of the rules applied last
	}
)

// String implements fmt.Stringer.
func (s Size) String() string {
	return fmt.Sprintf("%d/%d/%d/%d", s.Entries, s.Workers, s.Pools, s.Teams)
}

func newWorld(size Size) *world {
	w := &world{
		size:     size,
		store:    emulator.NewStore(),
		platform: emulator.NewPlatform(0, time.Minute, nil),
		workers:  &emulator.Fleet{},
		sizes:    &listSizes{bytes: make(map[int]int)},
		failed:   make(chan error, size.Entries),
	}
	listings := make([]lister.Listing, 0, size.Workers+size.Entries)
	for n := range size.Workers {
		id, address := fmt.Sprintf("i-%08x", n), fmt.Sprintf("10.1.%d.%d:80", n/200, n%200+1)
		listings = append(listings, lister.Listing{
			ID: id, Kind: lister.WorkerKind, Address: address, Zone: zoneName(n), Rack: fmt.Sprintf("%s-%d", zoneName(n), n/zoneCount/rackSize),
			Slots: slotsPerWorker, Pool: poolName(n / zoneCount % size.Pools),
		})
		w.workers.Add(address, emulator.NewWorker(id, slotsPerWorker, nil))
	}
	for n := range size.Entries {
		listings = append(listings, lister.Listing{ID: entryName(n), Kind: lister.EntryKind, Address: peerAddress(n), Zone: zoneName(n)})
	}
	w.platform.Add(listings...)
	return w
}

func zoneName(n int) string    { return fmt.Sprintf("zone-%d", n%zoneCount) }
func poolName(n int) string    { return fmt.Sprintf("pool-%03d", n) }
func entryName(n int) string   { return fmt.Sprintf("entry-%02d", n) }
func peerAddress(n int) string { return fmt.Sprintf("10.0.0.%d:7100", n+1) }

// start runs the entries.
func (w *world) start(ctx context.Context) error {
	ctx, w.end = context.WithCancel(ctx)
	for n := range w.size.Entries {
		w.meters = append(w.meters, &Meter{})
		w.listeners = append(w.listeners, bufconn.Listen(pipeBytes))
		if err := w.build(n); err != nil {
			return errors.Trace(err)
		}
	}
	for n, e := range w.entries {
		peers := messenger.NewServer(e.PeerHandler(), messenger.WithListener(w.listeners[n]), messenger.WithGracePeriod(time.Millisecond))
		w.running.Go(func() { w.fail(ctx, peers.Run(ctx)) })
		w.running.Go(func() { w.fail(ctx, e.Run(ctx)) })
	}
	return nil
}

func (w *world) fail(ctx context.Context, err error) {
	if ctx.Err() == nil && err != nil {
		w.failed <- err
	}
}

func (w *world) build(n int) error {
	cfg := server.DefaultSettings()
	cfg.Instance, cfg.Zone = entryName(n), zoneName(n)
	cfg.PeersAddress, cfg.CallersAddress = peerAddress(n), fmt.Sprintf("10.0.0.%d:7000", n+1)
	cfg.Log = slog.New(slog.DiscardHandler)
	m := w.meters[n]
	client := messenger.NewClient(messenger.WithDialer(func(ctx context.Context, address string) (net.Conn, error) {
		return w.dial(ctx, m, address)
	}))
	e, err := server.New(cfg, server.Platform{
		Store:     storePort{w.store.ClientFor(cfg.Instance), m},
		Instances: listPort{w.platform, m, w.sizes},
		Workers:   workerPort{w.workers, m},
		Peers:     peerPort{client, m},
	})
	if err != nil {
		return errors.Trace(err)
	}
	w.entries = append(w.entries, e)
	w.clients = append(w.clients, client)
	return nil
}

func (w *world) dial(ctx context.Context, m *Meter, address string) (net.Conn, error) {
	for n := range w.listeners {
		if peerAddress(n) == address {
			conn, err := w.listeners[n].DialContext(ctx)
			if err != nil {
				return nil, errors.Trace(err)
			}
			return countedConn{conn, m, w.meters[n]}, nil
		}
	}
	return nil, errors.NotFoundf("entry at %s", address)
}

// close ends all entries and waits for them.
func (w *world) close() {
	w.end()
	w.running.Wait()
	for _, c := range w.clients {
		_ = c.Close()
	}
}

// text returns the rules. turn makes a set that differs in one limit.
func (w *world) text(turn int) []byte {
	var s strings.Builder
	for n := range w.size.Pools {
		fmt.Fprintf(&s, "pool %s # measurer\n", poolName(n))
	}
	for n := range w.size.Teams {
		limit := teamLimit
		if n == turn%w.size.Teams {
			limit += 1 + turn%2
		}
		fmt.Fprintf(&s, "team team-%03d customer customer-%02d share %d limit %d # measurer\n", n, n%20, 1+n%7, limit)
		fmt.Fprintf(&s, "queue queue-%03d team team-%03d open service service-%03d pool %s bound 200 # measurer\n", n, n, n, poolName(n%w.size.Pools))
	}
	fmt.Fprintf(&s, "budget pool * max-absent 1 # measurer\n")
	return []byte(s.String())
}

// apply changes the rules at one of the entries.
func (w *world) apply(ctx context.Context, turn int) error {
	e := w.entries[turn%len(w.entries)]
	applied, err := e.ApplyRules(ctx, w.rules, w.text(turn), "measurer")
	if err != nil {
		return errors.Trace(err)
	}
	w.rules = applied.Number
	return nil
}

// submit hands in one job of a team that sleeps, and does not wait for it.
func (w *world) submit(ctx context.Context, n int, name string, sleep time.Duration) error {
	body := strings.NewReader(fmt.Sprintf(`{"sleep-ms":%d}`, sleep.Milliseconds()))
	r := httptest.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("/v1/queues/queue-%03d/jobs", n%w.size.Teams), body)
	r.Header.Set("Prefer", "respond-async")
	r.Header.Set(admitter.DeadlineHeader, (2 * time.Minute).String())
	if name == "" {
		r.Header.Set(admitter.IdempotentHeader, "true")
	} else {
		r.Header.Set(admitter.IdempotencyKeyHeader, name)
	}
	answer := httptest.NewRecorder()
	w.entries[n%len(w.entries)].Callers().ServeHTTP(answer, r)
	if answer.Code >= http.StatusBadRequest {
		return errors.Errorf("job %d: %s", n, answer.Body)
	}
	return nil
}
