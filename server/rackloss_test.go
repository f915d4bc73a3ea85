package server_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/emulator"
	"github.com/coltsfootlever/coltsfootlever/server"
)

// TestRackLoss measures the time from the loss of a rack with two workers until
// the work that ran there starts on others.
func TestRackLoss(t *testing.T) {
	for name, lose := range map[string]func(*emulator.WorkerFaults){
		"connections break":   func(f *emulator.WorkerFaults) { f.Crashed = true },
		"nothing is answered": func(f *emulator.WorkerFaults) { f.Paused = true },
	} {
		t.Run(name, func(t *testing.T) {
			withCompared(t, server.Variant{}, compareTeams, func(t *testing.T, f *fleet, g *gauge, workers map[string]*emulator.Worker) {
				stop := f.load(t.Context(), g, "")
				time.Sleep(compareWarm)
				lost := []string{"w00", "w03"}
				at, hit := time.Now(), g.at(lost)
				for _, id := range lost {
					workers[id].Inject(lose)
				}
				time.Sleep(compareTime)
				again, ended := g.elsewhere(hit, lost, at)
				t.Logf("%s: %d ran there; %d placed elsewhere after p50 %v, last %v; %d ended without a new start; the last start there after %v",
					name, len(hit), len(again), percentile(again, 50), percentile(again, 100), ended, g.last[lost[0]].Sub(at))
				require.NotEmpty(t, hit)
				for _, id := range lost {
					workers[id].Inject(func(f *emulator.WorkerFaults) { *f = emulator.WorkerFaults{} })
				}
				stop()
			})
		})
	}
}

// at returns what runs on the workers.
func (g *gauge) at(workers []string) []*sighting {
	g.mu.Lock()
	defer g.mu.Unlock()
	var hit []*sighting
	for _, id := range workers {
		for name := range g.busy[id] {
			hit = append(hit, g.seen[name])
		}
	}
	return hit
}

// elsewhere returns the times from at to the next start of the requests, and
// how many had none.
func (g *gauge) elsewhere(hit []*sighting, lost []string, at time.Time) (again []time.Duration, none int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, s := range hit {
		next := time.Duration(0)
		for _, x := range s.starts {
			if x.Start.After(at) && x.Worker != lost[0] && x.Worker != lost[1] {
				next = x.Start.Sub(at)
				break
			}
		}
		if next == 0 {
			none++
			continue
		}
		again = append(again, next)
	}
	return again, none
}
