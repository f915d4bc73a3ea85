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
	// maxLoadAge is the age up to which the loads that a peer reported are used.
	maxLoadAge = 6 * time.Second
	// localSpreadAllowance is how many more tasks of a team per slot this
	// member keeps before it forwards to a peer, because forwarding has a cost.
	localSpreadAllowance = 0.5
)

type (
	// LocalState provides the loads of this member and the members' grants.
	LocalState interface {
		// PoolLoad returns the slots of this member's workers in the pool and
		// how many of them are used or waited for.
		PoolLoad(pool string) messenger.PoolLoad
		// FreeGrant returns the number of slots that the team may still use on
		// this member.
		FreeGrant(team string) int
		// GrantHolders returns the IDs of the members that hold grants of the team
		// for a task with this number of slots.
		GrantHolders(team string, slots int) []string
	}

	// LoadChooser chooses a member by the loads reported in heartbeats. It
	// chooses this member while it has a free slot, otherwise a peer with a
	// free slot. If no member has one, it distributes the tasks of each team over
	// the members in proportion to their slots. That way the scheduler of every
	// member sees every team with waiting tasks, and the teams' shares hold for
	// the whole pool, regardless of which members their callers use.
	LoadChooser struct {
		self   string
		local  LocalState
		mu     sync.Mutex
		peers  map[string]*peerLoad
		placed map[placement]int // slots of unanswered tasks that were accepted by this member
	}

	// placement identifies the tasks of a team that are placed on one member.
	placement struct {
		team, pool, member string
	}

	peerLoad struct {
		receivedAt time.Time
		pools      map[string]messenger.PoolLoad
		sent       map[string]int // slots of the tasks forwarded since the last heartbeat, by pool
	}

	// candidate is a member that could run a task.
	candidate struct {
		member    string
		free      int     // number of free slots
		teamLoad  float64 // slots of the team's unanswered tasks placed there, per slot of the member
		totalLoad float64 // slots used and waited for by all teams, per slot of the member
	}
)

// NewLoadChooser returns a chooser for the member with the ID self.
func NewLoadChooser(self string, local LocalState) *LoadChooser {
	return &LoadChooser{self: self, local: local, peers: make(map[string]*peerLoad), placed: make(map[placement]int)}
}

// HandleHeartbeat stores the loads reported in a peer's heartbeat.
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

// RecordPlacement implements Chooser.
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

// removePlacement removes the slots that RecordPlacement added. A later heartbeat
// of the peer has already replaced its load, which is then not affected.
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

// Choose implements Chooser. If every suitable member has refused the task, it
// clears exclude, so that all of them are considered again.
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

// HasWorker implements Chooser.
func (c *LoadChooser) HasWorker(task scheduler.Task) bool {
	return c.local.PoolLoad(task.Pool).Slots > 0
}

// PeerCanStart implements Chooser. If this member cannot run the task at all, every
// suitable peer counts, also one without a free slot.
func (c *LoadChooser) PeerCanStart(task scheduler.Task, exclude map[string]bool) bool {
	if _, owns := c.localCandidate(task); !owns {
		_, ok := c.bestPeer(task, exclude)
		return ok
	}
	best, ok := c.bestPeer(task, exclude)
	return ok && best.free >= task.Slots
}

// ExplainChoice implements ChoiceExplainer.
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

// localCandidate returns this member as a candidate. It reports false if this
// member has no worker in the pool or no grant for the team.
func (c *LoadChooser) localCandidate(task scheduler.Task) (candidate, bool) {
	load := c.local.PoolLoad(task.Pool)
	cand := newCandidate(c.self, load, 0)
	c.mu.Lock()
	cand.teamLoad = c.teamLoadAt(task, c.self, load.Slots)
	c.mu.Unlock()
	cand.free = min(cand.free, c.local.FreeGrant(task.Team))
	return cand, load.Slots > 0 && slices.Contains(c.local.GrantHolders(task.Team, task.Slots), c.self)
}

// bestPeer returns the peer that is the best candidate: one with a free slot, or
// else the one with the least unanswered work of the team per slot.
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
		cand := newCandidate(member, pool, load.sent[task.Pool])
		cand.teamLoad = c.teamLoadAt(task, member, pool.Slots)
		if !found || cand.isBetterThan(best) {
			best = cand
			found = true
		}
	}
	return best, found
}

// teamLoadAt returns the slots of the team's unanswered tasks on the member, per
// slot of the member. The caller must hold c.mu.
func (c *LoadChooser) teamLoadAt(task scheduler.Task, member string, slots int) float64 {
	placed := c.placed[placement{team: task.Team, pool: task.Pool, member: member}]
	return float64(placed) / float64(max(slots, 1))
}

// newCandidate returns the member as a candidate, with its free slots and total
// load.
func newCandidate(member string, l messenger.PoolLoad, sent int) candidate {
	busy := l.Running + l.Waiting + sent
	return candidate{member: member, free: l.Slots - busy, totalLoad: float64(busy) / float64(max(l.Slots, 1))}
}

// String describes the candidate in the explanation of a choice.
func (cand candidate) String() string {
	return fmt.Sprintf("%d free slots, %.1f tasks a slot, %.1f of the team's", max(cand.free, 0), cand.totalLoad, cand.teamLoad)
}

// isBetterThan reports whether cand is preferred to other. A free slot counts
// first, then a low load of the team, then a low total load, then the order of
// IDs.
func (cand candidate) isBetterThan(other candidate) bool {
	if (cand.free > 0) != (other.free > 0) {
		return cand.free > 0
	}
	if cand.teamLoad != other.teamLoad {
		return cand.teamLoad < other.teamLoad
	}
	if cand.totalLoad != other.totalLoad {
		return cand.totalLoad < other.totalLoad
	}
	return cand.member < other.member
}
