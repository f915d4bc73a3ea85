package placer

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/coltsfootlever/coltsfootlever/dispatcher"
)

const (
	// maxConcurrentRenewals bounds the renewals under way at one moment.
	maxConcurrentRenewals = 16
	// maxTickDelay is the lateness of a tick that is not taken for a pause.
	maxTickDelay = 2 * time.Second
	// renewalTimeout bounds one renewal.
	renewalTimeout = 2 * time.Second
	// maxMissedRenewals is the unanswered renewals in a row after which a worker is
	// left to end its tasks by itself.
	maxMissedRenewals = 2
)

type (
	// renewal asks the renewing duty to extend the leases on one worker.
	renewal struct {
		address  string
		attempts []*attempt
	}

	// collectRenewals asks the loop for the renewals that are due.
	collectRenewals struct{}

	renewalDone struct {
		attempts []*attempt
		until    time.Time
		failed   bool // no answer came
	}
)

// renewLeases extends the leases of running tasks, one call a worker, three times
// within each lease.
func (p *Placer) renewLeases(ctx context.Context) {
	tick := time.NewTicker(p.lease / 3)
	defer tick.Stop()
	watch := pauseDetector{maxGap: p.lease/3 + maxTickDelay, lastCheck: time.Now()}
	group := &errgroup.Group{}
	group.SetLimit(maxConcurrentRenewals)
	defer func() { _ = group.Wait() }()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			if watch.mayRenew(time.Now(), p.checkFreshness) {
				p.trySend(collectRenewals{})
			}
		case r := <-p.renewals.C():
			group.Go(func() error {
				p.renewWorker(ctx, r)
				return nil
			})
		}
	}
}

// pauseDetector notices that the process was paused. It may have been removed and
// its grants given away meanwhile, so it renews nothing until it is known to be
// a member still.
type pauseDetector struct {
	maxGap    time.Duration // longest time between two looks without a pause
	lastCheck time.Time
	paused    bool
}

// mayRenew says whether leases may be renewed at now. A suspended machine stops
// the monotonic clock only, so the wall clock counts too.
func (w *pauseDetector) mayRenew(now time.Time, fresh func() error) bool {
	gap := max(now.Sub(w.lastCheck), now.Round(0).Sub(w.lastCheck.Round(0)))
	w.lastCheck = now
	w.paused = w.paused || gap > w.maxGap
	if w.paused && fresh() == nil {
		w.paused = false
	}
	return !w.paused
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
		p.log.Warn("lease renewal failed", "worker", r.address, "tasks", len(order.Tasks), "error", err)
	}
	// A renewal whose answer was lost may still have taken effect.
	p.sendWait(renewalDone{attempts: r.attempts, until: time.Now().Add(p.lease).Add(p.clockMargin), failed: err != nil})
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
