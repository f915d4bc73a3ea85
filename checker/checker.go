package checker

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/coltsfootlever/coltsfootlever/budgeter"
	"github.com/coltsfootlever/coltsfootlever/granter"
	"github.com/coltsfootlever/coltsfootlever/mover"
	"github.com/coltsfootlever/coltsfootlever/parser"
)

// The invariants of the system.
const (
	Budgets       Invariant = "budgets"       // no planned absence exceeds an availability budget
	OnePool       Invariant = "one-pool"      // an instance is in exactly one pool
	KeyTeam       Invariant = "key-team"      // a task runs only for the team that its API key belongs to
	WithdrawnKey  Invariant = "withdrawn-key" // a withdrawn API key stops being accepted
	Limit         Invariant = "limit"         // no team runs more slots than its limit in force
	WholeAnswer   Invariant = "whole-answer"  // callers get the complete answer to their own request
	TrueRefusal   Invariant = "true-refusal"  // a request refused as not-run has not run
	AtMostOnce    Invariant = "at-most-once"  // non-idempotent requests run at most once
	Leaving       Invariant = "leaving"       // an upstream that is leaving gets no new tasks
	PlannedStop   Invariant = "planned-stop"  // a planned stop interrupts no request
	Configuration Invariant = "configuration" // every entry applies the accepted rules and never reverts to older ones
)

// Time limits of the invariants that may be broken for a short time.
const (
	RulesTimeLimit   = 16 * time.Second // from the acceptance of rules until every entry applies them
	LeavingTimeLimit = 3 * time.Second  // from the start of leaving until an upstream gets no new tasks
	FaultAftermath   = 45 * time.Second // time after a fault in which it still explains unknown outcomes
)

type (
	// Invariant names one invariant.
	Invariant string

	// Checker checks the invariants. Use New. Its methods are safe for
	// concurrent use. An event must be reported before the events it caused.
	Checker struct {
		fail func(i Invariant, detail string)

		mu              sync.Mutex
		now             time.Time                  // of the last store change
		rules           []ruleSet                  // by number; index 0 is the empty set before the first change
		snapshot        uint64                     // number of the rules in the stored snapshot
		changes         map[string]string          // operation ID by store key of a committed rule change
		accounts        map[string]granter.Account // by team
		instances       map[string]mover.Instance  // by ID
		absences        budgeter.Absences
		unlistedSince   map[string]time.Time // when an instance was first missing from the live instances of the list
		notServingSince map[string]time.Time // when the record of an instance left the serving phase

		requests      map[string]*request
		jobs          map[string]*job
		startedTasks  map[string]bool   // by task
		refusedTasks  map[string]string // ID of the refused request by task
		historyByName map[requestName]*nameHistory
		running       map[executionID]Execution // executions that have not ended
		runningSlots  map[string]int            // by team
		entries       map[string]*entry
		members       map[string]*member
		lastFault     time.Time // when a fault last began or ended
		activeFaults  int       // on entries and platform together
	}

	// ruleSet is one accepted rule set.
	ruleSet struct {
		*parser.Rules
		committed time.Time
		text      string
	}

	// entry is the state of an entry instance across all its processes.
	entry struct {
		activeFaults int
		lastFaultEnd time.Time
		stopping     time.Time // start of the planned stop
		crashed      bool
	}

	// member is one process of an entry instance.
	member struct {
		entry   string
		started time.Time
		rules   uint64 // number of the rules that it applies
	}
)

// New returns a checker that calls fail for each broken invariant. The checker
// holds its mutex during the call, so fail must not call the checker.
func New(fail func(i Invariant, detail string)) *Checker {
	empty := &parser.Rules{}
	return &Checker{
		fail:            fail,
		rules:           []ruleSet{{Rules: empty, text: string(parser.Format(empty))}},
		changes:         make(map[string]string),
		accounts:        make(map[string]granter.Account),
		instances:       make(map[string]mover.Instance),
		unlistedSince:   make(map[string]time.Time),
		notServingSince: make(map[string]time.Time),
		requests:        make(map[string]*request),
		jobs:            make(map[string]*job),
		startedTasks:    make(map[string]bool),
		refusedTasks:    make(map[string]string),
		historyByName:   make(map[requestName]*nameHistory),
		running:         make(map[executionID]Execution),
		runningSlots:    make(map[string]int),
		entries:         make(map[string]*entry),
		members:         make(map[string]*member),
	}
}

// require calls fail for the invariant i, with the formatted detail, unless ok.
func (c *Checker) require(ok bool, i Invariant, format string, args ...any) {
	if !ok {
		c.fail(i, fmt.Sprintf(format, args...))
	}
}

// entryOfMember returns the entry instance of a member ID: "entry-a1" for
// "entry-a1.3".
func entryOfMember(member string) string {
	n := strings.LastIndexByte(member, '.')
	if n < 0 {
		return member
	}
	return member[:n]
}

// entryState returns the state of the entry instance, and creates it if there is
// none yet.
func (c *Checker) entryState(id string) *entry {
	e := c.entries[id]
	if e == nil {
		e = &entry{}
		c.entries[id] = e
	}
	return e
}

// RecordFaultStart records a fault that impairs an entry, such as a pause, a
// network partition or a store outage. Time limits are suspended for the entry
// until RecordFaultEnd has been called as often as RecordFaultStart.
func (c *Checker) RecordFaultStart(entry string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.entryState(entry).activeFaults++
	c.activeFaults++
	c.lastFault = now
}

// RecordFaultEnd records the end of a fault that impaired an entry.
func (c *Checker) RecordFaultEnd(entry string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.entryState(entry)
	e.activeFaults--
	e.lastFaultEnd = now
	c.activeFaults--
	c.lastFault = now
}

// RecordTransientFault records a fault without a duration, such as a lost
// answer or a worker crash, after which some requests may end with an unknown
// outcome.
func (c *Checker) RecordTransientFault(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastFault = now
}

// RecordEntryCrash records that an entry was killed. The connections of callers
// that wait for it may break.
func (c *Checker) RecordEntryCrash(entry string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.entryState(entry).crashed = true
	c.lastFault = now
	c.removeMembers(entry)
}

// RecordStopStart records the start of a planned stop of an entry.
func (c *Checker) RecordStopStart(entry string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.entryState(entry).stopping = now
}

// RecordStopEnd records the end of a planned stop of an entry.
func (c *Checker) RecordStopEnd(entry string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.removeMembers(entry)
}

// RecordEntryStart records the start of a new process of an entry.
func (c *Checker) RecordEntryStart(entry string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.entryState(entry)
	e.crashed = false
	e.stopping = time.Time{}
}

// removeMembers removes the processes of an entry instance.
func (c *Checker) removeMembers(entry string) {
	for id, m := range c.members {
		if m.entry == entry {
			delete(c.members, id)
		}
	}
}

// faultFreeSince reports whether no fault is active and the last one ended more
// than FaultAftermath before since.
func (c *Checker) faultFreeSince(since time.Time) bool {
	return c.activeFaults == 0 && since.Sub(c.lastFault) > FaultAftermath
}

// CheckAllAnswered checks at the end of a run that every request was answered.
func (c *Checker) CheckAllAnswered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, r := range c.requests {
		c.require(r.answered, WholeAnswer, "request %s at %s was never answered", id, r.Entry)
	}
}
