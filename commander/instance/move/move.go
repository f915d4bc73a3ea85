// Package move implements the command "instance move".
package move

import (
	"context"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/commander"
	"github.com/coltsfootlever/coltsfootlever/mover"
)

// Options holds the options of the command "instance move".
type Options struct {
	commander.Connection
	commander.Output
	ID string `arg:"positional,required" help:"identity of the instance"`
	To string `arg:"--to,required" placeholder:"POOL" help:"pool that the instance goes to"`

	factory *commander.Factory
}

// New returns the command "instance move".
func New(f *commander.Factory) *commander.Command {
	opts := &Options{factory: f}
	return &commander.Command{
		Name:  "move",
		Short: "move an instance to another pool",
		Long: "Lets the work on an instance finish, then takes it into service in another pool. A move without room in the budgets\n" +
			"waits. At the time limit of the pool that it leaves it is undone or goes on, as the rule of the pool says.",
		Example: "$ coltsfootlever instance move i-0412 --to consent",
		Options: opts,
		Run:     func(ctx context.Context) error { return run(ctx, opts) },
	}
}

func run(ctx context.Context, opts *Options) error {
	client, err := opts.factory.Client(opts.Connection)
	if err != nil {
		return errors.Trace(err)
	}
	i, err := client.MoveInstance(ctx, opts.ID, opts.To)
	if err != nil {
		return errors.Trace(err)
	}
	if opts.JSON {
		return opts.factory.PrintJSON(i)
	}
	if i.Phase == mover.Serving {
		opts.factory.Printf("Order %s waits for room in the budgets; instance list shows for which.\n", commander.OrderID(i))
		return nil
	}
	opts.factory.Printf("Instance %s is %s for %s to pool %s; instance list shows how far it is.\n", i.ID, i.Phase, commander.OrderID(i), opts.To)
	return nil
}
