// Package list implements the command "team list".
package list

import (
	"context"
	"strconv"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/commander"
)

// Options holds the options of the command "team list".
type Options struct {
	commander.Connection
	commander.Output

	factory *commander.Factory
}

// New returns the command "team list".
func New(f *commander.Factory) *commander.Command {
	opts := &Options{factory: f}
	return &commander.Command{
		Name:  "list",
		Short: "list teams with their shares and limits",
		Long: "Lists teams with share, limit, the limit in force and the slots in use. After a limit was lowered,\n" +
			"the limit in force follows when the slots above it have been taken back.",
		Example: "$ coltsfootlever team list\n$ coltsfootlever team list --json",
		Options: opts,
		Run:     func(ctx context.Context) error { return run(ctx, opts) },
	}
}

func run(ctx context.Context, opts *Options) error {
	client, err := opts.factory.Client(opts.Connection)
	if err != nil {
		return errors.Trace(err)
	}
	teams, err := client.Teams(ctx)
	if err != nil {
		return errors.Trace(err)
	}
	if opts.JSON {
		return opts.factory.PrintJSON(teams)
	}
	rows := make([][]string, 0, len(teams))
	for _, t := range teams {
		rows = append(rows, []string{
			t.Name,
			t.Customer,
			strconv.Itoa(t.Share),
			strconv.Itoa(t.Limit),
			strconv.Itoa(t.InForce),
			strconv.Itoa(t.Running),
			t.Comment,
		})
	}
	header := []string{"team", "customer", "share", "limit", "in force", "running", "comment"}
	return opts.factory.PrintTable(header, rows)
}
