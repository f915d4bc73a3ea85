// Package serve implements the command "serve", which runs an entry as a
// daemon.
package serve

import (
	"context"
	"log/slog"
	"net"
	"time"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/commander"
	"github.com/coltsfootlever/coltsfootlever/dispatcher"
	"github.com/coltsfootlever/coltsfootlever/keeper"
	"github.com/coltsfootlever/coltsfootlever/lister"
	"github.com/coltsfootlever/coltsfootlever/messenger"
	"github.com/coltsfootlever/coltsfootlever/operator"
	"github.com/coltsfootlever/coltsfootlever/server"
)

// Options holds the settings of the daemon. Each can be given as a flag or as
// an environment variable.
type Options struct {
	Instance                string        `arg:"--instance,env:COLTSFOOTLEVER_INSTANCE" placeholder:"ID" help:"identity in the platform's instance list"`
	Zone                    string        `arg:"--zone,env:COLTSFOOTLEVER_ZONE" help:"availability zone"`
	Callers                 string        `arg:"--callers,env:COLTSFOOTLEVER_CALLERS" placeholder:"IP:PORT" help:"where callers hand in work"`
	Peers                   string        `arg:"--peers,env:COLTSFOOTLEVER_PEERS" placeholder:"IP:PORT" help:"where other entries reach this one"`
	Operators               string        `arg:"--operators,env:COLTSFOOTLEVER_OPERATORS" placeholder:"IP:PORT" help:"where operators' calls are taken; none when empty"`
	Metrics                 string        `arg:"--metrics,env:COLTSFOOTLEVER_METRICS" placeholder:"IP:PORT" help:"where /metrics, /healthz and /readyz are; none when empty"`
	Store                   string        `arg:"--store,env:COLTSFOOTLEVER_STORE" placeholder:"URL" help:"key-value service"`
	InstanceList            string        `arg:"--instance-list,env:COLTSFOOTLEVER_INSTANCE_LIST" placeholder:"URL" help:"instance list"`
	Seeds                   []string      `arg:"--seed,separate,env:COLTSFOOTLEVER_SEEDS" placeholder:"IP:PORT" help:"peer to learn the rules from while the key-value service is down"`
	TaskLease               time.Duration `arg:"--task-lease,env:COLTSFOOTLEVER_TASK_LEASE" default:"15s" help:"time a worker goes on with a task without renewal"`
	ClockMargin             time.Duration `arg:"--clock-margin,env:COLTSFOOTLEVER_CLOCK_MARGIN" default:"2s" help:"largest distance of two clocks"`
	Heartbeat               time.Duration `arg:"--heartbeat,env:COLTSFOOTLEVER_HEARTBEAT" default:"1s" help:"time between two heartbeats to a peer"`
	Staleness               time.Duration `arg:"--staleness,env:COLTSFOOTLEVER_STALENESS" default:"3s" help:"time without contact after which keyed work is refused"`
	ListLag                 time.Duration `arg:"--list-lag,env:COLTSFOOTLEVER_LIST_LAG" default:"10s" help:"longest lag of the instance list"`
	BalancerDelay           time.Duration `arg:"--balancer-delay,env:COLTSFOOTLEVER_BALANCER_DELAY" default:"3s" help:"time the balancer takes to see that the entry is not ready"`
	StopTimeout             time.Duration `arg:"--stop-time,env:COLTSFOOTLEVER_STOP_TIME" default:"2m" help:"longest wait for work under way at a planned stop"`
	MemoryMB                int64         `arg:"--memory-mb,env:COLTSFOOTLEVER_MEMORY_MB" placeholder:"MB" help:"memory that the process may use; that of the machine when 0"`
	MaxDescriptors          int           `arg:"--max-descriptors,env:COLTSFOOTLEVER_MAX_DESCRIPTORS" placeholder:"N" help:"file descriptors that the process may have open; its limit when 0"`
	Operator                string        `arg:"--,env:COLTSFOOTLEVER_OPERATOR_KEY" help:"operator key, or its hash, that holds without rules"`
	OperatorKeysByRulesOnly bool          `arg:"--operators-by-rules-only,env:COLTSFOOTLEVER_OPERATORS_BY_RULES_ONLY" help:"take operators' calls although no operator key is set here; only keys of the rules hold then"`
	LogLevel                slog.Level    `arg:"--log-level,env:COLTSFOOTLEVER_LOG_LEVEL" default:"INFO" help:"DEBUG, INFO, WARN or ERROR"`

	TLS

	factory *commander.Factory
}

// New returns the command "serve".
func New(f *commander.Factory) *commander.Command {
	opts := &Options{factory: f}
	return &commander.Command{
		Name:  "serve",
		Short: "run an entry",
		Long: `Runs an entry until it is told to stop by SIGTERM or an interrupt. It then fails its readiness check, finishes
the work under way, hands over its names, gives up its grants and leaves. Logs are JSON lines on the error stream.`,
		Example: `$ coltsfootlever serve --instance entry-1 --zone zone-a --callers 127.0.0.1:7001 --peers 127.0.0.1:7101 \
    --operators 127.0.0.1:7201 --store http://127.0.0.1:2379 --instance-list http://127.0.0.1:2380`,
		Options: opts,
		Run:     func(ctx context.Context) error { return run(ctx, opts) },
	}
}

func run(ctx context.Context, opts *Options) error {
	log := slog.New(slog.NewJSONHandler(opts.factory.Err, &slog.HandlerOptions{Level: opts.LogLevel}))
	cfg, err := opts.settings(log)
	if err != nil {
		return errors.Trace(err)
	}
	creds, err := opts.TLS.load()
	if err != nil {
		return errors.Trace(err)
	}
	peers := messenger.NewClient(creds.clientOptions()...)
	defer func() { _ = peers.Close() }()
	e, err := server.New(cfg, server.Platform{
		Store:     keeper.NewClient(opts.Store),
		Instances: lister.NewClient(opts.InstanceList),
		Workers:   dispatcher.NewClient(),
		Peers:     peers,
	})
	if err != nil {
		return errors.Trace(err)
	}
	listeners, err := opts.listen()
	if err != nil {
		return errors.Trace(err)
	}
	listeners.TLS = creds.callers
	log.Info("entry is starting", "instance", opts.Instance, "zone", opts.Zone, "callers", opts.Callers, "peers", opts.Peers)
	return server.NewDaemon(e, listeners, creds.serverOptions()...).Run(ctx)
}

// listen opens the listening sockets.
func (o *Options) listen() (server.Listeners, error) {
	var listeners server.Listeners
	var err error
	for _, s := range []struct {
		address string
		to      *net.Listener
	}{
		{o.Callers, &listeners.Callers},
		{o.Peers, &listeners.Peers},
		{o.Operators, &listeners.Operators},
		{o.Metrics, &listeners.Metrics},
	} {
		if s.address == "" {
			continue
		}
		if *s.to, err = net.Listen("tcp", s.address); err != nil {
			return listeners, errors.Annotatef(err, "listening on %s", s.address)
		}
	}
	return listeners, nil
}

// settings validates all settings and returns those of the entry.
func (o *Options) settings(log *slog.Logger) (server.Settings, error) {
	cfg := server.Settings{
		Instance:       o.Instance,
		Zone:           o.Zone,
		PeersAddress:   o.Peers,
		CallersAddress: o.Callers,
		TaskLease:      o.TaskLease,
		ClockMargin:    o.ClockMargin,
		Heartbeat:      o.Heartbeat,
		Staleness:      o.Staleness,
		ListLag:        o.ListLag,
		BalancerDelay:  o.BalancerDelay,
		StopTimeout:    o.StopTimeout,
		MemoryBytes:    o.MemoryMB << 20,
		MaxDescriptors: o.MaxDescriptors,
		Seeds:          o.Seeds,
		Log:            log,
	}
	faults := o.check()
	if o.Operator != "" {
		hash, err := operator.BootstrapHash(o.Operator)
		if err != nil {
			faults = append(faults, err)
		}
		cfg.OperatorHash = hash
	}
	if err := cfg.Check(); err != nil {
		faults = append(faults, err)
	}
	return cfg, joinFaults(faults)
}
