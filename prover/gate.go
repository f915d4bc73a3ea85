package prover

import (
	"sync"
)

// gate blocks the input and output of an entry process. While the process is
// paused, calls in both directions wait, and the process can't tell for how
// long. After a kill, no call gets through.
type gate struct {
	mu      sync.Mutex
	running chan struct{} // closed while the process runs
	dead    chan struct{} // closed when the process is killed
	paused  bool
	killed  bool
}

func newGate() *gate {
	g := &gate{running: make(chan struct{}), dead: make(chan struct{})}
	close(g.running)
	return g
}

// waitUntilRunning waits while the process is paused. It returns false if the
// process was killed.
func (g *gate) waitUntilRunning() bool {
	g.mu.Lock()
	running, killed := g.running, g.killed
	g.mu.Unlock()
	if killed {
		return false
	}
	select {
	case <-running:
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
		g.running = make(chan struct{})
	}
}

func (g *gate) resume() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.paused {
		g.paused = false
		close(g.running)
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
