// Command trial-2 plays the scripted cases of the second review. It starts stand-ins
// of the platform and of its workers, and entries as processes of their own, hands
// jobs in and judges a rule from what callers and workers see.
package main

import (
	"errors"
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// errBroken is the result of a case in which the rule was broken.
var errBroken = errors.New("the rule was broken")

// cases are the scripted cases by name.
var cases = map[string]func(t *trial) error{
	"advice":   playAdvice,
	"memory":   playMemory,
	"schedule": playSchedule,
}

func main() {
	os.Exit(run(os.Args[1:]))
}

// run plays the case args[0] and writes what is seen to record.txt in the folder
// args[1]. With TROUBLE=0 it leaves out the disruption.
func run(args []string) int {
	if len(args) != 2 || cases[args[0]] == nil {
		fmt.Fprintln(os.Stderr, "usage: trial-2 CASE FOLDER")
		return exitNotRun
	}
	t, err := newTrial(args[1], os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "the case could not run:", err)
		return exitNotRun
	}
	defer t.close()
	switch err := cases[args[0]](t); {
	case err == nil:
		t.note("result: the rule held")
		return exitHeld
	case errors.Is(err, errBroken):
		t.note("result: %v", err)
		return exitBroken
	default:
		t.note("result: the case could not run: %v", err)
		return exitNotRun
	}
}
