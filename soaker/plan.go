package soaker

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// The kinds of fault.
const (
	EntryTerm          Kind = "entry-term"      // SIGTERM, and a new process
	EntryKill          Kind = "entry-kill"      // SIGKILL, and a new process
	EntryPause         Kind = "entry-pause"     // SIGSTOP and SIGCONT
	EntryHangup        Kind = "entry-hangup"    // SIGHUP
	AllEntriesKill     Kind = "all-kill"        // SIGKILL of all entries at the same moment
	StoreDown          Kind = "store-down"      // every call is refused
	StoreSlow          Kind = "store-slow"      // every answer is late
	StoreWritesLost    Kind = "store-lost"      // writes are not answered, and some carried out later
	StoreCompact       Kind = "store-compact"   // the store forgets its history
	StoreConnection    Kind = "store-link"      // of one entry: its connections to the store suffer
	WorkerConnection   Kind = "worker-link"     // of one worker: all connections to it suffer
	WorkerUnresponsive Kind = "worker-silent"   // a worker answers nothing and works on
	WorkerRestart      Kind = "worker-restart"  // a worker ends with its runs, another one starts
	WorkerStartsLate   Kind = "worker-late"     // workers carry some starts out late, unanswered
	NewManifest        Kind = "manifest-change" // the operator changes the limits
	NewMaintenanceWave Kind = "wave"            // instances are due for upkeep
)

const (
	warmUp            = 2 * time.Second         // without faults, for the first jobs
	meanFaultInterval = 1200 * time.Millisecond // between the beginnings of two faults, so that they overlap
	minFaultDuration  = 300 * time.Millisecond  // of a fault that lasts
	maxFaultDuration  = 5 * time.Second         // of a fault that lasts, as long as the platform's outages
)

type (
	// Kind is a kind of fault.
	Kind string

	// Fault is something that goes wrong.
	Fault struct {
		At       time.Duration `json:"at"` // from the beginning of the run
		Duration time.Duration `json:"for,omitempty"`
		Kind     Kind          `json:"kind"`
		Target   int           `json:"target"` // number of an entry or worker, taken modulo their count
		Mode     Mode          `json:"mode,omitempty"`
	}
)

// kindsWithDuration are the kinds that end after a time, the others happen at once.
var kindsWithDuration = []Kind{EntryPause, StoreDown, StoreSlow, StoreWritesLost, StoreConnection, WorkerConnection, WorkerUnresponsive, WorkerStartsLate}

var allKinds = []Kind{
	EntryTerm, EntryKill, EntryPause, EntryHangup, AllEntriesKill, StoreDown, StoreSlow, StoreWritesLost, StoreCompact, StoreConnection,
	WorkerConnection, WorkerUnresponsive, WorkerRestart, WorkerStartsLate, NewManifest, NewMaintenanceWave,
}

// PlanFaults draws the faults of a run. The same seed draws the same faults.
func PlanFaults(seed uint64, duration time.Duration) []Fault {
	rng := rand.New(rand.NewPCG(seed, 0))
	var faults []Fault
	for at := warmUp; at < duration; at += time.Duration(rng.ExpFloat64() * float64(meanFaultInterval)) {
		f := Fault{At: at.Truncate(time.Millisecond), Kind: allKinds[rng.IntN(len(allKinds))], Target: rng.IntN(1 << 16)}
		if slices.Contains(kindsWithDuration, f.Kind) {
			f.Duration = (minFaultDuration + time.Duration(rng.Int64N(int64(maxFaultDuration-minFaultDuration)))).Truncate(time.Millisecond)
		}
		if f.Kind == StoreConnection || f.Kind == WorkerConnection {
			f.Mode = Delay + Mode(rng.IntN(int(BlockResponses-Delay)+1))
		}
		faults = append(faults, f)
	}
	slices.SortStableFunc(faults, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return faults
}
