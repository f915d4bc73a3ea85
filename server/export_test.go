package server

import (
	"github.com/coltsfootlever/coltsfootlever/messenger"
	"github.com/coltsfootlever/coltsfootlever/router"
)

// Variant selects a baseline for measurements.
type Variant struct {
	NeverForwards bool // never forwards
	EvenSplit     bool // limits are split evenly, without regard to demand, and teams have no fitted weights
}

// NewVariant is New with parts replaced by those of a baseline.
func NewVariant(cfg Settings, platform Platform, v Variant) (*Entry, error) {
	e, err := build(cfg, platform)
	if err != nil {
		return nil, err
	}
	if v.NeverForwards {
		e.chooser = router.NewLoadChooser(e.self().ID, localLoads{e}) // the router's own hears of no peer
	}
	if v.EvenSplit {
		all := e.teamLoads
		e.teamLoads = func() []messenger.Heartbeat { return dropTeamLoads(all()) }
	}
	return e, e.register()
}

func dropTeamLoads(loads []messenger.Heartbeat) []messenger.Heartbeat {
	for n := range loads {
		loads[n].Teams = nil
	}
	return loads
}
