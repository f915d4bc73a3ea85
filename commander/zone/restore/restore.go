// Package restore implements the command "zone restore".
package restore

import (
	"context"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/commander"
)

// Options holds the options of the command "zone restore".
type Options struct {
	commander.Connection
	commander.Output
	Zone string `arg:"positional,required" help:"name of the zone"`

	factory *commander.Factory
}

// New returns the command "zone restore".
func New(f *commander.Factory) *commander.Command {
	opts := &Options{factory: f}
	return &commander.Command{
		Name:  "restore",
		Short: "return an evacuated zone to use",
		Long: "Returns an evacuated zone to use: entries start work on its instances again. Waits until each registered\n" +
			"entry has confirmed and names those that have not within 10 s.",
		Example: "$ coltsfootlever zone restore eu-1a\n$ coltsfootlever zone restore eu-1a --json",
		Options: opts,
		Run:     func(ctx context.Context) error { return run(ctx, opts) },
	}
}

func run(ctx context.Context, opts *Options) error {
	client, err := opts.factory.Client(opts.Connection)
	if err != nil {
		return errors.Trace(err)
	}
	change, err := client.RestoreZone(ctx, opts.Zone)
	if err != nil {
		return errors.Trace(err)
	}
	return opts.factory.PrintZoneChange(opts.Output, change, "restored")
}
