// Package evict implements the command "entry evict".
package evict

import (
	"context"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/commander"
)

// Options holds the options of the command "entry evict".
type Options struct {
	commander.Connection
	commander.Output
	ID    string `arg:"positional,required" help:"identity of the entry in status, or its instance"`
	Vouch bool   `arg:"--vouch" help:"you have seen that the process does not run"`

	factory *commander.Factory
}

// New returns the command "entry evict".
func New(f *commander.Factory) *commander.Command {
	opts := &Options{factory: f}
	return &commander.Command{
		Name:  "evict",
		Short: "vouch that the process of an entry is dead",
		Long: "Takes your word that the process of a registered entry is dead, so that others take over its workers, its limits and\n" +
			"its names without waiting for the instance list. If it lives, a request may run twice: end the process first.",
		Example: "$ coltsfootlever status\n$ coltsfootlever entry evict entry-a1 --vouch",
		Options: opts,
		Run:     func(ctx context.Context) error { return run(ctx, opts) },
	}
}

func run(ctx context.Context, opts *Options) error {
	if !opts.Vouch {
		return &commander.UsageError{
			Program: "coltsfootlever entry evict",
			Message: "nothing was changed: look that the process of " + opts.ID + " does not run, then add --vouch",
		}
	}
	client, err := opts.factory.Client(opts.Connection)
	if err != nil {
		return errors.Trace(err)
	}
	reply, err := client.EvictEntry(ctx, opts.ID)
	if err != nil {
		return errors.Trace(err)
	}
	if opts.JSON {
		return opts.factory.PrintJSON(reply)
	}
	opts.factory.Printf("Entry %s is removed from the membership, now at %d.\n", reply.Evicted, reply.View)
	return nil
}
