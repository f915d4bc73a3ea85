package orchestrator

import (
	"context"
	"encoding/json"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/keeper"
	"github.com/coltsfootlever/coltsfootlever/maintainer"
	"github.com/coltsfootlever/coltsfootlever/modeler"
)

const wavePrefix = fleetPrefix + "wave/" // followed by the wave number; stores a WaveRecord

type (
	// waveState is the leader's state of a maintenance wave.
	waveState struct {
		modeler.Wave
		firstSeen      time.Time            // when the wave was first seen in any term
		loadedAt       time.Time            // when this leader learned of the request; zero if it hasn't yet
		pending        map[string]bool      // instances whose maintenance has not started
		missingSince   map[string]time.Time // since when pending instances have been missing in the instance list
		unlisted       map[string]bool      // those that the platform doesn't list; they are pending again if it does
		record         WaveRecord
		revision       int64 // last known revision of the stored record
		changed        bool  // the record must be stored
		reported       bool  // the operator has been told that the wave is running
		commitInFlight bool
		completed      bool // the operator has been told that the wave is completed
	}

	// WaveRecord is the stored state of a wave, which the next leader needs.
	WaveRecord struct {
		First   time.Time `json:"first"`
		Begun   []string  `json:"begun,omitempty"`   // instances whose maintenance was ordered
		Refused []string  `json:"refused,omitempty"` // instances whose maintenance the platform has refused
		Done    bool      `json:"done,omitempty"`
	}
)

// restoreWaves restores the waves of earlier terms.
func (e *Engine) restoreWaves(records []keeper.Record) {
	for _, r := range records {
		number, err := strconv.ParseInt(strings.TrimPrefix(r.Key, wavePrefix), 10, 64)
		var rec WaveRecord
		if err == nil {
			err = json.Unmarshal(r.Value, &rec)
		}
		if err != nil {
			e.log.Error("wave record cannot be read, left alone", "key", r.Key, "error", err)
			continue
		}
		e.planner.waves[number] = &waveState{firstSeen: rec.First, record: rec, revision: r.Revision, reported: true, completed: rec.Done}
	}
}

// loadRequestedWaves adds the waves that the operator has requested.
func (e *Engine) loadRequestedWaves(now time.Time) {
	for _, info := range e.cfg.RequestedWaves() {
		v := e.planner.waves[info.Number]
		if v == nil {
			v = &waveState{firstSeen: now, record: WaveRecord{First: now}, changed: true}
			e.planner.waves[info.Number] = v
			e.log.Info("maintenance wave requested by the operator", "wave", info.Number, "instances", len(info.Instances), "at-once", info.MaxConcurrent, "within", info.Duration.String())
		}
		switch {
		case v.loadedAt.IsZero():
			v.load(info, now)
		case v.isChangedBy(info):
			e.log.Info("maintenance wave changed by the operator", "wave", info.Number, "instances", len(info.Instances), "at-once", info.MaxConcurrent, "within", info.Duration.String())
			v.firstSeen, v.changed = now, true
			v.record.First, v.record.Refused = now, nil
			v.load(info, now)
		}
	}
}

// isChangedBy reports whether a request of the wave differs from the loaded one.
func (v *waveState) isChangedBy(info modeler.Wave) bool {
	return v.Duration != info.Duration || v.MaxConcurrent != info.MaxConcurrent || !slices.Equal(v.Instances, info.Instances)
}

// load takes over the request of a wave. A wave that an earlier term has completed
// has gone on without the instances whose maintenance has not started.
func (v *waveState) load(info modeler.Wave, now time.Time) {
	v.Wave, v.loadedAt = info, now
	v.pending, v.unlisted, v.missingSince = make(map[string]bool, len(info.Instances)), make(map[string]bool), make(map[string]time.Time)
	for _, name := range info.Instances {
		switch {
		case slices.Contains(v.record.Begun, name), slices.Contains(v.record.Refused, name):
		case v.completed:
			v.unlisted[name] = true
		default:
			v.pending[name] = true
		}
	}
}

// markStarted records that the maintenance of an instance has started.
func (v *waveState) markStarted(name string) {
	v.removeInstance(name)
	v.record.Begun = append(v.record.Begun, name)
	v.changed = true
}

// markRefused records that the platform has refused the maintenance of an instance.
func (v *waveState) markRefused(name string) {
	v.removeInstance(name)
	v.record.Refused = append(v.record.Refused, name)
	v.changed = true
}

// removeInstance removes an instance from those that await their maintenance.
func (v *waveState) removeInstance(name string) {
	delete(v.pending, name)
	delete(v.unlisted, name)
}

// updateUnlistedInstances lets a wave go on without instances that the platform
// doesn't list, and takes them back when it does. The request may be newer than the
// instance list, and a list may miss an instance, so an instance must be missing for
// some time.
func (e *Engine) updateUnlistedInstances(v *waveState, now time.Time) {
	p := &e.planner
	for name := range v.pending {
		if p.instances[name] != nil {
			delete(v.missingSince, name)
			continue
		}
		since, ok := v.missingSince[name]
		if !ok {
			v.missingSince[name] = now
		}
		if missing := p.previousListAt.Sub(since); ok && missing >= maxInstanceListAge {
			delete(v.pending, name)
			v.unlisted[name] = true
			e.log.Info("instance of a maintenance wave is not listed, the wave goes on without it", "wave", v.Number, "instance", name, "missing", missing.Round(time.Millisecond).String())
		}
	}
	for name := range v.unlisted {
		if p.instances[name] == nil {
			continue
		}
		delete(v.unlisted, name)
		delete(v.missingSince, name)
		v.pending[name] = true
		v.changed = v.changed || v.completed
		v.completed = false
		e.log.Info("instance of a maintenance wave is listed now, the wave takes it back", "wave", v.Number, "instance", name)
	}
}

// awaitsInstanceList reports whether a wave or an order of an earlier term waits for
// newer instance lists, which show whether an instance is there.
func (e *Engine) awaitsInstanceList() bool {
	if len(e.planner.orders.fromEarlierTerm) > 0 {
		return true
	}
	for _, v := range e.planner.waves {
		for name := range v.pending {
			if e.planner.instances[name] == nil {
				return true
			}
		}
	}
	return false
}

// isMaintenanceDue reports whether an instance is in a wave and its maintenance
// has not started.
func (e *Engine) isMaintenanceDue(name string) bool {
	for _, v := range e.planner.waves {
		if v.pending[name] {
			return true
		}
	}
	return false
}

// startDueMaintenance starts the maintenance of the next instances of each
// wave.
func (e *Engine) startDueMaintenance(now time.Time) {
	if len(e.planner.waves) == 0 {
		return
	}
	pools := e.maintainerPools()
	for _, v := range e.planner.waves {
		if v.loadedAt.IsZero() {
			continue
		}
		e.updateUnlistedInstances(v, now)
		if v.completed {
			continue
		}
		for _, name := range maintainer.Next(e.maintainerWave(v, now), pools) {
			i := e.planner.instances[name]
			i.wave, i.targetPool = v.Number, ""
			e.startPlan(i, maintenancePlan, now)
		}
	}
}

// maintainerWave describes a wave to the maintainer, which chooses the next instances.
func (e *Engine) maintainerWave(v *waveState, now time.Time) maintainer.Wave {
	view := maintainer.Wave{MaxConcurrent: v.MaxConcurrent, TimeLeft: v.Duration - now.Sub(v.firstSeen)}
	for name := range v.pending {
		if i := e.planner.instances[name]; i != nil && i.plan == noPlan && !i.missed {
			view.Pending = append(view.Pending, e.waveCandidate(i))
		}
	}
	for _, order := range e.planner.orders.fromEarlierTerm {
		if order.Wave == v.Number {
			view.InMaintenance++ // the list doesn't show the instance yet
		}
	}
	for _, i := range e.planner.instances {
		if i.plan != maintenancePlan || i.wave != v.Number {
			continue
		}
		view.InMaintenance++
		if i.phase == evacuating && e.waveCandidate(i).LongRunningTasks > 0 {
			view.MovingLongRunning++
		}
	}
	return view
}

// waveCandidate returns the description of an instance by which the maintainer
// chooses the next ones.
func (e *Engine) waveCandidate(i *instance) maintainer.Instance {
	c := maintainer.Instance{Name: i.Name, Pool: i.Pool, Spare: e.isSparePool(i.Pool), Up: i.State == modeler.InstanceUp}
	for _, w := range e.allWorkersOn(i) {
		for _, t := range w.tasks {
			if t.step.LongRunning {
				c.LongRunningTasks++
			} else {
				c.ShortTasks++
			}
		}
	}
	return c
}

// isSparePool reports whether a pool keeps its instances switched off as
// spares.
func (e *Engine) isSparePool(pool string) bool {
	p := e.cfg.Manifest().Pool(pool)
	return p != nil && p.Spare
}

// maintainerPools returns what the maintainer needs to know of each pool to
// choose the next instances: the number of instances, those in maintenance
// and the utilization.
func (e *Engine) maintainerPools() map[string]maintainer.Pool {
	pools := make(map[string]maintainer.Pool)
	demands := e.demandByPool()
	for _, i := range e.planner.instances {
		p := pools[i.Pool]
		p.Instances++
		if i.plan == maintenancePlan {
			p.InMaintenance++
		}
		pools[i.Pool] = p
	}
	for name, p := range pools {
		poolDemand := demands[name]
		if poolDemand.capacity > 0 {
			p.Utilization = (poolDemand.longRunning + poolDemand.running + poolDemand.waiting) / poolDemand.capacity
		}
		pools[name] = p
	}
	return pools
}

// storeWaveProgress stores the progress of the waves and reports it to the
// operator. Each transaction requires the last known revision of the wave's
// record, so that one that the store executes late changes nothing.
func (e *Engine) storeWaveProgress(ctx context.Context) {
	for number, v := range e.planner.waves {
		if v.loadedAt.IsZero() || v.commitInFlight || v.completed {
			continue
		}
		completed := len(v.pending) == 0 && !e.hasPlannedMaintenance(v)
		if !v.changed && v.reported && !completed {
			continue
		}
		v.commitInFlight, v.changed = true, false
		v.record.Done = completed
		key := wavePrefix + strconv.FormatInt(number, 10)
		txn := keeper.Txn{
			Expect: []keeper.Expectation{e.termCondition(), {Key: key, Revision: v.revision}},
			Put: []keeper.Put{
				{Key: key, Value: encodeJSON(v.record)},
				e.cfg.WaveStatus(number, completed),
			},
		}
		e.runInBackground(func() {
			revision, records, err := e.store.Commit(ctx, txn)
			if errors.Is(err, keeper.ErrConflict) {
				revision = revisionOf(key, records) // an earlier write whose response was lost
			}
			e.runInEventLoop(ctx, func() { e.handleWaveProgressStored(v, completed, revision, records, err) })
		})
	}
}

// handleWaveProgressStored processes the result of storing the progress of a
// wave.
func (e *Engine) handleWaveProgressStored(v *waveState, completed bool, revision int64, records []keeper.Record, err error) {
	v.commitInFlight = false
	if err == nil || errors.Is(err, keeper.ErrConflict) {
		v.revision = revision
	}
	if err != nil {
		v.changed = true
		e.checkStillLeader(records, err)
		e.log.Warn("progress of a maintenance wave not stored, trying again", "wave", v.Number, "error", err)
		return
	}
	v.reported = true
	if completed && len(v.pending) > 0 { // an unlisted instance is listed again since
		v.changed = true
		return
	}
	if v.completed = completed; completed {
		e.log.Info("maintenance wave completed", "wave", v.Number, "took", time.Since(v.firstSeen).Round(time.Millisecond).String())
	}
}

// hasPlannedMaintenance reports whether maintenance of an instance is still
// planned or in progress for the wave.
func (e *Engine) hasPlannedMaintenance(v *waveState) bool {
	for _, order := range e.planner.orders.fromEarlierTerm {
		if order.Wave == v.Number {
			return true
		}
	}
	for _, i := range e.planner.instances {
		if i.wave == v.Number {
			return true
		}
	}
	return false
}
