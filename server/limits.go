package server

import (
	"bufio"
	"fmt"
	"math"
	"net"
	"os"
	"runtime/debug"
	"slices"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"

	"github.com/coltsfootlever/coltsfootlever/limiter"
	"github.com/coltsfootlever/coltsfootlever/messenger"
)

const gcPercent = 50 // garbage collection starts when the heap has grown by half

// Shares of the process's memory. What is left is for the entry itself, its calls
// and garbage.
const (
	taskMemoryShare     = 0.2  // tasks that have not ended, from callers and peers
	callerMemoryShare   = 0.1  // callers' requests that are being read
	operatorMemoryShare = 0.05 // operators' requests until they are answered
	peerMemoryShare     = 0.05 // peers' requests that are being read
	heapMemoryShare     = 0.75 // soft limit of the Go runtime
)

// Shares of the connections in the process's descriptors and memory. The remaining
// descriptors are for connections to workers, peers and the platform's services.
var (
	callerConnections   = connectionShare{descriptors: 0.5, memory: 0.1}
	operatorConnections = connectionShare{descriptors: 0.05, memory: 0.01}
	metricsConnections  = connectionShare{descriptors: 0.05, memory: 0.01}
	peerConnections     = connectionShare{descriptors: 0.125, memory: 0.05}
)

const (
	socketBuffer   = 32 << 10 // bytes that the kernel holds of a client's connection
	minMemoryBytes = 32 << 20
	minDescriptors = 64
)

// connectionShare is the share of a listener's connections.
type connectionShare struct {
	descriptors, memory float64
}

// MachineMemory returns the memory of the machine in bytes, or GOMEMLIMIT if that
// is less.
func MachineMemory() (int64, error) {
	f, err := os.Open("/proc/meminfo")
	if err != nil {
		return 0, errors.Annotate(err, "memory of the machine")
	}
	defer func() { _ = f.Close() }()
	for s := bufio.NewScanner(f); s.Scan(); {
		var kb int64
		if _, err := fmt.Sscanf(s.Text(), "MemTotal: %d kB", &kb); err == nil {
			return min(kb<<10, debug.SetMemoryLimit(-1)), nil
		}
	}
	return 0, errors.New("memory of the machine: /proc/meminfo has no MemTotal")
}

// ProcessDescriptors returns how many file descriptors the process may have open.
func ProcessDescriptors() (int, error) {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return 0, errors.Annotate(err, "limit on file descriptors")
	}
	return int(min(limit.Cur, math.MaxInt32)), nil
}

// setDefaultLimits replaces limits of 0 by those of the machine and the process.
func (s *Settings) setDefaultLimits() error {
	var err error
	if s.MemoryBytes == 0 {
		if s.MemoryBytes, err = MachineMemory(); err != nil {
			return errors.Trace(err)
		}
	}
	if s.MaxDescriptors == 0 {
		s.MaxDescriptors, err = ProcessDescriptors()
	}
	return errors.Trace(err)
}

// memoryShare returns a share of the process's memory, in bytes.
func (s *Settings) memoryShare(share float64) int64 {
	return int64(share * float64(s.MemoryBytes))
}

// limitHeap makes the garbage collector start early and work harder near the memory
// limit. It leaves settings from the environment as they are.
func (s *Settings) limitHeap() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
	if debug.SetMemoryLimit(-1) == math.MaxInt64 {
		debug.SetMemoryLimit(s.memoryShare(heapMemoryShare))
	}
}

// newBudget returns a budget of the given share of the process's memory.
func (e *Entry) newBudget(share float64) *limiter.Budget {
	return limiter.NewBudget(0, limiter.WithBytes(e.cfg.memoryShare(share)), limiter.WithBudgetLog(e.cfg.Log))
}

// limitConnections bounds the connections of a listener by their share.
func (s *Settings) limitConnections(l net.Listener, name string, share connectionShare, opts ...limiter.ListenerOption) *limiter.Listener {
	return limiter.NewListener(l, int(share.descriptors*float64(s.MaxDescriptors)), append(opts,
		limiter.WithName(name), limiter.WithConnMemory(s.memoryShare(share.memory)), limiter.WithListenerLog(s.Log))...)
}

// newPeerServer returns the server for messages from other entries, within its share of
// connections and memory.
func (d *Daemon) newPeerServer() *messenger.Server {
	cfg := &d.entry.cfg
	messages := limiter.NewMessageBudget(max(cfg.memoryShare(peerMemoryShare), 2*messenger.MaxRequestBytes), cfg.Log)
	opts := append(slices.Clone(d.peerOptions),
		messenger.WithListener(cfg.limitConnections(d.listeners.Peers, "peers", peerConnections)),
		messenger.WithMessageBudget(messages),
	)
	return messenger.NewServer(d.entry.PeerHandler(), opts...)
}
