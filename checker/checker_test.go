package checker_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/budgeter"
	"github.com/coltsfootlever/coltsfootlever/checker"
	"github.com/coltsfootlever/coltsfootlever/classifier"
	"github.com/coltsfootlever/coltsfootlever/distributor"
	"github.com/coltsfootlever/coltsfootlever/granter"
	"github.com/coltsfootlever/coltsfootlever/keeper"
	"github.com/coltsfootlever/coltsfootlever/mover"
	"github.com/coltsfootlever/coltsfootlever/parser"
)

const (
	hash  = "sha256:0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcde"
	first = `team leads customer kasal share 1 limit 2 # x
team zoo customer parks share 1 limit 2 # x
pool a move-limit 1m then undo # x
pool b move-limit 1m then undo # x
queue inquiries team leads service score pool a bound 9 # x
queue public team zoo open service cards pool b bound 9 # x
budget pool * max-absent 1 # x
key k1 team leads hash ` + hash + `1 # x
key k2 team zoo hash ` + hash + `2 # x
`
)

// bench feeds a checker and collects the invariants that fired.
type bench struct {
	*checker.Checker
	t        *testing.T
	now      time.Time
	revision int64
	rules    *parser.Rules
	fired    []checker.Invariant
	details  []string
}

func newBench(t *testing.T) *bench {
	b := &bench{t: t, now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), rules: &parser.Rules{}}
	b.Checker = checker.New(func(i checker.Invariant, detail string) {
		b.fired = append(b.fired, i)
		b.details = append(b.details, detail)
	})
	b.apply(first)
	b.account(2, 2, granter.Grant{Member: "e1.1", Held: 2})
	b.instance("w1", "a", mover.Serving)
	b.pass(time.Minute)
	b.request("r1")
	return b
}

func (b *bench) pass(d time.Duration) { b.now = b.now.Add(d) }

func (b *bench) put(key string, body any) {
	value, err := keeper.Encode(fmt.Sprint("op", b.revision), body)
	require.NoError(b.t, err)
	b.revision++
	b.Stored(keeper.Event{Record: keeper.Record{Key: key, Value: value, Revision: b.revision}}, b.now)
}

func (b *bench) apply(text string) {
	rules, err := parser.Parse("rules", strings.NewReader(text))
	require.NoError(b.t, err)
	number := b.rules.Number + 1
	b.change(number, parser.Diff(b.rules, rules))
	rules.Number = number
	b.rules = rules
}

func (b *bench) change(number uint64, differences []parser.Difference) {
	op := fmt.Sprint("op", b.revision)
	b.put(fmt.Sprintf("%s%012d", keeper.ChangePrefix, number), distributor.Change{Number: number, Op: op, Digest: "d", Differences: differences})
}

func (b *bench) account(limit, inForce int, grants ...granter.Grant) {
	b.put(keeper.LedgerPrefix+"leads", granter.Account{Team: "leads", Rules: 1, Limit: limit, InForce: inForce, Grants: grants})
}

func (b *bench) instance(id, pool string, phase mover.Phase) {
	order := &mover.Order{ID: "o"}
	if phase == mover.Serving {
		order = nil
	}
	b.put(keeper.InstancePrefix+id, mover.Instance{ID: id, Pool: pool, Phase: phase, Owner: "e1.1", Epoch: uint64(b.revision) + 1, Order: order})
}

func (b *bench) absent(ids ...string) {
	a := budgeter.Absences{Rules: 1}
	for _, id := range ids {
		a.List = append(a.List, budgeter.Absence{Instance: id, Pool: "a", Zone: "z", Rack: "r", Kind: budgeter.Planned, Order: "o"})
	}
	b.put(keeper.AbsencesKey, a)
}

func (b *bench) request(id string, change ...func(*checker.Request)) {
	r := checker.Request{ID: id, Job: id, Entry: "e1", Queue: "inquiries", Name: "n-" + id, Key: "k1", Want: []byte(id), At: b.now}
	for _, fn := range change {
		fn(&r)
	}
	b.Submitted(r)
}

func (b *bench) start(id string, change ...func(*checker.Execution)) checker.Execution {
	x := checker.Execution{Job: id, Task: "t-" + id, Attempt: 1, Instance: "w1", Owner: "e1.1", Team: "leads", Queue: "inquiries", Name: "n-" + id, Slots: 1, Start: b.now}
	for _, fn := range change {
		fn(&x)
	}
	b.Execution(x)
	return x
}

func (b *bench) done(x checker.Execution) {
	x.End, x.Outcome = b.now, checker.Done
	b.Execution(x)
}

func (b *bench) answer(id string, verdict classifier.Verdict, code classifier.Code, output string) {
	b.Answered(checker.Answer{Request: id, Verdict: verdict, Code: code, Output: []byte(output), At: b.now})
}

// repeat makes a request another submission of the first.
func repeat(r *checker.Request) { r.Job, r.Name, r.Want = "r1", "n-r1", []byte("r1") }

// key returns a change of a request's key.
func key(id string) func(*checker.Request) { return func(r *checker.Request) { r.Key = id } }

func TestQuietRunFiresNothing(t *testing.T) {
	b := newBench(t)
	x := b.start("r1")
	b.RulesInForce("e1.1", b.rules.Number, string(parser.Format(b.rules)), b.now)
	b.done(x)
	b.answer("r1", classifier.Ran, "", "r1")
	b.request("r2")
	b.answer("r2", classifier.NotRun, classifier.QueueFull, "")
	b.absent("w1")
	b.instance("w1", "a", mover.Draining)
	b.instance("w1", "a", mover.Drained)
	b.instance("w1", "b", mover.Serving)
	b.absent()
	b.apply(strings.Replace(first, "key k1", "key k9", 1))
	b.pass(checker.RulesBound)
	b.RulesInForce("e1.1", b.rules.Number, string(parser.Format(b.rules)), b.now)
	b.Tick(b.now)
	b.Finish()
	require.Empty(t, b.details)
}

// Each invariant fires on what breaks it.
func TestInvariantsFire(t *testing.T) {
	tests := []struct {
		name string
		want checker.Invariant
		run  func(b *bench)
	}{
		{"planned absence above its budget", checker.Budgets, func(b *bench) { b.absent("w1", "w2") }},
		{"drain without an absence", checker.Budgets, func(b *bench) { b.instance("w1", "a", mover.Draining) }},
		{"absence returned while drained", checker.Budgets, func(b *bench) {
			b.absent("w1")
			b.instance("w1", "a", mover.Drained)
			b.absent()
		}},
		{"pool changes under work", checker.OnePool, func(b *bench) {
			b.start("r1")
			b.instance("w1", "b", mover.Serving)
		}},
		{"start in another pool", checker.OnePool, func(b *bench) {
			b.instance("w1", "b", mover.Serving)
			b.start("r1")
		}},
		{"start by another than the owner", checker.OnePool, func(b *bench) {
			b.start("r1", func(x *checker.Execution) { x.Owner = "e2.1" })
		}},
		{"owner changes under work", checker.OnePool, func(b *bench) {
			b.start("r1")
			b.put(keeper.InstancePrefix+"w1", mover.Instance{ID: "w1", Pool: "a", Phase: mover.Serving, Owner: "e2.1", Epoch: 99})
		}},
		{"work without a key", checker.KeyTeam, func(b *bench) {
			b.request("r2", key(""))
			b.start("r2")
		}},
		{"key of another team", checker.KeyTeam, func(b *bench) {
			b.request("r2", key("k2"))
			b.start("r2")
		}},
		{"work counted for another team", checker.KeyTeam, func(b *bench) {
			b.put(keeper.LedgerPrefix+"zoo", granter.Account{Team: "zoo", Rules: 1, Limit: 2, InForce: 2})
			b.start("r1", func(x *checker.Execution) { x.Team = "zoo" })
		}},
		{"work that nobody asked for", checker.KeyTeam, func(b *bench) { b.start("r9") }},
		{"withdrawn key starts work", checker.WithdrawnKey, func(b *bench) {
			b.apply(strings.Replace(first, "key k1", "key k9", 1))
			b.pass(checker.RulesBound + time.Second)
			b.request("r2")
			b.start("r2")
		}},
		{"withdrawn key reads an answer", checker.WithdrawnKey, func(b *bench) {
			b.done(b.start("r1"))
			b.apply(strings.Replace(first, "key k1", "key k9", 1))
			b.pass(checker.RulesBound + time.Second)
			b.request("r2", repeat)
			b.answer("r2", classifier.Ran, "", "r1")
		}},
		{"more running than in force", checker.Limit, func(b *bench) {
			b.start("r1", func(x *checker.Execution) { x.Slots = 3 })
		}},
		{"more running than in force after a throttle", checker.Limit, func(b *bench) {
			b.start("r1", func(x *checker.Execution) { x.Slots = 2 })
			b.Throttled("w1", "t-r1")
			require.Empty(b.t, b.details)
			b.request("r2")
			b.start("r2", func(x *checker.Execution) { x.Slots = 2 })
		}},
		{"limit lowered under work", checker.Limit, func(b *bench) {
			b.start("r1")
			b.account(0, 0)
		}},
		{"grants above the limit in force", checker.Limit, func(b *bench) {
			b.account(2, 2, granter.Grant{Member: "e1.1", Held: 2}, granter.Grant{Member: "e2.1", Held: 1})
		}},
		{"limit in force above the rules", checker.Limit, func(b *bench) { b.account(3, 3) }},
		{"short answer", checker.WholeAnswer, func(b *bench) {
			b.done(b.start("r1"))
			b.answer("r1", classifier.Ran, "", "r")
		}},
		{"answer without a run", checker.WholeAnswer, func(b *bench) { b.answer("r1", classifier.Ran, "", "r1") }},
		{"no answer", checker.WholeAnswer, func(b *bench) { b.Finish() }},
		{"refused after its start", checker.TrueRefusal, func(b *bench) {
			b.start("r1")
			b.answer("r1", classifier.NotRun, classifier.Leaving, "")
		}},
		{"task started after its refusal", checker.TrueRefusal, func(b *bench) {
			b.request("r2", repeat)
			b.Answered(checker.Answer{Request: "r2", Task: "t-r2", Verdict: classifier.NotRun, Code: classifier.Leaving, At: b.now})
			b.start("r1", func(x *checker.Execution) { x.Task = "t-r2" })
		}},
		{"started after its refusal", checker.TrueRefusal, func(b *bench) {
			b.answer("r1", classifier.NotRun, classifier.QueueFull, "")
			b.start("r1")
		}},
		{"name refused after its start", checker.TrueRefusal, func(b *bench) {
			b.start("r1")
			b.request("r2", repeat)
			b.answer("r2", classifier.NotRun, classifier.DeadlineOver, "")
		}},
		{"name started twice", checker.AtMostOnce, func(b *bench) {
			b.done(b.start("r1"))
			b.request("r2", repeat)
			b.start("r1", func(x *checker.Execution) { x.Task = "t-r2" })
		}},
		{"task started twice", checker.AtMostOnce, func(b *bench) {
			b.done(b.start("r1"))
			b.start("r1", func(x *checker.Execution) { x.Attempt = 2 })
		}},
		{"start on a leaving instance", checker.Leaving, func(b *bench) {
			b.Listed(nil, b.now)
			b.pass(checker.LeavingBound + time.Second)
			b.start("r1")
		}},
		{"start on a draining instance", checker.Leaving, func(b *bench) {
			b.absent("w1")
			b.instance("w1", "a", mover.Draining)
			b.pass(checker.LeavingBound + time.Second)
			b.start("r1")
		}},
		{"request cut", checker.PlannedStop, func(b *bench) {
			b.Stopping("e1", b.now)
			b.Answered(checker.Answer{Request: "r1", Cut: true, At: b.now})
		}},
		{"doubt without a fault", checker.PlannedStop, func(b *bench) {
			b.answer("r1", classifier.MayHaveRun, classifier.Leaving, "")
		}},
		{"reboot under work", checker.PlannedStop, func(b *bench) {
			b.absent("w1")
			b.start("r1")
			b.instance("w1", "a", mover.Rebooting)
		}},
		{"change altered", checker.Configuration, func(b *bench) { b.change(1, parser.Diff(&parser.Rules{}, b.rules)) }},
		{"change left out", checker.Configuration, func(b *bench) { b.change(3, parser.Diff(b.rules, &parser.Rules{})) }},
		{"accepted without a change", checker.Configuration, func(b *bench) { b.Accepted(2) }},
		{"member goes back", checker.Configuration, func(b *bench) {
			old := b.rules.Number
			b.apply(strings.Replace(first, "limit 2", "limit 3", 1))
			b.RulesInForce("e1.1", b.rules.Number, string(parser.Format(b.rules)), b.now)
			b.RulesInForce("e1.1", old, "", b.now)
		}},
		{"member acts by other rules", checker.Configuration, func(b *bench) {
			b.RulesInForce("e1.1", 1, "other", b.now)
		}},
		{"ledger goes back", checker.Configuration, func(b *bench) {
			b.put(keeper.LedgerPrefix+"leads", granter.Account{Team: "leads"})
		}},
		{"rules late", checker.Configuration, func(b *bench) {
			b.RulesInForce("e1.1", b.rules.Number, string(parser.Format(b.rules)), b.now)
			b.apply(strings.Replace(first, "limit 2", "limit 3", 1))
			b.pass(checker.RulesBound + time.Second)
			b.Tick(b.now)
		}},
	}
	seen := map[checker.Invariant]bool{}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newBench(t)
			tt.run(b)
			require.Contains(t, b.fired, tt.want, "%q", b.details)
			seen[tt.want] = true
		})
	}
	require.Len(t, seen, 11, "every invariant has a test that makes it fire")
}

func TestFaultsSuspendBounds(t *testing.T) {
	b := newBench(t)
	b.RulesInForce("e1.1", b.rules.Number, string(parser.Format(b.rules)), b.now)
	b.Impaired("e1", b.now)
	b.apply(strings.Replace(first, "limit 2", "limit 3", 1))
	b.Listed(nil, b.now)
	b.pass(time.Hour)
	b.Tick(b.now)
	b.start("r1")
	b.answer("r1", classifier.MayHaveRun, classifier.WorkerLost, "")
	b.Recovered("e1", b.now)
	b.pass(checker.RulesBound)
	b.Tick(b.now)
	require.Empty(t, b.details)
	b.pass(time.Second)
	b.Tick(b.now)
	require.Equal(t, []checker.Invariant{checker.Configuration}, b.fired)
}
