// Package resume implements the command "instance resume".
package resume

import (
	"context"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/commander"
)

// Options holds the options of the command "instance resume".
type Options struct {
	commander.Connection
	commander.Output
	ID string `arg:"positional,required" help:"identity of the instance"`

	factory *commander.Factory
}

// New returns the command "instance resume".
func New(f *commander.Factory) *commander.Command {
	opts := &Options{factory: f}
	return &commander.Command{
		Name:  "resume",
		Short: "take an instance back into service",
		Long: "Ends the drain or the move of an instance and takes it into service in the pool where it is. A reboot that has been\n" +
			"handed to the platform cannot be ended.",
		Example: "$ coltsfootlever instance resume i-0412",
		Options: opts,
		Run:     func(ctx context.Context) error { return run(ctx, opts) },
	}
}

func run(ctx context.Context, opts *Options) error {
	client, err := opts.factory.Client(opts.Connection)
	if err != nil {
		return errors.Trace(err)
	}
	i, err := client.ResumeInstance(ctx, opts.ID)
	if err != nil {
		return errors.Trace(err)
	}
	if opts.JSON {
		return opts.factory.PrintJSON(i)
	}
	opts.factory.Printf("Instance %s is %s in pool %s.\n", i.ID, i.Phase, i.Pool)
	return nil
}
