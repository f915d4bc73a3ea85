// Package list implements the command "key list".
package list

import (
	"context"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/commander"
)

// Options holds the options of the command "key list".
type Options struct {
	commander.Connection
	commander.Output

	factory *commander.Factory
}

// New returns the command "key list".
func New(f *commander.Factory) *commander.Command {
	opts := &Options{factory: f}
	return &commander.Command{
		Name:    "list",
		Short:   "list the keys in force",
		Long:    "Lists the keys in force by name, with their team and who asked for them. Their values are stored nowhere.",
		Example: "$ coltsfootlever key list\n$ coltsfootlever key list | cut -f 1",
		Options: opts,
		Run:     func(ctx context.Context) error { return run(ctx, opts) },
	}
}

func run(ctx context.Context, opts *Options) error {
	client, err := opts.factory.Client(opts.Connection)
	if err != nil {
		return errors.Trace(err)
	}
	keys, err := client.Keys(ctx)
	if err != nil {
		return errors.Trace(err)
	}
	if opts.JSON {
		return opts.factory.PrintJSON(keys)
	}
	rows := make([][]string, 0, len(keys))
	for _, key := range keys {
		holder := key.Team
		if key.Operator {
			holder = "(operator)"
		}
		rows = append(rows, []string{key.ID, holder, key.Comment})
	}
	return opts.factory.PrintTable([]string{"key", "team", "comment"}, rows)
}
