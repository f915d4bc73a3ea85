package router

import (
	"context"
	"strings"

	"github.com/coltsfootlever/coltsfootlever/classifier"
	"github.com/coltsfootlever/coltsfootlever/messenger"
	"github.com/coltsfootlever/coltsfootlever/placer"
)

// HandleForward runs a task that a peer forwarded. It is never forwarded again.
func (r *Router) HandleForward(ctx context.Context, request messenger.ForwardRequest) (messenger.Answer, error) {
	r.wait.Add(1)
	defer r.wait.Done()
	task := request.Task
	task.Forwarded = true
	return r.placer.Submit(ctx, task, placer.Patience{})
}

// HandleAttach waits for the answer of a task that this member accepted.
func (r *Router) HandleAttach(ctx context.Context, request messenger.AttachRequest) (messenger.Answer, error) {
	job, ok := r.jobs.find(request.Task)
	if !ok {
		return messenger.Answer{}, classifier.Doubt(classifier.Repeated, "the name %q was used before and its answer is no longer kept", request.Name)
	}
	select {
	case <-job.Done():
	case <-ctx.Done():
		return messenger.Answer{}, classifier.Doubt(classifier.DeadlineOver, "the task of the name %q is still under way", request.Name)
	}
	answer, err := job.Result()
	if err != nil {
		return messenger.Answer{}, err
	}
	return answer, nil
}

// HandleCancel withdraws a task that a peer forwarded here, or one that this
// member accepted.
func (r *Router) HandleCancel(ctx context.Context, request messenger.CancelRequest) error {
	return r.Cancel(ctx, request.Task)
}

// Cancel withdraws the task wherever it is. A waiting task ends with NotRun, a
// running one is stopped. A task that nobody knows is NotFound.
func (r *Router) Cancel(ctx context.Context, task string) error {
	if r.placer.Cancel(ctx, task) {
		return nil
	}
	if member, ok := r.jobs.route(task); ok {
		return r.cancelAt(ctx, task, member)
	}
	job, ok := r.jobs.find(task)
	if ok {
		return ended(job)
	}
	member := acceptedBy(task)
	if member == "" || member == r.members.Self().ID {
		return classifier.Refuse(classifier.NotFound, "no job %q is known here", task)
	}
	return r.cancelAt(ctx, task, member)
}

// ended refuses to cancel a job that is over or between two places.
func ended(job *Job) error {
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
	return r.peers.Cancel(ctx, peer.Address, messenger.CancelRequest{Task: task})
}

// acceptedBy returns the member named in a task's identity.
func acceptedBy(task string) string {
	_, member, _ := strings.Cut(task, "@")
	return member
}

// Find returns a job that this member accepted and still remembers.
func (r *Router) Find(task string) (*Job, bool) {
	return r.jobs.find(task)
}
