// Package run implements the command "run", which runs an entry from the
// settings file of the platform.
package run

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/commander"
	"github.com/coltsfootlever/coltsfootlever/launcher"
	"github.com/coltsfootlever/coltsfootlever/logger"
	"github.com/coltsfootlever/coltsfootlever/meter"
	"github.com/coltsfootlever/coltsfootlever/platform"
)

const logFlushTimeout = 200 * time.Millisecond // for writing the last log lines before the process ends

// Options holds the options of the command "run".
type Options struct {
	Settings string     `arg:"--settings,env:COLTSFOOTLEVER_NODE_SETTINGS" placeholder:"FILE" help:"settings file [default: the one that the platform names]"`
	LogLevel slog.Level `arg:"--log-level,env:COLTSFOOTLEVER_LOG_LEVEL" default:"INFO" help:"DEBUG, INFO, WARN or ERROR"`
	Relays   string     `arg:"--relays,env:COLTSFOOTLEVER_RELAYS" default:"on" placeholder:"on|off" help:"whether entries carry the leader's calls to workers"`

	factory *commander.Factory
}

// New returns the command "run".
func New(f *commander.Factory) *commander.Command {
	opts := &Options{factory: f}
	return &commander.Command{
		Name:  "run",
		Short: "run an entry on the platform",
		Long: `Runs an entry from the settings file that the platform provides, until it is told to stop by SIGTERM or an
interrupt. It then fails its readiness check, gives up leadership and finishes the calls under way. SIGHUP makes it
read the settings file again. Logs are JSON lines on the output stream.`,
		Example: `$ coltsfootlever run
$ coltsfootlever run --settings node.yaml --log-level WARN`,
		Options: opts,
		Run:     func(ctx context.Context) error { return run(ctx, opts) },
	}
}

func run(ctx context.Context, opts *Options) error {
	if opts.Relays != "on" && opts.Relays != "off" {
		return &commander.UsageError{Program: "coltsfootlever run", Message: fmt.Sprintf("--relays %q: want on or off", opts.Relays)}
	}
	path := opts.Settings
	if path == "" {
		var err error
		if path, err = platform.SettingsPath(); err != nil {
			return err
		}
	}
	log, writer := logger.New(opts.factory.Out, opts.LogLevel)
	defer writer.Close(logFlushTimeout)
	meter.ExportDroppedLines(writer.Dropped)
	entry, err := launcher.New(path, launcher.WithLog(log), launcher.WithRelays(opts.Relays == "on"))
	if err != nil {
		return errors.Annotate(err, "entry not started")
	}
	reloadSignals := make(chan os.Signal, 1)
	signal.Notify(reloadSignals, syscall.SIGHUP)
	defer signal.Stop(reloadSignals)
	go func() {
		for range reloadSignals {
			entry.Reload()
		}
	}()
	err = entry.Run(ctx)
	return errors.Trace(err)
}
