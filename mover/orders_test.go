package mover

import (
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/budgeter"
	"github.com/coltsfootlever/coltsfootlever/classifier"
	"github.com/coltsfootlever/coltsfootlever/keeper"
	"github.com/coltsfootlever/coltsfootlever/lister"
	"github.com/coltsfootlever/coltsfootlever/parser"
	"github.com/coltsfootlever/coltsfootlever/registrar"
	"github.com/coltsfootlever/coltsfootlever/scheduler"
)

var oneAbsentPerPool = []parser.Budget{{Scope: parser.PoolScope, Name: parser.Wildcard, MaxAbsent: 1}}

// runTaskOn makes the owner of an instance run one task on it. The function that
// it returns ends the task.
func (c *testCluster) runTaskOn(id string) (free func()) {
	owner := c.members[c.instanceRecord(id).Owner]
	avoid := map[string]bool{}
	for {
		w, ok := owner.fleet.AcquireSlots(c.instanceRecord(id).Pool, 1, avoid)
		require.True(c.t, ok)
		if w.ID == id {
			return func() { owner.fleet.ReleaseSlots(id, 1, scheduler.Outcome{}) }
		}
		owner.fleet.ReleaseSlots(w.ID, 1, scheduler.Outcome{})
		avoid[w.ID] = true
	}
}

func TestMoveWaitsForRunningWork(t *testing.T) {
	runWithCluster(t, 6, oneAbsentPerPool, func(s *testCluster, m map[string]*member) {
		free := s.runTaskOn("b00")
		_, err := m["e2"].orders.Move(s.t.Context(), "b00", "a", "asha")
		require.NoError(t, err)
		time.Sleep(10 * time.Minute)
		i := s.instanceRecord("b00")
		require.Equal(t, []any{Draining, "b", true}, []any{i.Phase, i.Pool, i.Order.PastLimit}, "the rule of pool b lets moves continue after their time limit")
		free()
		time.Sleep(3 * time.Second)
		i = s.instanceRecord("b00")
		require.Equal(t, []any{Serving, "a", "a"}, []any{i.Phase, i.Pool, i.Home})
		require.Empty(t, s.absencesRecord().List)
	})
}

func TestMoveIsUndoneAtItsTimeLimit(t *testing.T) {
	runWithCluster(t, 6, oneAbsentPerPool, func(s *testCluster, m map[string]*member) {
		free := s.runTaskOn("a00")
		_, err := m["e2"].orders.Move(s.t.Context(), "a00", "b", "asha")
		require.NoError(t, err)
		time.Sleep(70 * time.Second)
		i := s.instanceRecord("a00")
		require.Equal(t, []any{Serving, "a"}, []any{i.Phase, i.Pool})
		require.Contains(t, i.LastOrder, "undone: work still running")
		require.Empty(t, s.absencesRecord().List)
		free()
	})
}

func TestMoveWaitsForBudgetAndNamesIt(t *testing.T) {
	runWithCluster(t, 6, oneAbsentPerPool, func(s *testCluster, m map[string]*member) {
		_, err := m["e1"].orders.Drain(s.t.Context(), "b01", "asha")
		require.NoError(t, err)
		_, err = m["e2"].orders.Drain(s.t.Context(), "b02", "asha")
		require.Equal(t, classifier.BudgetSpent, classifier.As(err).Code)
		require.ErrorContains(t, err, "b01 (planned drain-")
		require.Equal(t, Serving, s.instanceRecord("b02").Phase)
		_, err = m["e2"].orders.Move(s.t.Context(), "b00", "a", "asha")
		require.NoError(t, err)
		time.Sleep(5 * time.Second)
		require.Equal(t, "waits: budget of pool b allows 1 absent", s.instanceRecord("b00").Order.Note)
		_, err = m["e3"].orders.Resume(s.t.Context(), "b01", "asha")
		require.NoError(t, err)
		time.Sleep(5 * time.Second)
		require.Equal(t, "a", s.instanceRecord("b00").Pool)
	})
}

// Guards against a move that stalls when a member stops: the member that is both
// the leader and the owner of the instance stops in the middle of the move, and
// another member must finish it.
func TestMoveCompletesAfterLeaderAndOwnerStop(t *testing.T) {
	runWithCluster(t, 6, oneAbsentPerPool, func(s *testCluster, m map[string]*member) {
		owned := s.instancesOwnedBy("e1")
		_, err := m["e1"].orders.Move(s.t.Context(), owned[0].ID, "spare", "asha")
		require.NoError(t, err)
		m["e1"].stop()
		<-m["e1"].done
		m["e1"].holdsLeadership.Store(false)
		m["e2"].holdsLeadership.Store(true)
		s.setView(func(v *registrar.View) {
			v.Members = v.Members[1:]
			v.Departed = []registrar.Departure{{ID: "e1", Since: time.Now(), Reason: "gone"}}
		})
		time.Sleep(30 * time.Second)
		i := s.instanceRecord(owned[0].ID)
		require.Equal(t, []any{Serving, "spare"}, []any{i.Phase, i.Pool})
	})
}

func TestRebootAndReturn(t *testing.T) {
	runWithCluster(t, 6, oneAbsentPerPool, func(s *testCluster, m map[string]*member) {
		_, err := m["e1"].orders.Reboot(s.t.Context(), "a03", "asha", time.Hour)
		require.NoError(t, err)
		time.Sleep(30 * time.Second)
		require.Equal(t, Rebooting, s.instanceRecord("a03").Phase)
		require.Len(t, s.absencesRecord().List, 1)
		time.Sleep(time.Minute)
		i := s.instanceRecord("a03")
		require.Equal(t, []any{Serving, 1}, []any{i.Phase, i.Boots})
		require.Equal(t, []string{"a03"}, s.platform.reboots)
		require.Empty(t, s.absencesRecord().List)
	})
}

// A reboot that the platform refuses is requested again. A reboot whose answer
// was lost is requested again only after the reboot timeout, since the platform
// may have done it.
func TestRebootIsRequestedAgainOnlyAfterARefusal(t *testing.T) {
	for name, test := range map[string]struct {
		err   error
		after time.Duration
		calls int
	}{
		"refused": {classifier.Refuse(classifier.NoCapacity, "busy"), 40 * time.Second, 2},
		"open":    {errors.New("answer lost"), 5 * time.Minute, 1},
		"late":    {errors.New("answer lost"), 11 * time.Minute, 2},
	} {
		t.Run(name, func(t *testing.T) {
			runWithCluster(t, 3, nil, func(s *testCluster, m map[string]*member) {
				s.platform.setRebootError(test.err)
				_, err := m["e1"].orders.Reboot(s.t.Context(), "a01", "asha", 0)
				require.NoError(t, err)
				time.Sleep(test.after)
				require.Equal(t, test.calls, s.platform.rebootCalls())
			})
		})
	}
}

func TestMissingInstanceCountsAsAbsentUntilItReturns(t *testing.T) {
	runWithCluster(t, 6, oneAbsentPerPool, func(s *testCluster, m map[string]*member) {
		gone := s.platform.removeListing("a04")
		time.Sleep(defaultListLag + 3*time.Second)
		require.Equal(t, Absent, s.instanceRecord("a04").Phase)
		require.Equal(t, budgeter.Unplanned, s.absencesRecord().List[0].Kind)
		_, err := m["e1"].orders.Drain(s.t.Context(), "a01", "asha")
		require.Equal(t, classifier.BudgetSpent, classifier.As(err).Code)
		gone.Address = "10.9.9.9:70"
		s.platform.setListing(gone)
		time.Sleep(5 * time.Second)
		i := s.instanceRecord("a04")
		require.Equal(t, []any{Serving, "10.9.9.9:70"}, []any{i.Phase, i.Address})
		require.Empty(t, s.absencesRecord().List)
		require.NotEmpty(t, i.Owner)
	})
}

func TestRecordOfGoneInstanceIsDeleted(t *testing.T) {
	runWithCluster(t, 6, oneAbsentPerPool, func(s *testCluster, m map[string]*member) {
		s.platform.removeListing("a04")
		_, err := m["e2"].orders.Evict(s.t.Context(), "a04", "asha")
		require.NoError(t, err)
		time.Sleep(m["e1"].coord.cfg.recordRetention - time.Minute)
		require.Equal(t, Evicted, s.instanceRecord("a04").Phase)
		time.Sleep(2 * time.Minute)
		_, err = m["e2"].orders.Get(s.t.Context(), "a04")
		require.Equal(t, classifier.NotFound, classifier.As(err).Code)
		require.Empty(t, s.absencesRecord().List)
	})
}

func TestChangesThatBreakAnInvariantAreRefused(t *testing.T) {
	serving := Instance{ID: "a", Pool: "p", Owner: "e1", Phase: Serving}
	drained := serving
	drained.Phase = Drained
	for name, test := range map[string]struct {
		from    Instance
		right   authority
		edit    func(*Instance)
		refused bool
	}{
		"pool while serving":     {serving, authority{}, func(i *Instance) { i.Pool = "q" }, true},
		"pool when drained":      {drained, authority{}, func(i *Instance) { i.Pool = "q" }, false},
		"owner by another":       {serving, authority{writer: "e2", ownerIdle: true}, func(i *Instance) { i.Owner = "e2" }, true},
		"owner by itself, busy":  {serving, authority{writer: "e1"}, func(i *Instance) { i.Owner = "e2" }, true},
		"owner by itself, idle":  {serving, authority{writer: "e1", ownerIdle: true}, func(i *Instance) { i.Owner = "e2" }, false},
		"owner on evidence":      {serving, authority{ownerStopped: true}, func(i *Instance) { i.Owner = "e2" }, false},
		"drained by another":     {serving, authority{writer: "e2"}, func(i *Instance) { i.Phase = Drained }, true},
		"reboot while it serves": {serving, authority{}, func(i *Instance) { i.Phase = Rebooting }, true},
	} {
		t.Run(name, func(t *testing.T) {
			to := test.from
			test.edit(&to)
			require.Equal(t, test.refused, brokenInvariant(test.from, to, test.right) != "")
		})
	}
}

func TestStoreOutageAndLostAnswersDuringMoves(t *testing.T) {
	runWithCluster(t, 6, []parser.Budget{{Scope: parser.PoolScope, Name: parser.Wildcard, MaxAbsent: 3}}, func(s *testCluster, m map[string]*member) {
		for n, id := range []string{"b00", "b01", "b02"} {
			s.store.LoseNextWriteResponses(2)
			_, err := m["e1"].orders.Move(s.t.Context(), id, "a", "asha")
			if n == 1 {
				s.store.SetDown(true)
				time.Sleep(time.Minute)
				s.store.SetDown(false)
			}
			if err != nil {
				require.ErrorIs(t, err, keeper.ErrUnknown)
			}
		}
		s.store.LoseNextWriteResponses(10)
		time.Sleep(time.Minute)
		for _, id := range []string{"b00", "b01", "b02"} {
			require.Equal(t, "a", s.instanceRecord(id).Pool, id)
		}
		require.Empty(t, s.absencesRecord().List)
	})
}

func TestLeavingInstanceCountsAsAbsent(t *testing.T) {
	runWithCluster(t, 6, oneAbsentPerPool, func(s *testCluster, m map[string]*member) {
		s.platform.editListing("b05", func(l *lister.Listing) { l.State = lister.Leaving })
		time.Sleep(3 * time.Second)
		require.Equal(t, budgeter.Unplanned, s.absencesRecord().List[0].Kind)
		s.platform.editListing("b05", func(l *lister.Listing) { l.State = lister.Live })
		time.Sleep(3 * time.Second)
		require.Empty(t, s.absencesRecord().List)
	})
}
