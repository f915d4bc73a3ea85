package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/coltsfootlever/coltsfootlever/modeler"
)

// The queue with advice, its jobs and the burst.
const (
	decisionTime = 20 * time.Millisecond
	perItemTime  = 3 * time.Millisecond
	ticketTime   = 3 * time.Second
	maxWaiting   = 32 // calls that wait at the advice service

	adviceTaskCPU  = 1800
	adviceTaskTime = time.Second
	jobRate        = 7.0 // a second
	burstFactor    = 2.6
	burstAt        = 10 * time.Second
	burstTime      = 4 * time.Second
	adviceTraffic  = 45 * time.Second
)

type (
	// adviceService handles one call after the other, in turn, also if its caller has
	// gone meanwhile.
	adviceService struct {
		calls chan *adviceCall

		mu       sync.Mutex
		issued   map[string]time.Time // when tickets lapse, by ticket
		served   int
		rejected int
		unheard  int // served to callers that had gone by then
	}

	adviceCall struct {
		step    string
		workers []string
		ctx     context.Context
		reply   chan [][2]string
	}
)

func newAdviceService() *adviceService {
	a := &adviceService{calls: make(chan *adviceCall, maxWaiting), issued: make(map[string]time.Time)}
	go a.handleCalls()
	return a
}

// handleCalls serves the calls in the order of their arrival.
func (a *adviceService) handleCalls() {
	for c := range a.calls {
		time.Sleep(decisionTime + time.Duration(len(c.workers))*perItemTime)
		c.reply <- a.issueTickets(c)
		a.count(&a.served)
		if c.ctx.Err() != nil {
			a.count(&a.unheard)
		}
	}
}

// issueTickets allows the step on all workers.
func (a *adviceService) issueTickets(c *adviceCall) [][2]string {
	a.mu.Lock()
	defer a.mu.Unlock()
	var rows [][2]string
	for _, w := range c.workers {
		ticket := fmt.Sprintf("%s/%s/%d", c.step, w, rand.Uint32())
		a.issued[ticket] = time.Now().Add(ticketTime)
		rows = append(rows, [2]string{w, ticket})
	}
	return rows
}

func (a *adviceService) count(n *int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	*n++
}

func (a *adviceService) counts() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return fmt.Sprintf("%d calls served, of them %d to callers that had gone; %d rejected with 429", a.served, a.unheard, a.rejected)
}

func (a *adviceService) isValid(ticket string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return time.Now().Before(a.issued[ticket])
}

func (a *adviceService) manifestEntry() string {
	return fmt.Sprintf(`{"decision_ms":%d,"per_item_ms":%d,"validity_ms":%d}`, decisionTime.Milliseconds(), perItemTime.Milliseconds(), ticketTime.Milliseconds())
}

// ServeHTTP implements http.Handler.
func (a *adviceService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var in struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	c := &adviceCall{step: in.Step, workers: in.Workers, ctx: r.Context(), reply: make(chan [][2]string, 1)}
	select {
	case a.calls <- c:
	default:
		a.count(&a.rejected)
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	select {
	case rows := <-c.reply:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(map[string]any{"allowed": rows, "validity_ms": ticketTime.Milliseconds()})
	case <-r.Context().Done():
	}
}

// playAdvice plays a burst of jobs on a queue with advice.
func playAdvice(t *trial) error {
	advice := newAdviceService()
	fleet, err := t.startSite(siteOptions{
		advice:  advice,
		outcome: func(modeler.TaskID, int) (time.Duration, modeler.EndKind) { return adviceTaskTime, modeler.EndDone },
	})
	if err != nil {
		return err
	}
	step := fmt.Sprintf(`{"count":6,"cpu":%d,"mem_mb":2500,"estimated_ms":%d`, adviceTaskCPU, adviceTaskTime.Milliseconds())
	body := fmt.Sprintf(`{"spec":"text","steps":[%s},%s,"after":[0]}]}`, step, step)
	jobs := t.sendJobs(adviceTraffic, body, func(since time.Duration) float64 {
		if t.trouble && since >= burstAt && since < burstAt+burstTime {
			return jobRate * burstFactor
		}
		return jobRate
	})
	t.note("traffic has ended; advice: %s", advice.counts())
	time.Sleep(finishTime)
	t.note("the jobs are asked for; advice: %s", advice.counts())
	return t.judgeIdleJobs(fleet, jobs, func(string) int { return adviceTaskCPU })
}
