package mover

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/budgeter"
	"github.com/coltsfootlever/coltsfootlever/lister"
	"github.com/coltsfootlever/coltsfootlever/registrar"
	"github.com/coltsfootlever/coltsfootlever/scheduler"
)

func (m *member) slotsInPool(pool string) int {
	for _, l := range m.fleet.Loads() {
		if l.Pool == pool {
			return l.Slots
		}
	}
	return 0
}

func TestListedWorkersAreOwnedAndEnabled(t *testing.T) {
	runWithCluster(t, 9, nil, func(s *testCluster, m map[string]*member) {
		for _, id := range []string{"e1", "e2", "e3"} {
			for _, pool := range []string{"a", "b", "spare"} {
				require.Equal(t, 24, m[id].slotsInPool(pool), "%s %s", id, pool)
			}
		}
	})
}

// A worker that is listed as leaving gets no new work after 3 s, even when the
// key-value store is down, no member is the leader, and reading the instance
// list takes 500 ms.
func TestLeavingWorkerGetsNoNewWork(t *testing.T) {
	runWithCluster(t, 6, nil, func(s *testCluster, m map[string]*member) {
		m["e1"].holdsLeadership.Store(false)
		s.store.SetDown(true)
		s.platform.setListDelay(500 * time.Millisecond)
		longest := time.Duration(0)
		for n := range 18 {
			id := fmt.Sprintf("%s%02d", []string{"a", "b", "spare"}[n%3], n/3)
			time.Sleep(time.Duration(n*137) * time.Millisecond)
			listed := time.Now()
			s.platform.editListing(id, func(l *lister.Listing) { l.State = lister.Leaving })
			for s.isEnabledOnAnyMember(id) {
				time.Sleep(10 * time.Millisecond)
			}
			longest = max(longest, time.Since(listed))
		}
		require.LessOrEqual(t, longest, 3*time.Second)
		t.Logf("longest time from the listing to the last new work: %v", longest)
		s.store.SetDown(false)
	})
}

func (c *testCluster) isEnabledOnAnyMember(id string) bool {
	for _, m := range c.members {
		if slices.Contains(m.enabledInstances(), id) {
			return true
		}
	}
	return false
}

// Guards against workers in an evacuated zone that still get work when
// DisableEvacuated has returned, or that get it again without a restore, and
// against instances there that do not count as absent.
func TestWorkersInEvacuatedZoneAreDisabledAtOnce(t *testing.T) {
	runWithCluster(t, 3, nil, func(s *testCluster, m map[string]*member) {
		inst := s.instanceRecord("b01")
		owner := m[inst.Owner]
		require.Contains(t, owner.enabledInstances(), "b01")
		s.evacuated.Store(inst.Zone)
		owner.mover.DisableEvacuated()
		require.NotContains(t, owner.enabledInstances(), "b01")
		time.Sleep(10 * time.Second)
		require.NotContains(t, owner.enabledInstances(), "b01")
		require.True(t, owner.mover.MustGetNoNewWork("b01"))
		require.True(t, slices.ContainsFunc(owner.mover.EvacuatedAbsences(), func(x budgeter.Absence) bool {
			return x.Instance == "b01" && x.Kind == budgeter.Evacuated
		}))
		s.evacuated.Store("")
		time.Sleep(time.Second)
		require.Contains(t, owner.enabledInstances(), "b01")
	})
}

func TestRefusalDisablesWorkerUntilReboot(t *testing.T) {
	runWithCluster(t, 3, nil, func(s *testCluster, m map[string]*member) {
		owner := m[s.instanceRecord("b01").Owner]
		owner.mover.ReportLeaving("b01")
		require.Zero(t, owner.fleet.MaxFreeSlots("b"))
		time.Sleep(10 * time.Second)
		require.Zero(t, owner.fleet.MaxFreeSlots("b"))
		s.platform.editListing("b01", func(l *lister.Listing) { l.Boots++ })
		time.Sleep(3 * time.Second)
		require.Equal(t, 8, owner.fleet.MaxFreeSlots("b"))
	})
}

// The workers of a member that has left the cluster are taken over only after
// the maximum task lease and the clock margin have passed since it left. The
// workers of a member that only stopped answering are never taken over, since it
// may still run tasks on them.
func TestOwnerChangesOnlyAfterTakeoverDelay(t *testing.T) {
	runWithCluster(t, 9, nil, func(s *testCluster, m map[string]*member) {
		m["e3"].stop()
		<-m["e3"].done
		time.Sleep(5 * time.Minute)
		require.Len(t, s.instancesOwnedBy("e3"), 9, "a member that stops answering may still run tasks")
		s.setView(func(v *registrar.View) {
			v.Members = v.Members[:2:2]
			v.Departed = []registrar.Departure{{ID: "e3", Since: time.Now(), Reason: "gone"}}
		})
		time.Sleep(defaultTaskLease + defaultClockMargin - time.Second)
		require.Len(t, s.instancesOwnedBy("e3"), 9, "its tasks may still run")
		time.Sleep(3 * time.Second)
		require.Empty(t, s.instancesOwnedBy("e3"))
		require.Equal(t, 216, m["e1"].slotsInPool("a")+m["e1"].slotsInPool("b")+m["e1"].slotsInPool("spare")+
			m["e2"].slotsInPool("a")+m["e2"].slotsInPool("b")+m["e2"].slotsInPool("spare"))
	})
}

func TestHandoverWaitsForRunningWork(t *testing.T) {
	runWithCluster(t, 9, nil, func(s *testCluster, m map[string]*member) {
		w, ok := m["e3"].fleet.AcquireSlots("a", 1, nil)
		require.True(t, ok)
		s.setView(func(v *registrar.View) {
			members := append([]registrar.Member{}, v.Members...)
			members[2].State = registrar.Leaving
			v.Members = members
		})
		time.Sleep(3 * time.Minute)
		require.Len(t, s.instancesOwnedBy("e3"), 1)
		require.Equal(t, "e3", s.instanceRecord(w.ID).Owner)
		_, ok = m["e3"].fleet.AcquireSlots("a", 1, nil)
		require.False(t, ok)
		m["e3"].fleet.ReleaseSlots(w.ID, 1, scheduler.Outcome{})
		time.Sleep(3 * time.Second)
		require.Empty(t, s.instancesOwnedBy("e3"))
	})
}

func TestNewMemberGetsItsShareOfInstances(t *testing.T) {
	runWithCluster(t, 8, nil, func(s *testCluster, m map[string]*member) {
		s.startMember("e4", "z1")
		time.Sleep(time.Minute)
		for _, id := range []string{"e1", "e2", "e3", "e4"} {
			require.Len(t, s.instancesOwnedBy(id), 6, id)
			require.Equal(t, 16, s.members[id].slotsInPool("a"), id)
		}
	})
}

func (c *testCluster) instancesOwnedBy(member string) []Instance {
	list, err := c.members["e1"].orders.List(c.t.Context())
	require.NoError(c.t, err)
	var owned []Instance
	for _, i := range list {
		if i.Owner == member {
			owned = append(owned, i)
		}
	}
	return owned
}
