// Package explain implements the commands that explain decisions.
package explain

import (
	"context"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/commander"
	"github.com/coltsfootlever/coltsfootlever/operator"
	"github.com/coltsfootlever/coltsfootlever/recorder"
)

// timeLayout formats times in UTC with milliseconds.
const timeLayout = "2006-01-02T15:04:05.000Z"

// Options holds the options of the command "explain".
type Options struct {
	commander.Connection
	commander.Output
	ID string `arg:"positional,required" help:"identity of what is to be explained"`

	kind    recorder.Kind
	factory *commander.Factory
}

// New returns the command group "explain".
func New(f *commander.Factory) *commander.Command {
	return &commander.Command{
		Name:  "explain",
		Short: "say what was decided and why",
		Long:  "Says what was decided, when, by which entry, on what facts, and what else was weighed.",
		Commands: []*commander.Command{
			newKindCommand(f, recorder.Job, "say what happened to a job", "019ae2c4-7d1b-7c3e-9f10-5a6b7c8d9e0f@entry-a1.1"),
			newKindCommand(f, recorder.Instance, "say what happened to an instance", "i-0412"),
			newKindCommand(f, recorder.Team, "say what was decided on a team's limit", "leads"),
			newKindCommand(f, recorder.Move, "say how a move went", "move-7f3a09c1"),
			newKindCommand(f, recorder.Wave, "say how a wave of maintenance went", "wave-5b1e09c7"),
		},
	}
}

func newKindCommand(f *commander.Factory, kind recorder.Kind, short, example string) *commander.Command {
	opts := &Options{factory: f, kind: kind}
	name := string(kind)
	return &commander.Command{
		Name:  name,
		Short: short,
		Long: "Prints the decisions on a " + name + ", oldest first, from the journals of all entries and of the key-value service.\n" +
			"Names the entries whose journal could not be read.",
		Example: "$ coltsfootlever explain " + name + " " + example + "\n$ coltsfootlever explain " + name + " " + example + " --json",
		Options: opts,
		Run:     func(ctx context.Context) error { return run(ctx, opts) },
	}
}

func run(ctx context.Context, opts *Options) error {
	client, err := opts.factory.Client(opts.Connection)
	if err != nil {
		return errors.Trace(err)
	}
	found, err := client.Explain(ctx, opts.kind, opts.ID)
	if err != nil {
		return errors.Trace(err)
	}
	opts.factory.PrintMissing(found.Missing)
	switch {
	case opts.JSON:
		return opts.factory.PrintJSON(found)
	case opts.factory.Terminal:
		printText(opts.factory, found)
		return nil
	default:
		return printRows(opts.factory, found)
	}
}

func printText(f *commander.Factory, found operator.Explanation) {
	for _, d := range found.Decisions {
		f.Printf("%s  %s\n  %s\n", formatTime(d.Time), d.Entry, d.Action)
		if len(d.Facts) > 0 {
			f.Printf("  facts: %s\n", formatFacts(d.Facts))
		}
		for _, w := range d.Alternatives {
			f.Printf("  weighed: %s\n", w)
		}
	}
}

func printRows(f *commander.Factory, found operator.Explanation) error {
	rows := make([][]string, 0, len(found.Decisions))
	for _, d := range found.Decisions {
		rows = append(rows, []string{formatTime(d.Time), d.Entry, d.Action, formatFacts(d.Facts), strings.Join(d.Alternatives, "; ")})
	}
	return f.PrintTable([]string{"time", "entry", "action", "facts", "weighed"}, rows)
}

func formatTime(t time.Time) string {
	return t.UTC().Format(timeLayout)
}

func formatFacts(all []recorder.Fact) string {
	parts := make([]string, 0, len(all))
	for _, f := range all {
		parts = append(parts, f.Name+" "+f.Value)
	}
	return strings.Join(parts, ", ")
}
