package launcher

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/supervisor"
)

// serve runs an HTTP server until ctx ends. The server then goes on for
// drainDelay without keep-alives, so that clients open their next connection
// elsewhere, and lets open calls finish within shutdownTimeout.
func serve(ctx context.Context, server *http.Server, listener net.Listener, drainDelay time.Duration) error {
	serveErr := make(chan error, 1)
	go func() { serveErr <- server.Serve(listener) }()
	select {
	case err := <-serveErr:
		return errors.Annotatef(err, "serving %s", listener.Addr())
	case <-ctx.Done():
	}
	server.SetKeepAlivesEnabled(false)
	_ = supervisor.Pause(context.WithoutCancel(ctx), drainDelay) // returns no error, because this context never ends
	shutdownCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
	defer cancel()
	if err := server.Shutdown(shutdownCtx); err != nil {
		return errors.Annotatef(server.Close(), "calls at %s were still under way", listener.Addr())
	}
	return nil
}
