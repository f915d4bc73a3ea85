package operator

import (
	"context"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/collector"
	"github.com/coltsfootlever/coltsfootlever/mover"
	"github.com/coltsfootlever/coltsfootlever/reporter"
	"github.com/coltsfootlever/coltsfootlever/surveyor"
)

type (
	// Reports makes reports over all entries.
	Reports interface {
		Burn(ctx context.Context) (BurnReply, error)
		Share(ctx context.Context) (ShareReply, error)
		Fleet(ctx context.Context) (FleetReply, error)
	}

	// Coverage tells which entries a report is about.
	Coverage struct {
		Entries []string            `json:"entries"`           // that answered
		Missing []collector.Missing `json:"missing,omitempty"` // whose part the report lacks
	}

	// BurnReply tells how well the objectives of the rules are met.
	BurnReply struct {
		Coverage
		Short  time.Duration      `json:"short-ns"` // length of the short window
		Long   time.Duration      `json:"long-ns"`  // length of the long window
		Queues []reporter.BurnRow `json:"queues"`
	}

	// ShareReply tells how near each team comes to its share.
	ShareReply struct {
		Coverage
		Teams []reporter.ShareRow `json:"teams"`
	}

	// FleetReply tells what the fleet costs in instances that do no work, how
	// long the last roll-out took, and the moves.
	FleetReply struct {
		Coverage
		Watched string          `json:"watched-by"` // the entry that has watched longest
		Survey  surveyor.Survey `json:"survey"`
		Rollout *RolloutFigures `json:"rollout,omitempty"` // nil when there was none
	}

	// RolloutFigures are the figures of a roll-out.
	RolloutFigures struct {
		ID     string             `json:"id"`
		State  mover.RolloutState `json:"state"`
		Took   time.Duration      `json:"took-ns"` // until its end, or until now
		Total  int                `json:"total"`   // instances
		Done   int                `json:"done"`
		Failed int                `json:"failed"`
	}

	reportsNoun struct {
		reports Reports
	}
)

// FiguresOf returns the figures of a roll-out at a time, nil for none.
func FiguresOf(r mover.Rollout, now time.Time) *RolloutFigures {
	if r.ID == "" {
		return nil
	}
	if !r.Ended.IsZero() {
		now = r.Ended
	}
	return &RolloutFigures{
		ID:     r.ID,
		State:  r.State,
		Took:   now.Sub(r.Since),
		Total:  r.Total,
		Done:   r.Count(mover.StepDone),
		Failed: r.Count(mover.StepFailed),
	}
}

// ReportsNoun serves reports.
func ReportsNoun(r Reports) Noun {
	return reportsNoun{r}
}

// Routes implements Noun.
func (n reportsNoun) Routes() []Route {
	return []Route{
		{"GET /reports/burn", reading(n.reports.Burn)},
		{"GET /reports/share", reading(n.reports.Share)},
		{"GET /reports/fleet", reading(n.reports.Fleet)},
	}
}

func reading[T any](read func(context.Context) (T, error)) func(context.Context, *Request) (any, error) {
	return func(ctx context.Context, _ *Request) (any, error) {
		body, err := read(ctx)
		if err != nil {
			return nil, readFailed(err)
		}
		return body, nil
	}
}

// Burn returns the report on the objectives.
func (c *Client) Burn(ctx context.Context) (BurnReply, error) {
	var reply BurnReply
	err := c.Call(ctx, http.MethodGet, "/reports/burn", nil, &reply)
	return reply, errors.Trace(err)
}

// Share returns the report on the teams' shares.
func (c *Client) Share(ctx context.Context) (ShareReply, error) {
	var reply ShareReply
	err := c.Call(ctx, http.MethodGet, "/reports/share", nil, &reply)
	return reply, errors.Trace(err)
}

// Fleet returns the report on the fleet.
func (c *Client) Fleet(ctx context.Context) (FleetReply, error) {
	var reply FleetReply
	err := c.Call(ctx, http.MethodGet, "/reports/fleet", nil, &reply)
	return reply, errors.Trace(err)
}
