package parser

import "time"

// Scopes of a budget.
const (
	PoolScope Scope = "pool"
	ZoneScope Scope = "zone"
	RackScope Scope = "rack"
)

// Wildcard names all objects of a budget's scope.
const Wildcard = "*"

// What a move that cannot finish in time does.
const (
	UndoMove     MoveTimeoutAction = "undo"
	ContinueMove MoveTimeoutAction = "continue"
)

type (
	// Rules is a checked rule set. Slices are in the order of the file.
	Rules struct {
		Number     uint64 // number of the change that produced the set
		Teams      []Team
		Queues     []Queue
		Pools      []Pool
		Keys       []Key
		Budgets    []Budget
		Objectives []Objective
	}

	// Team shares the fleet with others.
	Team struct {
		Name     string
		Customer string
		Share    int // weight when all is full, at least 1
		Limit    int // most slots running across the fleet, at least 0
		Comment  string
	}

	// Queue takes work for one team and one pool.
	Queue struct {
		Name    string
		Team    string // team the work is counted for
		Open    bool   // takes work without a key
		Service string
		Pool    string
		Bound   int // most requests waiting in one entry
		Comment string
	}

	// Pool groups instances.
	Pool struct {
		Name          string
		Spare         bool              // lends its instances to pools in need
		OnMoveTimeout MoveTimeoutAction // what a move out of the pool does at its time limit
		MoveLimit     time.Duration     // time limit of a move
		Comment       string
	}

	// Key lets its bearer hand in work for a team, or operate the system.
	Key struct {
		ID       string
		Team     string // empty for an operator key
		Operator bool
		Hash     string // "sha256:" and 64 hexadecimal digits
		Comment  string
	}

	// Budget bounds the instances absent at once, planned or not.
	Budget struct {
		Scope     Scope
		Name      string // an object of the scope, or Every
		MaxAbsent int
		Comment   string
	}

	// Objective is a service-level objective of a queue.
	Objective struct {
		Queue   string
		Within  time.Duration // an answer that comes later is bad
		Target  float64       // fraction of good answers, below 1
		Comment string
	}

	// Scope is the kind of failure domain that a budget bounds.
	Scope string

	// MoveTimeoutAction is what a move does that cannot finish in time.
	MoveTimeoutAction string
)
