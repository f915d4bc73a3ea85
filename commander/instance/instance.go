// Package instance groups the commands for instances.
package instance

import (
	"github.com/coltsfootlever/coltsfootlever/commander"
	"github.com/coltsfootlever/coltsfootlever/commander/instance/drain"
	"github.com/coltsfootlever/coltsfootlever/commander/instance/evict"
	"github.com/coltsfootlever/coltsfootlever/commander/instance/list"
	"github.com/coltsfootlever/coltsfootlever/commander/instance/move"
	"github.com/coltsfootlever/coltsfootlever/commander/instance/resume"
)

// New returns the command group "instance".
func New(f *commander.Factory) *commander.Command {
	return &commander.Command{
		Name:  "instance",
		Short: "list, drain, move and evict instances",
		Long:  "Instances run the work. Each is in exactly one pool.",
		Commands: []*commander.Command{
			list.New(f),
			drain.New(f),
			resume.New(f),
			move.New(f),
			evict.New(f),
		},
	}
}
