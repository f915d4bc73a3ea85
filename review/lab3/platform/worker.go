package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"
)

// Bounds of a small deployment, from SYSTEM.md.
const (
	heartbeat   = 1500 * time.Millisecond
	maxHold     = 10 * time.Second
	stopTime    = 300 * time.Millisecond // at most stop_timeout_ms, which is 400
	startupTime = 300 * time.Millisecond
	maxHoldWait = 2 * time.Second
	maxEnds     = 500
	fullPercent = 100
	clockStart  = 1000
	taskFields  = 4
)

type (
	// run is a run of a subtask on a worker.
	run struct {
		number int
		began  time.Time
	}

	// life is one process of a worker.
	life struct {
		born     int64
		began    time.Time
		up       bool
		token    int64
		deadline time.Time // until which the lease holds
		runs     map[string]*run
		finished map[string]int // highest run that has ended or was stopped
		ended    [][]any
		counter  int64
		changed  chan struct{}
		sequence int
	}

	// worker is a stand-in of a worker under one id. Its processes may follow each other.
	worker struct {
		fleet   *fleet
		id      string
		machine string
		pool    string
		zone    string
		rack    string
		address string
		life    *life // guarded by the fleet's mutex, like all of it
	}

	// fleet is all workers of the deployment.
	fleet struct {
		store   *store
		record  *record
		mu      sync.Mutex
		workers []*worker
		// taskTime returns how long a run works; a negative time means that it lasts.
		taskTime func(job string) time.Duration
		// late returns how long a start stays unanswered before it is carried out, 0 for a
		// start that is answered.
		late func(w *worker, task string, number int) time.Duration
		// overlaps contains the subtasks of which two runs were at work at the same time.
		overlaps []string
	}

	startBody struct {
		Task       string `json:"task"`
		Run        int    `json:"run"`
		DeadlineMs int64  `json:"deadline_ms"`
		Token      int64  `json:"fencing_token"`
	}
)

func newFleet(s *store, rec *record) *fleet {
	return &fleet{store: s, record: rec, taskTime: func(string) time.Duration { return 0 }, late: func(*worker, string, int) time.Duration { return 0 }}
}

// add starts a worker and its machine.
func (f *fleet) add(n int, pool, zone string) *worker {
	w := &worker{fleet: f, id: fmt.Sprintf("i-%08x", 0x10000000+n), machine: fmt.Sprintf("m-%05x", n), pool: pool, zone: zone, rack: fmt.Sprintf("r1-%d", n/4)}
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		fail("listening for a worker: %v", err)
	}
	w.address = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /coltsfootlever/run-start", w.handle(w.start))
	mux.HandleFunc("POST /coltsfootlever/run-stop", w.handle(w.stop))
	mux.HandleFunc("POST /coltsfootlever/pace", w.handle(w.pace))
	mux.HandleFunc("POST /coltsfootlever/hold", w.handle(w.hold))
	mux.HandleFunc("GET /health", func(hw http.ResponseWriter, _ *http.Request) {
		hw.Header().Set("Instance-Id", w.id)
		hw.WriteHeader(http.StatusOK)
	})
	server := &http.Server{Handler: mux, ReadHeaderTimeout: maxWait}
	go func() { _ = server.Serve(l) }() // until the stand-in ends
	f.mu.Lock()
	f.workers = append(f.workers, w)
	f.mu.Unlock()
	w.boot()
	go w.beat()
	return w
}

// boot starts the worker's next process, which knows nothing of the one before.
func (w *worker) boot() {
	w.fleet.mu.Lock()
	w.life = &life{
		born: time.Now().UnixMilli(), began: time.Now(), up: true, runs: make(map[string]*run), finished: make(map[string]int), changed: make(chan struct{}),
	}
	w.fleet.mu.Unlock()
	w.register()
}

// crash ends the worker's process and all that runs on it.
func (w *worker) crash() {
	w.fleet.mu.Lock()
	w.life.up, w.life.runs = false, make(map[string]*run)
	w.life.wake()
	w.fleet.mu.Unlock()
}

// register writes the worker's report about itself.
func (w *worker) register() {
	w.fleet.mu.Lock()
	l := w.life
	if !l.up {
		w.fleet.mu.Unlock()
		return
	}
	l.sequence++
	entry := map[string]any{
		"service": w.pool, "address": w.address, "zone": w.zone, "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0, "machine": w.machine,
		"capacity": capacity(), "labels": []string{"a", w.rack}, "clock_ms": l.clock(), "sequence": l.sequence, "born": l.born,
	}
	w.fleet.mu.Unlock()
	w.fleet.store.putAsPlatform("servers/"+w.id, entry)
}

func capacity() map[string]int64 {
	return map[string]int64{"cpu": 32000, "mem_mb": 65536, "gpu": 0}
}

func (w *worker) beat() {
	silent := 0
	for range time.Tick(heartbeat) {
		w.fleet.mu.Lock()
		up := w.life.up
		w.fleet.mu.Unlock()
		if up {
			silent = 0
			w.register()
			continue
		}
		if silent++; silent == 3 {
			w.fleet.store.dropAsPlatform("servers/" + w.id)
		}
	}
}

func (l *life) clock() int64 { return clockStart + time.Since(l.began).Milliseconds() }

func (l *life) wake() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// handle decodes a call. A worker that is down doesn't answer, and neither does one that
// ends meanwhile.
func (w *worker) handle(call func(hw http.ResponseWriter, r *http.Request, in map[string]json.RawMessage)) http.HandlerFunc {
	return func(hw http.ResponseWriter, r *http.Request) {
		var in map[string]json.RawMessage
		if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
			reply(hw, http.StatusBadRequest, struct{}{})
			return
		}
		w.fleet.mu.Lock()
		up := w.life.up
		w.fleet.mu.Unlock()
		if !up {
			<-r.Context().Done()
			return
		}
		if r.Header.Get("Target-Instance") != w.id {
			reply(hw, http.StatusMisdirectedRequest, map[string]any{"clock_ms": 0})
			return
		}
		call(hw, r, in)
	}
}

func field[T any](in map[string]json.RawMessage, name string) T {
	var v T
	_ = json.Unmarshal(in[name], &v) // a missing field is 0
	return v
}

func (w *worker) start(hw http.ResponseWriter, r *http.Request, in map[string]json.RawMessage) {
	o := startBody{field[string](in, "task"), field[int](in, "run"), field[int64](in, "deadline_ms"), field[int64](in, "fencing_token")}
	if delay := w.fleet.late(w, o.Task, o.Run); delay > 0 {
		w.fleet.record.add("start of %s run %d at %s is not answered, it is carried out %s later", o.Task, o.Run, w.id, delay)
		time.AfterFunc(delay, func() { w.carryOut(&o, "late") })
		<-r.Context().Done()
		return
	}
	reason, clock := w.carryOut(&o, "in time")
	if reason != "" {
		reply(hw, http.StatusConflict, map[string]any{"clock_ms": clock, "reason": reason})
		return
	}
	reply(hw, http.StatusOK, map[string]any{"clock_ms": clock})
}

// carryOut carries out a start by the present process. It returns why it is refused.
func (w *worker) carryOut(o *startBody, when string) (reason string, clock int64) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	l := w.life
	clock = l.clock()
	if !l.up {
		return "down", clock
	}
	defer func() {
		w.fleet.record.add("start of %s run %d at %s, born %d, %s: %s", o.Task, o.Run, w.id, l.born, when, map[bool]string{true: "begun", false: "refused, " + reason}[reason == ""])
	}()
	if o.Token < l.token {
		return "fence", clock
	}
	l.token = o.Token
	if now := l.runs[o.Task]; now != nil && now.number == o.Run {
		return "", clock
	}
	l.extend(o.DeadlineMs)
	switch {
	case o.Run <= l.finished[o.Task]:
		return "old", clock
	case o.DeadlineMs <= clock:
		return "late", clock
	}
	w.fleet.noteStart(w, o.Task)
	r := &run{number: o.Run, began: time.Now()}
	l.runs[o.Task] = r
	if d := w.fleet.taskTime(strings.SplitN(o.Task, ".", taskFields)[0]); d >= 0 {
		time.AfterFunc(d, func() { w.endRun(l, o.Task, r, "done") })
	}
	w.watchLease(l)
	return "", clock
}

// extend extends the lease, which never becomes shorter.
func (l *life) extend(deadlineMs int64) {
	left := min(maxHold, time.Duration(deadlineMs-l.clock())*time.Millisecond)
	if until := time.Now().Add(left); until.After(l.deadline) {
		l.deadline = until
	}
}

// watchLease ends all runs when the lease is over.
func (w *worker) watchLease(l *life) {
	time.AfterFunc(time.Until(l.deadline), func() {
		w.fleet.mu.Lock()
		defer w.fleet.mu.Unlock()
		if w.life != l || len(l.runs) == 0 {
			return
		}
		if time.Now().Before(l.deadline) {
			w.watchLease(l)
			return
		}
		for task, r := range l.runs {
			w.record(l, task, r, "lapsed")
		}
	})
}

func (w *worker) endRun(l *life, task string, r *run, how string) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	if w.life == l && l.up && l.runs[task] == r {
		w.record(l, task, r, how)
	}
}

// record moves a run to the list of the ended ones.
func (w *worker) record(l *life, task string, r *run, how string) {
	delete(l.runs, task)
	l.finished[task] = max(l.finished[task], r.number)
	l.counter++
	l.ended = append(l.ended, []any{l.counter, task, r.number, how, ""})
	w.fleet.record.add("end of %s run %d at %s: %s", task, r.number, w.id, how)
	l.wake()
}

func (w *worker) stop(hw http.ResponseWriter, _ *http.Request, in map[string]json.RawMessage) {
	task, number, token := field[string](in, "task"), field[int](in, "run"), field[int64](in, "fencing_token")
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	l := w.life
	if token < l.token {
		reply(hw, http.StatusConflict, map[string]any{"clock_ms": l.clock(), "reason": "fence"})
		return
	}
	l.token = token
	l.finished[task] = max(l.finished[task], number)
	if r := l.runs[task]; r != nil && r.number == number {
		w.fleet.record.add("stop of %s run %d at %s", task, number, w.id)
		time.AfterFunc(stopTime, func() { w.endRun(l, task, r, "stopped") })
	}
	reply(hw, http.StatusOK, map[string]any{"clock_ms": l.clock()})
}

func (w *worker) pace(hw http.ResponseWriter, _ *http.Request, _ map[string]json.RawMessage) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	reply(hw, http.StatusOK, map[string]any{"clock_ms": w.life.clock()})
}

func (w *worker) hold(hw http.ResponseWriter, r *http.Request, in map[string]json.RawMessage) {
	token, deadline, seen := field[int64](in, "fencing_token"), field[int64](in, "deadline_ms"), field[int64](in, "last_seen")
	timeout := time.NewTimer(min(maxHoldWait, time.Duration(field[int64](in, "wait_ms"))*time.Millisecond))
	defer timeout.Stop()
	w.fleet.mu.Lock()
	l := w.life
	if token < l.token {
		clock := l.clock()
		w.fleet.mu.Unlock()
		reply(hw, http.StatusConflict, map[string]any{"clock_ms": clock, "reason": "fence"})
		return
	}
	l.token = token
	if deadline > 0 {
		l.extend(deadline)
	}
	for len(l.ended) > 0 && l.ended[0][0].(int64) <= seen {
		l.ended = l.ended[1:]
	}
	for waiting := true; waiting && l.up && len(l.ended) == 0; {
		changed := l.changed
		w.fleet.mu.Unlock()
		select {
		case <-changed:
		case <-timeout.C:
			waiting = false
		case <-r.Context().Done():
			return
		}
		w.fleet.mu.Lock()
	}
	if !l.up || w.life != l {
		w.fleet.mu.Unlock()
		<-r.Context().Done()
		return
	}
	body := map[string]any{"clock_ms": l.clock(), "born": l.born, "running": l.running(), "ended": append([][]any{}, l.ended[:min(maxEnds, len(l.ended))]...)}
	w.fleet.mu.Unlock()
	reply(hw, http.StatusOK, body)
}

func (l *life) running() [][]any {
	rows := [][]any{}
	for task, r := range l.runs {
		percent := 0
		if time.Since(r.began) > startupTime {
			percent = fullPercent
		}
		rows = append(rows, []any{task, r.number, "", percent, 0})
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i][0].(string) < rows[j][0].(string) })
	return rows
}

// noteStart notes a subtask of which another run is at work on a worker that is up. The
// caller holds the mutex.
func (f *fleet) noteStart(at *worker, task string) {
	for _, w := range f.workers {
		if w == at {
			continue
		}
		if r := w.life.runs[task]; r != nil {
			f.overlaps = append(f.overlaps, task)
			f.record.add("TWO RUNS of %s: run %d is at work at %s while another one begins at %s", task, r.number, w.id, at.id)
		}
	}
}

// twice returns the subtasks of which two runs were at work at the same time.
func (f *fleet) twice() []string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]string(nil), f.overlaps...)
}

// machines serves the list of machines. Orders for machines are refused as busy.
func (f *fleet) machines() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /coltsfootlever/machines", func(hw http.ResponseWriter, _ *http.Request) {
		rows := []any{}
		f.mu.Lock()
		for _, w := range f.workers {
			row := map[string]any{"machine": w.machine, "pool": w.pool, "state": "up", "zone": w.zone, "labels": []string{"a", w.rack}, "capacity": capacity(), "id": w.id}
			if !w.life.up {
				row["state"], row["id"] = "down", ""
			}
			rows = append(rows, row)
		}
		f.mu.Unlock()
		reply(hw, http.StatusOK, map[string]any{"machines": rows, "next_token": nil})
	})
	refuse := func(hw http.ResponseWriter, _ *http.Request) {
		reply(hw, http.StatusConflict, map[string]any{"reason": "busy"})
	}
	mux.HandleFunc("POST /coltsfootlever/machine-move", refuse)
	mux.HandleFunc("POST /coltsfootlever/machine-upkeep", refuse)
	return mux
}
