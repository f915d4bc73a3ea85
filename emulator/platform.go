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
		lag    time.Duration
		reboot time.Duration
		power  func(id string, up bool)

		mu       sync.Mutex
		machines map[string]*machine
		faults   PlatformFaults
		change   int // number of the last change
		shown    int // number of the last change in list
		list     []lister.Listing
	}

	// PlatformFaults are the faults that the platform shows.
	PlatformFaults struct {
		Down                bool
		LoseRebootResponses int // next reboots that take place without an answer
		FailReboots         int // next reboots that do not come back before SetPower
	}

	machine struct {
		lister.Listing
		up        bool
		rebooting bool
	}
)

// NewPlatform returns a platform without instances. A change shows in the list
// after lag; power is called when an instance goes down or comes up, and must not
// call the platform.
func NewPlatform(lag, reboot time.Duration, power func(id string, up bool)) *Platform {
	if power == nil {
		power = func(string, bool) {}
	}
	return &Platform{lag: lag, reboot: reboot, power: power, machines: make(map[string]*machine)}
}

// List returns the instances that were up some time ago, sorted by identity.
func (p *Platform) List(ctx context.Context) ([]lister.Listing, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.Down || ctx.Err() != nil {
		return nil, errors.Trace(lister.ErrUnavailable)
	}
	return slices.Clone(p.list), nil
}

// Reboot restarts an instance. A second order during a reboot changes nothing.
func (p *Platform) Reboot(ctx context.Context, id string) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.Down || ctx.Err() != nil {
		return errors.Trace(lister.ErrUnavailable)
	}
	m, ok := p.machines[id]
	if !ok {
		return errors.Annotatef(lister.ErrNotFound, "%q", id)
	}
	if !m.rebooting {
		p.apply(m, func(m *machine) { m.up, m.rebooting = false, true })
		p.snapshot()
		if !spend(&p.faults.FailReboots) {
			time.AfterFunc(p.reboot, func() { p.edit(named(id), (*machine).boot) })
		}
	}
	if spend(&p.faults.LoseRebootResponses) {
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
		p.machines[l.ID] = &machine{Listing: l, up: true}
	}
	p.snapshot()
}

// MarkLeaving marks an instance as leaving.
func (p *Platform) MarkLeaving(id string) {
	p.edit(named(id), func(m *machine) { m.State = lister.Leaving })
}

// Remove takes an instance off for good.
func (p *Platform) Remove(id string) {
	p.edit(named(id), func(m *machine) {
		m.up, m.rebooting = false, false
		delete(p.machines, id)
	})
}

// SetPower brings the instances that match up or down, such as those of a rack
// or zone. It ends reboots that are under way.
func (p *Platform) SetPower(up bool, match func(lister.Listing) bool) {
	p.edit(match, func(m *machine) { m.up, m.rebooting = up, false })
}

// InjectFaults changes the faults.
func (p *Platform) InjectFaults(change func(*PlatformFaults)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change(&p.faults)
}

// edit changes the instances that match.
func (p *Platform) edit(match func(lister.Listing) bool, change func(*machine)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.machines {
		if match(m.Listing) {
			p.apply(m, change)
		}
	}
	p.snapshot()
}

// apply changes one instance and tells when it goes down or comes up.
func (p *Platform) apply(m *machine, change func(*machine)) {
	before := m.up
	change(m)
	if m.up != before {
		p.power(m.ID, m.up)
	}
}

// boot ends a reboot that is under way.
func (m *machine) boot() {
	if m.rebooting {
		m.up, m.rebooting, m.State = true, false, lister.Live
		m.Boots++
	}
}

func named(id string) func(lister.Listing) bool {
	return func(l lister.Listing) bool { return l.ID == id }
}

// snapshot shows the list as it is now after the lag.
func (p *Platform) snapshot() {
	var list []lister.Listing
	for _, m := range p.machines {
		if m.up {
			list = append(list, m.Listing)
		}
	}
	slices.SortFunc(list, func(a, b lister.Listing) int { return cmp.Compare(a.ID, b.ID) })
	p.change++
	change := p.change
	show := func() {
		if change > p.shown {
			p.list, p.shown = list, change
		}
	}
	if p.lag == 0 {
		show()
		return
	}
	time.AfterFunc(p.lag, func() { p.InjectFaults(func(*PlatformFaults) { show() }) })
}

// spend takes one from a counter of faults and reports whether one was left.
func spend(n *int) bool {
	if *n <= 0 {
		return false
	}
	*n--
	return true
}
