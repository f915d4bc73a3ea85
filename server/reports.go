package server

import (
	"context"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/admitter"
	"github.com/coltsfootlever/coltsfootlever/classifier"
	"github.com/coltsfootlever/coltsfootlever/collector"
	"github.com/coltsfootlever/coltsfootlever/messenger"
	"github.com/coltsfootlever/coltsfootlever/operator"
	"github.com/coltsfootlever/coltsfootlever/parser"
	"github.com/coltsfootlever/coltsfootlever/recorder"
	"github.com/coltsfootlever/coltsfootlever/reporter"
	"github.com/coltsfootlever/coltsfootlever/surveyor"
)

// Kinds of reports that entries request from each other.
const (
	journalReport = "journal" // the request's subject is KIND/ID of what the decisions are about
	burnReport    = "burn"
	loadReport    = "load"
	surveyReport  = "survey"
	zonesReport   = "zones" // the request's subject is the number of a record of evacuated zones that exists
)

const (
	storeJournalTimeout = 3 * time.Second // for reading the journal in the key-value service
	// storeJournalName names the journal in the key-value service in the list of
	// sources that did not answer.
	storeJournalName = "the key-value service"
)

// reports builds reports from the data of all entries.
type reports struct{ e *Entry }

// offerLocalReports lets other entries request the data that only this entry has.
func (e *Entry) offerLocalReports() {
	e.reports.RegisterSource(journalReport, func(_ context.Context, subject string) (any, error) {
		kind, id, _ := strings.Cut(subject, "/")
		return e.decisions.LocalDecisions(recorder.Kind(kind), id), nil
	})
	e.reports.RegisterSource(burnReport, func(context.Context, string) (any, error) {
		return e.objectives.Counts(time.Now()), nil
	})
	e.reports.RegisterSource(loadReport, func(context.Context, string) (any, error) {
		loads := e.placer.Loads()
		return messenger.Heartbeat{From: e.self().ID, Pools: loads.Pools, Teams: loads.Teams}, nil
	})
	e.reports.RegisterSource(surveyReport, func(context.Context, string) (any, error) {
		return e.survey.Survey(), nil
	})
	e.reports.RegisterSource(zonesReport, e.reportZones)
}

// recordRequestEnd counts the end of a request in the metrics and for the latency
// objectives.
func (e *Entry) recordRequestEnd(end admitter.RequestEnd) {
	e.metrics.recordRequestEnd(end)
	if end.Err == nil {
		e.objectives.RecordAnswer(time.Now(), end.Queue, end.Took, nil)
		return
	}
	e.objectives.RecordAnswer(time.Now(), end.Queue, end.Took, end.Err)
}

// setLatencyObjectives sets the time within which each queue's answers count as
// good.
func (e *Entry) setLatencyObjectives(rules *parser.Rules) {
	within := make(map[string]time.Duration, len(rules.Objectives))
	for _, o := range rules.Objectives {
		within[o.Queue] = o.Within
	}
	e.objectives.SetObjectives(within)
}

// Explain implements operator.Explainer. It returns the decisions about a subject
// that all entries and the key-value service have in their journals.
func (r reports) Explain(ctx context.Context, kind recorder.Kind, subject string) (operator.Explanation, error) {
	parts, missing := collector.Collect[[]recorder.Decision](ctx, r.e.reports, journalReport, string(kind)+"/"+subject)
	storeCtx, cancel := context.WithTimeout(ctx, storeJournalTimeout)
	defer cancel()
	all, err := r.e.decisions.Decisions(storeCtx, kind, subject)
	if err != nil {
		missing = append(missing, collector.Missing{Entry: storeJournalName, Reason: err.Error()})
	}
	for _, p := range parts {
		all = recorder.Merge(all, p.Body)
	}
	if kind == recorder.Job {
		missing = append(missing, r.missingMember(subject)...)
	}
	return operator.Explanation{Kind: kind, Subject: subject, Decisions: all, Missing: missing}, nil
}

// missingMember returns the entry that accepted the job if it is no longer
// registered, since its decisions cannot be read.
func (r reports) missingMember(job string) []collector.Missing {
	_, member, named := strings.Cut(job, "@")
	if _, ok := r.e.members.View().Member(member); ok || !named {
		return nil
	}
	return []collector.Missing{{Entry: member, Reason: "it is no longer registered"}}
}

// rulesInForce returns the rules, or an error if this entry has none yet.
func (r reports) rulesInForce() (*parser.Rules, error) {
	rules := r.e.rules.Rules()
	if rules == nil {
		return nil, classifier.Refuse(classifier.Unready, "this entry has no rules yet: rules apply puts the first ones in force")
	}
	return rules, nil
}

// BurnReport implements operator.Reports. It reports how fast each queue uses up the
// error budget of its latency objective.
func (r reports) BurnReport(ctx context.Context) (operator.BurnReply, error) {
	rules, err := r.rulesInForce()
	if err != nil {
		return operator.BurnReply{}, err
	}
	parts, missing := collector.Collect[[]reporter.QueueCount](ctx, r.e.reports, burnReport, "")
	entries, counts := splitParts(parts)
	return operator.BurnReply{
		Coverage: operator.Coverage{Entries: entries, Missing: missing},
		Short:    reporter.ShortWindow,
		Long:     reporter.LongWindow,
		Queues:   reporter.BurnReport(rules.Objectives, reporter.MergeCounts(counts...)),
	}, nil
}

// ShareReport implements operator.Reports. It compares the slots that each team uses
// with its fair share.
func (r reports) ShareReport(ctx context.Context) (operator.ShareReply, error) {
	rules, err := r.rulesInForce()
	if err != nil {
		return operator.ShareReply{}, err
	}
	parts, missing := collector.Collect[messenger.Heartbeat](ctx, r.e.reports, loadReport, "")
	entries, loads := splitParts(parts)
	return operator.ShareReply{
		Coverage: operator.Coverage{Entries: entries, Missing: missing},
		Teams:    reporter.ShareReport(rules, loads),
	}, nil
}

// FleetReport implements operator.Reports. It reports the roll-out of maintenance and
// the changes of the pools. The changes are those seen by the entry that has
// observed the pools for the longest time.
func (r reports) FleetReport(ctx context.Context) (operator.FleetReply, error) {
	rollout, err := r.e.orders.Rollout(ctx)
	if err != nil {
		return operator.FleetReply{}, errors.Trace(err)
	}
	parts, missing := collector.Collect[surveyor.Survey](ctx, r.e.reports, surveyReport, "")
	entries, _ := splitParts(parts)
	reply := operator.FleetReply{
		Coverage: operator.Coverage{Entries: entries, Missing: missing},
		Rollout:  operator.NewRolloutFigures(rollout, time.Now()),
	}
	for _, p := range parts {
		if reply.WatchedBy == "" || p.Body.Since.Before(reply.Survey.Since) {
			reply.WatchedBy, reply.Survey = p.Entry, p.Body
		}
	}
	return reply, nil
}

// splitParts returns the names of the entries that answered, and their answers.
func splitParts[T any](parts []collector.Part[T]) ([]string, []T) {
	entries := make([]string, 0, len(parts))
	bodies := make([]T, 0, len(parts))
	for _, p := range parts {
		entries = append(entries, p.Entry)
		bodies = append(bodies, p.Body)
	}
	return entries, bodies
}
