package server_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/emulator"
	"github.com/coltsfootlever/coltsfootlever/server"
)

// TestRackLoss measures the time from the loss of a rack with two workers until
// the requests that ran there start on other workers.
func TestRackLoss(t *testing.T) {
	crash := func(f *emulator.WorkerFaults) { f.Crashed = true }
	hang := func(f *emulator.WorkerFaults) { f.Paused = true }
	for _, loss := range []struct {
		name        string
		do          func(*emulator.WorkerFaults)
		delistAfter time.Duration // time until the workers are removed from the instance list; 0 if they stay
	}{
		{"connections break", crash, 0},
		{"nothing is answered", hang, 0},
		{"nothing is answered, delisted after 5s", hang, 5 * time.Second},
	} {
		t.Run(loss.name, func(t *testing.T) {
			withMeasuredFleet(t, server.Variant{}, threeTeamsRules, func(t *testing.T, f *fleet, g *loadMeter, workers map[string]*emulator.Worker) {
				g.taskMillis = 3000
				stop := f.startCallers(t.Context(), g, "")
				time.Sleep(compareWarmUp)
				lost := []string{"w00", "w03"}
				lossTime, affected := time.Now(), g.runningOnWorkers(lost)
				require.NotEmpty(t, affected)
				for _, id := range lost {
					workers[id].InjectFaults(loss.do)
				}
				if loss.delistAfter > 0 {
					time.Sleep(loss.delistAfter)
					f.platform.Remove(lost[0])
					f.platform.Remove(lost[1])
				}
				time.Sleep(2 * compareDuration)
				delays, notRestarted := g.restartDelays(affected, lost, lossTime)
				t.Logf("%d ran there; %d placed elsewhere after p50 %v, last %v; %d not placed elsewhere: %v",
					len(affected), len(delays), percentile(delays, 50), percentile(delays, 100), len(notRestarted), notRestarted)
				for _, id := range lost {
					workers[id].InjectFaults(func(f *emulator.WorkerFaults) { *f = emulator.WorkerFaults{} })
				}
				stop()
			})
		})
	}
}

// runningOnWorkers returns the requests that run on the workers now.
func (g *loadMeter) runningOnWorkers(workers []string) []*requestTrace {
	g.mu.Lock()
	defer g.mu.Unlock()
	var hit []*requestTrace
	for _, id := range workers {
		for name := range g.runningOn[id] {
			hit = append(hit, g.requests[name])
		}
	}
	return hit
}

// restartDelays returns the times from lossTime to the next start of each affected
// request on a worker that is not lost. For each request without such a start,
// notRestarted says whether it was answered and with which error.
func (g *loadMeter) restartDelays(affected []*requestTrace, lost []string, lossTime time.Time) (delays []time.Duration, notRestarted []string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range affected {
		next := time.Duration(0)
		for _, x := range s.starts {
			if x.Start.After(lossTime) && x.Worker != lost[0] && x.Worker != lost[1] {
				next = x.Start.Sub(lossTime)
				break
			}
		}
		if next == 0 {
			notRestarted = append(notRestarted, fmt.Sprint(s.answered, " ", s.answer))
			continue
		}
		delays = append(delays, next)
	}
	return delays, notRestarted
}
