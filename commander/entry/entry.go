// Package entry groups the commands for entries.
package entry

import (
	"github.com/coltsfootlever/coltsfootlever/commander"
	"github.com/coltsfootlever/coltsfootlever/commander/entry/evict"
)

// New returns the command group "entry".
func New(f *commander.Factory) *commander.Command {
	return &commander.Command{
		Name:  "entry",
		Short: "evict entries whose process is dead",
		Long:  "Entries take work from callers and start it on instances; status lists them.",
		Commands: []*commander.Command{
			evict.New(f),
		},
	}
}
