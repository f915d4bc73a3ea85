package demonstrator

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/coltsfootlever/coltsfootlever/classifier"
)

// Result is what a demonstration measured. The counts come from the stand-in
// workers and the callers.
type Result struct {
	Seed            uint64         `json:"seed"`
	Submitted       int            `json:"submitted"`
	Answered        int            `json:"answered"`
	RefusedNotRun   int            `json:"refused-not-run"`
	MayHaveRun      int            `json:"may-have-run"`
	Lost            int            `json:"lost"`            // requests without an end, and answers that no worker gave
	RanTwice        int            `json:"ran-twice"`       // not idempotent, started more than once
	UntrueRefusals  int            `json:"untrue-refusals"` // said not-run, but a worker ran it
	OverLimit       int            `json:"over-limit"`      // starts above a team's limit
	CrossedAnswers  int            `json:"crossed-answers"` // answers of other requests
	ShareError      float64        `json:"share-error"`     // largest relative distance of a backlogged team from its share
	SlotsUsed       float64        `json:"slots-used"`      // fraction of slots that ran work in backlogged pools
	UrgentStartP99  int64          `json:"urgent-start-p99-ms"`
	ConfigInForce   int64          `json:"config-in-force-ms"`
	KeyWithdrawn    int64          `json:"key-withdrawn-ms"` // from the order to the last request taken
	Failures        map[string]int `json:"failures"`         // failed requests by code
	EntriesKilled   int            `json:"entries-killed"`
	StoreOutageTime int64          `json:"store-outage-ms"`
}

// result counts the requests. It is called when no caller waits any more.
func (t *tally) result() Result {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := Result{
		Submitted:      len(t.requests),
		OverLimit:      t.over,
		CrossedAnswers: t.crossed,
		ShareError:     t.shareError(),
		SlotsUsed:      t.slotsUsed(),
		UrgentStartP99: t.urgentP99().Milliseconds(),
		Failures:       make(map[string]int),
	}
	for name, req := range t.requests {
		r.count(req, t.runs[name])
	}
	return r
}

func (r *Result) count(req *request, runs int) {
	if req.err != nil {
		r.Failures[string(req.err.Code)]++
	}
	if runs > 1 && !req.idempotent {
		r.RanTwice++
	}
	switch {
	case !req.ended:
		r.Lost++
	case req.err == nil:
		r.Answered++
		if runs == 0 {
			r.Lost++
		}
	case req.err.Verdict == classifier.Ran:
		r.Answered++
	case req.err.Verdict == classifier.NotRun:
		r.RefusedNotRun++
		if runs > 0 {
			r.UntrueRefusals++
		}
	default:
		r.MayHaveRun++
	}
}

// Sound says whether nothing that must hold was broken.
func (r Result) Sound() bool {
	broken := r.Lost + r.RanTwice + r.UntrueRefusals + r.OverLimit + r.CrossedAnswers
	return broken == 0 && r.Submitted == r.Answered+r.RefusedNotRun+r.MayHaveRun
}

// Write prints the closing table.
func (r Result) Write(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	rows := []struct {
		name  string
		value any
	}{
		{"submitted", r.Submitted},
		{"answered", r.Answered},
		{"refused, not run", r.RefusedNotRun},
		{"may have run", r.MayHaveRun},
		{"lost", r.Lost},
		{"ran twice", r.RanTwice},
		{"untrue refusals", r.UntrueRefusals},
		{"starts over a limit", r.OverLimit},
		{"crossed answers", r.CrossedAnswers},
		{"share error", fmt.Sprintf("%.1f%%", 100*r.ShareError)},
		{"slots used under backlog", fmt.Sprintf("%.1f%%", 100*r.SlotsUsed)},
		{"urgent start, p99", time.Duration(r.UrgentStartP99) * time.Millisecond},
		{"configuration in force", time.Duration(r.ConfigInForce) * time.Millisecond},
		{"key withdrawn", time.Duration(r.KeyWithdrawn) * time.Millisecond},
		{"entries killed", r.EntriesKilled},
		{"store outage", time.Duration(r.StoreOutageTime) * time.Millisecond},
	}
	for _, row := range rows {
		if _, err := fmt.Fprintf(t, "%s\t%v\n", row.name, row.value); err != nil {
			return err
		}
	}
	return t.Flush()
}
