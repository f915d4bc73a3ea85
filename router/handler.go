package router

import (
	"context"
	"strings"

	"github.com/coltsfootlever/coltsfootlever/classifier"
	"github.com/coltsfootlever/coltsfootlever/messenger"
	"github.com/coltsfootlever/coltsfootlever/placer"
)

// HandleForward runs a task that a peer forwarded to this member. The task is not
// forwarded again. If this member loses its last worker in the pool, for example
// because the zone is evacuated, the task goes back to the peer. So does a task
// for which this member has no memory.
func (r *Router) HandleForward(ctx context.Context, request messenger.ForwardRequest) (messenger.Answer, error) {
	task := request.Task
	task.Forwarded = true
	if err := r.inFlight.beginTask(task); err != nil {
		if err.Code == classifier.QueueFull {
			err = classifier.Refuse(classifier.NoCapacity, "member %q has no memory for the task", r.members.Self().ID)
		}
		return messenger.Answer{}, err
	}
	defer r.inFlight.end(task)
	return r.placer.Submit(ctx, task, placer.WithdrawPolicy{
		CheckInterval: r.peerCheckInterval,
		CannotRun:     func() bool { return !r.chooser.HasWorker(task) },
	})
}

// HandleAttach waits for the answer of a task that this member accepted. If the
// request has no name (idempotency key), it asks for the current state of a job
// instead: it is answered at once, and only if the job belongs to the
// requesting team or its queue is open.
func (r *Router) HandleAttach(ctx context.Context, request messenger.AttachRequest) (messenger.Answer, error) {
	job, ok := r.jobs.find(request.Task)
	if !ok {
		return messenger.Answer{}, classifier.Uncertain(classifier.Repeated, "task %q is no longer known and may have run", request.Task)
	}
	if request.Name == "" {
		return r.jobResultForTeam(job, request.Team)
	}
	select {
	case <-job.Done():
	case <-ctx.Done():
		return messenger.Answer{}, classifier.Uncertain(classifier.DeadlineOver, "the task of the name %q is still under way", request.Name)
	}
	return endedJobResult(job)
}

// endedJobResult returns the answer or the error of an ended job.
func endedJobResult(job *Job) (messenger.Answer, error) {
	answer, err := job.Result()
	if err != nil {
		return messenger.Answer{}, err
	}
	return answer, nil
}

// jobResultForTeam returns the result of a job if the team may read it. The
// error has the code UnderWay if the job has not ended yet.
func (r *Router) jobResultForTeam(job *Job, team string) (messenger.Answer, error) {
	if job.Task.Team != team && !r.isOpen(job.Task.Queue) {
		return messenger.Answer{}, classifier.Refuse(classifier.Forbidden, "job %q belongs to another team: send its team's key", job.Task.ID)
	}
	select {
	case <-job.Done():
		return endedJobResult(job)
	default:
		return messenger.Answer{}, classifier.Uncertain(classifier.UnderWay, "job %q is under way", job.Task.ID)
	}
}

// JobResult returns the result of a job that this member or another one accepted.
// The error has the code UnderWay if the job has not ended yet, and Forbidden if
// the job belongs to another team.
func (r *Router) JobResult(ctx context.Context, team, task string) (messenger.Answer, error) {
	request := messenger.AttachRequest{Team: team, Task: task}
	member := acceptingMember(task)
	if member == r.members.Self().ID {
		return r.HandleAttach(ctx, request)
	}
	peer, ok := r.members.View().Member(member)
	if !ok {
		return messenger.Answer{}, classifier.Uncertain(classifier.NotFound, "no entry that accepted job %q is registered", task)
	}
	return r.peers.WaitForAnswer(ctx, peer.Address, request)
}

// HandleCancel cancels a task at a peer's request. The peer forwarded the task to
// this member, or this member accepted it.
func (r *Router) HandleCancel(ctx context.Context, request messenger.CancelRequest) error {
	return r.Cancel(ctx, request.Task)
}

// Cancel withdraws the task on whichever member it is. A waiting task ends with
// NotRun, and a running task is stopped. The error has the code NotFound if the
// task is unknown.
func (r *Router) Cancel(ctx context.Context, task string) error {
	if r.placer.Cancel(ctx, task) {
		return nil
	}
	if member, ok := r.jobs.route(task); ok {
		return r.cancelAt(ctx, task, member)
	}
	job, ok := r.jobs.find(task)
	if ok {
		return cancelConflict(job)
	}
	member := acceptingMember(task)
	if member == "" || member == r.members.Self().ID {
		return classifier.Refuse(classifier.NotFound, "no job %q is known here", task)
	}
	return r.cancelAt(ctx, task, member)
}

// cancelConflict returns the error for a job that cannot be cancelled now, because
// it has ended or is just being placed on a member.
func cancelConflict(job *Job) error {
	select {
	case <-job.Done():
		return classifier.Refuse(classifier.Conflict, "job %q has already ended", job.Task.ID)
	default:
		return classifier.Refuse(classifier.Conflict, "job %q is being placed: cancel again in a moment", job.Task.ID)
	}
}

func (r *Router) cancelAt(ctx context.Context, task, member string) error {
	peer, ok := r.members.View().Member(member)
	if !ok {
		return classifier.Refuse(classifier.NotFound, "the entry %q that accepted job %q is gone", member, task)
	}
	return r.peers.CancelTask(ctx, peer.Address, messenger.CancelRequest{Task: task})
}

// acceptingMember returns the ID of the member that accepted the task, which is
// part of the task's ID.
func acceptingMember(task string) string {
	_, member, _ := strings.Cut(task, "@")
	return member
}
