package server

import (
	"context"
	"time"
)

// healthPoll is the time between looks at the workers set aside.
const healthPollInterval = 2 * time.Second

// watchHealth tells the mover of workers that fail what is started on them, and
// the placer of workers that are gone.
func (e *Entry) watchHealth(ctx context.Context) error {
	tick := time.NewTicker(healthPollInterval)
	defer tick.Stop()
	aside := make(map[string]bool)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		aside = e.reportHealthChanges(aside)
		e.updateLargestWorkers()
		e.abandonTasksOnLostWorkers()
	}
}

// abandonLost gives up the attempts on workers that the instance list lacks for
// longer than it lags. Their slots stay taken until their leases are over.
func (e *Entry) abandonTasksOnLostWorkers() {
	for _, id := range e.fleet.Busy() {
		if e.mover.Roster().MissingFor(id) > e.cfg.ListLag {
			e.placer.WorkerRemoved(id)
		}
	}
}

// reportHealth reports the workers newly set aside and those that are not any
// more, and returns the former together with those that still are.
func (e *Entry) reportHealthChanges(before map[string]bool) map[string]bool {
	now := make(map[string]bool)
	for _, id := range e.fleet.Aside() {
		now[id] = true
		if !before[id] {
			e.mover.ReportHealth(id, "fails what is started on it")
		}
	}
	for id := range before {
		if !now[id] {
			e.mover.ReportHealth(id, "")
		}
	}
	return now
}

// measurePools notes the slots of the largest worker of each pool.
func (e *Entry) updateLargestWorkers() {
	largest := make(map[string]int)
	for _, i := range e.mover.Table().All() {
		largest[i.Pool] = max(largest[i.Pool], i.Slots)
	}
	e.largest.Store(&largest)
}

// largestIn returns the slots of the largest worker of the pool, 0 when unknown.
func (e *Entry) largestWorkerSlots(pool string) int {
	largest := e.largest.Load()
	if largest == nil {
		return 0
	}
	return (*largest)[pool]
}
