// Package diff implements the command "rules diff".
package diff

import (
	"context"
	"strings"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/commander"
	"github.com/coltsfootlever/coltsfootlever/operator"
	"github.com/coltsfootlever/coltsfootlever/parser"
)

type (
	// Options holds the options of the command "rules diff".
	Options struct {
		commander.Connection
		commander.Output
		File string `arg:"positional,required" help:"rules file, or - for the standard input"`

		factory *commander.Factory
	}

	result struct {
		Number      uint64              `json:"number"` // number of the rules in force
		Base        uint64              `json:"base"`   // number of the rules that the file was edited from; 0 when unknown
		Differences []parser.Difference `json:"differences"`
	}
)

// New returns the command "rules diff".
func New(f *commander.Factory) *commander.Command {
	opts := &Options{factory: f}
	return &commander.Command{
		Name:    "diff",
		Short:   "print what a rules file would change",
		Long:    "Checks a rules file and prints each rule that differs from the rules in force. Changes nothing.",
		Example: "$ coltsfootlever rules diff fleet.rules\n$ coltsfootlever rules diff --json fleet.rules",
		Options: opts,
		Run:     func(ctx context.Context) error { return run(ctx, opts) },
	}
}

func run(ctx context.Context, opts *Options) error {
	file, err := opts.factory.ReadRules(opts.File)
	if err != nil {
		return errors.Trace(err)
	}
	client, err := opts.factory.Client(opts.Connection)
	if err != nil {
		return errors.Trace(err)
	}
	reply, err := client.Rules(ctx)
	if err != nil {
		return errors.Trace(err)
	}
	differences, err := diffRules(reply, file.Rules)
	if err != nil {
		return errors.Trace(err)
	}
	if opts.JSON {
		return opts.factory.PrintJSON(result{Number: reply.Number, Base: file.Base, Differences: differences})
	}
	opts.factory.PrintDifferences(differences)
	if file.HasBase && file.Base != reply.Number {
		opts.factory.PrintErrf("The file was made from rules %d; rules %d are in force.\n", file.Base, reply.Number)
	}
	return nil
}

func diffRules(reply operator.RulesReply, next *parser.Rules) ([]parser.Difference, error) {
	var current *parser.Rules
	if reply.Number > 0 {
		var err error
		current, err = parser.Parse("rules in force", strings.NewReader(reply.Text))
		if err != nil {
			return nil, errors.Trace(err)
		}
	}
	return append([]parser.Difference{}, parser.Diff(current, next)...), nil
}
