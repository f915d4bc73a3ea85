// Package start implements the command "maintenance start".
package start

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/commander"
	"github.com/coltsfootlever/coltsfootlever/mover"
)

// Options holds the options of the command "maintenance start".
type Options struct {
	commander.Connection
	commander.Output
	Pool       []string      `arg:"--pool,separate" placeholder:"POOL" help:"only instances in the pool; may be given several times"`
	Window     time.Duration `arg:"--window" help:"time in which it should be done; without it, as fast as the budgets allow"`
	DrainLimit time.Duration `arg:"--drain-limit" help:"time for the work on an instance to end, before the drain is undone and tried later [default: 2h]"`
	MaxFailed  int           `arg:"--max-failed" placeholder:"N" help:"failed instances that stop it [default: 2]"`

	factory *commander.Factory
}

// New returns the command "maintenance start".
func New(f *commander.Factory) *commander.Command {
	opts := &Options{factory: f}
	return &commander.Command{
		Name:  "start",
		Short: "reboot all instances of pools or of the fleet in waves",
		Long: "Drains, reboots and takes back each instance once, as many at a time as the budgets of pool, zone and rack leave room\n" +
			"for. Stops by itself when too many instances fail, and says where and why. Without --pool it covers the fleet.",
		Example: "$ coltsfootlever maintenance start --pool inquiries\n$ coltsfootlever maintenance start --window 840h --drain-limit 2h --max-failed 3",
		Options: opts,
		Run:     func(ctx context.Context) error { return run(ctx, opts) },
	}
}

func run(ctx context.Context, opts *Options) error {
	client, err := opts.factory.Client(opts.Connection)
	if err != nil {
		return errors.Trace(err)
	}
	request := mover.RolloutRequest{Pools: opts.Pool, Window: opts.Window, DrainLimit: opts.DrainLimit, MaxFailed: opts.MaxFailed}
	r, err := client.StartRollout(ctx, request)
	if err != nil {
		return errors.Trace(err)
	}
	if opts.JSON {
		return opts.factory.PrintJSON(r)
	}
	opts.factory.Printf("Roll-out %s is %s; maintenance status shows how far it is.\n", r.ID, r.State)
	return nil
}
