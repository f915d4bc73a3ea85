// Package soak implements the command "soak".
package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/commander"
	"github.com/coltsfootlever/coltsfootlever/soaker"
)

// ErrBreach reports that a run violated an invariant.
const ErrBreach = errors.ConstError("a promise was broken: see the breaches above and the entries' logs in the directory that is named there")

// Options holds the options of the command "soak".
type Options struct {
	commander.Output
	Seed     uint64        `arg:"--seed" default:"1" help:"seed of the first run; the others follow"`
	Runs     int           `arg:"--runs" default:"1" help:"runs one after the other"`
	Duration time.Duration `arg:"--duration" default:"20s" help:"time with faults in each run"`
	Entries  int           `arg:"--entries" default:"5" help:"processes of the program"`
	Workers  int           `arg:"--workers" default:"8" help:"stand-ins of workers"`
	Faults   []string      `arg:"--faults" placeholder:"KIND" help:"draw faults of these kinds only"`
	Plan     string        `arg:"--plan" placeholder:"FILE" help:"play the faults in this file instead of drawing them"`
	Program  string        `arg:"--program" help:"program that runs as entries instead of this one, such as an earlier version"`
	Verbose  bool          `arg:"--verbose" help:"write each fault to the error stream"`

	factory *commander.Factory
}

// New returns the command "soak".
func New(f *commander.Factory) *commander.Command {
	opts := &Options{factory: f}
	return &commander.Command{
		Name:  "soak",
		Short: "run entries as processes under random faults",
		Long: `Runs entries as processes of their own against stand-ins of the platform on loopback. Faults drawn from the seed
stop, pause, kill and restart processes, delay, reset and silence connections, and harm the store and the workers, several
at a time. Callers hand jobs in meanwhile. What callers and workers see is checked against the promises.`,
		Example: "$ coltsfootlever soak --seed 7\n$ coltsfootlever soak --seed 100 --runs 50 --json\n$ coltsfootlever soak --entries 60 --workers 40 --duration 1m\n$ coltsfootlever soak --faults worker-recut entry-kill\n$ coltsfootlever soak --entries 7 --workers 20 --plan soaker/testdata/lost-workers.plan",
		Options: opts,
		Run:     func(ctx context.Context) error { return run(ctx, opts) },
	}
}

func run(ctx context.Context, opts *Options) error {
	if opts.Entries < 1 || opts.Workers < 2 || opts.Runs < 1 || opts.Duration < time.Second {
		return &commander.UsageError{Program: "coltsfootlever soak", Message: fmt.Sprintf(
			"--entries %d, --workers %d, --runs %d, --duration %s; allowed: at least 1, 2, 1 and 1s", opts.Entries, opts.Workers, opts.Runs, opts.Duration)}
	}
	kinds := soaker.Kinds()
	for _, kind := range opts.Faults {
		if !slices.Contains(kinds, soaker.Kind(kind)) {
			return &commander.UsageError{Program: "coltsfootlever soak", Message: fmt.Sprintf("--faults %s: no such kind of fault; choose from %v", kind, kinds)}
		}
	}
	var plan *soaker.Plan
	if opts.Plan != "" {
		var err error
		if plan, err = readPlan(opts.Plan); err != nil {
			return err
		}
	}
	program := opts.Program
	if program == "" {
		var err error
		if program, err = os.Executable(); err != nil {
			return errors.Trace(err)
		}
	}
	invariantBroken := false
	for n := range opts.Runs {
		result, dir, err := runSeed(ctx, opts, plan, program, opts.Seed+uint64(n))
		if err != nil {
			return err
		}
		invariantBroken = invariantBroken || len(result.Breaches) > 0
		if err := printResult(opts, result, dir); err != nil {
			return err
		}
	}
	if invariantBroken {
		return ErrBreach
	}
	return nil
}

// runSeed runs the soak test with one seed and returns its result and its
// directory. The directory is removed unless the run failed or violated an
// invariant.
func runSeed(ctx context.Context, opts *Options, plan *soaker.Plan, program string, seed uint64) (soaker.Result, string, error) {
	dir, err := os.MkdirTemp("", "coltsfootlever-soak-")
	if err != nil {
		return soaker.Result{}, "", errors.Trace(err)
	}
	var progress io.Writer
	if opts.Verbose {
		progress = opts.factory.Err
	}
	var kinds []soaker.Kind
	for _, kind := range opts.Faults {
		kinds = append(kinds, soaker.Kind(kind))
	}
	result, err := soaker.Run(ctx, soaker.Options{
		Program: program, Dir: dir, Seed: seed, Duration: opts.Duration, Entries: opts.Entries, Workers: opts.Workers, Kinds: kinds, Plan: plan, Progress: progress,
	})
	if err == nil && len(result.Breaches) == 0 {
		err = os.RemoveAll(dir)
	}
	return result, dir, errors.Trace(err)
}

// readPlan reads the plan of a run from a file.
func readPlan(path string) (*soaker.Plan, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, errors.Annotate(err, "reading the plan")
	}
	defer func() { _ = f.Close() }() // nothing was written
	plan, err := soaker.ParsePlan(f)
	return plan, errors.Annotatef(err, "reading the plan %s", path)
}

func printResult(opts *Options, r soaker.Result, dir string) error {
	if opts.JSON {
		return errors.Trace(json.NewEncoder(opts.factory.Out).Encode(r))
	}
	_, err := fmt.Fprintf(opts.factory.Out, "seed %d: %d faults, submitted %d, accepted %d, completed %d, refused %d, unknown %d, breaches %d\n",
		r.Seed, r.Faults, r.Submitted, r.Accepted, r.Completed, r.Refused, r.Unknown, len(r.Breaches))
	if s := r.Standstill; s.Runs > 0 && err == nil {
		_, err = fmt.Fprintf(opts.factory.Out, "  %d runs ended with their workers; their tasks started again after %s in the median, %s at most\n",
			s.Runs, time.Duration(s.MedianMs)*time.Millisecond, time.Duration(s.MaxMs)*time.Millisecond)
	}
	for _, b := range r.Breaches {
		if err == nil {
			_, err = fmt.Fprintf(opts.factory.Out, "  %s (logs in %s)\n", b, dir)
		}
	}
	return errors.Trace(err)
}
