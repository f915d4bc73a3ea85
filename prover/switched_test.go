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

const maxSwitchedRuns = 12 // until the checker must have found the fault

type (
	// blindStore compares no revision of the records under a prefix.
	blindStore struct {
		server.Store
		prefix string
	}

	// freePeers grants every claim that crosses the network.
	freePeers struct{ server.Peers }

	// forgetfulPeers hand no names over.
	forgetfulPeers struct{ server.Peers }

	// endlessWorkers ignore leases and the time by which to start.
	endlessWorkers struct{ server.Workers }
)

func (s blindStore) Swap(ctx context.Context, key string, value []byte, revision int64, lease keeper.LeaseID) (keeper.Record, error) {
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

func (freePeers) Claim(_ context.Context, _ string, r messenger.ClaimRequest) (messenger.ClaimReply, error) {
	return messenger.ClaimReply{Granted: true, Holder: r.Member, Task: r.Task, View: r.View}, nil
}

func (p forgetfulPeers) HandOver(ctx context.Context, address string, r messenger.HandOverRequest) error {
	r.Names = nil
	return p.Peers.HandOver(ctx, address, r)
}

func (w endlessWorkers) Start(ctx context.Context, address string, s dispatcher.Start) (dispatcher.Finish, error) {
	s.Lease = time.Hour
	s.StartBy = s.StartBy.Add(time.Hour)
	return w.Workers.Start(ctx, address, s)
}

func blind(prefix string) func(server.Store) server.Store {
	return func(s server.Store) server.Store { return blindStore{s, prefix} }
}

// cutOff leaves one entry of three without the store and its peers, while a key
// is withdrawn.
func cutOff(run int) prover.Plan {
	return prover.Plan{Entries: 3, Load: uint64(run), Every: 50 * time.Millisecond, Steps: []prover.Step{
		{Kind: prover.CutStore, A: 0, For: time.Minute},
		{Kind: prover.CutPeers, A: 0, B: 1, For: time.Minute},
		{Kind: prover.CutPeers, A: 0, B: 2, For: time.Minute},
		{Kind: prover.WithdrawKey, A: 1, B: 0, After: time.Second, For: time.Minute},
	}}
}

// limits changes the limits of all teams over and over on a slow store, under
// load, so that holders and the coordinator write the same accounts at once.
func limits(run int) prover.Plan {
	p := prover.Plan{Entries: 5, Load: uint64(run), Every: 50 * time.Millisecond, Steps: []prover.Step{
		{Kind: prover.StoreSlow, B: 1, For: time.Minute},
	}}
	for n := range 24 {
		p.Steps = append(p.Steps, prover.Step{Kind: prover.ChangeLimit, A: n, B: 1 + (n*5+run)%9, After: 1500 * time.Millisecond})
	}
	return p
}

// of returns the plans of the given kinds.
func of(kinds ...prover.Kind) func(run int) prover.Plan {
	plans := prover.Plans(kinds...)
	return func(run int) prover.Plan { return plans.Example(run) }
}

// Each test switches one mechanism off, and the checker must find it.
func TestSwitchedOff(t *testing.T) {
	tests := []struct {
		name string
		opts prover.Options
		plan func(run int) prover.Plan
		want checker.Invariant
	}{
		{
			"compare-and-swap of the ledger", prover.Options{Store: blind(keeper.LedgerPrefix)},
			limits, checker.Limit,
		},
		{
			"compare-and-swap of instances", prover.Options{Store: blind(keeper.InstancePrefix)},
			of(prover.Move, prover.Drain, prover.Wave, prover.StoreSlow, prover.PauseEntry, prover.CrashEntry), checker.OnePool,
		},
		{
			"compare-and-swap of absences", prover.Options{Store: blind(keeper.AbsencesKey)},
			of(prover.Wave, prover.Drain, prover.StoreSlow), checker.Budgets,
		},
		{
			"compare-and-swap of rules", prover.Options{Store: blind(keeper.RulesPrefix)},
			of(prover.RaceOperators, prover.StoreSlow), checker.Configuration,
		},
		{
			"claims", prover.Options{Peers: func(p server.Peers) server.Peers { return freePeers{p} }},
			of(prover.Burst), checker.AtMostOnce,
		},
		{
			"hand-over of names", prover.Options{Peers: func(p server.Peers) server.Peers { return forgetfulPeers{p} }},
			of(prover.StopEntry), checker.AtMostOnce,
		},
		{
			"leases of tasks", prover.Options{Workers: func(w server.Workers) server.Workers { return endlessWorkers{w} }},
			of(prover.CrashEntry, prover.LoseEntry), checker.OnePool,
		},
		{
			"staleness bound", prover.Options{Settings: func(s *server.Settings) { s.Staleness = 24 * time.Hour }},
			cutOff, checker.WithdrawnKey,
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			tt.opts.Log = options().Log
			fired := map[checker.Invariant]int{}
			runs := 0
			for ; runs < maxSwitchedRuns && fired[tt.want] == 0; runs++ {
				w := run(t, tt.plan(runs), tt.opts)
				for _, b := range w.Breaches() {
					fired[b.Invariant]++
				}
			}
			t.Logf("%d runs: %v", runs, fired)
			require.Positive(t, fired[tt.want])
			last := tt.plan(runs - 1)
			require.Empty(t, report(runs-1, last, run(t, last, options())), "with the mechanism on")
		})
	}
}
