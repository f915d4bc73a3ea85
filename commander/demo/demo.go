// Package demo implements the command "demo".
package demo

import (
	"context"
	"io"
	"log/slog"
	"time"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/commander"
	"github.com/coltsfootlever/coltsfootlever/demonstrator"
)

// ErrInvariantBroken reports that the demonstration violated an invariant.
const ErrInvariantBroken = errors.ConstError("the demonstration broke a promise: see lost, ran twice, over limit and crossed above")

// Options holds the options of the command "demo".
type Options struct {
	commander.Output
	Duration    time.Duration `arg:"--duration" default:"15s" help:"time for which callers send requests"`
	Seed        uint64        `arg:"--seed" default:"1" help:"seed of the callers' behaviour"`
	KillEntry   bool          `arg:"--kill-entry" help:"lose an entry under load"`
	StoreOutage bool          `arg:"--store-outage" help:"lose the key-value service under load for 5s"`
	Verbose     bool          `arg:"--verbose" help:"write the entries' logs to the error stream"`

	factory *commander.Factory
}

// New returns the command "demo".
func New(f *commander.Factory) *commander.Command {
	opts := &Options{factory: f}
	return &commander.Command{
		Name:    "demo",
		Short:   "run the whole system in one process under load",
		Long:    "Runs stand-ins of the platform with 50 workers, 7 entries on loopback and callers under load, and prints what the workers saw.",
		Example: "$ coltsfootlever demo\n$ coltsfootlever demo --json --kill-entry --store-outage",
		Options: opts,
		Run:     func(ctx context.Context) error { return run(ctx, opts) },
	}
}

func run(ctx context.Context, opts *Options) error {
	if opts.Duration < time.Second || opts.Duration > time.Hour {
		return &commander.UsageError{Program: "coltsfootlever demo", Message: "--duration is " + opts.Duration.String() + "; allowed: 1s to 1h"}
	}
	var logs io.Writer = io.Discard
	if opts.Verbose {
		logs = opts.factory.Err
	}
	result, err := demonstrator.Run(ctx, demonstrator.Options{
		Duration:    opts.Duration,
		Seed:        opts.Seed,
		KillEntry:   opts.KillEntry,
		StoreOutage: opts.StoreOutage,
		Log:         slog.New(slog.NewJSONHandler(logs, nil)),
		Progress:    opts.factory.Err,
	})
	if err != nil {
		return errors.Trace(err)
	}
	if err := printResult(opts, result); err != nil {
		return errors.Trace(err)
	}
	if !result.InvariantsHold() {
		return ErrInvariantBroken
	}
	return nil
}

func printResult(opts *Options, result demonstrator.Result) error {
	if opts.JSON {
		return opts.factory.PrintJSON(result)
	}
	return result.Write(opts.factory.Out)
}
