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
	// Reports builds reports from the figures of all entries.
	Reports interface {
		BurnReport(ctx context.Context) (BurnReply, error)
		ShareReport(ctx context.Context) (ShareReply, error)
		FleetReport(ctx context.Context) (FleetReply, error)
	}

	// Coverage says which entries a report includes.
	Coverage struct {
		Entries []string            `json:"entries"`           // entries that the report includes
		Missing []collector.Missing `json:"missing,omitempty"` // entries that the report leaves out, and why
	}

	// BurnReply says how well the objectives of the rules are met.
	BurnReply struct {
		Coverage
		Short  time.Duration      `json:"short-ns"` // length of the short window
		Long   time.Duration      `json:"long-ns"`  // length of the long window
		Queues []reporter.BurnRow `json:"queues"`
	}

	// ShareReply says how close each team is to its share.
	ShareReply struct {
		Coverage
		Teams []reporter.ShareRow `json:"teams"`
	}

	// FleetReply holds the instance time that was out of service or held in
	// reserve, the moves between pools, and the figures of the last roll-out.
	FleetReply struct {
		Coverage
		WatchedBy string          `json:"watched-by"` // entry that made the survey: the one that has observed the fleet longest
		Survey    surveyor.Survey `json:"survey"`
		Rollout   *RolloutFigures `json:"rollout,omitempty"` // last roll-out; nil when there has been none
	}

	// RolloutFigures summarizes a roll-out.
	RolloutFigures struct {
		ID     string             `json:"id"`
		State  mover.RolloutState `json:"state"`
		Took   time.Duration      `json:"took-ns"` // time from the start to the end, or until now
		Total  int                `json:"total"`   // instances in the roll-out
		Done   int                `json:"done"`
		Failed int                `json:"failed"`
	}

	reportsResource struct {
		reports Reports
	}
)

// NewRolloutFigures summarizes a roll-out at the time now. It returns nil when
// there has been no roll-out.
func NewRolloutFigures(r mover.Rollout, now time.Time) *RolloutFigures {
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

// ReportsResource returns the resource for the reports.
func ReportsResource(r Reports) Resource {
	return reportsResource{r}
}

// Routes implements Resource.
func (res reportsResource) Routes() []Route {
	return []Route{
		{"GET /reports/burn", serveReport(res.reports.BurnReport)},
		{"GET /reports/share", serveReport(res.reports.ShareReport)},
		{"GET /reports/fleet", serveReport(res.reports.FleetReport)},
	}
}

// serveReport returns a handler that sends the result of read.
func serveReport[T any](read func(context.Context) (T, error)) func(context.Context, *Request) (any, error) {
	return func(ctx context.Context, _ *Request) (any, error) {
		body, err := read(ctx)
		if err != nil {
			return nil, classifyReadError(err)
		}
		return body, nil
	}
}

// BurnReport returns the report on the objectives of the queues.
func (c *Client) BurnReport(ctx context.Context) (BurnReply, error) {
	var reply BurnReply
	err := c.Call(ctx, http.MethodGet, "/reports/burn", nil, &reply)
	return reply, errors.Trace(err)
}

// ShareReport returns the report on the teams' shares.
func (c *Client) ShareReport(ctx context.Context) (ShareReply, error) {
	var reply ShareReply
	err := c.Call(ctx, http.MethodGet, "/reports/share", nil, &reply)
	return reply, errors.Trace(err)
}

// FleetReport returns the report on the fleet.
func (c *Client) FleetReport(ctx context.Context) (FleetReply, error) {
	var reply FleetReply
	err := c.Call(ctx, http.MethodGet, "/reports/fleet", nil, &reply)
	return reply, errors.Trace(err)
}
