package soaker

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// The kinds of faults.
const (
	EntryTerm          Kind = "entry-term"      // an entry node gets SIGTERM and is restarted
	EntryKill          Kind = "entry-kill"      // an entry node gets SIGKILL and is restarted
	EntryPause         Kind = "entry-pause"     // an entry node is paused by SIGSTOP until SIGCONT
	EntryHangup        Kind = "entry-hangup"    // an entry node gets SIGHUP
	AllEntriesKill     Kind = "all-kill"        // all entry nodes get SIGKILL at the same time
	StoreDown          Kind = "store-down"      // the store refuses every call
	StoreSlow          Kind = "store-slow"      // the store delays every response
	StoreWritesLost    Kind = "store-lost"      // responses to some store writes are lost, and some of these writes are applied late
	StoreCompact       Kind = "store-compact"   // the store compacts its history
	StoreConnection    Kind = "store-link"      // the proxy between one entry node and the store delays, breaks or blocks connections
	WorkerConnection   Kind = "worker-link"     // the proxy in front of one worker delays, breaks or blocks connections
	WorkerUnresponsive Kind = "worker-silent"   // a worker responds to no call while its tasks continue
	WorkerRestart      Kind = "worker-restart"  // a worker ends with all its runs and a new one starts
	WorkerStartsLate   Kind = "worker-late"     // workers carry out some starts late and lose the responses
	WorkerShrinks      Kind = "worker-shrinks"  // a worker has room for less for a while
	AdviceSlow         Kind = "advice-slow"     // the advice service takes longer for its decisions
	AdviceSilent       Kind = "advice-silent"   // the responses of the advice service are lost
	AdviceConnection   Kind = "advice-link"     // the proxy between one entry node and the advice service delays, breaks or blocks connections
	JobBurst           Kind = "job-burst"       // callers submit more jobs for the queue with an advice service
	NewManifest        Kind = "manifest-change" // the operator changes the limits of the customers
	ZoneEvacuated      Kind = "zone-evacuated"  // the operator evacuates a zone for a while
	NewMaintenanceWave Kind = "wave"            // the operator orders the maintenance of some instances
	InstanceUnlisted   Kind = "unlisted"        // the operator orders the maintenance of an instance that the instance list lacks for a while
	WorkerReborn       Kind = "worker-reborn"   // a worker ends with all its runs, and another process starts under its ID at its address
	WorkerRecut        Kind = "worker-recut"    // the workers of a zone start again under their IDs and are cut off from the entry nodes and the store soon after
	WorkerGone         Kind = "worker-gone"     // some workers end for good with all their runs, and the instance list lacks their instances from then on
	LeaderKill         Kind = "leader-kill"     // the entry node that leads gets SIGKILL and is restarted
)

const (
	warmUp             = 2 * time.Second         // time without faults, in which the first jobs start
	meanFaultInterval  = 1200 * time.Millisecond // mean time between the starts of two faults; faults overlap
	meanShrinkInterval = 2 * time.Second         // mean time between two WorkerShrinks faults
	meanZoneInterval   = 4 * time.Second         // mean time between two ZoneEvacuated faults; sometimes all zones are evacuated
	maxEvacuation      = 12 * time.Second        // longest duration of a ZoneEvacuated fault; above the bound, so that late starts are seen
	meanListInterval   = 3 * time.Second         // mean time between two InstanceUnlisted faults, and between two WorkerReborn faults
	maxUnlisted        = 2 * time.Second         // longest duration of an InstanceUnlisted fault; the list shows a change within this time
	meanCutInterval    = 12 * time.Second        // mean time between two WorkerRecut faults
	meanAdviceInterval = 8 * time.Second         // mean time between two AdviceSlow faults, two AdviceSilent faults and so on
	maxAdviceFault     = 4 * time.Second         // longest duration of a fault of the advice service
	maxBurst           = 2 * time.Second         // longest duration of a JobBurst fault; what arrives meanwhile takes the advice service several times as long
	maxCut             = 14 * time.Second        // longest duration of a WorkerRecut fault; above the longest lease
	maxRebirth         = 400 * time.Millisecond  // longest duration of a WorkerReborn fault; shorter than the pause between two polls
	meanKillInterval   = 15 * time.Second        // mean time between two series of LeaderKill faults
	minKillGap         = 2 * time.Second         // shortest time between two kills of a series
	maxKillGap         = 7 * time.Second         // longest such time; new leaders have begun to start tasks by then
	maxKills           = 3                       // most kills of a series
	maxGone            = 3                       // most workers that are lost with the first kill of a series
	minFaultDuration   = 300 * time.Millisecond  // shortest duration of a fault whose kind is in kindsWithDuration
	maxFaultDuration   = 5 * time.Second         // longest duration of such a fault; as long as outages of the platform
)

type (
	// Kind is a kind of fault.
	Kind string

	// Fault is one fault of a run.
	Fault struct {
		At       time.Duration `json:"at"` // time since the start of the run
		Duration time.Duration `json:"for,omitempty"`
		Kind     Kind          `json:"kind"`
		Count    int           `json:"count,omitempty"` // number of workers of a WorkerGone fault
		Target   int           `json:"target"`          // number of an entry node or worker; the remainder modulo their count is used
		Mode     Mode          `json:"mode,omitempty"`
	}
)

// kindsWithDuration are the kinds of faults that last for some time. Faults of
// other kinds are instantaneous.
var kindsWithDuration = []Kind{EntryPause, StoreDown, StoreSlow, StoreWritesLost, StoreConnection, WorkerConnection, WorkerUnresponsive, WorkerStartsLate}

var allKinds = []Kind{
	EntryTerm, EntryKill, EntryPause, EntryHangup, AllEntriesKill, StoreDown, StoreSlow, StoreWritesLost, StoreCompact, StoreConnection,
	WorkerConnection, WorkerUnresponsive, WorkerRestart, WorkerStartsLate, NewManifest, NewMaintenanceWave,
}

// Kinds returns all kinds of faults.
func Kinds() []Kind {
	return append(slices.Clone(allKinds), WorkerShrinks, ZoneEvacuated, InstanceUnlisted, WorkerReborn, WorkerRecut, AdviceSlow, AdviceSilent, AdviceConnection, JobBurst, WorkerGone, LeaderKill)
}

// PlanFaults draws the faults of a run. The same seed and duration give the same
// faults.
func PlanFaults(seed uint64, duration time.Duration) []Fault {
	rng := rand.New(rand.NewPCG(seed, 0))
	var faults []Fault
	for at := warmUp; at < duration; at += time.Duration(rng.ExpFloat64() * float64(meanFaultInterval)) {
		f := Fault{At: at.Truncate(time.Millisecond), Kind: allKinds[rng.IntN(len(allKinds))], Target: rng.IntN(1 << 16)}
		if slices.Contains(kindsWithDuration, f.Kind) {
			f.Duration = (minFaultDuration + time.Duration(rng.Int64N(int64(maxFaultDuration-minFaultDuration)))).Truncate(time.Millisecond)
		}
		if f.Kind == StoreConnection || f.Kind == WorkerConnection {
			f.Mode = randomMode(rng)
		}
		faults = append(faults, f)
	}
	faults = append(faults, planShrinks(seed, duration)...)
	faults = append(faults, planEvacuations(seed, duration)...)
	faults = append(faults, planKind(seed, duration, 3, InstanceUnlisted, meanListInterval, maxUnlisted)...)
	faults = append(faults, planKind(seed, duration, 4, WorkerReborn, meanListInterval, maxRebirth)...)
	faults = append(faults, planKind(seed, duration, 5, WorkerRecut, meanCutInterval, maxCut)...)
	faults = append(faults, planKind(seed, duration, 6, AdviceSlow, meanAdviceInterval, maxAdviceFault)...)
	faults = append(faults, planKind(seed, duration, 7, AdviceSilent, meanAdviceInterval, maxAdviceFault)...)
	faults = append(faults, planKind(seed, duration, 8, AdviceConnection, meanAdviceInterval, maxAdviceFault)...)
	faults = append(faults, planKind(seed, duration, 9, JobBurst, meanAdviceInterval, maxBurst)...)
	faults = append(faults, planKills(seed, duration)...)
	slices.SortStableFunc(faults, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return faults
}

// planShrinks draws the WorkerShrinks faults of a run, from a source of its own so
// that the other faults of a seed stay what they were.
func planShrinks(seed uint64, duration time.Duration) []Fault {
	rng := rand.New(rand.NewPCG(seed, 1))
	var faults []Fault
	for at := warmUp; at < duration; at += time.Duration(rng.ExpFloat64() * float64(meanShrinkInterval)) {
		d := minFaultDuration + time.Duration(rng.Int64N(int64(2*maxFaultDuration)))
		faults = append(faults, Fault{At: at.Truncate(time.Millisecond), Kind: WorkerShrinks, Target: rng.IntN(1 << 16), Duration: d.Truncate(time.Millisecond)})
	}
	return faults
}

// planEvacuations draws the ZoneEvacuated faults of a run, from a source of its own as
// in planShrinks. Half of them are shorter than the bound, some much shorter.
func planEvacuations(seed uint64, duration time.Duration) []Fault {
	rng := rand.New(rand.NewPCG(seed, 2))
	var faults []Fault
	for at := warmUp; at < duration; at += time.Duration(rng.ExpFloat64() * float64(meanZoneInterval)) {
		d := time.Duration(rng.Int64N(int64(maxEvacuation)))
		if rng.IntN(4) == 0 {
			d /= 20
		}
		faults = append(faults, Fault{At: at.Truncate(time.Millisecond), Kind: ZoneEvacuated, Target: rng.IntN(1 << 16), Duration: d.Truncate(time.Millisecond)})
	}
	return faults
}

// planKind draws the faults of a kind that start at a mean interval and last up to longest,
// from the given source as in planShrinks.
func planKind(seed uint64, duration time.Duration, source uint64, kind Kind, interval, longest time.Duration) []Fault {
	rng := rand.New(rand.NewPCG(seed, source))
	var faults []Fault
	for at := warmUp; at < duration; at += time.Duration(rng.ExpFloat64() * float64(interval)) {
		d := time.Duration(rng.Int64N(int64(longest)))
		f := Fault{At: at.Truncate(time.Millisecond), Kind: kind, Target: rng.IntN(1 << 16), Duration: d.Truncate(time.Millisecond)}
		if kind == AdviceConnection {
			f.Mode = randomMode(rng)
		}
		faults = append(faults, f)
	}
	return faults
}

// planKills draws series of LeaderKill faults, from a source of its own as in planShrinks.
// Workers are lost for good with the first kill of a series.
func planKills(seed uint64, duration time.Duration) []Fault {
	rng := rand.New(rand.NewPCG(seed, 10))
	var faults []Fault
	for at := warmUp; at < duration; at += time.Duration(rng.ExpFloat64() * float64(meanKillInterval)) {
		faults = append(faults, Fault{At: at.Truncate(time.Millisecond), Kind: WorkerGone, Target: rng.IntN(1 << 16), Count: 1 + rng.IntN(maxGone)})
		killAt := at
		for range 1 + rng.IntN(maxKills) {
			if killAt < duration {
				faults = append(faults, Fault{At: killAt.Truncate(time.Millisecond), Kind: LeaderKill})
			}
			killAt += minKillGap + time.Duration(rng.Int64N(int64(maxKillGap-minKillGap)))
		}
	}
	return faults
}

// randomMode draws how a proxy disturbs connections.
func randomMode(rng *rand.Rand) Mode {
	return Delay + Mode(rng.IntN(int(BlockResponses-Delay)+1))
}
