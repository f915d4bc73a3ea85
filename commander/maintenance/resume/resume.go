// Package resume implements the command "maintenance resume".
package resume

import (
	"context"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/commander"
)

// Options holds the options of the command "maintenance resume".
type Options struct {
	commander.Connection
	commander.Output

	factory *commander.Factory
}

// New returns the command "maintenance resume".
func New(f *commander.Factory) *commander.Command {
	opts := &Options{factory: f}
	return &commander.Command{
		Name:    "resume",
		Short:   "go on with a roll-out",
		Long:    "Has a roll-out go on that was paused or has stopped by itself. Instances that failed are tried again.",
		Example: "$ coltsfootlever maintenance resume",
		Options: opts,
		Run:     func(ctx context.Context) error { return run(ctx, opts) },
	}
}

func run(ctx context.Context, opts *Options) error {
	client, err := opts.factory.Client(opts.Connection)
	if err != nil {
		return errors.Trace(err)
	}
	r, err := client.ResumeRollout(ctx)
	if err != nil {
		return errors.Trace(err)
	}
	if opts.JSON {
		return opts.factory.PrintJSON(r)
	}
	opts.factory.Printf("Roll-out %s is %s.\n", r.ID, r.State)
	return nil
}
