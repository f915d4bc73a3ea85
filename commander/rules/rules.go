// Package rules groups the commands for the rules.
package rules

import (
	"github.com/coltsfootlever/coltsfootlever/commander"
	"github.com/coltsfootlever/coltsfootlever/commander/rules/apply"
	"github.com/coltsfootlever/coltsfootlever/commander/rules/check"
	"github.com/coltsfootlever/coltsfootlever/commander/rules/diff"
	"github.com/coltsfootlever/coltsfootlever/commander/rules/show"
)

// New returns the command group "rules".
func New(f *commander.Factory) *commander.Command {
	return &commander.Command{
		Name:  "rules",
		Short: "check, compare, apply and show the rules",
		Long:  "Rules say which teams share the fleet, which queues take work and which keys are in force.",
		Commands: []*commander.Command{
			check.New(f),
			diff.New(f),
			apply.New(f),
			show.New(f),
		},
	}
}
