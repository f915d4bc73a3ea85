package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/coltsfootlever/coltsfootlever/modeler"
)

// The scheduled job and the jobs beside it.
const (
	maxValueBytes       = 1 << 20 // value_bytes of the settings
	scheduledSteps      = 4       // of one subtask each
	scheduledInterval   = 5 * time.Millisecond
	longSchedule        = 20_000 // occurrences
	shortSchedule       = 3_000
	scheduledTaskCPU    = 100
	scheduledTaskTime   = 50 * time.Millisecond
	ordinaryTaskCPU     = 1800
	ordinaryTaskTime    = 500 * time.Millisecond
	ordinaryJobRate     = 2.0 // a second
	scheduleTrafficTime = 70 * time.Second
)

// limitedStore rejects a transaction with a value above maxValueBytes.
type limitedStore struct {
	http.Handler
	largest  atomic.Int64 // bytes of a value
	rejected atomic.Int64
}

// ServeHTTP implements http.Handler.
func (s *limitedStore) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if strings.HasSuffix(r.URL.Path, "/kv-txn") {
		raw, err := io.ReadAll(r.Body)
		var txn struct {
			Set []struct {
				Value []byte `json:"value"`
			} `json:"set_keys"`
		}
		if err == nil {
			err = json.Unmarshal(raw, &txn)
		}
		if err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		for _, p := range txn.Set {
			n := int64(len(p.Value))
			s.largest.Store(max(s.largest.Load(), n))
			if n > maxValueBytes {
				s.rejected.Add(1)
				w.WriteHeader(http.StatusBadRequest)
				return
			}
		}
		r.Body = io.NopCloser(bytes.NewReader(raw))
	}
	s.Handler.ServeHTTP(w, r)
}

// playSchedule plays ordinary jobs beside a job that runs by a schedule, whose record
// of finished subtasks grows with each occurrence.
func playSchedule(t *trial) error {
	scheduled := newID()
	cpuOf := func(job string) int {
		if job == scheduled {
			return scheduledTaskCPU
		}
		return ordinaryTaskCPU
	}
	store := &limitedStore{}
	fleet, err := t.startSite(siteOptions{
		outcome: func(id modeler.TaskID, _ int) (time.Duration, modeler.EndKind) {
			if id.Job == scheduled {
				return scheduledTaskTime, modeler.EndDone
			}
			return ordinaryTaskTime, modeler.EndDone
		},
		wrapStore: func(h http.Handler) http.Handler {
			store.Handler = h
			return store
		},
	})
	if err != nil {
		return err
	}
	if err := t.handInSchedule(scheduled); err != nil {
		return err
	}
	stop := t.every(2*time.Second, func() {
		running, busy := fleet.runningJobs(cpuOf)
		t.note("subtasks of %d jobs run on %d thousandths of a core; largest value sent to the store %d bytes, transactions rejected as too large %d",
			len(running), busy, store.largest.Load(), store.rejected.Load())
	})
	defer stop()
	jobs := t.sendJobs(scheduleTrafficTime, ordinaryJob(), func(time.Duration) float64 { return ordinaryJobRate })
	t.note("traffic has ended")
	time.Sleep(finishTime)
	return t.judgeIdleJobs(fleet, jobs, cpuOf)
}

// ordinaryJob returns a job of one step.
func ordinaryJob() string {
	return fmt.Sprintf(`{"spec":"text","steps":[{"count":4,"cpu":%d,"mem_mb":2500,"estimated_ms":%d}]}`, ordinaryTaskCPU, ordinaryTaskTime.Milliseconds())
}

// handInSchedule hands in the scheduled job, which is short without trouble.
func (t *trial) handInSchedule(id string) error {
	steps := make([]string, scheduledSteps)
	for i := range steps {
		steps[i] = fmt.Sprintf(`{"count":1,"cpu":%d,"mem_mb":16,"estimated_ms":%d}`, scheduledTaskCPU, scheduledTaskTime.Milliseconds())
	}
	repetitions := longSchedule
	if !t.trouble {
		repetitions = shortSchedule
	}
	body := fmt.Sprintf(`{"spec":"text","steps":[%s],"repetitions":%d,"first_run_ms":%d,"interval_ms":%d}`,
		strings.Join(steps, ","), repetitions, time.Now().UnixMilli(), scheduledInterval.Milliseconds())
	status, raw, err := t.call(t.entries[0], http.MethodPost, id, body)
	t.note("job %s with %d repetitions of %d steps handed in: status %d %s, error %v", id, repetitions, scheduledSteps, status, raw, err)
	if err != nil || status != http.StatusOK {
		return fmt.Errorf("the scheduled job was not accepted: status %d, error %w", status, err)
	}
	return nil
}

// every calls fn at intervals until the function that it returns is called.
func (t *trial) every(interval time.Duration, fn func()) (stop func()) {
	done := make(chan struct{})
	go func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(interval):
				fn()
			}
		}
	}()
	return func() { close(done) }
}
