package acceptor

import (
	"encoding/json"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/coltsfootlever/coltsfootlever/classifier"
	"github.com/coltsfootlever/coltsfootlever/meter"
	"github.com/coltsfootlever/coltsfootlever/platform"
)

// errorBody is the response body of a call that failed.
type errorBody struct {
	Code    classifier.Code    `json:"code"`
	Verdict classifier.Verdict `json:"verdict"`
	Message string             `json:"message"`
}

// failureAnswer returns the answer to a call that failed, and sets the header
// Retry-After.
func failureAnswer(w http.ResponseWriter, e *classifier.Error) answer {
	if e.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(e.RetryAfter.Seconds()))))
	}
	status := e.Code.HTTPStatus()
	if e.Verdict == classifier.MayHaveRun {
		status = http.StatusGatewayTimeout // the only status after which the job may or may not run
	}
	return answer{status, errorBody{e.Code, e.Verdict, e.Message}}
}

// writeJSON writes the answer with its body as JSON.
func writeJSON(w http.ResponseWriter, a answer) {
	var raw []byte
	if a.body != nil {
		raw, _ = json.Marshal(a.body) // all bodies can be encoded
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	w.WriteHeader(a.status)
	_, _ = w.Write(raw) // a caller that has disconnected needs no answer
}

// logAnswer logs and counts the answer to a call. req is nil when the call's
// queue is unknown.
func (a *Acceptor) logAnswer(r *http.Request, req *request, out answer, err error, took time.Duration) {
	meter.RecordCall(r.Method, out.status, took)
	if err != nil {
		code := classifier.As(err).Code
		meter.CountRefusal(string(code))
		if (code == classifier.SlowBody || code == classifier.Overloaded) && !a.lines.allow(a.now()) {
			return
		}
	}
	attrs := []any{"request", r.Header.Get(platform.HeaderRequestID), "method", r.Method, "status", out.status, "took", took.Round(time.Microsecond).String()}
	if req != nil {
		attrs = append(attrs, "job", req.job, "queue", req.queue.Name, "customer", req.customer, "manifest", req.manifest.Version)
	} else {
		attrs = append(attrs, "host", r.Host, "path", r.URL.Path)
	}
	if err != nil {
		attrs = append(attrs, "reason", err.Error())
	}
	a.log.Info("caller's request answered", attrs...)
}
