// Package list implements the command "pool list".
package list

import (
	"context"
	"strconv"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/commander"
	"github.com/coltsfootlever/coltsfootlever/operator"
)

// Options holds the options of the command "pool list".
type Options struct {
	commander.Connection
	commander.Output

	factory *commander.Factory
}

// New returns the command "pool list".
func New(f *commander.Factory) *commander.Command {
	opts := &Options{factory: f}
	return &commander.Command{
		Name:  "list",
		Short: "list pools",
		Long: "Lists pools with their instances, those that take work, the slots of these, orders under way, instances borrowed\n" +
			"from and lent to other pools, and absences, planned and unplanned, beside the most that the budget allows.",
		Example: "$ coltsfootlever pool list\n$ coltsfootlever pool list --json",
		Options: opts,
		Run:     func(ctx context.Context) error { return run(ctx, opts) },
	}
}

func run(ctx context.Context, opts *Options) error {
	client, err := opts.factory.Client(opts.Connection)
	if err != nil {
		return errors.Trace(err)
	}
	pools, err := client.Pools(ctx)
	if err != nil {
		return errors.Trace(err)
	}
	if opts.JSON {
		return opts.factory.PrintJSON(pools)
	}
	rows := make([][]string, 0, len(pools))
	for _, p := range pools {
		rows = append(rows, row(p))
	}
	header := []string{"pool", "instances", "serving", "slots", "orders", "borrowed", "lent", "absent", "max absent", "spare", "comment"}
	return opts.factory.PrintTable(header, rows)
}

func row(p operator.PoolReply) []string {
	limit, spare := "-", "-"
	if p.MaxAbsent != nil {
		limit = strconv.Itoa(*p.MaxAbsent)
	}
	if p.Spare {
		spare = "spare"
	}
	return []string{
		p.Name,
		strconv.Itoa(p.Instances),
		strconv.Itoa(p.Serving),
		strconv.Itoa(p.Slots),
		strconv.Itoa(p.Orders),
		strconv.Itoa(p.Borrowed),
		strconv.Itoa(p.Lent),
		strconv.Itoa(p.Absent),
		limit,
		spare,
		p.Comment,
	}
}
