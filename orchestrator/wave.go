package orchestrator

import (
	"context"
	"encoding/json"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/coltsfootlever/coltsfootlever/keeper"
	"github.com/coltsfootlever/coltsfootlever/maintainer"
	"github.com/coltsfootlever/coltsfootlever/modeler"
)

const wavePrefix = fleetPrefix + "wave/" // followed by the number; the record is a WaveRecord

type (
	// wave is a wave that is not completed.
	waveState struct {
		modeler.Wave
		firstSeen      time.Time       // when it was first seen
		pending        map[string]bool // instances whose upkeep has not begun
		record         WaveRecord
		changed        bool // the record has to be stored
		reported       bool // the operator knows that it runs
		commitInFlight bool
		completed      bool // the operator knows that it is completed
	}

	// WaveRecord is what a successor has to know of a wave.
	WaveRecord struct {
		First time.Time `json:"first"`
		Begun []string  `json:"begun,omitempty"` // instances whose upkeep was ordered
		Done  bool      `json:"done,omitempty"`
	}
)

// restoreWaves takes in the records of waves of earlier terms.
func (e *Engine) restoreWaves(records []keeper.Record) {
	for _, r := range records {
		number, err := strconv.ParseInt(strings.TrimPrefix(r.Key, wavePrefix), 10, 64)
		var rec WaveRecord
		if err == nil {
			err = json.Unmarshal(r.Value, &rec)
		}
		if err != nil {
			e.log.Error("wave record left alone", "key", r.Key, "error", err)
			continue
		}
		e.planner.waves[number] = &waveState{firstSeen: rec.First, record: rec, reported: true, completed: rec.Done}
	}
}

// takeWaves takes in the waves that the operator asks for.
func (e *Engine) loadRequestedWaves(now time.Time) {
	for _, info := range e.cfg.RequestedWaves() {
		v := e.planner.waves[info.Number]
		if v == nil {
			v = &waveState{firstSeen: now, record: WaveRecord{First: now}, changed: true}
			e.planner.waves[info.Number] = v
			e.log.Info("wave known", "wave", info.Number, "instances", len(info.Instances), "at-once", info.MaxConcurrent, "within", info.Duration.String())
		}
		if v.pending != nil {
			continue
		}
		v.Wave = info
		v.pending = make(map[string]bool, len(info.Instances))
		for _, name := range info.Instances {
			if !slices.Contains(v.record.Begun, name) {
				v.pending[name] = true
			}
		}
	}
}

// begun notes that the upkeep of an instance has begun.
func (v *waveState) markStarted(name string) {
	delete(v.pending, name)
	v.record.Begun = append(v.record.Begun, name)
	v.changed = true
}

// drop takes an instance out of the wave that has left the fleet.
func (v *waveState) removeInstance(name string) {
	delete(v.pending, name)
}

// isDue says whether the upkeep of an instance has still to begin.
func (e *Engine) isMaintenanceDue(name string) bool {
	for _, v := range e.planner.waves {
		if v.pending[name] {
			return true
		}
	}
	return false
}

// planWaves begins with the next instances of each wave.
func (e *Engine) startDueMaintenance(now time.Time) {
	if len(e.planner.waves) == 0 {
		return
	}
	pools := e.poolUtilization()
	for _, v := range e.planner.waves {
		if v.completed || v.pending == nil {
			continue
		}
		view := maintainer.Wave{AtOnce: v.MaxConcurrent, Left: v.Duration - now.Sub(v.firstSeen)}
		for name := range v.pending {
			i := e.planner.instances[name]
			switch {
			case i == nil:
				v.removeInstance(name)
			case i.plan == noPlan:
				view.Pending = append(view.Pending, e.waveCandidate(i))
			}
		}
		for _, i := range e.planner.instances {
			if i.plan == maintenancePlan && i.wave == v.Number {
				view.UnderWay++
				if i.phase == evacuating && e.waveCandidate(i).Lasting > 0 {
					view.Moving++
				}
			}
		}
		for _, name := range maintainer.Next(view, pools) {
			i := e.planner.instances[name]
			i.wave, i.targetPool = v.Number, ""
			e.startPlan(i, maintenancePlan, now)
		}
	}
}

// candidate describes an instance to the choice of the next ones.
func (e *Engine) waveCandidate(i *instance) maintainer.Instance {
	c := maintainer.Instance{Name: i.Name, Pool: i.Pool, Spare: e.isSparePool(i.Pool), Up: i.State == modeler.InstanceUp}
	for _, w := range e.allWorkersOn(i) {
		for _, t := range w.tasks {
			if t.step.LongRunning {
				c.Lasting++
			} else {
				c.Tasks++
			}
		}
	}
	return c
}

func (e *Engine) isSparePool(pool string) bool {
	p := e.cfg.Manifest().Pool(pool)
	return p != nil && p.Spare
}

// poolFills sums up the pools for the choice of the next instances.
func (e *Engine) poolUtilization() map[string]maintainer.Pool {
	pools := make(map[string]maintainer.Pool)
	demands := e.demandByPool()
	for _, i := range e.planner.instances {
		p := pools[i.Pool]
		p.Instances++
		if i.plan == maintenancePlan {
			p.Away++
		}
		pools[i.Pool] = p
	}
	for name, p := range pools {
		poolDemand := demands[name]
		if poolDemand.capacity > 0 {
			p.Fill = (poolDemand.longRunning + poolDemand.running + poolDemand.waiting) / poolDemand.capacity
		}
		pools[name] = p
	}
	return pools
}

// reportWaves stores how far the waves are and tells the operator.
func (e *Engine) storeWaveProgress(ctx context.Context) {
	for number, v := range e.planner.waves {
		if v.pending == nil || v.commitInFlight || v.completed {
			continue
		}
		completed := len(v.pending) == 0 && !e.hasPlannedMaintenance(v)
		if !v.changed && v.reported && !completed {
			continue
		}
		v.commitInFlight, v.changed = true, false
		v.record.Done = completed
		txn := keeper.Txn{
			Expect: []keeper.Expectation{e.termCondition()},
			Put: []keeper.Put{
				{Key: wavePrefix + strconv.FormatInt(number, 10), Value: encode(v.record)},
				e.cfg.WaveStatus(number, completed),
			},
		}
		e.runInBackground(func() {
			_, _, err := e.store.Commit(ctx, txn)
			e.runInEventLoop(ctx, func() { e.handleWaveProgressStored(v, completed, err) })
		})
	}
}

func (e *Engine) handleWaveProgressStored(v *waveState, completed bool, err error) {
	v.commitInFlight = false
	if err != nil {
		v.changed = true
		e.log.Warn("wave not reported", "wave", v.Number, "error", err)
		return
	}
	v.reported, v.completed = true, completed
	if completed {
		e.log.Info("wave completed", "wave", v.Number, "took", time.Since(v.firstSeen).Round(time.Millisecond).String())
	}
}

// hasUpkeep says whether an instance is still away for the wave.
func (e *Engine) hasPlannedMaintenance(v *waveState) bool {
	for _, i := range e.planner.instances {
		if i.wave == v.Number {
			return true
		}
	}
	return false
}
