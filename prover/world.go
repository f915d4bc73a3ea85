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

// Sizes and times of the emulated fleet.
const (
	workersPerPool  = 3
	slotsPerWorker  = 4
	workersPerRack  = 3
	listLag         = 2 * time.Second
	rebootDuration  = 5 * time.Second
	taskLease       = 6 * time.Second
	clockMargin     = time.Second
	observeInterval = 500 * time.Millisecond
	restartDelay    = 2 * time.Second  // from the unplanned end of a process until its restart
	repairDelay     = 10 * time.Second // from the crash of a worker in a task until its repair
)

var (
	zones = []string{"za", "zb", "zc"}
	pools = []string{"scoring", "cards", "spare"}
)

type (
	// Options replace the clients and settings of the entries, so that a test can
	// disable a safety mechanism and verify that the checker reports the broken
	// invariant.
	Options struct {
		Store    func(server.Store) server.Store
		Peers    func(server.Peers) server.Peers
		Workers  func(server.Workers) server.Workers
		Settings func(*server.Settings)
		Log      *slog.Logger
	}

	// World is a simulated fleet of workers with its entries and callers.
	World struct {
		opts            Options
		store           *emulator.Store
		platform        *emulator.Platform
		fleet           *emulator.Fleet
		net             *network
		audit           *auditor
		workers         map[string]*emulator.Worker
		listings        map[string]lister.Listing // first listing by worker ID
		workerByAddress map[string]string         // worker ID by address
		rules           *rulesFile
		events          eventCounter
		trace           *trace
		evacuated       *evacuatedZones

		mu           sync.Mutex
		nodes        map[string]*Node // latest process by instance ID
		allNodes     []*Node
		launches     int             // number of entry processes started
		withoutPower map[string]bool // by instance ID
		boots        map[string]int  // number of boots by ID, of instances that left and returned
		breaches     []Breach

		background sync.WaitGroup
		ctx        context.Context // of the calls that the world itself makes
		cancel     context.CancelFunc
		observing  sync.WaitGroup
		processes  sync.WaitGroup // entry processes
	}

	// Breach is one broken invariant.
	Breach struct {
		Invariant checker.Invariant
		Detail    string
		After     time.Duration // since the start of the run; about 0 if Invariant is Internal
		Trace     string        // earlier events of the subjects that Detail names
	}
)

// String implements fmt.Stringer.
func (b Breach) String() string {
	return fmt.Sprintf("%8s %s: %s", b.After.Round(time.Millisecond), b.Invariant, b.Detail)
}

// NewWorld returns a fleet of idle workers without entries.
func NewWorld(opts Options) *World {
	w := &World{
		opts:            opts,
		store:           emulator.NewStore(),
		fleet:           &emulator.Fleet{},
		net:             newNetwork(),
		workers:         make(map[string]*emulator.Worker),
		workerByAddress: make(map[string]string),
		listings:        make(map[string]lister.Listing),
		withoutPower:    make(map[string]bool),
		boots:           make(map[string]int),
		rules:           newRulesFile(),
		trace:           newTrace(),
		evacuated:       newEvacuatedZones(),
		nodes:           make(map[string]*Node),
	}
	if w.opts.Log == nil {
		w.opts.Log = slog.New(slog.DiscardHandler)
	}
	start := time.Now()
	w.audit = &auditor{store: w.store, trace: w.trace}
	w.audit.Checker = checker.New(func(i checker.Invariant, detail string) { w.recordBreach(i, detail, start) })
	w.platform = emulator.NewPlatform(listLag, rebootDuration, w.handlePowerChange)
	n := 0
	for _, pool := range pools {
		for range workersPerPool {
			w.addWorker(n, pool)
			n++
		}
	}
	w.ctx, w.cancel = context.WithCancel(context.Background())
	w.observing.Go(w.observeUntilEnd)
	return w
}

func (w *World) recordBreach(i checker.Invariant, detail string, start time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.breaches = append(w.breaches, Breach{Invariant: i, Detail: detail, After: time.Since(start), Trace: w.trace.linesOfSubjectsIn(detail)})
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
	w.workers[id] = emulator.NewWorker(id, slotsPerWorker, w.handleExecution)
	w.listings[id] = l
	w.workerByAddress[l.Address] = id
	w.fleet.Add(l.Address, w.workers[id])
	w.platform.Add(l)
}

func workerID(n int) string {
	return fmt.Sprintf("w%02d", n)
}

func rackID(n int) string {
	return fmt.Sprintf("%s-%d", zones[n%len(zones)], n/len(zones)/workersPerRack)
}

// listingAfterReboot returns the first listing of an instance with its number of
// boots increased by one.
func (w *World) listingAfterReboot(id string) lister.Listing {
	l := w.listings[id]
	w.mu.Lock()
	defer w.mu.Unlock()
	w.boots[id]++
	l.Boots = w.boots[id]
	return l
}

// handlePowerChange handles a power change by the platform: a worker that loses
// power crashes and loses its tasks.
func (w *World) handlePowerChange(id string, up bool) {
	w.mu.Lock()
	w.withoutPower[id] = !up
	w.mu.Unlock()
	if worker := w.workers[id]; worker != nil {
		worker.InjectFaults(func(f *emulator.WorkerFaults) { f.Crashed, f.Leaving = !up, false })
	}
}

// handleExecution reports an execution to the checker. If the worker crashed in
// it, the worker is repaired after repairDelay.
func (w *World) handleExecution(x emulator.Execution) {
	w.audit.reportExecution(x)
	w.checkEvacuation(x)
	if !x.End.IsZero() && x.Outcome == "" {
		time.AfterFunc(repairDelay, func() { w.repairWorker(x.Worker) })
	}
}

// repairWorker ends the crash of a worker unless its instance is without power.
func (w *World) repairWorker(id string) {
	w.mu.Lock()
	withoutPower := w.withoutPower[id]
	w.mu.Unlock()
	if !withoutPower {
		w.workers[id].InjectFaults(func(f *emulator.WorkerFaults) { f.Crashed = false })
	}
}

// StartEntry starts a process of an entry instance. With newAddress it gets an
// address that no process had before, otherwise that of the instance's previous
// process.
func (w *World) StartEntry(number int, newAddress bool) {
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
	w.startProcess(n)
}

func entryName(number int) string {
	return fmt.Sprintf("entry-%d", number)
}

func (w *World) startProcess(n *Node) {
	cfg := server.DefaultSettings()
	cfg.Instance, cfg.Zone, cfg.PeersAddress, cfg.CallersAddress = n.Instance, n.Zone, n.Peers, n.Callers
	cfg.TaskLease, cfg.ClockMargin, cfg.ListLag = taskLease, clockMargin, listLag
	cfg.BalancerDelay = time.Second
	cfg.Log = w.opts.Log
	cfg.Assert = func(ok bool, format string, args ...any) {
		if !ok {
			w.recordBreach(Internal, fmt.Sprintf(n.Instance+": "+format, args...), time.Now())
		}
	}
	if w.opts.Settings != nil {
		w.opts.Settings(&cfg)
	}
	entry, err := server.New(cfg, w.clientsOf(n))
	if err != nil {
		panic(err)
	}
	n.entry = entry
	w.mu.Lock()
	w.nodes[n.Instance] = n
	w.allNodes = append(w.allNodes, n)
	w.mu.Unlock()
	w.audit.RecordEntryStart(n.Instance)
	w.net.register(n.Peers, n)
	w.platform.Add(lister.Listing{ID: n.Instance, Kind: lister.EntryKind, Address: n.Peers, Zone: n.Zone})
	ctx, stop := context.WithCancel(context.Background())
	n.stop = stop
	w.processes.Go(func() { n.run(ctx, func(err error) { w.restartExitedProcess(n, err) }) })
}

// restartExitedProcess restarts an entry that has ended by itself, as the
// service supervisor of a real instance does.
func (w *World) restartExitedProcess(n *Node, err error) {
	w.opts.Log.Warn("entry ended without a stop order; it will be restarted", "instance", n.Instance, "error", err)
	w.events.add("exits", 1)
	w.audit.RecordEntryCrash(n.Instance, time.Now())
	wait(w.ctx, restartDelay)
	if w.ctx.Err() == nil {
		w.restartEntry(n.number, false)
	}
}

// clientsOf returns the node's clients for the store, the instance list, the
// workers and its peers.
func (w *World) clientsOf(n *Node) server.Platform {
	p := server.Platform{
		Store:     storeClient{gate: n.gate, client: w.store.ClientFor(n.Instance), audit: w.audit},
		Instances: listClient{gate: n.gate, node: n, list: w.platform},
		Workers:   workerClient{gate: n.gate, fleet: w.fleet, audit: w.audit, workerByAddress: w.workerByAddress},
		Peers:     peerClient{net: w.net, gate: n.gate, self: n.Instance, trace: w.trace},
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

// runningNode returns the latest process of an instance, nil if there is none or
// it does not run.
func (w *World) runningNode(number int) *Node {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := w.nodes[entryName(number)]
	if n == nil || !n.isAlive() {
		return nil
	}
	return n
}

// runningNodes returns all running entry processes.
func (w *World) runningNodes() []*Node {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []*Node
	for _, n := range w.allNodes {
		if n.isAlive() {
			list = append(list, n)
		}
	}
	return list
}

// observeUntilEnd regularly reports to the checker what can be observed from
// outside the entries, until the run ends.
func (w *World) observeUntilEnd() {
	ticker := time.NewTicker(observeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-w.ctx.Done():
			return
		case <-ticker.C:
			w.reportObservations()
		}
	}
}

// reportObservations reports the store changes, the listed instances and the
// rules of each entry to the checker, and lets it check the time limits.
func (w *World) reportObservations() {
	w.audit.reportStoreChanges()
	now := time.Now()
	if list, err := w.platform.List(w.ctx); err == nil {
		var live []string
		for _, l := range list {
			if l.State == lister.Live {
				live = append(live, l.ID)
			}
		}
		w.audit.RecordListedInstances(live, now)
	}
	for _, n := range w.runningNodes() {
		status := n.entry.Status()
		if status.Entry != "" {
			w.audit.CheckAppliedRules(status.Entry, status.Rules, "", now)
		}
	}
	w.audit.CheckTimeLimits(now)
}

// Close waits for the callers and the scheduled steps, kills all entry processes
// and waits until they have ended.
func (w *World) Close() {
	w.background.Wait()
	w.cancel()
	w.observing.Wait()
	for _, n := range w.runningNodes() {
		n.kill()
	}
	w.processes.Wait()
}

// Internal is the invariant broken when an assertion inside an entry fails.
const Internal checker.Invariant = "internal"
