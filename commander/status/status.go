// Package status implements the command "status".
package status

import (
	"context"
	"strconv"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/commander"
	"github.com/coltsfootlever/coltsfootlever/operator"
)

// Options holds the options of the command "status".
type Options struct {
	commander.Connection
	commander.Output

	factory *commander.Factory
}

// New returns the command "status".
func New(f *commander.Factory) *commander.Command {
	opts := &Options{factory: f}
	return &commander.Command{
		Name:    "status",
		Short:   "show an entry and the peers that it sees",
		Long:    "Shows the entry that answers, the registered entries with the rules they have in force, and its pools.",
		Example: "$ coltsfootlever status\n$ coltsfootlever status --json",
		Options: opts,
		Run:     func(ctx context.Context) error { return run(ctx, opts) },
	}
}

func run(ctx context.Context, opts *Options) error {
	client, err := opts.factory.Client(opts.Connection)
	if err != nil {
		return errors.Trace(err)
	}
	status, err := client.Status(ctx)
	if err != nil {
		return errors.Trace(err)
	}
	if opts.JSON {
		return opts.factory.PrintJSON(status)
	}
	return printStatus(opts.factory, status)
}

func printStatus(f *commander.Factory, status operator.Status) error {
	f.Printf("entry %s in zone %s: %s, rules %d, membership %d\n\n",
		status.Entry, status.Zone, status.Standing, status.Rules, status.View)
	rows := make([][]string, 0, len(status.Members))
	for _, m := range status.Members {
		rows = append(rows, []string{m.ID, m.Zone, m.Address, m.State, strconv.FormatUint(m.Rules, 10)})
	}
	if err := f.PrintTable([]string{"entry", "zone", "address", "state", "rules"}, rows); err != nil {
		return errors.Trace(err)
	}
	f.Printf("\n")
	rows = nil
	for _, p := range status.Pools {
		rows = append(rows, []string{p.Pool, strconv.Itoa(p.Slots), strconv.Itoa(p.Running), strconv.Itoa(p.Waiting)})
	}
	return f.PrintTable([]string{"pool", "slots", "running", "waiting"}, rows)
}
