package distributor_test

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"maps"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/coltsfootlever/coltsfootlever/classifier"
	"github.com/coltsfootlever/coltsfootlever/distributor"
	"github.com/coltsfootlever/coltsfootlever/emulator"
	"github.com/coltsfootlever/coltsfootlever/keeper"
	"github.com/coltsfootlever/coltsfootlever/messenger"
	"github.com/coltsfootlever/coltsfootlever/parser"
	"github.com/coltsfootlever/coltsfootlever/registrar"
)

// fleet is a few entries that share a store and hear one another.
type fleet struct {
	store   *emulator.Store
	entries map[string]*distributor.Distributor
	ports   map[string]*emulator.Port

	mu   sync.Mutex // guards entries too
	view registrar.View
	deaf map[string]bool // answers no peer and sends no heartbeat
}

func newFleet() *fleet {
	return &fleet{
		store:   emulator.NewStore(),
		entries: map[string]*distributor.Distributor{},
		ports:   map[string]*emulator.Port{},
		deaf:    map[string]bool{},
	}
}

func (f *fleet) Changes(ctx context.Context, address string, req messenger.ChangesRequest) (messenger.ChangesReply, error) {
	f.mu.Lock()
	d, ok := f.entries[address]
	deaf := f.deaf[address]
	f.mu.Unlock()
	if !ok || deaf {
		return messenger.ChangesReply{}, classifier.Refuse(classifier.PeerLost, "no answer")
	}
	return d.HandleChanges(ctx, req)
}

// add registers an entry and returns it before it runs.
func (f *fleet) add(id string) *distributor.Distributor {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.view.Members = append(f.view.Members, registrar.Member{ID: id, Address: id})
	f.ports[id] = f.store.Caller(id)
	f.entries[id] = distributor.New(f.ports[id], f,
		distributor.WithMembers(id, f.members), distributor.WithAssert(must))
	return f.entries[id]
}

func must(ok bool, format string, args ...any) {
	if !ok {
		panic(fmt.Sprintf(format, args...))
	}
}

func (f *fleet) members() registrar.View {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.view
}

func (f *fleet) setDeaf(id string, deaf bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.deaf[id] = deaf
}

// run starts the entries and their heartbeats until the test ends.
func (f *fleet) run(ctx context.Context) {
	for _, d := range f.entries {
		go func() { _ = d.Run(ctx) }()
	}
	go func() {
		for ctx.Err() == nil {
			f.beat()
			select {
			case <-ctx.Done():
			case <-time.After(2 * time.Second):
			}
		}
	}()
}

func (f *fleet) beat() {
	f.mu.Lock()
	entries, deaf := maps.Clone(f.entries), maps.Clone(f.deaf)
	f.mu.Unlock()
	for from, sender := range entries {
		for to, receiver := range entries {
			if from != to && !deaf[from] {
				receiver.Heard(from, sender.Number())
			}
		}
	}
}

func pools(names ...string) []byte {
	var b strings.Builder
	for _, name := range names {
		fmt.Fprintf(&b, "pool %s # asked by Ana\n", name)
	}
	return []byte(b.String())
}

func inBubble(t *testing.T, n int, fn func(ctx context.Context, f *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := newFleet()
		for i := range n {
			f.add(fmt.Sprintf("entry-%d", i))
		}
		fn(ctx, f)
		cancel()
		synctest.Wait()
	})
}

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
					require.Equal(t, classifier.MayHaveRun, classifier.Of(err))
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
		require.Equal(t, classifier.NotRun, classifier.Of(err))
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

func TestCompactionKeepsTheSequence(t *testing.T) {
	inBubble(t, 1, func(ctx context.Context, f *fleet) {
		d := f.entries["entry-0"]
		f.run(ctx)
		const changes = 400
		for n := range uint64(changes) {
			_, err := d.Apply(ctx, n, pools("a", fmt.Sprintf("p%d", n)), "ana")
			require.NoError(t, err)
		}
		records, _, err := f.store.List(ctx, keeper.ChangePrefix)
		require.NoError(t, err)
		require.Less(t, len(records), changes)
		late := f.add("entry-9")
		go func() { _ = late.Run(ctx) }()
		time.Sleep(time.Second)
		require.Equal(t, d.Rules(), late.Rules())
		_, err = d.Apply(ctx, 1, pools("a"), "ben")
		var conflict *distributor.ConflictError
		require.ErrorAs(t, err, &conflict)
		require.False(t, conflict.Complete)
		require.NotEmpty(t, conflict.Changes)
	})
}

// stalled lets a test act between an entry's last read and its write of a key.
type stalled struct {
	*emulator.Port
	key    string
	before func()
}

func (s *stalled) Swap(ctx context.Context, key string, value []byte, revision int64, lease keeper.LeaseID) (keeper.Record, error) {
	if act := s.before; act != nil && key == s.key {
		s.before = nil
		act()
	}
	return s.Port.Swap(ctx, key, value, revision, lease)
}

func TestWriterPausedBeyondCompactionLeavesNoTrace(t *testing.T) {
	inBubble(t, 1, func(ctx context.Context, f *fleet) {
		d := f.entries["entry-0"]
		f.run(ctx)
		store := &stalled{Port: f.store.Caller("paused"), key: "rules/change/000000000001"}
		paused := distributor.New(store, f)
		store.before = func() {
			for n := range uint64(400) {
				_, err := d.Apply(ctx, n, pools("a", fmt.Sprintf("p%d", n)), "ana")
				require.NoError(t, err)
			}
		}
		_, err := paused.Apply(ctx, 0, pools("z"), "ben")
		var conflict *distributor.ConflictError
		require.ErrorAs(t, err, &conflict)
		record, err := f.store.Get(ctx, "rules/change/000000000001")
		require.NoError(t, err)
		require.Zero(t, record.Revision)
	})
}

func TestLateCompactionLeavesTheNewerSnapshot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		f := newFleet()
		store := &stalled{Port: f.store.Caller("late"), key: keeper.SnapshotKey}
		newer, err := keeper.Encode("other", distributor.Snapshot{Number: 65})
		require.NoError(t, err)
		store.before = func() {
			_, err := f.store.Swap(ctx, keeper.SnapshotKey, newer, 0, 0)
			require.NoError(t, err)
		}
		d := distributor.New(store, f)
		go func() { _ = d.Run(ctx) }()
		for n := range uint64(64) {
			_, err := d.Apply(ctx, n, pools("a", fmt.Sprintf("p%d", n)), "ana")
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

// peer answers with what a test gives it.
type peer struct {
	reply messenger.ChangesReply
}

func (p *peer) Changes(context.Context, string, messenger.ChangesRequest) (messenger.ChangesReply, error) {
	return p.reply, nil
}

func TestAnswersOutOfOrderNeitherSkipNorRevert(t *testing.T) {
	inBubble(t, 1, func(ctx context.Context, f *fleet) {
		d := f.entries["entry-0"]
		f.run(ctx)
		var whole []messenger.ChangesReply
		for n, names := range [][]string{{"a"}, {"a", "b"}, {"a", "b", "c"}} {
			_, err := d.Apply(ctx, uint64(n), pools(names...), "ana")
			require.NoError(t, err)
			reply, err := d.HandleChanges(ctx, messenger.ChangesRequest{After: uint64(n)})
			require.NoError(t, err)
			whole = append(whole, reply)
		}
		old := distributor.Snapshot{Number: 1, Text: string(pools("a"))}
		sum := sha256.Sum256([]byte(old.Text))
		old.Digest = hex.EncodeToString(sum[:])
		snapshot, err := keeper.Encode("op", old)
		require.NoError(t, err)
		p := &peer{}
		port := f.store.Caller("learner")
		port.SetDown(true)
		seeds := func() []string { return []string{"peer"} }
		learner := distributor.New(port, p, distributor.WithSeeds(seeds), distributor.WithAssert(must))
		go func() { _ = learner.Run(ctx) }()
		steps := []struct {
			reply messenger.ChangesReply
			want  uint64
		}{
			{whole[1], 0}, // skips change 1
			{whole[0], 1},
			{whole[2], 1}, // skips change 2
			{messenger.ChangesReply{Snapshot: snapshot}, 1},
			{whole[1], 2},
			{whole[0], 2}, // old
			{messenger.ChangesReply{Snapshot: snapshot}, 2},
			{whole[2], 3},
		}
		for _, step := range steps {
			p.reply = step.reply
			learner.Heard("peer", 3)
			time.Sleep(3 * time.Second)
			require.Equal(t, step.want, learner.Number())
		}
		require.Equal(t, d.Rules(), learner.Rules())
	})
}

func TestStoreThatLostChangesIsRefused(t *testing.T) {
	inBubble(t, 1, func(ctx context.Context, f *fleet) {
		d := f.entries["entry-0"]
		f.run(ctx)
		_, err := d.Apply(ctx, 0, pools("a"), "ana")
		require.NoError(t, err)
		record, err := f.store.Get(ctx, "rules/change/000000000001")
		require.NoError(t, err)
		require.NoError(t, f.store.Delete(ctx, record.Key, record.Revision))
		_, err = d.Apply(ctx, 1, pools("b"), "ana")
		require.Equal(t, classifier.NotRun, classifier.Of(err))
		require.Equal(t, uint64(1), d.Number())
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

// TestRandomFaults applies changes through entries whose ways to the store
// fail at random. Every accepted change must be in the sequence once, and all
// entries must end with the same rules.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		inBubble(t, 3, func(ctx context.Context, f *fleet) {
			f.run(ctx)
			accepted, doubtful := 0, 0
			for step := range rapid.IntRange(1, 12).Draw(rt, "steps") {
				id := fmt.Sprintf("entry-%d", rapid.IntRange(0, 2).Draw(rt, "entry"))
				f.ports[id].SetDown(rapid.IntRange(0, 3).Draw(rt, "down") == 0)
				f.ports[id].LoseNextAnswers(rapid.IntRange(0, 2).Draw(rt, "lost"))
				f.setDeaf(id, rapid.IntRange(0, 3).Draw(rt, "deaf") == 0)
				d := f.entries[id]
				call, cancel := context.WithTimeout(ctx, 20*time.Second)
				before := d.Number()
				_, err := d.Apply(call, before, pools(fmt.Sprintf("p%d", step)), "ana")
				cancel()
				var conflict *distributor.ConflictError
				switch {
				case err == nil:
					accepted++
				case errors.As(err, &conflict):
				case classifier.Of(err) == classifier.MayHaveRun:
					doubtful++
				}
			}
			for id, port := range f.ports {
				port.SetDown(false)
				port.LoseNextAnswers(0)
				f.setDeaf(id, false)
			}
			time.Sleep(time.Minute)
			last := f.entries["entry-0"].Rules()
			number := int(f.entries["entry-0"].Number())
			require.GreaterOrEqual(t, number, accepted)
			require.LessOrEqual(t, number, accepted+doubtful)
			for _, d := range f.entries {
				require.Equal(t, last, d.Rules())
			}
		})
	})
}

func FuzzDecodeChange(f *testing.F) {
	f.Add([]byte(`{"op":"x","body":{"number":1,"op":"x","who":"ana","when":"2026-01-01T00:00:00Z","differences":[{"action":"added","kind":"pool","name":"a","after":"pool a # Ana"}],"digest":"00"}}`))
	f.Add([]byte(`{"op":"x","body":null}`))
	f.Fuzz(func(t *testing.T, value []byte) {
		change, err := distributor.DecodeChange(value)
		if err != nil {
			require.ErrorIs(t, err, distributor.ErrInvalid)
			return
		}
		again, err := keeper.Encode(change.Op, change)
		require.NoError(t, err)
		decoded, err := distributor.DecodeChange(again)
		require.NoError(t, err)
		require.Equal(t, change, decoded)
	})
}
