package demonstrator

import (
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/coltsfootlever/coltsfootlever/classifier"
)

// Result is the measured result of a demonstration. The counts come from the
// emulated workers and from the callers.
type Result struct {
	Seed            uint64         `json:"seed"`
	Submitted       int            `json:"submitted"`
	Answered        int            `json:"answered"`
	RefusedNotRun   int            `json:"refused-not-run"`
	MayHaveRun      int            `json:"may-have-run"`
	Lost            int            `json:"lost"`                // requests that did not end, and requests answered with a result although no worker ran them
	RanTwice        int            `json:"ran-twice"`           // requests that are not idempotent and were started more than once
	UntrueRefusals  int            `json:"untrue-refusals"`     // requests refused as not run although a worker ran them
	OverLimit       int            `json:"over-limit"`          // task starts by which a team exceeded its slot limit
	CrossedAnswers  int            `json:"crossed-answers"`     // requests that received the answer to another request
	ShareError      float64        `json:"share-error"`         // largest relative deviation of a team with a backlog from its fair share
	SlotsUsed       float64        `json:"slots-used"`          // fraction of the slots in use in pools while at least two teams have a backlog
	UrgentStartP99  int64          `json:"urgent-start-p99-ms"` // 99th percentile of the time from sending an urgent request to its start
	ConfigInForce   int64          `json:"config-in-force-ms"`  // time until all entries applied the rules
	KeyWithdrawn    int64          `json:"key-withdrawn-ms"`    // time from the withdrawal of a key until all entries rejected it
	Failures        map[string]int `json:"failures"`            // number of failed requests by error code
	EntriesKilled   int            `json:"entries-killed"`
	StoreOutageTime int64          `json:"store-outage-ms"`
}

// result returns the counts of all requests. It must be called only after every
// caller has received its answer or stopped waiting.
func (t *tally) result() Result {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := Result{
		Submitted:      len(t.requests),
		OverLimit:      t.startsOverLimit,
		CrossedAnswers: t.crossedAnswers,
		ShareError:     t.maxShareError(),
		SlotsUsed:      t.slotUtilization(),
		UrgentStartP99: t.urgentStartP99().Milliseconds(),
		Failures:       make(map[string]int),
	}
	for name, req := range t.requests {
		r.addRequest(req, t.startCounts[name])
	}
	return r
}

// addRequest counts a request that was started on a worker the given number of
// times.
func (r *Result) addRequest(req *request, starts int) {
	if req.err != nil {
		r.Failures[string(req.err.Code)]++
	}
	if starts > 1 && !req.idempotent {
		r.RanTwice++
	}
	switch {
	case !req.ended:
		r.Lost++
	case req.err == nil:
		r.Answered++
		if starts == 0 {
			r.Lost++
		}
	case req.err.Verdict == classifier.Ran:
		r.Answered++
	case req.err.Verdict == classifier.NotRun:
		r.RefusedNotRun++
		if starts > 0 {
			r.UntrueRefusals++
		}
	default:
		r.MayHaveRun++
	}
}

// InvariantsHold reports whether no request was lost, no non-idempotent request
// ran twice, every refusal and answer was correct, no team exceeded its limit
// and every request is counted under exactly one outcome.
func (r Result) InvariantsHold() bool {
	violations := r.Lost + r.RanTwice + r.UntrueRefusals + r.OverLimit + r.CrossedAnswers
	return violations == 0 && r.Submitted == r.Answered+r.RefusedNotRun+r.MayHaveRun
}

// Write writes the result as a table of text.
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
