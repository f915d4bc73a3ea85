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
		Down         bool
		LoseReboots  int // next reboots that take place without an answer
		BreakReboots int // next reboots that do not come back before SetPower
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
		p.switchPower(m, false)
		m.rebooting = true
		if !spend(&p.faults.BreakReboots) {
			time.AfterFunc(p.reboot, func() { p.booted(m) })
		}
	}
	if spend(&p.faults.LoseReboots) {
		return errors.Trace(lister.ErrUnknown)
	}
	return nil
}

// booted brings a machine back after its reboot.
func (p *Platform) booted(m *machine) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if m.rebooting && p.machines[m.ID] == m {
		m.Boots++
		m.State = lister.Live
		p.switchPower(m, true)
	}
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

// Leave marks an instance as leaving.
func (p *Platform) Leave(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if m, ok := p.machines[id]; ok {
		m.State = lister.LeavingOut
		p.snapshot()
	}
}

// Remove takes an instance off for good.
func (p *Platform) Remove(id string) {
	p.SetPower(false, func(l lister.Listing) bool { return l.ID == id })
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.machines, id)
}

// SetPower brings the instances that match up or down, such as those of a rack
// or zone.
func (p *Platform) SetPower(up bool, match func(lister.Listing) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, m := range p.machines {
		if match(m.Listing) && (m.up != up || m.rebooting) {
			p.switchPower(m, up)
		}
	}
}

// Inject changes the faults.
func (p *Platform) Inject(change func(*PlatformFaults)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change(&p.faults)
}

func (p *Platform) switchPower(m *machine, up bool) {
	m.up, m.rebooting = up, false
	p.snapshot()
	p.power(m.ID, up)
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
	time.AfterFunc(p.lag, func() { p.Inject(func(*PlatformFaults) { show() }) })
}

// spend takes one from a counter of faults and reports whether one was left.
func spend(n *int) bool {
	if *n <= 0 {
		return false
	}
	*n--
	return true
}
