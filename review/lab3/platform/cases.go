package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	entries, workers = 3, 4
	poolWorkers      = 12 // of the largest pool of a small deployment

	largeText   = 160_000 // bytes of a label; the body stays below max_body_bytes
	finishTime  = 14 * time.Second
	calmTime    = 3 * time.Second
	crowdTime   = 20 * time.Second
	ordinaryGap = 500 * time.Millisecond

	memoryRule = "no process ends or hangs, each stays within the memory of its machine"
)

// largeJob is a job within the limits of the manifest that no worker can run: none has
// the label.
func largeJob() []byte {
	return encodeJob("large", step{"count": 1, "cpu": 500, "mem_mb": 256, "estimated_ms": 300, "requirements": strings.Repeat("<", largeText)})
}

// manySubtasks: one tenant hands in three jobs of many lasting subtasks, while another
// one's jobs are ordinary.
func manySubtasks(rec *record, program string, trouble bool) int {
	const jobs, subtasks = 3, 5000
	s := newSite(rec, program, entries, poolWorkers, newManifest(1))
	defer s.close()
	s.fleet.taskTime = func(job string) time.Duration {
		if strings.HasPrefix(job, "ffff") {
			return -1
		}
		return 100 * time.Millisecond
	}
	time.Sleep(leadTime)
	rec.add("ordinary jobs before the large ones")
	if before := s.sendOrdinary(0, ordinaryGap, calmTime, finishTime); before.completed == 0 {
		return exitNotRun
	}
	if trouble {
		c := s.newClient("/crowd/", "key-crowd")
		body := encodeJob("lasting", step{"count": subtasks, "cpu": 10, "mem_mb": 1, "estimated_ms": 900, "long_running": true})
		rec.add("%d jobs of %d bytes each are handed in", jobs, len(body))
		for n := range jobs {
			c.submit(fmt.Sprintf("ffff%012x", n), body)
		}
	}
	rec.add("ordinary jobs after the large ones")
	after := s.sendOrdinary(1000, ordinaryGap, crowdTime, finishTime+calmTime)
	_, exits := s.memory()
	lost := after.accepted - after.completed
	return rec.verdict(lost > 0 || exits > 0, fmt.Sprintf("LOST (of %d accepted jobs %d have not ended %s after the traffic; %d processes ended by themselves)", after.accepted, lost, finishTime+calmTime, exits))
}

// waitingJobs: two tenants hand in large jobs that wait, while another one's jobs are ordinary.
func waitingJobs(rec *record, program string, trouble bool) int {
	s := newSite(rec, program, entries, workers, newManifest(1))
	defer s.close()
	time.Sleep(leadTime)
	rec.add("ordinary jobs before the large ones")
	before := s.sendOrdinary(0, ordinaryGap, calmTime, finishTime)
	if before.completed == 0 {
		return exitNotRun
	}
	if trouble {
		rec.add("large jobs are handed in")
		s.handInLargeJobs(crowdTime)
		rec.add("no more large jobs are handed in")
	}
	if e := s.acting(); e != nil {
		rec.add("the machine that last wrote to the store under a condition is stopped as planned")
		e.signal(syscall.SIGTERM, true)
	}
	time.Sleep(calmTime)
	rec.add("ordinary jobs after the large ones")
	after := s.sendOrdinary(1000, ordinaryGap, crowdTime, finishTime+calmTime)
	killed, exits := s.memory()
	lost := after.accepted - after.completed
	return rec.verdict(killed+exits > 0 || lost > 0, fmt.Sprintf("LOST (%d accepted jobs have not ended %s after the traffic) and: %s (%d did not)", lost, finishTime+calmTime, memoryRule, killed+exits))
}

// handInLargeJobs hands in large jobs of two tenants, over two connections each.
func (s *site) handInLargeJobs(length time.Duration) {
	body := largeJob()
	var wg sync.WaitGroup
	var mu sync.Mutex
	answers := make(map[int]int) // by status
	until := time.Now().Add(length)
	for n := range 4 {
		wg.Go(func() {
			c := s.newClient("/crowd/", []string{"key-crowd", "key-crowd2"}[n%2])
			for i := 0; time.Now().Before(until); i++ {
				a := c.call(s.entries[n%len(s.entries)], http.MethodPost, fmt.Sprintf("%08x%08x", n+1, i), body)
				mu.Lock()
				answers[a.status]++
				mu.Unlock()
				if a.status/100 != 2 {
					time.Sleep(max(retryPause, a.retryAfter))
				}
			}
		})
	}
	wg.Wait()
	s.record.add("answers to large jobs, by status (0 for none): %v", answers)
}

// manyQueries: the clients of one tenant ask for the state of one large job, many at once.
func manyQueries(rec *record, program string, trouble bool) int {
	const clientsPerEntry = 500
	s := newSite(rec, program, entries, workers, newManifest(1))
	defer s.close()
	time.Sleep(leadTime)
	crowd := s.newClient("/crowd/", "key-crowd")
	job := fmt.Sprintf("%016x", 0xc0ffee)
	if a := crowd.submit(job, largeJob()); a.status/100 != 2 {
		return exitNotRun
	}
	if before := s.sendOrdinary(0, ordinaryGap, calmTime, finishTime); before.completed == 0 {
		return exitNotRun
	}
	var wg sync.WaitGroup
	if trouble {
		rec.add("%d clients at each entry ask for the state of the large job", clientsPerEntry)
		until := time.Now().Add(crowdTime)
		for n := range clientsPerEntry * entries {
			wg.Go(func() {
				for time.Now().Before(until) {
					if a := crowd.call(s.entries[n%entries], http.MethodGet, job, nil); a.status != http.StatusOK {
						time.Sleep(max(retryPause, a.retryAfter))
					}
				}
			})
		}
	}
	s.sendOrdinary(1000, ordinaryGap, crowdTime, finishTime+calmTime)
	wg.Wait()
	killed, exits := s.memory()
	return rec.verdict(killed+exits > 0, fmt.Sprintf("%s (%d did not)", memoryRule, killed+exits))
}

// lateStart: a start of a lasting subtask stays unanswered and is carried out after its
// worker has crashed and is back under its id.
func lateStart(rec *record, program string, trouble bool) int {
	const (
		late        = 8 * time.Second // from 2 to 12 s
		untilCrash  = 1500 * time.Millisecond
		down        = 6300 * time.Millisecond
		observation = 12 * time.Second
	)
	s := newSite(rec, program, entries, workers, newManifest(1))
	defer s.close()
	s.fleet.taskTime = func(string) time.Duration { return -1 }
	var first *worker
	if trouble {
		s.fleet.late = func(w *worker, _ string, number int) time.Duration {
			s.fleet.mu.Lock()
			defer s.fleet.mu.Unlock()
			if first != nil || number != 1 {
				return 0
			}
			first = w
			return late
		}
	}
	time.Sleep(leadTime)
	c := s.newClient("/ordinary/", "key-ordinary")
	job := fmt.Sprintf("%016x", 0xbeef)
	if a := c.submit(job, encodeJob("lasting", step{"count": 1, "cpu": 500, "mem_mb": 256, "estimated_ms": 900, "long_running": true})); a.status/100 != 2 {
		return exitNotRun
	}
	time.Sleep(untilCrash)
	if trouble {
		s.fleet.mu.Lock()
		w := first
		s.fleet.mu.Unlock()
		if w == nil {
			return exitNotRun
		}
		rec.add("worker %s crashes", w.id)
		w.crash()
		time.Sleep(down)
		rec.add("worker %s is back under its id", w.id)
		w.boot()
	}
	time.Sleep(observation)
	rec.add("the job is %s", c.state(job))
	return rec.verdict(len(s.fleet.twice()) > 0, "TWICE")
}
