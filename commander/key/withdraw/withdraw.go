// Package withdraw implements the command "key withdraw".
package withdraw

import (
	"context"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/commander"
)

// Options holds the options of the command "key withdraw".
type Options struct {
	commander.Connection
	commander.Output
	ID string `arg:"positional,required" help:"name of the key"`

	factory *commander.Factory
}

// New returns the command "key withdraw".
func New(f *commander.Factory) *commander.Command {
	opts := &Options{factory: f}
	return &commander.Command{
		Name:  "withdraw",
		Short: "take a key out of force",
		Long: "Takes a key out of force in all entries. Waits until each registered entry has confirmed\n" +
			"and names those that have not. Work that was handed in with the key goes on.",
		Example: "$ coltsfootlever key withdraw portal",
		Options: opts,
		Run:     func(ctx context.Context) error { return run(ctx, opts) },
	}
}

func run(ctx context.Context, opts *Options) error {
	client, err := opts.factory.Client(opts.Connection)
	if err != nil {
		return errors.Trace(err)
	}
	applied, err := client.WithdrawKey(ctx, opts.ID)
	if err != nil {
		return errors.Trace(err)
	}
	if opts.JSON {
		err = opts.factory.PrintJSON(applied)
	} else {
		opts.factory.Printf("Key %s is withdrawn with rules %d, confirmed by %d of %d entries.\n",
			opts.ID, applied.Number, len(applied.Confirmed), len(applied.Confirmed)+len(applied.Missing))
	}
	if err != nil {
		return errors.Trace(err)
	}
	return commander.CheckConfirmed(applied)
}
