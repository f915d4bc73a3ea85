// Package show implements the command "rules show".
package show

import (
	"context"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/commander"
)

// Options holds the options of the command "rules show".
type Options struct {
	commander.Connection
	commander.Output

	factory *commander.Factory
}

// New returns the command "rules show".
func New(f *commander.Factory) *commander.Command {
	opts := &Options{factory: f}
	return &commander.Command{
		Name:  "show",
		Short: "print the rules in force",
		Long: "Prints the rules in force in canonical form. The first line holds their number,\n" +
			"which rules apply takes as the base of the edited file.",
		Example: "$ coltsfootlever rules show > fleet.rules\n$ coltsfootlever rules show --json",
		Options: opts,
		Run:     func(ctx context.Context) error { return run(ctx, opts) },
	}
}

func run(ctx context.Context, opts *Options) error {
	client, err := opts.factory.Client(opts.Connection)
	if err != nil {
		return errors.Trace(err)
	}
	rules, err := client.Rules(ctx)
	if err != nil {
		return errors.Trace(err)
	}
	if opts.JSON {
		return opts.factory.PrintJSON(rules)
	}
	opts.factory.Printf("%s%s", commander.RulesNumberLine(rules.Number), rules.Text)
	return nil
}
