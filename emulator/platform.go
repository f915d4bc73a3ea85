package emulator

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/lister"
)

type (
	// Platform emulates the platform's service that lists and reboots instances,
	// for package lister.
	Platform struct {
		listDelay     time.Duration
		rebootTime    time.Duration
		onPowerChange func(id string, up bool)

		mu              sync.Mutex
		instances       map[string]*listedInstance
		faults          PlatformFaults
		changeCount     int // number of changes so far
		publishedChange int // number of the change that publishedList shows
		publishedList   []lister.Listing
	}

	// PlatformFaults are the faults that a Platform shows.
	PlatformFaults struct {
		Down                bool
		LoseRebootResponses int // number of next reboots that take place while their response is lost
		FailReboots         int // number of next reboots that stay down until SetPower is called
	}

	listedInstance struct {
		lister.Listing
		up        bool
		rebooting bool
	}
)

// NewPlatform returns a platform without instances. A change shows in the list
// after listDelay. onPowerChange is called when an instance goes down or comes up;
// it must not call the platform.
func NewPlatform(listDelay, rebootTime time.Duration, onPowerChange func(id string, up bool)) *Platform {
	if onPowerChange == nil {
		onPowerChange = func(string, bool) {}
	}
	return &Platform{listDelay: listDelay, rebootTime: rebootTime, onPowerChange: onPowerChange, instances: make(map[string]*listedInstance)}
}

// List returns the instances that were up listDelay ago, sorted by ID.
func (p *Platform) List(ctx context.Context) ([]lister.Listing, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.Down || ctx.Err() != nil {
		return nil, errors.Trace(lister.ErrUnavailable)
	}
	return slices.Clone(p.publishedList), nil
}

// Reboot restarts an instance. It has no effect while the instance is rebooting.
func (p *Platform) Reboot(ctx context.Context, id string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.Down || ctx.Err() != nil {
		return errors.Trace(lister.ErrUnavailable)
	}
	m, ok := p.instances[id]
	if !ok {
		return errors.Annotatef(lister.ErrNotFound, "%q", id)
	}
	if !m.rebooting {
		p.changeInstance(m, func(m *listedInstance) { m.up, m.rebooting = false, true })
		p.publishAfterDelay()
		if !takeOne(&p.faults.FailReboots) {
			time.AfterFunc(p.rebootTime, func() { p.changeMatching(hasID(id), (*listedInstance).finishReboot) })
		}
	}
	if takeOne(&p.faults.LoseRebootResponses) {
		return errors.Trace(lister.ErrUnknown)
	}
	return nil
}

// Add adds instances that are up. It replaces instances with the same ID.
func (p *Platform) Add(listings ...lister.Listing) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range listings {
		l.State = cmp.Or(l.State, lister.Live)
		p.instances[l.ID] = &listedInstance{Listing: l, up: true}
	}
	p.publishAfterDelay()
}

// MarkLeaving marks an instance as leaving the fleet.
func (p *Platform) MarkLeaving(id string) {
	p.changeMatching(hasID(id), func(m *listedInstance) { m.State = lister.Leaving })
}

// Remove removes an instance permanently.
func (p *Platform) Remove(id string) {
	p.changeMatching(hasID(id), func(m *listedInstance) {
		m.up, m.rebooting = false, false
		delete(p.instances, id)
	})
}

// SetPower powers the matching instances on or off, such as all instances of a
// rack or zone. It cancels reboots in progress.
func (p *Platform) SetPower(up bool, match func(lister.Listing) bool) {
	p.changeMatching(match, func(m *listedInstance) { m.up, m.rebooting = up, false })
}

// InjectFaults changes the faults under the platform's mutex.
func (p *Platform) InjectFaults(change func(*PlatformFaults)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change(&p.faults)
}

// changeMatching applies change to the instances that match.
func (p *Platform) changeMatching(match func(lister.Listing) bool, change func(*listedInstance)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.instances {
		if match(m.Listing) {
			p.changeInstance(m, change)
		}
	}
	p.publishAfterDelay()
}

// changeInstance applies change to one instance and calls onPowerChange when the
// instance goes down or comes up.
func (p *Platform) changeInstance(m *listedInstance, change func(*listedInstance)) {
	before := m.up
	change(m)
	if m.up != before {
		p.onPowerChange(m.ID, m.up)
	}
}

// finishReboot completes a reboot in progress.
func (m *listedInstance) finishReboot() {
	if m.rebooting {
		m.up, m.rebooting, m.State = true, false, lister.Live
		m.Boots++
	}
}

func hasID(id string) func(lister.Listing) bool {
	return func(l lister.Listing) bool { return l.ID == id }
}

// publishAfterDelay makes the current list of instances visible after listDelay.
func (p *Platform) publishAfterDelay() {
	var list []lister.Listing
	for _, m := range p.instances {
		if m.up {
			list = append(list, m.Listing)
		}
	}
	slices.SortFunc(list, func(a, b lister.Listing) int { return cmp.Compare(a.ID, b.ID) })
	p.changeCount++
	change := p.changeCount
	publish := func() {
		if change > p.publishedChange {
			p.publishedList, p.publishedChange = list, change
		}
	}
	if p.listDelay == 0 {
		publish()
		return
	}
	// InjectFaults is used only to run publish under the mutex.
	time.AfterFunc(p.listDelay, func() { p.InjectFaults(func(*PlatformFaults) { publish() }) })
}

// takeOne decrements a fault counter unless it is zero, and reports whether it did.
func takeOne(n *int) bool {
	if *n <= 0 {
		return false
	}
	*n--
	return true
}
