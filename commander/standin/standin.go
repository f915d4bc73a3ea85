// Package standin groups the commands that run a simulated part of the platform
// as a process, for tests and demonstrations.
package standin

import (
	"github.com/coltsfootlever/coltsfootlever/commander"
	"github.com/coltsfootlever/coltsfootlever/commander/standin/list"
	"github.com/coltsfootlever/coltsfootlever/commander/standin/store"
	"github.com/coltsfootlever/coltsfootlever/commander/standin/worker"
)

// New returns the command group "stand-in".
func New(f *commander.Factory) *commander.Command {
	return &commander.Command{
		Name:  "stand-in",
		Short: "run a stand-in of the platform",
		Long:  "Runs a stand-in of one part of the platform: the key-value service, workers or the instance list. They keep nothing.",
		Commands: []*commander.Command{
			store.New(f),
			worker.New(f),
			list.New(f),
		},
	}
}
