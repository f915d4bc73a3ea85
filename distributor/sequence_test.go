package distributor_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/classifier"
	"github.com/coltsfootlever/coltsfootlever/distributor"
	"github.com/coltsfootlever/coltsfootlever/emulator"
	"github.com/coltsfootlever/coltsfootlever/keeper"
	"github.com/coltsfootlever/coltsfootlever/messenger"
)

func TestCompactionKeepsTheSequence(t *testing.T) {
	runWithFleet(t, 1, func(ctx context.Context, f *fleet) {
		d := f.entries["entry-0"]
		f.run(ctx)
		const changes = 400
		for n := range uint64(changes) {
			_, err := d.Apply(ctx, n, poolRules("a", fmt.Sprintf("p%d", n)), "ana")
			require.NoError(t, err)
		}
		records, _, err := f.store.List(ctx, keeper.ChangePrefix)
		require.NoError(t, err)
		require.Less(t, len(records), changes)
		newEntry := f.add("entry-9")
		go func() { _ = newEntry.Run(ctx) }()
		time.Sleep(time.Second)
		require.Equal(t, d.Rules(), newEntry.Rules())
		_, err = d.Apply(ctx, 1, poolRules("a"), "ben")
		var conflict *distributor.ConflictError
		require.ErrorAs(t, err, &conflict)
		require.False(t, conflict.Complete)
		require.NotEmpty(t, conflict.Changes)
	})
}

// interceptedStore calls beforeWrite before the first write of a key, so that a
// test can act between an entry's last read and that write.
type interceptedStore struct {
	*emulator.StoreClient
	key         string
	beforeWrite func()
}

func (s *interceptedStore) Swap(ctx context.Context, key string, value []byte, revision int64, lease keeper.LeaseID) (keeper.Record, error) {
	if act := s.beforeWrite; act != nil && key == s.key {
		s.beforeWrite = nil
		act()
	}
	return s.StoreClient.Swap(ctx, key, value, revision, lease)
}

func TestWriteDelayedPastCompactionIsDeleted(t *testing.T) {
	runWithFleet(t, 1, func(ctx context.Context, f *fleet) {
		d := f.entries["entry-0"]
		f.run(ctx)
		store := &interceptedStore{StoreClient: f.store.ClientFor("paused"), key: "rules/change/000000000001"}
		paused := distributor.New(store, f)
		store.beforeWrite = func() {
			for n := range uint64(400) {
				_, err := d.Apply(ctx, n, poolRules("a", fmt.Sprintf("p%d", n)), "ana")
				require.NoError(t, err)
			}
		}
		_, err := paused.Apply(ctx, 0, poolRules("z"), "ben")
		var conflict *distributor.ConflictError
		require.ErrorAs(t, err, &conflict)
		record, err := f.store.Get(ctx, "rules/change/000000000001")
		require.NoError(t, err)
		require.Zero(t, record.Revision)
	})
}

func TestLateCompactionKeepsTheNewerSnapshot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := newFleet()
		store := &interceptedStore{StoreClient: f.store.ClientFor("late"), key: keeper.SnapshotKey}
		newer, err := keeper.Encode("other", distributor.Snapshot{Number: 65})
		require.NoError(t, err)
		store.beforeWrite = func() {
			_, err := f.store.Swap(ctx, keeper.SnapshotKey, newer, 0, 0)
			require.NoError(t, err)
		}
		d := distributor.New(store, f)
		go func() { _ = d.Run(ctx) }()
		for n := range uint64(64) {
			_, err := d.Apply(ctx, n, poolRules("a", fmt.Sprintf("p%d", n)), "ana")
			require.NoError(t, err)
		}
		time.Sleep(time.Second)
		record, err := f.store.Get(ctx, keeper.SnapshotKey)
		require.NoError(t, err)
		require.Equal(t, string(newer), string(record.Value))
		cancel()
		synctest.Wait()
	})
}

// fixedReplyPeer answers every request for changes with the reply that the test
// sets.
type fixedReplyPeer struct {
	reply messenger.ChangesReply
}

func (p *fixedReplyPeer) ListRulesChanges(context.Context, string, messenger.ChangesRequest) (messenger.ChangesReply, error) {
	return p.reply, nil
}

func TestRepliesOutOfOrderNeitherSkipNorRevertChanges(t *testing.T) {
	runWithFleet(t, 1, func(ctx context.Context, f *fleet) {
		d := f.entries["entry-0"]
		f.run(ctx)
		var replies []messenger.ChangesReply
		for n, names := range [][]string{{"a"}, {"a", "b"}, {"a", "b", "c"}} {
			_, err := d.Apply(ctx, uint64(n), poolRules(names...), "ana")
			require.NoError(t, err)
			reply, err := d.HandleChanges(ctx, messenger.ChangesRequest{After: uint64(n)})
			require.NoError(t, err)
			replies = append(replies, reply)
		}
		old := distributor.Snapshot{Number: 1, Text: string(poolRules("a"))}
		sum := sha256.Sum256([]byte(old.Text))
		old.Digest = hex.EncodeToString(sum[:])
		snapshot, err := keeper.Encode("op", old)
		require.NoError(t, err)
		p := &fixedReplyPeer{}
		port := f.store.ClientFor("learner")
		port.SetDown(true)
		seeds := func() []string { return []string{"peer"} }
		receiver := distributor.New(port, p, distributor.WithSeeds(seeds), distributor.WithAssert(panicUnless))
		go func() { _ = receiver.Run(ctx) }()
		steps := []struct {
			reply messenger.ChangesReply
			want  uint64
		}{
			{replies[1], 0}, // skips change 1
			{replies[0], 1},
			{replies[2], 1}, // skips change 2
			{messenger.ChangesReply{Snapshot: snapshot}, 1},
			{replies[1], 2},
			{replies[0], 2}, // received before
			{messenger.ChangesReply{Snapshot: snapshot}, 2},
			{replies[2], 3},
		}
		for _, step := range steps {
			p.reply = step.reply
			receiver.RecordMemberRules("peer", 3)
			time.Sleep(3 * time.Second)
			require.Equal(t, step.want, receiver.RulesNumber())
		}
		require.Equal(t, d.Rules(), receiver.Rules())
	})
}

func TestApplyIsRefusedWhenTheStoreLostChanges(t *testing.T) {
	runWithFleet(t, 1, func(ctx context.Context, f *fleet) {
		d := f.entries["entry-0"]
		f.run(ctx)
		_, err := d.Apply(ctx, 0, poolRules("a"), "ana")
		require.NoError(t, err)
		record, err := f.store.Get(ctx, "rules/change/000000000001")
		require.NoError(t, err)
		require.NoError(t, f.store.Delete(ctx, record.Key, record.Revision))
		_, err = d.Apply(ctx, 1, poolRules("b"), "ana")
		require.Equal(t, classifier.NotRun, classifier.VerdictOf(err))
		require.Equal(t, uint64(1), d.RulesNumber())
	})
}
