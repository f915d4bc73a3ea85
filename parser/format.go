package parser

import (
	"bytes"
	"fmt"
	"math"
	"sort"
	"strconv"
	"strings"
	"time"
)

// formattedRule is one rule in canonical form. Its kind and name identify it.
type formattedRule struct {
	kind string
	name string
	text string
}

// Format returns the rules in canonical form: one space between words, kinds in
// a fixed order, rules of a kind sorted by name. Parse accepts the result.
func Format(r *Rules) []byte {
	var b bytes.Buffer
	for _, e := range formatAll(r) {
		b.WriteString(e.text)
		b.WriteByte('\n')
	}
	return b.Bytes()
}

// Sorted returns a copy of the rules in the order of Format.
func Sorted(r *Rules) *Rules {
	return &Rules{
		Number:     r.Number,
		Teams:      sortedByName(r.Teams, func(t Team) string { return t.Name }),
		Queues:     sortedByName(r.Queues, func(q Queue) string { return q.Name }),
		Pools:      sortedByName(r.Pools, func(p Pool) string { return p.Name }),
		Keys:       sortedByName(r.Keys, func(k Key) string { return k.ID }),
		Budgets:    sortedByName(r.Budgets, budgetName),
		Objectives: sortedByName(r.Objectives, func(o Objective) string { return o.Queue }),
	}
}

func sortedByName[T any](rules []T, name func(T) string) []T {
	copied := append([]T(nil), rules...)
	sort.SliceStable(copied, func(i, j int) bool { return name(copied[i]) < name(copied[j]) })
	return copied
}

// formatAll returns the rules in canonical form and order.
func formatAll(r *Rules) []formattedRule {
	r = Sorted(r)
	var all []formattedRule
	for _, p := range r.Pools {
		all = append(all, formattedRule{poolKind, p.Name, p.String()})
	}
	for _, t := range r.Teams {
		all = append(all, formattedRule{teamKind, t.Name, t.String()})
	}
	for _, q := range r.Queues {
		all = append(all, formattedRule{queueKind, q.Name, q.String()})
	}
	for _, o := range r.Objectives {
		all = append(all, formattedRule{objectiveKind, o.Queue, o.String()})
	}
	for _, b := range r.Budgets {
		all = append(all, formattedRule{budgetKind, budgetName(b), b.String()})
	}
	for _, k := range r.Keys {
		all = append(all, formattedRule{keyKind, k.ID, k.String()})
	}
	return all
}

func budgetName(b Budget) string {
	return string(b.Scope) + " " + b.Name
}

// String returns the rule in canonical form.
func (t Team) String() string {
	return fmt.Sprintf("team %s customer %s share %d limit %d # %s", t.Name, t.Customer, t.Share, t.Limit, t.Comment)
}

// String returns the rule in canonical form.
func (q Queue) String() string {
	open := ""
	if q.Open {
		open = " open"
	}
	return fmt.Sprintf("queue %s team %s%s service %s pool %s bound %d # %s",
		q.Name, q.Team, open, q.Service, q.Pool, q.Bound, q.Comment)
}

// String returns the rule in canonical form.
func (p Pool) String() string {
	var b strings.Builder
	b.WriteString("pool " + p.Name)
	if p.Spare {
		b.WriteString(" spare")
	}
	if p.MoveLimit != 0 || p.OnMoveTimeout != "" {
		fmt.Fprintf(&b, " move-limit %s then %s", formatDuration(p.MoveLimit), p.OnMoveTimeout)
	}
	b.WriteString(" # " + p.Comment)
	return b.String()
}

// String returns the rule in canonical form.
func (k Key) String() string {
	holder := "operator"
	if !k.Operator {
		holder = "team " + k.Team
	}
	return fmt.Sprintf("key %s %s hash %s # %s", k.ID, holder, k.Hash, k.Comment)
}

// String returns the rule in canonical form.
func (b Budget) String() string {
	return fmt.Sprintf("budget %s %s max-absent %d # %s", b.Scope, b.Name, b.MaxAbsent, b.Comment)
}

// String returns the rule in canonical form.
func (o Objective) String() string {
	return fmt.Sprintf("objective %s within %s target %s%% # %s",
		o.Queue, formatDuration(o.Within), formatPercent(o.Target), o.Comment)
}

// formatDuration formats a duration without trailing zero units, such as 10m
// instead of 10m0s.
func formatDuration(d time.Duration) string {
	s := d.String()
	if strings.HasSuffix(s, "m0s") {
		s = strings.TrimSuffix(s, "0s")
	}
	if strings.HasSuffix(s, "h0m") {
		s = strings.TrimSuffix(s, "0m")
	}
	return s
}

// formatPercent formats a fraction as a percentage with at most 4 decimals,
// without the percent sign.
func formatPercent(fraction float64) string {
	const decimals = 1e4
	p := math.Round(fraction*100*decimals) / decimals
	return strconv.FormatFloat(p, 'f', -1, 64)
}
