package router

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/coltsfootlever/coltsfootlever/messenger"
	"github.com/coltsfootlever/coltsfootlever/scheduler"
)

const (
	// heardFor is the time for which a peer's loads are relied on.
	heardFor = 6 * time.Second
	// spreadSlack is how much more of a team's work, in tasks a slot, stays here
	// than goes to a peer, since a hop has its cost.
	spreadSlack = 0.5
)

type (
	// Local knows the loads and grants of this member.
	Local interface {
		// PoolLoad returns what this member owns and runs in the pool.
		PoolLoad(pool string) messenger.PoolLoad
		// Room returns the slots that the team may still take here.
		Room(team string) int
		// Holders returns the members that hold grants of the team for a task
		// of so many slots.
		Holders(team string, slots int) []string
	}

	// LoadChooser chooses by the loads that the heartbeats carry: this member
	// while it has a free slot, else a peer with one. When none has, it spreads
	// the tasks of each team over the members in proportion to their slots, so
	// that every member's scheduling sees every team that is backlogged and their
	// shares hold for the pool as a whole, wherever their callers come in.
	LoadChooser struct {
		self   string
		local  Local
		mu     sync.Mutex
		peers  map[string]*peerLoad
		placed map[spot]int // slots of unanswered tasks of this member's callers
	}

	// spot is where tasks of a team have been placed.
	spot struct {
		team, pool, member string
	}

	peerLoad struct {
		heard time.Time
		pools map[string]messenger.PoolLoad
		sent  map[string]int // tasks forwarded since the last heartbeat
	}

	// option is one member that could take a task.
	option struct {
		member string
		free   int
		spread float64 // slots of the team's unanswered tasks placed there, for each slot
		queue  float64 // tasks a slot, waiting and running
	}
)

// NewLoadChooser returns a chooser for the member self.
func NewLoadChooser(self string, local Local) *LoadChooser {
	return &LoadChooser{self: self, local: local, peers: make(map[string]*peerLoad), placed: make(map[spot]int)}
}

// Heard takes the loads of a peer's heartbeat.
func (c *LoadChooser) Heard(hb messenger.Heartbeat) {
	load := &peerLoad{
		heard: time.Now(),
		pools: make(map[string]messenger.PoolLoad, len(hb.Pools)),
		sent:  make(map[string]int),
	}
	for _, l := range hb.Pools {
		load.pools[l.Pool] = l
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peers[hb.From] = load
}

// Placed implements Chooser.
func (c *LoadChooser) Placed(task scheduler.Task, member string) (done func()) {
	at := spot{team: task.Team, pool: task.Pool, member: member}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.placed[at] += task.Slots
	load := c.peers[member]
	if load != nil {
		load.sent[task.Pool] += task.Slots
	}
	return func() { c.answered(at, task.Slots, load) }
}

// answered takes back what Placed counted. A heartbeat that came in the meantime
// has replaced the load, and counts for itself.
func (c *LoadChooser) answered(at spot, slots int, load *peerLoad) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.placed[at] -= slots
	if c.placed[at] <= 0 {
		delete(c.placed, at)
	}
	if load != nil {
		load.sent[at.pool] -= slots
	}
}

// Choose implements Chooser. When every member that could take the task has
// refused it, all are weighed again.
func (c *LoadChooser) Choose(task scheduler.Task, exclude map[string]bool) (string, bool) {
	own, owns := c.ownOption(task)
	stays := owns && !exclude[c.self]
	if stays && own.free >= task.Slots {
		return c.self, true
	}
	best, ok := c.bestPeer(task, exclude)
	if !ok {
		clear(exclude)
		return c.self, owns
	}
	if stays && best.free < task.Slots && own.spread <= best.spread+spreadSlack {
		return c.self, true
	}
	return best.member, true
}

// Better implements Chooser.
func (c *LoadChooser) Better(task scheduler.Task, exclude map[string]bool) bool {
	if _, owns := c.ownOption(task); !owns {
		_, ok := c.bestPeer(task, exclude)
		return ok
	}
	best, ok := c.bestPeer(task, exclude)
	return ok && best.free >= task.Slots
}

// Weighed implements Weigher.
func (c *LoadChooser) Weighed(task scheduler.Task, exclude map[string]bool) []string {
	own, owns := c.ownOption(task)
	weighed := []string{"here: " + own.String()}
	if !owns {
		weighed[0] = "here: no worker in the pool or no grant for the team"
	}
	if best, ok := c.bestPeer(task, exclude); ok {
		weighed = append(weighed, "best peer "+best.member+": "+best.String())
	}
	return weighed
}

// ownOption weighs this member. It is none without a worker in the pool or a
// grant for the team.
func (c *LoadChooser) ownOption(task scheduler.Task) (option, bool) {
	load := c.local.PoolLoad(task.Pool)
	o := weigh(c.self, load, 0)
	c.mu.Lock()
	o.spread = c.spreadAt(task, c.self, load.Slots)
	c.mu.Unlock()
	o.free = min(o.free, c.local.Room(task.Team))
	return o, load.Slots > 0 && slices.Contains(c.local.Holders(task.Team, task.Slots), c.self)
}

// bestPeer returns a peer with a free slot, else the one with the least of the
// team's work for its slots.
func (c *LoadChooser) bestPeer(task scheduler.Task, exclude map[string]bool) (option, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var best option
	found := false
	for _, member := range c.local.Holders(task.Team, task.Slots) {
		load, ok := c.peers[member]
		if !ok || exclude[member] || time.Since(load.heard) > heardFor {
			continue
		}
		pool := load.pools[task.Pool]
		if pool.Slots == 0 {
			continue
		}
		o := weigh(member, pool, load.sent[task.Pool])
		o.spread = c.spreadAt(task, member, pool.Slots)
		if !found || o.before(best) {
			best = o
			found = true
		}
	}
	return best, found
}

// spreadAt returns the team's unanswered slots at the member for each of its
// slots. The caller holds mu.
func (c *LoadChooser) spreadAt(task scheduler.Task, member string, slots int) float64 {
	placed := c.placed[spot{team: task.Team, pool: task.Pool, member: member}]
	return float64(placed) / float64(max(slots, 1))
}

func weigh(member string, l messenger.PoolLoad, sent int) option {
	busy := l.Running + l.Waiting + sent
	return option{member: member, free: l.Slots - busy, queue: float64(busy) / float64(max(l.Slots, 1))}
}

// String describes the option for an explanation.
func (o option) String() string {
	return fmt.Sprintf("%d free slots, %.1f tasks a slot, %.1f of the team's", max(o.free, 0), o.queue, o.spread)
}

func (o option) before(other option) bool {
	if (o.free > 0) != (other.free > 0) {
		return o.free > 0
	}
	if o.spread != other.spread {
		return o.spread < other.spread
	}
	if o.queue != other.queue {
		return o.queue < other.queue
	}
	return o.member < other.member
}
