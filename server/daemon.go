package server

import (
	"context"
	"log/slog"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/messenger"
	"github.com/coltsfootlever/coltsfootlever/supervisor"
)

const (
	headerTimeout   = 5 * time.Second // for a request's headers to arrive
	maxHeaderBytes  = 16 << 10        // bytes of a request's headers
	shutdownTimeout = 10 * time.Second
)

type (
	// Listeners are the sockets of a daemon. A nil Operators or Metrics is not
	// served.
	Listeners struct {
		Callers   net.Listener
		Peers     net.Listener
		Operators net.Listener
		Metrics   net.Listener
	}

	// Daemon serves one entry on its listeners.
	Daemon struct {
		entry       *Entry
		log         *slog.Logger
		listeners   Listeners
		peerOptions []messenger.ServerOption
		stopTimeout time.Duration
	}
)

// NewDaemon returns a daemon for the entry. peers are further options of the
// peers' server, such as its credentials.
func NewDaemon(e *Entry, listeners Listeners, peerOptions ...messenger.ServerOption) *Daemon {
	return &Daemon{entry: e, log: e.cfg.Log, listeners: listeners, peerOptions: peerOptions, stopTimeout: e.cfg.StopTimeout}
}

// Run serves until ctx ends, then stops without cutting a request: the
// listeners stay open until the work under way has ended. It returns early
// with the first failure of a service.
func (d *Daemon) Run(ctx context.Context) error {
	kernel := supervisor.New(d.log)
	services := []struct {
		name string
		run  supervisor.Func
	}{
		{"peers", messenger.NewServer(d.entry.PeerHandler(), append(d.peerOptions, messenger.WithListener(d.listeners.Peers))...).Run},
		{"entry", d.entry.Run},
		{"callers", serveHTTP(d.listeners.Callers, d.entry.Callers())},
		{"operators", serveHTTP(d.listeners.Operators, d.entry.Operators())},
		{"metrics", serveHTTP(d.listeners.Metrics, d.healthHandler())},
	}
	for _, s := range services {
		if err := kernel.Register(s.name, s.run); err != nil {
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
	return kernel.Run(serviceCtx)
}

func (d *Daemon) stopEntry(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, d.stopTimeout)
	defer cancel()
	d.log.Info("stopping", "within", d.stopTimeout)
	if err := d.entry.Stop(ctx); err != nil {
		d.log.Error("stop is incomplete", "error", err)
	}
}

// health serves the checks and the metrics.
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

// serveHTTP returns a duty that serves h on l until its context ends, and then
// lets the requests under way end. Without a listener it only waits.
func serveHTTP(l net.Listener, h http.Handler) supervisor.Func {
	return func(ctx context.Context) error {
		if l == nil {
			<-ctx.Done()
			return nil
		}
		s := &http.Server{Handler: h, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes}
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
