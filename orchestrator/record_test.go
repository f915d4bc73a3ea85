package orchestrator_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/keeper"
	"github.com/coltsfootlever/coltsfootlever/modeler"
	"github.com/coltsfootlever/coltsfootlever/orchestrator"
)

// oldJobRecord is the job record of versions that store the progress below the
// job's key.
type oldJobRecord struct {
	Outcome modeler.State `json:"outcome,omitempty"`
	*modeler.Job
}

func TestWatchOfJobsExcludesTheirProgress(t *testing.T) {
	require.NotContains(t, orchestrator.ProgressKey("j1"), orchestrator.JobPrefix)
	runScenario(t, 2, func(s *deployment) {
		e := s.startEntry("one")
		time.Sleep(time.Second)
		s.submit(shortJob("j1"))
		time.Sleep(500 * time.Millisecond)
		require.NotEmpty(t, s.progressOf("j1").Steps)
		records, _, err := s.store.ClientFor("x").List(t.Context(), orchestrator.JobPrefix)
		require.NoError(t, err)
		require.Len(t, records, 1)
		e.stopGracefully()
	})
}

// An earlier version that becomes the leader during an upgrade would start a job
// again from the beginning if it loaded the job without its progress.
func TestEarlierVersionsDoNotReadNewJobRecords(t *testing.T) {
	var r oldJobRecord
	require.NoError(t, json.Unmarshal(orchestrator.EncodeJobRecord(&modeler.Job{ID: "j1", Queue: "q"}), &r))
	require.Nil(t, r.Job)
	require.Empty(t, r.Outcome)
}

func TestJobOfAnEarlierVersionKeepsItsProgress(t *testing.T) {
	runScenario(t, 2, func(s *deployment) {
		j := shortJob("j1", modeler.Step{Count: 2, Need: modeler.Resources{CPU: 1000}})
		j.Accepted = time.Now()
		s.put(orchestrator.JobKey("j1"), oldJobRecord{Job: &j})
		s.put(orchestrator.OldProgressKey("j1"), orchestrator.Progress{
			State: modeler.Running, Begun: true, Steps: []orchestrator.StepProgress{{Done: []int{0}}},
		})
		require.Equal(t, modeler.Running, s.jobState("j1"))
		e := s.startEntry("one")
		time.Sleep(5 * time.Second)
		require.Equal(t, modeler.Completed, s.jobState("j1"))
		require.Zero(t, s.taskFleet.StartedRuns(taskID("j1", 0, 0)))
		require.Equal(t, 1, s.taskFleet.StartedRuns(taskID("j1", 0, 1)))
		for _, key := range []string{orchestrator.OldProgressKey("j1"), orchestrator.ProgressKey("j1")} {
			r, err := s.store.ClientFor("x").Get(t.Context(), key)
			require.NoError(t, err)
			require.Zero(t, r.Revision, key)
		}
		e.stopGracefully()
	})
}

func (d *deployment) put(key string, v any) {
	raw, err := json.Marshal(v)
	require.NoError(d.t, err)
	_, _, err = d.store.ClientFor("x").Commit(d.t.Context(), keeper.Txn{Put: []keeper.Put{{Key: key, Value: raw}}})
	require.NoError(d.t, err)
}
