package server

import (
	"bufio"
	"fmt"
	"math"
	"os"
	"runtime/debug"

	"github.com/juju/errors"
)

// Shares of the process's memory. What is left is for the entry itself, its calls
// and garbage.
const (
	taskMemoryShare = 0.2  // tasks that have not ended, from callers and peers
	heapMemoryShare = 0.75 // soft limit of the Go runtime
)

const minMemoryBytes = 32 << 20

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

// setDefaultLimits replaces limits of 0 by those of the machine.
func (s *Settings) setDefaultLimits() error {
	var err error
	if s.MemoryBytes == 0 {
		s.MemoryBytes, err = MachineMemory()
	}
	return errors.Trace(err)
}

// memoryShare returns a share of the process's memory, in bytes.
func (s *Settings) memoryShare(share float64) int64 {
	return int64(share * float64(s.MemoryBytes))
}

// limitHeap makes the garbage collector work harder near the memory limit. It
// leaves a limit from the environment as it is.
func (s *Settings) limitHeap() {
	if debug.SetMemoryLimit(-1) == math.MaxInt64 {
		debug.SetMemoryLimit(s.memoryShare(heapMemoryShare))
	}
}
