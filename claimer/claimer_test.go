package claimer_test

import (
	"context"
	"crypto/sha256"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/claimer"
	"github.com/coltsfootlever/coltsfootlever/classifier"
	"github.com/coltsfootlever/coltsfootlever/registrar"
)

const settle = 5 * time.Second

// inWorld runs fn in a bubble with three members that know each other.
func inWorld(t *testing.T, fn func(t *testing.T, w *world), opts ...claimer.Option) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		w := newWorld(ctx, 1, nameCount, opts...)
		for i := range firstMembers {
			w.start(fmt.Sprintf("entry-%d", i))
			time.Sleep(time.Second)
		}
		time.Sleep(settle)
		fn(t, w)
		cancel()
		w.wg.Wait()
		require.Empty(t, w.faults)
	})
}

// ask claims a name with the digest of body for the task.
func (n *node) ask(name, body, task string) (claimer.Decision, error) {
	return n.claims.Claim(n.w.ctx, "team", name, sha256.Sum256([]byte(body)), task)
}

// nameAt returns a new dated name whose home is the process.
func (w *world) nameAt(n *node) string {
	for i := uint64(0); ; i++ {
		if name := dated(time.Now(), i); n.claims.IsHome("team", name) {
			return name
		}
	}
}

// undatedAt returns a name without a date whose home is the process.
func (w *world) undatedAt(n *node) string {
	for i := 0; ; i++ {
		if name := fmt.Sprintf("order-%d", i); n.claims.IsHome("team", name) {
			return name
		}
	}
}

func TestRepeatsThroughOtherEntries(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		a, b, c := w.nodes[0], w.nodes[1], w.nodes[2]
		name := dated(time.Now(), 1)
		d, err := a.ask(name, "body", "t1")
		require.NoError(t, err)
		require.True(t, d.Granted)
		for _, n := range []*node{a, b, c} {
			d, err = n.ask(name, "body", "t2")
			require.NoError(t, err)
			require.Equal(t, claimer.Decision{Holder: a.members.Self().ID, Task: "t1"}, d)
		}
		require.NoError(t, a.claims.Settle(w.ctx, "team", name, "t1", classifier.Ran))
		d, err = b.ask(name, "body", "t3")
		require.NoError(t, err)
		require.False(t, d.Granted, "after the answer")
		_, err = c.ask(name, "other body", "t4")
		require.Equal(t, classifier.NameMismatch, classifier.As(err).Code)
		require.Equal(t, classifier.NotRun, classifier.VerdictOf(err))
	})
}

func TestConcurrentClaims(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		name := dated(time.Now(), 1)
		granted := make(chan bool)
		for i := range 12 {
			go func() {
				d, _ := w.nodes[i%firstMembers].ask(name, "body", fmt.Sprintf("t%d", i))
				granted <- d.Granted
			}()
		}
		grants := 0
		for range 12 {
			if <-granted {
				grants++
			}
		}
		require.Equal(t, 1, grants)
	})
}

func TestSettleFreesOnlyTheOwnClaim(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		a, b := w.nodes[0], w.nodes[1]
		name := dated(time.Now(), 1)
		_, err := a.ask(name, "body", "t1")
		require.NoError(t, err)
		require.NoError(t, b.claims.Settle(w.ctx, "team", name, "t2", classifier.NotRun))
		d, err := b.ask(name, "body", "t2")
		require.NoError(t, err)
		require.False(t, d.Granted)
		require.NoError(t, a.claims.Settle(w.ctx, "team", name, "t1", classifier.NotRun))
		d, err = b.ask(name, "body", "t2")
		require.NoError(t, err)
		require.True(t, d.Granted)
	})
}

func TestSettleIsRepeatedUntilTheHomeAnswers(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		home, other := w.nodes[0], w.nodes[1]
		name := w.nameAt(home)
		_, err := other.ask(name, "body", "t1")
		require.NoError(t, err)
		w.cut(home, other, true)
		require.NoError(t, other.claims.Settle(w.ctx, "team", name, "t1", classifier.NotRun))
		require.Equal(t, 1, home.claims.Names())
		w.cut(home, other, false)
		time.Sleep(settle)
		require.Equal(t, 0, home.claims.Names())
	})
}

func TestUnreachableHome(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		home, other := w.nodes[0], w.nodes[1]
		name := w.nameAt(home)
		w.cut(home, other, true)
		_, err := other.ask(name, "body", "t1")
		require.Equal(t, classifier.HomeAbsent, classifier.As(err).Code)
		require.Equal(t, classifier.NotRun, classifier.VerdictOf(err))
	})
}

func TestLostGrantIsReleased(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		home, other := w.nodes[0], w.nodes[1]
		name := w.nameAt(home)
		home.pause()
		go func() {
			time.Sleep(settle)
			home.resume()
		}()
		_, err := other.ask(name, "body", "t1")
		require.Equal(t, classifier.NotRun, classifier.VerdictOf(err))
		time.Sleep(3 * settle)
		d, err := w.nodes[2].ask(name, "body", "t2")
		require.NoError(t, err)
		require.True(t, d.Granted, "the home granted t1 when it woke, and t1 was settled")
	})
}

func TestDeadHome(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		home, other := w.nodes[0], w.nodes[1]
		names := []string{w.nameAt(home), w.nameAt(home), w.undatedAt(home)}
		unmoved := w.undatedAt(other)
		_, err := other.ask(names[0], "body", "t1")
		require.NoError(t, err)
		w.kill(home.instance)
		time.Sleep(listLag + settle)
		_, ok := other.members.View().Departure(home.members.Self().ID)
		require.True(t, ok)
		for _, name := range names {
			_, err = other.ask(name, "body", "t2")
			require.Equal(t, classifier.Repeated, classifier.As(err).Code)
			require.Equal(t, classifier.MayHaveRun, classifier.VerdictOf(err))
		}
		d, err := other.ask(unmoved, "body", "t3")
		require.NoError(t, err)
		require.True(t, d.Granted, "a name that the departed member was never the home of")
		time.Sleep(2 * settle)
		d, err = other.ask(dated(time.Now(), 7), "body", "t4")
		require.NoError(t, err)
		require.True(t, d.Granted, "a name dated after the departure")
	})
}

func TestHolderThatDiedLeavesADoubt(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		holder, home, other := w.nodes[0], w.nodes[1], w.nodes[2]
		name := w.nameAt(home)
		_, err := holder.ask(name, "body", "t1")
		require.NoError(t, err)
		w.kill(holder.instance)
		time.Sleep(listLag + settle)
		d, err := other.ask(name, "body", "t2")
		require.Equal(t, classifier.Repeated, classifier.As(err).Code)
		require.Equal(t, "t1", d.Task)
	})
}

func TestPlannedDepartureKeepsNames(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		home, other := w.nodes[0], w.nodes[1]
		name := w.nameAt(home)
		_, err := other.ask(name, "body", "t1")
		require.NoError(t, err)
		require.NoError(t, home.members.Leave(w.ctx))
		w.kill(home.instance)
		time.Sleep(settle)
		for _, n := range w.live() {
			d, err := n.ask(name, "body", "t2")
			require.NoError(t, err)
			require.Equal(t, claimer.Decision{Holder: other.members.Self().ID, Task: "t1"}, d)
		}
		d, err := other.ask("order-1", "body", "t3")
		require.NoError(t, err)
		require.True(t, d.Granted, "a hand-over leaves no doubt")
	})
}

func TestNewMemberTakesNamesOver(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		held := map[string]string{}
		for i := range uint64(200) {
			name := dated(time.Now(), i)
			held[name] = fmt.Sprintf("t%d", i)
			_, err := w.nodes[i%firstMembers].ask(name, "body", held[name])
			require.NoError(t, err)
		}
		n := w.start("entry-9")
		time.Sleep(settle)
		require.NotZero(t, n.claims.Names())
		total := 0
		for _, m := range w.live() {
			total += m.claims.Names()
		}
		require.Equal(t, len(held), total, "each name has one home")
		for name, task := range held {
			d, err := n.ask(name, "body", "again")
			require.NoError(t, err)
			require.Equal(t, task, d.Task)
		}
	})
}

func TestOldAndFutureNames(t *testing.T) {
	tests := []struct {
		name string
		age  time.Duration
		code classifier.Code
		want classifier.Verdict
	}{
		{"older than the retention", 25 * time.Hour, classifier.Repeated, classifier.MayHaveRun},
		{"far in the future", -time.Minute, classifier.BadRequest, classifier.NotRun},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			inWorld(t, func(t *testing.T, w *world) {
				_, err := w.nodes[0].ask(dated(time.Now().Add(-tt.age), 1), "body", "t1")
				require.Equal(t, tt.code, classifier.As(err).Code)
				require.Equal(t, tt.want, classifier.VerdictOf(err))
			})
		})
	}
}

func TestFullTableRefuses(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		a := w.nodes[0]
		name := w.nameAt(a)
		_, err := a.ask(name, "body", "t1")
		require.NoError(t, err)
		for i := uint64(1000); ; i++ {
			other := dated(time.Now(), i)
			if !a.claims.IsHome("team", other) {
				continue
			}
			_, err = a.ask(other, "body", "t2")
			require.Equal(t, classifier.QueueFull, classifier.As(err).Code)
			break
		}
		d, err := a.ask(name, "body", "t3")
		require.NoError(t, err)
		require.Equal(t, "t1", d.Task, "a full home forgets nothing")
	}, claimer.WithNames(1))
}

func TestNamesExpire(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		a := w.nodes[0]
		name := w.nameAt(a)
		_, err := a.ask(name, "body", "t1")
		require.NoError(t, err)
		time.Sleep(3 * time.Minute)
		require.Equal(t, 0, a.claims.Names())
		_, err = a.ask(name, "body", "t2")
		require.Equal(t, classifier.Repeated, classifier.As(err).Code)
	}, claimer.WithRetention(time.Minute))
}

func TestStoreOutage(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		w.store.SetDown(true)
		w.kill(w.nodes[2].instance)
		time.Sleep(listLag + settle)
		name := w.nameAt(w.nodes[0])
		d, err := w.nodes[1].ask(name, "body", "t1")
		require.NoError(t, err)
		require.True(t, d.Granted, "two live members and the list agree on the outage")
		late := w.start("entry-8")
		time.Sleep(settle)
		_, err = late.ask(name, "body", "t2")
		require.Equal(t, classifier.Isolated, classifier.As(err).Code)
	})
}

func TestCutOffMemberStops(t *testing.T) {
	inWorld(t, func(t *testing.T, w *world) {
		a := w.nodes[0]
		w.isolate(a, true)
		time.Sleep(registrar.DefaultStaleness + time.Second)
		_, err := a.ask(w.nameAt(a), "body", "t1")
		require.Equal(t, classifier.Isolated, classifier.As(err).Code)
		require.Equal(t, classifier.NotRun, classifier.VerdictOf(err))
	})
}
