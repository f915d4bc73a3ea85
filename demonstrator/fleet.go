package demonstrator

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/dispatcher"
	"github.com/coltsfootlever/coltsfootlever/emulator"
	"github.com/coltsfootlever/coltsfootlever/keeper"
	"github.com/coltsfootlever/coltsfootlever/lister"
	"github.com/coltsfootlever/coltsfootlever/messenger"
	"github.com/coltsfootlever/coltsfootlever/server"
)

const (
	loopbackAddress = "127.0.0.1:0"
	listLag         = 2 * time.Second // how long the instance list takes to show a change
	rebootDuration  = 3 * time.Second
)

type (
	// emulatedPlatform is an emulation of the platform that serves its HTTP
	// interfaces on the loopback interface.
	emulatedPlatform struct {
		store     *emulator.Store
		instances *emulator.Platform
		workers   *emulator.Fleet
		storeURL  string
		listURL   string
		closers   []func() // stop the HTTP servers
	}

	// entry is one running entry.
	entry struct {
		*server.Entry
		instance string
		baseURL  string             // of the HTTP interface for callers
		kill     context.CancelFunc // stops the entry at once
		done     chan struct{}      // closed when the entry has stopped
	}
)

// newEmulatedPlatform starts the emulated key-value service, instance list and
// workers. The workers report the start and the end of each task to t.
func newEmulatedPlatform(t *tally) (*emulatedPlatform, error) {
	p := &emulatedPlatform{
		store:     emulator.NewStore(),
		instances: emulator.NewPlatform(listLag, rebootDuration, nil),
		workers:   &emulator.Fleet{},
	}
	var err error
	if p.storeURL, err = p.listenAndServe(p.store.Handler()); err != nil {
		return nil, errors.Annotate(err, "key-value stand-in")
	}
	if p.listURL, err = p.listenAndServe(p.instances.Handler()); err != nil {
		return nil, errors.Annotate(err, "instance list stand-in")
	}
	n := 0
	for _, pool := range append(pools, poolSpec{"spare", spareWorkers}) {
		for range pool.workers {
			if err := p.addWorker(n, pool.name, t); err != nil {
				return nil, errors.Annotate(err, "worker stand-in")
			}
			n++
		}
	}
	return p, nil
}

// addWorker starts worker n in the pool. Consecutive workers are in different
// availability zones, so that each pool is spread over all of them.
func (p *emulatedPlatform) addWorker(n int, pool string, t *tally) error {
	id := fmt.Sprintf("worker-%02d", n)
	worker := emulator.NewWorker(id, slotsPerWorker, func(e emulator.Execution) { t.recordExecution(pool, e) })
	l, err := net.Listen("tcp", loopbackAddress)
	if err != nil {
		return errors.Trace(err)
	}
	address := l.Addr().String()
	p.workers.Add(address, worker)
	p.serveListener(l, p.workers.Handler(address))
	p.instances.Add(lister.Listing{
		ID:      id,
		Kind:    lister.WorkerKind,
		Address: address,
		Zone:    zones[n%len(zones)],
		Rack:    fmt.Sprintf("rack-%s-%d", zones[n%len(zones)], n/(len(zones)*workersPerRack)),
		Slots:   slotsPerWorker,
		Pool:    pool,
	})
	return nil
}

// listenAndServe serves h on a free port and returns the URL.
func (p *emulatedPlatform) listenAndServe(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", loopbackAddress)
	if err != nil {
		return "", errors.Trace(err)
	}
	p.serveListener(l, h)
	return "http://" + l.Addr().String(), nil
}

// serveListener serves h on the listener in a goroutine until close is called.
func (p *emulatedPlatform) serveListener(l net.Listener, h http.Handler) {
	s := &http.Server{Handler: h, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = s.Serve(l) }()
	p.closers = append(p.closers, func() { _ = s.Close() })
}

func (p *emulatedPlatform) close() {
	for _, closer := range p.closers {
		closer()
	}
}

// startEntry starts entry n, which uses the HTTP interfaces of the emulated
// platform.
func (p *emulatedPlatform) startEntry(n int, log *slog.Logger) (*entry, error) {
	callers, err := net.Listen("tcp", loopbackAddress)
	if err != nil {
		return nil, errors.Trace(err)
	}
	peers, err := net.Listen("tcp", loopbackAddress)
	if err != nil {
		return nil, errors.Trace(err)
	}
	cfg := entrySettings(n, callers.Addr().String(), peers.Addr().String(), log)
	client := messenger.NewClient()
	e, err := server.New(cfg, server.Platform{
		Store:     keeper.NewClient(p.storeURL),
		Instances: lister.NewClient(p.listURL),
		Workers:   dispatcher.NewClient(),
		Peers:     client,
	})
	if err != nil {
		return nil, errors.Trace(err)
	}
	p.instances.Add(lister.Listing{ID: cfg.Instance, Kind: lister.EntryKind, Address: cfg.PeersAddress, Zone: cfg.Zone})
	ctx, kill := context.WithCancel(context.Background())
	started := &entry{Entry: e, instance: cfg.Instance, baseURL: "http://" + cfg.CallersAddress, kill: kill, done: make(chan struct{})}
	go started.run(ctx, callers, peers, client)
	return started, nil
}

// entrySettings returns the settings of entry n. Their times are shorter than the
// defaults, so that faults show their effect within a short demonstration.
func entrySettings(n int, callers, peers string, log *slog.Logger) server.Settings {
	cfg := server.DefaultSettings()
	cfg.Instance = fmt.Sprintf("entry-%d", n)
	cfg.Zone = zones[n%len(zones)]
	cfg.CallersAddress = callers
	cfg.PeersAddress = peers
	cfg.TaskLease = 4 * time.Second
	cfg.ClockMargin = time.Second
	cfg.Heartbeat = 500 * time.Millisecond
	cfg.ListLag = listLag
	cfg.BalancerDelay = 500 * time.Millisecond
	cfg.Log = log
	return cfg
}

// run runs the entry until it is killed. Then it closes all connections at once
// without waiting for calls under way, as happens when an instance is lost.
func (e *entry) run(ctx context.Context, callers, peers net.Listener, client *messenger.Client) {
	defer close(e.done)
	s := &http.Server{Handler: e.Callers(), ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = s.Serve(callers) }()
	peerCtx, stopPeers := context.WithCancel(context.Background())
	peersDone := make(chan struct{})
	go func() {
		defer close(peersDone)
		_ = messenger.NewServer(e.PeerHandler(), messenger.WithListener(peers), messenger.WithGracePeriod(time.Millisecond)).Run(peerCtx)
	}()
	go func() {
		<-ctx.Done()
		_ = s.Close()
		stopPeers()
	}()
	_ = e.Run(ctx)
	<-peersDone
	_ = client.Close()
}
