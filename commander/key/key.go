// Package key groups the commands for keys.
package key

import (
	"github.com/coltsfootlever/coltsfootlever/commander"
	"github.com/coltsfootlever/coltsfootlever/commander/key/give"
	"github.com/coltsfootlever/coltsfootlever/commander/key/list"
	"github.com/coltsfootlever/coltsfootlever/commander/key/withdraw"
)

// New returns the command group "key".
func New(f *commander.Factory) *commander.Command {
	return &commander.Command{
		Name:  "key",
		Short: "give, withdraw and list keys",
		Long:  "Keys let their bearers hand in work for a team, or operate the system.",
		Commands: []*commander.Command{
			give.New(f),
			withdraw.New(f),
			list.New(f),
		},
	}
}
