package messenger

import (
	"time"

	"github.com/coltsfootlever/coltsfootlever/classifier"
	"github.com/coltsfootlever/coltsfootlever/messenger/peerpb"
	"github.com/coltsfootlever/coltsfootlever/scheduler"
)

// encodeTime converts a time to Unix nanoseconds. The zero time is 0.
func encodeTime(t time.Time) uint64 {
	if t.IsZero() {
		return 0
	}
	return uint64(t.UnixNano())
}

func encodeVerdict(v classifier.Verdict) peerpb.Verdict {
	switch v {
	case classifier.NotRun:
		return peerpb.Verdict_VERDICT_NOT_RUN
	case classifier.Ran:
		return peerpb.Verdict_VERDICT_RAN
	default:
		return peerpb.Verdict_VERDICT_MAY_HAVE_RUN
	}
}

func encodeError(e *classifier.Error) *peerpb.Error {
	if e == nil {
		return nil
	}
	return &peerpb.Error{
		Verdict:      encodeVerdict(e.Verdict),
		Code:         string(e.Code),
		Message:      e.Message,
		RetryAfterNs: int64(e.RetryAfter),
	}
}

func encodeHeartbeat(hb Heartbeat) *peerpb.Beat {
	p := &peerpb.Beat{
		From:     hb.From,
		View:     hb.View,
		Rules:    hb.Rules,
		HasStore: hb.HasStore,

		StoreAgeNs: int64(hb.StoreAge),
		Membership: hb.Membership,

		Coordinator: hb.Coordinator,
	}
	for _, l := range hb.Pools {
		p.Pools = append(p.Pools, &peerpb.PoolLoad{
			Pool:    l.Pool,
			Slots:   int64(l.Slots),
			Running: int64(l.Running),
			Waiting: int64(l.Waiting),
		})
	}
	for _, l := range hb.Teams {
		p.Teams = append(p.Teams, &peerpb.TeamLoad{
			Team:    l.Team,
			Pool:    l.Pool,
			Running: int64(l.Running),
			Waiting: int64(l.Waiting),
			Largest: int64(l.Largest),
		})
	}
	return p
}

func encodeClaimRequest(r ClaimRequest) *peerpb.ClaimRequest {
	return &peerpb.ClaimRequest{
		View:   r.View,
		Team:   r.Team,
		Name:   r.Name,
		Digest: r.Digest[:],
		Member: r.Member,
		Task:   r.Task,

		Sequence: r.Sequence,
	}
}

func encodeClaimReply(r ClaimReply) *peerpb.ClaimReply {
	return &peerpb.ClaimReply{
		Granted: r.Granted,
		Holder:  r.Holder,
		Task:    r.Task,
		View:    r.View,
		Err:     encodeError(r.Err),
	}
}

func encodeSettleRequest(r SettleRequest) *peerpb.SettleRequest {
	return &peerpb.SettleRequest{
		Team:    r.Team,
		Name:    r.Name,
		Task:    r.Task,
		Verdict: encodeVerdict(r.Verdict),

		Sequence: r.Sequence,
	}
}

func encodeHandOverRequest(r HandOverRequest) *peerpb.HandOverRequest {
	p := &peerpb.HandOverRequest{From: r.From, View: r.View, Last: r.Last, DoubtNs: encodeTime(r.LatestUnknownGrant), Open: r.HasUndatedDeparture}
	for _, n := range r.Names {
		p.Names = append(p.Names, &peerpb.HeldName{
			Hash:      n.Hash[:],
			Digest:    n.Digest[:],
			Member:    n.Member,
			Task:      n.Task,
			ClaimedNs: encodeTime(n.Claimed),
			Settled:   n.Settled,
			View:      n.View,
			Sequence:  n.Sequence,
		})
	}
	return p
}

func encodeAttachRequest(r AttachRequest) *peerpb.AttachRequest {
	return &peerpb.AttachRequest{Team: r.Team, Name: r.Name, Task: r.Task}
}

func encodeTask(t scheduler.Task) *peerpb.Task {
	return &peerpb.Task{
		Id:         t.ID,
		Team:       t.Team,
		Queue:      t.Queue,
		Service:    t.Service,
		Pool:       t.Pool,
		Class:      string(t.Class),
		Name:       t.Name,
		Idempotent: t.Idempotent,
		Body:       t.Body,
		Slots:      int64(t.Slots),
		AcceptedNs: encodeTime(t.Accepted),
		DeadlineNs: encodeTime(t.Deadline),
		Forwarded:  t.Forwarded,
	}
}

func encodeForwardRequest(r ForwardRequest) *peerpb.ForwardRequest {
	return &peerpb.ForwardRequest{From: r.From, Task: encodeTask(r.Task)}
}

func encodeAnswer(a Answer) *peerpb.Answer {
	return &peerpb.Answer{
		Task:    a.Task,
		Attempt: int64(a.Attempt),
		Output:  a.Output,
		Digest:  a.Digest[:],
		Worker:  a.Worker,
		Err:     encodeError(a.Err),
	}
}

func encodeChangesReply(r ChangesReply) *peerpb.ChangesReply {
	return &peerpb.ChangesReply{Snapshot: r.Snapshot, Changes: r.Changes}
}

func encodeReportReply(r ReportReply) *peerpb.ReportReply {
	return &peerpb.ReportReply{Payload: r.Payload}
}
