package main

import (
	"cmp"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/coltsfootlever/coltsfootlever/modeler"
)

const (
	stopTime      = 100 * time.Millisecond // from a stop to the end of the run; at most stop_timeout_ms, 400
	startupTime   = 300 * time.Millisecond // until a subtask that lasts is at work
	maxHold       = 10 * time.Second       // max_hold_ms
	maxWait       = 2 * time.Second        // of a call of hold
	maxListedEnds = 500
	firstClock    = 1000 // ms that a worker's own clock shows at its start
	readTimeout   = 5 * time.Second
)

type (
	// worker is one life of a worker.
	worker struct {
		modeler.Worker
		w       *world
		machine *machine
		began   time.Time
		server  *http.Server

		mu       sync.Mutex
		dead     bool
		refuses  bool // answers each start with 503
		fence    int64
		lease    int64 // by its own clock
		runs     map[runKey]*activeRun
		highest  map[string]int // highest run of a subtask that was stopped or ended here
		ended    []endedRun
		ends     int64
		lastSeen int64
		holds    int // calls of hold that were answered
		changed  chan struct{}
	}

	runKey struct {
		task string
		run  int
	}

	// activeRun is a run at work.
	activeRun struct {
		began time.Time
		timer *time.Timer
	}

	endedRun struct {
		number int64
		key    runKey
		how    string
	}

	// order is the body of any call to a worker.
	order struct {
		Task     string `json:"task"`
		Run      int    `json:"run"`
		Spec     string `json:"spec"`
		Deadline int64  `json:"deadline_ms"`
		Token    int64  `json:"fencing_token"`
		LastSeen int64  `json:"last_seen"`
		WaitMs   int64  `json:"wait_ms"`
	}
)

// startWorker starts a life of a worker on a machine and listens on address.
func (w *world) startWorker(m *machine, id, address string) (*worker, error) {
	l, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, err
	}
	now := time.Now()
	v := &worker{
		Worker: modeler.Worker{
			ID: id, Address: l.Addr().String(), Pool: m.Pool, Zone: m.Zone, Instance: m.Name,
			Capacity: m.Capacity, Labels: m.Labels, StartTimeMs: now.UnixMilli(),
		},
		w: w, machine: m, began: now, runs: make(map[runKey]*activeRun), highest: make(map[string]int), changed: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", func(http.ResponseWriter, *http.Request) {})
	mux.HandleFunc("POST /coltsfootlever/run-start", v.handle(v.start))
	mux.HandleFunc("POST /coltsfootlever/run-stop", v.handle(v.stop))
	mux.HandleFunc("POST /coltsfootlever/pace", v.handle(v.pace))
	mux.HandleFunc("POST /coltsfootlever/hold", v.handle(v.hold))
	v.server = &http.Server{Handler: mux, ReadHeaderTimeout: readTimeout}
	go func() { _ = v.server.Serve(l) }() // returns when the server is closed
	w.rec.note("worker %s (machine %s, pool %s) starts at %s, born %d", id, m.Name, m.Pool, v.Address, v.StartTimeMs)
	return v, nil
}

// kill ends the life of the worker: its connections break, and nothing runs there any
// more.
func (v *worker) kill(why string) {
	v.mu.Lock()
	v.dead = true
	for _, r := range v.runs {
		r.timer.Stop()
	}
	var lost []string
	for k := range v.runs {
		lost = append(lost, k.task)
	}
	v.runs = make(map[runKey]*activeRun)
	close(v.changed)
	v.changed = make(chan struct{})
	v.mu.Unlock()
	_ = v.server.Close() // breaks all connections
	slices.Sort(lost)
	v.w.rec.note("worker %s ends: %s; its runs end with it: %v", v.ID, why, lost)
}

// handle returns a handler of a call. fn is called with the worker's mutex held and
// returns the status, with the reason of a 409.
func (v *worker) handle(fn func(o *order, r *http.Request) (int, map[string]any)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var o order
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		if r.Header.Get("Target-Instance") != v.ID {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		v.mu.Lock()
		status, body := http.StatusConflict, map[string]any{"reason": "fence"}
		if o.Token >= v.fence {
			v.fence = o.Token
			status, body = fn(&o, r)
		}
		dead := v.dead
		body["clock_ms"], body["born"] = v.clock(), v.StartTimeMs
		v.mu.Unlock()
		if dead {
			panic(http.ErrAbortHandler)
		}
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(body) // an error means that the caller has left
	}
}

func (v *worker) clock() int64 {
	return firstClock + time.Since(v.began).Milliseconds()
}

// extend moves the end of the lease, which never comes sooner, and ends all runs then.
func (v *worker) extend(deadline int64) {
	deadline = min(deadline, v.clock()+maxHold.Milliseconds())
	if deadline <= v.lease {
		return
	}
	v.lease = deadline
	time.AfterFunc(time.Duration(deadline-v.clock())*time.Millisecond, func() {
		v.mu.Lock()
		defer v.mu.Unlock()
		if v.lease > v.clock() {
			return
		}
		for k := range v.runs {
			v.end(k, "lapsed")
		}
	})
}

// start carries out run-start.
func (v *worker) start(o *order, _ *http.Request) (int, map[string]any) {
	k := runKey{o.Task, o.Run}
	switch {
	case v.refuses:
		v.w.rec.note("start of %s run %d on %s: 503, nothing done", o.Task, o.Run, v.ID)
		return http.StatusServiceUnavailable, map[string]any{}
	case v.runs[k] != nil:
		return http.StatusOK, map[string]any{}
	}
	v.extend(o.Deadline)
	reason := ""
	switch {
	case o.Run <= v.highest[o.Task]:
		reason = "old"
	case o.Deadline <= v.clock():
		reason = "late"
	}
	if reason != "" {
		v.w.rec.note("start of %s run %d on %s: 409 %s", o.Task, o.Run, v.ID, reason)
		return http.StatusConflict, map[string]any{"reason": reason}
	}
	r := &activeRun{began: time.Now()}
	r.timer = time.AfterFunc(v.w.workOf(o.Task), func() {
		v.mu.Lock()
		defer v.mu.Unlock()
		v.end(k, "done")
	})
	v.runs[k] = r
	v.w.noteStart(v, k, o.Token)
	return http.StatusOK, map[string]any{}
}

// stop carries out run-stop.
func (v *worker) stop(o *order, _ *http.Request) (int, map[string]any) {
	k := runKey{o.Task, o.Run}
	v.highest[o.Task] = max(v.highest[o.Task], o.Run)
	if r := v.runs[k]; r != nil {
		v.w.noteStop(v, k, time.Since(r.began) >= startupTime)
		r.timer.Stop()
		time.AfterFunc(stopTime, func() {
			v.mu.Lock()
			defer v.mu.Unlock()
			v.end(k, "stopped")
		})
	}
	return http.StatusOK, map[string]any{}
}

// pace carries out pace, which changes nothing here: no subtask fills.
func (v *worker) pace(*order, *http.Request) (int, map[string]any) {
	return http.StatusOK, map[string]any{}
}

// end ends a run that is still at work. The caller holds the mutex.
func (v *worker) end(k runKey, how string) {
	r := v.runs[k]
	if r == nil || v.dead {
		return
	}
	r.timer.Stop()
	delete(v.runs, k)
	v.highest[k.task] = max(v.highest[k.task], k.run)
	v.ends++
	v.ended = append(v.ended, endedRun{v.ends, k, how})
	v.w.noteEnd(v, k, how, v.ends)
	close(v.changed)
	v.changed = make(chan struct{})
}

// finish ends the run of a subtask now as done.
func (v *worker) finish(task string) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for k := range v.runs {
		if k.task == task {
			v.end(k, "done")
		}
	}
}

// hold carries out hold.
func (v *worker) hold(o *order, r *http.Request) (int, map[string]any) {
	if o.Deadline > 0 {
		v.extend(o.Deadline)
	}
	v.forget(o.LastSeen)
	wait := time.NewTimer(min(time.Duration(o.WaitMs)*time.Millisecond, maxWait))
	defer wait.Stop()
	for waiting := o.WaitMs > 0; waiting && len(v.ended) == 0 && !v.dead; {
		changed := v.changed
		v.mu.Unlock()
		select {
		case <-changed:
		case <-wait.C:
			waiting = false
		case <-r.Context().Done():
			waiting = false
		}
		v.mu.Lock()
	}
	if o.Token < v.fence {
		return http.StatusConflict, map[string]any{"reason": "fence"}
	}
	v.holds++
	return http.StatusOK, v.lists()
}

// forget forgets the ends up to a number, which are taken note of by that.
func (v *worker) forget(lastSeen int64) {
	v.lastSeen = max(v.lastSeen, lastSeen)
	v.ended = slices.DeleteFunc(v.ended, func(e endedRun) bool {
		if e.number > lastSeen {
			return false
		}
		v.w.noteSeen(v, e, lastSeen)
		return true
	})
}

// lists returns the lists of runs.
func (v *worker) lists() map[string]any {
	running, ended := [][]any{}, [][]any{}
	for k, r := range v.runs {
		percent := 50
		if time.Since(r.began) >= startupTime {
			percent = 100
		}
		running = append(running, []any{k.task, k.run, "", percent, 0})
	}
	slices.SortFunc(running, func(a, b []any) int { return cmp.Compare(a[0].(string), b[0].(string)) })
	for _, e := range v.ended[:min(len(v.ended), maxListedEnds)] {
		ended = append(ended, []any{e.number, e.key.task, e.key.run, e.how, ""})
	}
	return map[string]any{"running": running, "ended": ended}
}

// state returns what the cases look at.
func (v *worker) state() (holds int, lastSeen int64, runs int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	return v.holds, v.lastSeen, len(v.runs)
}

// setRefuses sets whether the worker answers each start with 503.
func (v *worker) setRefuses(refuses bool) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.refuses = refuses
	v.w.rec.note("worker %s answers starts with 503 from now on: %t", v.ID, refuses)
}
