package elector_test

import (
	"context"
	"log/slog"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/elector"
	"github.com/coltsfootlever/coltsfootlever/emulator"
	"github.com/coltsfootlever/coltsfootlever/keeper"
)

// leaderLog records which entry nodes are leading and the tokens of all terms.
type leaderLog struct {
	mu      sync.Mutex
	leaders map[string]int64
	tokens  []int64
}

func (s *leaderLog) recordTerm(name string) func(ctx context.Context, t *elector.Term) {
	return func(ctx context.Context, t *elector.Term) {
		s.mu.Lock()
		s.leaders[name] = t.Token
		s.tokens = append(s.tokens, t.Token)
		s.mu.Unlock()
		<-ctx.Done()
		s.mu.Lock()
		delete(s.leaders, name)
		s.mu.Unlock()
	}
}

func (s *leaderLog) currentLeaders() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var names []string
	for name := range s.leaders {
		names = append(names, name)
	}
	return names
}

func runElection(t *testing.T, fn func(t *testing.T, store *emulator.MetaStore, s *leaderLog, start func(name string) context.CancelFunc)) {
	synctest.Test(t, func(t *testing.T) {
		store, s := emulator.NewMetaStore(), &leaderLog{leaders: make(map[string]int64)}
		var running sync.WaitGroup
		fn(t, store, s, func(name string) context.CancelFunc {
			ctx, cancel := context.WithCancel(t.Context())
			running.Go(func() {
				_ = elector.New(store.ClientFor(name), name, s.recordTerm(name), slog.New(slog.DiscardHandler)).Run(ctx)
			})
			return cancel
		})
		running.Wait()
	})
}

func TestOnlyOneEntryLeadsAtATime(t *testing.T) {
	runElection(t, func(t *testing.T, _ *emulator.MetaStore, s *leaderLog, start func(string) context.CancelFunc) {
		stops := map[string]context.CancelFunc{"a": start("a"), "b": start("b"), "c": start("c")}
		for range 3 {
			time.Sleep(2 * time.Second)
			leaders := s.currentLeaders()
			require.Len(t, leaders, 1)
			stops[leaders[0]]()
		}
		time.Sleep(2 * time.Second)
		require.Empty(t, s.currentLeaders())
		require.Len(t, s.tokens, 3)
		require.Less(t, s.tokens[0], s.tokens[1])
		require.Less(t, s.tokens[1], s.tokens[2])
	})
}

func TestUnreachableLeaderIsReplacedAfterItsLease(t *testing.T) {
	runElection(t, func(t *testing.T, store *emulator.MetaStore, s *leaderLog, start func(string) context.CancelFunc) {
		stopA := start("a")
		time.Sleep(time.Second)
		stopB := start("b")
		store.InjectFaults(func(f *emulator.MetaStoreFaults) { f.DisconnectedClients["a"] = true })
		time.Sleep(time.Second)
		require.Equal(t, []string{"a"}, s.currentLeaders())
		time.Sleep(2 * time.Second)
		require.Contains(t, s.currentLeaders(), "b")
		store.InjectFaults(func(f *emulator.MetaStoreFaults) { f.DisconnectedClients["a"] = false })
		time.Sleep(2 * time.Second)
		require.Equal(t, []string{"b"}, s.currentLeaders(), "entry a must notice that it lost its lease")
		stopA()
		stopB()
	})
}

func TestLostCommitResponseIsResolvedByReadingTheRecord(t *testing.T) {
	runElection(t, func(t *testing.T, store *emulator.MetaStore, s *leaderLog, start func(string) context.CancelFunc) {
		lost := 0
		store.InjectFaults(func(f *emulator.MetaStoreFaults) {
			f.LoseCommitResponse = func(txn keeper.Txn) (bool, time.Duration) {
				lost++
				return lost == 1, 0
			}
		})
		stop := start("a")
		time.Sleep(3 * time.Second)
		require.Equal(t, []string{"a"}, s.currentLeaders())
		stop()
	})
}

func TestLeaderExtendsTaskLeasesForALimitedTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := emulator.NewMetaStore()
		terms := make(chan *elector.Term, 1)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = elector.New(store.ClientFor("a"), "a", func(ctx context.Context, term *elector.Term) {
				terms <- term
				<-ctx.Done()
			}, slog.New(slog.DiscardHandler)).Run(ctx)
		}()
		term := <-terms
		require.True(t, term.IsValid())
		store.InjectFaults(func(f *emulator.MetaStoreFaults) { f.Down = true })
		before := term.Now()
		time.Sleep(2 * time.Second)
		require.False(t, term.IsValid())
		require.True(t, term.WasValidAt(before))
		require.False(t, term.WasValidAt(term.Now()))
		require.True(t, term.MayExtend())
		time.Sleep(elector.ExtensionLimit())
		require.False(t, term.MayExtend())
		cancel()
		<-done
	})
}

// A leader that makes no progress must be replaced even if it can still renew
// its lease.
func TestStalledLeaderIsReplaced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := emulator.NewMetaStore()
		s := &leaderLog{leaders: make(map[string]int64)}
		ctx, cancel := context.WithCancel(t.Context())
		var running sync.WaitGroup
		start := func(name string, lead func(context.Context, *elector.Term)) {
			running.Go(func() {
				_ = elector.New(store.ClientFor(name), name, lead, slog.New(slog.DiscardHandler)).Run(ctx)
			})
		}
		start("slow", s.recordTerm("slow"))
		time.Sleep(time.Second)
		require.Equal(t, []string{"slow"}, s.currentLeaders())
		start("fast", func(ctx context.Context, term *elector.Term) {
			done := make(chan struct{})
			go func() {
				defer close(done)
				for ctx.Err() == nil {
					term.ReportProgress()
					time.Sleep(100 * time.Millisecond)
				}
			}()
			s.recordTerm("fast")(ctx, term)
			<-done
		})
		time.Sleep(5 * time.Second)
		require.Equal(t, []string{"fast"}, s.currentLeaders())
		time.Sleep(20 * time.Second)
		require.Equal(t, []string{"fast"}, s.currentLeaders())
		cancel()
		running.Wait()
	})
}

// termCount returns the number of terms that have begun.
func (s *leaderLog) termCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.tokens)
}

// progressingTerm runs a term of an entry node that makes progress.
func (s *leaderLog) progressingTerm(name string) func(ctx context.Context, t *elector.Term) {
	record := s.recordTerm(name)
	return func(ctx context.Context, t *elector.Term) {
		var progress sync.WaitGroup
		progress.Go(func() {
			for ctx.Err() == nil {
				t.ReportProgress()
				time.Sleep(100 * time.Millisecond)
			}
		})
		record(ctx, t)
		progress.Wait()
	}
}

// A weak entry node that has become leader during an outage hands over to a strong one.
// Strong ones don't challenge each other, and neither do weak ones.
func TestLeaderResignsWhenABetterSuitedEntryChallengesIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store, s := emulator.NewMetaStore(), &leaderLog{leaders: make(map[string]int64)}
		strength := map[string]int{"weak-1": 1, "weak-2": 1, "strong-1": 4, "strong-2": 4}
		var running sync.WaitGroup
		ctx, stop := context.WithCancel(t.Context())
		start := func(name string) {
			running.Go(func() {
				_ = elector.New(store.ClientFor(name), name, s.progressingTerm(name), slog.New(slog.DiscardHandler),
					elector.WithDelay(func(context.Context) time.Duration { return time.Duration(4-strength[name]) * 100 * time.Millisecond }),
					elector.WithBetterSuited(func(_ context.Context, leader string) (bool, error) { return strength[name] > strength[leader], nil }),
				).Run(ctx)
			})
		}
		start("weak-1")
		start("weak-2")
		time.Sleep(10 * time.Second)
		require.Equal(t, 1, s.termCount())
		start("strong-1")
		start("strong-2")
		time.Sleep(6 * time.Second)
		require.Len(t, s.currentLeaders(), 1)
		require.Contains(t, s.currentLeaders()[0], "strong")
		time.Sleep(20 * time.Second)
		require.Equal(t, 2, s.termCount())
		stop()
		running.Wait()
	})
}
