// Package root assembles the command line from its commands and command groups.
package root

import (
	"github.com/coltsfootlever/coltsfootlever/commander"
	"github.com/coltsfootlever/coltsfootlever/commander/crowd"
	"github.com/coltsfootlever/coltsfootlever/commander/demo"
	"github.com/coltsfootlever/coltsfootlever/commander/entry"
	"github.com/coltsfootlever/coltsfootlever/commander/explain"
	"github.com/coltsfootlever/coltsfootlever/commander/instance"
	"github.com/coltsfootlever/coltsfootlever/commander/job"
	"github.com/coltsfootlever/coltsfootlever/commander/key"
	"github.com/coltsfootlever/coltsfootlever/commander/maintenance"
	"github.com/coltsfootlever/coltsfootlever/commander/pool"
	"github.com/coltsfootlever/coltsfootlever/commander/report"
	"github.com/coltsfootlever/coltsfootlever/commander/rules"
	"github.com/coltsfootlever/coltsfootlever/commander/run"
	"github.com/coltsfootlever/coltsfootlever/commander/serve"
	"github.com/coltsfootlever/coltsfootlever/commander/soak"
	"github.com/coltsfootlever/coltsfootlever/commander/standin"
	"github.com/coltsfootlever/coltsfootlever/commander/status"
	"github.com/coltsfootlever/coltsfootlever/commander/team"
	"github.com/coltsfootlever/coltsfootlever/commander/zone"
)

// New returns the root of the command line.
func New(f *commander.Factory) *commander.Command {
	return &commander.Command{
		Name:    "coltsfootlever",
		Short:   "share a fleet of instances fairly among teams",
		Long:    "Shares a fleet of instances fairly among teams and maintains it without breaking running work.",
		Example: "$ coltsfootlever rules check fleet.rules\n$ coltsfootlever status",
		Commands: []*commander.Command{
			rules.New(f),
			key.New(f),
			team.New(f),
			pool.New(f),
			instance.New(f),
			zone.New(f),
			maintenance.New(f),
			entry.New(f),
			status.New(f),
			explain.New(f),
			report.New(f),
			job.New(f),
			serve.New(f),
			run.New(f),
			demo.New(f),
			soak.New(f),
			crowd.New(f),
			standin.New(f),
		},
	}
}
