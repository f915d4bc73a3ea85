package placer

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/coltsfootlever/coltsfootlever/dispatcher"
)

const (
	// maxConcurrentRenewals limits the number of concurrent renewal calls.
	maxConcurrentRenewals = 16
	// maxTickDelay is the delay of a tick up to which the process does not
	// count as paused.
	maxTickDelay = 2 * time.Second
	// renewalTimeout limits one renewal call.
	renewalTimeout = 2 * time.Second
	// maxMissedRenewals is the number of consecutive unanswered renewals after
	// which the leases on a worker are no longer renewed, so that they expire.
	maxMissedRenewals = 2
)

type (
	// renewal is a request to extend the leases of attempts on one worker.
	renewal struct {
		address  string
		attempts []*attempt
	}

	// collectRenewals is the event that makes the loop queue the renewals that
	// are due.
	collectRenewals struct{}

	// renewalDone is the event that reports the outcome of a renewal.
	renewalDone struct {
		attempts []*attempt
		until    time.Time
		failed   bool // the worker did not answer
	}
)

// renewLeases extends the leases of running tasks three times within each lease,
// with one call for each worker.
func (p *Placer) renewLeases(ctx context.Context) {
	tick := time.NewTicker(p.lease / 3)
	defer tick.Stop()
	detector := pauseDetector{maxGap: p.lease/3 + maxTickDelay, lastCheck: time.Now()}
	group := &errgroup.Group{}
	group.SetLimit(maxConcurrentRenewals)
	defer func() { _ = group.Wait() }()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			if detector.mayRenew(time.Now(), p.checkFreshness) {
				p.trySendEvent(collectRenewals{})
			}
		case r := <-p.renewals.ReceiveChan():
			group.Go(func() error {
				p.renewWorker(ctx, r)
				return nil
			})
		}
	}
}

// pauseDetector detects that the process was paused, for example by a suspended
// machine. During a pause this member may have been removed from the cluster and
// its grants given to other members, so no lease is renewed until a freshness
// check shows that it is still a member.
type pauseDetector struct {
	maxGap    time.Duration // longest time between two checks that does not count as a pause
	lastCheck time.Time
	paused    bool
}

// mayRenew reports whether leases may be renewed at the time now. It compares the
// wall clock as well as the monotonic clock, because the monotonic clock stops
// while the machine is suspended.
func (d *pauseDetector) mayRenew(now time.Time, checkFreshness func() error) bool {
	gap := max(now.Sub(d.lastCheck), now.Round(0).Sub(d.lastCheck.Round(0)))
	d.lastCheck = now
	d.paused = d.paused || gap > d.maxGap
	if d.paused && checkFreshness() == nil {
		d.paused = false
	}
	return !d.paused
}

func (p *Placer) renewWorker(ctx context.Context, r renewal) {
	ctx, stop := context.WithTimeout(ctx, renewalTimeout)
	defer stop()
	order := dispatcher.Renewal{Owner: p.self, Lease: p.lease}
	for _, a := range r.attempts {
		order.Tasks = append(order.Tasks, a.task)
	}
	_, err := p.workers.Renew(ctx, r.address, order)
	if err != nil {
		p.log.Warn("lease renewal on a worker failed; its tasks stop if their leases expire", "worker", r.address, "tasks", len(order.Tasks), "error", err)
	}
	// A renewal may have taken effect on the worker although its answer was
	// lost, so the lease is assumed to be extended in any case.
	p.sendEvent(renewalDone{attempts: r.attempts, until: time.Now().Add(p.lease).Add(p.clockMargin), failed: err != nil})
}

func (collectRenewals) apply(p *Placer) {
	due := time.Now().Add(p.lease*2/3 + p.clockMargin)
	byWorker := make(map[string][]*attempt)
	for _, j := range p.jobs {
		if j.attempt != nil && j.attempt.missedRenewals < maxMissedRenewals && j.attempt.leaseEnd.Before(due.Add(p.startTimeout)) {
			byWorker[j.attempt.worker.Address] = append(byWorker[j.attempt.worker.Address], j.attempt)
		}
	}
	for address, attempts := range byWorker {
		p.renewals.Offer(renewal{address: address, attempts: attempts})
	}
}

func (e renewalDone) apply(*Placer) {
	for _, a := range e.attempts {
		if a.leaseEnd.Before(e.until) {
			a.leaseEnd = e.until
		}
		a.missedRenewals++
		if !e.failed {
			a.missedRenewals = 0
		}
	}
}
