// Package list implements the command "zone list".
package list

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/commander"
	"github.com/coltsfootlever/coltsfootlever/operator"
)

// Options holds the options of the command "zone list".
type Options struct {
	commander.Connection
	commander.Output

	factory *commander.Factory
}

// New returns the command "zone list".
func New(f *commander.Factory) *commander.Command {
	opts := &Options{factory: f}
	return &commander.Command{
		Name:  "list",
		Short: "list evacuated zones and what still runs there",
		Long: "Lists the evacuated zones: the operator key that evacuated each, since when, the instances left there, those\n" +
			"that still run tasks, the running tasks and the comment. Names the entries that have not confirmed the latest change.",
		Example: "$ coltsfootlever zone list\n$ coltsfootlever zone list --json",
		Options: opts,
		Run:     func(ctx context.Context) error { return run(ctx, opts) },
	}
}

func run(ctx context.Context, opts *Options) error {
	client, err := opts.factory.Client(opts.Connection)
	if err != nil {
		return errors.Trace(err)
	}
	reply, err := client.EvacuatedZones(ctx)
	if err != nil {
		return errors.Trace(err)
	}
	opts.factory.PrintMissing(reply.Missing)
	if !reply.Current {
		opts.factory.PrintErrf("The entry may have missed a change: its list was last confirmed at %s.\n", reply.AsOf.Format(time.RFC3339))
	}
	if len(reply.Unconfirmed) > 0 {
		opts.factory.PrintErrf("The latest change is not yet confirmed by %s.\n", strings.Join(reply.Unconfirmed, ", "))
	}
	if opts.JSON {
		return opts.factory.PrintJSON(reply)
	}
	rows := make([][]string, 0, len(reply.Zones))
	for _, z := range reply.Zones {
		rows = append(rows, row(z))
	}
	return opts.factory.PrintTable([]string{"zone", "asked by", "since", "workers", "busy", "tasks", "comment"}, rows)
}

func row(z operator.ZoneReply) []string {
	return []string{
		z.Zone,
		z.RequestedBy,
		z.Since.Format(time.RFC3339),
		strconv.Itoa(z.Workers),
		strconv.Itoa(z.BusyWorkers),
		strconv.Itoa(z.RunningTasks),
		z.Comment,
	}
}
