package acceptor

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/classifier"
	"github.com/coltsfootlever/coltsfootlever/keeper"
	"github.com/coltsfootlever/coltsfootlever/limiter"
	"github.com/coltsfootlever/coltsfootlever/meter"
	"github.com/coltsfootlever/coltsfootlever/modeler"
	"github.com/coltsfootlever/coltsfootlever/orchestrator"
	"github.com/coltsfootlever/coltsfootlever/platform"
	"github.com/coltsfootlever/coltsfootlever/postponer"
	"github.com/coltsfootlever/coltsfootlever/refuser"
)

const (
	cancelAttempts = 3 // a job's record changes at most once while a cancellation is stored

	// maxWithdrawals is how many unknown jobs an entry node withdraws within
	// withdrawalPeriod, since each one takes up a record for some minutes.
	maxWithdrawals   = 200
	withdrawalPeriod = 10 * time.Second

	// maxLookups is how many submissions whose body was not read an entry node looks up
	// within lookupPeriod: all entry nodes together share the store's reads.
	maxLookups    = 5
	lookupPeriod  = time.Second
	lookupTimeout = 500 * time.Millisecond

	memoryPerByte = 8 // bytes that the parsed job, its record and the call to the store take for one of the body

	memoryWait     = time.Second     // the leader publishes how much memory it has left about as often
	evacuationWait = 7 * time.Second // stands for the time until a zone is restored, which is not known; a caller with four retries then waits at least 12 s
)

// submit stores a job. Storing a job that is stored already changes nothing, so
// that repeated calls create one job.
func (a *Acceptor) submit(w http.ResponseWriter, r *request) (answer, error) {
	job, err := a.readJob(w, r)
	if err != nil {
		return a.refuseUnread(r, classifier.As(err))
	}
	if a.fleet.StoreIsUnreachable() {
		return answer{}, a.storeFailure(keeper.ErrUnavailable)
	}
	if refusal := a.refusalOf(r, job); refusal != nil {
		return a.refuseUnlessStored(r, refusal)
	}
	job.Accepted = a.now()
	record := orchestrator.EncodeJobRecord(job)
	_, stored, err := a.store.Commit(r.Context(), keeper.Txn{
		Expect: []keeper.Expectation{{Key: orchestrator.JobKey(r.job)}},
		Put:    []keeper.Put{{Key: orchestrator.JobKey(r.job), Value: record}},
	})
	switch {
	case errors.Is(err, keeper.ErrConflict) && isWithdrawn(r, stored):
		return answer{}, errWithdrawn(r)
	case errors.Is(err, keeper.ErrConflict) && a.isForeign(r, stored):
		return answer{}, classifier.Refuse(classifier.Conflict, "job ID %q is in use, choose another one", r.job)
	case err == nil, errors.Is(err, keeper.ErrConflict):
		meter.CountAcceptedJob(r.queue.Name)
		return answer{status: http.StatusOK}, nil
	case errors.Is(err, keeper.ErrUnavailable):
		return answer{}, a.storeFailure(err)
	case errors.Is(err, keeper.ErrRejected):
		a.log.Warn("new job rejected by the key-value service", "job", r.job, "queue", r.queue.Name, "customer", r.customer, "bytes", len(record), "error", err)
		return answer{}, classifier.Refuse(classifier.BadRequest, "job with a record of %d bytes can't be stored, shorten its texts", len(record))
	}
	return a.readBack(r, err)
}

// refusalOf returns the refusal of a new job that can't be served in time or that the
// leader has no memory for, nil if it may be accepted.
func (a *Acceptor) refusalOf(r *request, job *modeler.Job) *classifier.Error {
	if zones := a.fleet.EvacuatedZones(); len(zones) > 0 {
		return classifier.Refuse(classifier.NoCapacity, "all availability zones are evacuated (%s), so nothing can start; try again when one has been restored",
			strings.Join(zones, ", ")).WithRetryAfter(postponer.OverloadDelay(evacuationWait, a.random()))
	}
	l, limited := a.fleet.Limitation(r.queue.Name, r.customer)
	if limited && l.Cause == refuser.LackOfMemory {
		return classifier.Refuse(classifier.QueueFull, "the unfinished jobs of customer %q take up its part of the leader's memory; try again when some have ended (decision received %v ago)",
			r.customer, l.Age.Round(time.Millisecond)).WithRetryAfter(postponer.OverloadDelay(time.Duration(l.WaitMs)*time.Millisecond, a.random()))
	}
	if limited && !job.IsLongRunning() && job.Repeat == 0 && a.random() >= l.Accept {
		wait := time.Duration(l.WaitMs) * time.Millisecond
		return classifier.Refuse(classifier.QueueFull, "new jobs of customer %q in queue %q wait %v, too long to be served in time; %.0f %% are accepted, try again later (cause %s, free cores %.1f, decision received %v ago)",
			r.customer, r.queue.Name, wait, 100*l.Accept, cmp.Or(l.Cause, "unstated"), l.FreeCores, l.Age.Round(time.Millisecond)).WithRetryAfter(postponer.OverloadDelay(wait, a.random()))
	}
	if !a.fleet.ReserveMemory(r.customer, orchestrator.DefinitionBytes(job)) {
		return classifier.Refuse(classifier.QueueFull, "customer %q has handed in more at once than the leader has memory for, try again",
			r.customer).WithRetryAfter(postponer.OverloadDelay(memoryWait, a.random()))
	}
	return nil
}

// refuseUnread answers a submission whose body was not read. The call may repeat one that
// was stored and whose answer was lost, so that a refusal is true only for a job that the
// store does not have. Clients that crowd an entry must not become reads of the store, so
// that only some of them are looked up, and the others' outcome is left open.
func (a *Acceptor) refuseUnread(r *request, refusal *classifier.Error) (answer, error) {
	if refusal.Code != classifier.Overloaded && refusal.Code != classifier.SlowBody {
		return answer{}, refusal
	}
	if !a.fleet.StoreIsUnreachable() && a.lookups.allow(a.now()) {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), lookupTimeout) // the body may have taken all the time of the call
		defer cancel()
		lookup := *r
		lookup.Request = r.WithContext(ctx)
		if out, err := a.refuseUnlessStored(&lookup, refusal); err == nil || classifier.As(err) == refusal {
			return out, err
		}
	}
	return answer{}, classifier.Uncertain(refusal.Code, "%s; it is not known whether an earlier call with the same ID was accepted", refusal.Message).WithRetryAfter(refusal.RetryAfter)
}

// refuseUnlessStored answers with the refusal of a new job that can't be served in time.
// The call may also repeat one whose answer was lost: a job that is stored stays
// accepted.
func (a *Acceptor) refuseUnlessStored(r *request, refusal *classifier.Error) (answer, error) {
	v, err := a.loadJob(r)
	if err != nil {
		return answer{}, a.storeFailure(err)
	}
	if v.Known {
		return answer{status: http.StatusOK}, nil
	}
	return answer{}, refusal
}

// readBack checks whether a submission whose write was not answered was stored.
// While the job is not found, the write may still take effect, so the answer
// must not be a refusal.
func (a *Acceptor) readBack(r *request, cause error) (answer, error) {
	v, err := a.loadJob(r)
	if err == nil && v.Known {
		return answer{status: http.StatusOK}, nil
	}
	if err == nil && v.Withdrawn {
		return answer{}, errWithdrawn(r)
	}
	return answer{}, classifier.Uncertain(classifier.DeadlineOver, "the key-value service has not confirmed the job, send it again: %v", errors.Cause(cause))
}

// readJob decodes the body of a submission.
func (a *Acceptor) readJob(w http.ResponseWriter, r *request) (*modeler.Job, error) {
	limit := r.manifest.MaxBody
	if limit <= 0 {
		limit = defaultMaxBody
	}
	deadline, _ := r.Context().Deadline() // ServeHTTP sets one
	var err error
	if r.body, err = a.budget.ReadBody(w, r.Request, limiter.BodyLimits{MaxBytes: limit, Timeout: time.Until(deadline)}); err != nil {
		return nil, err
	}
	raw := r.body.Bytes
	if err = r.body.Reserve(int64(memoryPerByte * len(raw))); err != nil {
		return nil, err
	}
	job, err := platform.ParseJob(raw)
	if err != nil {
		return nil, classifier.Refuse(classifier.BadRequest, "%v", err)
	}
	job.ID, job.Queue, job.Customer, job.QueueSettings = r.job, r.queue.Name, r.customer, r.queue.Settings()
	return &job, nil
}

// jobState answers with the state of a job.
func (a *Acceptor) jobState(r *request) (answer, error) {
	if o, ok := a.outcomes.find(r.job); ok && r.maySee(o.customer) {
		return answer{http.StatusOK, platform.JobStateResponse(o.state)}, nil
	}
	v, err := a.loadJob(r)
	if err != nil {
		return answer{}, a.storeFailure(err)
	}
	if !v.Known {
		return answer{status: http.StatusGone}, nil
	}
	return answer{http.StatusOK, platform.JobStateResponse(v.State)}, nil
}

// cancel stores the request to cancel a job. A job that is not known is withdrawn:
// the write of a submission without a response may still be carried out.
func (a *Acceptor) cancel(r *request) (answer, error) {
	var err error
	for range cancelAttempts {
		var v orchestrator.JobView
		if v, err = a.loadJob(r); err != nil {
			return answer{}, a.storeFailure(err)
		}
		switch {
		case !v.Known && !v.Withdrawn:
			if err = a.withdraw(r); err == nil {
				return answer{status: http.StatusGone}, nil
			}
			var refusal *classifier.Error
			if errors.As(err, &refusal) {
				return answer{}, refusal
			}
			continue // the job has been stored since, or the write had no response
		case v.Withdrawn, v.State == modeler.Completed, v.State == modeler.Failed:
			return answer{status: http.StatusGone}, nil
		case v.Cancelled:
			return answer{status: http.StatusOK}, nil
		}
		_, _, err = a.store.Commit(r.Context(), keeper.Txn{
			Expect: []keeper.Expectation{{Key: orchestrator.JobKey(r.job), Revision: v.Revision}},
			Put:    []keeper.Put{{Key: orchestrator.CancelKey(r.job), Value: []byte("{}")}},
		})
		if err == nil {
			return answer{status: http.StatusOK}, nil
		}
	}
	return answer{}, classifier.Uncertain(classifier.StoreDown, "the cancellation is not confirmed, send it again: %v", errors.Cause(err))
}

// withdraw keeps an unknown job from being stored. It fails with keeper.ErrConflict if
// the caller's job has been stored since. The job of another customer stays as it is.
func (a *Acceptor) withdraw(r *request) error {
	if !a.withdrawals.allow(a.now()) {
		return classifier.Refuse(classifier.QueueFull, "over %d unknown jobs were cancelled within %v, try again later", maxWithdrawals, withdrawalPeriod).WithRetryAfter(withdrawalPeriod)
	}
	_, stored, err := a.store.Commit(r.Context(), keeper.Txn{
		Expect: []keeper.Expectation{{Key: orchestrator.JobKey(r.job)}},
		Put:    []keeper.Put{{Key: orchestrator.JobKey(r.job), Value: orchestrator.EncodeWithdrawal(r.customer)}},
	})
	switch {
	case errors.Is(err, keeper.ErrConflict) && a.isForeign(r, stored):
		return nil
	case err == nil:
		a.log.Info("unknown job cancelled: a late submission can't be stored any more", "job", r.job, "queue", r.queue.Name, "customer", r.customer)
	}
	return err
}

// errWithdrawn returns the refusal of a submission that was cancelled before it was
// stored.
func errWithdrawn(r *request) error {
	return classifier.Refuse(classifier.Cancelled, "job %q was cancelled before it was accepted, choose another ID", r.job)
}

// isWithdrawn reports whether one of the stored records keeps the job from being stored.
func isWithdrawn(r *request, stored []keeper.Record) bool {
	return slices.ContainsFunc(stored, func(record keeper.Record) bool {
		return record.Key == orchestrator.JobKey(r.job) && orchestrator.IsWithdrawal(record)
	})
}

// loadJob reads a job from the key-value service and caches its outcome once it
// has ended. The job of another customer is not known to the caller.
func (a *Acceptor) loadJob(r *request) (orchestrator.JobView, error) {
	v, err := orchestrator.LoadJobView(r.Context(), a.store, r.job)
	if err != nil {
		return v, err
	}
	if v.Known && v.State.IsFinal() {
		a.outcomes.add(r.job, outcome{v.State, v.Customer})
	}
	if !r.maySee(v.Customer) {
		a.log.Warn("job of another customer asked for, answered as not known", "job", r.job, "queue", r.queue.Name, "customer", r.customer, "owner", v.Customer)
		return orchestrator.JobView{}, nil
	}
	return v, nil
}

// maySee reports whether the caller may know of a job of a customer.
func (r *request) maySee(customer string) bool {
	return customer == "" || customer == r.customer
}

// isForeign reports whether one of the stored records shows that the job belongs to
// another customer.
func (a *Acceptor) isForeign(r *request, stored []keeper.Record) bool {
	for _, record := range stored {
		if record.Key != orchestrator.JobKey(r.job) {
			continue
		}
		customer, err := orchestrator.ReadJobCustomer(record)
		if err != nil {
			a.log.Error("job record cannot be read, its owner is not known", "job", r.job, "error", err)
		}
		return err == nil && !r.maySee(customer)
	}
	return false
}
