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
	// Platform is a stand-in for the platform's instance list.
	Platform struct {
		listDelay     time.Duration
		rebootTime    time.Duration
		onPowerChange func(id string, up bool)

		mu              sync.Mutex
		instances       map[string]*listedInstance
		faults          PlatformFaults
		changeCount     int // number of the last change
		publishedChange int // number of the last change in list
		publishedList   []lister.Listing
	}

	// PlatformFaults are the faults that the platform shows.
	PlatformFaults struct {
		Down                bool
		LoseRebootResponses int // next reboots that take place without an answer
		FailReboots         int // next reboots that do not come back before SetPower
	}

	listedInstance struct {
		lister.Listing
		up        bool
		rebooting bool
	}
)

// NewPlatform returns a platform without instances. A change shows in the list
// after lag; power is called when an instance goes down or comes up, and must not
// call the platform.
func NewPlatform(listDelay, rebootTime time.Duration, onPowerChange func(id string, up bool)) *Platform {
	if onPowerChange == nil {
		onPowerChange = func(string, bool) {}
	}
	return &Platform{listDelay: listDelay, rebootTime: rebootTime, onPowerChange: onPowerChange, instances: make(map[string]*listedInstance)}
}

// List returns the instances that were up some time ago, sorted by identity.
func (p *Platform) List(ctx context.Context) ([]lister.Listing, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.Down || ctx.Err() != nil {
		return nil, errors.Trace(lister.ErrUnavailable)
	}
	return slices.Clone(p.publishedList), nil
}

// Reboot restarts an instance. A second order during a reboot changes nothing.
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

// Add lists instances as up. One that is known is replaced.
func (p *Platform) Add(listings ...lister.Listing) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range listings {
		l.State = cmp.Or(l.State, lister.Live)
		p.instances[l.ID] = &listedInstance{Listing: l, up: true}
	}
	p.publishAfterDelay()
}

// MarkLeaving marks an instance as leaving.
func (p *Platform) MarkLeaving(id string) {
	p.changeMatching(hasID(id), func(m *listedInstance) { m.State = lister.Leaving })
}

// Remove takes an instance off for good.
func (p *Platform) Remove(id string) {
	p.changeMatching(hasID(id), func(m *listedInstance) {
		m.up, m.rebooting = false, false
		delete(p.instances, id)
	})
}

// SetPower brings the instances that match up or down, such as those of a rack
// or zone. It ends reboots that are under way.
func (p *Platform) SetPower(up bool, match func(lister.Listing) bool) {
	p.changeMatching(match, func(m *listedInstance) { m.up, m.rebooting = up, false })
}

// InjectFaults changes the faults.
func (p *Platform) InjectFaults(change func(*PlatformFaults)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change(&p.faults)
}

// changeMatching changes the instances that match.
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

// changeInstance changes one instance and tells when it goes down or comes up.
func (p *Platform) changeInstance(m *listedInstance, change func(*listedInstance)) {
	before := m.up
	change(m)
	if m.up != before {
		p.onPowerChange(m.ID, m.up)
	}
}

// finishReboot ends a reboot that is under way.
func (m *listedInstance) finishReboot() {
	if m.rebooting {
		m.up, m.rebooting, m.State = true, false, lister.Live
		m.Boots++
	}
}

func hasID(id string) func(lister.Listing) bool {
	return func(l lister.Listing) bool { return l.ID == id }
}

// publishAfterDelay shows the list as it is now after the lag.
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
	time.AfterFunc(p.listDelay, func() { p.InjectFaults(func(*PlatformFaults) { publish() }) })
}

// takeOne takes one from a counter of faults and reports whether one was left.
func takeOne(n *int) bool {
	if *n <= 0 {
		return false
	}
	*n--
	return true
}
