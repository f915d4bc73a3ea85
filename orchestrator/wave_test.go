package orchestrator_test

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/modeler"
)

// hideInstances returns a set of instances that the instance list lacks.
func (d *deployment) hideInstances() *sync.Map {
	hidden := new(sync.Map)
	d.instances.FilterList = func(name string) (bool, error) {
		_, ok := hidden.Load(name)
		return !ok, nil
	}
	return hidden
}

// A wave must not be completed without an instance that was added shortly before it.
// See docs/incidents/2026-12-05-wave-without-new-instance.md.
func TestWaveIncludesAnInstanceThatWasAddedShortlyBeforeIt(t *testing.T) {
	for name, unlistedFor := range map[string]time.Duration{
		"list is read at intervals":      0,
		"list can't be read for a while": 6 * time.Second,
	} {
		t.Run(name, func(t *testing.T) {
			runScenario(t, 3, func(s *deployment) {
				s.keepInstancesInPool()
				fails := new(atomic.Bool)
				s.instances.FilterList = func(string) (bool, error) {
					if fails.Load() {
						return false, errors.New("not available")
					}
					return true, nil
				}
				e := s.startEntry("one")
				time.Sleep(2500 * time.Millisecond)
				fails.Store(unlistedFor > 0)
				s.addInstance("new")
				s.requestWave(2, "a", "new")
				time.Sleep(unlistedFor)
				fails.Store(false)
				for range 100 {
					time.Sleep(100 * time.Millisecond)
					if s.instances.MaintenanceCount("new") == 0 {
						require.NotEqual(t, "completed", s.waveStatus())
					}
				}
				require.Equal(t, "completed", s.waveStatus())
				require.Equal(t, 1, s.instances.MaintenanceCount("new"))
				e.stopGracefully()
			})
		})
	}
}

// An instance that is listed only after its wave has gone on without it must still be
// maintained.
func TestInstanceThatIsListedLateReturnsToItsWave(t *testing.T) {
	for name, changeLeader := range map[string]bool{"same leader": false, "new leader": true} {
		t.Run(name, func(t *testing.T) {
			runScenario(t, 3, func(s *deployment) {
				s.keepInstancesInPool()
				hidden := s.hideInstances()
				hidden.Store("new", true)
				e := s.startEntry("one")
				time.Sleep(2500 * time.Millisecond)
				s.addInstance("new")
				s.requestWave(2, "a", "new")
				time.Sleep(10 * time.Second)
				require.Equal(t, "completed", s.waveStatus(), "the wave doesn't wait for an instance that is not listed")
				if changeLeader {
					e.stopGracefully()
					e = s.startEntry("two")
					time.Sleep(5 * time.Second)
				}
				hidden.Delete("new")
				time.Sleep(10 * time.Second)
				require.Equal(t, 1, s.instances.MaintenanceCount("a"))
				require.Equal(t, 1, s.instances.MaintenanceCount("new"))
				require.Equal(t, "completed", s.waveStatus())
				e.stopGracefully()
			})
		})
	}
}

func TestWaveIsCompletedWithoutAnInstanceThatHasLeft(t *testing.T) {
	runScenario(t, 3, func(s *deployment) {
		s.keepInstancesInPool()
		e := s.startEntry("one")
		time.Sleep(2500 * time.Millisecond)
		s.instances.Remove("b")
		s.requestWave(2, "a", "b")
		time.Sleep(5 * time.Second)
		require.Equal(t, "completed", s.waveStatus())
		e.stopGracefully()
	})
}

// A list may miss an instance between two pages. Its maintenance must go on to count
// toward the wave's limit.
func TestInstanceMissedByOneListCountsTowardTheLimitOfItsWave(t *testing.T) {
	runScenario(t, 3, func(s *deployment) {
		s.keepInstancesInPool()
		hidden := s.hideInstances()
		e := s.startEntry("one")
		time.Sleep(2500 * time.Millisecond)
		s.requestWave(1, "a", "b")
		for s.instances.InMaintenanceCount() == 0 {
			time.Sleep(10 * time.Millisecond)
		}
		for _, name := range []string{"a", "b"} {
			if s.instances.MaintenanceCount(name) > 0 {
				hidden.Store(name, true)
			}
		}
		time.Sleep(270 * time.Millisecond) // one list
		hidden.Clear()
		for range 80 {
			time.Sleep(100 * time.Millisecond)
			require.LessOrEqual(t, s.instances.InMaintenanceCount(), 1)
		}
		require.Equal(t, 1, s.instances.MaintenanceCount("a"))
		require.Equal(t, 1, s.instances.MaintenanceCount("b"))
		require.Equal(t, "completed", s.waveStatus())
		e.stopGracefully()
	})
}

// The order of an earlier leader must count toward the limit of its wave also if the
// new leader's first list misses the instance.
func TestNewLeaderCountsTheOrderForAnInstanceThatItsFirstListMisses(t *testing.T) {
	runScenario(t, 3, func(s *deployment) {
		s.keepInstancesInPool()
		hidden := s.hideInstances()
		first := s.startEntry("one")
		time.Sleep(2500 * time.Millisecond)
		s.instances.OrderDelay = func(holder, _ string) time.Duration {
			if holder == "one" {
				return 6 * time.Second
			}
			return 0
		}
		s.requestWave(1, "a")
		for s.instances.OrderCount("one") == 0 {
			time.Sleep(10 * time.Millisecond)
		}
		first.crash()
		hidden.Store("a", true)
		s.requestWaves(modeler.Wave{Number: 1, Instances: []string{"a", "b"}, Duration: 30 * time.Second, MaxConcurrent: 1})
		second := s.startEntry("two")
		s.waitForLeader("two")
		time.Sleep(400 * time.Millisecond)
		hidden.Clear()
		for range 120 {
			time.Sleep(100 * time.Millisecond)
			require.LessOrEqual(t, s.instances.InMaintenanceCount(), 1)
		}
		require.Equal(t, 1, s.instances.MaintenanceCount("a"))
		require.Equal(t, 1, s.instances.MaintenanceCount("b"))
		require.Equal(t, "completed", s.waveStatus())
		second.stopGracefully()
	})
}

// An instance that the operator adds to the request of a wave must be maintained.
func TestWaveIncludesInstancesThatAreAddedToItsRequest(t *testing.T) {
	for name, after := range map[string]time.Duration{"while it runs": time.Second, "after its completion": 8 * time.Second} {
		t.Run(name, func(t *testing.T) {
			runScenario(t, 3, func(s *deployment) {
				s.keepInstancesInPool()
				e := s.startEntry("one")
				time.Sleep(2500 * time.Millisecond)
				s.requestWave(1, "a")
				time.Sleep(after)
				s.requestWave(1, "a", "b")
				time.Sleep(10 * time.Second)
				require.Equal(t, 1, s.instances.MaintenanceCount("a"))
				require.Equal(t, 1, s.instances.MaintenanceCount("b"))
				require.Equal(t, "completed", s.waveStatus())
				e.stopGracefully()
			})
		})
	}
}

// Two lists in a row that miss an instance don't show that it has left its wave.
func TestWaveWaitsForAnInstanceThatIsMissingForAMoment(t *testing.T) {
	runScenario(t, 3, func(s *deployment) {
		s.keepInstancesInPool()
		hidden := s.hideInstances()
		e := s.startEntry("one")
		time.Sleep(2500 * time.Millisecond)
		s.requestWave(1, "a", "b", "c")
		time.Sleep(4 * time.Second)
		var missing string
		for _, name := range []string{"a", "b", "c"} {
			if s.instances.MaintenanceCount(name) == 0 {
				missing = name
			}
		}
		require.NotEmpty(t, missing)
		hidden.Store(missing, true)
		for range 18 {
			time.Sleep(100 * time.Millisecond)
			require.Equal(t, "running", s.waveStatus())
		}
		hidden.Clear()
		time.Sleep(10 * time.Second)
		require.Equal(t, 1, s.instances.MaintenanceCount(missing))
		require.Equal(t, "completed", s.waveStatus())
		e.stopGracefully()
	})
}
