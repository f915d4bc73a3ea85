package server

import (
	"context"
	"time"
)

// healthPollInterval is the time between two checks of the workers' health.
const healthPollInterval = 2 * time.Second

// watchHealth reports workers on which tasks fail to the mover, and workers that
// are gone to the placer.
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

// abandonTasksOnLostWorkers gives up the tasks on workers that have been missing
// from the instance list for longer than the list's lag. The tasks' slots stay in
// use until their leases expire.
func (e *Entry) abandonTasksOnLostWorkers() {
	for _, id := range e.fleet.BusyWorkers() {
		if e.mover.Roster().MissingFor(id) > e.cfg.ListLag {
			e.placer.WorkerRemoved(id)
		}
	}
}

// reportHealthChanges compares the workers that are set aside, because tasks fail
// on them, with those before. It reports the differences to the mover and returns
// the workers that are set aside now.
func (e *Entry) reportHealthChanges(before map[string]bool) map[string]bool {
	now := make(map[string]bool)
	for _, id := range e.fleet.QuarantinedWorkers() {
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

// updateLargestWorkers records the slots of the largest worker of each pool.
func (e *Entry) updateLargestWorkers() {
	largest := make(map[string]int)
	for _, i := range e.mover.Table().All() {
		largest[i.Pool] = max(largest[i.Pool], i.Slots)
	}
	e.largestWorkers.Store(&largest)
}

// largestWorkerSlots returns the slots of the largest worker of the pool, or 0 if
// they are not known.
func (e *Entry) largestWorkerSlots(pool string) int {
	largest := e.largestWorkers.Load()
	if largest == nil {
		return 0
	}
	return (*largest)[pool]
}
