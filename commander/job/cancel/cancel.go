// Package cancel implements the command "job cancel".
package cancel

import (
	"context"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/commander"
)

// Options holds the options of the command "job cancel".
type Options struct {
	commander.TeamConnection
	Job string `arg:"positional,required" help:"identity of the job"`

	factory *commander.Factory
}

// New returns the command "job cancel".
func New(f *commander.Factory) *commander.Command {
	opts := &Options{factory: f}
	return &commander.Command{
		Name:    "cancel",
		Short:   "cancel a job",
		Long:    "Cancels a job. A waiting job ends with not-run; a running one is stopped and ends with may-have-run.",
		Example: "$ coltsfootlever job cancel 019ae2c4-7b1e-7c3a-9a52-3f1d5f2f8f11@entry-1.5",
		Options: opts,
		Run:     func(ctx context.Context) error { return run(ctx, opts) },
	}
}

func run(ctx context.Context, opts *Options) error {
	secret, err := opts.ReadKey()
	if err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(opts.factory.Caller(opts.TeamConnection).Cancel(ctx, secret, opts.Job))
}
