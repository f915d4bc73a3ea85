package prover_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/checker"
	"github.com/coltsfootlever/coltsfootlever/dispatcher"
	"github.com/coltsfootlever/coltsfootlever/keeper"
	"github.com/coltsfootlever/coltsfootlever/messenger"
	"github.com/coltsfootlever/coltsfootlever/prover"
	"github.com/coltsfootlever/coltsfootlever/server"
)

const maxFaultyRuns = 12 // runs with a mechanism disabled, within which the checker must report a breach

type (
	// unconditionalStore overwrites records under a prefix without comparing
	// their revision.
	unconditionalStore struct {
		server.Store
		prefix string
	}

	// alwaysGrantingPeers grants every claim of a request name that would go to
	// another entry, without asking it.
	alwaysGrantingPeers struct{ server.Peers }

	// nameDroppingPeers removes the request names from every handover.
	nameDroppingPeers struct{ server.Peers }

	// emptyRecordStore returns no record of evacuations, so that entries do not
	// see those of others.
	emptyRecordStore struct{ server.Store }

	// longLeaseWorkers extends the lease and the latest start time of every task
	// by so much that they have no effect.
	longLeaseWorkers struct{ server.Workers }
)

func (s unconditionalStore) Swap(ctx context.Context, key string, value []byte, revision int64, lease keeper.LeaseID) (keeper.Record, error) {
	if !strings.HasPrefix(key, s.prefix) {
		return s.Store.Swap(ctx, key, value, revision, lease)
	}
	for {
		current, err := s.Get(ctx, key)
		if err != nil {
			return current, err
		}
		stored, err := s.Store.Swap(ctx, key, value, current.Revision, lease)
		if !errors.Is(err, keeper.ErrConflict) {
			return stored, err
		}
	}
}

func (alwaysGrantingPeers) Claim(_ context.Context, _ string, r messenger.ClaimRequest) (messenger.ClaimReply, error) {
	return messenger.ClaimReply{Granted: true, Holder: r.Member, Task: r.Task, View: r.View}, nil
}

func (p nameDroppingPeers) HandOver(ctx context.Context, address string, r messenger.HandOverRequest) error {
	r.Names = nil
	return p.Peers.HandOver(ctx, address, r)
}

func (s emptyRecordStore) Get(ctx context.Context, key string) (keeper.Record, error) {
	record, err := s.Store.Get(ctx, key)
	if key == keeper.EvacuationsKey && err == nil {
		return keeper.Record{Key: key}, nil
	}
	return record, err
}

func (w longLeaseWorkers) Start(ctx context.Context, address string, s dispatcher.Start) (dispatcher.Finish, error) {
	s.Lease = time.Hour
	s.StartBy = s.StartBy.Add(time.Hour)
	return w.Workers.Start(ctx, address, s)
}

func withoutCompareAndSwap(prefix string) func(server.Store) server.Store {
	return func(s server.Store) server.Store { return unconditionalStore{s, prefix} }
}

// isolatedEntryPlan separates one of three entries from the store and its peers
// while a key is withdrawn.
func isolatedEntryPlan(run int) prover.Plan {
	return prover.Plan{Entries: 3, LoadSeed: uint64(run), RequestInterval: 50 * time.Millisecond, Steps: []prover.Step{
		{Kind: prover.CutStore, Target: 0, Duration: time.Minute},
		{Kind: prover.CutPeers, Target: 0, Parameter: 1, Duration: time.Minute},
		{Kind: prover.CutPeers, Target: 0, Parameter: 2, Duration: time.Minute},
		{Kind: prover.WithdrawKey, Target: 1, Parameter: 0, Delay: time.Second, Duration: time.Minute},
	}}
}

// isolatedStarterPlan separates one of three entries from the store and its peers
// while each zone is evacuated in turn.
func isolatedStarterPlan(run int) prover.Plan {
	p := isolatedEntryPlan(run)
	p.Steps = p.Steps[:3]
	for zone := range 3 {
		p.Steps = append(p.Steps, prover.Step{Kind: prover.Evacuate, Target: zone, Parameter: 1, Delay: time.Second, Duration: 30 * time.Second})
	}
	return p
}

// limitChangesPlan changes the limits of all teams repeatedly on a slow store
// under load, so that holders of slots and the coordinator write the same
// accounts at the same time.
func limitChangesPlan(run int) prover.Plan {
	p := prover.Plan{Entries: 5, LoadSeed: uint64(run), RequestInterval: 50 * time.Millisecond, Steps: []prover.Step{
		{Kind: prover.StoreSlow, Parameter: 1, Duration: time.Minute},
	}}
	for n := range 24 {
		p.Steps = append(p.Steps, prover.Step{Kind: prover.ChangeLimit, Target: n, Parameter: 1 + (n*5+run)%9, Delay: 1500 * time.Millisecond})
	}
	return p
}

// randomPlansOf returns a function that generates random plans with steps of the
// given kinds.
func randomPlansOf(kinds ...prover.Kind) func(run int) prover.Plan {
	plans := prover.Plans(kinds...)
	return func(run int) prover.Plan { return plans.Example(run) }
}

// Each case disables one safety mechanism, and the checker must report a breach
// of the invariant that the mechanism protects. The last plan must pass with the
// mechanism enabled.
func TestCheckerFindsDisabledMechanism(t *testing.T) {
	tests := []struct {
		name string
		opts prover.Options
		plan func(run int) prover.Plan
		want checker.Invariant
	}{
		{
			"compare-and-swap of the ledger", prover.Options{Store: withoutCompareAndSwap(keeper.LedgerPrefix)},
			limitChangesPlan, checker.Limit,
		},
		{
			"compare-and-swap of instances", prover.Options{Store: withoutCompareAndSwap(keeper.InstancePrefix)},
			randomPlansOf(prover.Move, prover.Drain, prover.RebootAll, prover.StoreSlow, prover.PauseEntry, prover.CrashEntry), checker.OnePool,
		},
		{
			"compare-and-swap of absences", prover.Options{Store: withoutCompareAndSwap(keeper.AbsencesKey)},
			randomPlansOf(prover.RebootAll, prover.Drain, prover.StoreSlow), checker.Budgets,
		},
		{
			"compare-and-swap of rules", prover.Options{Store: withoutCompareAndSwap(keeper.RulesPrefix)},
			randomPlansOf(prover.ConcurrentChanges, prover.StoreSlow), checker.Configuration,
		},
		{
			"claims", prover.Options{Peers: func(p server.Peers) server.Peers { return alwaysGrantingPeers{p} }},
			randomPlansOf(prover.Burst), checker.AtMostOnce,
		},
		{
			"hand-over of names", prover.Options{Peers: func(p server.Peers) server.Peers { return nameDroppingPeers{p} }},
			randomPlansOf(prover.StopEntry), checker.AtMostOnce,
		},
		{
			"leases of tasks", prover.Options{Workers: func(w server.Workers) server.Workers { return longLeaseWorkers{w} }},
			randomPlansOf(prover.CrashEntry, prover.LoseEntry), checker.OnePool,
		},
		{
			"staleness bound", prover.Options{Settings: func(s *server.Settings) { s.Staleness = 24 * time.Hour }},
			isolatedEntryPlan, checker.WithdrawnKey,
		},
		{
			"staleness bound of evacuations", prover.Options{Settings: func(s *server.Settings) { s.Staleness = 24 * time.Hour }},
			isolatedStarterPlan, prover.Evacuation,
		},
		{
			"record of evacuations", prover.Options{Store: func(s server.Store) server.Store { return emptyRecordStore{s} }},
			randomPlansOf(prover.Evacuate), prover.Evacuation,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tt.opts.Log = options().Log
			fired := map[checker.Invariant]int{}
			runs := 0
			for ; runs < maxFaultyRuns && fired[tt.want] == 0; runs++ {
				w := run(t, tt.plan(runs), tt.opts)
				for _, b := range w.Breaches() {
					fired[b.Invariant]++
				}
			}
			t.Logf("%d runs: %v", runs, fired)
			require.Positive(t, fired[tt.want])
			last := tt.plan(runs - 1)
			require.Empty(t, report(runs-1, last, run(t, last, options())), "the same plan with the mechanism enabled")
		})
	}
}
