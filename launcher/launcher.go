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
	"github.com/coltsfootlever/coltsfootlever/elector"
	"github.com/coltsfootlever/coltsfootlever/meter"
	"github.com/coltsfootlever/coltsfootlever/orchestrator"
	"github.com/coltsfootlever/coltsfootlever/platform"
	"github.com/coltsfootlever/coltsfootlever/requester"
	"github.com/coltsfootlever/coltsfootlever/supervisor"
)

const (
	memoryPart     = 0.75                    // of the machine's memory that the heap may take
	collectPercent = 50                      // garbage collection at half again the live heap; memory is dearer than processor time here
	settingsPoll   = time.Second             // the settings file may change without a signal
	runLease       = 6 * time.Second         // twice the time of a change of leader with its first looks
	listRefresh    = 700 * time.Millisecond  // within half of the workers' heartbeat
	storeChannels  = 8                       // idle connections to the store: watches and some calls
	workerChannels = 3                       // idle connections to a worker: looks and orders
	fleetChannels  = 4                       // idle connections for lists and orders of instances
	balancerNotice = 2500 * time.Millisecond // two missed readiness checks a second apart, and their delay
	finishTimeout  = time.Second             // for calls under way after that
	headTimeout    = 3 * time.Second         // of the head of a callers' request
	idleTimeout    = 15 * time.Second        // of a callers' connection
	maxHeaderBytes = 16 << 10
	watchGap       = 15 * time.Millisecond // some events come in one answer, and a job waits this long at most
)

type (
	// Launcher is an entry.
	Launcher struct {
		path     string
		log      *slog.Logger
		settings atomic.Pointer[platform.Settings]
		board    *board
		stopping atomic.Bool
		reload   chan struct{}
	}

	// Option changes a Launcher.
	Option func(*Launcher)
)

// WithLog sets the logger.
func WithLog(log *slog.Logger) Option {
	return func(l *Launcher) { l.log = log }
}

// New returns an entry with the settings file at a path.
func New(path string, opts ...Option) (*Launcher, error) {
	l := &Launcher{path: path, log: slog.New(slog.DiscardHandler), reload: make(chan struct{}, 1)}
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
	l.board = &board{log: l.log}
	return l, nil
}

// Reload reads the settings file again.
func (l *Launcher) Reload() {
	select {
	case l.reload <- struct{}{}:
	default:
	}
}

// Run runs the entry until ctx ends; it then leaves without breaking off calls.
func (l *Launcher) Run(ctx context.Context) error {
	s := l.settings.Load()
	debug.SetGCPercent(collectPercent)
	debug.SetMemoryLimit(int64(memoryPart * float64(s.MemoryMB) * (1 << 20)))
	l.board.store.next = platform.NewTransport(storeChannels)
	store := platform.NewStore(func() string { return l.settings.Load().StoreAddress }, requester.NewClient(&l.board.store))

	kernel := supervisor.New(l.log)
	counters, err := l.metrics(ctx, s)
	if err != nil {
		return err
	}
	front, err := l.callers(ctx, s, store)
	if err != nil {
		return err
	}
	readiness, err := l.readiness(ctx, s)
	if err != nil {
		return err
	}
	for _, service := range []struct {
		name string
		run  func(ctx context.Context) error
	}{
		{"metrics", counters},
		{"readiness", readiness},
		{"settings", l.watchSettings},
		{"manifest", l.board.followOperator(store)},
		{"load", l.board.followLoad(store)},
		{"probe", l.board.probe(store)},
		{"callers", front},
		{"leadership", l.elector(s, store).Run},
	} {
		if err := kernel.Register(service.name, supervisor.Func(service.run)); err != nil {
			return errors.Trace(err)
		}
	}
	l.log.Info("entry starts", "instance", s.Instance, "zone", s.Zone, "processor-share", s.ProcessorShare, "callers", s.CallersAddress, "store", s.StoreAddress)
	context.AfterFunc(ctx, func() {
		l.stopping.Store(true)
		l.log.Info("entry stops", "instance", s.Instance)
	})
	err = kernel.Run(ctx)
	l.log.Info("entry stopped", "instance", s.Instance)
	return err
}

// elector returns the service that leads the fleet when it is this entry's
// turn.
func (l *Launcher) elector(s *platform.Settings, store *platform.Store) *elector.Elector {
	workers := platform.NewWorkerClient(requester.NewClient(platform.NewTransport(workerChannels)))
	directory := platform.NewWorkerDirectory(store, l.log)
	instances := platform.NewInstanceClient(func() string { return l.settings.Load().InstancesAddress }, s.Instance, requester.NewClient(platform.NewTransport(fleetChannels)))
	opts := []orchestrator.Option{orchestrator.WithInstances(instances)}
	if s.AdviceAddress != "" {
		opts = append(opts, orchestrator.WithAdvisor(platform.NewAdviceClient(
			func() string { return l.settings.Load().AdviceAddress }, requester.NewClient(platform.NewTransport(1)))))
	}
	cfg := orchestrator.Config{
		RunLease: min(runLease, s.Bounds.MaxLease), MaxWorkerLease: s.Bounds.MaxLease, EarlyStart: 0,
		WorkerListInterval: listRefresh, OutcomeQueryTime: s.Bounds.StateRetention, MoveTime: s.Bounds.MoveTime,
		StoreWritesPerSecond: s.StoreWritesPerSecond, InstanceOrdersPerSecond: s.InstanceOrdersPerSecond, Manifest: l.board.Manifest, RequestedWaves: l.board.Waves, WaveStatus: platform.NewWaveStatus,
	}
	lead := func(ctx context.Context, t *elector.Term) {
		orchestrator.New(cfg, store.WithOptions(platform.WithMinWatchInterval(watchGap)), workers, directory, t, append(opts, orchestrator.WithLog(l.log))...).Run(ctx)
	}
	return elector.New(store, s.Instance, lead, l.log, elector.WithClock(elector.BootClock), elector.WithDelay(newStanding(s, store, l.log).delay))
}

// callers returns the service that answers callers.
func (l *Launcher) callers(ctx context.Context, s *platform.Settings, store *platform.Store) (func(ctx context.Context) error, error) {
	listener, err := platform.Listen(ctx, s.CallersAddress)
	if err != nil {
		return nil, err
	}
	server := &http.Server{
		Handler:           acceptor.New(store, l.board, acceptor.WithLog(l.log)),
		ReadHeaderTimeout: headTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ErrorLog: slog.NewLogLogger(l.log.Handler(), slog.LevelDebug),
	}
	return func(ctx context.Context) error {
		return serve(ctx, server, listener, balancerNotice)
	}, nil
}

// metrics returns the service that shows counters and latencies.
func (l *Launcher) metrics(ctx context.Context, s *platform.Settings) (func(ctx context.Context) error, error) {
	if s.MetricsAddress == "" {
		return func(ctx context.Context) error { <-ctx.Done(); return ctx.Err() }, nil
	}
	listener, err := platform.Listen(ctx, s.MetricsAddress)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.Handle("GET "+meter.Path, meter.Handler())
	server := &http.Server{Handler: mux, ReadHeaderTimeout: headTimeout, IdleTimeout: idleTimeout}
	return func(ctx context.Context) error {
		return serve(ctx, server, listener, 0)
	}, nil
}

// readiness returns the service that tells the balancer whether to send
// callers here.
func (l *Launcher) readiness(ctx context.Context, s *platform.Settings) (func(ctx context.Context) error, error) {
	listener, err := platform.Listen(ctx, s.ReadinessAddress)
	if err != nil {
		return nil, err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+platform.PathReadiness, func(w http.ResponseWriter, _ *http.Request) {
		if l.stopping.Load() || !l.board.isReady() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	server := &http.Server{Handler: mux, ReadHeaderTimeout: headTimeout, IdleTimeout: idleTimeout}
	return func(ctx context.Context) error {
		return serve(ctx, server, listener, 0)
	}, nil
}

// watchSettings reads the settings file again when it has changed.
func (l *Launcher) watchSettings(ctx context.Context) error {
	last, _ := os.ReadFile(l.path) // a file that cannot be read now is read at the next look
	t := time.NewTicker(settingsPoll)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-l.reload:
		case <-t.C:
		}
		raw, err := os.ReadFile(l.path)
		if err != nil {
			l.log.Warn("settings file not read, the last settings stay in force", "error", err)
			continue
		}
		if bytes.Equal(raw, last) {
			continue
		}
		last = raw
		s, err := platform.ParseSettings(raw)
		if err != nil {
			l.log.Error("settings file refused, the last settings stay in force", "error", err)
			continue
		}
		l.settings.Store(&s)
		l.log.Info("settings reloaded", "store", s.StoreAddress, "fleet", s.InstancesAddress)
	}
}
