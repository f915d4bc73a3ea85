package soaker

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/platform"
)

const (
	restartDelay = 300 * time.Millisecond // time from the exit of a process to its restart; the platform also restarts processes after a short delay
	stopTimeout  = 8 * time.Second        // time from SIGTERM to SIGKILL; above the grace period of 6 s that the platform gives
)

// entryNode is a process of the program that is restarted whenever it exits.
type entryNode struct {
	name           string
	callersAddress string // IP:PORT
	settingsFile   string // path of the settings file
	program        string
	log            *os.File
	storeProxy     *Proxy // forwards the connections of this entry node to the metadata store
	adviceProxy    *Proxy // forwards its connections to the advice service

	mu              sync.Mutex
	cmd             *exec.Cmd
	exited          chan struct{} // closed when the current process has exited
	stopped         bool
	unexpectedExits int  // number of exits without a signal from the soak test
	exitRequested   bool // the current process was sent SIGTERM or SIGKILL
}

// startEntryNode writes the settings of an entry node and starts it.
func (p *emulatedPlatform) startEntryNode(number int, program, dir string) (*entryNode, error) {
	storeProxy, err := p.startProxy(p.storeAddress)
	if err != nil {
		return nil, err
	}
	e := &entryNode{name: fmt.Sprintf("entry-%d", number), program: program, storeProxy: storeProxy}
	if e.adviceProxy, err = p.startAdviceProxy(e.name); err != nil {
		return nil, err
	}
	// No outgoing connection uses this IP address, so none can take the port of an
	// entry node while it restarts.
	ip := fmt.Sprintf("127.1.%d.%d", os.Getpid()%250, number+1)
	ready, err := freeAddress(ip)
	if err != nil {
		return nil, err
	}
	if e.callersAddress, err = freeAddress(ip); err != nil {
		return nil, err
	}
	raw, err := platform.EncodeSettings(platform.Settings{
		Instance: e.name, Zone: zoneName(number), ProcessorShare: 1, MemoryMB: 284, CallersAddress: e.callersAddress, ReadinessAddress: ready,
		StoreAddress: storeProxy.Address(), StoreWritesPerSecond: 400, StoreReadsPerSecond: 2000, InstancesAddress: p.instancesAddress, InstanceOrdersPerSecond: 64, AdviceAddress: e.adviceProxy.Address(),
		Bounds: platform.Bounds{
			MaxLease: maxLease, StateRetention: 2 * time.Minute, MoveTime: moveTime, MaintenanceTime: maintenanceTime, MaxStopTime: 400 * time.Millisecond, ContactTime: 3 * time.Second, EvacuationTime: evacuationTime,
		},
	})
	if err != nil {
		return nil, err
	}
	e.settingsFile = filepath.Join(dir, e.name+".yaml")
	if err := os.WriteFile(e.settingsFile, raw, 0o600); err != nil {
		return nil, errors.Trace(err)
	}
	if e.log, err = os.Create(filepath.Join(dir, e.name+".log")); err != nil {
		return nil, errors.Trace(err)
	}
	return e, e.start()
}

// freeAddress returns an address with a TCP port that is free at present.
func freeAddress(ip string) (string, error) {
	l, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return "", errors.Trace(err)
	}
	return l.Addr().String(), errors.Trace(l.Close())
}

// start starts a process of the program and restarts it whenever it exits.
func (e *entryNode) start() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	cmd := exec.Command(e.program, "run", "--settings", e.settingsFile)
	cmd.Stdout, cmd.Stderr = e.log, e.log
	if err := cmd.Start(); err != nil {
		return errors.Annotatef(err, "%s not started", e.name)
	}
	e.cmd, e.exited, e.exitRequested = cmd, make(chan struct{}), false
	go e.restartOnExit(cmd, e.exited)
	return nil
}

// restartOnExit waits for the process to exit and starts a new one unless the
// entry node was stopped.
func (e *entryNode) restartOnExit(cmd *exec.Cmd, ended chan struct{}) {
	_ = cmd.Wait() // the exit status is not needed: exitRequested tells whether the exit was expected
	close(ended)
	e.mu.Lock()
	if !e.exitRequested {
		e.unexpectedExits++
	}
	restart := !e.stopped
	e.mu.Unlock()
	if !restart {
		return
	}
	time.Sleep(restartDelay)
	e.mu.Lock()
	restart = !e.stopped
	e.mu.Unlock()
	if restart {
		_ = e.start() // the program has started before; if it does not start now, the run reports that no entry node responds
	}
}

// signal sends a signal to the current process. A process that is started later
// does not receive it.
func (e *entryNode) signal(sig syscall.Signal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if sig == syscall.SIGTERM || sig == syscall.SIGKILL {
		e.exitRequested = true
	}
	_ = e.cmd.Process.Signal(sig) // the process may have exited
}

// stop ends the entry node permanently and returns the number of unexpected exits.
func (e *entryNode) stop() int {
	e.mu.Lock()
	e.stopped, e.exitRequested = true, true
	cmd, ended := e.cmd, e.exited
	e.mu.Unlock()
	_ = cmd.Process.Signal(syscall.SIGCONT) // the process may be paused or may have exited
	_ = cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-ended:
	case <-time.After(stopTimeout):
		_ = cmd.Process.Kill() // the process may have exited
		<-ended
	}
	_ = e.log.Close() // an incomplete log file does not invalidate the run
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.unexpectedExits
}
