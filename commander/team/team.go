// Package team groups the commands for teams.
package team

import (
	"github.com/coltsfootlever/coltsfootlever/commander"
	"github.com/coltsfootlever/coltsfootlever/commander/team/list"
)

// New returns the command group "team".
func New(f *commander.Factory) *commander.Command {
	return &commander.Command{
		Name:     "team",
		Short:    "list teams",
		Long:     "Teams share the fleet by their shares and never run more than their limits.",
		Commands: []*commander.Command{list.New(f)},
	}
}
