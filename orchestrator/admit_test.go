package orchestrator_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/keeper"
	"github.com/coltsfootlever/coltsfootlever/modeler"
	"github.com/coltsfootlever/coltsfootlever/orchestrator"
)

func (d *deployment) load() orchestrator.Load {
	r, err := d.store.ClientFor("x").Get(d.t.Context(), orchestrator.LoadKey)
	require.NoError(d.t, err)
	var l orchestrator.Load
	require.NoError(d.t, json.Unmarshal(r.Value, &l))
	return l
}

// The load: one customer sends four times what the deployment can do, another one
// little. Only the first one's new jobs are limited, and no longer than the
// overload lasts.
func TestLeaderLimitsNewJobsThatCannotBeServedInTime(t *testing.T) {
	runScenario(t, 2, func(s *deployment) {
		s.manifest.Customers = []modeler.Customer{{Name: "hot", Weight: 1}, {Name: "mild", Weight: 1}}
		s.manifest.Index()
		e := s.startEntry("one")
		n := 0
		send := func(customer string, tasks int) {
			j := shortJob(fmt.Sprintf("%s-%d", customer, n), modeler.Step{Count: tasks, Need: modeler.Resources{CPU: 1000}, Estimate: time.Second})
			j.Customer, n = customer, n+1
			s.submit(j)
		}
		play := func(seconds int, hot bool) {
			for range 2 * seconds {
				send("mild", 1)
				if hot {
					send("hot", 16)
				}
				time.Sleep(500 * time.Millisecond)
			}
		}
		play(8, false)
		require.Empty(t, s.load().Limited)
		play(4, true)
		limited := s.load().Limited["short"]
		require.Contains(t, limited, "hot")
		require.Less(t, limited["hot"].Accept, 0.5)
		require.Greater(t, limited["hot"].WaitMs, int64(1000))
		require.NotContains(t, limited, "mild")
		e.stopGracefully()
		e = s.startEntry("two")
		s.waitForLeader("two")
		play(3, true)
		require.Contains(t, s.load().Limited["short"], "hot", "a change of the leader must not let all jobs through")
		play(30, false)
		require.Empty(t, s.load().Limited)
		for i := range n {
			id := fmt.Sprintf("mild-%d", i)
			if s.taskFleet.StartedRuns(taskID(id, 0, 0)) > 0 && i < n-6 {
				require.Equal(t, modeler.Completed, s.jobState(id), id)
			}
		}
		e.stopGracefully()
	})
}

// The load: one customer sends eight times what the deployment can do for three seconds
// and then nothing. Once the workers are idle again none of its jobs may be refused.
func TestNoNewJobsAreLimitedWhileWorkersAreIdle(t *testing.T) {
	runScenario(t, 2, func(s *deployment) {
		s.keepInstancesInPool()
		e := s.startEntry("one")
		time.Sleep(7 * time.Second)
		for n := range 12 {
			s.submit(shortJob(fmt.Sprintf("burst-%d", n), modeler.Step{Count: 16, Need: modeler.Resources{CPU: 1000}, Estimate: time.Second}))
			time.Sleep(250 * time.Millisecond)
		}
		require.NotEmpty(t, s.load().Limited)
		for n := range 12 { // between two tasks the workers may be idle for a moment
			for s.jobState(fmt.Sprintf("burst-%d", n)) != modeler.Completed {
				time.Sleep(10 * time.Millisecond)
			}
		}
		time.Sleep(1500 * time.Millisecond)
		require.Empty(t, s.load().Limited)
		e.stopGracefully()
	})
}

// The workers of a leader that limited new jobs are idle when the next one takes over.
// It went on with the limits for five seconds.
func TestNextLeaderDoesNotLimitNewJobsWhileWorkersAreIdle(t *testing.T) {
	runScenario(t, 2, func(s *deployment) {
		limited := map[string]map[string]orchestrator.Limitation{"short": {"c": {Accept: 0.1, WaitMs: 5000}}}
		raw, err := json.Marshal(orchestrator.Load{Limited: limited})
		require.NoError(t, err)
		s.store.PutAsOperator(keeper.Put{Key: orchestrator.LoadKey, Value: raw})
		e := s.startEntry("one")
		time.Sleep(1500 * time.Millisecond)
		require.Empty(t, s.load().Limited)
		e.stopGracefully()
	})
}
