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

// The invariants, one for each line of what must always hold.
const (
	Budgets       Invariant = "budgets"       // availability budgets hold
	OnePool       Invariant = "one-pool"      // an instance is in exactly one pool
	KeyTeam       Invariant = "key-team"      // work is taken only for the team of its key
	WithdrawnKey  Invariant = "withdrawn-key" // a withdrawn key stops working
	Limit         Invariant = "limit"         // no team has more running than its limit in force
	WholeAnswer   Invariant = "whole-answer"  // callers get the whole answer to their own request
	TrueRefusal   Invariant = "true-refusal"  // a refusal that says not-run is true
	AtMostOnce    Invariant = "at-most-once"  // non-idempotent requests run at most once
	Leaving       Invariant = "leaving"       // a leaving upstream gets no new work
	PlannedStop   Invariant = "planned-stop"  // a planned stop cuts no request
	Configuration Invariant = "configuration" // accepted rules are in force everywhere and never revert
)

// Bounds of the invariants that hold after a time.
const (
	RulesBound   = 16 * time.Second // until accepted rules are in force everywhere
	LeavingBound = 3 * time.Second  // until a leaving upstream gets no new work
	SettleTime   = 45 * time.Second // after a fault, until doubts are no longer due to it
)

type (
	// Invariant names one invariant.
	Invariant string

	// Checker checks the invariants. Use New. Its methods may be called by
	// several goroutines. A change must be told before anything that it caused.
	Checker struct {
		fail func(i Invariant, detail string)

		mu        sync.Mutex
		now       time.Time
		rules     []ruleSet // index 0 is the empty set before the first change
		snapshot  uint64
		changes   map[string]string // operation by key of a committed change
		accounts  map[string]granter.Account
		instances map[string]mover.Instance
		absences  budgeter.Absences
		left      map[string]time.Time // since when the list shows an instance as leaving or gone
		drained   map[string]time.Time // since when the record takes an instance out of service

		requests map[string]*request
		jobs     map[string]*job
		started  map[string]bool   // tasks
		refused  map[string]string // request by refused task
		names    map[name]*work
		tasks    map[attempt]Execution // running
		teams    map[string]int        // running slots
		entries  map[string]*entry
		members  map[string]*member
		fault    time.Time // of the last change of a fault
		faults   int       // in force
	}

	// ruleSet is one accepted rule set with the time of its commitment.
	ruleSet struct {
		*parser.Rules
		at   time.Time
		text string
	}

	// entry is an entry instance over all its incarnations.
	entry struct {
		faults    int
		recovered time.Time
		stopping  time.Time
		crashed   bool
	}

	// member is one incarnation of an entry.
	member struct {
		entry   string
		started time.Time
		number  uint64
	}
)

// New returns a checker that calls fail for each breach, with its mutex held.
func New(fail func(i Invariant, detail string)) *Checker {
	empty := &parser.Rules{}
	return &Checker{
		fail:      fail,
		rules:     []ruleSet{{Rules: empty, text: string(parser.Format(empty))}},
		changes:   make(map[string]string),
		accounts:  make(map[string]granter.Account),
		instances: make(map[string]mover.Instance),
		left:      make(map[string]time.Time),
		drained:   make(map[string]time.Time),
		requests:  make(map[string]*request),
		jobs:      make(map[string]*job),
		started:   make(map[string]bool),
		refused:   make(map[string]string),
		names:     make(map[name]*work),
		tasks:     make(map[attempt]Execution),
		teams:     make(map[string]int),
		entries:   make(map[string]*entry),
		members:   make(map[string]*member),
	}
}

func (c *Checker) require(ok bool, i Invariant, format string, args ...any) {
	if !ok {
		c.fail(i, fmt.Sprintf(format, args...))
	}
}

// entryOf returns the entry instance of a member identity such as
// "entry-a1.3".
func entryOf(member string) string {
	n := strings.LastIndexByte(member, '.')
	if n < 0 {
		return member
	}
	return member[:n]
}

func (c *Checker) entry(id string) *entry {
	e := c.entries[id]
	if e == nil {
		e = &entry{}
		c.entries[id] = e
	}
	return e
}

// Impaired tells of a fault that hinders an entry, such as a pause, a cut or a
// store outage. Bounds in time do not run for it until as many calls of
// Recovered.
func (c *Checker) Impaired(entry string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.entry(entry).faults++
	c.faults++
	c.fault = now
}

// Recovered tells of the end of a fault that hindered an entry.
func (c *Checker) Recovered(entry string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.entry(entry)
	e.faults--
	e.recovered = now
	c.faults--
	c.fault = now
}

// Disturbed tells of a momentary fault, such as a lost answer or a crash of a
// worker, after which doubts are due.
func (c *Checker) Disturbed(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fault = now
}

// Crashed tells that an entry was killed. What its callers wait for may be cut.
func (c *Checker) Crashed(entry string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.entry(entry).crashed = true
	c.fault = now
	c.forget(entry)
}

// Stopping tells that a planned stop of an entry has begun.
func (c *Checker) Stopping(entry string, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.entry(entry).stopping = now
}

// Stopped tells that a planned stop has ended.
func (c *Checker) Stopped(entry string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.forget(entry)
}

// Launched tells that an entry was started anew.
func (c *Checker) Launched(entry string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.entry(entry)
	e.crashed = false
	e.stopping = time.Time{}
}

func (c *Checker) forget(entry string) {
	for id, m := range c.members {
		if m.entry == entry {
			delete(c.members, id)
		}
	}
}

// settled says whether no fault is in force or was in the time before since.
func (c *Checker) settled(since time.Time) bool {
	return c.faults == 0 && since.Sub(c.fault) > SettleTime
}

// Finish checks what must hold once all is quiet: every request has its end.
func (c *Checker) Finish() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, r := range c.requests {
		c.require(r.ended, WholeAnswer, "request %s at %s was never answered", id, r.Entry)
	}
}
