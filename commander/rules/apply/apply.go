// Package apply implements the command "rules apply".
package apply

import (
	"context"
	"fmt"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/commander"
	"github.com/coltsfootlever/coltsfootlever/distributor"
	"github.com/coltsfootlever/coltsfootlever/operator"
)

// Options holds the options of the command "rules apply".
type Options struct {
	commander.Connection
	commander.Output
	File string  `arg:"positional,required" help:"rules file, or - for the standard input"`
	Base *uint64 `arg:"--base" placeholder:"NUMBER" help:"number of the rules that the file was made from [default: that of its first line]"`

	factory *commander.Factory
}

// New returns the command "rules apply".
func New(f *commander.Factory) *commander.Command {
	opts := &Options{factory: f}
	return &commander.Command{
		Name:  "apply",
		Short: "put a rules file in force",
		Long: "Checks a rules file and puts it in force in all entries. Waits until each registered entry\n" +
			"has confirmed and names those that have not. When the rules have been changed since the file\n" +
			"was made, nothing is changed and the other changes are listed. On success the number in the\n" +
			"first line of the file, if there is one, is brought up to date.",
		Example: "$ coltsfootlever rules show > fleet.rules\n" +
			"$ coltsfootlever rules apply fleet.rules\n" +
			"$ coltsfootlever rules apply --base 12 - < fleet.rules",
		Options: opts,
		Run:     func(ctx context.Context) error { return run(ctx, opts) },
	}
}

func run(ctx context.Context, opts *Options) error {
	file, err := opts.factory.ReadRules(opts.File)
	if err != nil {
		return errors.Trace(err)
	}
	client, err := opts.factory.Client(opts.Connection)
	if err != nil {
		return errors.Trace(err)
	}
	base := file.Base
	if opts.Base != nil {
		base = *opts.Base
	}
	applied, err := client.Apply(ctx, operator.ApplyRequest{Base: base, Text: string(file.Text)})
	if err != nil {
		return explainConflict(err, file, opts)
	}
	if err := file.UpdateNumber(applied.Number); err != nil {
		opts.factory.PrintErrf("The rules are in force, but the first line of %s could not be brought up to date: %v\n", file.Name, err)
	}
	if err := printResult(applied, opts); err != nil {
		return errors.Trace(err)
	}
	return commander.CheckConfirmed(applied)
}

// explainConflict adds to a conflict how to proceed when neither the file nor
// --base says which rules the file was edited from.
func explainConflict(err error, file *commander.RulesFile, opts *Options) error {
	var conflict *distributor.ConflictError
	if !errors.As(err, &conflict) || file.HasBase || opts.Base != nil {
		return errors.Trace(err)
	}
	return &missingBaseError{file: file.Name, conflict: conflict}
}

// missingBaseError is the conflict of a file that does not say which rules it
// was edited from.
type missingBaseError struct {
	file     string
	conflict *distributor.ConflictError
}

func (e *missingBaseError) Error() string {
	return fmt.Sprintf("%s does not say which rules it was made from, and rules %d are in force: "+
		"compare them with rules diff, then give --base %d", e.file, e.conflict.Number, e.conflict.Number)
}

func (e *missingBaseError) Unwrap() error {
	return e.conflict
}

func printResult(applied distributor.Applied, opts *Options) error {
	if opts.JSON {
		return opts.factory.PrintJSON(applied)
	}
	if applied.Unchanged {
		opts.factory.Printf("Rules %d are in force already; nothing was changed.\n", applied.Number)
		return nil
	}
	opts.factory.PrintDifferences(applied.Differences)
	opts.factory.Printf("Rules %d are accepted and confirmed by %d of %d entries.\n",
		applied.Number, len(applied.Confirmed), len(applied.Confirmed)+len(applied.Missing))
	return nil
}
