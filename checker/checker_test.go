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
	f := &fixture{t: t, now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), rules: &parser.Rules{}}
	f.Checker = checker.New(func(i checker.Invariant, detail string) {
		f.breached = append(f.breached, i)
		f.details = append(f.details, detail)
	})
	f.applyRules(initialRules)
	f.storeAccount(2, 2, granter.Grant{Member: "e1.1", Held: 2})
	f.storeInstance("w1", "a", mover.Serving)
	f.advance(time.Minute)
	f.submit("r1")
	return f
}

func (f *fixture) advance(d time.Duration) { f.now = f.now.Add(d) }

func (f *fixture) storeRecord(key string, body any) {
	value, err := keeper.Encode(fmt.Sprint("op", f.revision), body)
	require.NoError(f.t, err)
	f.revision++
	f.CheckStoreChange(keeper.Event{Record: keeper.Record{Key: key, Value: value, Revision: f.revision}}, f.now)
}

func (f *fixture) applyRules(text string) {
	rules, err := parser.Parse("rules", strings.NewReader(text))
	require.NoError(f.t, err)
	number := f.rules.Number + 1
	f.storeRuleChange(number, parser.Diff(f.rules, rules))
	rules.Number = number
	f.rules = rules
}

func (f *fixture) storeRuleChange(number uint64, differences []parser.Difference) {
	op := fmt.Sprint("op", f.revision)
	f.storeRecord(fmt.Sprintf("%s%012d", keeper.ChangePrefix, number), distributor.Change{Number: number, Op: op, Digest: "d", Differences: differences})
}

func (f *fixture) storeAccount(limit, inForce int, grants ...granter.Grant) {
	f.storeRecord(keeper.LedgerPrefix+"leads", granter.Account{Team: "leads", Rules: 1, Limit: limit, InForce: inForce, Grants: grants})
}

func (f *fixture) storeInstance(id, pool string, phase mover.Phase) {
	order := &mover.Order{ID: "o"}
	if phase == mover.Serving {
		order = nil
	}
	f.storeRecord(keeper.InstancePrefix+id, mover.Instance{ID: id, Pool: pool, Phase: phase, Owner: "e1.1", Epoch: uint64(f.revision) + 1, Order: order})
}

func (f *fixture) storeAbsences(ids ...string) {
	a := budgeter.Absences{Rules: 1}
	for _, id := range ids {
		a.List = append(a.List, budgeter.Absence{Instance: id, Pool: "a", Zone: "z", Rack: "r", Kind: budgeter.Planned, Order: "o"})
	}
	f.storeRecord(keeper.AbsencesKey, a)
}

func (f *fixture) submit(id string, change ...func(*checker.Request)) {
	r := checker.Request{ID: id, Job: id, Entry: "e1", Queue: "inquiries", Name: "n-" + id, Key: "k1", ExpectedOutput: []byte(id), At: f.now}
	for _, fn := range change {
		fn(&r)
	}
	f.RecordRequest(r)
}

func (f *fixture) startTask(id string, change ...func(*checker.Execution)) checker.Execution {
	x := checker.Execution{Job: id, Task: "t-" + id, Attempt: 1, Instance: "w1", Owner: "e1.1", Team: "leads", Queue: "inquiries", Name: "n-" + id, Slots: 1, Start: f.now}
	for _, fn := range change {
		fn(&x)
	}
	f.CheckExecution(x)
	return x
}

func (f *fixture) completeTask(x checker.Execution) {
	x.End, x.Outcome = f.now, checker.Done
	f.CheckExecution(x)
}

func (f *fixture) answer(id string, verdict classifier.Verdict, code classifier.Code, output string) {
	f.CheckAnswer(checker.Answer{Request: id, Verdict: verdict, Code: code, Output: []byte(output), At: f.now})
}

// sameJobAsR1 makes a request another submission of the job of request r1.
func sameJobAsR1(r *checker.Request) { r.Job, r.Name, r.ExpectedOutput = "r1", "n-r1", []byte("r1") }

// withKey returns a function that sets the API key of a request.
func withKey(id string) func(*checker.Request) { return func(r *checker.Request) { r.Key = id } }

func TestCorrectRunHasNoBreach(t *testing.T) {
	f := newFixture(t)
	x := f.startTask("r1")
	f.CheckAppliedRules("e1.1", f.rules.Number, string(parser.Format(f.rules)), f.now)
	f.completeTask(x)
	f.answer("r1", classifier.Ran, "", "r1")
	f.submit("r2")
	f.answer("r2", classifier.NotRun, classifier.QueueFull, "")
	f.storeAbsences("w1")
	f.storeInstance("w1", "a", mover.Draining)
	f.storeInstance("w1", "a", mover.Drained)
	f.storeInstance("w1", "b", mover.Serving)
	f.storeAbsences()
	f.applyRules(strings.Replace(initialRules, "key k1", "key k9", 1))
	f.advance(checker.RulesTimeLimit)
	f.CheckAppliedRules("e1.1", f.rules.Number, string(parser.Format(f.rules)), f.now)
	f.CheckTimeLimits(f.now)
	f.CheckAllAnswered()
	require.Empty(t, f.details)
}

// Each case breaks one invariant, and the checker must report it.
func TestBreachOfEachInvariantIsReported(t *testing.T) {
	tests := []struct {
		name string
		want checker.Invariant
		run  func(f *fixture)
	}{
		{"planned absence above its budget", checker.Budgets, func(f *fixture) { f.storeAbsences("w1", "w2") }},
		{"drain without an absence", checker.Budgets, func(f *fixture) { f.storeInstance("w1", "a", mover.Draining) }},
		{"absence returned while drained", checker.Budgets, func(f *fixture) {
			f.storeAbsences("w1")
			f.storeInstance("w1", "a", mover.Drained)
			f.storeAbsences()
		}},
		{"pool changes while a task runs", checker.OnePool, func(f *fixture) {
			f.startTask("r1")
			f.storeInstance("w1", "b", mover.Serving)
		}},
		{"start in another pool", checker.OnePool, func(f *fixture) {
			f.storeInstance("w1", "b", mover.Serving)
			f.startTask("r1")
		}},
		{"start by a member that is not the owner", checker.OnePool, func(f *fixture) {
			f.startTask("r1", func(x *checker.Execution) { x.Owner = "e2.1" })
		}},
		{"owner changes while a task runs", checker.OnePool, func(f *fixture) {
			f.startTask("r1")
			f.storeRecord(keeper.InstancePrefix+"w1", mover.Instance{ID: "w1", Pool: "a", Phase: mover.Serving, Owner: "e2.1", Epoch: 99})
		}},
		{"task without a key", checker.KeyTeam, func(f *fixture) {
			f.submit("r2", withKey(""))
			f.startTask("r2")
		}},
		{"key of another team", checker.KeyTeam, func(f *fixture) {
			f.submit("r2", withKey("k2"))
			f.startTask("r2")
		}},
		{"task counted for another team", checker.KeyTeam, func(f *fixture) {
			f.storeRecord(keeper.LedgerPrefix+"zoo", granter.Account{Team: "zoo", Rules: 1, Limit: 2, InForce: 2})
			f.startTask("r1", func(x *checker.Execution) { x.Team = "zoo" })
		}},
		{"task without a request", checker.KeyTeam, func(f *fixture) { f.startTask("r9") }},
		{"withdrawn key starts a task", checker.WithdrawnKey, func(f *fixture) {
			f.applyRules(strings.Replace(initialRules, "key k1", "key k9", 1))
			f.advance(checker.RulesTimeLimit + time.Second)
			f.submit("r2")
			f.startTask("r2")
		}},
		{"withdrawn key reads an answer", checker.WithdrawnKey, func(f *fixture) {
			f.completeTask(f.startTask("r1"))
			f.applyRules(strings.Replace(initialRules, "key k1", "key k9", 1))
			f.advance(checker.RulesTimeLimit + time.Second)
			f.submit("r2", sameJobAsR1)
			f.answer("r2", classifier.Ran, "", "r1")
		}},
		{"more slots running than the limit in force", checker.Limit, func(f *fixture) {
			f.startTask("r1", func(x *checker.Execution) { x.Slots = 3 })
		}},
		{"more slots running than the limit in force after a throttle", checker.Limit, func(f *fixture) {
			f.startTask("r1", func(x *checker.Execution) { x.Slots = 2 })
			f.RecordThrottledTask("w1", "t-r1")
			require.Empty(f.t, f.details)
			f.submit("r2")
			f.startTask("r2", func(x *checker.Execution) { x.Slots = 2 })
		}},
		{"limit in force lowered below the running slots", checker.Limit, func(f *fixture) {
			f.startTask("r1")
			f.storeAccount(0, 0)
		}},
		{"grants above the limit in force", checker.Limit, func(f *fixture) {
			f.storeAccount(2, 2, granter.Grant{Member: "e1.1", Held: 2}, granter.Grant{Member: "e2.1", Held: 1})
		}},
		{"limit in force above the rules", checker.Limit, func(f *fixture) { f.storeAccount(3, 3) }},
		{"truncated answer", checker.WholeAnswer, func(f *fixture) {
			f.completeTask(f.startTask("r1"))
			f.answer("r1", classifier.Ran, "", "r")
		}},
		{"answer without a run", checker.WholeAnswer, func(f *fixture) { f.answer("r1", classifier.Ran, "", "r1") }},
		{"no answer", checker.WholeAnswer, func(f *fixture) { f.CheckAllAnswered() }},
		{"refused after its start", checker.TrueRefusal, func(f *fixture) {
			f.startTask("r1")
			f.answer("r1", classifier.NotRun, classifier.Leaving, "")
		}},
		{"task started after its refusal", checker.TrueRefusal, func(f *fixture) {
			f.submit("r2", sameJobAsR1)
			f.CheckAnswer(checker.Answer{Request: "r2", Task: "t-r2", Verdict: classifier.NotRun, Code: classifier.Leaving, At: f.now})
			f.startTask("r1", func(x *checker.Execution) { x.Task = "t-r2" })
		}},
		{"started after its refusal", checker.TrueRefusal, func(f *fixture) {
			f.answer("r1", classifier.NotRun, classifier.QueueFull, "")
			f.startTask("r1")
		}},
		{"name refused after its start", checker.TrueRefusal, func(f *fixture) {
			f.startTask("r1")
			f.submit("r2", sameJobAsR1)
			f.answer("r2", classifier.NotRun, classifier.DeadlineOver, "")
		}},
		{"name started twice", checker.AtMostOnce, func(f *fixture) {
			f.completeTask(f.startTask("r1"))
			f.submit("r2", sameJobAsR1)
			f.startTask("r1", func(x *checker.Execution) { x.Task = "t-r2" })
		}},
		{"task started twice", checker.AtMostOnce, func(f *fixture) {
			f.completeTask(f.startTask("r1"))
			f.startTask("r1", func(x *checker.Execution) { x.Attempt = 2 })
		}},
		{"start on a leaving instance", checker.Leaving, func(f *fixture) {
			f.RecordListedInstances(nil, f.now)
			f.advance(checker.LeavingTimeLimit + time.Second)
			f.startTask("r1")
		}},
		{"start on a draining instance", checker.Leaving, func(f *fixture) {
			f.storeAbsences("w1")
			f.storeInstance("w1", "a", mover.Draining)
			f.advance(checker.LeavingTimeLimit + time.Second)
			f.startTask("r1")
		}},
		{"connection broken by a planned stop", checker.PlannedStop, func(f *fixture) {
			f.RecordStopStart("e1", f.now)
			f.CheckAnswer(checker.Answer{Request: "r1", ConnectionBroken: true, At: f.now})
		}},
		{"unknown outcome without a fault", checker.PlannedStop, func(f *fixture) {
			f.answer("r1", classifier.MayHaveRun, classifier.Leaving, "")
		}},
		{"reboot while a task runs", checker.PlannedStop, func(f *fixture) {
			f.storeAbsences("w1")
			f.startTask("r1")
			f.storeInstance("w1", "a", mover.Rebooting)
		}},
		{"change overwritten", checker.Configuration, func(f *fixture) { f.storeRuleChange(1, parser.Diff(&parser.Rules{}, f.rules)) }},
		{"change left out", checker.Configuration, func(f *fixture) { f.storeRuleChange(3, parser.Diff(f.rules, &parser.Rules{})) }},
		{"accepted without a change", checker.Configuration, func(f *fixture) { f.CheckAcceptedRules(2) }},
		{"member reverts to older rules", checker.Configuration, func(f *fixture) {
			old := f.rules.Number
			f.applyRules(strings.Replace(initialRules, "limit 2", "limit 3", 1))
			f.CheckAppliedRules("e1.1", f.rules.Number, string(parser.Format(f.rules)), f.now)
			f.CheckAppliedRules("e1.1", old, "", f.now)
		}},
		{"member applies rules with another text", checker.Configuration, func(f *fixture) {
			f.CheckAppliedRules("e1.1", 1, "other", f.now)
		}},
		{"ledger reverts to older rules", checker.Configuration, func(f *fixture) {
			f.storeRecord(keeper.LedgerPrefix+"leads", granter.Account{Team: "leads"})
		}},
		{"rules applied too late", checker.Configuration, func(f *fixture) {
			f.CheckAppliedRules("e1.1", f.rules.Number, string(parser.Format(f.rules)), f.now)
			f.applyRules(strings.Replace(initialRules, "limit 2", "limit 3", 1))
			f.advance(checker.RulesTimeLimit + time.Second)
			f.CheckTimeLimits(f.now)
		}},
	}
	seen := map[checker.Invariant]bool{}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFixture(t)
			tt.run(f)
			require.Contains(t, f.breached, tt.want, "%q", f.details)
			seen[tt.want] = true
		})
	}
	require.Len(t, seen, 11, "every invariant has a case that breaks it")
}

// While a fault of an entry is active, no time limit counts as exceeded; after the
// end of the fault, each limit starts again.
func TestFaultsSuspendTimeLimits(t *testing.T) {
	f := newFixture(t)
	f.CheckAppliedRules("e1.1", f.rules.Number, string(parser.Format(f.rules)), f.now)
	f.RecordFaultStart("e1", f.now)
	f.applyRules(strings.Replace(initialRules, "limit 2", "limit 3", 1))
	f.RecordListedInstances(nil, f.now)
	f.advance(time.Hour)
	f.CheckTimeLimits(f.now)
	f.startTask("r1")
	f.answer("r1", classifier.MayHaveRun, classifier.WorkerLost, "")
	f.RecordFaultEnd("e1", f.now)
	f.advance(checker.RulesTimeLimit)
	f.CheckTimeLimits(f.now)
	require.Empty(t, f.details)
	f.advance(time.Second)
	f.CheckTimeLimits(f.now)
	require.Equal(t, []checker.Invariant{checker.Configuration}, f.breached)
}
