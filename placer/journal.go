package placer

import (
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/coltsfootlever/coltsfootlever/recorder"
)

// recordDecision records a decision about a job.
func (p *Placer) recordDecision(j *job, action string, facts ...recorder.Fact) {
	p.journal(recorder.Decision{
		Time:    time.Now(),
		Entry:   p.self,
		Kind:    recorder.Job,
		Subject: j.task.ID,
		Action:  action,
		Facts:   facts,
	})
}

// recordStart records which worker the current attempt was started on and why.
func (p *Placer) recordStart(j *job, now time.Time) {
	d := recorder.Decision{
		Time:    now,
		Entry:   p.self,
		Kind:    recorder.Job,
		Subject: j.task.ID,
		Action:  "started on worker " + j.attempt.worker.ID,
		Facts: []recorder.Fact{
			{Name: "attempt", Value: strconv.Itoa(j.attempt.number)},
			{Name: "since-acceptance", Value: now.Sub(j.task.Accepted).String()},
			{Name: "pool", Value: j.task.Pool},
			{Name: "slots", Value: strconv.Itoa(j.task.Slots)},
		},
	}
	if len(j.avoidWorkers) > 0 {
		d.Alternatives = []string{"avoided after an earlier attempt: " + strings.Join(slices.Sorted(maps.Keys(j.avoidWorkers)), ", ")}
	}
	p.journal(d)
}
