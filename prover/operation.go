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
	operatorTime = 20 * time.Second // patience of an operator
	stopTime     = 2 * time.Minute  // allowed for a planned stop
)

// doOperator takes a step of an operator.
func (w *World) doOperator(s Step) {
	id := w.workerName(s.A)
	switch s.Kind {
	case Drain:
		w.later(0, func() {
			w.tell(s.B, func(ctx context.Context, o *mover.Orders) error { _, err := o.Drain(ctx, id, "prover"); return err })
			time.Sleep(s.For)
			w.tell(s.A, func(ctx context.Context, o *mover.Orders) error { _, err := o.Resume(ctx, id, "prover"); return err })
		})
	case Move:
		pool := pools[s.B%len(pools)]
		w.later(0, func() {
			w.tell(s.B, func(ctx context.Context, o *mover.Orders) error {
				_, err := o.Move(ctx, id, pool, "prover")
				return err
			})
		})
	case Reboot:
		w.reboot(s.B, id, s.For)
	case Wave:
		for n := range len(w.workers) {
			w.reboot(s.B+n, w.workerName(n), 30*time.Second)
		}
	case ChangeLimit:
		w.rules.setLimit(teamOf(s.A), s.B)
		w.later(0, func() { w.apply(s.A) })
	case RaceOperators:
		w.raceOperators(s)
	case WithdrawKey:
		w.withdrawKey(s)
	}
}

func teamOf(n int) string {
	return []string{"leads", "zoo", "labs"}[n%3]
}

// tell gives an order through one of the entries that run.
func (w *World) tell(n int, order func(context.Context, *mover.Orders) error) {
	nodes := w.living()
	if len(nodes) == 0 {
		return
	}
	node := nodes[n%len(nodes)]
	ctx, stop := context.WithTimeout(w.under, operatorTime)
	defer stop()
	store := w.platformOf(node).Store
	rules := func() *parser.Rules { return w.known(node) }
	orders := mover.NewOrders(store, "operator", rules, budgeter.New(store, rules), nil)
	if err := order(ctx, orders); err != nil {
		w.tally.add("orders refused", 1)
		return
	}
	w.tally.add("orders", 1)
}

// known returns the rules by which an entry acts.
func (w *World) known(n *Node) *parser.Rules {
	rules := w.audit.Rules(n.entry.Status().Rules)
	return rules
}

func (w *World) reboot(through int, id string, limit time.Duration) {
	w.later(0, func() {
		w.tell(through, func(ctx context.Context, o *mover.Orders) error {
			_, err := o.Reboot(ctx, id, "prover", limit)
			return err
		})
	})
}

// apply applies the rulebook through an entry, on the base that it knows.
func (w *World) apply(through int) {
	text := []byte(w.rules.text())
	for n := range 5 {
		nodes := w.living()
		if len(nodes) == 0 {
			time.Sleep(time.Second)
			continue
		}
		node := nodes[(through+n)%len(nodes)]
		if w.applyAt(node, node.entry, text) {
			return
		}
		time.Sleep(time.Second)
		text = []byte(w.rules.text())
	}
	w.tally.add("rules given up", 1)
}

func (w *World) applyAt(n *Node, e *server.Entry, text []byte) bool {
	ctx, stop := context.WithTimeout(w.under, operatorTime)
	defer stop()
	if !n.gate.pass() {
		return false
	}
	applied, err := e.ApplyRules(ctx, e.Status().Rules, text, "prover")
	if !n.gate.pass() {
		return false
	}
	if err != nil {
		w.tally.add("rules refused", 1)
		return false
	}
	w.audit.Accepted(applied.Number)
	w.tally.add("rules accepted", 1)
	return true
}

// raceOperators has two operators change the rules at once.
func (w *World) raceOperators(s Step) {
	for n := range 2 {
		w.later(0, func() {
			w.rules.setLimit(teamOf(s.A+n), 1+s.B%9)
			w.apply(s.A + n)
		})
	}
}

func (w *World) withdrawKey(s Step) {
	team := teamOf(s.A)
	key := team + "-" + []string{"0", "1"}[s.B%2]
	w.later(0, func() {
		w.rules.withdrawKey(key)
		w.apply(s.A)
		time.Sleep(s.For + 20*time.Second)
		w.rules.giveKey(key, team)
		w.apply(s.B)
	})
}

// stopEntry stops an entry as planned and starts it anew after d, unless d is 0.
func (w *World) stopEntry(number int, d time.Duration) {
	n := w.node(number)
	if n == nil || n.stopping.Swap(true) {
		return
	}
	w.audit.Stopping(n.Instance, time.Now())
	ctx, cancel := context.WithTimeout(w.under, stopTime)
	err := n.entry.Stop(ctx)
	cancel()
	if !n.alive() {
		return
	}
	if err != nil {
		w.tally.add("stops incomplete", 1)
		w.audit.Crashed(n.Instance, time.Now())
	}
	w.tally.add("stops", 1)
	w.audit.Stopped(n.Instance)
	n.kill()
	if d == 0 {
		return
	}
	time.Sleep(d)
	w.revive(number, false)
}
