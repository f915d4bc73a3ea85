package router

import (
	"strconv"
	"time"

	"github.com/coltsfootlever/coltsfootlever/classifier"
	"github.com/coltsfootlever/coltsfootlever/messenger"
	"github.com/coltsfootlever/coltsfootlever/recorder"
	"github.com/coltsfootlever/coltsfootlever/scheduler"
)

// recordDecision records a decision about a task.
func (r *Router) recordDecision(task scheduler.Task, action string, facts ...recorder.Fact) {
	r.journal(recorder.Decision{
		Time:    time.Now(),
		Entry:   r.members.Self().ID,
		Kind:    recorder.Job,
		Subject: task.ID,
		Action:  action,
		Facts:   facts,
	})
}

// recordForward records the peer that a task is forwarded to and the members that
// were compared.
func (r *Router) recordForward(task scheduler.Task, to string, refused map[string]bool) {
	d := recorder.Decision{
		Time:    time.Now(),
		Entry:   r.members.Self().ID,
		Kind:    recorder.Job,
		Subject: task.ID,
		Action:  "forwarded to " + to,
		Facts:   []recorder.Fact{{Name: "pool", Value: task.Pool}},
	}
	if w, ok := r.chooser.(ChoiceExplainer); ok {
		d.Alternatives = w.ExplainChoice(task, refused)
	}
	r.journal(d)
}

// recordEnd records how a task that this member accepted ended.
func (r *Router) recordEnd(task scheduler.Task, answer messenger.Answer, err *classifier.Error) {
	facts := []recorder.Fact{
		{Name: "queue", Value: task.Queue},
		{Name: "team", Value: task.Team},
		{Name: "class", Value: string(task.Class)},
		{Name: "idempotent", Value: strconv.FormatBool(task.Idempotent)},
		{Name: "took", Value: time.Since(task.Accepted).String()},
	}
	if err != nil {
		facts = append(facts, recorder.Fact{Name: "code", Value: string(err.Code)}, recorder.Fact{Name: "detail", Value: err.Message})
		r.recordDecision(task, "ended: "+err.Verdict.String(), facts...)
		return
	}
	facts = append(facts, recorder.Fact{Name: "worker", Value: answer.Worker}, recorder.Fact{Name: "attempt", Value: strconv.Itoa(answer.Attempt)})
	r.recordDecision(task, "ended: "+classifier.Ran.String(), facts...)
}
