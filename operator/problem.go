package operator

import (
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/classifier"
	"github.com/coltsfootlever/coltsfootlever/distributor"
	"github.com/coltsfootlever/coltsfootlever/parser"
)

// VerdictHeader is the HTTP header that carries the verdict of a failed call.
const VerdictHeader = "Coltsfootlever-Verdict"

// Problem is the JSON body of a failed call. As an error it unwraps to
// parser.Errors, *distributor.ConflictError or *classifier.Error.
type Problem struct {
	Status       int                        `json:"status"`
	Code         classifier.Code            `json:"code"`
	Verdict      classifier.Verdict         `json:"verdict"`
	Detail       string                     `json:"detail"`
	RetryAfterMS int64                      `json:"retry-after-ms,omitempty"`
	Faults       parser.Errors              `json:"faults,omitempty"`
	Conflict     *distributor.ConflictError `json:"conflict,omitempty"`
}

// NewProblem returns the Problem that describes an error.
func NewProblem(err error) *Problem {
	var faults parser.Errors
	if errors.As(err, &faults) {
		p := newClassifiedProblem(classifier.Refuse(classifier.BadRequest, "the rules have %d faults", len(faults)))
		p.Faults = faults
		return p
	}
	var conflict *distributor.ConflictError
	if errors.As(err, &conflict) {
		p := newClassifiedProblem(classifier.Refuse(classifier.Conflict, "%s", conflict))
		p.Conflict = conflict
		return p
	}
	return newClassifiedProblem(classifier.As(err))
}

func newClassifiedProblem(e *classifier.Error) *Problem {
	return &Problem{
		Status:       e.Code.HTTPStatus(),
		Code:         e.Code,
		Verdict:      e.Verdict,
		Detail:       e.Message,
		RetryAfterMS: e.RetryAfter.Milliseconds(),
	}
}

// Error implements error.
func (p *Problem) Error() string {
	return p.Unwrap().Error()
}

// Unwrap returns the error that the problem describes.
func (p *Problem) Unwrap() error {
	switch {
	case len(p.Faults) > 0:
		return p.Faults
	case p.Conflict != nil:
		return p.Conflict
	default:
		return &classifier.Error{
			Verdict:    p.Verdict,
			Code:       p.Code,
			Message:    p.Detail,
			RetryAfter: time.Duration(p.RetryAfterMS) * time.Millisecond,
		}
	}
}

func (p *Problem) setHeaders(h http.Header) {
	h.Set(VerdictHeader, p.Verdict.String())
	if p.Status == http.StatusUnauthorized {
		h.Set("WWW-Authenticate", "Bearer")
	}
	if p.RetryAfterMS > 0 {
		seconds := (p.RetryAfterMS + 999) / 1000
		h.Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
}
