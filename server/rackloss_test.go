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
// the work that ran there starts on others.
func TestRackLoss(t *testing.T) {
	crash := func(f *emulator.WorkerFaults) { f.Crashed = true }
	hang := func(f *emulator.WorkerFaults) { f.Paused = true }
	for _, loss := range []struct {
		name string
		do   func(*emulator.WorkerFaults)
		gone time.Duration // until the instance list lacks the workers; 0 for never
	}{
		{"connections break", crash, 0},
		{"nothing is answered", hang, 0},
		{"nothing is answered, delisted after 5s", hang, 5 * time.Second},
	} {
		t.Run(loss.name, func(t *testing.T) {
			withCompared(t, server.Variant{}, compareTeams, func(t *testing.T, f *fleet, g *gauge, workers map[string]*emulator.Worker) {
				g.millis = 3000
				stop := f.load(t.Context(), g, "")
				time.Sleep(compareWarm)
				lost := []string{"w00", "w03"}
				at, hit := time.Now(), g.at(lost)
				require.NotEmpty(t, hit)
				for _, id := range lost {
					workers[id].Inject(loss.do)
				}
				if loss.gone > 0 {
					time.Sleep(loss.gone)
					f.platform.Remove(lost[0])
					f.platform.Remove(lost[1])
				}
				time.Sleep(2 * compareTime)
				again, none := g.elsewhere(hit, lost, at)
				t.Logf("%d ran there; %d placed elsewhere after p50 %v, last %v; %d not placed elsewhere: %v",
					len(hit), len(again), percentile(again, 50), percentile(again, 100), len(none), none)
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
func (g *gauge) elsewhere(hit []*sighting, lost []string, at time.Time) (again []time.Duration, none []string) {
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
			none = append(none, fmt.Sprint(s.answered, " ", s.answer))
			continue
		}
		again = append(again, next)
	}
	return again, none
}
