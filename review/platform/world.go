package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"time"

	"github.com/coltsfootlever/coltsfootlever/emulator"
	"github.com/coltsfootlever/coltsfootlever/keeper"
	"github.com/coltsfootlever/coltsfootlever/modeler"
	"github.com/coltsfootlever/coltsfootlever/platform"
)

const (
	entryCount  = 3
	mainPool    = "matcher"
	sparePool   = "backoffice"
	routeHost   = "puxa.example"
	routePrefix = "/jobs/"
	openPrefix  = "/open/"
	tenantKey   = "key-of-ana"
	lastsLong   = time.Hour // work of a subtask that lasts
	defaultWork = 200 * time.Millisecond
)

type (
	// world is the platform, its machines and the entries.
	world struct {
		rec     *record
		dir     string // temporary folder
		store   *emulator.MetaStore
		servers []*http.Server
		proxies []*proxy // in front of the store, one for each entry
		entries []*entry

		mu         sync.Mutex
		closed     bool
		machines   []*machine
		registered map[string]*worker // entries under servers/, by id
		lives      int
		lists      int // calls that listed the machines
		waves      map[int64][]string

		storeMu sync.Mutex
		silent  bool // the store answers nothing

		obsMu sync.Mutex
		work  map[string]time.Duration // of the subtasks whose name begins so
		runs  []*observedRun
		stops []observedStop
	}

	// observedRun is what a worker has seen of a run.
	observedRun struct {
		task    string
		run     int
		worker  *worker
		began   time.Time
		ended   time.Time // zero while it is at work
		how     string
		number  int64
		seen    bool // taken note of by last_seen
		seenAt  time.Time
		lastAck int64
	}

	// observedStop is a stop of a run that was there.
	observedStop struct {
		task   string
		at     time.Time
		atWork bool
	}

	// registrations lists the workers for the store's handler. It implements
	// platform.EmulatedWorkers as far as that handler uses it.
	registrations struct {
		platform.EmulatedWorkers
		w *world
	}
)

// newWorld starts a platform without machines.
func newWorld(rec *record) (*world, error) {
	dir, err := os.MkdirTemp("", "standin")
	if err != nil {
		return nil, err
	}
	w := &world{
		rec: rec, dir: dir, store: emulator.NewMetaStore(), registered: make(map[string]*worker), waves: make(map[int64][]string),
		work: make(map[string]time.Duration),
	}
	return w, nil
}

// open starts the servers of the platform and the entries, and waits until an entry
// accepts a job.
func (w *world) open(ctx context.Context, m *modeler.Manifest) error {
	if err := w.writeManifest(m); err != nil {
		return err
	}
	storeHandler := platform.NewStoreHandler(w.store.ClientFor("entries"), registrations{w: w})
	storeAddress, err := w.serve(w.withStoreFaults(storeHandler))
	if err != nil {
		return err
	}
	cloudAddress, err := w.serve(http.HandlerFunc(w.serveMachines))
	if err != nil {
		return err
	}
	for i := range entryCount {
		p, err := newProxy(storeAddress)
		if err != nil {
			return err
		}
		w.proxies = append(w.proxies, p)
		e, err := w.startEntry(i, p.listener.Addr().String(), cloudAddress)
		if err != nil {
			return err
		}
		w.entries = append(w.entries, e)
	}
	return w.awaitReady(ctx)
}

// writeManifest writes a manifest as the operator.
func (w *world) writeManifest(m *modeler.Manifest) error {
	raw, err := platform.EncodeManifest(m)
	if err == nil {
		w.store.PutAsOperator(keeper.Put{Key: platform.ManifestKey, Value: raw})
		w.rec.note("the operator's manifest %d is acknowledged", m.Version)
	}
	return err
}

// awaitReady waits until each entry is ready and a job has been done.
func (w *world) awaitReady(ctx context.Context) error {
	for _, e := range w.entries {
		ready := func() bool {
			res, err := http.Get("http://" + e.ready + platform.PathReadiness)
			if err != nil {
				return false
			}
			_ = res.Body.Close()
			return res.StatusCode == http.StatusOK
		}
		if !await(ctx, 20*time.Second, ready) {
			return fmt.Errorf("%s is not ready", e.name)
		}
	}
	const first = "00000000000000f0"
	if err := w.submit(ctx, first, step(1, 100)); err != nil {
		return err
	}
	if !await(ctx, 20*time.Second, func() bool { return w.jobState(ctx, first) == string(modeler.Completed) }) {
		return fmt.Errorf("the first job is not completed, state %q", w.jobState(ctx, first))
	}
	return nil
}

// smallManifest returns a manifest with one tenant, a route that needs its key and one
// that doesn't. Without spare machines no machine moves.
func smallManifest(spare bool) *modeler.Manifest {
	m := &modeler.Manifest{
		Version: 4, MaxBody: 262144, Pools: []modeler.Pool{{Name: mainPool, HealthPath: "/health"}},
		Customers: []modeler.Customer{{Name: "ana", Keys: []string{tenantKey}, Weight: 1}},
	}
	for name, prefix := range map[string]string{"venue-match": routePrefix, "lead-archive": openPrefix} {
		m.Queues = append(m.Queues, modeler.Queue{
			Name: name, Host: routeHost, Prefix: prefix, Pool: mainPool, Public: prefix == openPrefix, MaxFailedRuns: 4, ObjectiveFactor: 1.6, ObjectiveOffset: 600 * time.Millisecond,
		})
	}
	if spare {
		m.Pools = append(m.Pools, modeler.Pool{Name: sparePool, Spare: true, HealthPath: "/health"})
	}
	return m
}

// serve starts an HTTP server on a free port.
func (w *world) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: readTimeout}
	w.servers = append(w.servers, s)
	go func() { _ = s.Serve(l) }() // returns when the server is closed
	return l.Addr().String(), nil
}

// Workers implements platform.EmulatedWorkers.
func (r registrations) Workers(context.Context) ([]modeler.Worker, error) {
	r.w.mu.Lock()
	defer r.w.mu.Unlock()
	var all []modeler.Worker
	for _, v := range r.w.registered {
		all = append(all, v.Worker)
	}
	return all, nil
}

// requestWave writes op/wave/N as the operator.
func (w *world) requestWave(number int64, machines ...string) error {
	key, raw, err := platform.EncodeWave(modeler.Wave{Number: number, Instances: machines, Duration: 25 * time.Second, MaxConcurrent: 2})
	if err != nil {
		return err
	}
	w.mu.Lock()
	w.waves[number] = machines
	w.mu.Unlock()
	w.rec.note("the operator writes %s: %s", key, raw)
	w.store.PutAsOperator(keeper.Put{Key: key, Value: raw})
	return nil
}

// waveState returns the state under status/wave/N.
func (w *world) waveState(ctx context.Context, number int64) string {
	r, err := w.store.ClientFor("operator").Get(ctx, fmt.Sprintf("status/wave/%d", number))
	var status struct {
		State string `json:"state"`
	}
	if err != nil || json.Unmarshal(r.Value, &status) != nil {
		return ""
	}
	return status.State
}

// close ends all that the case has started.
func (w *world) close() {
	var stopping sync.WaitGroup
	for _, e := range w.entries {
		stopping.Go(e.stop)
	}
	stopping.Wait()
	w.mu.Lock()
	w.closed = true
	workers := w.registered
	w.registered = nil
	w.mu.Unlock()
	for _, v := range workers {
		_ = v.server.Close() // may have been closed
	}
	for _, p := range w.proxies {
		p.close()
	}
	for _, s := range w.servers {
		_ = s.Close() // nobody calls it any more
	}
	_ = os.RemoveAll(w.dir) // a temporary folder
}

// await waits until done returns true. It returns false if that takes too long.
func await(ctx context.Context, limit time.Duration, done func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end) && ctx.Err() == nil; time.Sleep(5 * time.Millisecond) {
		if done() {
			return true
		}
	}
	return false
}
