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
	teamLimit      = 40 // slots
	zoneCount      = 6
	rackSize       = 20      // workers
	connBufferSize = 4 << 10 // bytes; small, because the buffers count as heap of the entries
)

type (
	// Size is the size of a fleet: the number of its entries, workers, pools and
	// teams.
	Size struct {
		Entries int
		Workers int
		Pools   int
		Teams   int
	}

	// fleet is a fleet of entries over an emulated platform. It counts the
	// traffic of each entry.
	fleet struct {
		size      Size
		store     *emulator.Store
		platform  *emulator.Platform
		workers   *emulator.Fleet
		sizes     *listSizeCache
		entries   []*server.Entry
		counters  []*Counter
		listeners []*bufconn.Listener
		clients   []*messenger.Client
		running   sync.WaitGroup     // goroutines of the entries
		cancel    context.CancelFunc // stops the entries
		failed    chan error         // errors of entries that stopped before cancel
		rules     uint64             // number of the rules applied last
	}
)

// String returns the size as ENTRIES/WORKERS/POOLS/TEAMS.
func (s Size) String() string {
	return fmt.Sprintf("%d/%d/%d/%d", s.Entries, s.Workers, s.Pools, s.Teams)
}

// newFleet returns a fleet whose platform lists all workers and entries. The
// entries are not started.
func newFleet(size Size) *fleet {
	f := &fleet{
		size:     size,
		store:    emulator.NewStore(),
		platform: emulator.NewPlatform(0, time.Minute, nil),
		workers:  &emulator.Fleet{},
		sizes:    &listSizeCache{bytes: make(map[int]int)},
		failed:   make(chan error, size.Entries),
	}
	listings := make([]lister.Listing, 0, size.Workers+size.Entries)
	for n := range size.Workers {
		id, address := fmt.Sprintf("i-%08x", n), fmt.Sprintf("10.1.%d.%d:80", n/200, n%200+1)
		listings = append(listings, lister.Listing{
			ID: id, Kind: lister.WorkerKind, Address: address, Zone: zoneName(n), Rack: fmt.Sprintf("%s-%d", zoneName(n), n/zoneCount/rackSize),
			Slots: slotsPerWorker, Pool: poolName(n / zoneCount % size.Pools),
		})
		f.workers.Add(address, emulator.NewWorker(id, slotsPerWorker, nil))
	}
	for n := range size.Entries {
		listings = append(listings, lister.Listing{ID: entryName(n), Kind: lister.EntryKind, Address: peerAddress(n), Zone: zoneName(n)})
	}
	f.platform.Add(listings...)
	return f
}

func zoneName(n int) string    { return fmt.Sprintf("zone-%d", n%zoneCount) }
func poolName(n int) string    { return fmt.Sprintf("pool-%03d", n) }
func entryName(n int) string   { return fmt.Sprintf("entry-%02d", n) }
func peerAddress(n int) string { return fmt.Sprintf("10.0.0.%d:7100", n+1) }

// start creates the entries and runs them until ctx ends or close is called.
func (f *fleet) start(ctx context.Context) error {
	ctx, f.cancel = context.WithCancel(ctx)
	for n := range f.size.Entries {
		f.counters = append(f.counters, &Counter{})
		f.listeners = append(f.listeners, bufconn.Listen(connBufferSize))
		if err := f.newEntry(n); err != nil {
			return errors.Trace(err)
		}
	}
	for n, e := range f.entries {
		peers := messenger.NewServer(e.PeerHandler(), messenger.WithListener(f.listeners[n]), messenger.WithGracePeriod(time.Millisecond))
		f.running.Go(func() { f.reportFailure(ctx, peers.Run(ctx)) })
		f.running.Go(func() { f.reportFailure(ctx, e.Run(ctx)) })
	}
	return nil
}

// reportFailure keeps the error of an entry that stopped before ctx ended.
func (f *fleet) reportFailure(ctx context.Context, err error) {
	if ctx.Err() == nil && err != nil {
		f.failed <- err
	}
}

// newEntry creates entry n and adds it to the fleet.
func (f *fleet) newEntry(n int) error {
	cfg := server.DefaultSettings()
	cfg.Instance, cfg.Zone = entryName(n), zoneName(n)
	cfg.PeersAddress, cfg.CallersAddress = peerAddress(n), fmt.Sprintf("10.0.0.%d:7000", n+1)
	cfg.Log = slog.New(slog.DiscardHandler)
	counter := f.counters[n]
	client := messenger.NewClient(messenger.WithDialer(func(ctx context.Context, address string) (net.Conn, error) {
		return f.dial(ctx, counter, address)
	}))
	e, err := server.New(cfg, server.Platform{
		Store:     countingStore{f.store.ClientFor(cfg.Instance), counter},
		Instances: countingInstances{f.platform, counter, f.sizes},
		Workers:   countingWorkers{f.workers, counter},
		Peers:     countingPeers{client, counter},
	})
	if err != nil {
		return errors.Trace(err)
	}
	f.entries = append(f.entries, e)
	f.clients = append(f.clients, client)
	return nil
}

// dial connects to the entry that has the address for peers. dialer counts the
// traffic of the dialing entry.
func (f *fleet) dial(ctx context.Context, dialer *Counter, address string) (net.Conn, error) {
	for n := range f.listeners {
		if peerAddress(n) == address {
			conn, err := f.listeners[n].DialContext(ctx)
			if err != nil {
				return nil, errors.Trace(err)
			}
			return countingConn{conn, dialer, f.counters[n]}, nil
		}
	}
	return nil, errors.NotFoundf("entry with peer address %s", address)
}

// close stops all entries and waits until they have stopped.
func (f *fleet) close() {
	f.cancel()
	f.running.Wait()
	for _, c := range f.clients {
		_ = c.Close()
	}
}

// rulesText returns the text of the rules. Each variant differs from the one
// before it in the limits of at most two teams.
func (f *fleet) rulesText(variant int) []byte {
	var s strings.Builder
	for n := range f.size.Pools {
		fmt.Fprintf(&s, "pool %s # measurer\n", poolName(n))
	}
	for n := range f.size.Teams {
		limit := teamLimit
		if n == variant%f.size.Teams {
			limit += 1 + variant%2
		}
		fmt.Fprintf(&s, "team team-%03d customer customer-%02d share %d limit %d # measurer\n", n, n%20, 1+n%7, limit)
		fmt.Fprintf(&s, "queue queue-%03d team team-%03d open service service-%03d pool %s bound 200 # measurer\n", n, n, n, poolName(n%f.size.Pools))
	}
	fmt.Fprintf(&s, "budget pool * max-absent 1 # measurer\n")
	return []byte(s.String())
}

// applyRules applies a variant of the rules through one of the entries.
func (f *fleet) applyRules(ctx context.Context, variant int) error {
	e := f.entries[variant%len(f.entries)]
	applied, err := e.ApplyRules(ctx, f.rules, f.rulesText(variant), "measurer")
	if err != nil {
		return errors.Trace(err)
	}
	f.rules = applied.Number
	return nil
}

// submit submits job n, whose task sleeps for the given time, and does not wait
// for its end. The job number selects the team and the entry. A job without an
// idempotency key is marked as idempotent instead.
func (f *fleet) submit(ctx context.Context, n int, idempotencyKey string, sleep time.Duration) error {
	body := strings.NewReader(fmt.Sprintf(`{"sleep-ms":%d}`, sleep.Milliseconds()))
	r := httptest.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("/v1/queues/queue-%03d/jobs", n%f.size.Teams), body)
	r.Header.Set("Prefer", "respond-async")
	r.Header.Set(admitter.DeadlineHeader, (2 * time.Minute).String())
	if idempotencyKey == "" {
		r.Header.Set(admitter.IdempotentHeader, "true")
	} else {
		r.Header.Set(admitter.IdempotencyKeyHeader, idempotencyKey)
	}
	response := httptest.NewRecorder()
	f.entries[n%len(f.entries)].Callers().ServeHTTP(response, r)
	if response.Code >= http.StatusBadRequest {
		return errors.Errorf("submitting job %d failed: %s", n, response.Body)
	}
	return nil
}
