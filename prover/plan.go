package prover

import (
	"fmt"
	"strings"
	"time"

	"pgregory.net/rapid"
)

// Kinds of steps. A fault ends after the duration of its step.
const (
	CrashEntry        Kind = "crash-entry"    // an entry is killed; a new process starts later
	LoseEntry         Kind = "lose-entry"     // an entry is killed and its instance removed from the list
	PauseEntry        Kind = "pause-entry"    // an entry neither sends nor receives
	StopEntry         Kind = "stop-entry"     // an entry makes a planned stop; a new process starts later
	CutPeers          Kind = "cut-peers"      // two entries can't reach each other
	CutStore          Kind = "cut-store"      // one entry can't reach the store
	CutList           Kind = "cut-list"       // one entry can't read the instance list or order reboots through it
	StoreDown         Kind = "store-down"     // the store refuses all calls
	StoreHung         Kind = "store-hung"     // the store answers no call
	StoreSlow         Kind = "store-slow"     // the store answers late
	LoseWrites        Kind = "lose-writes"    // answers to one entry's store writes are lost
	ExpireLeases      Kind = "lapse-leases"   // all leases in the store expire
	LoseRequests      Kind = "lose-messages"  // requests between entries are lost
	LoseReplies       Kind = "lose-replies"   // replies between entries are lost
	SlowNetwork       Kind = "slow-network"   // messages between entries are delayed
	CrashWorker       Kind = "crash-worker"   // a worker loses power and its tasks
	PauseWorker       Kind = "pause-worker"   // a worker answers no call
	SlowWorker        Kind = "slow-worker"    // a worker answers late
	FailWorker        Kind = "fail-worker"    // every task on a worker fails
	CorruptAnswers    Kind = "spoil-answers"  // a worker's answers are lost, truncated or exchanged
	RemoveWorker      Kind = "leave-worker"   // a worker announces that it is leaving and loses power
	LoseRack          Kind = "lose-rack"      // the workers of a rack lose power
	LoseZone          Kind = "lose-zone"      // the workers of an availability zone lose power
	ListDown          Kind = "list-down"      // the instance list is unavailable
	Drain             Kind = "drain"          // an operator drains a worker and resumes it later
	Move              Kind = "move"           // an operator moves a worker to another pool
	Reboot            Kind = "reboot"         // an operator reboots a worker
	RebootAll         Kind = "wave"           // an operator reboots all workers at once
	ChangeLimit       Kind = "change-limit"   // an operator changes the limit of one team
	ConcurrentChanges Kind = "race-operators" // two operators change the same version of the rules
	WithdrawKey       Kind = "withdraw-key"   // an operator withdraws an API key and adds it again later
	Evacuate          Kind = "evacuate"       // an operator evacuates a zone and restores it later
	Burst             Kind = "burst"          // callers submit many requests at once
	CancelRequests    Kind = "cancel-wave"    // many callers cancel their requests at about the same time
)

const (
	minEntries = 3
	maxEntries = 7
	maxSteps   = 14
)

var kinds = []Kind{
	CrashEntry, LoseEntry, PauseEntry, StopEntry, CutPeers, CutStore, CutList, StoreDown, StoreHung, StoreSlow,
	LoseWrites, ExpireLeases, LoseRequests, LoseReplies, SlowNetwork, CrashWorker, PauseWorker, SlowWorker, FailWorker,
	CorruptAnswers, RemoveWorker, LoseRack, LoseZone, ListDown, Drain, Move, Reboot, RebootAll, ChangeLimit, ConcurrentChanges,
	WithdrawKey, Burst, CancelRequests, Evacuate,
}

type (
	// Kind is the kind of a step.
	Kind string

	// Step is one operation or fault in a plan.
	Step struct {
		Kind              Kind
		Delay             time.Duration // since the start of the previous step; 0 for both at once
		Duration          time.Duration // of the fault or of the time until the operation is undone
		Target, Parameter int           // the affected entry or worker, and a second value whose meaning depends on Kind
	}

	// Plan describes one run: its size, its load and its steps.
	Plan struct {
		Entries         int
		LoadSeed        uint64        // seed of the random requests
		RequestInterval time.Duration // mean time between two callers
		Steps           []Step
	}
)

// String returns the plan as text, with one line for each step.
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

// Plans generates random plans with steps of the given kinds, or of all kinds if
// none is given. Steps start at once or one after the other, and a step often
// repeats the kind and target of the one before.
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
