// Package status implements the command "maintenance status".
package status

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/commander"
	"github.com/coltsfootlever/coltsfootlever/mover"
)

// Options holds the options of the command "maintenance status".
type Options struct {
	commander.Connection
	commander.Output

	factory *commander.Factory
}

// New returns the command "maintenance status".
func New(f *commander.Factory) *commander.Command {
	opts := &Options{factory: f}
	return &commander.Command{
		Name:    "status",
		Short:   "show how far the last roll-out is",
		Long:    "Shows the last roll-out: its state, why it stopped if it did, and the instances that are not done.",
		Example: "$ coltsfootlever maintenance status\n$ coltsfootlever maintenance status --json",
		Options: opts,
		Run:     func(ctx context.Context) error { return run(ctx, opts) },
	}
}

func run(ctx context.Context, opts *Options) error {
	client, err := opts.factory.Client(opts.Connection)
	if err != nil {
		return errors.Trace(err)
	}
	r, err := client.Rollout(ctx)
	if err != nil {
		return errors.Trace(err)
	}
	if opts.JSON {
		return opts.factory.PrintJSON(r)
	}
	if r.ID == "" {
		opts.factory.Printf("There was no roll-out; maintenance start begins one.\n")
		return nil
	}
	return printRollout(opts.factory, r)
}

func printRollout(f *commander.Factory, r mover.Rollout) error {
	scope := "the fleet"
	if len(r.Pools) > 0 {
		scope = strings.Join(r.Pools, ", ")
	}
	f.Printf("roll-out %s of %s: %s", r.ID, scope, r.State)
	if r.Reason != "" {
		f.Printf(" (%s)", r.Reason)
	}
	f.Printf("\nasked by %s at %s", r.RequestedBy, r.Since.UTC().Format(time.RFC3339))
	if !r.Ended.IsZero() {
		f.Printf(", ended at %s after %s", r.Ended.UTC().Format(time.RFC3339), r.Ended.Sub(r.Since).Round(time.Second))
	}
	f.Printf("\n%d of %d instances done, %d failed, %d under way, %d put off\n\n", r.Count(mover.StepDone), r.Total,
		r.Count(mover.StepFailed), r.Count(mover.StepActive)+r.Count(mover.StepVerifying), r.Count(mover.StepWaiting))
	return f.PrintTable([]string{"instance", "state", "order", "tries", "note"}, unfinishedRows(r))
}

// unfinishedRows returns a table row for each instance on which the roll-out
// has begun and not finished.
func unfinishedRows(r mover.Rollout) [][]string {
	var rows [][]string
	for _, s := range r.Steps {
		if s.State != mover.StepDone {
			rows = append(rows, []string{s.Instance, string(s.State), s.Order, strconv.Itoa(s.Tries), s.Note})
		}
	}
	return rows
}
