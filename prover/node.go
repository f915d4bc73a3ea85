package prover

import (
	"context"
	"sync/atomic"

	"github.com/coltsfootlever/coltsfootlever/server"
)

// Node is one process of an entry instance.
type Node struct {
	Instance string
	Zone     string
	Peers    string // address
	Callers  string // address

	gate            *gate
	entry           *server.Entry
	listUnreachable atomic.Bool // calls to the instance list fail, also orders to reboot an instance
	stopping        atomic.Bool
	stop            context.CancelFunc
	ended           chan struct{} // closed when the entry's Run has returned
	number          int
}

// isAlive reports whether the process has neither been killed nor ended.
func (n *Node) isAlive() bool {
	select {
	case <-n.gate.dead:
		return false
	default:
		return true
	}
}

// run runs the entry until it ends. If nobody killed the process before, run
// calls exited with the entry's error.
func (n *Node) run(ctx context.Context, exited func(error)) {
	err := n.entry.Run(ctx)
	exitedItself := n.isAlive()
	n.gate.kill()
	close(n.ended)
	if exitedItself {
		exited(err)
	}
}

// kill ends the process at once.
func (n *Node) kill() {
	n.gate.kill()
	n.stop()
}
