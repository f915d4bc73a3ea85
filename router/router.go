// Package router chooses the cluster member that runs a task. It claims the
// names of non-idempotent tasks, chooses between this member and its peers,
// forwards a task at most once, and keeps answers for repeated requests. The name
// of a task is the idempotency key that its caller chose.
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

// Default durations of the router.
const (
	// DefaultPeerCheckInterval is how often the router checks whether a peer
	// would start a task sooner, while the task waits for a local start.
	DefaultPeerCheckInterval = 400 * time.Millisecond
	// homeRetryAfter is the delay after which a caller is told to retry when the
	// home of the request's name (idempotency key), which is the member that
	// records the use of the name, cannot be reached.
	homeRetryAfter = 5 * time.Second
	// The delay after a peer refused a forwarded task or its answer was lost
	// doubles each time, between these limits.
	minRetryDelay = 100 * time.Millisecond
	maxRetryDelay = 2 * time.Second
)

type (
	// Placer runs tasks on the workers of this member. *placer.Placer implements
	// it.
	Placer interface {
		Submit(ctx context.Context, task scheduler.Task, policy placer.WithdrawPolicy) (messenger.Answer, error)
		Cancel(ctx context.Context, task string) bool
	}

	// Peers sends messages to other members by their network address.
	Peers interface {
		ForwardTask(ctx context.Context, address string, r messenger.ForwardRequest) (messenger.Answer, error)
		WaitForAnswer(ctx context.Context, address string, r messenger.AttachRequest) (messenger.Answer, error)
		CancelTask(ctx context.Context, address string, r messenger.CancelRequest) error
	}

	// Claimer grants the right to start the task with a given name (idempotency
	// key), so that the task is started at most once.
	Claimer interface {
		// Claim requests the name for the task. digest identifies the request, so
		// that the same name cannot be used for a different one.
		Claim(ctx context.Context, team, name string, digest [32]byte, task string) (claimer.Decision, error)
		// ReportTaskOutcome reports the verdict on the task that holds the name
		// to the member that records the use of the name.
		ReportTaskOutcome(ctx context.Context, team, name, task string, v classifier.Verdict) error
	}

	// Members returns the cluster membership.
	Members interface {
		View() registrar.View
		Self() registrar.Member
		// CheckFreshness returns an error while this member may have missed a
		// change of the membership or the rules.
		CheckFreshness() error
	}

	// Chooser chooses the member that runs a task.
	Chooser interface {
		// Choose returns the ID of the best member, which may be this member.
		// exclude holds the members that recently refused the task. ok is false
		// if no member is suitable.
		Choose(task scheduler.Task, exclude map[string]bool) (member string, ok bool)
		// HasWorker reports whether this member has a worker that takes work of
		// the task's pool.
		HasWorker(task scheduler.Task) bool
		// PeerCanStart reports whether a peer could start the task at once.
		PeerCanStart(task scheduler.Task, exclude map[string]bool) bool
		// RecordPlacement records that the task is placed on the member. The
		// caller calls done when the task has been answered.
		RecordPlacement(task scheduler.Task, member string) (done func())
	}

	// ChoiceExplainer is a Chooser that can explain its choice.
	ChoiceExplainer interface {
		// ExplainChoice describes the members that were compared.
		ExplainChoice(task scheduler.Task, exclude map[string]bool) []string
	}

	// Router routes tasks to members. Create one with New.
	Router struct {
		log               *slog.Logger
		members           Members
		placer            Placer
		peers             Peers
		claimer           Claimer
		chooser           Chooser
		journal           func(recorder.Decision)
		isOpen            func(queue string) bool
		retries           RetryBudgets
		largestWorker     func(pool string) int
		peerCheckInterval time.Duration
		jobs              *jobTable
		inFlight          inFlightTasks
	}

	// RetryBudgets limits the number of retries in each queue.
	RetryBudgets interface {
		// TakeRetry uses up one retry of the queue and reports whether one was
		// left.
		TakeRetry(queue string) bool
	}

	// Option configures a Router.
	Option func(*Router)
)

// WithLog sets the logger.
func WithLog(log *slog.Logger) Option {
	return func(r *Router) { r.log = log }
}

// WithJournal sets the function that records decisions, so that they can be
// explained later.
func WithJournal(journal func(recorder.Decision)) Option {
	return func(r *Router) { r.journal = journal }
}

// WithOpenQueues sets the function that reports whether a queue accepts tasks
// without a key.
func WithOpenQueues(open func(queue string) bool) Option {
	return func(r *Router) { r.isOpen = open }
}

// WithLargestWorker sets the function that returns the number of slots of the
// largest worker in a pool, or 0 if unknown. A task that needs more slots is
// refused at once.
func WithLargestWorker(largest func(pool string) int) Option {
	return func(r *Router) { r.largestWorker = largest }
}

// WithRetries sets the retry budgets of the queues.
func WithRetries(retries RetryBudgets) Option {
	return func(r *Router) { r.retries = retries }
}

// WithPeerCheckInterval sets how often the router checks whether a peer would
// start a task sooner, while the task waits for a local start.
func WithPeerCheckInterval(interval time.Duration) Option {
	return func(r *Router) { r.peerCheckInterval = interval }
}

// WithJobLimits sets the largest number of jobs and the largest total size of
// answers that are kept for repeated requests.
func WithJobLimits(jobs, bytes int) Option {
	return func(r *Router) { r.jobs = newJobTable(jobs, bytes) }
}

// WithMaxTaskBytes sets how much memory the tasks that have not ended may take in
// this member, in bytes. A task beyond it is refused with NotRun. The default is
// no limit.
func WithMaxTaskBytes(n int64) Option {
	return func(r *Router) { r.inFlight.maxBytes = n }
}

// New returns a router that places tasks on the local placer or on peers.
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
		retries:           scheduler.NewRetryBudgets(scheduler.DefaultRetryRatio, scheduler.DefaultRetryFloor),
		peerCheckInterval: DefaultPeerCheckInterval,
		jobs:              newJobTable(maxJobs, maxAnswerBytes),
	}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// NewTaskID returns an ID for a task accepted by this member. It contains the
// member's ID, so that every member can find the task.
func (r *Router) NewTaskID() string {
	return uuid.Must(uuid.NewV7()).String() + "@" + r.members.Self().ID
}

// Accept starts a job for a caller's task. When ctx ends, a task that has not
// started and has no name (idempotency key) is withdrawn; every other job
// continues. Accept refuses the task with NotRun while the job table is full, the
// tasks under way take all memory for them or the router is closed.
func (r *Router) Accept(ctx context.Context, task scheduler.Task) (*Job, error) {
	if err := scheduler.CheckFits(task, r.largestWorker(task.Pool)); err != nil {
		return nil, err
	}
	if err := r.inFlight.beginTask(task); err != nil {
		return nil, err
	}
	job := newJob(task)
	if err := r.jobs.add(job); err != nil {
		r.inFlight.end(task)
		return nil, err
	}
	if task.Name != "" {
		ctx = context.WithoutCancel(ctx)
	}
	go func() {
		defer r.inFlight.end(task)
		answer, err := r.execute(ctx, task)
		r.recordEnd(task, answer, classifier.As(err))
		r.jobs.recordEnd(job, answer, classifier.As(err))
	}()
	return job, nil
}

// Close makes the router refuse new tasks from callers and peers. Running and
// waiting tasks continue.
func (r *Router) Close() {
	r.inFlight.close()
}

// Wait blocks until every accepted or forwarded task has ended, or until ctx
// ends.
func (r *Router) Wait(ctx context.Context) error {
	return r.inFlight.wait(ctx)
}

func leavingError() *classifier.Error {
	return classifier.Refuse(classifier.Leaving, "this entry is shutting down: use another").WithRetryAfter(time.Second)
}

// execute runs the task on some member. It first claims the name (idempotency
// key) of a non-idempotent task, so that the task runs only once.
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
		return r.waitForNamedTask(ctx, task, decision)
	}
	answer, err := r.place(ctx, task)
	verdict := classifier.VerdictOf(err)
	if err := r.claimer.ReportTaskOutcome(context.WithoutCancel(ctx), task.Team, task.Name, task.ID, verdict); err != nil {
		r.log.Warn("name (idempotency key) not settled: the member that records it did not confirm the outcome of the task; the name stays held", "task", task.ID, "verdict", verdict.String(), "error", err)
	}
	return answer, err
}

// claim requests the name (idempotency key) of the task from the member that
// records its use. It gives up at the task's deadline.
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

// requestDigest returns a hash of the caller's request, which shows whether a
// name is reused for a different request.
func requestDigest(task scheduler.Task) [32]byte {
	h := sha256.New()
	h.Write([]byte(task.Queue))
	h.Write([]byte{0})
	h.Write(task.Body)
	return [32]byte(h.Sum(nil))
}

// waitForNamedTask waits for the answer of the earlier task that already holds
// the name (idempotency key) of this task.
func (r *Router) waitForNamedTask(ctx context.Context, task scheduler.Task, d claimer.Decision) (messenger.Answer, error) {
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
	answer, err := r.peers.WaitForAnswer(ctx, holder.Address, request)
	if err != nil {
		return messenger.Answer{}, namedTaskError(task.Name, err)
	}
	return answer, verifyAnswer(d.Task, answer)
}

// namedTaskError returns the error for a failed waitForNamedTask. A verdict
// from the holder of the name is kept. If the holder did not answer, the
// verdict is MayHaveRun, because the holder may have run the task of that name.
func namedTaskError(name string, err error) error {
	e := classifier.As(err)
	if e.Code == classifier.PeerLost {
		return classifier.Uncertain(classifier.Repeated, "the name %q is in use and its holder did not answer", name).WithRetryAfter(time.Second)
	}
	return e
}

// place tries members until one runs the task or the deadline passes. If the
// outcome of an attempt is unknown, an idempotent task is tried again, but from
// then on a refusal is reported as MayHaveRun instead of NotRun.
func (r *Router) place(ctx context.Context, task scheduler.Task) (messenger.Answer, error) {
	refused := make(map[string]bool)
	var uncertain *classifier.Error
	wait := minRetryDelay
	for {
		if err := r.checkMayStart(ctx, task); err != nil {
			return messenger.Answer{}, addUncertainAttempt(uncertain, err)
		}
		member, ok := r.chooser.Choose(task, refused)
		if !ok {
			member = r.members.Self().ID
		}
		answer, err := r.placeAt(ctx, task, member, refused)
		if mayRetryAfterLostAnswer(task, err) {
			uncertain = classifier.As(err)
			if !r.retries.TakeRetry(task.Queue) {
				return answer, retryBudgetError(task, uncertain)
			}
		} else if !mayTryOtherMember(err) {
			return answer, addUncertainAttempt(uncertain, err)
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

func retryBudgetError(task scheduler.Task, uncertain *classifier.Error) error {
	e := classifier.Uncertain(classifier.RetriesSpent, "%s; the retry budget of queue %q is spent", uncertain.Message, task.Queue)
	return e.WithRetryAfter(time.Second)
}

// addUncertainAttempt changes a NotRun error to MayHaveRun if an earlier attempt
// may have run. That attempt's error is uncertain, or nil if there was none.
func addUncertainAttempt(uncertain *classifier.Error, err error) error {
	if uncertain == nil || classifier.VerdictOf(err) != classifier.NotRun {
		return err
	}
	return classifier.Uncertain(uncertain.Code, "%s; then: %s", uncertain.Message, err)
}

// mayRetryAfterLostAnswer reports whether the error is a lost answer from a
// peer to an idempotent task, or the withdrawal of one that a member cannot start
// again. Such a task may be tried again.
func mayRetryAfterLostAnswer(task scheduler.Task, err error) bool {
	if err == nil || !task.Idempotent {
		return false
	}
	e := classifier.As(err)
	return (e.Code == classifier.PeerLost || e.Code == classifier.NoCapacity) && e.Verdict == classifier.MayHaveRun
}

// checkMayStart returns an error if the task was cancelled, its deadline has
// passed, or this member may have missed a change of the rules.
func (r *Router) checkMayStart(ctx context.Context, task scheduler.Task) error {
	if ctx.Err() != nil {
		return classifier.Refuse(classifier.Cancelled, "the caller went away before the start")
	}
	if !time.Now().Before(task.Deadline) {
		return classifier.Refuse(classifier.DeadlineOver, "no slot became free before the deadline")
	}
	return r.members.CheckFreshness()
}

// mayTryOtherMember reports whether a task may be tried on another member: it has
// not run, and the cause of the refusal is the member and not the task.
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

// placeAt runs the task on the given member and waits for its answer.
func (r *Router) placeAt(ctx context.Context, task scheduler.Task, member string, refused map[string]bool) (messenger.Answer, error) {
	defer r.chooser.RecordPlacement(task, member)()
	if member == r.members.Self().ID {
		shouldWithdraw := func() bool { return r.chooser.PeerCanStart(task, refused) }
		return r.placer.Submit(ctx, task, placer.WithdrawPolicy{
			CheckInterval:  r.peerCheckInterval,
			ShouldWithdraw: shouldWithdraw,
			CannotRun:      func() bool { return !r.chooser.HasWorker(task) && shouldWithdraw() },
		})
	}
	peer, ok := r.members.View().Member(member)
	if !ok {
		return messenger.Answer{}, classifier.Refuse(classifier.PeerLost, "member %q has left", member)
	}
	r.recordForward(task, peer.ID, refused)
	return r.forward(ctx, task, peer)
}

// forward sends the task to a peer, which must not forward it again. The call
// ends one second after the task's deadline, so that the peer's own deadline error
// can arrive.
func (r *Router) forward(ctx context.Context, task scheduler.Task, peer registrar.Member) (messenger.Answer, error) {
	task.Forwarded = true
	ctx, stop := context.WithDeadline(ctx, task.Deadline.Add(time.Second))
	defer stop()
	release := r.jobs.addRoute(task.ID, peer.ID)
	defer release()
	answer, err := r.peers.ForwardTask(ctx, peer.Address, messenger.ForwardRequest{From: r.members.Self().ID, Task: task})
	if err != nil {
		return messenger.Answer{}, err
	}
	return answer, verifyAnswer(task.ID, answer)
}

// verifyAnswer checks that an answer belongs to the task and is complete.
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
