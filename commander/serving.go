package commander

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"
)

const readHeaderTimeout = 5 * time.Second // for the headers of a request

// ServeHTTP serves h on an IP address and port until ctx ends.
func (f *Factory) ServeHTTP(ctx context.Context, address string, h http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Annotatef(err, "listening on %s", address)
	}
	f.PrintErrf("serving on %s\n", l.Addr())
	s := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout}
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	defer stop()
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return errors.Trace(err)
	}
	return nil
}
