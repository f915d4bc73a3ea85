// Command coltsfootlever runs entries and is the operators' command line.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/coltsfootlever/coltsfootlever/commander"
	"github.com/coltsfootlever/coltsfootlever/commander/root"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	f := commander.NewFactory()
	err := commander.Execute(ctx, f, root.New(f), os.Args[1:])
	if err != nil {
		f.PrintErrf("%s\n", commander.ErrorMessage(err))
	}
	stop()
	os.Exit(commander.ExitCode(err))
}
