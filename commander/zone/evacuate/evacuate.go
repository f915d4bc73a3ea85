// Package evacuate implements the command "zone evacuate".
package evacuate

import (
	"context"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/commander"
	"github.com/coltsfootlever/coltsfootlever/operator"
)

// Options holds the options of the command "zone evacuate".
type Options struct {
	commander.Connection
	commander.Output
	Zone    string `arg:"positional,required" help:"name of the zone"`
	Comment string `arg:"--comment,required" help:"why, and who asked for it"`
	Force   bool   `arg:"--force" help:"evacuate the last zone with instances in service, so that nothing can run"`

	factory *commander.Factory
}

// New returns the command "zone evacuate".
func New(f *commander.Factory) *commander.Command {
	opts := &Options{factory: f}
	return &commander.Command{
		Name:  "evacuate",
		Short: "start no more work in a zone",
		Long: "Takes a zone out of use until it is restored: no entry starts work on its instances, and these count as\n" +
			"absent against the budgets. Work that runs there finishes; zone list shows what is left. Waits until each\n" +
			"registered entry has confirmed and names those that have not within 10 s. They start nothing at all once\n" +
			"they have been unable to read the change for 3 s.",
		Example: "$ coltsfootlever zone evacuate eu-1a --comment \"power maintenance, asked by Eva\"\n" +
			"$ coltsfootlever zone evacuate eu-1b --comment \"flood, asked by Dan\" --force --json",
		Options: opts,
		Run:     func(ctx context.Context) error { return run(ctx, opts) },
	}
}

func run(ctx context.Context, opts *Options) error {
	client, err := opts.factory.Client(opts.Connection)
	if err != nil {
		return errors.Trace(err)
	}
	change, err := client.EvacuateZone(ctx, opts.Zone, operator.EvacuateRequest{Comment: opts.Comment, Force: opts.Force})
	if err != nil {
		return errors.Trace(err)
	}
	return opts.factory.PrintZoneChange(opts.Output, change, "evacuated")
}
