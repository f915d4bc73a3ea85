package crowder

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/supervisor"
)

const (
	sampleInterval    = 20 * time.Millisecond
	kiB               = 1 << 10
	miB               = 1 << 20
	establishedState  = "01" // of a TCP connection in /proc/net/tcp
	minSocketFields   = 5    // fields of a line there that are read
	hexBase, dataBits = 16, 64
)

type (
	// process is a process of the program under observation.
	process struct {
		cmd    *exec.Cmd
		log    *os.File
		exited chan struct{}

		mu   sync.Mutex
		peak usage
	}

	// usage is what a process takes up.
	usage struct {
		memory      int64 // bytes that are resident, or received and not yet read
		descriptors int
		sockets     int
	}
)

// startProcess starts the program and observes it until it exits. Its log goes to a file
// in dir.
func startProcess(program, dir string, environment []string, args ...string) (*process, error) {
	log, err := os.Create(filepath.Join(dir, args[0]+".log"))
	if err != nil {
		return nil, errors.Trace(err)
	}
	cmd := exec.Command(program, args...)
	cmd.Stdout, cmd.Stderr, cmd.Env = log, log, append(os.Environ(), environment...)
	if err := cmd.Start(); err != nil {
		return nil, errors.Annotatef(err, "%s %s not started", program, args[0])
	}
	p := &process{cmd: cmd, log: log, exited: make(chan struct{})}
	go func() {
		_ = cmd.Wait() // any exit before stop is a failure, whatever its status
		close(p.exited)
	}()
	return p, nil
}

// isAlive reports whether the process has not exited.
func (p *process) isAlive() bool {
	select {
	case <-p.exited:
		return false
	default:
		return true
	}
}

// observe updates the peak at intervals until ctx ends.
func (p *process) observe(ctx context.Context, listeners ...string) {
	for p.isAlive() {
		p.sample(listeners)
		if supervisor.Pause(ctx, sampleInterval) != nil {
			return
		}
	}
}

// sample updates the peak. A process that exits meanwhile changes nothing.
func (p *process) sample(listeners []string) {
	resident, highest, err := residentBytes(p.cmd.Process.Pid)
	if err != nil {
		return
	}
	unread, err := unreadBytes(p.cmd.Process.Pid, listeners)
	if err != nil {
		return
	}
	descriptors, sockets, err := countDescriptors(p.cmd.Process.Pid)
	if err != nil {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.peak.memory = max(p.peak.memory, resident+unread, highest)
	p.peak.descriptors, p.peak.sockets = max(p.peak.descriptors, descriptors), max(p.peak.sockets, sockets)
}

// highest returns the peak so far.
func (p *process) highest() usage {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.peak
}

// stop kills the process.
func (p *process) stop() {
	_ = p.cmd.Process.Kill() // it may have exited
	<-p.exited
	_ = p.log.Close() // an incomplete log does not invalidate the run
}

// residentBytes returns the resident memory of a process at present and at its peak.
func residentBytes(pid int) (resident, highest int64, err error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, 0, errors.Trace(err)
	}
	for line := range strings.Lines(string(status)) {
		name, value, _ := strings.Cut(line, ":")
		var to *int64
		switch name {
		case "VmRSS":
			to = &resident
		case "VmHWM":
			to = &highest
		default:
			continue
		}
		n, err := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(value), " kB"), 10, dataBits)
		if err != nil {
			return 0, 0, errors.Annotatef(err, "%s of process %d", name, pid)
		}
		*to = n * kiB
	}
	if highest == 0 {
		return 0, 0, errors.NotFoundf("memory of process %d", pid)
	}
	return resident, highest, nil
}

// unreadBytes returns the bytes that connections to the listeners have received and the
// process has not read.
func unreadBytes(pid int, listeners []string) (int64, error) {
	table, err := os.ReadFile(fmt.Sprintf("/proc/%d/net/tcp", pid))
	if err != nil {
		return 0, errors.Trace(err)
	}
	local := make(map[string]bool)
	for _, l := range listeners {
		address, err := net.ResolveTCPAddr("tcp4", l)
		if err != nil {
			return 0, errors.Trace(err)
		}
		ip := address.IP.To4()
		local[fmt.Sprintf("%02X%02X%02X%02X:%04X", ip[3], ip[2], ip[1], ip[0], address.Port)] = true
	}
	total := int64(0)
	for line := range bytes.Lines(table) {
		fields := strings.Fields(string(line))
		if len(fields) < minSocketFields || !local[fields[1]] || fields[3] != establishedState {
			continue
		}
		_, queue, _ := strings.Cut(fields[4], ":")
		n, err := strconv.ParseInt(queue, hexBase, dataBits)
		if err != nil {
			return 0, errors.Annotatef(err, "receive queue %q", fields[4])
		}
		total += n
	}
	return total, nil
}

// countDescriptors returns the number of open descriptors of a process, and how many of
// them are sockets.
func countDescriptors(pid int) (descriptors, sockets int, err error) {
	dir := fmt.Sprintf("/proc/%d/fd", pid)
	entries, err := os.ReadDir(dir)
	if err != nil {
		return 0, 0, errors.Trace(err)
	}
	for _, e := range entries {
		target, err := os.Readlink(filepath.Join(dir, e.Name()))
		if err == nil && strings.HasPrefix(target, "socket:") {
			sockets++
		}
	}
	return len(entries), sockets, nil
}
