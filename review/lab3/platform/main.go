// Command lab3 plays the cases of a review against the program of this project: it starts
// stand-ins of the platform, its workers and clients, and the program's processes.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2

	maxLength = 115 * time.Second
)

// record is the file in which a case writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

func newRecord(dir string) *record {
	f, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		fail("record: %v", err)
	}
	return &record{file: f, began: time.Now()}
}

// add writes a line with the time since the start.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%7.3f  %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...)) // a lost line changes no result
}

// started contains the processes that are running.
var started struct {
	mu        sync.Mutex
	processes map[*os.Process]bool
}

// track notes whether a process is running.
func track(p *os.Process, running bool) {
	started.mu.Lock()
	defer started.mu.Unlock()
	if started.processes == nil {
		started.processes = make(map[*os.Process]bool)
	}
	if running {
		started.processes[p] = true
	} else {
		delete(started.processes, p)
	}
}

// fail ends a case that could not run, and all processes that it has started.
func fail(format string, args ...any) {
	fmt.Fprintf(os.Stderr, format+"\n", args...)
	started.mu.Lock() // no process is added any more
	for p := range started.processes {
		_ = p.Kill() // it may have ended
	}
	os.Exit(exitNotRun)
}

// guard ends a case that takes too long or is interrupted.
func guard() {
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	select {
	case <-interrupted:
		fail("interrupted")
	case <-time.After(maxLength):
		fail("the case takes longer than %s", maxLength)
	}
}

// verdict records the result of a case and returns its exit status.
func (r *record) verdict(broken bool, rule string) int {
	if broken {
		r.add("RULE BROKEN: %s", rule)
		fmt.Println("rule broken:", rule)
		return exitBroken
	}
	r.add("rule held: %s", rule)
	fmt.Println("rule held:", rule)
	return exitHeld
}

func main() {
	if len(os.Args) != 4 {
		fail("usage: lab3 CASE FOLDER PROGRAM")
	}
	cases := map[string]func(rec *record, program string, trouble bool) int{
		"many-subtasks": manySubtasks, "waiting-jobs": waitingJobs, "many-queries": manyQueries, "late-start": lateStart,
	}
	run, ok := cases[os.Args[1]]
	if !ok {
		fail("no case %q", os.Args[1])
	}
	if _, err := os.Stat(os.Args[3]); err != nil {
		fail("program: %v", err)
	}
	go guard()
	os.Exit(run(newRecord(os.Args[2]), os.Args[3], os.Getenv("TROUBLE") != "0"))
}
