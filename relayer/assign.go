package relayer

import (
	"cmp"
	"maps"
	"slices"
)

const (
	reservedShare   = 0.25   // of a core, which an entry node needs for callers and for running for leadership; weak ones have less
	relayingShare   = 0.2    // part of the rest that relaying may take
	corePerWorker   = 0.0004 // cores that a relay spends on a worker: 3.2 calls a second, each at most twice the cost of a direct one
	linkShare       = 0.1    // part of the link that relaying may take
	mbpsPerWorker   = 0.05   // that a relay sends or receives for a worker, both sides together
	slowLinkMbps    = 50.0   // a relay with a slower link would delay starts behind the answers to its callers
	workersPerRelay = 180    // fewer workers on each of more relays would make batches smaller
	keptPerRelay    = 135    // a relay stays in use while the others would have more than this
	maxRelayWorkers = 256    // that a relay takes when others are lost
	relayOnWorkers  = 60     // number of workers from which relays are used: they save a third of the time for calls there, see docs/design/relays.md
	relayOffWorkers = 55     // number below which relays are no longer used; pools shrink to a quarter of the fleet between surges, which need the relays at once
)

type (
	// Relay is an entry node that can carry calls.
	Relay struct {
		Name           string
		Zone           string
		ProcessorShare float64 // in cores
		LinkMbps       float64 // 0 if it is not known
	}

	// AssignedWorker is a worker that needs a path.
	AssignedWorker struct {
		ID   string
		Zone string
	}
)

// Capacity returns the number of workers that the relay can serve beside its other
// work, 0 for weak entry nodes.
func (r Relay) Capacity() int {
	if r.LinkMbps > 0 && r.LinkMbps < slowLinkMbps {
		return 0
	}
	workers := (r.ProcessorShare - reservedShare) * relayingShare / corePerWorker
	if r.LinkMbps > 0 {
		workers = min(workers, r.LinkMbps*linkShare/mbpsPerWorker)
	}
	return int(max(0, min(workers, maxRelayWorkers)))
}

// UsesRelays reports whether the fleet has so many workers that relays pay off.
func UsesRelays(workers int, inUse bool) bool {
	if inUse {
		return workers >= relayOffWorkers
	}
	return workers >= relayOnWorkers
}

// Assign returns the relay of each worker by the worker's ID; workers without one
// are called directly. It keeps current assignments as long as the relay is among
// relays and has the capacity, uses no more relays than the number of workers
// needs, and prefers relays in the zone of the worker.
func Assign(current map[string]string, workers []AssignedWorker, relays []Relay) map[string]string {
	chosen := chooseRelays(current, len(workers), relays)
	if len(chosen) == 0 {
		return map[string]string{}
	}
	free := make(map[string]int, len(chosen))
	for _, r := range chosen {
		free[r.Name] = r.Capacity()
	}
	sorted := slices.SortedFunc(slices.Values(workers), func(a, b AssignedWorker) int { return cmp.Compare(a.ID, b.ID) })
	assigned := make(map[string]string, len(workers))
	for _, w := range sorted {
		if name := current[w.ID]; free[name] > 0 {
			assigned[w.ID] = name
			free[name]--
		}
	}
	for _, w := range sorted {
		if _, ok := assigned[w.ID]; ok {
			continue
		}
		best := slices.MaxFunc(chosen, func(a, b Relay) int {
			return cmp.Or(cmp.Compare(min(free[a.Name], 1), min(free[b.Name], 1)), compareBool(a.Zone == w.Zone, b.Zone == w.Zone), cmp.Compare(free[a.Name], free[b.Name]))
		})
		if free[best.Name] > 0 {
			assigned[w.ID] = best.Name
			free[best.Name]--
		}
	}
	return assigned
}

// chooseRelays returns the relays to use: those in use first, then those in zones
// that have none yet, then the strongest.
func chooseRelays(current map[string]string, workers int, relays []Relay) []Relay {
	inUse := make(map[string]bool)
	for name := range maps.Values(current) {
		inUse[name] = true
	}
	rest := slices.DeleteFunc(slices.Clone(relays), func(r Relay) bool { return r.Capacity() == 0 })
	var chosen []Relay
	zones := make(map[string]bool)
	capacity := 0
	for len(rest) > 0 {
		i := 0
		for n, r := range rest {
			best := rest[i]
			if cmp.Or(compareBool(inUse[r.Name], inUse[best.Name]), compareBool(!zones[r.Zone], !zones[best.Zone]),
				cmp.Compare(r.Capacity(), best.Capacity()), cmp.Compare(best.Name, r.Name)) > 0 {
				i = n
			}
		}
		perRelay := workersPerRelay
		if inUse[rest[i].Name] {
			perRelay = keptPerRelay
		}
		if len(chosen)*perRelay >= workers && capacity >= workers {
			break
		}
		chosen = append(chosen, rest[i])
		zones[rest[i].Zone] = true
		capacity += rest[i].Capacity()
		rest = slices.Delete(rest, i, i+1)
	}
	return chosen
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}
