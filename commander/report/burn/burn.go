// Package burn implements the command "report burn".
package burn

import (
	"context"
	"fmt"
	"strconv"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/commander"
	"github.com/coltsfootlever/coltsfootlever/reporter"
)

const percent = 100

// Options holds the options of the command "report burn".
type Options struct {
	commander.Connection
	commander.Output

	factory *commander.Factory
}

// New returns the command "report burn".
func New(f *commander.Factory) *commander.Command {
	opts := &Options{factory: f}
	return &commander.Command{
		Name:  "burn",
		Short: "say which service-level objectives are missed, and why",
		Long: "Compares the answers of all entries with the objectives of the rules, over a short window (is it missed now?) and a long\n" +
			"one (is it more than a short disturbance?). A burn of 1 uses up the error budget just as fast as it accrues.",
		Example: "$ coltsfootlever report burn\n$ coltsfootlever report burn --json",
		Options: opts,
		Run:     func(ctx context.Context) error { return run(ctx, opts) },
	}
}

func run(ctx context.Context, opts *Options) error {
	client, err := opts.factory.Client(opts.Connection)
	if err != nil {
		return errors.Trace(err)
	}
	reply, err := client.BurnReport(ctx)
	if err != nil {
		return errors.Trace(err)
	}
	opts.factory.PrintMissing(reply.Missing)
	if opts.JSON {
		return opts.factory.PrintJSON(reply)
	}
	rows := make([][]string, 0, len(reply.Queues))
	for _, q := range reply.Queues {
		rows = append(rows, row(q))
	}
	header := []string{"queue", "state", "within", "target", "burn short", "burn long", "good", "bad", "cause", "hint"}
	return opts.factory.PrintTable(header, rows)
}

func row(q reporter.BurnRow) []string {
	cause, hint := "-", "-"
	if q.Cause != nil {
		cause = fmt.Sprintf("%s (%.0f%%)", q.Cause.Code, percent*q.Cause.Part)
		hint = q.Cause.Hint
	}
	return []string{
		q.Queue,
		string(q.State),
		q.Within.String(),
		strconv.FormatFloat(percent*q.Target, 'f', -1, 64) + "%",
		fmt.Sprintf("%.1f", q.Short.Rate),
		fmt.Sprintf("%.1f", q.Long.Rate),
		strconv.Itoa(q.Long.Good),
		strconv.Itoa(q.Long.Bad),
		cause,
		hint,
	}
}
