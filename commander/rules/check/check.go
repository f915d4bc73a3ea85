// Package check implements the command "rules check".
package check

import (
	"context"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/commander"
	"github.com/coltsfootlever/coltsfootlever/parser"
)

type (
	// Options holds the options of the command "rules check".
	Options struct {
		commander.Connection
		commander.Output
		File           string `arg:"positional,required" help:"rules file, or - for the standard input"`
		AgainstInForce bool   `arg:"--against-in-force" help:"also review the file against the rules in force and the instances, which are read from an entry"`

		factory *commander.Factory
	}

	result struct {
		File   string        `json:"file"`
		Faults parser.Errors `json:"faults"`
		Counts counts        `json:"counts"`
	}

	counts struct {
		Teams      int `json:"teams"`
		Queues     int `json:"queues"`
		Pools      int `json:"pools"`
		Keys       int `json:"keys"`
		Budgets    int `json:"budgets"`
		Objectives int `json:"objectives"`
	}
)

// New returns the command "rules check".
func New(f *commander.Factory) *commander.Command {
	opts := &Options{factory: f}
	return &commander.Command{
		Name:  "check",
		Short: "check a rules file without calling an entry",
		Long: "Checks each rule and the set as a whole, and reports all faults at once with file, line and column.\n" +
			"With --against-in-force, reads the rules in force and the instances from an entry and also reports, with file\n" +
			"and line, rules that can never match, limits that contradict each other, and what the file would change. The\n" +
			"file itself is never sent; if it has faults, no entry is called.",
		Example: "$ coltsfootlever rules check fleet.rules\n$ coltsfootlever rules check --json - < fleet.rules\n" +
			"$ coltsfootlever rules check --against-in-force fleet.rules",
		Options: opts,
		Run:     func(ctx context.Context) error { return run(ctx, opts) },
	}
}

func run(ctx context.Context, opts *Options) error {
	file, err := opts.factory.ReadRules(opts.File)
	var faults parser.Errors
	if err != nil && !errors.As(err, &faults) {
		return errors.Trace(err)
	}
	if err == nil && opts.AgainstInForce {
		return reviewAgainstInForce(ctx, file, opts)
	}
	if opts.JSON {
		r := result{File: opts.File, Faults: append(parser.Errors{}, faults...)}
		if file != nil {
			r.Counts = countRules(file.Rules)
		}
		if err := opts.factory.PrintJSON(r); err != nil {
			return errors.Trace(err)
		}
	}
	if err != nil || opts.JSON {
		return errors.Trace(err)
	}
	c := countRules(file.Rules)
	opts.factory.Printf("%s: no faults; %d teams, %d queues, %d pools, %d keys, %d budgets, %d objectives\n",
		opts.File, c.Teams, c.Queues, c.Pools, c.Keys, c.Budgets, c.Objectives)
	return nil
}

func countRules(r *parser.Rules) counts {
	return counts{
		Teams:      len(r.Teams),
		Queues:     len(r.Queues),
		Pools:      len(r.Pools),
		Keys:       len(r.Keys),
		Budgets:    len(r.Budgets),
		Objectives: len(r.Objectives),
	}
}
