package admitter

import (
	"encoding/hex"
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/coltsfootlever/coltsfootlever/classifier"
	"github.com/coltsfootlever/coltsfootlever/limiter"
	"github.com/coltsfootlever/coltsfootlever/messenger"
)

const (
	// statusCopies is the memory of a job's status for each byte of its output, which is
	// in it in base64.
	statusCopies   = 4
	sendRetryAfter = time.Second // for an answer for which there was no memory
)

// States of a job.
const (
	underWay = "under-way"
	answered = "answered"
	failed   = "failed"
)

type (
	// Problem is the body of the response to a failed request, in the form of
	// RFC 9457.
	Problem struct {
		Type    string             `json:"type"`
		Title   string             `json:"title"`
		Status  int                `json:"status"`
		Detail  string             `json:"detail"`
		Verdict classifier.Verdict `json:"verdict"`
		Code    classifier.Code    `json:"code"`
		Job     string             `json:"job,omitempty"`
	}

	// Status describes a job.
	Status struct {
		Job     string              `json:"job"`
		State   string              `json:"state"` // under-way, answered or failed
		Verdict *classifier.Verdict `json:"verdict,omitempty"`
		Code    classifier.Code     `json:"code,omitempty"`
		Detail  string              `json:"detail,omitempty"`
		Output  []byte              `json:"output,omitempty"`
		Worker  string              `json:"worker,omitempty"`
	}
)

// newStatus returns the status of a job from its result so far.
func newStatus(id string, answer messenger.Answer, err *classifier.Error) Status {
	s := Status{Job: id, State: answered, Output: answer.Output, Worker: answer.Worker}
	verdict := classifier.Ran
	switch {
	case err == nil:
	case err.Code == classifier.UnderWay:
		s.State = underWay
		return s
	default:
		s.State = failed
		s.Code = err.Code
		s.Detail = err.Message
		verdict = err.Verdict
	}
	s.Verdict = &verdict
	return s
}

// holdAnswer reserves n bytes for an answer that is being sent. When others need the
// memory, the client that takes its answer for the longest is disconnected. The error has
// the verdict Ran, since answers are of jobs that have ended. The caller must close the
// hold when the answer has been sent.
func (a *Admitter) holdAnswer(w http.ResponseWriter, n int) (*limiter.Hold, *classifier.Error) {
	c := http.NewResponseController(w)
	hold := a.budget.Open(func() { _ = c.SetWriteDeadline(time.Unix(1, 0)) }) // without it the time limit of writing applies
	if err := hold.Add(int64(n)); err != nil {
		hold.Close()
		e := &classifier.Error{Verdict: classifier.Ran, Code: classifier.Overloaded, Message: "the job has ended, but no memory is left for its answer: ask for the job's status"}
		return nil, e.WithRetryAfter(sendRetryAfter)
	}
	return hold, nil
}

// writeAnswer writes the complete answer of a job.
func writeAnswer(w http.ResponseWriter, answer messenger.Answer) {
	h := w.Header()
	h.Set("Content-Type", "application/octet-stream")
	h.Set("Content-Length", strconv.Itoa(len(answer.Output)))
	h.Set(VerdictHeader, classifier.Ran.String())
	h.Set(WorkerHeader, answer.Worker)
	h.Set(DigestHeader, hex.EncodeToString(answer.Digest[:]))
	w.WriteHeader(http.StatusOK)
	_, _ = w.Write(answer.Output) // a caller that has disconnected can ask for the job's status
}

// writeProblem writes the problem document of a failed request.
func (a *Admitter) writeProblem(w http.ResponseWriter, r *http.Request, job string, e *classifier.Error) {
	h := w.Header()
	h.Set("Content-Type", "application/problem+json")
	h.Set(VerdictHeader, e.Verdict.String())
	if e.RetryAfter > 0 {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(e.RetryAfter.Seconds()))))
	}
	status := e.Code.HTTPStatus()
	a.log.Debug("caller's request failed", "path", r.URL.Path, "job", job, "code", e.Code, "verdict", e.Verdict.String())
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(Problem{
		Type:    "about:blank",
		Title:   http.StatusText(status),
		Status:  status,
		Detail:  e.Message,
		Verdict: e.Verdict,
		Code:    e.Code,
		Job:     job,
	})
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
