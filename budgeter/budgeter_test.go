package budgeter

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/coltsfootlever/coltsfootlever/classifier"
	"github.com/coltsfootlever/coltsfootlever/emulator"
	"github.com/coltsfootlever/coltsfootlever/keeper"
	"github.com/coltsfootlever/coltsfootlever/parser"
)

type (
	// revisionIgnoringStore is a store whose compare-and-swap always writes,
	// whatever the revision.
	revisionIgnoringStore struct{ Store }

	// pausingStore is a store whose first write closes paused and then waits until
	// resume is closed.
	pausingStore struct {
		Store
		once   sync.Once
		paused chan struct{}
		resume chan struct{}
	}
)

func (b revisionIgnoringStore) Swap(ctx context.Context, key string, value []byte, _ int64, lease keeper.LeaseID) (keeper.Record, error) {
	for {
		rec, err := b.Get(ctx, key)
		if err != nil {
			return rec, err
		}
		if rec, err = b.Store.Swap(ctx, key, value, rec.Revision, lease); !errors.Is(err, keeper.ErrConflict) {
			return rec, err
		}
	}
}

func (s *pausingStore) Swap(ctx context.Context, key string, value []byte, revision int64, lease keeper.LeaseID) (keeper.Record, error) {
	s.once.Do(func() {
		close(s.paused)
		<-s.resume
	})
	return s.Store.Swap(ctx, key, value, revision, lease)
}

func onePerPool() *parser.Rules {
	return &parser.Rules{Number: 3, Budgets: []parser.Budget{{Scope: parser.PoolScope, Name: parser.Wildcard, MaxAbsent: 1}}}
}

func testAbsence(n int) Absence {
	return Absence{Instance: fmt.Sprintf("a%d", n), Pool: "a", Zone: "z", Rack: "r", Order: fmt.Sprintf("drain-%d", n)}
}

func TestNamedBudgetOverridesDefault(t *testing.T) {
	rules := []parser.Budget{
		{Scope: parser.PoolScope, Name: parser.Wildcard, MaxAbsent: 1},
		{Scope: parser.PoolScope, Name: "a", MaxAbsent: 2},
		{Scope: parser.ZoneScope, Name: "z", MaxAbsent: 3},
		{Scope: parser.RackScope, Name: "other", MaxAbsent: 0},
	}
	for _, test := range []struct {
		name   string
		paused []Absence
		x      Absence
		want   string
	}{
		{"room", nil, testAbsence(1), ""},
		{"named budget", []Absence{testAbsence(1)}, testAbsence(2), ""},
		{"spent", []Absence{testAbsence(1), testAbsence(2)}, testAbsence(3), "budget of pool a allows 2 absent and 2 are: a1 (planned drain-1), a2 (planned drain-2)"},
		{"other pool", nil, Absence{Instance: "b", Pool: "b", Zone: "z", Rack: "other"}, "budget of rack other allows 0 absent and 0 are: none"},
	} {
		t.Run(test.name, func(t *testing.T) {
			var a Absences
			for _, x := range test.paused {
				x.Kind = Planned
				a = a.withAbsence(x)
			}
			err := CheckBudgets(rules, a, test.x)
			if test.want == "" {
				require.NoError(t, err)
				return
			}
			require.ErrorContains(t, err, test.want)
			require.Equal(t, classifier.NotRun, classifier.VerdictOf(err))
		})
	}
}

// startAbsencesConcurrently makes four controllers start absences of one pool at
// the same time and returns how many were granted.
func startAbsencesConcurrently(t *testing.T, store Store) int {
	var granted int
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		var wg sync.WaitGroup
		for n := range 4 {
			wg.Go(func() {
				err := New(store, onePerPool).StartAbsence(t.Context(), testAbsence(n))
				if err == nil {
					mu.Lock()
					granted++
					mu.Unlock()
					return
				}
				require.Equal(t, classifier.BudgetSpent, classifier.As(err).Code)
			})
		}
		wg.Wait()
	})
	return granted
}

func TestRacingControllersDoNotExceedBudget(t *testing.T) {
	store := emulator.NewStore()
	store.SetDelay(5 * time.Millisecond)
	require.Equal(t, 1, startAbsencesConcurrently(t, store))
}

// Shows that TestRacingControllersDoNotExceedBudget can fail: with a store that
// ignores the revision, more than one absence is granted.
func TestIgnoringTheRevisionExceedsBudget(t *testing.T) {
	store := emulator.NewStore()
	store.SetDelay(5 * time.Millisecond)
	require.Greater(t, startAbsencesConcurrently(t, revisionIgnoringStore{store}), 1)
}

// Guards against a controller that is paused between its read and its write, and
// then takes an absence although another controller has used up the budget
// meanwhile.
func TestPausedControllerDoesNotExceedBudget(t *testing.T) {
	for name, test := range map[string]struct {
		wrap func(Store) Store
		want int
	}{
		"compare-and-swap": {func(s Store) Store { return s }, 1},
		"revision ignored": {func(s Store) Store { return revisionIgnoringStore{s} }, 2},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := emulator.NewStore()
				paused := &pausingStore{Store: test.wrap(store), paused: make(chan struct{}), resume: make(chan struct{})}
				result := make(chan error, 1)
				go func() { result <- New(paused, onePerPool).StartAbsence(t.Context(), testAbsence(1)) }()
				<-paused.paused
				granted := 0
				if New(store, onePerPool).StartAbsence(t.Context(), testAbsence(2)) == nil {
					granted++
				}
				time.Sleep(time.Hour)
				close(paused.resume)
				if <-result == nil {
					granted++
				}
				require.Equal(t, test.want, granted)
			})
		})
	}
}

func TestTakeIsRecordedOnceWhenAnswerIsLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := emulator.NewStore()
		b := New(store, onePerPool)
		store.LoseNextWriteResponses(1)
		require.NoError(t, b.StartAbsence(t.Context(), testAbsence(1)))
		require.NoError(t, b.StartAbsence(t.Context(), testAbsence(1)), "taking it again changes nothing")
		a, err := b.Absences(t.Context())
		require.NoError(t, err)
		require.Len(t, a.List, 1)
		store.LoseNextWriteResponses(1)
		require.NoError(t, b.EndAbsence(t.Context(), "a1", "drain-1"))
		require.NoError(t, b.StartAbsence(t.Context(), testAbsence(2)))
	})
}

func TestTakeIsRefusedWithOldRules(t *testing.T) {
	store := emulator.NewStore()
	require.NoError(t, New(store, onePerPool).StartAbsence(t.Context(), testAbsence(1)))
	old := func() *parser.Rules { return &parser.Rules{Number: 2} }
	err := New(store, old).StartAbsence(t.Context(), testAbsence(2))
	require.ErrorContains(t, err, "budgets of rules 3 are in force")
	err = New(store, func() *parser.Rules { return nil }).StartAbsence(t.Context(), testAbsence(2))
	require.Equal(t, classifier.Unready, classifier.As(err).Code)
}

// Takes, failures and returns in random order, with lost answers of the store,
// never leave a planned absence that exceeds a budget.
func TestRandomControllers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		store := emulator.NewStore()
		broken := ""
		b := New(store, onePerPool, WithAssert(func(ok bool, format string, args ...any) {
			if !ok {
				broken = fmt.Sprintf(format, args...)
			}
		}))
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			x := testAbsence(rapid.IntRange(0, 3).Draw(t, "instance"))
			x.Order = rapid.SampledFrom([]string{"o1", "o2"}).Draw(t, "order")
			before, err := b.Absences(t.Context())
			require.NoError(t, err)
			store.LoseNextWriteResponses(rapid.IntRange(0, 1).Draw(t, "lost"))
			was, paused := before.Find(x.Instance)
			switch rapid.IntRange(0, 2).Draw(t, "what") {
			case 0:
				again := paused && was.Kind == Planned && was.Order == x.Order
				if b.StartAbsence(t.Context(), x) == nil && !again {
					require.Empty(t, before.List)
				}
			case 1:
				require.NoError(t, b.MarkUnplanned(t.Context(), x))
			case 2:
				require.NoError(t, b.EndAbsence(t.Context(), x.Instance, x.Order))
				after, err := b.Absences(t.Context())
				require.NoError(t, err)
				_, is := after.Find(x.Instance)
				require.Equal(t, paused && was.Order != x.Order, is)
			}
			store.LoseNextWriteResponses(0)
			require.Empty(t, broken)
		}
	})
}
