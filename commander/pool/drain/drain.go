// Package drain implements the command "pool drain".
package drain

import (
	"context"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/commander"
)

// Options holds the options of the command "pool drain".
type Options struct {
	commander.Connection
	commander.Output
	Pool string `arg:"positional,required" help:"name of the pool"`

	factory *commander.Factory
}

// New returns the command "pool drain".
func New(f *commander.Factory) *commander.Command {
	opts := &Options{factory: f}
	return &commander.Command{
		Name:    "drain",
		Short:   "drain the instances of a pool",
		Long:    "Drains the instances of a pool as far as the budgets allow and names those that were left alone, with the reason.",
		Example: "$ coltsfootlever pool drain inquiries",
		Options: opts,
		Run:     func(ctx context.Context) error { return run(ctx, opts) },
	}
}

func run(ctx context.Context, opts *Options) error {
	client, err := opts.factory.Client(opts.Connection)
	if err != nil {
		return errors.Trace(err)
	}
	result, err := client.DrainPool(ctx, opts.Pool)
	if err != nil {
		return errors.Trace(err)
	}
	return opts.factory.PrintPoolResult(opts.Output, result, "drain")
}
