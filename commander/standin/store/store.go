// Package store implements the command "stand-in store".
package store

import (
	"context"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/commander"
	"github.com/coltsfootlever/coltsfootlever/emulator"
)

// Options holds the options of the command "stand-in store".
type Options struct {
	Listen string `arg:"--listen" default:"127.0.0.1:2379" placeholder:"IP:PORT" help:"where to serve"`

	factory *commander.Factory
}

// New returns the command "stand-in store".
func New(f *commander.Factory) *commander.Command {
	opts := &Options{factory: f}
	return &commander.Command{
		Name:    "store",
		Short:   "run a stand-in of the key-value service",
		Long:    "Serves compare-and-swap, leases and watches over etcd's HTTP interface, in memory.",
		Example: "$ coltsfootlever stand-in store --listen 127.0.0.1:2379",
		Options: opts,
		Run:     func(ctx context.Context) error { return run(ctx, opts) },
	}
}

func run(ctx context.Context, opts *Options) error {
	return errors.Trace(opts.factory.ServeHTTP(ctx, opts.Listen, emulator.NewStore().Handler()))
}
