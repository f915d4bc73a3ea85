package commander

import (
	"fmt"
	"strings"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/classifier"
	"github.com/coltsfootlever/coltsfootlever/distributor"
	"github.com/coltsfootlever/coltsfootlever/parser"
)

// Exit codes of the command line. The help lists them.
const (
	ExitOK             = 0
	ExitFailure        = 1
	ExitUsage          = 2
	ExitInvalidRules   = 3
	ExitConflict       = 4
	ExitUnconfirmed    = 5
	ExitUnauthorized   = 6
	ExitUnreachable    = 7
	ExitOutcomeUnknown = 8
	ExitWarnings       = 9
)

// UnconfirmedError reports that a change is accepted, but that some registered
// entries have not confirmed that it is in force there.
type UnconfirmedError struct {
	Accepted string // what is accepted, such as "rules 3 are accepted"
	Command  string // command that shows when all have confirmed
	Missing  []string
}

// Error implements error.
func (e *UnconfirmedError) Error() string {
	return fmt.Sprintf("%s, but not yet confirmed by %s; run %s to see when they are",
		e.Accepted, strings.Join(e.Missing, ", "), e.Command)
}

// WarningsError reports that a rules file is valid, but that there are warnings
// about it.
type WarningsError struct {
	File  string
	Count int
}

// Error implements error.
func (e *WarningsError) Error() string {
	return fmt.Sprintf("%s is valid; warnings: %d", e.File, e.Count)
}

// ExitCode returns the exit code for the error of a command.
func ExitCode(err error) int {
	var usage *UsageError
	var faults parser.Errors
	var conflict *distributor.ConflictError
	var unconfirmed *UnconfirmedError
	var warnings *WarningsError
	var classified *classifier.Error
	switch {
	case err == nil:
		return ExitOK
	case errors.As(err, &usage):
		return ExitUsage
	case errors.As(err, &faults):
		return ExitInvalidRules
	case errors.As(err, &conflict):
		return ExitConflict
	case errors.As(err, &unconfirmed):
		return ExitUnconfirmed
	case errors.As(err, &warnings):
		return ExitWarnings
	case errors.As(err, &classified):
		return exitCodeOfClassified(classified)
	default:
		return ExitFailure
	}
}

func exitCodeOfClassified(e *classifier.Error) int {
	switch {
	case e.Verdict == classifier.MayHaveRun:
		return ExitOutcomeUnknown
	case e.Code == classifier.Unauthorized, e.Code == classifier.Forbidden:
		return ExitUnauthorized
	case e.Code == classifier.PeerLost:
		return ExitUnreachable
	case e.Code == classifier.Conflict:
		return ExitConflict
	default:
		return ExitFailure
	}
}

// ErrorMessage returns the text of an error to show to the user.
func ErrorMessage(err error) string {
	var classified *classifier.Error
	if errors.As(err, &classified) {
		return fmt.Sprintf("%s (%s, %s)", classified.Message, classified.Code, classified.Verdict)
	}
	return err.Error()
}

// CheckConfirmed returns an UnconfirmedError unless all entries have confirmed
// the change.
func CheckConfirmed(applied distributor.Applied) error {
	if len(applied.Missing) == 0 {
		return nil
	}
	return &UnconfirmedError{
		Accepted: fmt.Sprintf("rules %d are accepted", applied.Number),
		Command:  "status",
		Missing:  applied.Missing,
	}
}
