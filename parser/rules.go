package parser

import "time"

// Values of Scope.
const (
	PoolScope Scope = "pool"
	ZoneScope Scope = "zone"
	RackScope Scope = "rack"
)

// Wildcard as the name of a budget makes the budget apply to each pool, zone or
// rack of its scope that has no budget of its own.
const Wildcard = "*"

// Values of MoveTimeoutAction.
const (
	UndoMove     MoveTimeoutAction = "undo"
	ContinueMove MoveTimeoutAction = "continue"
)

type (
	// Rules is a validated rule set. Each slice is in the order of the file.
	Rules struct {
		Number     uint64 // number of the change that produced this rule set
		Teams      []Team
		Queues     []Queue
		Pools      []Pool
		Keys       []Key
		Budgets    []Budget
		Objectives []Objective
	}

	// Team is a group of users that shares the fleet with other teams.
	Team struct {
		Name     string
		Customer string
		Share    int // weight in dividing the slots when demand exceeds them, at least 1
		Limit    int // maximum number of slots in use across the fleet, at least 0
		Comment  string
	}

	// Queue accepts jobs of one team that run in one pool.
	Queue struct {
		Name    string
		Team    string // team whose share and limit the jobs count against
		Open    bool   // accepts jobs without a key
		Service string
		Pool    string
		Bound   int // maximum number of requests waiting in one entry
		Comment string
	}

	// Pool is a group of instances that run the same kind of work.
	Pool struct {
		Name          string
		Spare         bool              // lends its instances to pools that are short of capacity
		OnMoveTimeout MoveTimeoutAction // what happens to a move out of the pool at MoveLimit
		MoveLimit     time.Duration     // time limit of a move out of the pool
		Comment       string
	}

	// Key authorizes its bearer to submit jobs for a team, or to operate the
	// system.
	Key struct {
		ID       string
		Team     string // empty for an operator key
		Operator bool
		Hash     string // "sha256:" and 64 hexadecimal digits
		Comment  string
	}

	// Budget limits how many instances may be absent at once, planned or not.
	Budget struct {
		Scope     Scope
		Name      string // a pool, zone or rack, or Wildcard
		MaxAbsent int
		Comment   string
	}

	// Objective is a service-level objective of a queue.
	Objective struct {
		Queue   string
		Within  time.Duration // a response that takes longer counts as bad
		Target  float64       // required fraction of good responses, below 1
		Comment string
	}

	// Scope is the kind of failure domain that a budget applies to.
	Scope string

	// MoveTimeoutAction says what happens to a move that has not finished at
	// its time limit: undo or continue.
	MoveTimeoutAction string
)
