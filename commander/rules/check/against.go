package check

import (
	"context"
	"strings"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/commander"
	"github.com/coltsfootlever/coltsfootlever/operator"
	"github.com/coltsfootlever/coltsfootlever/parser"
	"github.com/coltsfootlever/coltsfootlever/reviewer"
)

// reviewed is the result of a check against the rules in force.
type reviewed struct {
	result
	Number           uint64 `json:"number"`                      // number of the rules in force; 0 when there are none
	Base             uint64 `json:"base"`                        // number of the rules that the file was made from; 0 when unknown
	NotCompared      string `json:"not-compared,omitempty"`      // why the rules in force are not known; there are no differences then
	InstancesSkipped string `json:"instances-skipped,omitempty"` // why the rules were not compared with the instances
	reviewer.Report
}

// reviewAgainstInForce reviews a valid file. It only reads from the entry.
func reviewAgainstInForce(ctx context.Context, file *commander.RulesFile, opts *Options) error {
	client, err := opts.factory.Client(opts.Connection)
	if err != nil {
		return errors.Trace(err)
	}
	r := reviewed{result: result{File: file.Name, Faults: parser.Errors{}, Counts: countRules(file.Rules)}, Base: file.Base}
	in := reviewer.Input{File: file.Name, Rules: file.Rules, Lines: file.Lines, Base: file.Base, HasBase: file.HasBase}
	reply, err := client.Rules(ctx)
	if err != nil {
		return printWithoutRulesInForce(opts, r, in, err)
	}
	in.Number, r.Number = reply.Number, reply.Number
	if reply.Number > 0 {
		if in.InForce, err = parser.Parse("rules in force", strings.NewReader(reply.Text)); err != nil {
			// Not parser.Errors, which would mean that the file is invalid.
			return errors.Errorf("the rules in force cannot be read, the entry may be of another release: %v", err)
		}
	}
	if in.Fleet, err = readInstances(ctx, client); err != nil {
		r.InstancesSkipped = commander.ErrorMessage(err)
	}
	r.Report = reviewer.Review(in)
	return printReview(opts, r)
}

// printWithoutRulesInForce prints the warnings that need no entry, and returns the
// error because of which the rules in force are not known.
func printWithoutRulesInForce(opts *Options, r reviewed, in reviewer.Input, cause error) error {
	in.HasBase = false
	r.Report = reviewer.Report{Warnings: reviewer.Review(in).Warnings, Differences: []reviewer.Difference{}}
	r.NotCompared = commander.ErrorMessage(cause)
	opts.factory.PrintErrf("%s has no faults, but was not compared with the rules in force.\n", r.File)
	if opts.JSON {
		if err := opts.factory.PrintJSON(r); err != nil {
			return errors.Trace(err)
		}
		return errors.Trace(cause)
	}
	for _, w := range r.Warnings {
		opts.factory.Printf("%s\n", w)
	}
	return errors.Trace(cause)
}

// readInstances returns the instances of the fleet, or nil with an error.
func readInstances(ctx context.Context, client *operator.Client) ([]reviewer.Instance, error) {
	instances, err := client.Instances(ctx, "")
	if err != nil {
		return nil, errors.Trace(err)
	}
	fleet := make([]reviewer.Instance, 0, len(instances))
	for _, i := range instances {
		fleet = append(fleet, reviewer.Instance{Pool: i.Pool, Zone: i.Zone, Rack: i.Rack})
	}
	return fleet, nil
}

// printReview prints a review. It returns a WarningsError if there are warnings.
func printReview(opts *Options, r reviewed) error {
	f := opts.factory
	if r.InstancesSkipped != "" {
		f.PrintErrf("The rules were not compared with the instances: %s\n", r.InstancesSkipped)
	}
	if opts.JSON {
		if err := f.PrintJSON(r); err != nil {
			return errors.Trace(err)
		}
	} else {
		for _, w := range r.Warnings {
			f.Printf("%s\n", w)
		}
		for _, d := range r.Differences {
			if d.Line > 0 {
				f.Printf("%s:%d: %s %s %s\n", r.File, d.Line, d.Action, d.Kind, d.Name)
			} else {
				f.Printf("%s: %s %s %s\n", r.File, d.Action, d.Kind, d.Name)
			}
			f.PrintDifferences([]parser.Difference{d.Difference})
		}
		f.Printf("%s: no faults, %d warnings, %d differences from rules %d\n", r.File, len(r.Warnings), len(r.Differences), r.Number)
	}
	if len(r.Warnings) == 0 {
		return nil
	}
	return &commander.WarningsError{File: r.File, Count: len(r.Warnings)}
}
