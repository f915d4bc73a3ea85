package mover

import (
	"context"
	"maps"
	"time"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/budgeter"
	"github.com/coltsfootlever/coltsfootlever/classifier"
	"github.com/coltsfootlever/coltsfootlever/recorder"
	"github.com/coltsfootlever/coltsfootlever/scheduler"
)

// ReportLeaving records that a worker has refused work because it is leaving.
// The worker gets no new work until the instance list shows it as live after
// another reboot.
func (m *Mover) ReportLeaving(id string) {
	l, _ := m.roster.Find(id)
	m.mu.Lock()
	m.bootsWhenLeaving[id] = l.Boots
	m.disableWorker(id)
	m.mu.Unlock()
}

// MustGetNoNewWork reports whether the instance must get no new work: it has no
// record in phase Serving, its zone is evacuated, it is not listed as live, or
// its worker has refused work because it is leaving.
func (m *Mover) MustGetNoNewWork(id string) bool {
	inst, ok := m.table.Get(id)
	if !ok || inst.Phase != Serving || m.cfg.isEvacuated(inst.Zone) {
		return true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.expireRefusalAndCheckUnavailable(id)
}

// expireRefusalAndCheckUnavailable forgets that the worker of the instance
// has refused work because it is leaving, if the instance has rebooted
// since. It then reports whether such a refusal stands or the instance is
// not listed as live. It returns false before the first read of the instance
// list. The caller must hold m.mu.
func (m *Mover) expireRefusalAndCheckUnavailable(id string) bool {
	l, ok := m.roster.Find(id)
	if m.roster.Updated().IsZero() {
		return false
	}
	boots, refused := m.bootsWhenLeaving[id]
	if refused && ok && l.Boots > boots {
		delete(m.bootsWhenLeaving, id)
		refused = false
	}
	return refused || !m.roster.isListedLive(id)
}

// mayStartOn reports whether this member may start work on the instance.
func (m *Mover) mayStartOn(i Instance) bool {
	return i.Owner == m.self && i.Phase == Serving && i.NextOwner == "" && !m.cfg.isEvacuated(i.Zone) && !m.expireRefusalAndCheckUnavailable(i.ID)
}

// ReportHealth reports the health of an instance that this member owns. why
// explains why tasks started there fail; "" means that the instance is healthy.
// The report is written to the record in the background. An unhealthy instance
// counts as absent.
func (m *Mover) ReportHealth(id, why string) {
	if i, ok := m.table.Get(id); !ok || i.Owner != m.self {
		return
	}
	m.mu.Lock()
	m.unwrittenHealth[id] = why
	m.mu.Unlock()
	m.Wake()
}

// writeHealth writes the reported health of an instance to its record.
func (m *Mover) writeHealth(ctx context.Context, seen Instance) {
	m.mu.Lock()
	why, reported := m.unwrittenHealth[seen.ID]
	m.mu.Unlock()
	if !reported {
		return
	}
	if why != seen.Unhealthy && seen.Phase == Serving {
		next, rec, err := updateIfUnchanged(ctx, m.store, seen, authority{writer: m.self}, func(n *Instance) { n.Unhealthy = why })
		if err != nil {
			m.logFailure("health not written to the instance record; retrying", seen.ID, err)
			return
		}
		m.table.storeIfNewer(next, rec.Revision)
		m.recordDecision(next, "health: "+why)
	}
	m.mu.Lock()
	if m.unwrittenHealth[seen.ID] == why {
		delete(m.unwrittenHealth, seen.ID)
	}
	m.mu.Unlock()
}

func schedulerWorker(i Instance) scheduler.Worker {
	return scheduler.Worker{ID: i.ID, Address: i.Address, Pool: i.Pool, Zone: i.Zone, Rack: i.Rack, Slots: i.Slots}
}

// reconcileWorkers enables and disables workers according to the records and the
// instance list.
func (m *Mover) reconcileWorkers() {
	all := m.table.All()
	m.mu.Lock()
	defer m.mu.Unlock()
	wanted := map[string]scheduler.Worker{}
	mayStart := m.cfg.mayStartWork()
	for _, i := range all {
		if mayStart && m.mayStartOn(i) {
			wanted[i.ID] = schedulerWorker(i)
		}
	}
	for id, w := range m.enabledWorkers {
		if wanted[id] != w {
			m.disableWorker(id)
		}
	}
	for id := range m.disabledWorkers {
		if m.workers.SlotsInUse(id) == 0 {
			m.workers.RemoveWorker(id)
			delete(m.disabledWorkers, id)
		}
	}
	for id, w := range wanted {
		m.enableWorker(id, w)
	}
	m.forgetDeletedInstances()
}

// forgetDeletedInstances drops the local state of instances that have no record
// any more.
func (m *Mover) forgetDeletedInstances() {
	gone := func(id string) bool {
		_, ok := m.table.Get(id)
		return !ok
	}
	maps.DeleteFunc(m.bootsWhenLeaving, func(id string, _ int) bool { return gone(id) })
	maps.DeleteFunc(m.checkpointedOrder, func(id, _ string) bool { return gone(id) })
	maps.DeleteFunc(m.unwrittenHealth, func(id, _ string) bool { return gone(id) })
	maps.DeleteFunc(m.rebootAskedAt, func(id string, _ time.Time) bool { return gone(id) })
}

// enableWorker enables a worker for new work, unless it still runs work that was
// started under an earlier pool or address.
func (m *Mover) enableWorker(id string, w scheduler.Worker) {
	if _, ok := m.enabledWorkers[id]; ok {
		return
	}
	if was, ok := m.disabledWorkers[id]; ok && was != w {
		return
	}
	delete(m.disabledWorkers, id)
	m.enabledWorkers[id] = w
	m.workers.EnableWorker(w)
}

func (m *Mover) disableWorker(id string) {
	w, ok := m.enabledWorkers[id]
	if !ok {
		return
	}
	m.workers.DisableWorker(id)
	m.disabledWorkers[id] = w
	delete(m.enabledWorkers, id)
}

// DisableEvacuated disables the workers in evacuated zones for new work. When it
// returns, the placer selects none of them any more.
func (m *Mover) DisableEvacuated() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for id, w := range m.enabledWorkers {
		if m.cfg.isEvacuated(w.Zone) {
			m.disableWorker(id)
		}
	}
	m.Wake()
}

// EvacuatedAbsences returns an absence for each instance in an evacuated zone,
// ordered by ID. Such an instance counts against the budgets, because it gets no
// new work.
func (m *Mover) EvacuatedAbsences() []budgeter.Absence {
	var list []budgeter.Absence
	for _, i := range m.table.All() {
		if m.cfg.isEvacuated(i.Zone) && !i.Phase.isGone() {
			x := newAbsence(i, "", time.Time{})
			x.Kind = budgeter.Evacuated
			list = append(list, x)
		}
	}
	return list
}

func (m *Mover) disableAllWorkers() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for id := range m.enabledWorkers {
		m.disableWorker(id)
	}
}

// isIdle reports whether this member runs no work on the instance and, according
// to the local copy of the record, may start none.
func (m *Mover) isIdle(seen Instance) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	cur, ok := m.table.Get(seen.ID)
	if !ok || cur.Epoch != seen.Epoch || m.mayStartOn(cur) {
		return false
	}
	if _, ok := m.enabledWorkers[seen.ID]; ok {
		return false
	}
	return m.workers.SlotsInUse(seen.ID) == 0
}

// updateOwnedRecord completes what the record of an owned instance asks of the
// owner: it ends the drain or the handover once the instance is idle, and asks
// the platform for a reboot when one is due.
func (m *Mover) updateOwnedRecord(ctx context.Context, seen Instance) {
	m.writeHealth(ctx, seen)
	edit := recordEditWhenIdle(seen, m.self)
	if edit == nil {
		m.requestReboot(ctx, seen)
		return
	}
	if !m.isIdle(seen) {
		m.checkpointLongDrain(ctx, seen)
		return
	}
	next, rec, err := updateIfUnchanged(ctx, m.store, seen, authority{writer: m.self, ownerIdle: true}, edit)
	if err != nil {
		m.logFailure("end of drain or handover not written to the instance record; retrying", seen.ID, err)
		return
	}
	m.table.storeIfNewer(next, rec.Revision)
	m.Wake()
	m.recordDecision(next, string(seen.Phase)+" ended, now "+string(next.Phase))
}

// recordEditWhenIdle returns the change that the owner makes to the record
// once it runs nothing on the instance, or nil when the record asks for no
// drain, no handover and no release.
func recordEditWhenIdle(i Instance, self string) func(*Instance) {
	switch {
	case i.NextOwner != "" && i.NextOwner != self:
		return func(n *Instance) {
			if n.Phase == Draining {
				n.Phase = Drained
			}
			n.Owner, n.NextOwner, n.NextOwnerSince = n.NextOwner, "", time.Time{}
		}
	case i.Phase == Draining:
		return func(n *Instance) { n.Phase = Drained }
	case i.Phase.isGone():
		return func(n *Instance) { n.Owner = "" }
	}
	return nil
}

// checkpointLongDrain asks the running tasks of an instance to save their
// progress and stop, once for each order, when the instance has been draining
// for the configured time.
func (m *Mover) checkpointLongDrain(ctx context.Context, i Instance) {
	if i.Order == nil || i.Phase != Draining || time.Since(i.Order.Since) < m.cfg.checkpointAfter {
		return
	}
	if m.workers.SlotsInUse(i.ID) == 0 {
		return // the drain is about to end
	}
	m.mu.Lock()
	done := m.checkpointedOrder[i.ID] == i.Order.ID
	m.checkpointedOrder[i.ID] = i.Order.ID
	m.mu.Unlock()
	if !done {
		m.cfg.requestCheckpoint(ctx, i.ID)
	}
}

// requestReboot asks the platform to reboot an instance, once for each attempt
// of the order. Only the owner asks, because only the owner knows that no work
// is started meanwhile. The request is written to the record before it is sent,
// so that a later owner does not ask again while the answer is outstanding.
func (m *Mover) requestReboot(ctx context.Context, seen Instance) {
	if seen.Phase != Rebooting || seen.Order == nil || !seen.Order.RebootAskedAt.IsZero() || !m.isIdle(seen) || !m.reserveRebootRequest(seen.ID, time.Now()) {
		return
	}
	next, err := m.recordRebootRequest(ctx, seen, time.Now())
	if err != nil {
		m.logFailure("reboot not asked of the platform, because the instance record could not be written; retrying later", seen.ID, err)
		return
	}
	call, cancel := context.WithTimeout(ctx, m.cfg.callTimeout)
	defer cancel()
	if err := m.platform.Reboot(call, seen.ID); err != nil {
		m.logFailure("reboot not confirmed by the platform", seen.ID, err)
		if classifier.VerdictOf(err) == classifier.NotRun {
			_, err = m.recordRebootRequest(ctx, next, time.Time{})
			m.logFailure("refused reboot not removed from the instance record; not asked again before the time limit of the reboot", seen.ID, err)
		}
		return
	}
	m.recordDecision(next, "reboot asked of the platform")
}

// reserveRebootRequest reports whether the platform may be asked now to
// reboot an instance. If so, it remembers the time, which blocks another
// request for rebootRetryDelay.
func (m *Mover) reserveRebootRequest(id string, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if now.Sub(m.rebootAskedAt[id]) < rebootRetryDelay {
		return false
	}
	m.rebootAskedAt[id] = now
	return true
}

// recordRebootRequest writes to the record when the platform was asked for the
// reboot. The zero time marks the request as not made.
func (m *Mover) recordRebootRequest(ctx context.Context, seen Instance, at time.Time) (Instance, error) {
	next, rec, err := updateIfUnchanged(ctx, m.store, seen, authority{writer: m.self}, func(n *Instance) {
		n.Order.RebootAskedAt = at
		if !at.IsZero() {
			n.Order.Tries++
		}
	})
	if err == nil {
		m.table.storeIfNewer(next, rec.Revision)
	}
	return next, err
}

// logFailure logs that a step for an instance failed. It logs nothing when
// err is nil, or when the record has changed, since the step is then retried
// with the new record.
func (m *Mover) logFailure(message, id string, err error) {
	m.cfg.assert(!errors.Is(err, ErrInvariantBroken), "%s: %v", message, err)
	if err != nil && !errors.Is(err, ErrRecordChanged) {
		m.cfg.log.Warn(message, "instance", id, "err", err)
	}
}

func (m *Mover) recordDecision(i Instance, action string) {
	m.cfg.journal(recorder.Decision{
		Time: time.Now(), Entry: m.self, Kind: recorder.Instance, Subject: i.ID, Action: action,
		Facts: []recorder.Fact{{Name: "pool", Value: i.Pool}, {Name: "order", Value: i.orderID()}},
	})
}
