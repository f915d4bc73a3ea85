// Package resume implements the command "pool resume".
package resume

import (
	"context"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/commander"
)

// Options holds the options of the command "pool resume".
type Options struct {
	commander.Connection
	commander.Output
	Pool string `arg:"positional,required" help:"name of the pool"`

	factory *commander.Factory
}

// New returns the command "pool resume".
func New(f *commander.Factory) *commander.Command {
	opts := &Options{factory: f}
	return &commander.Command{
		Name:    "resume",
		Short:   "take the drained instances of a pool back",
		Long:    "Takes the drained instances of a pool back into service and names those that were left alone, with the reason.",
		Example: "$ coltsfootlever pool resume inquiries",
		Options: opts,
		Run:     func(ctx context.Context) error { return run(ctx, opts) },
	}
}

func run(ctx context.Context, opts *Options) error {
	client, err := opts.factory.Client(opts.Connection)
	if err != nil {
		return errors.Trace(err)
	}
	result, err := client.ResumePool(ctx, opts.Pool)
	if err != nil {
		return errors.Trace(err)
	}
	return opts.factory.PrintPoolResult(opts.Output, result, "resume")
}
