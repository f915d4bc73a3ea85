// Package list implements the command "instance list".
package list

import (
	"context"
	"strconv"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/commander"
	"github.com/coltsfootlever/coltsfootlever/mover"
)

// Options holds the options of the command "instance list".
type Options struct {
	commander.Connection
	commander.Output
	Pool   string `arg:"--pool" placeholder:"POOL" help:"only instances that are in the pool"`
	Orders bool   `arg:"--orders" help:"only instances with an order under way"`

	factory *commander.Factory
}

// New returns the command "instance list".
func New(f *commander.Factory) *commander.Command {
	opts := &Options{factory: f}
	return &commander.Command{
		Name:    "list",
		Short:   "list instances",
		Long:    "Lists instances with the pool that they are in, their phase, the entry that starts work on them and their order.",
		Example: "$ coltsfootlever instance list --pool inquiries\n$ coltsfootlever instance list --orders\n$ coltsfootlever instance list | cut -f 1",
		Options: opts,
		Run:     func(ctx context.Context) error { return run(ctx, opts) },
	}
}

func run(ctx context.Context, opts *Options) error {
	client, err := opts.factory.Client(opts.Connection)
	if err != nil {
		return errors.Trace(err)
	}
	all, err := client.Instances(ctx, opts.Pool)
	if err != nil {
		return errors.Trace(err)
	}
	list := []mover.Instance{}
	for _, i := range all {
		if !opts.Orders || i.Order != nil {
			list = append(list, i)
		}
	}
	if opts.JSON {
		return opts.factory.PrintJSON(list)
	}
	rows := make([][]string, 0, len(list))
	for _, i := range list {
		rows = append(rows, row(i))
	}
	header := []string{"instance", "pool", "home", "zone", "rack", "slots", "phase", "owner", "order", "note"}
	return opts.factory.PrintTable(header, rows)
}

func row(i mover.Instance) []string {
	return []string{
		i.ID,
		i.Pool,
		i.Home,
		i.Zone,
		i.Rack,
		strconv.Itoa(i.Slots),
		string(i.Phase),
		i.Owner,
		commander.OrderID(i),
		stateReason(i),
	}
}

// stateReason returns why the instance is in its current state: its health
// problem, its order or its last order.
func stateReason(i mover.Instance) string {
	switch {
	case i.Unhealthy != "":
		return i.Unhealthy
	case i.Order != nil && i.Order.Note != "":
		return i.Order.Note
	case i.Order != nil:
		return "asked by " + i.Order.RequestedBy
	case i.LastOrder != "":
		return i.LastOrder
	default:
		return "-"
	}
}
