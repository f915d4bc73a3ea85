package mover

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/budgeter"
	"github.com/coltsfootlever/coltsfootlever/lister"
	"github.com/coltsfootlever/coltsfootlever/parser"
	"github.com/coltsfootlever/coltsfootlever/registrar"
	"github.com/coltsfootlever/coltsfootlever/scheduler"
)

var (
	seed    = flag.Uint64("seed", 1, "seed of the randomised run")
	minutes = flag.Int("minutes", 10, "virtual minutes of the randomised run")
)

// randomRun is a randomised test run on a cluster.
type randomRun struct {
	*testCluster
	rng            *rand.Rand
	membersStarted int
}

// TestRandomisedFleet gives random orders through random members while the store
// fails and loses answers, instances leave and return, and members crash and are
// replaced. All members act as leader at once. Invariant checks in the code
// panic when they fail. After each second the test checks that no two members
// give work to the same instance and that planned absences are within the
// budgets.
func TestRandomisedFleet(t *testing.T) {
	t.Logf("seed %d, %d minutes", *seed, *minutes)
	runWithCluster(t, 6, strictBudgets, func(s *testCluster, _ map[string]*member) {
		c := &randomRun{testCluster: s, rng: rand.New(rand.NewPCG(*seed, *seed)), membersStarted: 3}
		s.startRolloutControllers(true)
		for range *minutes * 60 {
			c.doRandomAction()
			time.Sleep(time.Second)
			c.checkInvariants()
		}
		s.store.SetDown(false)
		s.store.LoseNextWriteResponses(0)
		s.finishAllOrders()
		require.Empty(t, s.absencesRecord().List)
	})
}

func (r *randomRun) randomMember() *member {
	ids := make([]string, 0, len(r.members))
	for id := range r.members {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return r.members[ids[r.rng.IntN(len(ids))]]
}

func (r *randomRun) randomInstance() string {
	return fmt.Sprintf("%s%02d", []string{"a", "b", "spare"}[r.rng.IntN(3)], r.rng.IntN(6))
}

// doRandomAction does one random action. Orders may fail; the test checks only
// the state that they leave.
func (r *randomRun) doRandomAction() {
	ctx, o, id := r.t.Context(), r.randomMember().orders, r.randomInstance()
	switch r.rng.IntN(24) {
	case 0, 1, 2:
		_, _ = o.Move(ctx, id, []string{"a", "b", "spare"}[r.rng.IntN(3)], "chaos")
	case 3:
		_, _ = o.Drain(ctx, id, "chaos")
	case 4, 5:
		_, _ = o.Resume(ctx, id, "chaos")
	case 6, 7:
		_, _ = o.Reboot(ctx, id, "chaos", time.Minute)
	case 8:
		_, _ = o.StartRollout(ctx, RolloutRequest{RequestedBy: "chaos", DrainLimit: time.Minute})
	case 9:
		r.store.SetDown(true)
	case 10, 11, 12:
		r.store.SetDown(false)
	case 13:
		r.store.LoseNextWriteResponses(r.rng.IntN(4))
	case 14:
		r.delistForAWhile(id)
	case 15:
		r.replaceMember()
	case 16:
		r.randomMember().port.SetDelay(time.Duration(r.rng.IntN(1500)) * time.Millisecond)
	default:
		r.startRandomTask()
	}
}

// startRandomTask starts a task on a random member, which ends at a random time.
func (r *randomRun) startRandomTask() {
	m := r.randomMember()
	w, ok := m.fleet.AcquireSlots([]string{"a", "b", "spare"}[r.rng.IntN(3)], 1, nil)
	if ok {
		time.AfterFunc(time.Duration(r.rng.IntN(90))*time.Second, func() { m.fleet.ReleaseSlots(w.ID, 1, scheduler.Outcome{}) })
	}
}

// delistForAWhile removes an instance from the instance list for a random time.
func (r *randomRun) delistForAWhile(id string) {
	r.platform.mu.Lock()
	was, ok := r.platform.list[id]
	delete(r.platform.list, id)
	r.platform.mu.Unlock()
	if !ok {
		return
	}
	time.AfterFunc(time.Duration(r.rng.IntN(60))*time.Second, func() {
		was.Boots++
		r.platform.setListing(was)
	})
}

// replaceMember stops one member and starts another in its place.
func (r *randomRun) replaceMember() {
	for id, m := range r.members {
		if id == "e1" || r.rng.IntN(2) == 0 {
			continue // checkInvariants reads through e1
		}
		m.stop()
		<-m.done
		delete(r.members, id)
		r.setView(func(v *registrar.View) {
			v.Members = slices.DeleteFunc(slices.Clone(v.Members), func(x registrar.Member) bool { return x.ID == id })
			v.Departed = append(slices.Clone(v.Departed), registrar.Departure{ID: id, Since: time.Now(), Reason: "superseded"})
		})
		r.membersStarted++
		r.startMember(fmt.Sprintf("e%d", r.membersStarted), "z2").holdsLeadership.Store(true)
		return
	}
}

// enabledInstances returns the IDs of the instances that the member has enabled for
// new work.
func (m *member) enabledInstances() []string {
	m.mover.mu.Lock()
	defer m.mover.mu.Unlock()
	return slices.Collect(maps.Keys(m.mover.enabledWorkers))
}

func (r *randomRun) checkInvariants() {
	open := map[string]string{}
	for name, m := range r.members {
		for _, id := range m.enabledInstances() {
			require.Empty(r.t, open[id], "%s and %s both have %s open to new work", open[id], name, id)
			open[id] = name
		}
	}
	e1 := r.members["e1"]
	list, err := e1.orders.List(r.t.Context())
	if err != nil {
		return // the store is down; the next second checks again
	}
	a, err := e1.budget.Absences(r.t.Context())
	if err != nil {
		return
	}
	for _, i := range list {
		if _, ok := a.Find(i.ID); !ok && (i.Phase == Draining || i.Phase == Drained || i.Phase == Rebooting) {
			now, err := e1.orders.Get(r.t.Context(), i.ID)
			require.False(r.t, err == nil && now.Epoch == i.Epoch, "out of service without an absence: %+v", i)
		}
	}
	for _, u := range plannedUsage(a) {
		require.LessOrEqual(r.t, u.Absent, u.MaxAbsent, "%+v", u)
	}
}

// plannedUsage returns the use of the budgets by planned absences only.
func plannedUsage(a budgeter.Absences) []budgeter.Usage {
	a.List = slices.DeleteFunc(slices.Clone(a.List), func(x budgeter.Absence) bool { return x.Kind != budgeter.Planned })
	return budgeter.Usages([]parser.Budget(strictBudgets), a)
}

// finishAllOrders waits until the orders in progress have ended, then resumes all
// instances.
func (c *testCluster) finishAllOrders() {
	for _, m := range c.members {
		m.port.SetDelay(0)
	}
	_, _ = c.members["e1"].orders.PauseRollout(c.t.Context(), "settle")
	time.Sleep(30 * time.Minute)
	list, err := c.members["e1"].orders.List(c.t.Context())
	require.NoError(c.t, err)
	for _, i := range list {
		_, _ = c.members["e1"].orders.Resume(c.t.Context(), i.ID, "settle")
	}
	time.Sleep(10 * time.Minute)
	for _, i := range list {
		require.Equal(c.t, lister.Live, c.platform.list[i.ID].State, "%+v", i)
	}
}
