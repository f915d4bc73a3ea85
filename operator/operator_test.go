package operator_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"strings"
	"testing"

	"github.com/juju/errors"
	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/authenticator"
	"github.com/coltsfootlever/coltsfootlever/classifier"
	"github.com/coltsfootlever/coltsfootlever/distributor"
	"github.com/coltsfootlever/coltsfootlever/operator"
	"github.com/coltsfootlever/coltsfootlever/parser"
)

const bootstrapKey = "bootstrap-key-of-32-characters-or-more"

// stubRuleStore is a RuleStore with fixed rules. Its changes return err, and
// Apply stores the ID of the operator.
type stubRuleStore struct {
	rules      *parser.Rules
	err        error
	operatorID string
}

func (s *stubRuleStore) Rules() *parser.Rules { return s.rules }

func (s *stubRuleStore) Apply(ctx context.Context, _ uint64, _ []byte, operatorID string) (distributor.Applied, error) {
	s.operatorID = operatorID
	return distributor.Applied{Number: 1}, errors.Trace(s.err)
}

func (s *stubRuleStore) AddKey(context.Context, string, parser.Key) (distributor.Applied, error) {
	return distributor.Applied{}, s.err
}

func (s *stubRuleStore) WithdrawKey(context.Context, string, string) (distributor.Applied, error) {
	return distributor.Applied{}, s.err
}

type roundTripperFunc func(r *http.Request) (*http.Response, error)

func (t roundTripperFunc) RoundTrip(r *http.Request) (*http.Response, error) { return t(r) }

func inProcessClient(h http.Handler) *http.Client {
	return &http.Client{Transport: roundTripperFunc(func(r *http.Request) (*http.Response, error) {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, r)
		return w.Result(), nil
	})}
}

func newHandler(s *stubRuleStore, opts ...operator.Option) *operator.Handler {
	h := operator.New(s, opts...)
	h.Register(operator.RulesResource(s), operator.KeysResource(s))
	return h
}

func ExampleHandler_Register() {
	s := &stubRuleStore{}
	h := operator.New(s, operator.WithBootstrapHash(authenticator.Hash(bootstrapKey)))
	h.Register(operator.RulesResource(s))
	client := operator.NewClient([]string{"10.0.0.1:8080"}, bootstrapKey, operator.WithHTTPClient(inProcessClient(h)))
	rules, err := client.Rules(context.Background())
	fmt.Println(rules.Number, err)
	// Output: 0 <nil>
}

func TestOperatorKeys(t *testing.T) {
	rules := &parser.Rules{Number: 3, Keys: []parser.Key{
		{ID: "night", Operator: true, Hash: authenticator.Hash("night-key")},
		{ID: "portal", Team: "leads", Hash: authenticator.Hash("portal-key")},
	}}
	teamsOnly := &parser.Rules{Number: 4, Keys: rules.Keys[1:]}
	bootstrap := operator.WithBootstrapHash(authenticator.Hash(bootstrapKey))
	isolated := operator.WithReadinessCheck(func() error { return classifier.Refuse(classifier.Isolated, "cut off") })
	tests := []struct {
		name  string
		rules *parser.Rules
		key   string
		opts  []operator.Option
		want  classifier.Code
	}{
		{"operator key", rules, "night-key", nil, ""},
		{"team key", rules, "portal-key", nil, classifier.Forbidden},
		{"unknown key", rules, "guess", nil, classifier.Unauthorized},
		{"no key sent", rules, "", nil, classifier.Unauthorized},
		{"withdrawn operator key", teamsOnly, "night-key", []operator.Option{bootstrap}, classifier.Unauthorized},
		{"no operator key exists", teamsOnly, "portal-key", nil, classifier.Unauthorized},
		{"neither rules nor keys", nil, "", nil, classifier.Unauthorized},
		{"neither rules nor keys, a key sent", nil, "guess", nil, classifier.Unauthorized},
		{"bootstrap key before any rules", nil, bootstrapKey, []operator.Option{bootstrap}, ""},
		{"bootstrap key beside rules", rules, bootstrapKey, []operator.Option{bootstrap}, ""},
		{"rules not loaded yet", nil, "night-key", []operator.Option{bootstrap}, classifier.Unready},
		{"isolated entry may have missed a withdrawal", rules, "night-key", []operator.Option{isolated}, classifier.Isolated},
		{"bootstrap key at an isolated entry", rules, bootstrapKey, []operator.Option{isolated, bootstrap}, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			h := newHandler(&stubRuleStore{rules: tt.rules}, tt.opts...)
			client := operator.NewClient([]string{"entry"}, tt.key, operator.WithHTTPClient(inProcessClient(h)))
			_, err := client.Rules(t.Context())
			if tt.want == "" {
				require.NoError(t, err)
				return
			}
			require.Equal(t, tt.want, classifier.As(err).Code)
			require.Equal(t, classifier.NotRun, classifier.VerdictOf(err))
		})
	}
}

func TestErrorsReachTheClientUnchanged(t *testing.T) {
	faults := parser.Errors{{File: "rules", Line: 1, Column: 2, Found: "x", Allowed: "y"}}
	conflict := &distributor.ConflictError{Base: 1, Number: 2, Complete: true, Changes: []distributor.Summary{{Number: 2, Who: "ana"}}}
	tests := []struct {
		name   string
		err    error
		status int
		target any
	}{
		{"errors in the rules", faults, http.StatusBadRequest, new(parser.Errors)},
		{"conflict", conflict, http.StatusConflict, new(*distributor.ConflictError)},
		{"unknown outcome", classifier.Uncertain(classifier.StoreDown, "perhaps"), http.StatusServiceUnavailable, new(*classifier.Error)},
		{"refusal", classifier.Refuse(classifier.NotFound, "none").WithRetryAfter(1500e6), http.StatusNotFound, new(*classifier.Error)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := &stubRuleStore{err: tt.err}
			h := newHandler(s, operator.WithBootstrapHash(authenticator.Hash(bootstrapKey)))
			client := operator.NewClient([]string{"entry"}, bootstrapKey, operator.WithHTTPClient(inProcessClient(h)))
			_, err := client.Apply(t.Context(), operator.ApplyRequest{})
			require.ErrorAs(t, err, tt.target)
			require.Equal(t, tt.err.Error(), err.Error())
			require.Equal(t, "bootstrap", s.operatorID)

			w := httptest.NewRecorder()
			r := httptest.NewRequest(http.MethodPut, operator.Prefix+"/rules", strings.NewReader("{}"))
			r.Header.Set("Authorization", "Bearer "+bootstrapKey)
			h.ServeHTTP(w, r)
			require.Equal(t, tt.status, w.Code)
			require.Equal(t, operator.NewProblem(tt.err).Verdict.String(), w.Header().Get(operator.VerdictHeader))
		})
	}
}

func TestBadRequests(t *testing.T) {
	h := newHandler(&stubRuleStore{}, operator.WithBootstrapHash(authenticator.Hash(bootstrapKey)))
	tests := []struct {
		name   string
		method string
		path   string
		body   string
		status int
	}{
		{"not JSON", "PUT", "/rules", "team", http.StatusBadRequest},
		{"unknown key", "PUT", "/rules", `{"bse":1}`, http.StatusBadRequest},
		{"negative base", "PUT", "/rules", `{"base":-1}`, http.StatusBadRequest},
		{"two objects", "PUT", "/rules", `{}{}`, http.StatusBadRequest},
		{"too large", "PUT", "/rules", `{"text":"` + strings.Repeat("x", 5<<20) + `"}`, http.StatusBadRequest},
		{"a key instead of its hash", "POST", "/keys", `{"id":"a","hash":"secret"}`, http.StatusBadRequest},
		{"unknown resource", "GET", "/nouns", "", http.StatusNotFound},
		{"unknown method", "PATCH", "/rules", "{}", http.StatusNotFound},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			w := httptest.NewRecorder()
			r := httptest.NewRequest(tt.method, operator.Prefix+tt.path, strings.NewReader(tt.body))
			r.Header.Set("Authorization", "Bearer "+bootstrapKey)
			h.ServeHTTP(w, r)
			require.Equal(t, tt.status, w.Code, w.Body.String())
			require.Equal(t, "not-run", w.Header().Get(operator.VerdictHeader))
		})
	}
}

func TestLostResponsesMayHaveRun(t *testing.T) {
	calls := 0
	lost := &http.Client{Transport: roundTripperFunc(func(r *http.Request) (*http.Response, error) {
		calls++
		httptrace.ContextClientTrace(r.Context()).GotConn(httptrace.GotConnInfo{})
		return nil, errors.New("connection reset")
	})}
	client := operator.NewClient([]string{"one", "two"}, "key", operator.WithHTTPClient(lost))
	_, err := client.Apply(t.Context(), operator.ApplyRequest{})
	require.Equal(t, classifier.MayHaveRun, classifier.VerdictOf(err))
	require.Equal(t, 1, calls, "a change that may have run must not be sent to another entry")
	_, err = client.Rules(t.Context())
	require.Equal(t, classifier.NotRun, classifier.VerdictOf(err))
	require.Equal(t, 3, calls, "a read must be sent to the next entry")
}

func TestBootstrapHash(t *testing.T) {
	hash := authenticator.Hash(bootstrapKey)
	for value, want := range map[string]string{bootstrapKey: hash, hash: hash, "short": "", "sha256:abc": ""} {
		got, err := operator.BootstrapHash(value)
		require.Equal(t, want, got)
		require.Equal(t, want == "", err != nil)
	}
}
