package messenger

import (
	"math"
	"time"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/classifier"
	"github.com/coltsfootlever/coltsfootlever/messenger/peerpb"
	"github.com/coltsfootlever/coltsfootlever/scheduler"
)

// ErrMalformed reports a message of a peer with a missing or invalid field.
const ErrMalformed = errors.ConstError("malformed message")

// decodeTime converts Unix nanoseconds to a time. 0 is the zero time.
func decodeTime(ns uint64) time.Time {
	if ns == 0 {
		return time.Time{}
	}
	return time.Unix(0, int64(ns))
}

// decodeCount converts a number that must be from 0 to math.MaxInt32.
func decodeCount(n int64) (int, error) {
	if n < 0 || n > math.MaxInt32 {
		return 0, errors.Annotatef(ErrMalformed, "count %d outside 0 to %d", n, math.MaxInt32)
	}
	return int(n), nil
}

// decodeFixedLength copies src into dst, which must have the same length.
func decodeFixedLength(dst, src []byte) error {
	if len(src) != len(dst) {
		return errors.Annotatef(ErrMalformed, "%d bytes where %d are expected", len(src), len(dst))
	}
	copy(dst, src)
	return nil
}

// decodeVerdict converts a verdict. An unknown value becomes MayHaveRun, the safe
// assumption.
func decodeVerdict(v peerpb.Verdict) classifier.Verdict {
	switch v {
	case peerpb.Verdict_VERDICT_NOT_RUN:
		return classifier.NotRun
	case peerpb.Verdict_VERDICT_RAN:
		return classifier.Ran
	default:
		return classifier.MayHaveRun
	}
}

func decodeError(p *peerpb.Error) *classifier.Error {
	if p == nil {
		return nil
	}
	return &classifier.Error{
		Verdict:    decodeVerdict(p.GetVerdict()),
		Code:       classifier.Code(p.GetCode()),
		Message:    p.GetMessage(),
		RetryAfter: time.Duration(p.GetRetryAfterNs()),
	}
}

func decodeHeartbeat(p *peerpb.Beat) (Heartbeat, error) {
	hb := Heartbeat{
		From:     p.GetFrom(),
		View:     p.GetView(),
		Rules:    p.GetRules(),
		HasStore: p.GetHasStore(),

		StoreAge:   time.Duration(p.GetStoreAgeNs()),
		Membership: p.GetMembership(),

		Coordinator: p.GetCoordinator(),
	}
	if hb.StoreAge < 0 {
		return Heartbeat{}, errors.Annotatef(ErrMalformed, "store age %v below 0", hb.StoreAge)
	}
	for _, l := range p.GetPools() {
		counts, err := decodeCounts(l.GetSlots(), l.GetRunning(), l.GetWaiting())
		if err != nil {
			return Heartbeat{}, errors.Trace(err)
		}
		load := PoolLoad{Pool: l.GetPool(), Slots: counts[0], Running: counts[1], Waiting: counts[2]}
		hb.Pools = append(hb.Pools, load)
	}
	for _, l := range p.GetTeams() {
		counts, err := decodeCounts(l.GetRunning(), l.GetWaiting(), l.GetLargest())
		if err != nil {
			return Heartbeat{}, errors.Trace(err)
		}
		load := TeamLoad{Team: l.GetTeam(), Pool: l.GetPool(), Running: counts[0], Waiting: counts[1], Largest: counts[2]}
		hb.Teams = append(hb.Teams, load)
	}
	return hb, nil
}

// decodeCounts applies decodeCount to each number.
func decodeCounts(raw ...int64) ([]int, error) {
	counts := make([]int, len(raw))
	for i, n := range raw {
		count, err := decodeCount(n)
		if err != nil {
			return nil, errors.Trace(err)
		}
		counts[i] = count
	}
	return counts, nil
}

func decodeClaimRequest(p *peerpb.ClaimRequest) (ClaimRequest, error) {
	r := ClaimRequest{
		View:   p.GetView(),
		Team:   p.GetTeam(),
		Name:   p.GetName(),
		Member: p.GetMember(),
		Task:   p.GetTask(),

		Sequence: p.GetSequence(),
	}
	if r.Name == "" || r.Task == "" || r.Member == "" {
		return ClaimRequest{}, errors.Annotate(ErrMalformed, "claim without name, task or member")
	}
	return r, errors.Trace(decodeFixedLength(r.Digest[:], p.GetDigest()))
}

func decodeClaimReply(p *peerpb.ClaimReply) (ClaimReply, error) {
	return ClaimReply{
		Granted: p.GetGranted(),
		Holder:  p.GetHolder(),
		Task:    p.GetTask(),
		View:    p.GetView(),
		Err:     decodeError(p.GetErr()),
	}, nil
}

func decodeSettleRequest(p *peerpb.SettleRequest) (SettleRequest, error) {
	r := SettleRequest{
		Team:    p.GetTeam(),
		Name:    p.GetName(),
		Task:    p.GetTask(),
		Verdict: decodeVerdict(p.GetVerdict()),

		Sequence: p.GetSequence(),
	}
	if r.Name == "" || r.Task == "" {
		return SettleRequest{}, errors.Annotate(ErrMalformed, "settlement without name or task")
	}
	return r, nil
}

func decodeHandOverRequest(p *peerpb.HandOverRequest) (HandOverRequest, error) {
	r := HandOverRequest{
		From:                p.GetFrom(),
		View:                p.GetView(),
		Last:                p.GetLast(),
		LatestUnknownGrant:  decodeTime(p.GetDoubtNs()),
		HasUndatedDeparture: p.GetOpen(),
	}
	if r.From == "" {
		return HandOverRequest{}, errors.Annotate(ErrMalformed, "hand-over without sender")
	}
	for _, held := range p.GetNames() {
		n := HeldName{
			Member:  held.GetMember(),
			Task:    held.GetTask(),
			Claimed: decodeTime(held.GetClaimedNs()),
			Settled: held.GetSettled(),
			View:    held.GetView(),

			Sequence: held.GetSequence(),
		}
		if err := decodeFixedLength(n.Hash[:], held.GetHash()); err != nil {
			return HandOverRequest{}, errors.Trace(err)
		}
		if err := decodeFixedLength(n.Digest[:], held.GetDigest()); err != nil {
			return HandOverRequest{}, errors.Trace(err)
		}
		r.Names = append(r.Names, n)
	}
	return r, nil
}

func decodeAttachRequest(p *peerpb.AttachRequest) (AttachRequest, error) {
	return AttachRequest{Team: p.GetTeam(), Name: p.GetName(), Task: p.GetTask()}, nil
}

func decodeForwardRequest(p *peerpb.ForwardRequest) (ForwardRequest, error) {
	t := p.GetTask()
	if t.GetId() == "" {
		return ForwardRequest{}, errors.Annotate(ErrMalformed, "forwarded task without identity")
	}
	slots, err := decodeCount(t.GetSlots())
	if err != nil {
		return ForwardRequest{}, errors.Trace(err)
	}
	task := scheduler.Task{
		ID:         t.GetId(),
		Team:       t.GetTeam(),
		Queue:      t.GetQueue(),
		Service:    t.GetService(),
		Pool:       t.GetPool(),
		Class:      scheduler.Class(t.GetClass()),
		Name:       t.GetName(),
		Idempotent: t.GetIdempotent(),
		Body:       t.GetBody(),
		Slots:      slots,
		Accepted:   decodeTime(t.GetAcceptedNs()),
		Deadline:   decodeTime(t.GetDeadlineNs()),
		Forwarded:  t.GetForwarded(),
	}
	return ForwardRequest{From: p.GetFrom(), Task: task}, nil
}

func decodeAnswer(p *peerpb.Answer) (Answer, error) {
	attempt, err := decodeCount(p.GetAttempt())
	if err != nil {
		return Answer{}, errors.Trace(err)
	}
	a := Answer{
		Task:    p.GetTask(),
		Attempt: attempt,
		Output:  p.GetOutput(),
		Worker:  p.GetWorker(),
		Err:     decodeError(p.GetErr()),
	}
	return a, errors.Trace(decodeFixedLength(a.Digest[:], p.GetDigest()))
}

func decodeCancelRequest(p *peerpb.CancelRequest) (CancelRequest, error) {
	return CancelRequest{Task: p.GetTask()}, nil
}

func decodeChangesRequest(p *peerpb.ChangesRequest) (ChangesRequest, error) {
	return ChangesRequest{After: p.GetAfter()}, nil
}

func decodeChangesReply(p *peerpb.ChangesReply) (ChangesReply, error) {
	return ChangesReply{Snapshot: p.GetSnapshot(), Changes: p.GetChanges()}, nil
}

func decodeReportRequest(p *peerpb.ReportRequest) (ReportRequest, error) {
	return ReportRequest{Kind: p.GetKind(), Subject: p.GetSubject()}, nil
}

func decodeReportReply(p *peerpb.ReportReply) (ReportReply, error) {
	return ReportReply{Payload: p.GetPayload()}, nil
}
