package placer

import (
	"context"
	"time"

	"github.com/coltsfootlever/coltsfootlever/recorder"
	"github.com/coltsfootlever/coltsfootlever/scheduler"
)

const (
	// UrgentWaitLimit is how long an urgent task waits before other tasks are
	// preempted for it.
	UrgentWaitLimit = 500 * time.Millisecond
	// preemptInterval is the shortest time between two preemptions in one pool,
	// so that the first can take effect.
	preemptInterval = 200 * time.Millisecond
)

// checkpointWorker is the event that orders checkpoints of all resumable tasks on
// a worker.
type checkpointWorker struct{ instance string }

// throttled is the event that reports that a worker now runs a task with fewer
// slots.
type throttled struct {
	attempt *attempt
	slots   int // number of slots that became free
}

// preempt frees slots for urgent tasks that have waited too long.
func (p *Placer) preempt(now time.Time) {
	for _, pool := range p.waiting.Pools() {
		if now.Sub(p.lastPreemption[pool]) < preemptInterval {
			continue
		}
		if item, ok := p.overdueUrgentTask(pool, now); ok {
			p.preemptForTask(pool, item, now)
		}
	}
}

// overdueUrgentTask returns an urgent task of the pool that has waited longer
// than UrgentWaitLimit and whose team's grant allows a start.
func (p *Placer) overdueUrgentTask(pool string, now time.Time) (scheduler.Item, bool) {
	for _, item := range p.waiting.QueueHeads(pool) {
		late := item.Task.Class == scheduler.Urgent && now.Sub(item.Since) >= UrgentWaitLimit
		if late && p.quota.CanAcquire(item.Task.Team, item.Task.Slots) {
			return item, true
		}
	}
	return scheduler.Item{}, false
}

// preemptForTask checkpoints or throttles tasks on one worker to make room for
// the item.
func (p *Placer) preemptForTask(pool string, item scheduler.Item, now time.Time) {
	running, attempts := p.runningTasksIn(pool)
	need := scheduler.SlotNeed{Team: item.Task.Team, Slots: item.Task.Slots, Free: p.fleet.FreeSlotsByWorker(pool)}
	victims := scheduler.ChooseVictims(running, p.shares(pool, p.slotDemand(pool)), need)
	for _, v := range victims {
		p.lastPreemption[pool] = now
		p.preemptAttempt(attempts[v.Task], v)
		p.log.Info("task preempted to free slots for an urgent task", "task", v.Task, "worker", v.Worker, "measure", v.Measure, "for", item.Task.ID)
		p.journal(recorder.Decision{
			Time: now, Entry: p.self, Kind: recorder.Job, Subject: v.Task, Action: string(v.Measure),
			Facts: []recorder.Fact{{Name: "for", Value: item.Task.ID}, {Name: "waited", Value: now.Sub(item.Since).String()}},
		})
	}
}

// runningTasksIn returns the running attempts of the pool, as input for the
// choice of victims and by task ID.
func (p *Placer) runningTasksIn(pool string) ([]scheduler.RunningTask, map[string]*attempt) {
	var running []scheduler.RunningTask
	attempts := make(map[string]*attempt)
	for id, j := range p.jobs {
		if j.attempt == nil || j.task.Pool != pool {
			continue
		}
		attempts[id] = j.attempt
		running = append(running, scheduler.RunningTask{
			Task:           id,
			Team:           j.task.Team,
			Class:          j.task.Class,
			Worker:         j.attempt.worker.ID,
			Slots:          j.attempt.slots,
			Idempotent:     j.task.Idempotent,
			AlreadyReduced: j.attempt.preempted || j.attempt.stopping,
		})
	}
	return running, attempts
}

// slotDemand returns the running and waiting slots of the pool by team.
func (p *Placer) slotDemand(pool string) map[string]int {
	demand := make(map[string]int)
	for _, j := range p.jobs {
		if j.task.Pool == pool {
			demand[j.task.Team] += j.task.Slots
		}
	}
	return demand
}

// CheckpointWorker orders the tasks on a worker to save their progress and stop,
// so that the worker can be taken out of service. Non-idempotent tasks, which
// must not be started twice, continue.
func (p *Placer) CheckpointWorker(instance string) {
	p.sendEvent(checkpointWorker{instance: instance})
}

func (e checkpointWorker) apply(p *Placer) {
	for _, j := range p.jobs {
		a := j.attempt
		if a == nil || a.worker.ID != e.instance || !j.task.Idempotent || a.preempted || a.stopping {
			continue
		}
		a.preempted = true
		p.sendOrder(a, p.workers.Checkpoint)
	}
}

// preemptAttempt sends the checkpoint or throttle order for a preempted attempt.
func (p *Placer) preemptAttempt(a *attempt, v scheduler.Victim) {
	a.preempted = true
	if v.Measure == scheduler.Checkpoint {
		p.sendOrder(a, p.workers.Checkpoint)
		return
	}
	p.sendOrder(a, func(ctx context.Context, address, task string) error {
		if err := p.workers.Throttle(ctx, address, task); err != nil {
			return err
		}
		p.sendEvent(throttled{attempt: a, slots: v.FreedSlots})
		return nil
	})
}

func (e throttled) apply(p *Placer) {
	a := e.attempt
	if a.slotsReleased {
		return
	}
	a.slots -= e.slots
	p.fleet.ReleaseSlots(a.worker.ID, e.slots, scheduler.Outcome{Task: a.task, Effect: scheduler.Neutral})
	p.quota.Release(a.job.task.Team, e.slots)
}
