package orchestrator_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/modeler"
	"github.com/coltsfootlever/coltsfootlever/orchestrator"
)

// addPool adds a pool with one instance.
func (d *deployment) addPool(pool, instance string) {
	d.manifest.Pools = append(d.manifest.Pools, modeler.Pool{Name: pool})
	d.manifest.Index()
	d.instances.Add(modeler.Instance{Name: instance, Pool: pool, Zone: "z", Labels: []string{"k", "r1"}, Capacity: modeler.Resources{CPU: 4000, Memory: 8000}}, true)
}

// rerouted returns the next version of the manifest, in which all queues use the
// given pool.
func (d *deployment) rerouted(pool string) *modeler.Manifest {
	m := *d.manifest
	m.Version++
	m.Queues = append([]modeler.Queue(nil), m.Queues...)
	for i := range m.Queues {
		m.Queues[i].Pool = pool
	}
	m.Index()
	return &m
}

func TestInheritedTasksWaitForWorkersOfTheEarlierPoolOfTheirQueue(t *testing.T) {
	runScenario(t, 1, func(s *deployment) {
		s.taskFleet.RunOutcome = func(modeler.TaskID, int) (time.Duration, modeler.EndKind) { return -1, modeler.EndDone }
		s.keepInstances()
		s.addPool("other", "x")
		first := s.startEntry("one")
		time.Sleep(time.Second)
		worker := s.startUnstored("k", "a", "x")
		first.crash()
		s.manifest = s.rerouted("other")
		second := s.startEntry("two")
		second.unreachableWorkers.Store(worker, true)
		time.Sleep(15 * time.Second)
		second.stopGracefully()
		require.Empty(t, s.taskFleet.Violations())
		require.Equal(t, 2, s.taskFleet.StartedRuns(taskID("j1", 0, 0)))
	})
}

func TestLeaderWithExpiredLeaseDoesNotFollowAChangedManifest(t *testing.T) {
	runScenario(t, 1, func(s *deployment) {
		s.taskFleet.RunOutcome = func(modeler.TaskID, int) (time.Duration, modeler.EndKind) { return -1, modeler.EndDone }
		s.keepInstances()
		s.addPool("other", "x")
		first := s.startEntry("one")
		time.Sleep(time.Second)
		second := s.startEntry("two")
		first.unreachableWorkers.Store(s.instances.WorkerOf("a"), true)
		second.unreachableWorkers.Store(s.instances.WorkerOf("x"), true)
		time.Sleep(2500 * time.Millisecond)
		s.submit(longRunningJob("j1", 1))
		time.Sleep(100 * time.Millisecond)
		first.replaceWhileWatching()
		first.manifest.Store(s.rerouted("other"))
		time.Sleep(15 * time.Second)
		first.stopGracefully()
		second.stopGracefully()
		require.Empty(t, s.taskFleet.Violations())
		require.Equal(t, 1, s.taskFleet.StartedRuns(taskID("j1", 0, 0)))
	})
}

func TestDelayedTermRecordDoesNotReplaceALaterOne(t *testing.T) {
	runScenario(t, 1, func(s *deployment) {
		s.keepInstances()
		s.addPool("other", "x")
		s.delayNextWriteOf(termKey, 5*time.Second)
		e := s.startEntry("one")
		s.waitForLeader("one")
		time.Sleep(200 * time.Millisecond)
		e.manifest.Store(s.rerouted("other"))
		time.Sleep(8 * time.Second)
		r, err := s.store.ClientFor("x").Get(t.Context(), termKey)
		require.NoError(t, err)
		var record orchestrator.TermRecord
		require.NoError(t, json.Unmarshal(r.Value, &record))
		require.Contains(t, record.Pools["lasting"], "other")
		e.stopGracefully()
	})
}
