// Package evict implements the command "instance evict".
package evict

import (
	"context"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/commander"
)

// Options holds the options of the command "instance evict".
type Options struct {
	commander.Connection
	commander.Output
	ID    string `arg:"positional,required" help:"identity of the instance"`
	Vouch bool   `arg:"--vouch" help:"you have seen that the instance does not run"`

	factory *commander.Factory
}

// New returns the command "instance evict".
func New(f *commander.Factory) *commander.Command {
	opts := &Options{factory: f}
	return &commander.Command{
		Name:  "evict",
		Short: "vouch that an instance is dead",
		Long: "Takes your word that an instance is dead: its absence is counted and its record is forgotten after a while. For an\n" +
			"entry see entry evict.",
		Example: "$ coltsfootlever instance evict i-0412 --vouch",
		Options: opts,
		Run:     func(ctx context.Context) error { return run(ctx, opts) },
	}
}

func run(ctx context.Context, opts *Options) error {
	if !opts.Vouch {
		return &commander.UsageError{
			Program: "coltsfootlever instance evict",
			Message: "nothing was changed: look that instance " + opts.ID + " does not run, then add --vouch",
		}
	}
	client, err := opts.factory.Client(opts.Connection)
	if err != nil {
		return errors.Trace(err)
	}
	i, err := client.EvictInstance(ctx, opts.ID)
	if err != nil {
		return errors.Trace(err)
	}
	if opts.JSON {
		return opts.factory.PrintJSON(i)
	}
	opts.factory.Printf("Instance %s is %s.\n", i.ID, i.Phase)
	return nil
}
