// Package zone groups the commands for availability zones.
package zone

import (
	"github.com/coltsfootlever/coltsfootlever/commander"
	"github.com/coltsfootlever/coltsfootlever/commander/zone/evacuate"
	"github.com/coltsfootlever/coltsfootlever/commander/zone/list"
	"github.com/coltsfootlever/coltsfootlever/commander/zone/restore"
)

// New returns the command group "zone".
func New(f *commander.Factory) *commander.Command {
	return &commander.Command{
		Name:  "zone",
		Short: "evacuate and restore availability zones",
		Long:  "No entry starts work on an instance of an evacuated zone; work that runs there finishes.",
		Example: "$ coltsfootlever zone evacuate eu-1a --comment \"power maintenance, asked by Eva\"\n" +
			"$ coltsfootlever zone list\n" +
			"$ coltsfootlever zone restore eu-1a",
		Commands: []*commander.Command{
			evacuate.New(f),
			restore.New(f),
			list.New(f),
		},
	}
}
