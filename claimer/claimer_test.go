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

const (
	settleTime   = 5 * time.Second
	maxNameTries = 10_000 // of nameWithHome
)

// runInCluster runs fn in a synctest bubble with three members that know each other.
func runInCluster(t *testing.T, fn func(t *testing.T, c *cluster), opts ...claimer.Option) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		c := newCluster(ctx, 1, nameCount, opts...)
		for i := range initialMembers {
			c.startProcess(fmt.Sprintf("entry-%d", i))
			time.Sleep(time.Second)
		}
		time.Sleep(settleTime)
		fn(t, c)
		cancel()
		c.wg.Wait()
		require.Empty(t, c.violations)
	})
}

// claim claims a name for the task, with the digest of body.
func (p *process) claim(name, body, task string) (claimer.Decision, error) {
	return p.claimer.Claim(p.cluster.ctx, "team", name, sha256.Sum256([]byte(body)), task)
}

// datedNameWithHome returns a new dated name whose home is the process.
func datedNameWithHome(t *testing.T, n *process) string {
	return nameWithHome(t, n, 0, func(i uint64) string { return newDatedName(time.Now(), i) })
}

// undatedNameWithHome returns a name without a date whose home is the process.
func undatedNameWithHome(t *testing.T, n *process) string {
	return nameWithHome(t, n, 0, func(i uint64) string { return fmt.Sprintf("order-%d", i) })
}

// nameWithHome returns the first name from newName(first) on whose home is the
// process. The test fails if there is none: a process that knows that it was
// removed is the home of no name.
func nameWithHome(t *testing.T, n *process, first uint64, newName func(i uint64) string) string {
	t.Helper()
	for i := range uint64(maxNameTries) {
		if name := newName(first + i); n.claimer.IsHome("team", name) {
			return name
		}
	}
	require.FailNow(t, "no name has its home at the process", "%s, after %d names, view %+v", n.address, maxNameTries, n.members.View())
	return ""
}

func TestSecondClaimThroughAnyEntryIsDenied(t *testing.T) {
	runInCluster(t, func(t *testing.T, c *cluster) {
		a, b, third := c.processes[0], c.processes[1], c.processes[2]
		name := newDatedName(time.Now(), 1)
		d, err := a.claim(name, "body", "t1")
		require.NoError(t, err)
		require.True(t, d.Granted)
		for _, n := range []*process{a, b, third} {
			d, err = n.claim(name, "body", "t2")
			require.NoError(t, err)
			require.Equal(t, claimer.Decision{Holder: a.members.Self().ID, Task: "t1"}, d)
		}
		require.NoError(t, a.claimer.ReportTaskOutcome(c.ctx, "team", name, "t1", classifier.Ran))
		d, err = b.claim(name, "body", "t3")
		require.NoError(t, err)
		require.False(t, d.Granted, "after the answer")
		_, err = third.claim(name, "other body", "t4")
		require.Equal(t, classifier.NameMismatch, classifier.As(err).Code)
		require.Equal(t, classifier.NotRun, classifier.VerdictOf(err))
	})
}

func TestOneOfConcurrentClaimsIsGranted(t *testing.T) {
	runInCluster(t, func(t *testing.T, c *cluster) {
		name := newDatedName(time.Now(), 1)
		granted := make(chan bool)
		for i := range 12 {
			go func() {
				d, _ := c.processes[i%initialMembers].claim(name, "body", fmt.Sprintf("t%d", i))
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

func TestOutcomeOfOtherTaskDoesNotFreeName(t *testing.T) {
	runInCluster(t, func(t *testing.T, c *cluster) {
		a, b := c.processes[0], c.processes[1]
		name := newDatedName(time.Now(), 1)
		_, err := a.claim(name, "body", "t1")
		require.NoError(t, err)
		require.NoError(t, b.claimer.ReportTaskOutcome(c.ctx, "team", name, "t2", classifier.NotRun))
		d, err := b.claim(name, "body", "t2")
		require.NoError(t, err)
		require.False(t, d.Granted)
		require.NoError(t, a.claimer.ReportTaskOutcome(c.ctx, "team", name, "t1", classifier.NotRun))
		d, err = b.claim(name, "body", "t2")
		require.NoError(t, err)
		require.True(t, d.Granted)
	})
}

func TestOutcomeIsReportedAgainUntilHomeAnswers(t *testing.T) {
	runInCluster(t, func(t *testing.T, c *cluster) {
		home, other := c.processes[0], c.processes[1]
		name := datedNameWithHome(t, home)
		_, err := other.claim(name, "body", "t1")
		require.NoError(t, err)
		c.setDisconnected(home, other, true)
		require.NoError(t, other.claimer.ReportTaskOutcome(c.ctx, "team", name, "t1", classifier.NotRun))
		require.Equal(t, 1, home.claimer.NameCount())
		c.setDisconnected(home, other, false)
		time.Sleep(settleTime)
		require.Equal(t, 0, home.claimer.NameCount())
	})
}

func TestClaimFailsWhileHomeIsUnreachable(t *testing.T) {
	runInCluster(t, func(t *testing.T, c *cluster) {
		home, other := c.processes[0], c.processes[1]
		name := datedNameWithHome(t, home)
		c.setDisconnected(home, other, true)
		_, err := other.claim(name, "body", "t1")
		require.Equal(t, classifier.HomeAbsent, classifier.As(err).Code)
		require.Equal(t, classifier.NotRun, classifier.VerdictOf(err))
	})
}

func TestLostGrantIsReleased(t *testing.T) {
	runInCluster(t, func(t *testing.T, c *cluster) {
		home, other := c.processes[0], c.processes[1]
		name := datedNameWithHome(t, home)
		home.pause()
		go func() {
			time.Sleep(settleTime)
			home.resume()
		}()
		_, err := other.claim(name, "body", "t1")
		require.Equal(t, classifier.NotRun, classifier.VerdictOf(err))
		time.Sleep(3 * settleTime)
		d, err := c.processes[2].claim(name, "body", "t2")
		require.NoError(t, err)
		require.True(t, d.Granted, "the home granted t1 when it woke, and t1 was settled")
	})
}

func TestClaimIsRefusedAsRepeatedAfterHomeDied(t *testing.T) {
	runInCluster(t, func(t *testing.T, c *cluster) {
		home, other := c.processes[0], c.processes[1]
		names := []string{datedNameWithHome(t, home), datedNameWithHome(t, home), undatedNameWithHome(t, home)}
		unmoved := undatedNameWithHome(t, other)
		_, err := other.claim(names[0], "body", "t1")
		require.NoError(t, err)
		c.killInstance(home.instance)
		time.Sleep(listDelay + settleTime)
		_, ok := other.members.View().Departure(home.members.Self().ID)
		require.True(t, ok)
		for _, name := range names {
			_, err = other.claim(name, "body", "t2")
			require.Equal(t, classifier.Repeated, classifier.As(err).Code)
			require.Equal(t, classifier.MayHaveRun, classifier.VerdictOf(err))
		}
		d, err := other.claim(unmoved, "body", "t3")
		require.NoError(t, err)
		require.True(t, d.Granted, "a name that the departed member was never the home of")
		time.Sleep(2 * settleTime)
		d, err = other.claim(newDatedName(time.Now(), 7), "body", "t4")
		require.NoError(t, err)
		require.True(t, d.Granted, "a name dated after the departure")
	})
}

func TestClaimIsRefusedAsRepeatedAfterHolderDied(t *testing.T) {
	runInCluster(t, func(t *testing.T, c *cluster) {
		holder, home, other := c.processes[0], c.processes[1], c.processes[2]
		name := datedNameWithHome(t, home)
		_, err := holder.claim(name, "body", "t1")
		require.NoError(t, err)
		c.killInstance(holder.instance)
		time.Sleep(listDelay + settleTime)
		d, err := other.claim(name, "body", "t2")
		require.Equal(t, classifier.Repeated, classifier.As(err).Code)
		require.Equal(t, "t1", d.Task)
	})
}

func TestNamesAreHandedOverOnPlannedDeparture(t *testing.T) {
	runInCluster(t, func(t *testing.T, c *cluster) {
		home, other := c.processes[0], c.processes[1]
		name := datedNameWithHome(t, home)
		_, err := other.claim(name, "body", "t1")
		require.NoError(t, err)
		require.NoError(t, home.members.Leave(c.ctx))
		c.killInstance(home.instance)
		time.Sleep(settleTime)
		for _, n := range c.liveProcesses() {
			d, err := n.claim(name, "body", "t2")
			require.NoError(t, err)
			require.Equal(t, claimer.Decision{Holder: other.members.Self().ID, Task: "t1"}, d)
		}
		d, err := other.claim("order-1", "body", "t3")
		require.NoError(t, err)
		require.True(t, d.Granted, "after a complete hand-over all earlier grants are known, so a name that nobody holds is granted")
	})
}

func TestNewMemberTakesNamesOver(t *testing.T) {
	runInCluster(t, func(t *testing.T, c *cluster) {
		held := map[string]string{}
		for i := range uint64(200) {
			name := newDatedName(time.Now(), i)
			held[name] = fmt.Sprintf("t%d", i)
			_, err := c.processes[i%initialMembers].claim(name, "body", held[name])
			require.NoError(t, err)
		}
		n := c.startProcess("entry-9")
		time.Sleep(settleTime)
		require.NotZero(t, n.claimer.NameCount())
		total := 0
		for _, m := range c.liveProcesses() {
			total += m.claimer.NameCount()
		}
		require.Equal(t, len(held), total, "each name has one home")
		for name, task := range held {
			d, err := n.claim(name, "body", "again")
			require.NoError(t, err)
			require.Equal(t, task, d.Task)
		}
	})
}

func TestClaimOfExpiredOrFutureNameFails(t *testing.T) {
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
			runInCluster(t, func(t *testing.T, c *cluster) {
				_, err := c.processes[0].claim(newDatedName(time.Now().Add(-tt.age), 1), "body", "t1")
				require.Equal(t, tt.code, classifier.As(err).Code)
				require.Equal(t, tt.want, classifier.VerdictOf(err))
			})
		})
	}
}

func TestFullTableRefusesNewNames(t *testing.T) {
	runInCluster(t, func(t *testing.T, c *cluster) {
		a := c.processes[0]
		name := datedNameWithHome(t, a)
		_, err := a.claim(name, "body", "t1")
		require.NoError(t, err)
		other := nameWithHome(t, a, 1000, func(i uint64) string { return newDatedName(time.Now(), i) })
		_, err = a.claim(other, "body", "t2")
		require.Equal(t, classifier.QueueFull, classifier.As(err).Code)
		d, err := a.claim(name, "body", "t3")
		require.NoError(t, err)
		require.Equal(t, "t1", d.Task, "a full home forgets nothing")
	}, claimer.WithMaxNames(1))
}

func TestNamesAreRemovedAfterRetention(t *testing.T) {
	runInCluster(t, func(t *testing.T, c *cluster) {
		a := c.processes[0]
		name := datedNameWithHome(t, a)
		_, err := a.claim(name, "body", "t1")
		require.NoError(t, err)
		time.Sleep(3 * time.Minute)
		require.Equal(t, 0, a.claimer.NameCount())
		_, err = a.claim(name, "body", "t2")
		require.Equal(t, classifier.Repeated, classifier.As(err).Code)
	}, claimer.WithRetention(time.Minute))
}

func TestClaimsDuringStoreOutage(t *testing.T) {
	runInCluster(t, func(t *testing.T, c *cluster) {
		c.store.SetDown(true)
		c.killInstance(c.processes[2].instance)
		time.Sleep(listDelay + settleTime)
		name := datedNameWithHome(t, c.processes[0])
		d, err := c.processes[1].claim(name, "body", "t1")
		require.NoError(t, err)
		require.True(t, d.Granted, "two live members and the list agree on the outage")
		late := c.startProcess("entry-8")
		time.Sleep(settleTime)
		_, err = late.claim(name, "body", "t2")
		require.Equal(t, classifier.Isolated, classifier.As(err).Code)
	})
}

func TestIsolatedMemberRefusesClaims(t *testing.T) {
	runInCluster(t, func(t *testing.T, c *cluster) {
		a := c.processes[0]
		c.setIsolated(a, true)
		time.Sleep(registrar.DefaultStaleness + time.Second)
		_, err := a.claim(datedNameWithHome(t, a), "body", "t1")
		require.Equal(t, classifier.Isolated, classifier.As(err).Code)
		require.Equal(t, classifier.NotRun, classifier.VerdictOf(err))
	})
}
