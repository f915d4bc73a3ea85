package claimer_test

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/coltsfootlever/coltsfootlever/claimer"
)

const (
	initialMembers = 3
	maxMembers     = 5
	nameCount      = 8
	evidencePeriod = 300 * time.Millisecond
	maxPlans       = 3000 // random plans to try until a name is granted twice
)

type (
	// step is one operation of a random plan.
	step struct {
		Kind  string
		Node  int
		Other int
		Name  int
		Free  bool
		Wait  int // ms until the next step
	}

	plan struct {
		Seed  uint64
		Loss  float64
		Slow  float64
		Steps []step
	}
)

// Most steps are claims; the faults in faultKinds are rarer.
var claimKinds = append(slices.Repeat([]string{"claim"}, 24), slices.Repeat([]string{"renew"}, 6)...)

var faultKinds = []string{
	"start", "restart", "kill", "leave", "evict",
	"cut", "heal", "isolate", "rejoin", "pause", "resume",
	"store-down", "store-up", "port-down", "port-up", "lose-answers",
}

func drawPlan(t *rapid.T) plan {
	return plan{
		Seed: rapid.Uint64().Draw(t, "seed"),
		Loss: rapid.SampledFrom([]float64{0, 0.1, 0.4}).Draw(t, "loss"),
		Slow: rapid.SampledFrom([]float64{0, 0.1, 0.3}).Draw(t, "slow"),
		Steps: rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
			return step{
				Kind:  rapid.SampledFrom(append(claimKinds, faultKinds...)).Draw(t, "kind"),
				Node:  rapid.IntRange(0, 20).Draw(t, "node"),
				Other: rapid.IntRange(0, 20).Draw(t, "other"),
				Name:  rapid.IntRange(0, nameCount-1).Draw(t, "name"),
				Free:  rapid.Bool().Draw(t, "free"),
				Wait:  rapid.SampledFrom([]int{0, 5, 60, 300, 1500, 4000, 9000}).Draw(t, "wait"),
			}
		}), 30, 120).Draw(t, "steps"),
	}
}

// runPlan runs the plan in virtual time and returns the cluster at its end.
func runPlan(t *testing.T, p plan, opts ...claimer.Option) *cluster {
	var c *cluster
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		c = newCluster(ctx, p.Seed, nameCount, opts...)
		for i := range initialMembers {
			c.startProcess(fmt.Sprintf("entry-%d", i))
			time.Sleep(time.Second)
		}
		time.Sleep(5 * time.Second)
		c.setMessageFaults(p.Loss, p.Slow)
		c.wg.Go(c.checkDepartedMembersPeriodically)
		for _, s := range p.Steps {
			c.runStep(s)
			time.Sleep(time.Duration(s.Wait) * time.Millisecond)
		}
		time.Sleep(10 * time.Second)
		cancel()
		c.wg.Wait()
	})
	return c
}

// checkDepartedMembersPeriodically checks that no process acts on its view after others
// have evidence that it has stopped.
func (c *cluster) checkDepartedMembersPeriodically() {
	for c.ctx.Err() == nil {
		time.Sleep(evidencePeriod)
		live := c.liveProcesses()
		for _, n := range live {
			if n.members.CheckFreshness() == nil {
				c.checkStoppedAfterDeparture(n, live)
			}
		}
	}
}

func (c *cluster) checkStoppedAfterDeparture(n *process, live []*process) {
	id := n.members.Self().ID
	for _, m := range live {
		since, ok := m.members.DepartureConfirmedAt(id)
		if ok && time.Since(since) > m.members.StalenessBound() {
			c.recordViolation("%s acts %v after the evidence of %s", id, time.Since(since), m.address)
		}
	}
}

// liveProcesses returns the processes that have not been killed.
func (c *cluster) liveProcesses() []*process {
	c.mu.Lock()
	defer c.mu.Unlock()
	var live []*process
	for _, n := range c.processes {
		if !n.stopped {
			live = append(live, n)
		}
	}
	return live
}

func (c *cluster) runStep(s step) {
	live := c.liveProcesses()
	if len(live) == 0 {
		// A restart leaves two processes on an instance, so a kill can end the last ones.
		live = []*process{c.startProcess(fmt.Sprintf("entry-%d", len(c.processes)))}
	}
	n := live[s.Node%len(live)]
	other := live[s.Other%len(live)]
	c.recordTrace("%s %s %s, name %d", s.Kind, n.address, other.address, s.Name)
	switch s.Kind {
	case "claim":
		name := c.existingName(s.Name)
		c.wg.Go(func() { _, _ = c.claimAndCheck(n, name, s.Free) })
	case "renew":
		c.renewName(s.Name)
	case "start":
		if len(live) < maxMembers {
			c.startProcess(fmt.Sprintf("entry-%d", len(c.processes)))
		}
	case "restart":
		if len(live) < maxMembers {
			c.startProcess(n.instance)
		}
	case "kill":
		if len(live) > 3 {
			c.killInstance(n.instance)
		}
	case "leave":
		if len(live) > 2 {
			c.wg.Go(func() { _ = n.members.Leave(c.ctx) })
		}
	default:
		c.injectFault(s.Kind, n, other)
	}
}

func (c *cluster) injectFault(kind string, n, other *process) {
	switch kind {
	case "evict":
		// An operator evicts a member only after making sure that its process is dead or isolated.
		if n != other {
			c.setIsolated(other, true)
			c.wg.Go(func() { _ = n.members.Evict(c.ctx, other.members.Self().ID, "operator") })
		}
	case "cut":
		c.setDisconnected(n, other, n != other)
	case "heal":
		c.setDisconnected(n, other, false)
	case "isolate":
		c.setIsolated(n, true)
	case "rejoin":
		c.setIsolated(n, false)
	case "pause":
		n.pause()
	case "resume":
		n.resume()
	case "store-down":
		c.store.SetDown(true)
	case "store-up":
		c.store.SetDown(false)
	case "port-down":
		n.port.SetDown(true)
	case "port-up":
		n.port.SetDown(false)
	case "lose-answers":
		n.port.LoseNextWriteResponses(2)
	}
}

// TestPlanGoesOnAfterTheLastProcessWasKilled plays the steps that leave no process:
// all that are left run on one instance, which is killed.
func TestPlanGoesOnAfterTheLastProcessWasKilled(t *testing.T) {
	restart, kill := step{Kind: "restart", Wait: 4000}, step{Kind: "kill", Wait: 4000}
	second := step{Kind: "kill", Node: 1, Wait: 4000}
	claim := step{Kind: "claim", Wait: 4000}
	c := runPlan(t, plan{Seed: 1, Steps: []step{restart, restart, second, second, restart, kill, claim, claim}})
	require.Empty(t, c.violations)
	require.Contains(t, strings.Join(c.trace, "\n"), "claim entry-6#6")
}

func TestNoNameIsGrantedTwice(t *testing.T) {
	grants := 0
	rapid.Check(t, func(rt *rapid.T) {
		c := runPlan(t, drawPlan(rt))
		grants += c.grants
		if len(c.violations) > 0 {
			for _, line := range c.trace {
				rt.Log(line)
			}
			rt.Fatalf("%v", c.violations)
		}
	})
	if grants == 0 {
		t.Fatal("no name was ever granted")
	}
	t.Logf("%d grants", grants)
}

// TestRandomRunsDetectDisabledRules disables one safety rule at a time: some
// random plan must then grant a name twice. The comparison of views matters in
// few plans and is tested in TestEachRuleInItsCase instead.
func TestRandomRunsDetectDisabledRules(t *testing.T) {
	tests := []struct {
		name string
		opt  claimer.Option
	}{
		{"hand-over", claimer.WithoutHandOver()},
		{"freshness", claimer.WithoutFreshness()},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			plans := rapid.Custom(drawPlan)
			for seed := range maxPlans {
				c := runPlan(t, plans.Example(seed), tt.opt)
				if len(c.violations) > 0 {
					t.Logf("plan %d: %s", seed, c.violations[0])
					return
				}
			}
			t.Fatalf("no double grant in %d plans", maxPlans)
		})
	}
}
