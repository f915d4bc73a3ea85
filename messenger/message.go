// Package messenger implements the gRPC protocol between the entries of the
// system, which are each other's peers and the members of its membership view. It
// contains the message types, a client, and a server that passes requests to a
// Handler.
//
// A task that must run at most once has a name, which is the idempotency key of
// the caller's request. The home of a name is the member that records the use of
// the key and decides which task may use it. An
// entry claims the name at its home before the task starts, and reports to the
// home whether the task has run when it has ended. When the membership view changes, the old homes hand
// their names over to the new ones.
package messenger

import (
	"time"

	"github.com/coltsfootlever/coltsfootlever/classifier"
	"github.com/coltsfootlever/coltsfootlever/scheduler"
)

type (
	// Heartbeat describes the state of its sender. It is both the request and
	// the reply: a peer replies with its own state.
	Heartbeat struct {
		From     string // member ID of the sender
		View     uint64 // number of the sender's membership view
		Rules    uint64 // number of the latest change in the rules of the sender
		HasStore bool   // StoreAge was below the limit when the message was sent
		// StoreAge is the time since a read of the key-value service, by the
		// sender or another member, last showed that View is the latest view. It
		// is measured when the message is sent and valid only if HasStore is true.
		StoreAge time.Duration
		// Membership is the encoded registrar.View of the sender. It is set only
		// in a reply to a peer with an older view.
		Membership []byte
		Pools      []PoolLoad
		Teams      []TeamLoad // set only in replies to the coordinator
		// Partial is set by the receiver of a heartbeat that is a request, because
		// a request contains no Pools and Teams. It is not part of the message.
		Partial bool
		// Coordinator reports that the sender is the coordinator and asks for
		// Teams in the reply.
		Coordinator bool
	}

	// PoolLoad is the capacity and the load of one pool at the sender.
	PoolLoad struct {
		Pool    string
		Slots   int // slots of the workers that the sender is responsible for and that accept tasks
		Running int // slots in use
		Waiting int // tasks that wait at the sender for a slot of the pool
	}

	// TeamLoad is the load of one team in one pool at the sender.
	TeamLoad struct {
		Team    string
		Pool    string
		Running int // slots in use
		Waiting int // slots that the waiting tasks need
		Largest int // slots that the largest waiting task needs
	}

	// ClaimRequest asks the home of a name (idempotency key) to grant the name to
	// a task, so that the task may start.
	ClaimRequest struct {
		View   uint64 // number of the view in which the receiver is the home
		Team   string
		Name   string
		Digest [32]byte // of the caller's request; a different digest under the same name is refused
		Member string   // member that claims the name
		Task   string   // task that the name is claimed for
		// Sequence increases with each claim of Member, so that the home detects
		// a delayed message of an earlier claim.
		Sequence uint64
	}

	// ClaimReply is the answer of the home to a ClaimRequest.
	ClaimReply struct {
		Granted bool
		Holder  string            // member that runs the task to which the name is granted, or has its answer
		Task    string            // task to which the name is granted
		View    uint64            // number of the home's view; it differs from that of the request if one of the two has an older view
		Err     *classifier.Error // reason why the name was not granted
	}

	// SettleRequest reports to the home of a name (idempotency key) whether the
	// task of the name has run. After NotRun another task can claim the name.
	SettleRequest struct {
		Team    string
		Name    string
		Task    string
		Verdict classifier.Verdict
		// Sequence is the sequence number of the claim that is settled.
		Sequence uint64
	}

	// HandOverRequest passes names (idempotency keys) from their old home to the
	// new one after a change of the membership view.
	HandOverRequest struct {
		From  string
		View  uint64
		Names []HeldName
		Last  bool // no further HandOverRequest of this sender follows for the view
		// LatestUnknownGrant is the latest date of a name that a member which has
		// left may have granted without the knowledge of the sender. It is zero
		// if there is no such name.
		LatestUnknownGrant time.Time
		// HasUndatedDeparture reports that a member has left the view and the
		// sender does not know yet when its process stopped, so that
		// LatestUnknownGrant is not final.
		HasUndatedDeparture bool
	}

	// HeldName is a name (idempotency key) that its home has granted to a task.
	HeldName struct {
		Hash    [16]byte // hash of team and name
		Digest  [32]byte // of the caller's request
		Member  string
		Task    string
		Claimed time.Time
		Settled bool   // the task has ended with the verdict Ran or MayHaveRun
		View    uint64 // number of the view in which the name was granted
		// Sequence is the sequence number of the claim.
		Sequence uint64
	}

	// AttachRequest asks for the answer of a task that the receiver runs or has
	// run. The reply comes when the task has ended.
	AttachRequest struct {
		Team string
		Name string
		Task string
	}

	// ForwardRequest passes a task to a peer that has a free slot and a grant of
	// capacity for the task's team. The peer never forwards the task again.
	ForwardRequest struct {
		From string
		Task scheduler.Task
	}

	// Answer is the complete answer to one task.
	Answer struct {
		Task    string // ID of the task, so that the receiver detects an answer to another task
		Attempt int
		Output  []byte
		Digest  [32]byte // SHA-256 of Output
		Worker  string
		Err     *classifier.Error // nil if the task ran to its end
	}

	// CancelRequest cancels a task that was forwarded to the receiver.
	CancelRequest struct {
		Task string
	}

	// ChangesRequest asks for the rule changes with a number above After.
	ChangesRequest struct {
		After uint64
	}

	// ChangesReply contains the requested rule changes in order, encoded. If some
	// of them are no longer available, or they are too large for one reply, it
	// contains an encoded snapshot of the rules instead. Changes that come
	// together with a snapshot are those after it.
	ChangesReply struct {
		Snapshot []byte
		Changes  [][]byte
	}

	// ReportRequest asks the receiver for its part of a report that an operator
	// has requested.
	ReportRequest struct {
		Kind    string // kind of the report
		Subject string // object that the report is about; empty for all objects
	}

	// ReportReply contains the part of the report as JSON.
	ReportReply struct {
		Payload []byte
	}
)
