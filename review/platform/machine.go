package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/coltsfootlever/coltsfootlever/modeler"
)

const (
	moveTime     = 1500 * time.Millisecond // move_s
	upkeepTime   = 2 * time.Second         // maintenance_s
	entryExpires = 4500 * time.Millisecond // three ping intervals of 1,500 ms

	stateUp     = "up"
	stateMoving = "moving"
	stateUpkeep = "upkeep"
	stateDown   = "down"
)

type (
	// machine is one machine of the platform. The mutex of the world guards it.
	machine struct {
		Name     string
		Pool     string
		Zone     string
		Labels   []string
		Capacity modeler.Resources
		state    string
		worker   *worker // its present life, nil while it has none
		fence    int64
		begun    map[int64]bool // waves for which its upkeep has begun
	}

	machineOrder struct {
		Machine string `json:"machine"`
		Pool    string `json:"pool"`
		Wave    int64  `json:"wave"`
	}
)

// addMachine adds a machine that is up with a worker, or off if its pool is the spare
// one.
func (w *world) addMachine(name, pool string, labels ...string) (*machine, error) {
	m := &machine{
		Name: name, Pool: pool, Zone: fmt.Sprintf("ph-central-%c", 'a'+len(w.machines)%3), Labels: labels,
		Capacity: modeler.Resources{CPU: 32000, Memory: 65536}, state: stateUp, begun: make(map[int64]bool),
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.machines = append(w.machines, m)
	return m, w.boot(m)
}

// boot starts a new worker on a machine. The caller holds the mutex.
func (w *world) boot(m *machine) error {
	if m.Pool == sparePool {
		return nil
	}
	w.lives++
	v, err := w.startWorker(m, fmt.Sprintf("i-%s-%d", m.Name, w.lives), "127.0.0.1:0")
	if err != nil {
		return err
	}
	m.worker = v
	w.registered[v.ID] = v
	return nil
}

// crash ends the worker of a machine without a word. The machine is down for some time
// and then runs another worker.
func (w *world) crash(m *machine, down time.Duration) {
	w.mu.Lock()
	v := m.worker
	m.worker, m.state = nil, stateDown
	w.mu.Unlock()
	v.kill(fmt.Sprintf("it crashes, and the machine %s is down for %v", m.Name, down))
	time.AfterFunc(entryExpires, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		delete(w.registered, v.ID)
	})
	time.AfterFunc(down, func() { w.comeBack(m) })
}

// comeBack makes a machine run again.
func (w *world) comeBack(m *machine) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed {
		return
	}
	m.state = stateUp
	if err := w.boot(m); err != nil {
		w.rec.note("machine %s does not come back: %v", m.Name, err)
	}
}

// restartUnderItsID ends the worker of a machine and starts it again with the same id
// and address after some time.
func (w *world) restartUnderItsID(m *machine, down time.Duration) error {
	w.mu.Lock()
	v := m.worker
	w.mu.Unlock()
	v.kill("it starts again under its id")
	time.Sleep(down)
	next, err := w.startWorker(m, v.ID, v.Address)
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	m.worker = next
	w.registered[v.ID] = next
	return nil
}

// leave ends the worker of a machine for a move or its upkeep. The caller holds the
// mutex.
func (w *world) leave(m *machine, state, why string, away time.Duration) {
	m.state = state
	if v := m.worker; v != nil {
		m.worker = nil
		delete(w.registered, v.ID)
		go v.kill(why)
	}
	time.AfterFunc(away, func() { w.comeBack(m) })
}

// serveMachines answers the calls about machines.
func (w *world) serveMachines(rw http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet {
		writeJSON(rw, http.StatusOK, w.listMachines())
		return
	}
	var o machineOrder
	token, err := strconv.ParseInt(r.Header.Get("Fencing-Token"), 10, 64)
	if err != nil || json.NewDecoder(r.Body).Decode(&o) != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	status, reason := w.orderMachine(&o, token, strings.HasSuffix(r.URL.Path, "machine-upkeep"))
	w.rec.note("order %s %+v from %s, fence %d: %d %s", r.URL.Path, o, r.Header.Get("Duty-Holder"), token, status, reason)
	writeJSON(rw, status, map[string]any{"reason": reason})
}

func (w *world) listMachines() map[string]any {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lists++
	rows := []map[string]any{}
	for _, m := range w.machines {
		id := ""
		if m.worker != nil {
			id = m.worker.ID
		}
		rows = append(rows, map[string]any{
			"machine": m.Name, "pool": m.Pool, "state": m.state, "zone": m.Zone, "labels": m.Labels, "id": id,
			"capacity": map[string]any{"cpu": m.Capacity.CPU, "mem_mb": m.Capacity.Memory, "gpu": m.Capacity.GPU},
		})
	}
	return map[string]any{"machines": rows, "next_token": ""}
}

// orderMachine carries out a move or an upkeep.
func (w *world) orderMachine(o *machineOrder, token int64, upkeep bool) (status int, reason string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := slices.IndexFunc(w.machines, func(m *machine) bool { return m.Name == o.Machine })
	if n < 0 {
		return http.StatusBadRequest, "no such machine"
	}
	m := w.machines[n]
	if token < m.fence {
		return http.StatusConflict, "fence"
	}
	m.fence = token
	switch {
	case upkeep && m.begun[o.Wave], !upkeep && m.Pool == o.Pool:
		return http.StatusOK, ""
	case upkeep && !slices.Contains(w.waves[o.Wave], m.Name):
		return http.StatusConflict, "wave"
	case m.state != stateUp:
		return http.StatusConflict, "busy"
	case upkeep:
		m.begun[o.Wave] = true
		w.leave(m, stateUpkeep, "upkeep of its machine", upkeepTime)
	default:
		m.Pool = o.Pool
		w.leave(m, stateMoving, "move of its machine", moveTime)
	}
	return http.StatusOK, ""
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body) // an error means that the caller has left
}
