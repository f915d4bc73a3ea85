package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/coltsfootlever/coltsfootlever/modeler"
	"github.com/coltsfootlever/coltsfootlever/platform"
)

const (
	callTime   = 3 * time.Second
	noAnswer   = 0
	clientLine = "client: %s %s%s at %s -> %d %s"
)

// step returns a step of subtasks that take one core each.
func step(count int, cpu int64, after ...int) modeler.Step {
	return modeler.Step{Count: count, Need: modeler.Resources{CPU: cpu, Memory: 100}, Estimate: 500 * time.Millisecond, After: after}
}

// call sends a request to an entry. The status is noAnswer if no complete answer comes.
func (w *world) call(ctx context.Context, e *entry, method, prefix, job string, body []byte) (int, string) {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+e.front+prefix+job, bytes.NewReader(body))
	if err != nil {
		return noAnswer, ""
	}
	r.Host = routeHost
	r.Header.Set("Authorization", "Bearer "+tenantKey)
	r.Header.Set("Deadline-Ms", fmt.Sprint(callTime.Milliseconds()))
	res, err := http.DefaultClient.Do(r)
	if err != nil {
		w.rec.note(clientLine, method, prefix, job, e.name, noAnswer, "")
		return noAnswer, ""
	}
	defer func() { _ = res.Body.Close() }()
	raw, err := io.ReadAll(res.Body)
	if err != nil {
		return noAnswer, ""
	}
	if method != http.MethodGet {
		w.rec.note(clientLine, method, prefix, job, e.name, res.StatusCode, strings.TrimSpace(string(raw)))
	}
	return res.StatusCode, string(raw)
}

// submit hands a job in, and again after an answer that says neither that it is accepted
// nor that it isn't.
func (w *world) submit(ctx context.Context, job string, steps ...modeler.Step) error {
	return w.submitTo(ctx, routePrefix, job, steps...)
}

func (w *world) submitTo(ctx context.Context, prefix, job string, steps ...modeler.Step) error {
	raw, err := platform.EncodeJob(modeler.Job{Spec: "work of " + job, Steps: steps})
	if err != nil {
		return err
	}
	status := noAnswer
	for n := range 5 {
		if status, _ = w.call(ctx, w.entries[n%len(w.entries)], http.MethodPost, prefix, job, raw); status/100 == 2 {
			return nil
		}
		time.Sleep(500 * time.Millisecond)
	}
	return fmt.Errorf("job %s is not accepted, last status %d", job, status)
}

// jobState returns the state of a job at the first entry that tells one.
func (w *world) jobState(ctx context.Context, job string) string {
	return w.jobStateAt(ctx, routePrefix, job)
}

func (w *world) jobStateAt(ctx context.Context, prefix, job string) string {
	for _, e := range w.entries {
		status, body := w.call(ctx, e, http.MethodGet, prefix, job, nil)
		var s struct {
			State string `json:"state"`
		}
		if status == http.StatusOK && json.Unmarshal([]byte(body), &s) == nil {
			return s.State
		}
	}
	return ""
}

// pendingAt returns the count of jobs that have not begun, as an entry gives it.
func (w *world) pendingAt(ctx context.Context, e *entry) (int, bool) {
	status, body := w.call(ctx, e, http.MethodGet, routePrefix, "", nil)
	var p struct {
		Pending int `json:"pending"`
	}
	ok := status == http.StatusOK && json.Unmarshal([]byte(body), &p) == nil
	w.rec.note(clientLine, http.MethodGet, routePrefix, "", e.name, status, strings.TrimSpace(body))
	return p.Pending, ok
}
