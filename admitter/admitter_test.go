package admitter_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/admitter"
	"github.com/coltsfootlever/coltsfootlever/authenticator"
	"github.com/coltsfootlever/coltsfootlever/classifier"
	"github.com/coltsfootlever/coltsfootlever/messenger"
	"github.com/coltsfootlever/coltsfootlever/parser"
	"github.com/coltsfootlever/coltsfootlever/router"
	"github.com/coltsfootlever/coltsfootlever/scheduler"
)

// fullJobs records the tasks submitted and refuses them because the queue is
// full.
type fullJobs struct {
	accepted []scheduler.Task
}

func (j *fullJobs) NewTaskID() string { return "task@entry-1" }

func (j *fullJobs) Accept(_ context.Context, task scheduler.Task) (*router.Job, error) {
	j.accepted = append(j.accepted, task)
	return nil, classifier.Refuse(classifier.QueueFull, "full")
}

func (j *fullJobs) Cancel(context.Context, string) error { return nil }

func (j *fullJobs) JobResult(_ context.Context, team, _ string) (messenger.Answer, error) {
	if team != "leads" {
		return messenger.Answer{}, classifier.Refuse(classifier.Forbidden, "another team's job")
	}
	return messenger.Answer{Output: []byte("done"), Worker: "worker-1"}, nil
}

// rules returns rules with two teams, one of which has an open queue.
func rules() *parser.Rules {
	return &parser.Rules{
		Teams:  []parser.Team{{Name: "leads"}, {Name: "parks"}},
		Queues: []parser.Queue{{Name: "inquiries", Team: "leads"}, {Name: "walk-in", Team: "parks", Open: true}},
		Keys: []parser.Key{
			{ID: "k-leads", Team: "leads", Hash: authenticator.Hash("leads-secret")},
			{ID: "k-parks", Team: "parks", Hash: authenticator.Hash("parks-secret")},
			{ID: "k-op", Operator: true, Hash: authenticator.Hash("op-secret")},
		},
	}
}

// newAdmitter returns an Admitter with a body limit of 16 bytes.
func newAdmitter(j *fullJobs, checkFreshness func() error) *admitter.Admitter {
	return admitter.New(rules, &authenticator.Authenticator{}, checkFreshness, j, admitter.WithMaxBody(16))
}

// alwaysFresh is the freshness check of an entry that cannot have missed a
// change.
func alwaysFresh() error { return nil }

// submit sends a job to a queue and returns the response.
func submit(a http.Handler, queue, key, body string, headers map[string]string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(http.MethodPost, "/v1/queues/"+queue+"/jobs", strings.NewReader(body))
	if key != "" {
		r.Header.Set("Authorization", "Bearer "+key)
	}
	for name, value := range headers {
		r.Header.Set(name, value)
	}
	w := httptest.NewRecorder()
	a.ServeHTTP(w, r)
	return w
}

func TestBadInputIsRefusedWithNotRun(t *testing.T) {
	keyHeader := map[string]string{admitter.IdempotencyKeyHeader: "n"}
	keyHeaderAnd := func(name, value string) map[string]string {
		return map[string]string{admitter.IdempotencyKeyHeader: "n", name: value}
	}
	tests := []struct {
		name    string
		queue   string
		key     string
		body    string
		headers map[string]string
		status  int
		code    classifier.Code
	}{
		{"unknown queue", "nowhere", "leads-secret", "", keyHeader, 404, classifier.UnknownQueue},
		{"no key", "inquiries", "", "", keyHeader, 401, classifier.Unauthorized},
		{"unknown key", "inquiries", "other", "", keyHeader, 401, classifier.Unauthorized},
		{"another team's key", "inquiries", "parks-secret", "", keyHeader, 403, classifier.Forbidden},
		{"operator key", "inquiries", "op-secret", "", keyHeader, 403, classifier.Forbidden},
		{"no idempotency key", "inquiries", "leads-secret", "", nil, 400, classifier.BadRequest},
		{"long idempotency key", "inquiries", "leads-secret", "", keyHeaderAnd(admitter.IdempotencyKeyHeader, strings.Repeat("n", 201)), 400, classifier.BadRequest},
		{"class", "inquiries", "leads-secret", "", keyHeaderAnd(admitter.ClassHeader, "soon"), 400, classifier.BadRequest},
		{"idempotent", "inquiries", "leads-secret", "", keyHeaderAnd(admitter.IdempotentHeader, "1"), 400, classifier.BadRequest},
		{"deadline", "inquiries", "leads-secret", "", keyHeaderAnd(admitter.DeadlineHeader, "-1s"), 400, classifier.BadRequest},
		{"slots", "inquiries", "leads-secret", "", keyHeaderAnd(admitter.SlotsHeader, "0"), 400, classifier.BadRequest},
		{"body", "inquiries", "leads-secret", strings.Repeat("b", 17), keyHeader, 400, classifier.BadRequest},
		{"full", "inquiries", "leads-secret", "body", keyHeader, 429, classifier.QueueFull},
		{"open queue", "walk-in", "", "body", keyHeader, 429, classifier.QueueFull},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := submit(newAdmitter(&fullJobs{}, alwaysFresh), tt.queue, tt.key, tt.body, tt.headers)
			require.Equal(t, tt.status, w.Code)
			require.Equal(t, "not-run", w.Header().Get(admitter.VerdictHeader))
			var p admitter.Problem
			require.NoError(t, json.Unmarshal(w.Body.Bytes(), &p))
			require.Equal(t, tt.code, p.Code)
			require.NotEmpty(t, p.Detail)
		})
	}
}

func TestTaskBelongsToTheTeamOfItsQueue(t *testing.T) {
	j := &fullJobs{}
	submit(newAdmitter(j, alwaysFresh), "walk-in", "leads-secret", "body", map[string]string{admitter.IdempotencyKeyHeader: "n"})
	require.Len(t, j.accepted, 1)
	require.Equal(t, "parks", j.accepted[0].Team)
}

func TestStaleOrClosingEntryAcceptsNothing(t *testing.T) {
	j := &fullJobs{}
	stale := func() error { return classifier.Refuse(classifier.Isolated, "may have missed a change") }
	w := submit(newAdmitter(j, stale), "inquiries", "leads-secret", "", map[string]string{admitter.IdempotencyKeyHeader: "n"})
	require.Equal(t, http.StatusServiceUnavailable, w.Code)
	a := newAdmitter(j, alwaysFresh)
	a.Close()
	w = submit(a, "inquiries", "leads-secret", "", map[string]string{admitter.IdempotencyKeyHeader: "n"})
	require.Equal(t, "1", w.Header().Get("Retry-After"))
	require.Empty(t, j.accepted)
}

func ExampleAdmitter_status() {
	a := newAdmitter(&fullJobs{}, alwaysFresh)
	for _, key := range []string{"leads-secret", "parks-secret"} {
		r := httptest.NewRequest(http.MethodGet, "/v1/jobs/task@entry-1", nil)
		r.Header.Set("Authorization", "Bearer "+key)
		w := httptest.NewRecorder()
		a.ServeHTTP(w, r)
		fmt.Println(w.Code, strings.TrimSpace(w.Body.String()))
	}
	// Output:
	// 200 {"job":"task@entry-1","state":"answered","verdict":"ran","output":"ZG9uZQ==","worker":"worker-1"}
	// 403 {"type":"about:blank","title":"Forbidden","status":403,"detail":"another team's job","verdict":"not-run","code":"forbidden","job":"task@entry-1"}
}
