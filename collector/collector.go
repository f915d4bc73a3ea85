// Package collector combines what the individual entries know into one report for
// an operator.
package collector

import (
	"cmp"
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/classifier"
	"github.com/coltsfootlever/coltsfootlever/messenger"
	"github.com/coltsfootlever/coltsfootlever/registrar"
)

// DefaultTimeout is how long Collect waits for the other entries.
const DefaultTimeout = 2 * time.Second

type (
	// Peers requests reports from other entries. *messenger.Client implements it.
	Peers interface {
		FetchReport(ctx context.Context, address string, r messenger.ReportRequest) (messenger.ReportReply, error)
	}

	// Members returns the registered entries. *registrar.Registrar implements it.
	Members interface {
		View() registrar.View
		Self() registrar.Member
	}

	// Source returns what this entry knows about a subject. The value is encoded
	// as JSON.
	Source func(ctx context.Context, subject string) (any, error)

	// Collector answers the report requests of other entries and requests reports
	// from all entries.
	Collector struct {
		members Members
		peers   Peers
		timeout time.Duration
		mu      sync.RWMutex
		sources map[string]Source
	}

	// Option configures a Collector.
	Option func(*Collector)

	// Part is the report of one entry.
	Part[T any] struct {
		Entry string
		Body  T
	}

	// Missing is an entry that did not answer, so that the combined report is
	// incomplete.
	Missing struct {
		Entry  string `json:"entry"`
		Reason string `json:"reason"`
	}
)

// WithTimeout sets how long Collect waits for the other entries.
func WithTimeout(d time.Duration) Option {
	return func(c *Collector) { c.timeout = d }
}

// New returns a Collector without sources.
func New(members Members, peers Peers, opts ...Option) *Collector {
	c := &Collector{members: members, peers: peers, timeout: DefaultTimeout, sources: make(map[string]Source)}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// RegisterSource sets the source of reports of the given kind.
func (c *Collector) RegisterSource(kind string, s Source) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sources[kind] = s
}

// HandleReport answers a report request of another entry.
func (c *Collector) HandleReport(ctx context.Context, r messenger.ReportRequest) (messenger.ReportReply, error) {
	c.mu.RLock()
	source, ok := c.sources[r.Kind]
	c.mu.RUnlock()
	if !ok {
		return messenger.ReportReply{}, classifier.Refuse(classifier.NotFound, "no report of kind %q: this entry may be of another release", r.Kind)
	}
	body, err := source(ctx, r.Subject)
	if err != nil {
		return messenger.ReportReply{}, errors.Trace(err)
	}
	payload, err := json.Marshal(body)
	return messenger.ReportReply{Payload: payload}, errors.Trace(err)
}

// Collect requests a report from this entry and from all other registered entries
// concurrently. Both results are sorted by entry ID.
func Collect[T any](ctx context.Context, c *Collector, kind, subject string) ([]Part[T], []Missing) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	r := messenger.ReportRequest{Kind: kind, Subject: subject}
	self := c.members.Self()
	asked := append(c.members.View().Others(self.ID), self)
	slices.SortFunc(asked, func(a, b registrar.Member) int { return cmp.Compare(a.ID, b.ID) })

	bodies := make([]T, len(asked))
	failures := make([]error, len(asked))
	var wg sync.WaitGroup
	for n, m := range asked {
		wg.Go(func() { failures[n] = c.fetchReport(ctx, m, r, &bodies[n]) })
	}
	wg.Wait()

	var parts []Part[T]
	var missing []Missing
	for n, m := range asked {
		if err := failures[n]; err != nil {
			missing = append(missing, Missing{Entry: m.ID, Reason: classifier.As(err).Message})
			continue
		}
		parts = append(parts, Part[T]{Entry: m.ID, Body: bodies[n]})
	}
	return parts, missing
}

// fetchReport requests the report of an entry and decodes it into body.
func (c *Collector) fetchReport(ctx context.Context, m registrar.Member, r messenger.ReportRequest, body any) error {
	reply, err := c.requestReport(ctx, m, r)
	if err != nil {
		return errors.Trace(err)
	}
	return errors.Annotate(json.Unmarshal(reply.Payload, body), "reading the report")
}

// requestReport requests the report of an entry. For this entry it reads the source
// directly instead of sending a message.
func (c *Collector) requestReport(ctx context.Context, m registrar.Member, r messenger.ReportRequest) (messenger.ReportReply, error) {
	if m.ID == c.members.Self().ID {
		return c.HandleReport(ctx, r)
	}
	return c.peers.FetchReport(ctx, m.Address, r)
}
