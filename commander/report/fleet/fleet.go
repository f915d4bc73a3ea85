// Package fleet implements the command "report fleet".
package fleet

import (
	"context"
	"fmt"
	"strconv"
	"time"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/commander"
	"github.com/coltsfootlever/coltsfootlever/operator"
)

// Options holds the options of the command "report fleet".
type Options struct {
	commander.Connection
	commander.Output

	factory *commander.Factory
}

// New returns the command "report fleet".
func New(f *commander.Factory) *commander.Command {
	opts := &Options{factory: f}
	return &commander.Command{
		Name:  "fleet",
		Short: "say what the fleet costs in instances that do no work",
		Long: "Shows per pool the instance-hours out of service, planned and unplanned, those that a spare pool held ready, and the\n" +
			"moves into and out of the pool, as the entry has seen them that has watched longest; then the last roll-out.",
		Example: "$ coltsfootlever report fleet\n$ coltsfootlever report fleet --json",
		Options: opts,
		Run:     func(ctx context.Context) error { return run(ctx, opts) },
	}
}

func run(ctx context.Context, opts *Options) error {
	client, err := opts.factory.Client(opts.Connection)
	if err != nil {
		return errors.Trace(err)
	}
	reply, err := client.FleetReport(ctx)
	if err != nil {
		return errors.Trace(err)
	}
	opts.factory.PrintMissing(reply.Missing)
	if opts.JSON {
		return opts.factory.PrintJSON(reply)
	}
	return printFleet(opts.factory, reply)
}

func printFleet(f *commander.Factory, reply operator.FleetReply) error {
	f.Printf("watched by %s for %s\n\n", reply.WatchedBy, reply.Survey.Until.Sub(reply.Survey.Since).Round(time.Second))
	rows := make([][]string, 0, len(reply.Survey.Pools))
	for _, p := range reply.Survey.Pools {
		rows = append(rows, []string{
			p.Name,
			formatHours(p.Planned),
			formatHours(p.Unplanned),
			formatHours(p.Spare),
			strconv.Itoa(p.MovedIn),
			strconv.Itoa(p.MovedOut),
		})
	}
	header := []string{"pool", "planned hours", "unplanned hours", "spare hours", "moved in", "moved out"}
	if err := f.PrintTable(header, rows); err != nil {
		return errors.Trace(err)
	}
	f.Printf("\n")
	if r := reply.Rollout; r != nil {
		f.Printf("roll-out %s is %s after %s: %d of %d instances done, %d failed\n", r.ID, r.State, r.Took.Round(time.Second), r.Done, r.Total, r.Failed)
		return nil
	}
	f.Printf("there was no roll-out\n")
	return nil
}

func formatHours(seconds float64) string {
	return fmt.Sprintf("%.2f", seconds/time.Hour.Seconds())
}
