package distributor_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/classifier"
	"github.com/coltsfootlever/coltsfootlever/distributor"
	"github.com/coltsfootlever/coltsfootlever/emulator"
	"github.com/coltsfootlever/coltsfootlever/keeper"
	"github.com/coltsfootlever/coltsfootlever/parser"
)

func TestApplyReachesEveryEntry(t *testing.T) {
	runWithFleet(t, 3, func(ctx context.Context, f *fleet) {
		f.run(ctx)
		time.Sleep(time.Second)
		var seen []uint64
		f.entries["entry-2"].Subscribe(func(r *parser.Rules) { seen = append(seen, r.Number) })
		applied, err := f.entries["entry-0"].Apply(ctx, 0, poolRules("a"), "ana")
		require.NoError(t, err)
		require.Equal(t, uint64(1), applied.Number)
		require.Empty(t, applied.Missing)
		require.ElementsMatch(t, []string{"entry-0", "entry-1", "entry-2"}, applied.Confirmed)
		for _, d := range f.entries {
			require.Equal(t, "a", d.Rules().Pools[0].Name)
		}
		again, err := f.entries["entry-1"].Apply(ctx, 1, poolRules("a"), "ben")
		require.NoError(t, err)
		require.True(t, again.Unchanged)
		require.Equal(t, []uint64{1}, seen)
	})
}

func TestApplyReportsUnconfirmedMembers(t *testing.T) {
	runWithFleet(t, 3, func(ctx context.Context, f *fleet) {
		f.setIsolated("entry-2", true)
		f.run(ctx)
		applied, err := f.entries["entry-0"].Apply(ctx, 0, poolRules("a"), "ana")
		require.NoError(t, err)
		require.Equal(t, []string{"entry-2"}, applied.Missing)
	})
}

func TestConcurrentApplyConflicts(t *testing.T) {
	runWithFleet(t, 2, func(ctx context.Context, f *fleet) {
		f.store.SetDelay(20 * time.Millisecond)
		f.run(ctx)
		_, err := f.entries["entry-0"].Apply(ctx, 0, poolRules("a"), "ana")
		require.NoError(t, err)
		results := make(chan error, 2)
		for i, text := range [][]byte{poolRules("a", "b"), poolRules("a", "c")} {
			go func() {
				_, err := f.entries[fmt.Sprintf("entry-%d", i)].Apply(ctx, 1, text, "ben")
				results <- err
			}()
		}
		first, second := <-results, <-results
		if first == nil {
			first = second
		} else {
			require.NoError(t, second)
		}
		var conflict *distributor.ConflictError
		require.ErrorAs(t, first, &conflict)
		require.Equal(t, uint64(2), conflict.Number)
		require.True(t, conflict.Complete)
		require.Len(t, conflict.Changes, 1)
		require.Equal(t, "ben", conflict.Changes[0].Who)
		require.Len(t, f.entries["entry-0"].Rules().Pools, 2)
	})
}

func TestLostAnswers(t *testing.T) {
	tests := []struct {
		name string
		lost int
		down time.Duration // length of an outage of the store right after the write
		code classifier.Code
	}{
		{"one answer", 1, 0, ""},
		{"two answers", 2, 0, ""},
		{"then an outage", 1, 5 * time.Second, ""},
		{"then an outage beyond the caller's deadline", 1, time.Hour, classifier.StoreDown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			runWithFleet(t, 1, func(ctx context.Context, f *fleet) {
				d := f.entries["entry-0"]
				client := f.storeClients["entry-0"]
				f.run(ctx)
				time.Sleep(time.Second)
				client.LoseNextWriteResponses(tt.lost)
				if tt.down > 0 {
					time.AfterFunc(50*time.Millisecond, func() { client.SetDown(true) })
					time.AfterFunc(tt.down, func() { client.SetDown(false) })
				}
				call, cancel := context.WithTimeout(ctx, time.Minute)
				defer cancel()
				_, err := d.Apply(call, 0, poolRules("a"), "ana")
				if tt.code != "" {
					require.Equal(t, tt.code, classifier.As(err).Code)
					require.Equal(t, classifier.MayHaveRun, classifier.VerdictOf(err))
					time.Sleep(tt.down)
				} else {
					require.NoError(t, err)
				}
				records, _, err := f.store.List(ctx, keeper.ChangePrefix)
				require.NoError(t, err)
				require.Len(t, records, 1)
				require.Equal(t, uint64(1), d.RulesNumber())
			})
		})
	}
}

// writeThenFailStore performs a write and then fails with an error that leaves
// open whether the write was performed.
type writeThenFailStore struct {
	*emulator.StoreClient
}

func (v writeThenFailStore) Swap(ctx context.Context, key string, value []byte, revision int64, lease keeper.LeaseID) (keeper.Record, error) {
	record, err := v.StoreClient.Swap(ctx, key, value, revision, lease)
	if err == nil {
		err = context.DeadlineExceeded
	}
	return record, err
}

func TestWriteOfUnknownOutcomeIsReadBack(t *testing.T) {
	runWithFleet(t, 0, func(ctx context.Context, f *fleet) {
		var recorded []distributor.Summary
		record := func(s distributor.Summary) { recorded = append(recorded, s) }
		d := distributor.New(writeThenFailStore{f.store.StoreClient}, f, distributor.WithOnCommit(record))
		_, err := d.Apply(ctx, 0, poolRules("a"), "ana")
		require.NoError(t, err)
		require.Equal(t, uint64(1), d.RulesNumber())
		require.Len(t, recorded, 1)
		require.Equal(t, "ana", recorded[0].Who)
	})
}

func TestRefusedApplyWritesNothing(t *testing.T) {
	runWithFleet(t, 1, func(ctx context.Context, f *fleet) {
		d := f.entries["entry-0"]
		f.run(ctx)
		_, err := d.Apply(ctx, 0, poolRules("a", "a"), "ana")
		var faults parser.Errors
		require.ErrorAs(t, err, &faults)
		_, err = d.Apply(ctx, 7, poolRules("a"), "ana")
		var conflict *distributor.ConflictError
		require.ErrorAs(t, err, &conflict)
		f.store.SetDown(true)
		_, err = d.Apply(ctx, 0, poolRules("a"), "ana")
		require.Equal(t, classifier.NotRun, classifier.VerdictOf(err))
		f.store.SetDown(false)
		records, _, err := f.store.List(ctx, keeper.RulesPrefix)
		require.NoError(t, err)
		require.Empty(t, records)
		require.Nil(t, d.Rules())
	})
}

func TestEntryReceivesRulesFromAPeer(t *testing.T) {
	runWithFleet(t, 2, func(ctx context.Context, f *fleet) {
		f.run(ctx)
		_, err := f.entries["entry-0"].Apply(ctx, 0, poolRules("a"), "ana")
		require.NoError(t, err)

		f.store.SetDown(true)
		newEntry := f.add("entry-9")
		go func() { _ = newEntry.Run(ctx) }()
		time.Sleep(time.Second)
		require.Equal(t, uint64(1), newEntry.RulesNumber())

		f.store.SetDown(false)
		f.storeClients["entry-1"].SetDown(true)
		_, err = f.entries["entry-0"].Apply(ctx, 1, poolRules("a", "b"), "ana")
		require.NoError(t, err)
		require.Equal(t, uint64(2), f.entries["entry-1"].RulesNumber())

		f.store.SetDown(true)
		f.mu.Lock()
		f.view.Members = nil
		f.mu.Unlock()
		entryWithoutPeers := f.add("entry-10")
		go func() { _ = entryWithoutPeers.Run(ctx) }()
		time.Sleep(time.Minute)
		require.Nil(t, entryWithoutPeers.Rules())
		require.False(t, entryWithoutPeers.HasReadChanges())
	})
}

func TestKeysAreEditedOnTheLatestRules(t *testing.T) {
	runWithFleet(t, 2, func(ctx context.Context, f *fleet) {
		f.store.SetDelay(20 * time.Millisecond)
		f.run(ctx)
		_, err := f.entries["entry-0"].Apply(ctx, 0, poolRules("a"), "ana")
		require.NoError(t, err)
		results := make(chan error, 2)
		for i := range 2 {
			go func() {
				hash := fmt.Sprintf("sha256:%064d", i)
				key := parser.Key{ID: fmt.Sprintf("key-%d", i), Operator: true, Hash: hash, Comment: "Ana"}
				_, err := f.entries[fmt.Sprintf("entry-%d", i)].AddKey(ctx, "ana", key)
				results <- err
			}()
		}
		require.NoError(t, <-results)
		require.NoError(t, <-results)
		require.Len(t, f.entries["entry-0"].Rules().Keys, 2)
		_, err = f.entries["entry-0"].WithdrawKey(ctx, "ana", "key-1")
		require.NoError(t, err)
		require.Len(t, f.entries["entry-1"].Rules().Keys, 1)
		_, err = f.entries["entry-0"].WithdrawKey(ctx, "ana", "key-1")
		require.Equal(t, classifier.NotFound, classifier.As(err).Code)
	})
}
