package orchestrator_test

import (
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
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
