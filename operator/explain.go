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
	// Explainer finds the decisions on a subject in the journals of all
	// entries.
	Explainer interface {
		Explain(ctx context.Context, kind recorder.Kind, subject string) (Explanation, error)
	}

	// Explanation is what is remembered of the decisions on a subject.
	Explanation struct {
		Kind      recorder.Kind       `json:"kind"`
		Subject   string              `json:"subject"`
		Decisions []recorder.Decision `json:"decisions"`         // oldest first
		Missing   []collector.Missing `json:"missing,omitempty"` // entries whose journal was not read
	}

	explainNoun struct {
		explainer Explainer
	}
)

// explainable are the kinds of subjects that operators ask for.
func explainable() []recorder.Kind {
	return []recorder.Kind{recorder.Job, recorder.Instance, recorder.Team, recorder.Move, recorder.Wave}
}

// ExplainNoun serves explanations.
func ExplainNoun(e Explainer) Noun {
	return explainNoun{e}
}

// Routes implements Noun.
func (n explainNoun) Routes() []Route {
	return []Route{{"GET /explain/{kind}/{id}", n.explain}}
}

func (n explainNoun) explain(ctx context.Context, r *Request) (any, error) {
	kind := recorder.Kind(r.Value("kind"))
	if err := checkKind(kind); err != nil {
		return nil, err
	}
	found, err := n.explainer.Explain(ctx, kind, r.Value("id"))
	if err != nil {
		return nil, readFailed(err)
	}
	if len(found.Decisions) == 0 {
		return nil, notRemembered(found)
	}
	return found, nil
}

func checkKind(kind recorder.Kind) error {
	names := []string{}
	for _, k := range explainable() {
		if k == kind {
			return nil
		}
		names = append(names, string(k))
	}
	return classifier.Refuse(classifier.BadRequest, "no explanations of kind %q; allowed: %s", kind, strings.Join(names, ", "))
}

func notRemembered(e Explanation) error {
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
