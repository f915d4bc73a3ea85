// Package share implements the command "report share".
package share

import (
	"context"
	"fmt"
	"strconv"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/commander"
	"github.com/coltsfootlever/coltsfootlever/reporter"
)

const percent = 100

// Options holds the options of the command "report share".
type Options struct {
	commander.Connection
	commander.Output

	factory *commander.Factory
}

// New returns the command "report share".
func New(f *commander.Factory) *commander.Command {
	opts := &Options{factory: f}
	return &commander.Command{
		Name:  "share",
		Short: "say how near each team comes to its share",
		Long: "Shows per pool and team what runs and waits in all entries, the slots that weighted max-min sharing would give the team\n" +
			"now, and the distance of what runs from that. Teams without work are left out.",
		Example: "$ coltsfootlever report share\n$ coltsfootlever report share --json",
		Options: opts,
		Run:     func(ctx context.Context) error { return run(ctx, opts) },
	}
}

func run(ctx context.Context, opts *Options) error {
	client, err := opts.factory.Client(opts.Connection)
	if err != nil {
		return errors.Trace(err)
	}
	reply, err := client.ShareReport(ctx)
	if err != nil {
		return errors.Trace(err)
	}
	opts.factory.PrintMissing(reply.Missing)
	if opts.JSON {
		return opts.factory.PrintJSON(reply)
	}
	rows := make([][]string, 0, len(reply.Teams))
	for _, t := range reply.Teams {
		rows = append(rows, row(t))
	}
	header := []string{"pool", "team", "customer", "share", "limit", "running", "waiting", "fair", "distance"}
	return opts.factory.PrintTable(header, rows)
}

func row(t reporter.ShareRow) []string {
	return []string{
		t.Pool,
		t.Team,
		t.Customer,
		strconv.Itoa(t.Share),
		strconv.Itoa(t.Limit),
		strconv.Itoa(t.Running),
		strconv.Itoa(t.Waiting),
		strconv.Itoa(t.Fair),
		fmt.Sprintf("%+.0f%%", percent*t.Distance),
	}
}
