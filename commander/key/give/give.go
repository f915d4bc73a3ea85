// Package give implements the command "key give".
package give

import (
	"context"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/authenticator"
	"github.com/coltsfootlever/coltsfootlever/classifier"
	"github.com/coltsfootlever/coltsfootlever/commander"
	"github.com/coltsfootlever/coltsfootlever/distributor"
	"github.com/coltsfootlever/coltsfootlever/operator"
)

type (
	// Options holds the options of the command "key give".
	Options struct {
		commander.Connection
		commander.Output
		ID       string `arg:"positional,required" help:"name of the key"`
		Team     string `arg:"--team" help:"team that the bearer hands in work for"`
		Operator bool   `arg:"--operator" help:"let the bearer operate the system"`
		Comment  string `arg:"--comment,required" help:"who asked for the key"`

		factory *commander.Factory
		secret  func() (string, error)
	}

	result struct {
		ID  string `json:"id"`
		Key string `json:"key"`
		distributor.Applied
	}
)

// New returns the command "key give".
func New(f *commander.Factory) *commander.Command {
	opts := &Options{factory: f, secret: authenticator.NewSecret}
	return &commander.Command{
		Name:  "give",
		Short: "make a key and put it in force",
		Long: "Makes a random key, puts it in force in all entries and prints it. It is shown this once:\n" +
			"only its hash leaves this process.",
		Example: "$ coltsfootlever key give portal --team leads --comment \"asked by Ana\"\n" +
			"$ coltsfootlever key give night-shift --operator --comment \"asked by Ben\" > night-shift.key",
		Options: opts,
		Run:     func(ctx context.Context) error { return run(ctx, opts) },
	}
}

func run(ctx context.Context, opts *Options) error {
	if (opts.Team == "") == !opts.Operator {
		return &commander.UsageError{Program: "coltsfootlever key give", Message: "give either --team NAME or --operator"}
	}
	client, err := opts.factory.Client(opts.Connection)
	if err != nil {
		return errors.Trace(err)
	}
	secret, err := opts.secret()
	if err != nil {
		return errors.Trace(err)
	}
	applied, err := client.AddKey(ctx, operator.KeyRequest{
		ID:       opts.ID,
		Team:     opts.Team,
		Operator: opts.Operator,
		Hash:     authenticator.Hash(secret),
		Comment:  opts.Comment,
	})
	if err != nil {
		return opts.explainFailure(err)
	}
	if err := printKey(applied, secret, opts); err != nil {
		return errors.Trace(err)
	}
	return commander.CheckConfirmed(applied)
}

// explainFailure adds to the error what to do when the outcome is unknown: the
// key may be in force although it was never shown.
func (opts *Options) explainFailure(err error) error {
	if commander.ExitCode(err) == commander.ExitOutcomeUnknown {
		e := *classifier.As(err)
		e.Message += "; the key may be in force and will not be shown: look with key list and withdraw it"
		return &e
	}
	return errors.Trace(err)
}

func printKey(applied distributor.Applied, secret string, opts *Options) error {
	if opts.JSON {
		return opts.factory.PrintJSON(result{ID: opts.ID, Key: secret, Applied: applied})
	}
	opts.factory.PrintErrf("Key %s is in force with rules %d. It is shown this once:\n", opts.ID, applied.Number)
	opts.factory.Printf("%s\n", secret)
	return nil
}
