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
	// maxLoadAge is the time for which a peer's loads are relied on.
	maxLoadAge = 6 * time.Second
	// localSpreadAllowance is how much more of a team's work, in tasks a slot, stays here
	// than goes to a peer, since a hop has its cost.
	localSpreadAllowance = 0.5
)

type (
	// LocalState knows the loads and grants of this member.
	LocalState interface {
		// PoolLoad returns what this member owns and runs in the pool.
		PoolLoad(pool string) messenger.PoolLoad
		// FreeGrant returns the slots that the team may still take here.
		FreeGrant(team string) int
		// GrantHolders returns the members that hold grants of the team for a task
		// of so many slots.
		GrantHolders(team string, slots int) []string
	}

	// LoadChooser chooses by the loads that the heartbeats carry: this member
	// while it has a free slot, else a peer with one. When none has, it spreads
	// the tasks of each team over the members in proportion to their slots, so
	// that every member's scheduling sees every team that is backlogged and their
	// shares hold for the pool as a whole, wherever their callers come in.
	LoadChooser struct {
		self   string
		local  LocalState
		mu     sync.Mutex
		peers  map[string]*peerLoad
		placed map[placement]int // slots of unanswered tasks of this member's callers
	}

	// placement is where tasks of a team have been placed.
	placement struct {
		team, pool, member string
	}

	peerLoad struct {
		receivedAt time.Time
		pools      map[string]messenger.PoolLoad
		sent       map[string]int // tasks forwarded since the last heartbeat
	}

	// candidate is one member that could take a task.
	candidate struct {
		member    string
		free      int
		teamLoad  float64 // slots of the team's unanswered tasks placed there, for each slot
		totalLoad float64 // tasks a slot, waiting and running
	}
)

// NewLoadChooser returns a chooser for the member self.
func NewLoadChooser(self string, local LocalState) *LoadChooser {
	return &LoadChooser{self: self, local: local, peers: make(map[string]*peerLoad), placed: make(map[placement]int)}
}

// HandleHeartbeat takes the loads of a peer's heartbeat.
func (c *LoadChooser) HandleHeartbeat(hb messenger.Heartbeat) {
	load := &peerLoad{
		receivedAt: time.Now(),
		pools:      make(map[string]messenger.PoolLoad, len(hb.Pools)),
		sent:       make(map[string]int),
	}
	for _, l := range hb.Pools {
		load.pools[l.Pool] = l
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peers[hb.From] = load
}

// Placed implements Chooser.
func (c *LoadChooser) RecordPlacement(task scheduler.Task, member string) (done func()) {
	at := placement{team: task.Team, pool: task.Pool, member: member}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.placed[at] += task.Slots
	load := c.peers[member]
	if load != nil {
		load.sent[task.Pool] += task.Slots
	}
	return func() { c.removePlacement(at, task.Slots, load) }
}

// removePlacement takes back what Placed counted. A heartbeat that came in the meantime
// has replaced the load, and counts for itself.
func (c *LoadChooser) removePlacement(at placement, slots int, load *peerLoad) {
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
	own, owns := c.localCandidate(task)
	stays := owns && !exclude[c.self]
	if stays && own.free >= task.Slots {
		return c.self, true
	}
	best, ok := c.bestPeer(task, exclude)
	if !ok {
		clear(exclude)
		return c.self, owns
	}
	if stays && best.free < task.Slots && own.teamLoad <= best.teamLoad+localSpreadAllowance {
		return c.self, true
	}
	return best.member, true
}

// Better implements Chooser.
func (c *LoadChooser) PeerCanStart(task scheduler.Task, exclude map[string]bool) bool {
	if _, owns := c.localCandidate(task); !owns {
		_, ok := c.bestPeer(task, exclude)
		return ok
	}
	best, ok := c.bestPeer(task, exclude)
	return ok && best.free >= task.Slots
}

// Weighed implements Weigher.
func (c *LoadChooser) ExplainChoice(task scheduler.Task, exclude map[string]bool) []string {
	own, owns := c.localCandidate(task)
	weighed := []string{"here: " + own.String()}
	if !owns {
		weighed[0] = "here: no worker in the pool or no grant for the team"
	}
	if best, ok := c.bestPeer(task, exclude); ok {
		weighed = append(weighed, "best peer "+best.member+": "+best.String())
	}
	return weighed
}

// localCandidate weighs this member. It is none without a worker in the pool or a
// grant for the team.
func (c *LoadChooser) localCandidate(task scheduler.Task) (candidate, bool) {
	load := c.local.PoolLoad(task.Pool)
	o := newCandidate(c.self, load, 0)
	c.mu.Lock()
	o.teamLoad = c.teamLoadAt(task, c.self, load.Slots)
	c.mu.Unlock()
	o.free = min(o.free, c.local.FreeGrant(task.Team))
	return o, load.Slots > 0 && slices.Contains(c.local.GrantHolders(task.Team, task.Slots), c.self)
}

// bestPeer returns a peer with a free slot, else the one with the least of the
// team's work for its slots.
func (c *LoadChooser) bestPeer(task scheduler.Task, exclude map[string]bool) (candidate, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var best candidate
	found := false
	for _, member := range c.local.GrantHolders(task.Team, task.Slots) {
		load, ok := c.peers[member]
		if !ok || exclude[member] || time.Since(load.receivedAt) > maxLoadAge {
			continue
		}
		pool := load.pools[task.Pool]
		if pool.Slots == 0 {
			continue
		}
		o := newCandidate(member, pool, load.sent[task.Pool])
		o.teamLoad = c.teamLoadAt(task, member, pool.Slots)
		if !found || o.betterThan(best) {
			best = o
			found = true
		}
	}
	return best, found
}

// teamLoadAt returns the team's unanswered slots at the member for each of its
// slots. The caller holds mu.
func (c *LoadChooser) teamLoadAt(task scheduler.Task, member string, slots int) float64 {
	placed := c.placed[placement{team: task.Team, pool: task.Pool, member: member}]
	return float64(placed) / float64(max(slots, 1))
}

func newCandidate(member string, l messenger.PoolLoad, sent int) candidate {
	busy := l.Running + l.Waiting + sent
	return candidate{member: member, free: l.Slots - busy, totalLoad: float64(busy) / float64(max(l.Slots, 1))}
}

// String describes the option for an explanation.
func (o candidate) String() string {
	return fmt.Sprintf("%d free slots, %.1f tasks a slot, %.1f of the team's", max(o.free, 0), o.totalLoad, o.teamLoad)
}

func (o candidate) betterThan(other candidate) bool {
	if (o.free > 0) != (other.free > 0) {
		return o.free > 0
	}
	if o.teamLoad != other.teamLoad {
		return o.teamLoad < other.teamLoad
	}
	if o.totalLoad != other.totalLoad {
		return o.totalLoad < other.totalLoad
	}
	return o.member < other.member
}
