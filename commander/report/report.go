// Package report groups the commands that report on all entries.
package report

import (
	"github.com/coltsfootlever/coltsfootlever/commander"
	"github.com/coltsfootlever/coltsfootlever/commander/report/burn"
	"github.com/coltsfootlever/coltsfootlever/commander/report/fleet"
	"github.com/coltsfootlever/coltsfootlever/commander/report/share"
)

// New returns the command group "report".
func New(f *commander.Factory) *commander.Command {
	return &commander.Command{
		Name:  "report",
		Short: "report on objectives, shares and the fleet",
		Long:  "Reports are over all registered entries; those that did not answer are named on the error stream.",
		Commands: []*commander.Command{
			burn.New(f),
			share.New(f),
			fleet.New(f),
		},
	}
}
