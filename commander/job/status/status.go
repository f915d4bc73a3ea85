// Package status implements the command "job status".
package status

import (
	"context"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/commander"
)

// Options holds the options of the command "job status".
type Options struct {
	commander.TeamConnection
	commander.Output
	Job string `arg:"positional,required" help:"identity of the job"`

	factory *commander.Factory
}

// New returns the command "job status".
func New(f *commander.Factory) *commander.Command {
	opts := &Options{factory: f}
	return &commander.Command{
		Name:    "status",
		Short:   "show the state of a job",
		Long:    "Shows the state of a job and, when it has ended, its verdict.",
		Example: "$ coltsfootlever job status 019ae2c4-7b1e-7c3a-9a52-3f1d5f2f8f11@entry-1.5",
		Options: opts,
		Run:     func(ctx context.Context) error { return run(ctx, opts) },
	}
}

func run(ctx context.Context, opts *Options) error {
	secret, err := opts.ReadKey()
	if err != nil {
		return errors.Trace(err)
	}
	status, err := opts.factory.Caller(opts.TeamConnection).Status(ctx, secret, opts.Job)
	if err != nil {
		return errors.Trace(err)
	}
	if opts.JSON {
		return opts.factory.PrintJSON(status)
	}
	verdict := "-"
	if status.Verdict != nil {
		verdict = status.Verdict.String()
	}
	row := []string{status.Job, status.State, verdict, string(status.Code), status.Detail}
	return opts.factory.PrintTable([]string{"job", "state", "verdict", "code", "detail"}, [][]string{row})
}
