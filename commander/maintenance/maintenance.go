// Package maintenance groups the commands for the maintenance of the fleet.
package maintenance

import (
	"github.com/coltsfootlever/coltsfootlever/commander"
	"github.com/coltsfootlever/coltsfootlever/commander/maintenance/pause"
	"github.com/coltsfootlever/coltsfootlever/commander/maintenance/resume"
	"github.com/coltsfootlever/coltsfootlever/commander/maintenance/start"
	"github.com/coltsfootlever/coltsfootlever/commander/maintenance/status"
)

// New returns the command group "maintenance".
func New(f *commander.Factory) *commander.Command {
	return &commander.Command{
		Name:  "maintenance",
		Short: "start, pause, resume and show the maintenance of the fleet",
		Long:  "Maintenance reboots every instance once, in waves within the availability budgets, without breaking running work.",
		Commands: []*commander.Command{
			start.New(f),
			pause.New(f),
			resume.New(f),
			status.New(f),
		},
	}
}
