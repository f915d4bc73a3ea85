package granter_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/emulator"
	"github.com/coltsfootlever/coltsfootlever/granter"
	"github.com/coltsfootlever/coltsfootlever/keeper"
	"github.com/coltsfootlever/coltsfootlever/messenger"
	"github.com/coltsfootlever/coltsfootlever/parser"
	"github.com/coltsfootlever/coltsfootlever/registrar"
)

const testTeam = "renewals"

// cluster is a set of members on one emulated key-value store. The first two
// members run a coordinator.
type cluster struct {
	store  *emulator.Store
	mu     sync.Mutex
	rules  *parser.Rules
	view   registrar.View
	wanted map[string]int // slots of waiting tasks, by member

	quotas   map[string]*granter.SlotQuota
	granters map[string]*granter.Granter
	stops    map[string]context.CancelFunc
}

// alwaysLeader is a Leadership that is always held.
type alwaysLeader struct{}

func (alwaysLeader) Held() bool { return true }

func newCluster(t *testing.T, members, limit int) *cluster {
	c := &cluster{
		store:    emulator.NewStore(),
		wanted:   map[string]int{},
		quotas:   map[string]*granter.SlotQuota{},
		granters: map[string]*granter.Granter{},
		stops:    map[string]context.CancelFunc{},
	}
	c.setLimit(limit)
	for i := range members {
		c.join(t, fmt.Sprintf("entry-%d.1", i), i < 2)
	}
	return c
}

func (c *cluster) setLimit(limit int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	number := uint64(1)
	if c.rules != nil {
		number = c.rules.Number + 1
	}
	c.rules = &parser.Rules{
		Number: number,
		Teams:  []parser.Team{{Name: testTeam, Share: 1, Limit: limit}},
		Queues: []parser.Queue{{Name: "cards", Team: testTeam, Pool: "cards"}},
	}
}

func (c *cluster) join(t *testing.T, id string, runsCoordinator bool) {
	ctx, cancel := context.WithCancel(t.Context())
	c.mu.Lock()
	c.view.Number++
	c.view.Members = append(c.view.Members, registrar.Member{ID: id, State: registrar.Active})
	w := granter.NewSlotQuota(nil)
	g := granter.New(c.store, id, w)
	c.quotas[id], c.granters[id], c.stops[id] = w, g, cancel
	c.mu.Unlock()
	go func() { _ = g.Run(ctx) }() // returns only the error of ctx
	if runsCoordinator {
		co := granter.NewCoordinator(c.store, g, alwaysLeader{}, c.getRules, c.getView, c.loads)
		go func() { _ = co.Run(ctx) }() // returns only the error of ctx
	}
}

func (c *cluster) getRules() *parser.Rules {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rules
}

func (c *cluster) getView() registrar.View {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.view
}

func (c *cluster) loads() []messenger.Heartbeat {
	c.mu.Lock()
	defer c.mu.Unlock()
	var loads []messenger.Heartbeat
	for _, m := range c.view.Members {
		loads = append(loads, messenger.Heartbeat{
			From:  m.ID,
			Pools: []messenger.PoolLoad{{Pool: "cards", Slots: 24}},
			Teams: []messenger.TeamLoad{{Team: testTeam, Pool: "cards", Running: c.quotas[m.ID].Used()[testTeam], Waiting: c.wanted[m.ID]}},
		})
	}
	return loads
}

func (c *cluster) setWanted(id string, slots int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wanted[id] = slots
}

func (c *cluster) ceilings() (all []int, sum int) {
	for _, m := range c.getView().Members {
		n := c.quotas[m.ID].Ceiling(testTeam)
		all = append(all, n)
		sum += n
	}
	return all, sum
}

func (c *cluster) stopAll() {
	for _, stop := range c.stops {
		stop()
	}
	synctest.Wait()
}

func TestIdleTeamHasSlotsOnEveryMember(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 7, 24)
		defer c.stopAll()
		time.Sleep(10 * time.Second)
		ceilings, sum := c.ceilings()
		require.Equal(t, 24, sum)
		for _, n := range ceilings {
			require.GreaterOrEqual(t, n, 3)
		}
		c.setLimit(3)
		time.Sleep(10 * time.Second)
		_, sum = c.ceilings()
		require.Equal(t, 3, sum)
		holders := c.granters["entry-0.1"].HoldersOf(testTeam)
		require.Len(t, holders, 3)
	})
}

func TestIdleLedgerIsNotWritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 7, 24)
		defer c.stopAll()
		time.Sleep(10 * time.Second)
		_, before, err := c.store.List(t.Context(), keeper.LedgerPrefix)
		require.NoError(t, err)
		time.Sleep(10 * time.Minute)
		_, after, err := c.store.List(t.Context(), keeper.LedgerPrefix)
		require.NoError(t, err)
		require.Equal(t, before, after)
	})
}

func TestSlotsMoveToWhereTheyAreWanted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, 12)
		defer c.stopAll()
		time.Sleep(10 * time.Second)
		c.setWanted("entry-2.1", 10)
		time.Sleep(10 * time.Second)
		require.GreaterOrEqual(t, c.quotas["entry-2.1"].Ceiling(testTeam), 10)
		_, sum := c.ceilings()
		require.Equal(t, 12, sum)
	})
}

func TestLoweredLimitIsInForceOnceSlotsAreReleased(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, 12)
		defer c.stopAll()
		time.Sleep(10 * time.Second)
		w := c.quotas["entry-1.1"]
		require.True(t, w.Acquire(testTeam, 4))
		c.setLimit(2)
		time.Sleep(10 * time.Second)
		limit, ok := c.granters["entry-0.1"].LimitInForce(testTeam)
		require.True(t, ok)
		require.Equal(t, 4, limit)
		w.Release(testTeam, 4)
		time.Sleep(10 * time.Second)
		limit, _ = c.granters["entry-0.1"].LimitInForce(testTeam)
		require.Equal(t, 2, limit)
	})
}

func TestGrantsSurviveStoreOutageAndAreReclaimedOnlyAfterDeparture(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, 12)
		defer c.stopAll()
		time.Sleep(10 * time.Second)
		held := c.quotas["entry-2.1"].Ceiling(testTeam)
		c.store.SetDown(true)
		time.Sleep(time.Hour)
		require.Equal(t, held, c.quotas["entry-2.1"].Ceiling(testTeam))
		c.stops["entry-2.1"]() // stops without having departed from the view
		c.store.SetDown(false)
		time.Sleep(time.Hour)
		_, sum := c.ceilings()
		require.Equal(t, 12, sum)
		c.mu.Lock()
		c.view.Number++
		c.view.Members = c.view.Members[:2:2]
		c.view.Departed = []registrar.Departure{{ID: "entry-2.1", Since: time.Now(), Reason: "gone"}}
		c.mu.Unlock()
		time.Sleep(granter.DefaultTaskLease)
		_, sum = c.ceilings()
		require.Equal(t, 12-held, sum)
		time.Sleep(granter.DefaultClockMargin + 10*time.Second)
		_, sum = c.ceilings()
		require.Equal(t, 12, sum)
	})
}

func TestReleaseReturnsEveryGrant(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 3, 12)
		defer c.stopAll()
		time.Sleep(10 * time.Second)
		w := c.quotas["entry-2.1"]
		require.True(t, w.Acquire(testTeam, 1))
		c.mu.Lock()
		c.view.Number++
		c.view.Members = slices.Clone(c.view.Members)
		c.view.Members[2].State = registrar.Leaving
		c.mu.Unlock()
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		require.ErrorIs(t, c.granters["entry-2.1"].Release(ctx), context.DeadlineExceeded)
		require.False(t, w.Acquire(testTeam, 1))
		w.Release(testTeam, 1)
		require.NoError(t, c.granters["entry-2.1"].Release(t.Context()))
		time.Sleep(10 * time.Second)
		_, sum := c.ceilings()
		require.Equal(t, 12, sum)
		require.Len(t, c.granters["entry-0.1"].HoldersOf(testTeam), 2)
	})
}
