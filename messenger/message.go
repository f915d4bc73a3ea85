// Package messenger carries the messages between entries: typed messages, the
// gRPC client and the gRPC server around a Handler.
package messenger

import (
	"time"

	"github.com/coltsfootlever/coltsfootlever/classifier"
	"github.com/coltsfootlever/coltsfootlever/scheduler"
)

type (
	// Heartbeat tells a peer the sender's state. The reply is the peer's own.
	Heartbeat struct {
		From     string // identity of the sender
		View     uint64 // number of the sender's membership view
		Rules    uint64 // number of the sender's rules
		HasStore bool   // the sender reached the key-value service within its bound
		// StoreAge is the age of the proof that View was the latest membership,
		// at the time of sending. It counts only with HasStore.
		StoreAge time.Duration
		// Membership is the encoded registrar.View, only in a reply to a peer
		// whose view is older.
		Membership []byte
		Pools      []PoolLoad
		Teams      []TeamLoad // only in replies to the coordinator
		// Partial is set by the receiver of a heartbeat that is no reply and so
		// lacks the loads. It does not travel.
		Partial bool
		// Coordinator tells that the sender asks for the loads of teams.
		Coordinator bool
	}

	// PoolLoad is what the sender owns and runs in one pool.
	PoolLoad struct {
		Pool    string
		Slots   int // slots of the workers that the sender owns and that take work
		Running int // slots in use
		Waiting int // tasks waiting at the sender for the pool
	}

	// TeamLoad is what the sender runs for one team.
	TeamLoad struct {
		Team    string
		Pool    string
		Running int // slots in use
		Waiting int // slots of the tasks waiting
		Largest int // slots of the largest task waiting
	}

	// ClaimRequest asks the home of a name for the right to start its task.
	ClaimRequest struct {
		View   uint64 // number of the view under which the receiver is the home
		Team   string
		Name   string
		Digest [32]byte // of the request, so that a reused name is seen
		Member string   // claimant
		Task   string   // task that the name is claimed for
		// Sequence grows with each claim of the claimant, so that a late
		// message of an earlier claim is seen.
		Sequence uint64
	}

	// ClaimReply is the answer of the home.
	ClaimReply struct {
		Granted bool
		Holder  string            // member that runs the task or has its answer
		Task    string            // task that holds the name
		View    uint64            // the home's view number; differs when one of the two is behind
		Err     *classifier.Error // refusal or doubt
	}

	// SettleRequest tells the home how the task of a name ended. NotRun frees
	// the name.
	SettleRequest struct {
		Team    string
		Name    string
		Task    string
		Verdict classifier.Verdict
		// Sequence is that of the claim that is settled.
		Sequence uint64
	}

	// HandOverRequest passes names to their new home after a change of view.
	HandOverRequest struct {
		From  string
		View  uint64
		Names []HeldName
		Last  bool // no further part follows
		// Doubt is the latest date of a name that the sender cannot vouch for:
		// a departed member may have granted it. Zero for none.
		Doubt time.Time
		// Open tells that the sender has adopted a departure whose latest date
		// is not fixed yet.
		Open bool
	}

	// HeldName is one name as its home remembers it.
	HeldName struct {
		Hash    [16]byte // of team and name
		Digest  [32]byte
		Member  string
		Task    string
		Claimed time.Time
		Settled bool   // the task ended with Ran or MayHaveRun
		View    uint64 // number of the view under which the name was granted
		// Sequence is that of the claim.
		Sequence uint64
	}

	// AttachRequest waits for the answer of a task that the receiver runs or
	// has run.
	AttachRequest struct {
		Team string
		Name string
		Task string
	}

	// ForwardRequest hands a task to a peer that has a slot and a grant. The
	// peer never forwards it again.
	ForwardRequest struct {
		From string
		Task scheduler.Task
	}

	// Answer is the whole answer to one task.
	Answer struct {
		Task    string // echoes the task's identity
		Attempt int
		Output  []byte
		Digest  [32]byte // SHA-256 of Output
		Worker  string
		Err     *classifier.Error // nil when the task ran to its end
	}

	// CancelRequest withdraws a task that was forwarded to the receiver.
	CancelRequest struct {
		Task string
	}

	// ChangesRequest asks for the rule changes after a number.
	ChangesRequest struct {
		After uint64
	}

	// ChangesReply carries encoded rule changes in order, or a snapshot
	// followed by changes.
	ChangesReply struct {
		Snapshot []byte
		Changes  [][]byte
	}

	// ReportRequest asks for what the receiver itself knows for an operator's
	// question.
	ReportRequest struct {
		Kind    string // kind of the report
		Subject string // what it is about; empty for all
	}

	// ReportReply carries a report as JSON.
	ReportReply struct {
		Payload []byte
	}
)
