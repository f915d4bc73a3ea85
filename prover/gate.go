package prover

import (
	"sync"
)

// gate is the way of a process to the world and back. A paused process neither
// sends nor receives, and does not notice how long; a dead one never again.
type gate struct {
	mu     sync.Mutex
	open   chan struct{} // closed while the process runs
	dead   chan struct{} // closed when it was killed
	paused bool
	killed bool
}

func newGate() *gate {
	g := &gate{open: make(chan struct{}), dead: make(chan struct{})}
	close(g.open)
	return g
}

// waitUntilRunning waits while the process is paused. It returns false when it is dead.
func (g *gate) waitUntilRunning() bool {
	g.mu.Lock()
	open, killed := g.open, g.killed
	g.mu.Unlock()
	if killed {
		return false
	}
	select {
	case <-open:
	case <-g.dead:
	}
	select {
	case <-g.dead:
		return false
	default:
		return true
	}
}

func (g *gate) pause() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.paused {
		g.paused = true
		g.open = make(chan struct{})
	}
}

func (g *gate) resume() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.paused {
		g.paused = false
		close(g.open)
	}
}

func (g *gate) kill() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.killed {
		g.killed = true
		close(g.dead)
	}
}
