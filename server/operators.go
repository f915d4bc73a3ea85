package server

import (
	"context"
	"net/http"

	"github.com/coltsfootlever/coltsfootlever/budgeter"
	"github.com/coltsfootlever/coltsfootlever/distributor"
	"github.com/coltsfootlever/coltsfootlever/operator"
	"github.com/coltsfootlever/coltsfootlever/registrar"
)

// countedAbsences makes the absences of evacuated zones part of those that
// operators see.
type countedAbsences struct{ *budgeter.Budgeter }

// Absences implements operator.Absences.
func (a countedAbsences) Absences(ctx context.Context) (budgeter.Absences, error) {
	return a.CountedAbsences(ctx)
}

// Operators returns the handler of the HTTP interface for operators.
func (e *Entry) Operators() http.Handler {
	opts := []operator.Option{operator.WithLog(e.cfg.Log), operator.WithReadinessCheck(e.freshness.check), operator.WithBudget(e.newBudget(operatorMemoryShare))}
	if e.cfg.OperatorHash != "" {
		opts = append(opts, operator.WithBootstrapHash(e.cfg.OperatorHash))
	}
	h := operator.New(e.rules, opts...)
	book := recordingRuleStore{e.rules, e.decisions.Record}
	h.Register(
		operator.RulesResource(book),
		operator.KeysResource(book),
		operator.TeamsResource(e.rules, e.teamUse),
		operator.StatusResource(e.Status),
		operator.PoolsResource(e.rules, e.orders, countedAbsences{e.budgets}),
		operator.InstancesResource(e.orders),
		operator.ZonesResource(zones{e}),
		operator.EntriesResource(e.members),
		operator.MaintenanceResource(e.orders),
		operator.ExplainResource(reports{e}),
		operator.ReportsResource(reports{e}),
	)
	return h
}

// teamUse returns the team's limit in force and the slots that the team uses on
// all entries according to their latest heartbeats.
func (e *Entry) teamUse(team string) operator.TeamUsage {
	use := operator.TeamUsage{}
	use.InForce, _ = e.grants.LimitInForce(team)
	for _, hb := range e.heartbeats.current() {
		for _, l := range hb.Teams {
			if l.Team == team {
				use.Running += l.Running
			}
		}
	}
	return use
}

// Status returns the state of this entry, and of its peers as this entry knows it.
func (e *Entry) Status() operator.Status {
	view := e.members.View()
	status := operator.Status{
		Entry:    e.self().ID,
		Zone:     e.cfg.Zone,
		Standing: e.members.Connectivity().String(),
		Store:    e.members.Connectivity() == registrar.Connected,
		Rules:    e.rules.RulesNumber(),
		View:     view.Number,
	}
	rules := make(map[string]uint64)
	for _, hb := range e.heartbeats.current() {
		rules[hb.From] = hb.Rules
	}
	for _, m := range view.Members {
		status.Members = append(status.Members, operator.MemberStatus{
			ID:      m.ID,
			Zone:    m.Zone,
			Address: m.Address,
			State:   string(m.State),
			Rules:   rules[m.ID],
		})
	}
	for _, l := range e.placer.Loads().Pools {
		status.Pools = append(status.Pools, operator.PoolStatus{Pool: l.Pool, Slots: l.Slots, Running: l.Running, Waiting: l.Waiting})
	}
	return status
}

// ApplyRules puts the rules in text in force on all entries; see
// distributor.Distributor.Apply.
func (e *Entry) ApplyRules(ctx context.Context, base uint64, text []byte, who string) (distributor.Applied, error) {
	return e.rules.Apply(ctx, base, text, who)
}

// WithdrawKey removes the key with the ID from the rules on all entries.
func (e *Entry) WithdrawKey(ctx context.Context, who, id string) (distributor.Applied, error) {
	return e.rules.WithdrawKey(ctx, who, id)
}

// Members returns the registered members as this entry knows them.
func (e *Entry) Members() []registrar.Member {
	return e.members.View().Members
}

// OwnedSlots returns the total slots of the workers that this entry owns and that
// accept tasks.
func (e *Entry) OwnedSlots() int {
	total := 0
	for _, l := range e.fleet.Loads() {
		total += l.Slots
	}
	return total
}

// GrantedSlots returns how many slots this entry may use for the team.
func (e *Entry) GrantedSlots(team string) int {
	return e.slotQuota.Ceiling(team)
}
