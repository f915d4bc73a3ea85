package reporter

import (
	"fmt"
	"time"

	"github.com/coltsfootlever/coltsfootlever/classifier"
	"github.com/coltsfootlever/coltsfootlever/parser"
)

// States of an objective.
const (
	Met     State = "met"     // the error budget is not spent faster than it accrues
	Burning State = "burning" // the error budget is spent faster than it accrues
	Urgent  State = "urgent"  // both windows burn at urgentRate or faster
	Silent  State = "silent"  // no answers in the long window
)

const (
	// urgentRate is the burn rate that spends a thirty-day error budget in about
	// two days.
	urgentRate = 14.4
	// sustainableRate is the burn rate that spends the error budget exactly as
	// fast as it accrues.
	sustainableRate = 1.0
)

type (
	// BurnRow is the state of one queue's objective.
	BurnRow struct {
		Queue  string        `json:"queue"`
		Within time.Duration `json:"within-ns"`
		Target float64       `json:"target"` // fraction of good answers
		State  State         `json:"state"`
		Short  Burn          `json:"short"`
		Long   Burn          `json:"long"`
		Cause  *Cause        `json:"cause,omitempty"` // most frequent cause of bad answers; nil without any
	}

	// Burn is the use of the error budget in one time window.
	Burn struct {
		Good int     `json:"good"`
		Bad  int     `json:"bad"`
		Rate float64 `json:"rate"` // burn rate: at 1 the budget is spent as fast as it accrues
	}

	// Cause is the most frequent cause of bad answers.
	Cause struct {
		Code  classifier.Code `json:"code"`
		Part  float64         `json:"part"` // fraction of the bad answers
		Hint  string          `json:"hint"`
		Count int             `json:"count"`
	}

	// State is the state of an objective.
	State string
)

var hintByCode = map[classifier.Code]string{
	Late:                    "answers come too late: the pool is short of slots or tasks run longer than before; see `report share`",
	classifier.QueueFull:    "callers ask for more than the pool serves: compare running with limit in `report share`",
	classifier.DeadlineOver: "requests wait past their deadline: the pool is short of slots or the team is at its limit",
	classifier.NoCapacity:   "no entry has a free slot and a grant: see `pool list` for drained instances",
	classifier.RetriesSpent: "many attempts fail: workers or the service behind the queue are failing; see `instance list`",
	classifier.WorkerLost:   "workers die or cannot be reached: see `instance list`",
	classifier.TaskFailed:   "the service itself reports failures",
	classifier.HeldBack:     "single tasks fail on every worker: look at the requests",
	classifier.Truncated:    "answers of workers arrive damaged: look at workers and network",
	classifier.Crossed:      "a worker answers for another request: take it out with `instance evict`",
	classifier.PeerLost:     "entries lose each other: look at the network between them",
	classifier.HomeAbsent:   "an entry that keeps request names cannot be reached: see `status`",
	classifier.Isolated:     "an entry may have missed rule changes and refuses work: see `status`",
	classifier.Unready:      "an entry has no rules yet: see `status`",
	classifier.Repeated:     "callers repeat requests whose outcome is unknown",
	classifier.Leaving:      "instances shut down while they are asked: see `maintenance status`",
	classifier.Internal:     "a fault of the system: see the logs",
}

// BurnReport compares the merged counts of all entries with the objectives. The
// rows are in the order of the objectives.
func BurnReport(objectives []parser.Objective, counts []QueueCount) []BurnRow {
	byQueue := make(map[string]QueueCount, len(counts))
	for _, c := range counts {
		byQueue[c.Queue] = c
	}
	rows := make([]BurnRow, 0, len(objectives))
	for _, o := range objectives {
		rows = append(rows, burnRow(o, byQueue[o.Queue]))
	}
	return rows
}

func burnRow(o parser.Objective, c QueueCount) BurnRow {
	row := BurnRow{
		Queue:  o.Queue,
		Within: o.Within,
		Target: o.Target,
		Short:  newBurn(o, c.Short),
		Long:   newBurn(o, c.Long),
	}
	row.State = stateFromBurnRates(row, c)
	window := c.Short
	if window.Bad == 0 {
		window = c.Long
	}
	row.Cause = mostFrequentCause(window)
	return row
}

func newBurn(o parser.Objective, c Count) Burn {
	b := Burn{Good: c.Good, Bad: c.Bad}
	if c.total() > 0 {
		b.Rate = float64(c.Bad) / float64(c.total()) / max(1e-6, 1-o.Target)
	}
	return b
}

// stateFromBurnRates returns the state of an objective by the lower burn rate of the two
// windows: the long window shows that there are many bad answers, the short one
// that they still occur.
func stateFromBurnRates(row BurnRow, c QueueCount) State {
	lower := min(row.Short.Rate, row.Long.Rate)
	switch {
	case c.Long.total() == 0:
		return Silent
	case lower >= urgentRate:
		return Urgent
	case lower > sustainableRate:
		return Burning
	}
	return Met
}

func mostFrequentCause(c Count) *Cause {
	if c.Bad == 0 {
		return nil
	}
	first := c.By[0]
	hint, ok := hintByCode[first.Code]
	if !ok {
		hint = fmt.Sprintf("most bad answers say %q", first.Code)
	}
	return &Cause{Code: first.Code, Count: first.Count, Part: float64(first.Count) / float64(c.Bad), Hint: hint}
}
