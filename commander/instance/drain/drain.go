// Package drain implements the command "instance drain".
package drain

import (
	"context"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/commander"
)

// Options holds the options of the command "instance drain".
type Options struct {
	commander.Connection
	commander.Output
	ID string `arg:"positional,required" help:"identity of the instance"`

	factory *commander.Factory
}

// New returns the command "instance drain".
func New(f *commander.Factory) *commander.Command {
	opts := &Options{factory: f}
	return &commander.Command{
		Name:  "drain",
		Short: "take an instance out of service",
		Long: "Lets the work on an instance finish and keeps new work away, until instance resume. Refused when a budget has\n" +
			"no room: the answer names the budget and who holds it.",
		Example: "$ coltsfootlever instance drain i-0412\n$ coltsfootlever instance list --pool inquiries",
		Options: opts,
		Run:     func(ctx context.Context) error { return run(ctx, opts) },
	}
}

func run(ctx context.Context, opts *Options) error {
	client, err := opts.factory.Client(opts.Connection)
	if err != nil {
		return errors.Trace(err)
	}
	i, err := client.DrainInstance(ctx, opts.ID)
	if err != nil {
		return errors.Trace(err)
	}
	if opts.JSON {
		return opts.factory.PrintJSON(i)
	}
	opts.factory.Printf("Instance %s is %s for %s; instance list shows when it is drained.\n", i.ID, i.Phase, commander.OrderID(i))
	return nil
}
