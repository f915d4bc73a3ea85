// Package job holds the commands with which a team hands in work.
package job

import (
	"github.com/coltsfootlever/coltsfootlever/commander"
	"github.com/coltsfootlever/coltsfootlever/commander/job/cancel"
	"github.com/coltsfootlever/coltsfootlever/commander/job/status"
	"github.com/coltsfootlever/coltsfootlever/commander/job/submit"
)

// New returns the noun job.
func New(f *commander.Factory) *commander.Command {
	return &commander.Command{
		Name:  "job",
		Short: "hand in, watch and cancel work",
		Long:  "Hands in work as a team's program does, with the team's key.",
		Commands: []*commander.Command{
			submit.New(f),
			status.New(f),
			cancel.New(f),
		},
	}
}
