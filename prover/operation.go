package prover

import (
	"context"
	"time"

	"github.com/coltsfootlever/coltsfootlever/budgeter"
	"github.com/coltsfootlever/coltsfootlever/mover"
	"github.com/coltsfootlever/coltsfootlever/parser"
	"github.com/coltsfootlever/coltsfootlever/server"
)

const (
	operatorTimeout = 20 * time.Second // of one operator call
	stopTimeout     = 2 * time.Minute  // of a planned stop
)

// runOperatorStep starts a step in which operators act. It ignores other steps.
func (w *World) runOperatorStep(s Step) {
	id := w.workerIDAtIndex(s.Target)
	switch s.Kind {
	case Drain:
		w.runInBackgroundAfter(0, func() {
			w.runOperatorOrder(s.Parameter, func(ctx context.Context, o *mover.Orders) error { _, err := o.Drain(ctx, id, "prover"); return err })
			time.Sleep(s.Duration)
			w.runOperatorOrder(s.Target, func(ctx context.Context, o *mover.Orders) error { _, err := o.Resume(ctx, id, "prover"); return err })
		})
	case Move:
		pool := pools[s.Parameter%len(pools)]
		w.runInBackgroundAfter(0, func() {
			w.runOperatorOrder(s.Parameter, func(ctx context.Context, o *mover.Orders) error {
				_, err := o.Move(ctx, id, pool, "prover")
				return err
			})
		})
	case Reboot:
		w.orderReboot(s.Parameter, id, s.Duration)
	case RebootAll:
		for n := range len(w.workers) {
			w.orderReboot(s.Parameter+n, w.workerIDAtIndex(n), 30*time.Second)
		}
	case ChangeLimit:
		w.rules.setLimit(teamAtIndex(s.Target), s.Parameter)
		w.runInBackgroundAfter(0, func() { w.applyRules(s.Target) })
	case ConcurrentChanges:
		w.changeRulesConcurrently(s)
	case WithdrawKey:
		w.withdrawKey(s)
	case Evacuate:
		w.evacuateZone(s)
	}
}

func teamAtIndex(n int) string {
	return []string{"leads", "zoo", "labs"}[n%3]
}

// runOperatorOrder runs an operator order in the prover, with the store client
// and the rules of one of the running entries: the one at entryIndex, modulo
// their number.
func (w *World) runOperatorOrder(entryIndex int, order func(context.Context, *mover.Orders) error) {
	nodes := w.runningNodes()
	if len(nodes) == 0 {
		return
	}
	node := nodes[entryIndex%len(nodes)]
	ctx, stop := context.WithTimeout(w.ctx, operatorTimeout)
	defer stop()
	store := w.clientsOf(node).Store
	rules := func() *parser.Rules { return w.rulesAppliedBy(node) }
	orders := mover.NewOrders(store, "operator", rules, budgeter.New(store, rules), nil)
	if err := order(ctx, orders); err != nil {
		w.events.add("orders refused", 1)
		return
	}
	w.events.add("orders", 1)
}

// rulesAppliedBy returns the rules that an entry applies.
func (w *World) rulesAppliedBy(n *Node) *parser.Rules {
	rules := w.audit.Rules(n.entry.Status().Rules)
	return rules
}

func (w *World) orderReboot(entryIndex int, id string, limit time.Duration) {
	w.runInBackgroundAfter(0, func() {
		w.runOperatorOrder(entryIndex, func(ctx context.Context, o *mover.Orders) error {
			_, err := o.Reboot(ctx, id, "prover", limit)
			return err
		})
	})
}

// applyRules applies the current rules file through the running entry at
// entryIndex, modulo their number, as a change of the rules that this entry has.
// If that fails, it tries the next entry, up to five times in all.
func (w *World) applyRules(entryIndex int) {
	text := []byte(w.rules.text())
	for n := range 5 {
		nodes := w.runningNodes()
		if len(nodes) == 0 {
			time.Sleep(time.Second)
			continue
		}
		node := nodes[(entryIndex+n)%len(nodes)]
		if w.applyRulesAt(node, node.entry, text) {
			return
		}
		time.Sleep(time.Second)
		text = []byte(w.rules.text())
	}
	w.events.add("rules given up", 1)
}

// applyRulesAt applies the text of a rules file through one entry. It reports
// whether the entry accepted the rules.
func (w *World) applyRulesAt(n *Node, e *server.Entry, text []byte) bool {
	ctx, stop := context.WithTimeout(w.ctx, operatorTimeout)
	defer stop()
	if !n.gate.waitUntilRunning() {
		return false
	}
	applied, err := e.ApplyRules(ctx, e.Status().Rules, text, "prover")
	if !n.gate.waitUntilRunning() {
		return false
	}
	if err != nil {
		w.events.add("rules refused", 1)
		return false
	}
	w.audit.CheckAcceptedRules(applied.Number)
	w.events.add("rules accepted", 1)
	return true
}

// changeRulesConcurrently makes two operators change the rules at the same time.
func (w *World) changeRulesConcurrently(s Step) {
	for n := range 2 {
		w.runInBackgroundAfter(0, func() {
			w.rules.setLimit(teamAtIndex(s.Target+n), 1+s.Parameter%9)
			w.applyRules(s.Target + n)
		})
	}
}

// withdrawKey removes an API key of a team from the rules and adds it again, with a
// new secret, 20 s after the duration of the step.
func (w *World) withdrawKey(s Step) {
	team := teamAtIndex(s.Target)
	key := team + "-" + []string{"0", "1"}[s.Parameter%2]
	w.runInBackgroundAfter(0, func() {
		w.rules.removeKey(key)
		w.applyRules(s.Target)
		time.Sleep(s.Duration + 20*time.Second)
		w.rules.addKey(key, team)
		w.applyRules(s.Parameter)
	})
}

// stopEntry makes a planned stop of an entry and starts it again after d, unless
// d is 0.
func (w *World) stopEntry(number int, d time.Duration) {
	n := w.runningNode(number)
	if n == nil || n.stopping.Swap(true) {
		return
	}
	w.audit.RecordStopStart(n.Instance, time.Now())
	ctx, cancel := context.WithTimeout(w.ctx, stopTimeout)
	err := n.entry.Stop(ctx)
	cancel()
	if !n.isAlive() {
		return
	}
	if err != nil {
		w.events.add("stops incomplete", 1)
		w.audit.RecordEntryCrash(n.Instance, time.Now())
	}
	w.events.add("stops", 1)
	w.audit.RecordStopEnd(n.Instance)
	n.kill()
	if d == 0 {
		return
	}
	time.Sleep(d)
	w.restartEntry(number, false)
}
