package prover

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/coltsfootlever/coltsfootlever/checker"
	"github.com/coltsfootlever/coltsfootlever/emulator"
	"github.com/coltsfootlever/coltsfootlever/excluder"
	"github.com/coltsfootlever/coltsfootlever/placer"
	"github.com/coltsfootlever/coltsfootlever/server"
)

// Evacuation is the invariant that no task starts in a zone whose evacuation has
// been acknowledged, except by a start that was sent before.
const Evacuation checker.Invariant = "evacuation"

const (
	// evacuationBound is the longest time from the acknowledgement of an evacuation
	// until the last start in the zone: a worker refuses a start that arrives later.
	evacuationBound = placer.DefaultStartTimeout + clockMargin
	restoreAttempts = 60
)

// evacuatedZones holds the zones whose evacuation has been acknowledged and that
// nobody has begun to restore since.
type evacuatedZones struct {
	mu           sync.Mutex
	acknowledged map[string]time.Time
	restoring    map[string]int // restores in progress
	restores     map[string]int // restores begun
}

func newEvacuatedZones() *evacuatedZones {
	return &evacuatedZones{acknowledged: map[string]time.Time{}, restoring: map[string]int{}, restores: map[string]int{}}
}

// restoresBegun returns how many restores of the zone have begun.
func (z *evacuatedZones) restoresBegun(zone string) int {
	z.mu.Lock()
	defer z.mu.Unlock()
	return z.restores[zone]
}

// recordEvacuation records an acknowledgement, unless a restore that has begun
// since the request, or that is still in progress, may have ended the evacuation.
func (z *evacuatedZones) recordEvacuation(zone string, restoresBefore int, at time.Time) {
	z.mu.Lock()
	defer z.mu.Unlock()
	if z.restoring[zone] == 0 && z.restores[zone] == restoresBefore {
		z.acknowledged[zone] = at
	}
}

func (z *evacuatedZones) beginRestore(zone string) {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.restores[zone]++
	z.restoring[zone]++
	delete(z.acknowledged, zone)
}

func (z *evacuatedZones) endRestore(zone string) {
	z.mu.Lock()
	defer z.mu.Unlock()
	z.restoring[zone]--
}

// acknowledgedAt returns when the evacuation of the zone was acknowledged.
func (z *evacuatedZones) acknowledgedAt(zone string) (time.Time, bool) {
	z.mu.Lock()
	defer z.mu.Unlock()
	at, ok := z.acknowledged[zone]
	return at, ok
}

// checkEvacuation reports a breach if an execution has started in an evacuated zone
// too late.
func (w *World) checkEvacuation(x emulator.Execution) {
	zone := w.listings[x.Worker].Zone
	at, ok := w.evacuated.acknowledgedAt(zone)
	if !ok || !x.End.IsZero() {
		return
	}
	if late := x.Start.Sub(at); late > evacuationBound {
		w.recordBreach(Evacuation, fmt.Sprintf("worker %s in zone %s started task %s of %s, %s after the evacuation was acknowledged",
			x.Worker, zone, x.Order.Task, x.Order.Owner, late), w.trace.start)
	}
}

// evacuateZone evacuates a zone through one entry and restores it after the
// duration of the step through another.
func (w *World) evacuateZone(s Step) {
	zone := zones[s.Target%len(zones)]
	req := excluder.Request{Zone: zone, RequestedBy: "prover", Comment: "step", Force: s.Parameter%4 == 0}
	w.runInBackgroundAfter(0, func() {
		before := w.evacuated.restoresBegun(zone)
		if w.changeZone(s.Parameter, req, (*server.Entry).EvacuateZone) {
			w.evacuated.recordEvacuation(zone, before, time.Now())
		}
		time.Sleep(s.Duration)
		w.evacuated.beginRestore(zone)
		defer w.evacuated.endRestore(zone)
		for n := range restoreAttempts {
			if w.changeZone(s.Target+n, req, (*server.Entry).RestoreZone) || !w.anyEntryKnowsEvacuation(zone) {
				return
			}
			time.Sleep(time.Second)
		}
		w.events.add("zones left evacuated", 1)
	})
}

// changeZone evacuates or restores a zone through the running entry at entryIndex,
// modulo their number, and reports whether the change was acknowledged.
func (w *World) changeZone(entryIndex int, req excluder.Request, change func(*server.Entry, context.Context, excluder.Request) (excluder.Change, error)) bool {
	nodes := w.runningNodes()
	if len(nodes) == 0 {
		return false
	}
	n := nodes[entryIndex%len(nodes)]
	ctx, stop := context.WithTimeout(w.ctx, operatorTimeout)
	defer stop()
	if !n.gate.waitUntilRunning() {
		return false
	}
	result, err := change(n.entry, ctx, req)
	if !n.gate.waitUntilRunning() {
		return false
	}
	w.trace.add(req.Zone, "change %d, missing %v, error %v", result.Number, result.Missing, err)
	switch {
	case err != nil:
		w.events.add("zone changes refused", 1)
	case len(result.Missing) > 0:
		w.events.add("zone changes not confirmed by all", 1)
	default:
		w.events.add("zone changes confirmed", 1)
	}
	return err == nil
}

func (w *World) anyEntryKnowsEvacuation(zone string) bool {
	for _, n := range w.runningNodes() {
		if n.entry.IsEvacuated(zone) {
			return true
		}
	}
	return false
}
