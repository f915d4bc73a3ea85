// Package job groups the commands that submit, show and cancel the jobs of a
// team.
package job

import (
	"github.com/coltsfootlever/coltsfootlever/commander"
	"github.com/coltsfootlever/coltsfootlever/commander/job/cancel"
	"github.com/coltsfootlever/coltsfootlever/commander/job/status"
	"github.com/coltsfootlever/coltsfootlever/commander/job/submit"
)

// New returns the command group "job".
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
