// Package collector collects what each entry alone knows into the answer to an
// operator's question about all of them.
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

// DefaultTimeout is the time a peer has to answer.
const DefaultTimeout = 2 * time.Second

type (
	// Peers sends questions to other entries. *messenger.Client is one.
	Peers interface {
		Report(ctx context.Context, address string, r messenger.ReportRequest) (messenger.ReportReply, error)
	}

	// Members tells who is registered. *registrar.Registrar is one.
	Members interface {
		View() registrar.View
		Self() registrar.Member
	}

	// Source returns what this entry knows on a subject, as a value for JSON.
	Source func(ctx context.Context, subject string) (any, error)

	// Collector answers peers' questions and puts its own to all of them.
	Collector struct {
		members Members
		peers   Peers
		timeout time.Duration
		mu      sync.RWMutex
		sources map[string]Source
	}

	// Option changes a Collector under construction.
	Option func(*Collector)

	// Part is what one entry knows.
	Part[T any] struct {
		Entry string
		Body  T
	}

	// Missing is an entry that did not answer, so that a report lacks what it
	// knows.
	Missing struct {
		Entry  string `json:"entry"`
		Reason string `json:"reason"`
	}
)

// WithTimeout sets the time a peer has to answer.
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

// RegisterSource lets this entry and its peers ask for reports of a kind.
func (c *Collector) RegisterSource(kind string, s Source) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sources[kind] = s
}

// HandleReport answers a peer's question.
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

// Collect asks this entry and all other registered ones at once. The parts and
// the missing entries are ordered by identity.
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
		wg.Go(func() { failures[n] = c.report(ctx, m, r, &bodies[n]) })
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

func (c *Collector) report(ctx context.Context, m registrar.Member, r messenger.ReportRequest, body any) error {
	reply, err := c.request(ctx, m, r)
	if err != nil {
		return errors.Trace(err)
	}
	return errors.Annotate(json.Unmarshal(reply.Payload, body), "reading the report")
}

// request asks this entry without a message.
func (c *Collector) request(ctx context.Context, m registrar.Member, r messenger.ReportRequest) (messenger.ReportReply, error) {
	if m.ID == c.members.Self().ID {
		return c.HandleReport(ctx, r)
	}
	return c.peers.Report(ctx, m.Address, r)
}
