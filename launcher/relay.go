package launcher

import (
	"context"
	"time"

	"github.com/coltsfootlever/coltsfootlever/connector"
	"github.com/coltsfootlever/coltsfootlever/elector"
	"github.com/coltsfootlever/coltsfootlever/orchestrator"
	"github.com/coltsfootlever/coltsfootlever/platform"
	"github.com/coltsfootlever/coltsfootlever/relayer"
	"github.com/coltsfootlever/coltsfootlever/requester"
	"github.com/coltsfootlever/coltsfootlever/throttler"
)

// WithRelays sets whether this entry node carries the calls of leaders to workers,
// and lets others carry its own calls while it leads. By default it does.
func WithRelays(on bool) Option {
	return func(l *Launcher) { l.relays = on }
}

// newRelayService returns the service that carries calls of leaders to workers.
// It does nothing if relays are off, there is no second internal port, or this
// entry node is too weak. Without its address the entry node still serves callers.
func (l *Launcher) newRelayService(ctx context.Context, s *platform.Settings, store *platform.Store) func(ctx context.Context) error {
	none := func(ctx context.Context) error { <-ctx.Done(); return ctx.Err() }
	r := relayer.Registration{Name: s.Instance, Address: s.RelayAddress, Zone: s.Zone, ProcessorShare: s.ProcessorShare, LinkMbps: s.LinkMbps}
	if !l.relays || r.Address == "" || r.Capacity() == 0 {
		return none
	}
	listener, err := l.listen(ctx, s, "relay", r.Address, otherSockets, relayConns)
	if err != nil {
		l.log.Warn("entry node is no relay: its address is not available", "address", r.Address, "error", err)
		return none
	}
	throttle := throttler.New(throttler.WithLink(s.LinkMbps))
	workers := platform.NewWorkerClient(requester.NewClient(platform.NewTransport(workerIdleConns, connector.WithConnectTimeout(throttle.TimeLimit))), throttle)
	server := relayer.NewServer(workers, relayer.WithServerLog(l.log))
	entryCtx := ctx
	return func(ctx context.Context) error {
		runCtx, cancel := context.WithCancel(ctx)
		defer cancel()
		defer context.AfterFunc(entryCtx, cancel)() // the leader learns of the stop at once, not after the callers' drain
		go func() { _ = relayer.Register(runCtx, store, r, l.log) }()
		if err := server.Run(runCtx, listener); runCtx.Err() == nil {
			l.log.Warn("relay stopped serving, workers are called directly", "error", err)
		}
		return none(ctx)
	}
}

// leadWithRelays runs the engine that newEngine returns with a client that uses
// relays for the calls to workers.
func (l *Launcher) leadWithRelays(ctx context.Context, s *platform.Settings, store *platform.Store, term *elector.Term, throttle *throttler.Throttler, maxListAge time.Duration,
	workers orchestrator.Workers, directory orchestrator.Directory, newEngine func(orchestrator.Workers, orchestrator.Directory) *orchestrator.Engine,
) {
	list := func(ctx context.Context) ([]relayer.Registration, error) {
		return relayer.ListRegistrations(ctx, store, l.log)
	}
	client := relayer.NewClient(workers, term.Token, s.Instance, throttle, list, relayer.WithLog(l.log), relayer.WithMaxListAge(maxListAge, term.IsValid))
	clientCtx, stop := context.WithCancel(context.WithoutCancel(ctx)) // calls in flight may finish after the end of the term
	done := make(chan struct{})
	go func() {
		defer close(done)
		client.Run(clientCtx)
	}()
	defer func() {
		stop()
		<-done
	}()
	newEngine(client, client.Directory(directory)).Run(ctx)
}
