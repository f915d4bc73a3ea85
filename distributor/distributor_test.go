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
	inBubble(t, 3, func(ctx context.Context, f *fleet) {
		f.run(ctx)
		time.Sleep(time.Second)
		var seen []uint64
		f.entries["entry-2"].Subscribe(func(r *parser.Rules) { seen = append(seen, r.Number) })
		applied, err := f.entries["entry-0"].Apply(ctx, 0, pools("a"), "ana")
		require.NoError(t, err)
		require.Equal(t, uint64(1), applied.Number)
		require.Empty(t, applied.Missing)
		require.ElementsMatch(t, []string{"entry-0", "entry-1", "entry-2"}, applied.Confirmed)
		for _, d := range f.entries {
			require.Equal(t, "a", d.Rules().Pools[0].Name)
		}
		again, err := f.entries["entry-1"].Apply(ctx, 1, pools("a"), "ben")
		require.NoError(t, err)
		require.True(t, again.Unchanged)
		require.Equal(t, []uint64{1}, seen)
	})
}

func TestApplyNamesTheSilent(t *testing.T) {
	inBubble(t, 3, func(ctx context.Context, f *fleet) {
		f.setDeaf("entry-2", true)
		f.run(ctx)
		applied, err := f.entries["entry-0"].Apply(ctx, 0, pools("a"), "ana")
		require.NoError(t, err)
		require.Equal(t, []string{"entry-2"}, applied.Missing)
	})
}

func TestTwoOperatorsAtOnce(t *testing.T) {
	inBubble(t, 2, func(ctx context.Context, f *fleet) {
		f.store.SetDelay(20 * time.Millisecond)
		f.run(ctx)
		_, err := f.entries["entry-0"].Apply(ctx, 0, pools("a"), "ana")
		require.NoError(t, err)
		results := make(chan error, 2)
		for i, text := range [][]byte{pools("a", "b"), pools("a", "c")} {
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
		down time.Duration // outage right after the write
		code classifier.Code
	}{
		{"one answer", 1, 0, ""},
		{"two answers", 2, 0, ""},
		{"then an outage", 1, 5 * time.Second, ""},
		{"then an outage beyond the caller's patience", 1, time.Hour, classifier.StoreDown},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			inBubble(t, 1, func(ctx context.Context, f *fleet) {
				d := f.entries["entry-0"]
				port := f.ports["entry-0"]
				f.run(ctx)
				time.Sleep(time.Second)
				port.LoseNextAnswers(tt.lost)
				if tt.down > 0 {
					time.AfterFunc(50*time.Millisecond, func() { port.SetDown(true) })
					time.AfterFunc(tt.down, func() { port.SetDown(false) })
				}
				call, cancel := context.WithTimeout(ctx, time.Minute)
				defer cancel()
				_, err := d.Apply(call, 0, pools("a"), "ana")
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
				require.Equal(t, uint64(1), d.Number())
			})
		})
	}
}

// vague writes and then fails with an error that tells nothing of the write.
type vague struct {
	*emulator.Port
}

func (v vague) Swap(ctx context.Context, key string, value []byte, revision int64, lease keeper.LeaseID) (keeper.Record, error) {
	record, err := v.Port.Swap(ctx, key, value, revision, lease)
	if err == nil {
		err = context.DeadlineExceeded
	}
	return record, err
}

func TestUnclearErrorIsReadBack(t *testing.T) {
	inBubble(t, 0, func(ctx context.Context, f *fleet) {
		var recorded []distributor.Summary
		record := func(s distributor.Summary) { recorded = append(recorded, s) }
		d := distributor.New(vague{f.store.Port}, f, distributor.WithRecord(record))
		_, err := d.Apply(ctx, 0, pools("a"), "ana")
		require.NoError(t, err)
		require.Equal(t, uint64(1), d.Number())
		require.Len(t, recorded, 1)
		require.Equal(t, "ana", recorded[0].Who)
	})
}

func TestRefusalsChangeNothing(t *testing.T) {
	inBubble(t, 1, func(ctx context.Context, f *fleet) {
		d := f.entries["entry-0"]
		f.run(ctx)
		_, err := d.Apply(ctx, 0, pools("a", "a"), "ana")
		var faults parser.Errors
		require.ErrorAs(t, err, &faults)
		_, err = d.Apply(ctx, 7, pools("a"), "ana")
		var conflict *distributor.ConflictError
		require.ErrorAs(t, err, &conflict)
		f.store.SetDown(true)
		_, err = d.Apply(ctx, 0, pools("a"), "ana")
		require.Equal(t, classifier.NotRun, classifier.VerdictOf(err))
		f.store.SetDown(false)
		records, _, err := f.store.List(ctx, keeper.RulesPrefix)
		require.NoError(t, err)
		require.Empty(t, records)
		require.Nil(t, d.Rules())
	})
}

func TestEntryLearnsFromAPeer(t *testing.T) {
	inBubble(t, 2, func(ctx context.Context, f *fleet) {
		f.run(ctx)
		_, err := f.entries["entry-0"].Apply(ctx, 0, pools("a"), "ana")
		require.NoError(t, err)

		f.store.SetDown(true)
		late := f.add("entry-9")
		go func() { _ = late.Run(ctx) }()
		time.Sleep(time.Second)
		require.Equal(t, uint64(1), late.Number())

		f.store.SetDown(false)
		f.ports["entry-1"].SetDown(true)
		_, err = f.entries["entry-0"].Apply(ctx, 1, pools("a", "b"), "ana")
		require.NoError(t, err)
		require.Equal(t, uint64(2), f.entries["entry-1"].Number())

		f.store.SetDown(true)
		f.mu.Lock()
		f.view.Members = nil
		f.mu.Unlock()
		alone := f.add("entry-10")
		go func() { _ = alone.Run(ctx) }()
		time.Sleep(time.Minute)
		require.Nil(t, alone.Rules())
		require.False(t, alone.Known())
	})
}

func TestKeysAreEditedOnTheLatestRules(t *testing.T) {
	inBubble(t, 2, func(ctx context.Context, f *fleet) {
		f.store.SetDelay(20 * time.Millisecond)
		f.run(ctx)
		_, err := f.entries["entry-0"].Apply(ctx, 0, pools("a"), "ana")
		require.NoError(t, err)
		results := make(chan error, 2)
		for i := range 2 {
			go func() {
				hash := fmt.Sprintf("sha256:%064d", i)
				key := parser.Key{ID: fmt.Sprintf("key-%d", i), Operator: true, Hash: hash, Comment: "Ana"}
				_, err := f.entries[fmt.Sprintf("entry-%d", i)].GiveKey(ctx, "ana", key)
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
