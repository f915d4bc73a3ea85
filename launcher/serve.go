package launcher

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/supervisor"
)

// serve serves until ctx ends. It then goes on for notice, telling callers to
// use another connection, and lets calls under way finish.
func serve(ctx context.Context, server *http.Server, listener net.Listener, notice time.Duration) error {
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()
	select {
	case err := <-failed:
		return errors.Annotatef(err, "serving %s", listener.Addr())
	case <-ctx.Done():
	}
	server.SetKeepAlivesEnabled(false)
	_ = supervisor.Pause(context.WithoutCancel(ctx), notice) // ends with the time, the context has no end
	closing, cancel := context.WithTimeout(context.WithoutCancel(ctx), finishTimeout)
	defer cancel()
	if err := server.Shutdown(closing); err != nil {
		return errors.Annotatef(server.Close(), "calls at %s were still under way", listener.Addr())
	}
	return nil
}
