package operator

import (
	"context"
	"net/http"
	"net/url"
	"strings"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/classifier"
	"github.com/coltsfootlever/coltsfootlever/collector"
	"github.com/coltsfootlever/coltsfootlever/recorder"
)

type (
	// Explainer finds the decisions on a subject in the journals of all entries
	// and in the ring that the entries share in the key-value service.
	Explainer interface {
		Explain(ctx context.Context, kind recorder.Kind, subject string) (Explanation, error)
	}

	// Explanation holds the recorded decisions on a subject.
	Explanation struct {
		Kind      recorder.Kind       `json:"kind"`
		Subject   string              `json:"subject"`
		Decisions []recorder.Decision `json:"decisions"`         // oldest first
		Missing   []collector.Missing `json:"missing,omitempty"` // entries whose journal could not be read
	}

	explainResource struct {
		explainer Explainer
	}
)

// explainableKinds returns the kinds of subjects whose decisions operators can
// read.
func explainableKinds() []recorder.Kind {
	return []recorder.Kind{recorder.Job, recorder.Instance, recorder.Team, recorder.Move, recorder.Wave}
}

// ExplainResource returns the resource for explanations of decisions.
func ExplainResource(e Explainer) Resource {
	return explainResource{e}
}

// Routes implements Resource.
func (res explainResource) Routes() []Route {
	return []Route{{"GET /explain/{kind}/{id}", res.explain}}
}

func (res explainResource) explain(ctx context.Context, r *Request) (any, error) {
	kind := recorder.Kind(r.Value("kind"))
	if err := checkKind(kind); err != nil {
		return nil, err
	}
	found, err := res.explainer.Explain(ctx, kind, r.Value("id"))
	if err != nil {
		return nil, classifyReadError(err)
	}
	if len(found.Decisions) == 0 {
		return nil, noDecisionsError(found)
	}
	return found, nil
}

func checkKind(kind recorder.Kind) error {
	names := []string{}
	for _, k := range explainableKinds() {
		if k == kind {
			return nil
		}
		names = append(names, string(k))
	}
	return classifier.Refuse(classifier.BadRequest, "no explanations of kind %q; allowed: %s", kind, strings.Join(names, ", "))
}

func noDecisionsError(e Explanation) error {
	text := "no decision on " + string(e.Kind) + " " + e.Subject + " is remembered: look at the spelling; old decisions are forgotten"
	for _, m := range e.Missing {
		text += "; the journal of " + m.Entry + " was not read: " + m.Reason
	}
	return classifier.Refuse(classifier.NotFound, "%s", text)
}

// Explain returns the decisions on a subject.
func (c *Client) Explain(ctx context.Context, kind recorder.Kind, subject string) (Explanation, error) {
	var e Explanation
	path := "/explain/" + url.PathEscape(string(kind)) + "/" + url.PathEscape(subject)
	err := c.Call(ctx, http.MethodGet, path, nil, &e)
	return e, errors.Trace(err)
}
