// Package router finds the member that runs a task: it claims the names of
// non-idempotent tasks, chooses between this member and its peers, forwards at
// most once and remembers answers for repeats.
package router

import (
	"context"
	"crypto/sha256"
	"log/slog"
	"time"

	"github.com/google/uuid"

	"github.com/coltsfootlever/coltsfootlever/claimer"
	"github.com/coltsfootlever/coltsfootlever/classifier"
	"github.com/coltsfootlever/coltsfootlever/messenger"
	"github.com/coltsfootlever/coltsfootlever/placer"
	"github.com/coltsfootlever/coltsfootlever/recorder"
	"github.com/coltsfootlever/coltsfootlever/registrar"
	"github.com/coltsfootlever/coltsfootlever/scheduler"
)

// Times of the router.
const (
	// DefaultPeerCheckInterval is the wait for a local start after which peers are
	// weighed again.
	DefaultPeerCheckInterval = 400 * time.Millisecond
	// homeRetryAfter is the time after which a lost home of a name is worth asking
	// for again.
	homeRetryAfter = 5 * time.Second
	// Pauses after a peer refused a forwarded task or its answer was lost. Each
	// pause is twice as long as the one before.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 2 * time.Second
)

type (
	// Placer runs tasks on the workers of this member.
	Placer interface {
		Submit(ctx context.Context, task scheduler.Task, patience placer.WithdrawPolicy) (messenger.Answer, error)
		Cancel(ctx context.Context, task string) bool
	}

	// Peers sends messages to other members by address.
	Peers interface {
		Forward(ctx context.Context, address string, r messenger.ForwardRequest) (messenger.Answer, error)
		Attach(ctx context.Context, address string, r messenger.AttachRequest) (messenger.Answer, error)
		Cancel(ctx context.Context, address string, r messenger.CancelRequest) error
	}

	// Claimer grants the right to start the task of a name.
	Claimer interface {
		Claim(ctx context.Context, team, name string, digest [32]byte, task string) (claimer.Decision, error)
		Settle(ctx context.Context, team, name, task string, v classifier.Verdict) error
	}

	// Members knows the membership and whether this member may rely on it.
	Members interface {
		View() registrar.View
		Self() registrar.Member
		CheckFreshness() error
	}

	// Chooser picks the member for a task.
	Chooser interface {
		// Choose returns the identity of the best member, this one included.
		// exclude names members that refused the task a moment ago.
		Choose(task scheduler.Task, exclude map[string]bool) (member string, ok bool)
		// PeerCanStart says whether a peer would start the task at once.
		PeerCanStart(task scheduler.Task, exclude map[string]bool) bool
		// RecordPlacement tells that a task is handed to the member, and returns what to
		// call when it has been answered.
		RecordPlacement(task scheduler.Task, member string) (done func())
	}

	// ChoiceExplainer is a Chooser that says what it chooses by.
	ChoiceExplainer interface {
		ExplainChoice(task scheduler.Task, exclude map[string]bool) []string
	}

	// Router routes tasks. Use New.
	Router struct {
		log               *slog.Logger
		members           Members
		placer            Placer
		peers             Peers
		claimer           Claimer
		chooser           Chooser
		journal           func(recorder.Decision)
		isOpen            func(queue string) bool
		retries           Retries
		largestWorker     func(pool string) int
		peerCheckInterval time.Duration
		jobs              *jobTable
		inFlight          inFlightTasks
	}

	// Retries bounds the retries of each queue.
	Retries interface {
		Take(queue string) bool
	}

	// Option changes a Router under construction.
	Option func(*Router)
)

// WithLog sets the logger.
func WithLog(log *slog.Logger) Option {
	return func(r *Router) { r.log = log }
}

// WithJournal sets the function that takes decisions for explanation.
func WithJournal(journal func(recorder.Decision)) Option {
	return func(r *Router) { r.journal = journal }
}

// WithOpenQueues sets the function that says whether a queue takes work without a
// key.
func WithOpenQueues(open func(queue string) bool) Option {
	return func(r *Router) { r.isOpen = open }
}

// WithLargestWorker sets the function that gives the slots of the largest worker of a
// pool, 0 when unknown. A task that fits none is refused at once.
func WithLargestWorker(largest func(pool string) int) Option {
	return func(r *Router) { r.largestWorker = largest }
}

// WithRetries sets the retry budgets of the queues.
func WithRetries(retries Retries) Option {
	return func(r *Router) { r.retries = retries }
}

// WithPeerCheckInterval sets the wait for a local start after which peers are weighed
// again.
func WithPeerCheckInterval(patience time.Duration) Option {
	return func(r *Router) { r.peerCheckInterval = patience }
}

// WithJobLimits sets the most jobs remembered and the most bytes of answers
// kept for repeats.
func WithJobLimits(jobs, bytes int) Option {
	return func(r *Router) { r.jobs = newJobTable(jobs, bytes) }
}

// New returns a router.
func New(members Members, placer Placer, peers Peers, claims Claimer, chooser Chooser, opts ...Option) *Router {
	r := &Router{
		log:               slog.Default(),
		members:           members,
		placer:            placer,
		peers:             peers,
		claimer:           claims,
		chooser:           chooser,
		journal:           func(recorder.Decision) {},
		isOpen:            func(string) bool { return false },
		largestWorker:     func(string) int { return 0 },
		retries:           scheduler.NewRetries(scheduler.DefaultRetryRatio, scheduler.DefaultRetryFloor),
		peerCheckInterval: DefaultPeerCheckInterval,
		jobs:              newJobTable(maxJobs, maxAnswerBytes),
	}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// NewTaskID returns an identity for a task accepted by this member. It names
// the member, so that every entry can find the task.
func (r *Router) NewTaskID() string {
	return uuid.Must(uuid.NewV7()).String() + "@" + r.members.Self().ID
}

// Accept takes a task from a caller and returns its job. The job goes on when
// ctx ends unless it has not started and has no name. A full table refuses with
// NotRun.
func (r *Router) Accept(ctx context.Context, task scheduler.Task) (*Job, error) {
	if err := scheduler.CheckFits(task, r.largestWorker(task.Pool)); err != nil {
		return nil, err
	}
	if !r.inFlight.begin() {
		return nil, leavingError()
	}
	job := newJob(task)
	if err := r.jobs.add(job); err != nil {
		r.inFlight.end()
		return nil, err
	}
	if task.Name != "" {
		ctx = context.WithoutCancel(ctx)
	}
	go func() {
		defer r.inFlight.end()
		answer, err := r.execute(ctx, task)
		r.recordEnd(task, answer, classifier.As(err))
		r.jobs.recordEnd(job, answer, classifier.As(err))
	}()
	return job, nil
}

// Close takes no more tasks, accepted or forwarded. Those under way go on.
func (r *Router) Close() {
	r.inFlight.close()
}

// Wait returns when no accepted or forwarded task is under way, or when ctx
// ends.
func (r *Router) Wait(ctx context.Context) error {
	return r.inFlight.wait(ctx)
}

func leavingError() error {
	return classifier.Refuse(classifier.Leaving, "this entry is shutting down: use another").WithRetryAfter(time.Second)
}

// execute runs the task somewhere, once if it is not idempotent.
func (r *Router) execute(ctx context.Context, task scheduler.Task) (messenger.Answer, error) {
	if task.Idempotent {
		return r.place(ctx, task)
	}
	decision, err := r.claim(ctx, task)
	if err != nil {
		return messenger.Answer{}, err
	}
	if !decision.Granted {
		r.recordDecision(task, "waits for the answer of task "+decision.Task+" at "+decision.Holder, recorder.Fact{Name: "name", Value: task.Name})
		return r.attach(ctx, task, decision)
	}
	answer, err := r.place(ctx, task)
	verdict := classifier.VerdictOf(err)
	if err := r.claimer.Settle(context.WithoutCancel(ctx), task.Team, task.Name, task.ID, verdict); err != nil {
		r.log.Warn("name not settled: it stays held", "task", task.ID, "verdict", verdict.String(), "error", err)
	}
	return answer, err
}

// claim asks the home of the task's name until the task's deadline.
func (r *Router) claim(ctx context.Context, task scheduler.Task) (claimer.Decision, error) {
	ctx, stop := context.WithDeadline(ctx, task.Deadline)
	defer stop()
	decision, err := r.claimer.Claim(ctx, task.Team, task.Name, requestDigest(task), task.ID)
	e := classifier.As(err)
	if e != nil && e.Code == classifier.HomeAbsent && e.RetryAfter == 0 {
		return decision, e.WithRetryAfter(homeRetryAfter)
	}
	return decision, err
}

// requestDigest identifies what the caller asked for, so that a name used for
// another request is seen.
func requestDigest(task scheduler.Task) [32]byte {
	h := sha256.New()
	h.Write([]byte(task.Queue))
	h.Write([]byte{0})
	h.Write(task.Body)
	return [32]byte(h.Sum(nil))
}

// attach waits for the answer of the task that holds the name.
func (r *Router) attach(ctx context.Context, task scheduler.Task, d claimer.Decision) (messenger.Answer, error) {
	request := messenger.AttachRequest{Team: task.Team, Name: task.Name, Task: d.Task}
	ctx, stop := context.WithDeadline(ctx, task.Deadline)
	defer stop()
	if d.Holder == r.members.Self().ID {
		return r.HandleAttach(ctx, request)
	}
	holder, ok := r.members.View().Member(d.Holder)
	if !ok {
		return messenger.Answer{}, classifier.Uncertain(classifier.Repeated, "the name %q was used by a member that is gone", task.Name)
	}
	answer, err := r.peers.Attach(ctx, holder.Address, request)
	if err != nil {
		return messenger.Answer{}, attachError(task.Name, err)
	}
	return answer, verifyAnswer(d.Task, answer)
}

// attachError keeps a verdict given by the holder and turns every failure to
// reach it into a doubt: the named task is or was with the holder.
func attachError(name string, err error) error {
	e := classifier.As(err)
	if e.Code == classifier.PeerLost {
		return classifier.Uncertain(classifier.Repeated, "the name %q is in use and its holder did not answer", name).WithRetryAfter(time.Second)
	}
	return e
}

// place chooses members until one takes the task or the deadline passes. After
// an attempt of unknown end, an idempotent task goes on, and no later refusal
// claims that it has not run.
func (r *Router) place(ctx context.Context, task scheduler.Task) (messenger.Answer, error) {
	refused := make(map[string]bool)
	var doubt *classifier.Error
	wait := minRetryDelay
	for {
		if err := r.checkMayStart(ctx, task); err != nil {
			return messenger.Answer{}, addEarlierDoubt(doubt, err)
		}
		member, ok := r.chooser.Choose(task, refused)
		if !ok {
			member = r.members.Self().ID
		}
		answer, err := r.placeAt(ctx, task, member, refused)
		if mayRetryLostAnswer(task, err) {
			doubt = classifier.As(err)
			if !r.retries.Take(task.Queue) {
				return answer, retryBudgetError(task, doubt)
			}
		} else if !mayTryOtherMember(err) {
			return answer, addEarlierDoubt(doubt, err)
		}
		if member == r.members.Self().ID && classifier.As(err).Code != classifier.WorkerRefused {
			clear(refused)
			continue
		}
		r.recordDecision(task, "not placed at "+member, recorder.Fact{Name: "reason", Value: err.Error()})
		refused[member] = true
		sleep(ctx, wait)
		wait = min(2*wait, maxRetryDelay)
	}
}

func retryBudgetError(task scheduler.Task, doubt *classifier.Error) error {
	e := classifier.Uncertain(classifier.RetriesSpent, "%s; the retry budget of queue %q is spent", doubt.Message, task.Queue)
	return e.WithRetryAfter(time.Second)
}

// addEarlierDoubt turns a refusal into a doubt when an earlier attempt may have run.
func addEarlierDoubt(doubt *classifier.Error, err error) error {
	if doubt == nil || classifier.VerdictOf(err) != classifier.NotRun {
		return err
	}
	return classifier.Uncertain(doubt.Code, "%s; then: %s", doubt.Message, err)
}

// mayRetryLostAnswer says whether an idempotent task whose answer from a peer was
// lost may be tried again.
func mayRetryLostAnswer(task scheduler.Task, err error) bool {
	if err == nil || !task.Idempotent {
		return false
	}
	e := classifier.As(err)
	return e.Code == classifier.PeerLost && e.Verdict == classifier.MayHaveRun
}

// checkMayStart refuses a task whose time is over or whose member may have missed a
// change of rules.
func (r *Router) checkMayStart(ctx context.Context, task scheduler.Task) error {
	if ctx.Err() != nil {
		return classifier.Refuse(classifier.Cancelled, "the caller went away before the start")
	}
	if !time.Now().Before(task.Deadline) {
		return classifier.Refuse(classifier.DeadlineOver, "no slot became free before the deadline")
	}
	return r.members.CheckFreshness()
}

// mayTryOtherMember says whether a task may be tried at another member: it has not run,
// and the refusal is about the place, not about the task.
func mayTryOtherMember(err error) bool {
	if err == nil || classifier.VerdictOf(err) != classifier.NotRun {
		return false
	}
	switch classifier.As(err).Code {
	case classifier.NoCapacity, classifier.WorkerRefused, classifier.PeerLost, classifier.Leaving, classifier.Isolated, classifier.Unready:
		return true
	}
	return false
}

// placeAt runs the task at one member.
func (r *Router) placeAt(ctx context.Context, task scheduler.Task, member string, refused map[string]bool) (messenger.Answer, error) {
	defer r.chooser.RecordPlacement(task, member)()
	if member == r.members.Self().ID {
		leave := func() bool { return r.chooser.PeerCanStart(task, refused) }
		return r.placer.Submit(ctx, task, placer.WithdrawPolicy{CheckInterval: r.peerCheckInterval, ShouldWithdraw: leave})
	}
	peer, ok := r.members.View().Member(member)
	if !ok {
		return messenger.Answer{}, classifier.Refuse(classifier.PeerLost, "member %q has left", member)
	}
	r.recordForward(task, peer.ID, refused)
	return r.forward(ctx, task, peer)
}

// forward spends the task's one hop.
func (r *Router) forward(ctx context.Context, task scheduler.Task, peer registrar.Member) (messenger.Answer, error) {
	task.Forwarded = true
	ctx, stop := context.WithDeadline(ctx, task.Deadline.Add(time.Second))
	defer stop()
	release := r.jobs.addRoute(task.ID, peer.ID)
	defer release()
	answer, err := r.peers.Forward(ctx, peer.Address, messenger.ForwardRequest{From: r.members.Self().ID, Task: task})
	if err != nil {
		return messenger.Answer{}, err
	}
	return answer, verifyAnswer(task.ID, answer)
}

// verifyAnswer compares an answer with the task it was asked for.
func verifyAnswer(task string, a messenger.Answer) error {
	if a.Err != nil {
		return a.Err
	}
	if a.Task != task {
		return classifier.Uncertain(classifier.Crossed, "the answer belongs to task %q", a.Task)
	}
	if sha256.Sum256(a.Output) != a.Digest {
		return classifier.Uncertain(classifier.Truncated, "the answer does not match its digest")
	}
	return nil
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
