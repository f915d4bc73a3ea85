package server

import (
	"github.com/coltsfootlever/coltsfootlever/messenger"
	"github.com/coltsfootlever/coltsfootlever/router"
	"github.com/coltsfootlever/coltsfootlever/scheduler"
)

// Variant turns off features of an entry, to measure what they contribute.
type Variant struct {
	NeverForwards bool // the entry forwards no request to another entry
	EvenSplit     bool // limits are split evenly among entries, whatever their demand, and teams' weights are not adjusted
}

// NewVariant is like New, but turns off the features that v names.
func NewVariant(cfg Settings, platform Platform, v Variant) (*Entry, error) {
	e, err := build(cfg, platform)
	if err != nil {
		return nil, err
	}
	if v.NeverForwards {
		e.chooser = router.NewLoadChooser(e.self().ID, localLoads{e}) // heartbeats now go to this chooser, so the one in the router learns of no peer
	}
	if v.EvenSplit {
		all := e.teamLoads
		e.teamLoads = func() []messenger.Heartbeat { return dropTeamLoads(all()) }
	}
	return e, e.register()
}

// CheckWorkerStart is the check that is made before a task is sent to a worker.
func (e *Entry) CheckWorkerStart(w scheduler.Worker) error { return e.checkWorkerStart(w) }

// AcquireSlot reserves a slot of the team, as before each start.
func (e *Entry) AcquireSlot(team string) bool { return e.slotQuota.Acquire(team, 1) }

// dropTeamLoads removes the teams' loads from the heartbeats, so that demand has no
// influence on grants and weights.
func dropTeamLoads(loads []messenger.Heartbeat) []messenger.Heartbeat {
	for n := range loads {
		loads[n].Teams = nil
	}
	return loads
}
