package launcher

import (
	"bytes"
	"context"
	"log/slog"
	"net/http"
	"os"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/acceptor"
	"github.com/coltsfootlever/coltsfootlever/connector"
	"github.com/coltsfootlever/coltsfootlever/elector"
	"github.com/coltsfootlever/coltsfootlever/limiter"
	"github.com/coltsfootlever/coltsfootlever/meter"
	"github.com/coltsfootlever/coltsfootlever/orchestrator"
	"github.com/coltsfootlever/coltsfootlever/platform"
	"github.com/coltsfootlever/coltsfootlever/requester"
	"github.com/coltsfootlever/coltsfootlever/supervisor"
	"github.com/coltsfootlever/coltsfootlever/throttler"
	"github.com/coltsfootlever/coltsfootlever/timekeeper"
)

const (
	heapMemoryShare      = 0.75                    // share of the instance's memory that the Go heap may use
	jobMemoryShare       = 0.4                     // share of the instance's memory that the leader's unfinished jobs may take up
	gcPercent            = 50                      // garbage collection starts when the heap has grown by half; memory is scarcer than processor time here
	settingsPollInterval = time.Second             // the settings file may change without a signal
	runLease             = 6 * time.Second         // lease of a task's run; twice the time of a change of leader including the new leader's first status queries
	startTravelTime      = 200 * time.Millisecond  // from the decision to send a start to its execution
	workerListInterval   = 700 * time.Millisecond  // less than half of the workers' heartbeat interval
	storeIdleConns       = 8                       // for watches and some concurrent calls
	workerIdleConns      = 3                       // per worker, for status queries and orders
	instanceIdleConns    = 4                       // for the instance list and orders to instances
	adviceIdleConns      = 8                       // as many calls may be under way
	balancerDrainDelay   = 2500 * time.Millisecond // the load balancer stops sending callers after two failed readiness checks a second apart; the rest covers their delay
	shutdownTimeout      = time.Second             // for open calls to finish after the drain delay
	slowLinkMbps         = 50.0                    // Mbit/s; below it a page of a list, which is up to 1 MB, takes over 160 ms
	minWatchInterval     = 15 * time.Millisecond   // lets one response carry several events; delays a job by at most this time
)

type (
	// Launcher runs one entry node.
	Launcher struct {
		settingsPath string
		log          *slog.Logger
		settings     atomic.Pointer[platform.Settings]
		fleet        *fleetState
		stopping     atomic.Bool
		reload       chan struct{}
		clock        *timekeeper.Clock
		relays       bool
	}

	// Option configures a Launcher.
	Option func(*Launcher)
)

// WithLog sets the logger.
func WithLog(log *slog.Logger) Option {
	return func(l *Launcher) { l.log = log }
}

// New returns the entry node that the settings file at path describes.
func New(path string, opts ...Option) (*Launcher, error) {
	l := &Launcher{settingsPath: path, log: slog.New(slog.DiscardHandler), reload: make(chan struct{}, 1), relays: true, clock: timekeeper.New(time.Now, func() time.Duration { return time.Since(processStart) }, elector.BootClock)}
	for _, opt := range opts {
		opt(l)
	}
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Annotate(err, "settings file")
	}
	s, err := platform.ParseSettings(raw)
	if err != nil {
		return nil, err
	}
	l.settings.Store(&s)
	l.fleet = &fleetState{log: l.log, evacuationTime: s.Bounds.EvacuationTime, now: elector.BootClock}
	return l, nil
}

// Reload makes Run read the settings file again.
func (l *Launcher) Reload() {
	select {
	case l.reload <- struct{}{}:
	default:
	}
}

// Run runs the entry node until ctx ends. It then reports not ready, serves
// callers until the load balancer has noticed, and lets open calls finish.
func (l *Launcher) Run(ctx context.Context) error {
	s := l.settings.Load()
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(int64(heapMemoryShare * float64(s.MemoryMB) * (1 << 20)))
	l.fleet.store.transport = platform.NewTransport(storeIdleConns)
	store := platform.NewStore(func() string { return l.settings.Load().StoreAddress }, requester.NewClient(&l.fleet.store))

	if s.Bounds.EvacuationTime > 0 {
		meter.ExportOperatorRecordAge(l.fleet.operatorRecordAge)
	}
	services := supervisor.NewGroup(l.log)
	metrics, err := l.newMetricsService(ctx, s)
	if err != nil {
		return err
	}
	callers, err := l.newCallerService(ctx, s, store)
	if err != nil {
		return err
	}
	readiness, err := l.newReadinessService(ctx, s)
	if err != nil {
		return err
	}
	for _, service := range []struct {
		name string
		run  func(ctx context.Context) error
	}{
		{"metrics", metrics},
		{"readiness", readiness},
		{"settings", l.watchSettings},
		{"manifest", l.fleet.followOperatorRecords(store)},
		{"load", l.fleet.watchPublishedLoad(store)},
		{"probe", l.fleet.probeStore(store)},
		{"callers", callers},
		{"relay", l.newRelayService(ctx, s, store)},
		{"leadership", l.newElector(s, store).Run},
	} {
		if err := services.Register(service.name, supervisor.Func(service.run)); err != nil {
			return errors.Trace(err)
		}
	}
	l.log.Info("entry node starting", "instance", s.Instance, "zone", s.Zone, "processor-share", s.ProcessorShare, "callers", s.CallersAddress, "store", s.StoreAddress)
	context.AfterFunc(ctx, func() {
		l.stopping.Store(true)
		l.log.Info("entry node stopping, open calls may finish", "instance", s.Instance)
	})
	err = services.Run(ctx)
	l.log.Info("entry node stopped", "instance", s.Instance)
	return err
}

// newElector returns the service that runs for leadership and leads the fleet
// while this entry node is the leader.
func (l *Launcher) newElector(s *platform.Settings, store *platform.Store) *elector.Elector {
	throttle := throttler.New(throttler.WithLink(s.LinkMbps))
	workers := platform.NewWorkerClient(requester.NewClient(platform.NewTransport(workerIdleConns, connector.WithConnectTimeout(throttle.TimeLimit))), throttle)
	directory := platform.NewWorkerDirectory(store, l.log)
	instances := platform.NewInstanceClient(func() string { return l.settings.Load().InstancesAddress }, s.Instance, requester.NewClient(platform.NewTransport(instanceIdleConns)))
	opts := []orchestrator.Option{orchestrator.WithInstances(instances), orchestrator.WithThrottle(throttle)}
	if s.AdviceAddress != "" {
		opts = append(opts, orchestrator.WithAdvisor(platform.NewAdviceClient(
			func() string { return l.settings.Load().AdviceAddress }, requester.NewClient(platform.NewTransport(adviceIdleConns)))))
	}
	cfg := orchestrator.Config{
		RunLease: min(runLease, s.Bounds.MaxLease), MaxWorkerLease: s.Bounds.MaxLease, EarlyStart: 0,
		SlowLink: s.LinkMbps > 0 && s.LinkMbps < slowLinkMbps, WorkerListInterval: workerListInterval, MaxWorkerListAge: max(0, s.Bounds.ContactTime-startTravelTime), OutcomeQueryTime: s.Bounds.StateRetention, MoveTime: s.Bounds.MoveTime, RemoteFactor: s.Bounds.RemoteDataFactor,
		ProcessorShare: s.ProcessorShare, ThreadTime: timekeeper.ThreadTime, StoreWritesPerSecond: s.StoreWritesPerSecond, MaxRecordBytes: s.StoreMaxValueBytes, MaxJobBytes: int64(jobMemoryShare * float64(s.MemoryMB) * (1 << 20)), InstanceOrdersPerSecond: s.InstanceOrdersPerSecond, Manifest: l.fleet.Manifest, WallClock: l.clock.Now, RequestedWaves: l.fleet.Waves, WaveStatus: platform.NewWaveStatus,
	}
	if s.Bounds.EvacuationTime > 0 {
		cfg.EvacuationTime, cfg.Evacuations = s.Bounds.EvacuationTime, l.fleet.Evacuations
	}
	runTerm := func(ctx context.Context, term *elector.Term) {
		engineStore := store.WithOptions(platform.WithMinWatchInterval(minWatchInterval), platform.WithWatchedValues(orchestrator.IsJobInput), platform.WithOnPage(term.ReportProgress))
		newEngine := func(workers orchestrator.Workers, directory orchestrator.Directory) *orchestrator.Engine {
			return orchestrator.New(cfg, engineStore, workers, directory, term, append(opts, orchestrator.WithLog(l.log))...)
		}
		if !l.relays {
			newEngine(workers, directory).Run(ctx)
			return
		}
		l.leadWithRelays(ctx, s, store, term, throttle, cfg.MaxWorkerListAge, workers, directory, newEngine)
	}
	delays := newDelayCalculator(s, store, l.log)
	return elector.New(store, s.Instance, runTerm, l.log, elector.WithClock(elector.BootClock), elector.WithDelay(delays.candidateDelay), elector.WithBetterSuited(delays.isBetter))
}

// newCallerService returns the HTTP service for callers.
func (l *Launcher) newCallerService(ctx context.Context, s *platform.Settings, store *platform.Store) (func(ctx context.Context) error, error) {
	listener, err := l.listenForCallers(ctx, s)
	if err != nil {
		return nil, err
	}
	budget := limiter.NewBudget(s.MemoryMB, limiter.WithBudgetLog(l.log))
	meter.ExportBodyBytes(budget.Held)
	server := newServer(listener, acceptor.New(store, l.fleet, acceptor.WithLog(l.log), acceptor.WithClock(l.clock.Now), acceptor.WithBudget(budget)))
	server.ErrorLog = slog.NewLogLogger(l.log.Handler(), slog.LevelDebug)
	return func(ctx context.Context) error {
		return serve(ctx, server, listener, balancerDrainDelay)
	}, nil
}

// newMetricsService returns the HTTP service for the metrics. Without a metrics
// address it does nothing until ctx ends.
func (l *Launcher) newMetricsService(ctx context.Context, s *platform.Settings) (func(ctx context.Context) error, error) {
	if s.MetricsAddress == "" {
		return func(ctx context.Context) error { <-ctx.Done(); return ctx.Err() }, nil
	}
	listener, err := l.listen(ctx, s, "metrics", s.MetricsAddress, otherSockets, metricsConns, limiter.WithBuffers(socketBuffer))
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.Handle("GET "+meter.Path, meter.Handler())
	server := newServer(listener, limiter.Bodiless(mux))
	return func(ctx context.Context) error {
		return serve(ctx, server, listener, 0)
	}, nil
}

// newReadinessService returns the HTTP service that tells the load balancer
// whether to send callers to this entry node.
func (l *Launcher) newReadinessService(ctx context.Context, s *platform.Settings) (func(ctx context.Context) error, error) {
	listener, err := l.listen(ctx, s, "readiness", s.ReadinessAddress, otherSockets, readinessConns, limiter.WithBuffers(socketBuffer))
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platform.PathReadiness, func(w http.ResponseWriter, _ *http.Request) {
		if l.stopping.Load() || !l.fleet.isReady() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	server := newServer(listener, limiter.Bodiless(mux))
	return func(ctx context.Context) error {
		return serve(ctx, server, listener, 0)
	}, nil
}

// watchSettings applies the settings file again when it has changed, until ctx
// ends. It checks the file at intervals and after Reload.
func (l *Launcher) watchSettings(ctx context.Context) error {
	last, _ := os.ReadFile(l.settingsPath) // a file that cannot be read now is read again at the next check
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-l.reload:
		case <-ticker.C:
		}
		raw, err := os.ReadFile(l.settingsPath)
		if err != nil {
			l.log.Warn("settings file cannot be read, the last settings stay in force", "error", err)
			continue
		}
		if bytes.Equal(raw, last) {
			continue
		}
		last = raw
		s, err := platform.ParseSettings(raw)
		if err != nil {
			l.log.Error("settings file is invalid, the last settings stay in force", "error", err)
			continue
		}
		l.settings.Store(&s)
		l.log.Info("settings file has changed and is reloaded", "store", s.StoreAddress, "fleet", s.InstancesAddress)
	}
}
