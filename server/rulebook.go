package server

import (
	"context"
	"time"

	"github.com/coltsfootlever/coltsfootlever/distributor"
	"github.com/coltsfootlever/coltsfootlever/operator"
	"github.com/coltsfootlever/coltsfootlever/parser"
	"github.com/coltsfootlever/coltsfootlever/recorder"
)

// recordingRuleStore is a rule store that writes the changes of teams that
// operators make to the journal of decisions.
type recordingRuleStore struct {
	operator.RuleStore
	journal func(recorder.Decision)
}

// Apply implements operator.RuleStore.
func (b recordingRuleStore) Apply(ctx context.Context, base uint64, text []byte, who string) (distributor.Applied, error) {
	start := time.Now()
	applied, err := b.RuleStore.Apply(ctx, base, text, who)
	return b.recordTeamChanges(applied, who, start), err
}

// AddKey implements operator.RuleStore.
func (b recordingRuleStore) AddKey(ctx context.Context, who string, key parser.Key) (distributor.Applied, error) {
	start := time.Now()
	applied, err := b.RuleStore.AddKey(ctx, who, key)
	return b.recordTeamChanges(applied, who, start), err
}

// WithdrawKey implements operator.RuleStore.
func (b recordingRuleStore) WithdrawKey(ctx context.Context, who, id string) (distributor.Applied, error) {
	start := time.Now()
	applied, err := b.RuleStore.WithdrawKey(ctx, who, id)
	return b.recordTeamChanges(applied, who, start), err
}

// recordTeamChanges records changes of teams in the journal. The decisions get the
// time at which the call started, since other entries act on the new rules before
// the call returns.
func (b recordingRuleStore) recordTeamChanges(applied distributor.Applied, who string, at time.Time) distributor.Applied {
	for _, d := range applied.Differences {
		if d.Kind != "team" {
			continue
		}
		b.journal(recorder.Decision{
			Time:    at,
			Kind:    recorder.Team,
			Subject: d.Name,
			Action:  "rule " + string(d.Action) + " by " + who,
			Facts:   nonEmptyFacts("before", d.Before, "after", d.After),
		})
	}
	return applied
}

// nonEmptyFacts returns facts from alternating names and values. It leaves out
// facts with an empty value.
func nonEmptyFacts(pairs ...string) []recorder.Fact {
	var all []recorder.Fact
	for n := 0; n+1 < len(pairs); n += 2 {
		if pairs[n+1] != "" {
			all = append(all, recorder.Fact{Name: pairs[n], Value: pairs[n+1]})
		}
	}
	return all
}
