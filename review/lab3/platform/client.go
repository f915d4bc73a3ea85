package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Figures of a client, from SYSTEM.md.
const (
	deadlineMs = 3000
	retries    = 4
	retryPause = 300 * time.Millisecond
)

const (
	poolName = "workers"
	host     = "jobs.example"
)

type (
	// client sends the calls of one tenant.
	client struct {
		site   *site
		prefix string
		key    string
		http   *http.Client
	}

	// answer is the answer to a call; status 0 means that there was none.
	answer struct {
		status     int
		body       string
		retryAfter time.Duration
	}

	// step is a step of a job as it is sent.
	step map[string]any
)

// newManifest returns a manifest with a route for ordinary clients and another for a crowd.
func newManifest(version int) map[string]any {
	route := func(name, prefix string) map[string]any {
		return map[string]any{"name": name, "host": host, "prefix": prefix, "kind": "unsafe", "timeout_ms": 3000, "target_latency_ms": 2500, "priority": 0, "service": poolName, "attempts": 3, "stretch": 2.2, "public": false}
	}
	tenant := func(name string) map[string]any {
		return map[string]any{"name": name, "keys": []string{"key-" + name}, "weight": 1.0, "maximum": map[string]int{"cpu": 0, "mem_mb": 0, "gpu": 0}}
	}
	return map[string]any{
		"version":  version,
		"routes":   []any{route("ordinary", "/ordinary/"), route("crowd", "/crowd/")},
		"services": []any{map[string]any{"name": poolName, "health_path": "/health", "max_connections": 64, "protocol": "h1", "tls": false, "admission_check": false, "spare": false}},
		"tenants":  []any{tenant("ordinary"), tenant("crowd"), tenant("crowd2")},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}

func (s *site) newClient(prefix, key string) *client {
	return &client{site: s, prefix: prefix, key: key, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 600, DisableCompression: true}, Timeout: (deadlineMs + 200) * time.Millisecond}}
}

// call sends one call to an entry.
func (c *client) call(e *entry, method, job string, body []byte) answer {
	r, err := http.NewRequestWithContext(context.Background(), method, "http://"+e.front+c.prefix+job, bytes.NewReader(body))
	if err != nil {
		fail("request: %v", err)
	}
	r.Host = host
	r.Header.Set("Authorization", "Bearer "+c.key)
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Deadline-Ms", strconv.Itoa(deadlineMs))
	res, err := c.http.Do(r)
	if err != nil {
		return answer{body: err.Error()}
	}
	defer func() { _ = res.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(res.Body, mib))
	if err != nil {
		return answer{body: err.Error()}
	}
	seconds, _ := strconv.Atoi(res.Header.Get("Retry-After")) // 0 without the header
	return answer{res.StatusCode, string(raw), time.Duration(seconds) * time.Second}
}

// submit hands a job in at one entry after the other until it is accepted, as a client does.
func (c *client) submit(job string, body []byte) answer {
	var last answer
	for n := range retries + 1 {
		e := c.site.entries[n%len(c.site.entries)]
		last = c.call(e, http.MethodPost, job, body)
		c.site.record.add("POST %s at %s: %d %.120s", job, e.name, last.status, last.body)
		if last.status/100 == 2 || last.status == http.StatusNotFound || last.status == http.StatusBadRequest {
			return last
		}
		time.Sleep(max(retryPause, last.retryAfter))
	}
	return last
}

// state asks all entries in turn for the state of a job until one answers.
func (c *client) state(job string) string {
	for n := range retries + 1 {
		a := c.call(c.site.entries[n%len(c.site.entries)], http.MethodGet, job, nil)
		if a.status == http.StatusOK {
			var b struct {
				State string `json:"state"`
			}
			if json.Unmarshal([]byte(a.body), &b) == nil {
				return b.State
			}
		}
		if a.status == http.StatusGone {
			return "410"
		}
		time.Sleep(retryPause)
	}
	return "no answer"
}

// encodeJob returns the body of a job. Unlike the encoder's default, it escapes no more
// than JSON asks for.
func encodeJob(spec string, steps ...step) []byte {
	var b bytes.Buffer
	enc := json.NewEncoder(&b)
	enc.SetEscapeHTML(false)
	if err := enc.Encode(map[string]any{"spec": spec, "steps": steps}); err != nil {
		fail("job: %v", err)
	}
	return bytes.TrimSpace(b.Bytes())
}

// ordinaryJob is a small job that any worker can run at once.
func ordinaryJob() []byte {
	return encodeJob("ordinary", step{"count": 2, "cpu": 500, "mem_mb": 256, "estimated_ms": 300})
}

// ordinaryResult is what ordinary clients saw.
type ordinaryResult struct {
	mu                                  sync.Mutex
	sent, accepted, completed, unserved int
}

// sendOrdinary hands in an ordinary job at intervals for some time, and returns when all
// that were accepted have been completed, or patience after the last one is over.
func (s *site) sendOrdinary(first int, interval, length, patience time.Duration) *ordinaryResult {
	res, c := &ordinaryResult{}, s.newClient("/ordinary/", "key-ordinary")
	var wg sync.WaitGroup
	until := time.Now().Add(length)
	for n := first; time.Now().Before(until); n++ {
		wg.Go(func() { s.followOrdinary(c, fmt.Sprintf("%016x", 0xabc000000000+n), until.Add(patience), res) })
		time.Sleep(interval)
	}
	wg.Wait()
	s.record.add("ordinary jobs: %d sent, %d accepted, %d completed, %d not served", res.sent, res.accepted, res.completed, res.unserved)
	return res
}

func (s *site) followOrdinary(c *client, job string, until time.Time, res *ordinaryResult) {
	add := func(n *int) {
		res.mu.Lock()
		defer res.mu.Unlock()
		*n++
	}
	add(&res.sent)
	if a := c.submit(job, ordinaryJob()); a.status/100 != 2 {
		add(&res.unserved)
		return
	}
	add(&res.accepted)
	state := ""
	for ; time.Now().Before(until); time.Sleep(retryPause) {
		if state = c.state(job); state == "completed" {
			add(&res.completed)
			return
		}
	}
	s.record.add("ordinary job %s was accepted and is %s at the end", job, state)
}
