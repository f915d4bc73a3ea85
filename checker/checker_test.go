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
	hash         = "sha256:0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcde"
	initialRules = `team leads customer kasal share 1 limit 2 # x
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

// fixture reports events to a checker and collects the broken invariants.
type fixture struct {
	*checker.Checker
	t        *testing.T
	now      time.Time
	revision int64
	rules    *parser.Rules
	breached []checker.Invariant
	details  []string
}

func newFixture(t *testing.T) *fixture {
	b := &fixture{t: t, now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), rules: &parser.Rules{}}
	b.Checker = checker.New(func(i checker.Invariant, detail string) {
		b.breached = append(b.breached, i)
		b.details = append(b.details, detail)
	})
	b.applyRules(initialRules)
	b.storeAccount(2, 2, granter.Grant{Member: "e1.1", Held: 2})
	b.storeInstance("w1", "a", mover.Serving)
	b.advance(time.Minute)
	b.submit("r1")
	return b
}

func (b *fixture) advance(d time.Duration) { b.now = b.now.Add(d) }

func (b *fixture) storeRecord(key string, body any) {
	value, err := keeper.Encode(fmt.Sprint("op", b.revision), body)
	require.NoError(b.t, err)
	b.revision++
	b.StoreChanged(keeper.Event{Record: keeper.Record{Key: key, Value: value, Revision: b.revision}}, b.now)
}

func (b *fixture) applyRules(text string) {
	rules, err := parser.Parse("rules", strings.NewReader(text))
	require.NoError(b.t, err)
	number := b.rules.Number + 1
	b.storeRuleChange(number, parser.Diff(b.rules, rules))
	rules.Number = number
	b.rules = rules
}

func (b *fixture) storeRuleChange(number uint64, differences []parser.Difference) {
	op := fmt.Sprint("op", b.revision)
	b.storeRecord(fmt.Sprintf("%s%012d", keeper.ChangePrefix, number), distributor.Change{Number: number, Op: op, Digest: "d", Differences: differences})
}

func (b *fixture) storeAccount(limit, inForce int, grants ...granter.Grant) {
	b.storeRecord(keeper.LedgerPrefix+"leads", granter.Account{Team: "leads", Rules: 1, Limit: limit, InForce: inForce, Grants: grants})
}

func (b *fixture) storeInstance(id, pool string, phase mover.Phase) {
	order := &mover.Order{ID: "o"}
	if phase == mover.Serving {
		order = nil
	}
	b.storeRecord(keeper.InstancePrefix+id, mover.Instance{ID: id, Pool: pool, Phase: phase, Owner: "e1.1", Epoch: uint64(b.revision) + 1, Order: order})
}

func (b *fixture) storeAbsences(ids ...string) {
	a := budgeter.Absences{Rules: 1}
	for _, id := range ids {
		a.List = append(a.List, budgeter.Absence{Instance: id, Pool: "a", Zone: "z", Rack: "r", Kind: budgeter.Planned, Order: "o"})
	}
	b.storeRecord(keeper.AbsencesKey, a)
}

func (b *fixture) submit(id string, change ...func(*checker.Request)) {
	r := checker.Request{ID: id, Job: id, Entry: "e1", Queue: "inquiries", Name: "n-" + id, Key: "k1", ExpectedOutput: []byte(id), At: b.now}
	for _, fn := range change {
		fn(&r)
	}
	b.RequestSubmitted(r)
}

func (b *fixture) startTask(id string, change ...func(*checker.Execution)) checker.Execution {
	x := checker.Execution{Job: id, Task: "t-" + id, Attempt: 1, Instance: "w1", Owner: "e1.1", Team: "leads", Queue: "inquiries", Name: "n-" + id, Slots: 1, Start: b.now}
	for _, fn := range change {
		fn(&x)
	}
	b.ExecutionObserved(x)
	return x
}

func (b *fixture) completeTask(x checker.Execution) {
	x.End, x.Outcome = b.now, checker.Done
	b.ExecutionObserved(x)
}

func (b *fixture) answer(id string, verdict classifier.Verdict, code classifier.Code, output string) {
	b.RequestAnswered(checker.Answer{Request: id, Verdict: verdict, Code: code, Output: []byte(output), At: b.now})
}

// sameJobAsR1 makes a request another submission of the job of request r1.
func sameJobAsR1(r *checker.Request) { r.Job, r.Name, r.ExpectedOutput = "r1", "n-r1", []byte("r1") }

// withKey returns a function that sets the API key of a request.
func withKey(id string) func(*checker.Request) { return func(r *checker.Request) { r.Key = id } }

func TestCorrectRunHasNoBreach(t *testing.T) {
	b := newFixture(t)
	x := b.startTask("r1")
	b.RulesApplied("e1.1", b.rules.Number, string(parser.Format(b.rules)), b.now)
	b.completeTask(x)
	b.answer("r1", classifier.Ran, "", "r1")
	b.submit("r2")
	b.answer("r2", classifier.NotRun, classifier.QueueFull, "")
	b.storeAbsences("w1")
	b.storeInstance("w1", "a", mover.Draining)
	b.storeInstance("w1", "a", mover.Drained)
	b.storeInstance("w1", "b", mover.Serving)
	b.storeAbsences()
	b.applyRules(strings.Replace(initialRules, "key k1", "key k9", 1))
	b.advance(checker.RulesTimeLimit)
	b.RulesApplied("e1.1", b.rules.Number, string(parser.Format(b.rules)), b.now)
	b.CheckTimeLimits(b.now)
	b.Finish()
	require.Empty(t, b.details)
}

// Each case breaks one invariant, and the checker must report it.
func TestBreachOfEachInvariantIsReported(t *testing.T) {
	tests := []struct {
		name string
		want checker.Invariant
		run  func(b *fixture)
	}{
		{"planned absence above its budget", checker.Budgets, func(b *fixture) { b.storeAbsences("w1", "w2") }},
		{"drain without an absence", checker.Budgets, func(b *fixture) { b.storeInstance("w1", "a", mover.Draining) }},
		{"absence returned while drained", checker.Budgets, func(b *fixture) {
			b.storeAbsences("w1")
			b.storeInstance("w1", "a", mover.Drained)
			b.storeAbsences()
		}},
		{"pool changes while a task runs", checker.OnePool, func(b *fixture) {
			b.startTask("r1")
			b.storeInstance("w1", "b", mover.Serving)
		}},
		{"start in another pool", checker.OnePool, func(b *fixture) {
			b.storeInstance("w1", "b", mover.Serving)
			b.startTask("r1")
		}},
		{"start by a member that is not the owner", checker.OnePool, func(b *fixture) {
			b.startTask("r1", func(x *checker.Execution) { x.Owner = "e2.1" })
		}},
		{"owner changes while a task runs", checker.OnePool, func(b *fixture) {
			b.startTask("r1")
			b.storeRecord(keeper.InstancePrefix+"w1", mover.Instance{ID: "w1", Pool: "a", Phase: mover.Serving, Owner: "e2.1", Epoch: 99})
		}},
		{"task without a key", checker.KeyTeam, func(b *fixture) {
			b.submit("r2", withKey(""))
			b.startTask("r2")
		}},
		{"key of another team", checker.KeyTeam, func(b *fixture) {
			b.submit("r2", withKey("k2"))
			b.startTask("r2")
		}},
		{"task counted for another team", checker.KeyTeam, func(b *fixture) {
			b.storeRecord(keeper.LedgerPrefix+"zoo", granter.Account{Team: "zoo", Rules: 1, Limit: 2, InForce: 2})
			b.startTask("r1", func(x *checker.Execution) { x.Team = "zoo" })
		}},
		{"task without a request", checker.KeyTeam, func(b *fixture) { b.startTask("r9") }},
		{"withdrawn key starts a task", checker.WithdrawnKey, func(b *fixture) {
			b.applyRules(strings.Replace(initialRules, "key k1", "key k9", 1))
			b.advance(checker.RulesTimeLimit + time.Second)
			b.submit("r2")
			b.startTask("r2")
		}},
		{"withdrawn key reads an answer", checker.WithdrawnKey, func(b *fixture) {
			b.completeTask(b.startTask("r1"))
			b.applyRules(strings.Replace(initialRules, "key k1", "key k9", 1))
			b.advance(checker.RulesTimeLimit + time.Second)
			b.submit("r2", sameJobAsR1)
			b.answer("r2", classifier.Ran, "", "r1")
		}},
		{"more slots running than the limit in force", checker.Limit, func(b *fixture) {
			b.startTask("r1", func(x *checker.Execution) { x.Slots = 3 })
		}},
		{"more slots running than the limit in force after a throttle", checker.Limit, func(b *fixture) {
			b.startTask("r1", func(x *checker.Execution) { x.Slots = 2 })
			b.TaskThrottled("w1", "t-r1")
			require.Empty(b.t, b.details)
			b.submit("r2")
			b.startTask("r2", func(x *checker.Execution) { x.Slots = 2 })
		}},
		{"limit in force lowered below the running slots", checker.Limit, func(b *fixture) {
			b.startTask("r1")
			b.storeAccount(0, 0)
		}},
		{"grants above the limit in force", checker.Limit, func(b *fixture) {
			b.storeAccount(2, 2, granter.Grant{Member: "e1.1", Held: 2}, granter.Grant{Member: "e2.1", Held: 1})
		}},
		{"limit in force above the rules", checker.Limit, func(b *fixture) { b.storeAccount(3, 3) }},
		{"truncated answer", checker.WholeAnswer, func(b *fixture) {
			b.completeTask(b.startTask("r1"))
			b.answer("r1", classifier.Ran, "", "r")
		}},
		{"answer without a run", checker.WholeAnswer, func(b *fixture) { b.answer("r1", classifier.Ran, "", "r1") }},
		{"no answer", checker.WholeAnswer, func(b *fixture) { b.Finish() }},
		{"refused after its start", checker.TrueRefusal, func(b *fixture) {
			b.startTask("r1")
			b.answer("r1", classifier.NotRun, classifier.Leaving, "")
		}},
		{"task started after its refusal", checker.TrueRefusal, func(b *fixture) {
			b.submit("r2", sameJobAsR1)
			b.RequestAnswered(checker.Answer{Request: "r2", Task: "t-r2", Verdict: classifier.NotRun, Code: classifier.Leaving, At: b.now})
			b.startTask("r1", func(x *checker.Execution) { x.Task = "t-r2" })
		}},
		{"started after its refusal", checker.TrueRefusal, func(b *fixture) {
			b.answer("r1", classifier.NotRun, classifier.QueueFull, "")
			b.startTask("r1")
		}},
		{"name refused after its start", checker.TrueRefusal, func(b *fixture) {
			b.startTask("r1")
			b.submit("r2", sameJobAsR1)
			b.answer("r2", classifier.NotRun, classifier.DeadlineOver, "")
		}},
		{"name started twice", checker.AtMostOnce, func(b *fixture) {
			b.completeTask(b.startTask("r1"))
			b.submit("r2", sameJobAsR1)
			b.startTask("r1", func(x *checker.Execution) { x.Task = "t-r2" })
		}},
		{"task started twice", checker.AtMostOnce, func(b *fixture) {
			b.completeTask(b.startTask("r1"))
			b.startTask("r1", func(x *checker.Execution) { x.Attempt = 2 })
		}},
		{"start on a leaving instance", checker.Leaving, func(b *fixture) {
			b.InstancesListed(nil, b.now)
			b.advance(checker.LeavingTimeLimit + time.Second)
			b.startTask("r1")
		}},
		{"start on a draining instance", checker.Leaving, func(b *fixture) {
			b.storeAbsences("w1")
			b.storeInstance("w1", "a", mover.Draining)
			b.advance(checker.LeavingTimeLimit + time.Second)
			b.startTask("r1")
		}},
		{"connection broken by a planned stop", checker.PlannedStop, func(b *fixture) {
			b.EntryStopping("e1", b.now)
			b.RequestAnswered(checker.Answer{Request: "r1", ConnectionBroken: true, At: b.now})
		}},
		{"unknown outcome without a fault", checker.PlannedStop, func(b *fixture) {
			b.answer("r1", classifier.MayHaveRun, classifier.Leaving, "")
		}},
		{"reboot while a task runs", checker.PlannedStop, func(b *fixture) {
			b.storeAbsences("w1")
			b.startTask("r1")
			b.storeInstance("w1", "a", mover.Rebooting)
		}},
		{"change overwritten", checker.Configuration, func(b *fixture) { b.storeRuleChange(1, parser.Diff(&parser.Rules{}, b.rules)) }},
		{"change left out", checker.Configuration, func(b *fixture) { b.storeRuleChange(3, parser.Diff(b.rules, &parser.Rules{})) }},
		{"accepted without a change", checker.Configuration, func(b *fixture) { b.RulesAccepted(2) }},
		{"member reverts to older rules", checker.Configuration, func(b *fixture) {
			old := b.rules.Number
			b.applyRules(strings.Replace(initialRules, "limit 2", "limit 3", 1))
			b.RulesApplied("e1.1", b.rules.Number, string(parser.Format(b.rules)), b.now)
			b.RulesApplied("e1.1", old, "", b.now)
		}},
		{"member applies rules with another text", checker.Configuration, func(b *fixture) {
			b.RulesApplied("e1.1", 1, "other", b.now)
		}},
		{"ledger reverts to older rules", checker.Configuration, func(b *fixture) {
			b.storeRecord(keeper.LedgerPrefix+"leads", granter.Account{Team: "leads"})
		}},
		{"rules applied too late", checker.Configuration, func(b *fixture) {
			b.RulesApplied("e1.1", b.rules.Number, string(parser.Format(b.rules)), b.now)
			b.applyRules(strings.Replace(initialRules, "limit 2", "limit 3", 1))
			b.advance(checker.RulesTimeLimit + time.Second)
			b.CheckTimeLimits(b.now)
		}},
	}
	seen := map[checker.Invariant]bool{}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newFixture(t)
			tt.run(b)
			require.Contains(t, b.breached, tt.want, "%q", b.details)
			seen[tt.want] = true
		})
	}
	require.Len(t, seen, 11, "every invariant has a case that breaks it")
}

func TestFaultsSuspendTimeLimits(t *testing.T) {
	b := newFixture(t)
	b.RulesApplied("e1.1", b.rules.Number, string(parser.Format(b.rules)), b.now)
	b.FaultStarted("e1", b.now)
	b.applyRules(strings.Replace(initialRules, "limit 2", "limit 3", 1))
	b.InstancesListed(nil, b.now)
	b.advance(time.Hour)
	b.CheckTimeLimits(b.now)
	b.startTask("r1")
	b.answer("r1", classifier.MayHaveRun, classifier.WorkerLost, "")
	b.FaultEnded("e1", b.now)
	b.advance(checker.RulesTimeLimit)
	b.CheckTimeLimits(b.now)
	require.Empty(t, b.details)
	b.advance(time.Second)
	b.CheckTimeLimits(b.now)
	require.Equal(t, []checker.Invariant{checker.Configuration}, b.breached)
}
