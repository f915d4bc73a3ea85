package router

import (
	"fmt"
	"sync"
	"time"

	"github.com/coltsfootlever/coltsfootlever/messenger"
	"github.com/coltsfootlever/coltsfootlever/scheduler"
)

// heardFor is the time for which a peer's loads are relied on.
const heardFor = 6 * time.Second

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
	// while it has a free slot, else a peer with one, else the member with the
	// shortest queue for its slots.
	LoadChooser struct {
		self  string
		local Local
		mu    sync.Mutex
		peers map[string]*peerLoad
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
		queue  float64 // tasks a slot, waiting and running
	}
)

// NewLoadChooser returns a chooser for the member self.
func NewLoadChooser(self string, local Local) *LoadChooser {
	return &LoadChooser{self: self, local: local, peers: make(map[string]*peerLoad)}
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

// Sent implements Chooser.
func (c *LoadChooser) Sent(member, pool string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if load, ok := c.peers[member]; ok {
		load.sent[pool]++
	}
}

// Choose implements Chooser.
func (c *LoadChooser) Choose(task scheduler.Task, exclude map[string]bool) (string, bool) {
	own, owns := c.ownOption(task)
	if owns && own.free >= task.Slots {
		return c.self, true
	}
	best, ok := c.bestPeer(task, exclude)
	if !ok {
		return c.self, owns
	}
	if owns && best.free < task.Slots && own.queue <= best.queue+1 {
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
	o.free = min(o.free, c.local.Room(task.Team))
	return o, load.Slots > 0 && contains(c.local.Holders(task.Team, task.Slots), c.self)
}

// bestPeer returns the peer with the most free slots, then the shortest queue.
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
		if !found || o.before(best) {
			best = o
			found = true
		}
	}
	return best, found
}

func weigh(member string, l messenger.PoolLoad, sent int) option {
	busy := l.Running + l.Waiting + sent
	return option{member: member, free: l.Slots - busy, queue: float64(busy) / float64(max(l.Slots, 1))}
}

// String describes the option for an explanation.
func (o option) String() string {
	return fmt.Sprintf("%d free slots, %.1f tasks a slot", max(o.free, 0), o.queue)
}

func (o option) before(other option) bool {
	if (o.free > 0) != (other.free > 0) {
		return o.free > 0
	}
	if o.queue != other.queue {
		return o.queue < other.queue
	}
	return o.member < other.member
}

func contains(members []string, member string) bool {
	for _, m := range members {
		if m == member {
			return true
		}
	}
	return false
}
