package evacuator

import (
	"hash/fnv"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/modeler"
)

const (
	// ReturnTime is how long it takes until all instances of a restored zone are in
	// use. A pool makes up for the zone in less time by moves, so the waiting work of a
	// few seconds is spread over all zones.
	ReturnTime  = 5 * time.Second
	returnSteps = 5 // parts in which the instances return, the first one at once

	// gangTime is how long the rest of a gang may still be started after some of its
	// members have been, from the requirements.
	gangTime = time.Second

	// startMargin is the time from the decision to send a start to its execution. A
	// start that takes longer is refused by its worker, see StartBy.
	startMargin = 300 * time.Millisecond

	// clockMargin covers workers' clocks that run up to 2 % slower, during the bound and
	// since the report from which the clock is estimated, which is up to 2 s old.
	clockMargin = 200 * time.Millisecond
)

const (
	// ErrEvacuated reports that no task may start in a zone because it is evacuated.
	ErrEvacuated = errors.ConstError("the zone is evacuated")
	// ErrOutdated reports that no task may start because the operator's records were
	// last known to be current too long ago.
	ErrOutdated = errors.ConstError("the operator's records were last confirmed too long ago")
)

// Zones is what a process knows of the operator's evacuations. Times are on the
// boot-time clock of its machine.
type Zones struct {
	Evacuations []modeler.Evacuation
	AsOf        time.Duration // when they were last known to be current; negative if they have not been read
	Bound       time.Duration // no task starts in a zone later than this after the acknowledgement of its evacuation; 0 if zones can't be evacuated
}

// IsCurrent reports whether the evacuations were known to be current so recently that
// a start may be sent.
func (z Zones) IsCurrent(now time.Duration) bool {
	return z.Bound == 0 || z.AsOf >= 0 && now < z.AsOf+z.Bound-startMargin
}

// Age returns how long ago the evacuations were known to be current, rounded for logs. It
// is negative if they have not been read.
func (z Zones) Age(now time.Duration) time.Duration {
	if z.AsOf < 0 {
		return -1
	}
	return (now - z.AsOf).Round(time.Millisecond)
}

// IsEvacuated reports whether a zone is evacuated.
func (z Zones) IsEvacuated(zone string) bool {
	e := z.find(zone)
	return e != nil && !e.Restored
}

// Accepts reports whether an instance of a zone may be used for new tasks: the zone is
// not evacuated and, if it has been restored lately, the instance has returned to use.
func (z Zones) Accepts(zone, instance string, now time.Duration) bool {
	e := z.find(zone)
	return e == nil || e.Restored && returnsAfter(instance) <= now-e.RestoredAt
}

// StartBy returns the time until which a start that is sent now to a worker of the
// zone may be executed, so that it doesn't come too late after an evacuation that is
// not known yet. It returns an error if no start may be sent. underway says that other
// members of the task's gang have been started: the rest may follow for a moment.
func (z Zones) StartBy(zone string, underway bool, now time.Duration) (time.Duration, error) {
	switch e := z.find(zone); {
	case z.Bound == 0:
		return 0, nil
	case !z.IsCurrent(now):
		return 0, ErrOutdated
	case e == nil || e.Restored:
		return z.AsOf + z.Bound - clockMargin, nil
	case !underway || now >= z.gangDeadline(e):
		return 0, ErrEvacuated
	default:
		return z.gangDeadline(e) + startMargin - clockMargin, nil
	}
}

// gangDeadline returns until when the rest of a gang may be sent to an evacuated zone:
// for a second, and not so late that it could start after the bound. The evacuation was
// acknowledged after the zone was last known to be in use.
func (z Zones) gangDeadline(e *modeler.Evacuation) time.Duration {
	if e.InUseAsOf < 0 {
		return 0
	}
	return min(e.Since+gangTime, e.InUseAsOf+z.Bound-startMargin)
}

// Evacuated returns the names of the evacuated zones, sorted.
func (z Zones) Evacuated() []string {
	var names []string
	for i := range z.Evacuations {
		if !z.Evacuations[i].Restored {
			names = append(names, z.Evacuations[i].Zone)
		}
	}
	slices.Sort(names)
	return names
}

func (z Zones) find(zone string) *modeler.Evacuation {
	for i := range z.Evacuations {
		if z.Evacuations[i].Zone == zone {
			return &z.Evacuations[i]
		}
	}
	return nil
}

// returnsAfter returns how long after the restore of its zone an instance returns to
// use. The hash of the name spreads the instances of each pool over the steps.
func returnsAfter(instance string) time.Duration {
	h := fnv.New32a()
	_, _ = h.Write([]byte(instance)) // the Write method of a hash never returns an error
	n := h.Sum32()
	n ^= n >> 16 // the low bits of FNV depend on the last characters only
	return time.Duration(n%returnSteps) * (ReturnTime / returnSteps)
}

// Replace returns the evacuations after a full list of the operator's records has been
// read. A zone that is no longer listed is restored. known are those before and asOf
// the time at which they were current.
func Replace(known, listed []modeler.Evacuation, asOf, now time.Duration) []modeler.Evacuation {
	result := slices.Clone(known)
	for i := range known {
		if !slices.ContainsFunc(listed, func(e modeler.Evacuation) bool { return e.Zone == known[i].Zone }) {
			result = Remove(result, known[i].Zone, now)
		}
	}
	for _, e := range listed {
		result = Add(result, e, asOf, now)
	}
	return result
}

// Add returns the evacuations after the operator has requested another one. A request
// that is repeated for an evacuated zone changes its revision only.
func Add(known []modeler.Evacuation, e modeler.Evacuation, asOf, now time.Duration) []modeler.Evacuation {
	e.Since, e.InUseAsOf, e.Restored, e.RestoredAt = now, asOf, false, 0
	result := dropReturned(known, now)
	for i := range result {
		if result[i].Zone != e.Zone {
			continue
		}
		if !result[i].Restored {
			e.Since, e.InUseAsOf = result[i].Since, result[i].InUseAsOf
		}
		result[i] = e
		return result
	}
	return append(result, e)
}

// Remove returns the evacuations after the operator has restored a zone.
func Remove(known []modeler.Evacuation, zone string, now time.Duration) []modeler.Evacuation {
	result := dropReturned(known, now)
	for i := range result {
		if e := &result[i]; e.Zone == zone && !e.Restored {
			e.Restored, e.RestoredAt = true, now
		}
	}
	return result
}

// dropReturned returns a copy without the zones whose instances have all returned to
// use.
func dropReturned(known []modeler.Evacuation, now time.Duration) []modeler.Evacuation {
	return slices.DeleteFunc(slices.Clone(known), func(e modeler.Evacuation) bool { return e.Restored && now-e.RestoredAt >= ReturnTime })
}
