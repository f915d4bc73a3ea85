// Package pause implements the command "maintenance pause".
package pause

import (
	"context"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/commander"
)

// Options holds the options of the command "maintenance pause".
type Options struct {
	commander.Connection
	commander.Output

	factory *commander.Factory
}

// New returns the command "maintenance pause".
func New(f *commander.Factory) *commander.Command {
	opts := &Options{factory: f}
	return &commander.Command{
		Name:    "pause",
		Short:   "order no further instance",
		Long:    "Has the roll-out order no further instance. What it has ordered ends. Go on with maintenance resume.",
		Example: "$ coltsfootlever maintenance pause",
		Options: opts,
		Run:     func(ctx context.Context) error { return run(ctx, opts) },
	}
}

func run(ctx context.Context, opts *Options) error {
	client, err := opts.factory.Client(opts.Connection)
	if err != nil {
		return errors.Trace(err)
	}
	r, err := client.PauseRollout(ctx)
	if err != nil {
		return errors.Trace(err)
	}
	if opts.JSON {
		return opts.factory.PrintJSON(r)
	}
	opts.factory.Printf("Roll-out %s is %s; instance list --orders shows what still ends.\n", r.ID, r.State)
	return nil
}
