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

// Refused takes a worker's own word that it leaves. The worker gets no new
// work until the instance list shows it live after another reboot.
func (m *Mover) Refused(id string) {
	l, _ := m.roster.Find(id)
	m.mu.Lock()
	m.refused[id] = l.Boots
	m.closeOne(id)
	m.mu.Unlock()
}

// LeavingNow reports whether the instance must get no new work: it is not
// listed as live, its worker has refused work because it leaves, or its
// record says so.
func (m *Mover) LeavingNow(id string) bool {
	inst, ok := m.table.Get(id)
	if !ok || inst.Phase != Serving {
		return true
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.leaving(id)
}

func (m *Mover) leaving(id string) bool {
	l, ok := m.roster.Find(id)
	if m.roster.Updated().IsZero() {
		return false
	}
	boots, refused := m.refused[id]
	if refused && ok && l.Boots > boots {
		delete(m.refused, id)
		refused = false
	}
	return refused || !m.roster.live(id)
}

// serves reports whether this member may start work on the instance.
func (m *Mover) serves(i Instance) bool {
	return i.Owner == m.self && i.Phase == Serving && i.Next == "" && !m.leaving(i.ID)
}

// ReportHealth takes word on an instance that this member owns: why it fails
// what is started there, or "" when it does not. The record says so shortly
// after, and a sick instance counts as absent.
func (m *Mover) ReportHealth(id, why string) {
	if i, ok := m.table.Get(id); !ok || i.Owner != m.self {
		return
	}
	m.mu.Lock()
	m.health[id] = why
	m.mu.Unlock()
	m.Wake()
}

// settleHealth writes what was reported on an instance.
func (m *Mover) settleHealth(ctx context.Context, seen Instance) {
	m.mu.Lock()
	why, reported := m.health[seen.ID]
	m.mu.Unlock()
	if !reported {
		return
	}
	if why != seen.Sick && seen.Phase == Serving {
		next, rec, err := changeSeen(ctx, m.store, seen, right{self: m.self}, func(n *Instance) { n.Sick = why })
		if err != nil {
			m.report("health not noted", seen.ID, err)
			return
		}
		m.table.store(next, rec.Revision)
		m.note(next, "health: "+why)
	}
	m.mu.Lock()
	if m.health[seen.ID] == why {
		delete(m.health, seen.ID)
	}
	m.mu.Unlock()
}

func worker(i Instance) scheduler.Worker {
	return scheduler.Worker{ID: i.ID, Address: i.Address, Pool: i.Pool, Zone: i.Zone, Rack: i.Rack, Slots: i.Slots}
}

// look opens and closes workers as the records and the instance list ask for.
func (m *Mover) look() {
	all := m.table.All()
	m.mu.Lock()
	defer m.mu.Unlock()
	wanted := map[string]scheduler.Worker{}
	gate := m.cfg.gate()
	for _, i := range all {
		if gate && m.serves(i) {
			wanted[i.ID] = worker(i)
		}
	}
	for id, w := range m.open {
		if wanted[id] != w {
			m.closeOne(id)
		}
	}
	for id := range m.closed {
		if m.workers.Running(id) == 0 {
			m.workers.RemoveWorker(id)
			delete(m.closed, id)
		}
	}
	for id, w := range wanted {
		m.openOne(id, w)
	}
	m.forgetGone()
}

// forgetGone drops what is remembered of instances without a record.
func (m *Mover) forgetGone() {
	gone := func(id string) bool {
		_, ok := m.table.Get(id)
		return !ok
	}
	maps.DeleteFunc(m.refused, func(id string, _ int) bool { return gone(id) })
	maps.DeleteFunc(m.eased, func(id, _ string) bool { return gone(id) })
	maps.DeleteFunc(m.health, func(id, _ string) bool { return gone(id) })
	maps.DeleteFunc(m.asked, func(id string, _ time.Time) bool { return gone(id) })
}

// openOne opens a worker unless it still runs work under an earlier pool or
// address.
func (m *Mover) openOne(id string, w scheduler.Worker) {
	if _, ok := m.open[id]; ok {
		return
	}
	if was, ok := m.closed[id]; ok && was != w {
		return
	}
	delete(m.closed, id)
	m.open[id] = w
	m.workers.EnableWorker(w)
}

func (m *Mover) closeOne(id string) {
	w, ok := m.open[id]
	if !ok {
		return
	}
	m.workers.DisableWorker(id)
	m.closed[id] = w
	delete(m.open, id)
}

func (m *Mover) closeAll() {
	m.mu.Lock()
	defer m.mu.Unlock()
	for id := range m.open {
		m.closeOne(id)
	}
}

// idle reports whether this member starts nothing on the instance as its
// record stands in the table and runs nothing on it.
func (m *Mover) idle(seen Instance) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	cur, ok := m.table.Get(seen.ID)
	if !ok || cur.Epoch != seen.Epoch || m.serves(cur) {
		return false
	}
	if _, ok := m.open[seen.ID]; ok {
		return false
	}
	return m.workers.Running(seen.ID) == 0
}

// settleOne says in the record of an owned instance what this member has
// done, and hands the instance to the platform when it is to reboot.
func (m *Mover) settleOne(ctx context.Context, seen Instance) {
	m.settleHealth(ctx, seen)
	edit := released(seen, m.self)
	if edit == nil {
		m.reboot(ctx, seen)
		return
	}
	if !m.idle(seen) {
		m.ease(ctx, seen)
		return
	}
	next, rec, err := changeSeen(ctx, m.store, seen, right{self: m.self, idle: true}, edit)
	if err != nil {
		m.report("instance not released", seen.ID, err)
		return
	}
	m.table.store(next, rec.Revision)
	m.Wake()
	m.note(next, string(seen.Phase)+" ended, now "+string(next.Phase))
}

// released returns what the owner writes once it runs nothing on the
// instance, or nil when the record asks nothing of it.
func released(i Instance, self string) func(*Instance) {
	switch {
	case i.Next != "" && i.Next != self:
		return func(n *Instance) {
			if n.Phase == Draining {
				n.Phase = Drained
			}
			n.Owner, n.Next, n.NextSince = n.Next, "", time.Time{}
		}
	case i.Phase == Draining:
		return func(n *Instance) { n.Phase = Drained }
	case i.Phase.gone():
		return func(n *Instance) { n.Owner = "" }
	}
	return nil
}

// ease asks for a checkpoint of what still runs when the drain has lasted.
func (m *Mover) ease(ctx context.Context, i Instance) {
	if i.Order == nil || i.Phase != Draining || time.Since(i.Order.Since) < m.cfg.checkpointAfter {
		return
	}
	if m.workers.Running(i.ID) == 0 {
		return // it is about to be closed
	}
	m.mu.Lock()
	done := m.eased[i.ID] == i.Order.ID
	m.eased[i.ID] = i.Order.ID
	m.mu.Unlock()
	if !done {
		m.cfg.checkpoint(ctx, i.ID)
	}
}

// reboot asks the platform to reboot an instance, once for each try of the
// order. Only the owner asks, because only the owner knows that no work is
// started meanwhile. The record says that it is being asked before it is, so
// that no later owner asks again while an answer is open.
func (m *Mover) reboot(ctx context.Context, seen Instance) {
	if seen.Phase != Rebooting || seen.Order == nil || !seen.Order.Sent.IsZero() || !m.idle(seen) || !m.mayAsk(seen.ID, time.Now()) {
		return
	}
	next, err := m.sent(ctx, seen, time.Now())
	if err != nil {
		m.report("reboot not noted", seen.ID, err)
		return
	}
	call, cancel := context.WithTimeout(ctx, m.cfg.callLimit)
	defer cancel()
	if err := m.platform.Reboot(call, seen.ID); err != nil {
		m.report("reboot", seen.ID, err)
		if classifier.Of(err) == classifier.NotRun {
			_, err = m.sent(ctx, next, time.Time{})
			m.report("reboot not taken back", seen.ID, err)
		}
		return
	}
	m.note(next, "reboot asked of the platform")
}

// mayAsk reports whether the platform may be asked to reboot an instance now,
// and notes that it is.
func (m *Mover) mayAsk(id string, now time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if now.Sub(m.asked[id]) < rebootRetry {
		return false
	}
	m.asked[id] = now
	return true
}

// sent notes in the record when the platform was asked for the reboot; the
// zero time takes the note back.
func (m *Mover) sent(ctx context.Context, seen Instance, at time.Time) (Instance, error) {
	next, rec, err := changeSeen(ctx, m.store, seen, right{self: m.self}, func(n *Instance) {
		n.Order.Sent = at
		if !at.IsZero() {
			n.Order.Tries++
		}
	})
	if err == nil {
		m.table.store(next, rec.Revision)
	}
	return next, err
}

func (m *Mover) report(what, id string, err error) {
	m.cfg.assert(!errors.Is(err, ErrForbidden), "%s: %v", what, err)
	if err != nil && !errors.Is(err, ErrMoved) {
		m.cfg.log.Warn(what, "instance", id, "err", err)
	}
}

func (m *Mover) note(i Instance, action string) {
	m.cfg.journal(recorder.Decision{
		Time: time.Now(), Entry: m.self, Kind: recorder.Instance, Subject: i.ID, Action: action,
		Facts: []recorder.Fact{{Name: "pool", Value: i.Pool}, {Name: "order", Value: i.orderID()}},
	})
}
