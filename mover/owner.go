package mover

import (
	"context"
	"maps"
	"time"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/classifier"
	"github.com/coltsfootlever/coltsfootlever/recorder"
	"github.com/coltsfootlever/coltsfootlever/scheduler"
)

// ReportLeaving takes a worker's own word that it leaves. The worker gets no new
// work until the instance list shows it live after another reboot.
func (m *Mover) ReportLeaving(id string) {
	l, _ := m.roster.Find(id)
	m.mu.Lock()
	m.bootsWhenLeaving[id] = l.Boots
	m.closeWorker(id)
	m.mu.Unlock()
}

// IsLeaving reports whether the instance must get no new work: it is not
// listed as live, its worker has refused work because it leaves, or its
// record says so.
func (m *Mover) IsLeaving(id string) bool {
	inst, ok := m.table.Get(id)
	if !ok || inst.Phase != Serving {
		return true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.isMarkedLeaving(id)
}

func (m *Mover) isMarkedLeaving(id string) bool {
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

// serves reports whether this member may start work on the instance.
func (m *Mover) mayStartOn(i Instance) bool {
	return i.Owner == m.self && i.Phase == Serving && i.NextOwner == "" && !m.isMarkedLeaving(i.ID)
}

// ReportHealth takes word on an instance that this member owns: why it fails
// what is started there, or "" when it does not. The record says so shortly
// after, and a sick instance counts as absent.
func (m *Mover) ReportHealth(id, why string) {
	if i, ok := m.table.Get(id); !ok || i.Owner != m.self {
		return
	}
	m.mu.Lock()
	m.unwrittenHealth[id] = why
	m.mu.Unlock()
	m.Wake()
}

// settleHealth writes what was reported on an instance.
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
			m.logFailure("health not noted", seen.ID, err)
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

// look opens and closes workers as the records and the instance list ask for.
func (m *Mover) reconcileWorkers() {
	all := m.table.All()
	m.mu.Lock()
	defer m.mu.Unlock()
	wanted := map[string]scheduler.Worker{}
	gate := m.cfg.mayStartWork()
	for _, i := range all {
		if gate && m.mayStartOn(i) {
			wanted[i.ID] = schedulerWorker(i)
		}
	}
	for id, w := range m.openWorkers {
		if wanted[id] != w {
			m.closeWorker(id)
		}
	}
	for id := range m.closedWorkers {
		if m.workers.Running(id) == 0 {
			m.workers.Remove(id)
			delete(m.closedWorkers, id)
		}
	}
	for id, w := range wanted {
		m.openWorker(id, w)
	}
	m.forgetDeletedInstances()
}

// forgetGone drops what is remembered of instances without a record.
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

// openOne opens a worker unless it still runs work under an earlier pool or
// address.
func (m *Mover) openWorker(id string, w scheduler.Worker) {
	if _, ok := m.openWorkers[id]; ok {
		return
	}
	if was, ok := m.closedWorkers[id]; ok && was != w {
		return
	}
	delete(m.closedWorkers, id)
	m.openWorkers[id] = w
	m.workers.Open(w)
}

func (m *Mover) closeWorker(id string) {
	w, ok := m.openWorkers[id]
	if !ok {
		return
	}
	m.workers.Close(id)
	m.closedWorkers[id] = w
	delete(m.openWorkers, id)
}

func (m *Mover) closeAllWorkers() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for id := range m.openWorkers {
		m.closeWorker(id)
	}
}

// idle reports whether this member starts nothing on the instance as its
// record stands in the table and runs nothing on it.
func (m *Mover) isIdle(seen Instance) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	cur, ok := m.table.Get(seen.ID)
	if !ok || cur.Epoch != seen.Epoch || m.mayStartOn(cur) {
		return false
	}
	if _, ok := m.openWorkers[seen.ID]; ok {
		return false
	}
	return m.workers.Running(seen.ID) == 0
}

// settleOne says in the record of an owned instance what this member has
// done, and hands the instance to the platform when it is to reboot.
func (m *Mover) updateOwnedRecord(ctx context.Context, seen Instance) {
	m.writeHealth(ctx, seen)
	edit := releaseEdit(seen, m.self)
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
		m.logFailure("instance not released", seen.ID, err)
		return
	}
	m.table.storeIfNewer(next, rec.Revision)
	m.Wake()
	m.recordDecision(next, string(seen.Phase)+" ended, now "+string(next.Phase))
}

// released returns what the owner writes once it runs nothing on the
// instance, or nil when the record asks nothing of it.
func releaseEdit(i Instance, self string) func(*Instance) {
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
	case i.Phase.gone():
		return func(n *Instance) { n.Owner = "" }
	}
	return nil
}

// ease asks for a checkpoint of what still runs when the drain has lasted.
func (m *Mover) checkpointLongDrain(ctx context.Context, i Instance) {
	if i.Order == nil || i.Phase != Draining || time.Since(i.Order.Since) < m.cfg.checkpointAfter {
		return
	}
	if m.workers.Running(i.ID) == 0 {
		return // it is about to be closed
	}
	m.mu.Lock()
	done := m.checkpointedOrder[i.ID] == i.Order.ID
	m.checkpointedOrder[i.ID] = i.Order.ID
	m.mu.Unlock()
	if !done {
		m.cfg.requestCheckpoint(ctx, i.ID)
	}
}

// reboot asks the platform to reboot an instance, once for each try of the
// order. Only the owner asks, because only the owner knows that no work is
// started meanwhile. The record says that it is being asked before it is, so
// that no later owner asks again while an answer is open.
func (m *Mover) requestReboot(ctx context.Context, seen Instance) {
	if seen.Phase != Rebooting || seen.Order == nil || !seen.Order.RebootAskedAt.IsZero() || !m.isIdle(seen) || !m.reserveRebootRequest(seen.ID, time.Now()) {
		return
	}
	next, err := m.recordRebootRequest(ctx, seen, time.Now())
	if err != nil {
		m.logFailure("reboot not noted", seen.ID, err)
		return
	}
	call, cancel := context.WithTimeout(ctx, m.cfg.callTimeout)
	defer cancel()
	if err := m.platform.Reboot(call, seen.ID); err != nil {
		m.logFailure("reboot", seen.ID, err)
		if classifier.Of(err) == classifier.NotRun {
			_, err = m.recordRebootRequest(ctx, next, time.Time{})
			m.logFailure("reboot not taken back", seen.ID, err)
		}
		return
	}
	m.recordDecision(next, "reboot asked of the platform")
}

// mayAsk reports whether the platform may be asked to reboot an instance now,
// and notes that it is.
func (m *Mover) reserveRebootRequest(id string, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if now.Sub(m.rebootAskedAt[id]) < rebootRetryDelay {
		return false
	}
	m.rebootAskedAt[id] = now
	return true
}

// sent notes in the record when the platform was asked for the reboot; the
// zero time takes the note back.
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

func (m *Mover) logFailure(what, id string, err error) {
	m.cfg.assert(!errors.Is(err, ErrInvariantBroken), "%s: %v", what, err)
	if err != nil && !errors.Is(err, ErrRecordChanged) {
		m.cfg.log.Warn(what, "instance", id, "err", err)
	}
}

func (m *Mover) recordDecision(i Instance, action string) {
	m.cfg.journal(recorder.Decision{
		Time: time.Now(), Entry: m.self, Kind: recorder.Instance, Subject: i.ID, Action: action,
		Facts: []recorder.Fact{{Name: "pool", Value: i.Pool}, {Name: "order", Value: i.orderID()}},
	})
}
