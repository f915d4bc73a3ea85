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
	restartDelay = 300 * time.Millisecond // as the platform restarts processes after a short delay
	stopTimeout  = 8 * time.Second        // from SIGTERM to SIGKILL, above the platform's grace of six
)

// entryNode is a real process of the program, restarted whenever it ends.
type entryNode struct {
	name           string
	callersAddress string // IP:PORT
	settingsFile   string // file
	program        string
	log            *os.File
	storeProxy     *Proxy // to the store

	mu              sync.Mutex
	cmd             *exec.Cmd
	exited          chan struct{} // of the present process
	stopped         bool
	unexpectedExits int // ends without a signal of the soak
	exitRequested   bool
}

// startEntryNode writes the settings of an entry and starts it.
func (s *emulatedPlatform) startEntryNode(number int, program, dir string) (*entryNode, error) {
	link, err := s.startProxy(s.storeAddress)
	if err != nil {
		return nil, err
	}
	e := &entryNode{name: fmt.Sprintf("entry-%d", number), program: program, storeProxy: link}
	// No connection begins at this IP, so none can take a port while its entry restarts.
	ip := fmt.Sprintf("127.1.%d.%d", os.Getpid()%250, number+1)
	ready, err := freeAddress(ip)
	if err != nil {
		return nil, err
	}
	if e.callersAddress, err = freeAddress(ip); err != nil {
		return nil, err
	}
	raw, err := platform.EncodeSettings(platform.Settings{
		Instance: e.name, Zone: "zone", ProcessorShare: 1, MemoryMB: 284, CallersAddress: e.callersAddress, ReadinessAddress: ready,
		StoreAddress: link.Address(), StoreWritesPerSecond: 400, StoreReadsPerSecond: 2000, InstancesAddress: s.instancesAddress, InstanceOrdersPerSecond: 64,
		Bounds: platform.Bounds{
			MaxLease: 10 * time.Second, StateRetention: 2 * time.Minute, MoveTime: moveTime, MaintenanceTime: maintenanceTime, MaxStopTime: 400 * time.Millisecond, ContactTime: 3 * time.Second,
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

// freeAddress returns an address that nobody listens at.
func freeAddress(ip string) (string, error) {
	l, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return "", errors.Trace(err)
	}
	return l.Addr().String(), errors.Trace(l.Close())
}

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

// restartOnExit starts the entry again when its process has ended.
func (e *entryNode) restartOnExit(cmd *exec.Cmd, ended chan struct{}) {
	_ = cmd.Wait() // the way it ended is known from the signals
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
		_ = e.start() // a program that was started once starts again; if not, the run finds no entry that answers
	}
}

// signal sends a signal to the present process only.
func (e *entryNode) signal(sig syscall.Signal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if sig == syscall.SIGTERM || sig == syscall.SIGKILL {
		e.exitRequested = true
	}
	_ = e.cmd.Process.Signal(sig) // it may have ended meanwhile
}

// stop ends the entry for good, and reports how often it ended by itself.
func (e *entryNode) stop() int {
	e.mu.Lock()
	e.stopped, e.exitRequested = true, true
	cmd, ended := e.cmd, e.exited
	e.mu.Unlock()
	_ = cmd.Process.Signal(syscall.SIGCONT) // it may be paused, or have ended
	_ = cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-ended:
	case <-time.After(stopTimeout):
		_ = cmd.Process.Kill() // it may have ended meanwhile
		<-ended
	}
	_ = e.log.Close() // what is missing in a log of a test run is not worth failing for
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.unexpectedExits
}
