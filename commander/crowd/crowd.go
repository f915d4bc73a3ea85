// Package crowd implements the command "crowd".
package crowd

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/commander"
	"github.com/coltsfootlever/coltsfootlever/crowder"
)

// ErrBreach reports that a program did not survive a crowd as it should.
const ErrBreach = errors.ConstError("a program exceeded a limit or served no ordinary caller: see the breaches above and the logs in the directory that is named there")

// Options holds the options of the command "crowd".
type Options struct {
	commander.Output
	Names          []string      `arg:"positional" placeholder:"CROWD" help:"crowds by name; all if none is given"`
	Seed           uint64        `arg:"--seed" default:"1" help:"decides which clients send whole bodies and where the others stop"`
	Clients        int           `arg:"--clients" help:"clients of each crowd instead of its own number"`
	MemoryMB       int64         `arg:"--memory-mb" default:"284" help:"memory of the program"`
	MaxDescriptors int64         `arg:"--max-descriptors" default:"4100" help:"open descriptors of the program"`
	Patience       time.Duration `arg:"--patience" default:"20s" help:"time that a crowd has for what it sends"`
	Program        string        `arg:"--program" help:"program that is tested instead of this one, such as an earlier version"`

	factory *commander.Factory
}

// New returns the command "crowd".
func New(f *commander.Factory) *commander.Command {
	opts := &Options{factory: f}
	return &commander.Command{
		Name:  "crowd",
		Short: "run an entry as a process under a crowd of clients that misbehave",
		Long: `Runs an entry as a process of its own against stand-ins of the platform on loopback, once for each crowd. The clients of a
crowd send large bodies whole or piece by piece and stop short of their end, send nothing, or do not read answers, and keep their
connections. The process must stay within its memory and descriptors and serve an ordinary caller. Crowds:

` + strings.Join(names(), "\n"),
		Example: "$ coltsfootlever crowd\n$ coltsfootlever crowd run-bodies run-tiny-steps --json\n$ coltsfootlever crowd run-bodies --clients 1500 --memory-mb 284 --program earlier/coltsfootlever",
		Options: opts,
		Run:     func(ctx context.Context) error { return run(ctx, opts) },
	}
}

// names returns the names of all crowds.
func names() []string {
	var all []string
	for _, c := range crowder.Crowds() {
		all = append(all, c.Name)
	}
	return all
}

func run(ctx context.Context, opts *Options) error {
	for _, name := range opts.Names {
		if !slices.Contains(names(), name) {
			return &commander.UsageError{Program: "coltsfootlever crowd", Message: fmt.Sprintf("no crowd %q; choose from %v", name, names())}
		}
	}
	if opts.Clients < 0 || opts.MemoryMB < 1 || opts.MaxDescriptors < 1 || opts.Patience <= 0 {
		return &commander.UsageError{Program: "coltsfootlever crowd", Message: fmt.Sprintf(
			"--clients %d, --memory-mb %d, --max-descriptors %d, --patience %s; allowed: positive values", opts.Clients, opts.MemoryMB, opts.MaxDescriptors, opts.Patience)}
	}
	program := opts.Program
	if program == "" {
		var err error
		if program, err = os.Executable(); err != nil {
			return errors.Trace(err)
		}
	}
	hasBreach := false
	for _, c := range crowder.Crowds() {
		if len(opts.Names) > 0 && !slices.Contains(opts.Names, c.Name) {
			continue
		}
		if opts.Clients > 0 {
			c.Count = opts.Clients
		}
		r, err := runCrowd(ctx, opts, program, c)
		if err != nil {
			return err
		}
		hasBreach = hasBreach || len(r.Breaches) > 0
	}
	if hasBreach {
		return ErrBreach
	}
	return nil
}

// runCrowd runs a crowd and prints the result. The directory with the log is kept if there
// is a breach.
func runCrowd(ctx context.Context, opts *Options, program string, c crowder.Crowd) (crowder.Result, error) {
	dir, err := os.MkdirTemp("", "coltsfootlever-crowd-")
	if err != nil {
		return crowder.Result{}, errors.Trace(err)
	}
	r, err := crowder.Run(ctx, c, crowder.Options{
		Program: program, Dir: dir, Seed: opts.Seed, MemoryMB: opts.MemoryMB, MaxDescriptors: opts.MaxDescriptors, Patience: opts.Patience,
	})
	if err != nil {
		return r, errors.Trace(err)
	}
	if len(r.Breaches) == 0 {
		if err := os.RemoveAll(dir); err != nil {
			return r, errors.Trace(err)
		}
	}
	if opts.JSON {
		return r, errors.Trace(json.NewEncoder(opts.factory.Out).Encode(r))
	}
	opts.factory.Printf("%s: %d clients, memory %d MB (idle %d), descriptors %d (sockets %d), breaches %d\n", r.Crowd, c.Count, r.PeakMemoryMB, r.IdleMemoryMB, r.PeakDescriptors, r.PeakSockets, len(r.Breaches))
	for _, b := range r.Breaches {
		opts.factory.Printf("  %s (log in %s)\n", b, dir)
	}
	return r, nil
}
