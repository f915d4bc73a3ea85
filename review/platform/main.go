// Command standin plays one case of the review. It starts entries of coltsfootlever as
// separate processes, and is the platform, the workers and the clients that they
// see, as the users' pages describe them.
//
//	standin CASE DIRECTORY
//
// It writes record.txt in the directory and exits with 1 if the rule of the case was
// broken, 0 if it held and 2 if the case could not run. With TROUBLE=0 in its
// environment it plays the case without the disruption.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

const (
	exitHeld     = 0
	exitBroken   = 1
	exitNotRun   = 2
	maxCaseTime  = 110 * time.Second // a case may take 120 s
	entryProgram = "target/coltsfootlever"
)

// scenario plays a case. It returns what broke the rule, or an empty string.
type scenario func(ctx context.Context, w *world, trouble bool) (breach string, err error)

var scenarios = map[string]scenario{
	"forgotten-end": playForgottenEnd,
	"given-up":      playGivenUp,
	"lost-instance": playLostInstance,
	"pending":       playPending,
	"old-key":       playOldKey,
}

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	if len(args) != 2 || scenarios[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin CASE DIRECTORY")
		return exitNotRun
	}
	rec, err := newRecord(filepath.Join(args[1], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	defer rec.close()
	ctx, cancel := context.WithTimeout(context.Background(), maxCaseTime)
	defer cancel()
	ctx, stop := signal.NotifyContext(ctx, os.Interrupt, syscall.SIGTERM) // so that the entries are ended as well
	defer stop()
	trouble := os.Getenv("TROUBLE") != "0"
	rec.note("case %s, with the disruption: %t", args[0], trouble)
	breach, err := playCase(ctx, scenarios[args[0]], rec, trouble)
	if err == nil {
		err = ctx.Err() // a case that was ended early tells nothing
	}
	switch {
	case err != nil:
		rec.note("RESULT: the case could not run: %v", err)
		return exitNotRun
	case breach != "":
		rec.note("RESULT: broken: %s", breach)
		return exitBroken
	}
	rec.note("RESULT: the rule held")
	return exitHeld
}

func playCase(ctx context.Context, play scenario, rec *record, trouble bool) (string, error) {
	w, err := newWorld(rec)
	if err != nil {
		return "", err
	}
	defer w.close()
	return play(ctx, w, trouble)
}
