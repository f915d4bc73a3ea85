package prover

import (
	"context"
	"fmt"
	"log/slog"
	"sync"
	"time"

	"github.com/coltsfootlever/coltsfootlever/checker"
	"github.com/coltsfootlever/coltsfootlever/emulator"
	"github.com/coltsfootlever/coltsfootlever/lister"
	"github.com/coltsfootlever/coltsfootlever/server"
)

// Sizes and times of the fleet.
const (
	workersPerPool = 3
	slotsPerWorker = 4
	workersPerRack = 3
	listLag        = 2 * time.Second
	rebootTime     = 5 * time.Second
	taskLease      = 6 * time.Second
	clockMargin    = time.Second
	lookEvery      = 500 * time.Millisecond
	restartTime    = 2 * time.Second  // until a process that ended is started anew
	repairTime     = 10 * time.Second // until a worker that a task brought down is back
)

var (
	zones = []string{"za", "zb", "zc"}
	pools = []string{"scoring", "cards", "spare"}
)

type (
	// Options switch mechanisms off, to see that the checker finds it.
	Options struct {
		Store    func(server.Store) server.Store
		Peers    func(server.Peers) server.Peers
		Workers  func(server.Workers) server.Workers
		Settings func(*server.Settings)
		Log      *slog.Logger
	}

	// World is a fleet with its entries and callers.
	World struct {
		opts     Options
		store    *emulator.Store
		platform *emulator.Platform
		fleet    *emulator.Fleet
		net      *network
		audit    *auditor
		workers  map[string]*emulator.Worker
		listings map[string]lister.Listing // of the workers at first
		names    map[string]string         // worker by address
		rules    *rulebook
		tally    tally
		trace    *trace

		mu       sync.Mutex
		nodes    map[string]*Node // latest process by instance
		all      []*Node
		launches int
		dark     map[string]bool // instances without power
		boots    map[string]int  // of instances that left and came back
		breaches []Breach

		callers sync.WaitGroup
		under   context.Context // of whatever the world itself runs
		end     context.CancelFunc
		looking sync.WaitGroup
		running sync.WaitGroup // processes
	}

	// Breach is one broken invariant.
	Breach struct {
		Invariant checker.Invariant
		Detail    string
		After     time.Duration // since the start of the run
		Trace     string        // what happened to its subjects before
	}
)

// String implements fmt.Stringer.
func (b Breach) String() string {
	return fmt.Sprintf("%8s %s: %s", b.After.Round(time.Millisecond), b.Invariant, b.Detail)
}

// NewWorld returns a fleet of idle workers without entries.
func NewWorld(opts Options) *World {
	w := &World{
		opts:     opts,
		store:    emulator.NewStore(),
		fleet:    &emulator.Fleet{},
		net:      newNetwork(),
		workers:  make(map[string]*emulator.Worker),
		names:    make(map[string]string),
		listings: make(map[string]lister.Listing),
		dark:     make(map[string]bool),
		boots:    make(map[string]int),
		rules:    newRulebook(),
		trace:    newTrace(),
		nodes:    make(map[string]*Node),
	}
	if w.opts.Log == nil {
		w.opts.Log = slog.New(slog.DiscardHandler)
	}
	start := time.Now()
	w.audit = &auditor{store: w.store, trace: w.trace}
	w.audit.Checker = checker.New(func(i checker.Invariant, detail string) { w.breach(i, detail, start) })
	w.platform = emulator.NewPlatform(listLag, rebootTime, w.power)
	n := 0
	for _, pool := range pools {
		for range workersPerPool {
			w.addWorker(n, pool)
			n++
		}
	}
	w.under, w.end = context.WithCancel(context.Background())
	w.looking.Go(w.look)
	return w
}

func (w *World) breach(i checker.Invariant, detail string, start time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.breaches = append(w.breaches, Breach{Invariant: i, Detail: detail, After: time.Since(start), Trace: w.trace.of(detail)})
}

// Breaches returns the broken invariants so far.
func (w *World) Breaches() []Breach {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]Breach(nil), w.breaches...)
}

func (w *World) addWorker(n int, pool string) {
	id := workerID(n)
	l := lister.Listing{
		ID: id, Kind: lister.WorkerKind, Address: fmt.Sprintf("10.1.0.%d:80", n+1), Zone: zones[n%len(zones)],
		Rack: rackID(n), Slots: slotsPerWorker, Pool: pool,
	}
	w.workers[id] = emulator.NewWorker(id, slotsPerWorker, w.observe)
	w.listings[id] = l
	w.names[l.Address] = id
	w.fleet.Add(l.Address, w.workers[id])
	w.platform.Add(l)
}

func workerID(n int) string {
	return fmt.Sprintf("w%02d", n)
}

func rackID(n int) string {
	return fmt.Sprintf("%s-%d", zones[n%len(zones)], n/len(zones)/workersPerRack)
}

// listing returns how an instance was first listed, with its reboots since.
func (w *World) listing(id string) lister.Listing {
	l := w.listings[id]
	w.mu.Lock()
	defer w.mu.Unlock()
	w.boots[id]++
	l.Boots = w.boots[id]
	return l
}

// power follows the platform: an instance without power forgets its tasks.
func (w *World) power(id string, up bool) {
	w.mu.Lock()
	w.dark[id] = !up
	w.mu.Unlock()
	if worker := w.workers[id]; worker != nil {
		worker.InjectFaults(func(f *emulator.WorkerFaults) { f.Crashed, f.Leaving = !up, false })
	}
}

// observe tells the checker what a worker saw, and has a worker repaired that a
// task brought down.
func (w *World) observe(x emulator.Execution) {
	w.audit.observe(x)
	if !x.End.IsZero() && x.Outcome == "" {
		time.AfterFunc(repairTime, func() { w.repair(x.Worker) })
	}
}

func (w *World) repair(id string) {
	w.mu.Lock()
	dark := w.dark[id]
	w.mu.Unlock()
	if !dark {
		w.workers[id].InjectFaults(func(f *emulator.WorkerFaults) { f.Crashed = false })
	}
}

// Launch starts a process of an entry instance. A new address is one that no
// process had before.
func (w *World) Launch(number int, newAddress bool) {
	instance := entryName(number)
	w.mu.Lock()
	old := w.nodes[instance]
	w.launches++
	host := w.launches + 1
	w.mu.Unlock()
	n := &Node{
		number:   number,
		Instance: instance,
		Zone:     zones[number%len(zones)],
		Peers:    fmt.Sprintf("10.0.0.%d:7100", host),
		Callers:  fmt.Sprintf("10.0.0.%d:7000", host),
		gate:     newGate(),
		ended:    make(chan struct{}),
	}
	if old != nil && !newAddress {
		n.Peers, n.Callers = old.Peers, old.Callers
	}
	w.start(n)
}

func entryName(number int) string {
	return fmt.Sprintf("entry-%d", number)
}

func (w *World) start(n *Node) {
	cfg := server.DefaultSettings()
	cfg.Instance, cfg.Zone, cfg.PeersAddress, cfg.CallersAddress = n.Instance, n.Zone, n.Peers, n.Callers
	cfg.TaskLease, cfg.ClockMargin, cfg.ListLag = taskLease, clockMargin, listLag
	cfg.BalancerDelay = time.Second
	cfg.Log = w.opts.Log
	cfg.Assert = func(ok bool, format string, args ...any) {
		if !ok {
			w.breach(Internal, fmt.Sprintf(n.Instance+": "+format, args...), time.Now())
		}
	}
	if w.opts.Settings != nil {
		w.opts.Settings(&cfg)
	}
	entry, err := server.New(cfg, w.platformOf(n))
	if err != nil {
		panic(err)
	}
	n.entry = entry
	w.mu.Lock()
	w.nodes[n.Instance] = n
	w.all = append(w.all, n)
	w.mu.Unlock()
	w.audit.Launched(n.Instance)
	w.net.place(n.Peers, n)
	w.platform.Add(lister.Listing{ID: n.Instance, Kind: lister.EntryKind, Address: n.Peers, Zone: n.Zone})
	ctx, stop := context.WithCancel(context.Background())
	n.stop = stop
	w.running.Go(func() { n.run(ctx, func(err error) { w.exited(n, err) }) })
}

// exited starts an entry anew that has ended by itself, as its supervisor does.
func (w *World) exited(n *Node, err error) {
	w.opts.Log.Warn("entry ended by itself", "instance", n.Instance, "error", err)
	w.tally.add("exits", 1)
	w.audit.Crashed(n.Instance, time.Now())
	wait(w.under, restartTime)
	if w.under.Err() == nil {
		w.revive(n.number, false)
	}
}

// platformOf returns what the node talks to.
func (w *World) platformOf(n *Node) server.Platform {
	p := server.Platform{
		Store:     storePort{gate: n.gate, port: w.store.ClientFor(n.Instance), audit: w.audit},
		Instances: listPort{gate: n.gate, node: n, list: w.platform},
		Workers:   workerPort{gate: n.gate, fleet: w.fleet, audit: w.audit, names: w.names},
		Peers:     peerPort{net: w.net, gate: n.gate, self: n.Instance, trace: w.trace},
	}
	if w.opts.Store != nil {
		p.Store = w.opts.Store(p.Store)
	}
	if w.opts.Peers != nil {
		p.Peers = w.opts.Peers(p.Peers)
	}
	if w.opts.Workers != nil {
		p.Workers = w.opts.Workers(p.Workers)
	}
	return p
}

// node returns the latest process of an instance, nil when there is none or it
// is dead.
func (w *World) node(number int) *Node {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := w.nodes[entryName(number)]
	if n == nil || !n.alive() {
		return nil
	}
	return n
}

// living returns the processes that run.
func (w *World) living() []*Node {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []*Node
	for _, n := range w.all {
		if n.alive() {
			list = append(list, n)
		}
	}
	return list
}

// look tells the checker what can be seen from outside, until the end.
func (w *World) look() {
	ticker := time.NewTicker(lookEvery)
	defer ticker.Stop()
	for {
		select {
		case <-w.under.Done():
			return
		case <-ticker.C:
			w.lookOnce()
		}
	}
}

func (w *World) lookOnce() {
	w.audit.catchUp()
	now := time.Now()
	if list, err := w.platform.List(w.under); err == nil {
		var live []string
		for _, l := range list {
			if l.State == lister.Live {
				live = append(live, l.ID)
			}
		}
		w.audit.Listed(live, now)
	}
	for _, n := range w.living() {
		status := n.entry.Status()
		if status.Entry != "" {
			w.audit.RulesInForce(status.Entry, status.Rules, "", now)
		}
	}
	w.audit.Tick(now)
}

// Close ends all processes and waits until nothing runs.
func (w *World) Close() {
	w.callers.Wait()
	w.end()
	w.looking.Wait()
	for _, n := range w.living() {
		n.kill()
	}
	w.running.Wait()
}

// Internal is the invariant that stands for the assertions inside an entry.
const Internal checker.Invariant = "internal"
