package placer

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/coltsfootlever/coltsfootlever/dispatcher"
)

const (
	// renewalsAtOnce bounds the renewals under way at one moment.
	renewalsAtOnce = 16
	// maxDrift is the lateness of a tick that is not taken for a pause.
	maxDrift = 2 * time.Second
	// renewalTimeout bounds one renewal.
	renewalTimeout = 2 * time.Second
	// maxMissed is the unanswered renewals in a row after which a worker is
	// left to end its tasks by itself.
	maxMissed = 2
)

type (
	// renewal asks the renewing duty to extend the leases on one worker.
	renewal struct {
		address  string
		attempts []*attempt
	}

	// collect asks the loop for the renewals that are due.
	collect struct{}

	renewed struct {
		attempts []*attempt
		until    time.Time
		missed   bool // no answer came
	}
)

// renew extends the leases of running tasks, one call a worker, three times
// within each lease.
func (p *Placer) renew(ctx context.Context) {
	tick := time.NewTicker(p.lease / 3)
	defer tick.Stop()
	watch := pauseWatch{most: p.lease/3 + maxDrift, last: time.Now()}
	group := &errgroup.Group{}
	group.SetLimit(renewalsAtOnce)
	defer func() { _ = group.Wait() }()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			if watch.mayRenew(time.Now(), p.fresh) {
				p.send(collect{})
			}
		case r := <-p.renewals.C():
			group.Go(func() error {
				p.renewOne(ctx, r)
				return nil
			})
		}
	}
}

// pauseWatch notices that the process was paused. It may have been removed and
// its grants given away meanwhile, so it renews nothing until it is known to be
// a member still.
type pauseWatch struct {
	most   time.Duration // longest time between two looks without a pause
	last   time.Time
	paused bool
}

// mayRenew says whether leases may be renewed at now. A suspended machine stops
// the monotonic clock only, so the wall clock counts too.
func (w *pauseWatch) mayRenew(now time.Time, fresh func() error) bool {
	gap := max(now.Sub(w.last), now.Round(0).Sub(w.last.Round(0)))
	w.last = now
	w.paused = w.paused || gap > w.most
	if w.paused && fresh() == nil {
		w.paused = false
	}
	return !w.paused
}

func (p *Placer) renewOne(ctx context.Context, r renewal) {
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
	p.put(renewed{attempts: r.attempts, until: time.Now().Add(p.lease).Add(p.margin), missed: err != nil})
}

func (collect) apply(p *Placer) {
	due := time.Now().Add(p.lease*2/3 + p.margin)
	byWorker := make(map[string][]*attempt)
	for _, j := range p.jobs {
		if j.attempt != nil && j.attempt.missed < maxMissed && j.attempt.leaseEnd.Before(due.Add(p.startBy)) {
			byWorker[j.attempt.worker.Address] = append(byWorker[j.attempt.worker.Address], j.attempt)
		}
	}
	for address, attempts := range byWorker {
		p.renewals.Offer(renewal{address: address, attempts: attempts})
	}
}

func (e renewed) apply(*Placer) {
	for _, a := range e.attempts {
		if a.leaseEnd.Before(e.until) {
			a.leaseEnd = e.until
		}
		a.missed++
		if !e.missed {
			a.missed = 0
		}
	}
}
