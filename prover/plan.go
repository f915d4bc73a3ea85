package prover

import (
	"fmt"
	"strings"
	"time"

	"pgregory.net/rapid"
)

// Kinds of steps.
const (
	CrashEntry        Kind = "crash-entry"    // killed, comes back as a new process
	LoseEntry         Kind = "lose-entry"     // killed and gone from the instance list
	PauseEntry        Kind = "pause-entry"    // no input, no output
	StopEntry         Kind = "stop-entry"     // planned, comes back later
	CutPeers          Kind = "cut-peers"      // two entries do not reach each other
	CutStore          Kind = "cut-store"      // one entry does not reach the store
	CutList           Kind = "cut-list"       // one entry does not reach the instance list
	StoreDown         Kind = "store-down"     // for all
	StoreHung         Kind = "store-hung"     // for all
	StoreSlow         Kind = "store-slow"     // for all
	LoseWrites        Kind = "lose-writes"    // answers of writes are lost
	ExpireLeases      Kind = "lapse-leases"   // all leases of the store end
	LoseMessages      Kind = "lose-messages"  // requests between entries
	LoseReplies       Kind = "lose-replies"   // answers between entries
	SlowNetwork       Kind = "slow-network"   // between entries
	CrashWorker       Kind = "crash-worker"   // forgets its tasks
	PauseWorker       Kind = "pause-worker"   // answers nothing
	SlowWorker        Kind = "slow-worker"    // answers late
	FailWorker        Kind = "fail-worker"    // fails all that it starts
	CorruptAnswers    Kind = "spoil-answers"  // lost, truncated and crossed answers
	RemoveWorker      Kind = "leave-worker"   // is leaving and goes
	LoseRack          Kind = "lose-rack"      // power
	LoseZone          Kind = "lose-zone"      // power of its workers
	ListDown          Kind = "list-down"      // for all
	Drain             Kind = "drain"          // by an operator, resumed later
	Move              Kind = "move"           // by an operator
	Reboot            Kind = "reboot"         // by an operator
	Wave              Kind = "wave"           // many reboots at once
	ChangeLimit       Kind = "change-limit"   // of one team
	ConcurrentChanges Kind = "race-operators" // two changes from the same base
	WithdrawKey       Kind = "withdraw-key"   // given again later
	Burst             Kind = "burst"          // of requests
	CancelRequests    Kind = "cancel-wave"    // of callers that go away
)

const (
	minEntries = 3
	maxEntries = 7
	maxSteps   = 14
)

var kinds = []Kind{
	CrashEntry, LoseEntry, PauseEntry, StopEntry, CutPeers, CutStore, CutList, StoreDown, StoreHung, StoreSlow,
	LoseWrites, ExpireLeases, LoseMessages, LoseReplies, SlowNetwork, CrashWorker, PauseWorker, SlowWorker, FailWorker,
	CorruptAnswers, RemoveWorker, LoseRack, LoseZone, ListDown, Drain, Move, Reboot, Wave, ChangeLimit, ConcurrentChanges,
	WithdrawKey, Burst, CancelRequests,
}

type (
	// Kind is the kind of a step.
	Kind string

	// Step is one operation or fault.
	Step struct {
		Kind              Kind
		Delay             time.Duration // since the step before; 0 for both at once
		Duration          time.Duration // until a fault ends
		Target, Parameter int           // what it meets
	}

	// Plan is what happens in one run.
	Plan struct {
		Entries         int
		LoadSeed        uint64        // seed of the callers
		RequestInterval time.Duration // between two callers
		Steps           []Step
	}
)

// String returns the plan in one line a step.
func (p Plan) String() string {
	var s strings.Builder
	fmt.Fprintf(&s, "%d entries, load %d every %s\n", p.Entries, p.LoadSeed, p.RequestInterval)
	at := time.Duration(0)
	for _, step := range p.Steps {
		at += step.Delay
		fmt.Fprintf(&s, "%8s %s for %s (%d, %d)\n", at, step.Kind, step.Duration, step.Target, step.Parameter)
	}
	return s.String()
}

// Plans generates plans of the given kinds, of all when there are none. Steps
// come together or one after the other, and often the same one again.
func Plans(only ...Kind) *rapid.Generator[Plan] {
	if len(only) == 0 {
		only = kinds
	}
	return rapid.Custom(func(t *rapid.T) Plan {
		p := Plan{
			Entries:         rapid.IntRange(minEntries, maxEntries).Draw(t, "entries"),
			LoadSeed:        rapid.Uint64().Draw(t, "load"),
			RequestInterval: time.Duration(rapid.IntRange(100, 500).Draw(t, "every")) * time.Millisecond,
		}
		for range rapid.IntRange(1, maxSteps).Draw(t, "steps") {
			p.Steps = append(p.Steps, drawStep(t, only, p.Steps))
		}
		return p
	})
}

func drawStep(t *rapid.T, only []Kind, before []Step) Step {
	step := Step{
		Kind:      rapid.SampledFrom(only).Draw(t, "kind"),
		Delay:     time.Duration(rapid.SampledFrom([]int{0, 0, 10, 700, 3000, 9000, 20000}).Draw(t, "after")) * time.Millisecond,
		Duration:  time.Duration(rapid.SampledFrom([]int{200, 1500, 2500, 3500, 5000, 8000, 12000, 20000, 40000}).Draw(t, "for")) * time.Millisecond,
		Target:    rapid.IntRange(0, 20).Draw(t, "a"),
		Parameter: rapid.IntRange(0, 20).Draw(t, "b"),
	}
	if len(before) > 0 && rapid.IntRange(0, 3).Draw(t, "again") == 0 {
		last := before[len(before)-1]
		step.Kind, step.Target = last.Kind, last.Target
	}
	return step
}
