// Package list implements the command "stand-in instance-list".
package list

import (
	"context"
	"encoding/json"
	"os"
	"time"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/commander"
	"github.com/coltsfootlever/coltsfootlever/emulator"
	"github.com/coltsfootlever/coltsfootlever/lister"
)

// Options holds the options of the command "stand-in instance-list".
type Options struct {
	Listen string        `arg:"--listen" default:"127.0.0.1:2380" placeholder:"IP:PORT" help:"where to serve"`
	Lag    time.Duration `arg:"--lag" default:"2s" help:"age of the list"`
	Reboot time.Duration `arg:"--reboot" default:"5s" help:"time that a reboot takes"`
	File   string        `arg:"positional,required" help:"JSON file with the list of instances"`

	factory *commander.Factory
}

// New returns the command "stand-in instance-list".
func New(f *commander.Factory) *commander.Command {
	opts := &Options{factory: f}
	return &commander.Command{
		Name:  "instance-list",
		Short: "run a stand-in of the instance list",
		Long:  "Serves the instances of a file with a lag, and takes reboots, which only count.",
		Example: `$ cat instances.json
[{"id": "worker-1", "kind": "worker", "address": "127.0.0.1:9001", "zone": "zone-a", "rack": "rack-1", "slots": 8, "pool": "match"}]
$ coltsfootlever stand-in instance-list instances.json`,
		Options: opts,
		Run:     func(ctx context.Context) error { return run(ctx, opts) },
	}
}

func run(ctx context.Context, opts *Options) error {
	text, err := os.ReadFile(opts.File)
	if err != nil {
		return errors.Trace(err)
	}
	var listings []lister.Listing
	if err := json.Unmarshal(text, &listings); err != nil {
		return errors.Annotatef(err, "%s: write a JSON list of instances", opts.File)
	}
	p := emulator.NewPlatform(opts.Lag, opts.Reboot, nil)
	p.Add(listings...)
	return errors.Trace(opts.factory.ServeHTTP(ctx, opts.Listen, p.Handler()))
}
