// Package worker implements the command "stand-in worker".
package worker

import (
	"context"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/commander"
	"github.com/coltsfootlever/coltsfootlever/emulator"
)

// Options holds the options of the command "stand-in worker".
type Options struct {
	Listen string `arg:"--listen" default:"127.0.0.1:9001" placeholder:"IP:PORT" help:"where to serve"`
	ID     string `arg:"--id" default:"worker-1" help:"identity in the instance list"`
	Slots  int    `arg:"--slots" default:"8" help:"tasks that run at once"`

	factory *commander.Factory
}

// New returns the command "stand-in worker".
func New(f *commander.Factory) *commander.Command {
	opts := &Options{factory: f}
	return &commander.Command{
		Name:  "worker",
		Short: "run a stand-in of a worker",
		Long: `Runs tasks under leases through the worker interface. A task's body says what it does:
{"sleep-ms": 200, "fail": false, "output-bytes": 0}; any other body is answered at once with itself.`,
		Example: "$ coltsfootlever stand-in worker --id worker-1 --listen 127.0.0.1:9001",
		Options: opts,
		Run:     func(ctx context.Context) error { return run(ctx, opts) },
	}
}

func run(ctx context.Context, opts *Options) error {
	if opts.Slots < 1 {
		return &commander.UsageError{Program: "coltsfootlever stand-in worker", Message: "--slots must be at least 1"}
	}
	fleet := &emulator.Fleet{}
	fleet.Add(opts.Listen, emulator.NewWorker(opts.ID, opts.Slots, nil))
	return errors.Trace(opts.factory.ServeHTTP(ctx, opts.Listen, fleet.Handler(opts.Listen)))
}
