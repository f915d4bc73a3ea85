package server

import (
	"context"
	"crypto/tls"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/limiter"
	"github.com/coltsfootlever/coltsfootlever/messenger"
	"github.com/coltsfootlever/coltsfootlever/supervisor"
)

const shutdownTimeout = 10 * time.Second

type (
	// Listeners are the sockets of a daemon. Operators and Metrics may be nil;
	// the daemon then does not serve that interface.
	Listeners struct {
		Callers   net.Listener
		Peers     net.Listener
		Operators net.Listener
		Metrics   net.Listener
		TLS       *tls.Config // of callers' and operators' connections; nil for none
	}

	// httpService is an HTTP interface of the daemon.
	httpService struct {
		name     string
		listener net.Listener // nil if the interface is not served
		handler  http.Handler
		tls      *tls.Config // nil for none
		share    connectionShare
	}

	// Daemon runs one entry and serves its interfaces on the listeners.
	Daemon struct {
		entry       *Entry
		log         *slog.Logger
		listeners   Listeners
		peerOptions []messenger.ServerOption
		stopTimeout time.Duration
	}
)

// NewDaemon returns a daemon for the entry. peerOptions configure the server for
// messages from other entries, for example with its credentials.
func NewDaemon(e *Entry, listeners Listeners, peerOptions ...messenger.ServerOption) *Daemon {
	return &Daemon{entry: e, log: e.cfg.Log, listeners: listeners, peerOptions: peerOptions, stopTimeout: e.cfg.StopTimeout}
}

// Run serves until ctx ends and then shuts down gracefully: the listeners stay
// open until the requests in progress have ended or the stop timeout has passed.
// If a service fails, Run returns its error at once.
func (d *Daemon) Run(ctx context.Context) error {
	d.entry.cfg.limitHeap()
	group := supervisor.NewGroup(d.log)
	services := []struct {
		name string
		run  supervisor.Func
	}{
		{"peers", d.newPeerServer().Run},
		{"entry", d.entry.Run},
	}
	for _, s := range []httpService{
		{"callers", d.listeners.Callers, d.entry.Callers(), d.listeners.TLS, callerConnections},
		{"operators", d.listeners.Operators, d.entry.Operators(), d.listeners.TLS, operatorConnections},
		{"metrics", d.listeners.Metrics, limiter.Bodiless(d.healthHandler()), nil, metricsConnections},
	} {
		if err := group.Register(s.name, d.serveHTTP(s)); err != nil {
			return errors.Trace(err)
		}
	}
	for _, s := range services {
		if err := group.Register(s.name, s.run); err != nil {
			return errors.Trace(err)
		}
	}
	serviceCtx, stopServices := context.WithCancel(context.WithoutCancel(ctx))
	defer stopServices()
	go func() {
		<-ctx.Done()
		d.stopEntry(context.WithoutCancel(ctx))
		stopServices()
	}()
	return group.Run(serviceCtx)
}

// stopEntry stops the entry gracefully within the stop timeout.
func (d *Daemon) stopEntry(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, d.stopTimeout)
	defer cancel()
	d.log.Info("stopping the entry after the requests in progress", "within", d.stopTimeout)
	if err := d.entry.Stop(ctx); err != nil {
		d.log.Error("stop is incomplete; other entries take over what this entry still holds once its process is gone", "error", err)
	}
}

// healthHandler serves the health check, the readiness check and the metrics.
func (d *Daemon) healthHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte("ok\n"))
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if err := d.entry.Ready(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
		_, _ = w.Write([]byte("ready\n"))
	})
	mux.HandleFunc("GET /metrics", func(w http.ResponseWriter, _ *http.Request) {
		d.entry.WriteMetrics(w)
	})
	return mux
}

// serveHTTP returns a service that serves an HTTP interface until its context ends, and
// then waits up to shutdownTimeout for the requests in progress. Without a listener, it
// only waits for its context to end.
func (d *Daemon) serveHTTP(i httpService) supervisor.Func {
	return func(ctx context.Context) error {
		if i.listener == nil {
			<-ctx.Done()
			return nil
		}
		s := &http.Server{Handler: i.handler, ErrorLog: slog.NewLogLogger(d.log.Handler(), slog.LevelDebug)}
		bounded := d.entry.cfg.limitConnections(i.listener, i.name, i.share, limiter.WithBuffers(socketBuffer))
		bounded.Configure(s)
		var l net.Listener = bounded
		if i.tls != nil {
			l = tls.NewListener(bounded, i.tls)
		}
		failed := make(chan error, 1)
		go func() { failed <- s.Serve(l) }()
		select {
		case err := <-failed:
			return errors.Annotatef(err, "serving on %s", l.Addr())
		case <-ctx.Done():
		}
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
		defer cancel()
		return errors.Trace(s.Shutdown(ctx))
	}
}
