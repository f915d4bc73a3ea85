// Package pool groups the commands for pools.
package pool

import (
	"github.com/coltsfootlever/coltsfootlever/commander"
	"github.com/coltsfootlever/coltsfootlever/commander/pool/drain"
	"github.com/coltsfootlever/coltsfootlever/commander/pool/list"
	"github.com/coltsfootlever/coltsfootlever/commander/pool/resume"
)

// New returns the command group "pool".
func New(f *commander.Factory) *commander.Command {
	return &commander.Command{
		Name:  "pool",
		Short: "list, drain and resume pools",
		Long:  "Pools group the instances that do the same work.",
		Commands: []*commander.Command{
			list.New(f),
			drain.New(f),
			resume.New(f),
		},
	}
}
