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

// errorBody tells a caller what went wrong.
type errorBody struct {
	Code    classifier.Code    `json:"code"`
	Verdict classifier.Verdict `json:"verdict"`
	Message string             `json:"message"`
}

// failure returns the answer to a call that failed.
func failure(w http.ResponseWriter, e *classifier.Error) answer {
	if e.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(e.RetryAfter.Seconds()))))
	}
	status := e.Code.HTTPStatus()
	if e.Verdict == classifier.MayHaveRun {
		status = http.StatusGatewayTimeout // the only status that promises nothing
	}
	return answer{status, errorBody{e.Code, e.Verdict, e.Message}}
}

func writeJSON(w http.ResponseWriter, a answer) {
	var raw []byte
	if a.body != nil {
		raw, _ = json.Marshal(a.body) // the bodies are plain structs
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(raw)))
	w.WriteHeader(a.status)
	_, _ = w.Write(raw) // a caller that has left needs no answer
}

// note logs what became of a call.
func (a *Acceptor) note(r *http.Request, req *request, out answer, err error, took time.Duration) {
	attrs := []any{"request", r.Header.Get(platform.HeaderRequest), "method", r.Method, "status", out.status, "took", took.Round(time.Microsecond).String()}
	if req != nil {
		attrs = append(attrs, "job", req.job, "queue", req.queue.Name, "customer", req.customer, "manifest", req.manifest.Version)
	} else {
		attrs = append(attrs, "host", r.Host, "path", r.URL.Path)
	}
	if err != nil {
		attrs = append(attrs, "reason", err.Error())
	}
	meter.Call(r.Method, out.status, took)
	if err != nil {
		meter.Refusal(string(classifier.As(err).Code))
	}
	a.log.Info("call answered", attrs...)
}
