package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/coltsfootlever/coltsfootlever/emulator"
	"github.com/coltsfootlever/coltsfootlever/keeper"
)

const (
	program       = "target/coltsfootlever" // as the deploy file starts it
	stopTimeout   = 8 * time.Second         // from SIGTERM to SIGKILL
	callerTimeout = 3 * time.Second         // of one call
	entryCount    = 7
)

type (
	// trial is the surroundings of a case: the platform's store, entries as processes
	// and the record of what is seen.
	trial struct {
		trouble bool // whether the disruption is played
		store   *emulator.MetaStore
		began   time.Time
		folder  string // temporary, for settings files and logs
		client  *http.Client
		servers []*http.Server
		entries []*entry

		mu     sync.Mutex
		record *os.File
	}

	// entry is a process of the program.
	entry struct {
		address  string // for callers
		settings string // path of the settings file
		log      *os.File
		cmd      *exec.Cmd
		exited   chan struct{}
	}

	// site is what the entries' settings name.
	site struct {
		store, cloud, advice string // addresses
	}
)

func newTrial(caseFolder string, trouble bool) (*trial, error) {
	folder, err := os.MkdirTemp("", "trial")
	if err != nil {
		return nil, err
	}
	record, err := os.Create(filepath.Join(caseFolder, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &trial{
		trouble: trouble, store: emulator.NewMetaStore(), began: time.Now(), folder: folder, record: record,
		client: &http.Client{Timeout: callerTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
	}, nil
}

// note writes a line with the time since the start to the record.
func (t *trial) note(format string, args ...any) {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, _ = fmt.Fprintf(t.record, "%8.3f s  %s\n", time.Since(t.began).Seconds(), fmt.Sprintf(format, args...))
}

// serve starts an HTTP server on a free port and returns its address.
func (t *trial) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: callerTimeout}
	t.servers = append(t.servers, s)
	go func() { _ = s.Serve(l) }() // returns when the server is closed
	return l.Addr().String(), nil
}

// putAsOperator writes a key in the name of the operator.
func (t *trial) putAsOperator(key, value string) {
	t.store.PutAsOperator(keeper.Put{Key: key, Value: []byte(value)})
}

// freePort returns a TCP port of an address that is free at present.
func freePort(ip string) (int, error) {
	l, err := net.Listen("tcp4", ip+":0")
	if err != nil {
		return 0, err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().(*net.TCPAddr).Port, nil
}

// startEntries starts the entries, each with a settings file of its own.
func (t *trial) startEntries(s site) error {
	for i := range entryCount {
		ip := fmt.Sprintf("127.%d.%d.%d", 2+os.Getpid()%200, os.Getpid()/200%250, i+1)
		ports := make([]int, 4)
		for n := range ports {
			var err error
			if ports[n], err = freePort(ip); err != nil {
				return err
			}
		}
		name := fmt.Sprintf("front-%d", i+1)
		path := filepath.Join(t.folder, name+".yaml")
		if err := os.WriteFile(path, []byte(settings(name, ip, i, ports, s)), 0o600); err != nil {
			return err
		}
		log, err := os.Create(filepath.Join(t.folder, name+".log"))
		if err != nil {
			return err
		}
		e := &entry{address: fmt.Sprintf("%s:%d", ip, ports[0]), settings: path, log: log}
		if err := e.start(); err != nil {
			return err
		}
		t.note("%s started at %s", name, e.address)
		t.entries = append(t.entries, e)
	}
	return nil
}

// start starts the process of the entry.
func (e *entry) start() error {
	cmd, exited := exec.Command(program, "run"), make(chan struct{})
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "COLTSFOOTLEVER_SETTINGS=" + e.settings}
	cmd.Stdout, cmd.Stderr = e.log, e.log
	if err := cmd.Start(); err != nil {
		return err
	}
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	e.cmd, e.exited = cmd, exited
	return nil
}

// settings returns the settings file of an entry of a small deployment.
func settings(name, ip string, number int, ports []int, s site) string {
	return fmt.Sprintf(`node: %q
role: "entry"
machine_class: "front"
serves: ["front"]
ip: %q
zone: %q
region: "region"
listen:
  front: "%s:%d"
  ready: "%s:%d"
internal_ports: [%d, %d]
bootstrap: true
limits: {cpu_share: 0.4, cores: 1, memory_mb: 284, file_descriptors: 4100, link_mbps: 1000.0, disk_mb: 0}
discovery: "platform"
heartbeat_ms: 1500
bounds:
  contact_ms: 3000
  ack_ms: 4000
  drain_ms: 2000
  grace_s: 6
  quota_overage: 0.1
  max_hold_ms: 10000
  stop_timeout_ms: 400
  gang_timeout_ms: 3000
  cancel_ms: 3000
  visible_ms: 3000
  early_ms: 250
  finish_s: 14
  status_s: 120
  remote_factor: 2
  checkpoint_s: 2
  restore_ms: 100
  notice_ms: 4500
  move_s: 1.5
  maintenance_s: 2
  require_fencing: true
  lease_ms: 3000
  pace_ms: 100
  harm_ms: 4000
orders: "request"
advice: %q
platform: {address: %q, form: "kv", writes_per_s: 400, reads_per_s: 2000, history_s: 20, value_bytes: 1048576, min_ttl_ms: 1000}
cloud: {address: %q, rate_per_s: 64.0, duties_per_s: 64.0}
`, name, ip, zoneName(number), ip, ports[0], ip, ports[1], ports[2], ports[3], s.advice, s.store, s.cloud)
}

// close ends all processes and servers that the trial has started.
func (t *trial) close() {
	for _, e := range t.entries {
		_ = e.cmd.Process.Signal(syscall.SIGTERM)
	}
	for _, e := range t.entries {
		select {
		case <-e.exited:
		case <-time.After(stopTimeout):
			_ = e.cmd.Process.Kill()
			<-e.exited
		}
	}
	for _, s := range t.servers {
		_ = s.Close()
	}
	_ = t.record.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(t.folder)
	} else {
		fmt.Fprintln(os.Stderr, "logs:", t.folder)
	}
}
