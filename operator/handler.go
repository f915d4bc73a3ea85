// Package operator serves the operators' HTTP interface and provides the client
// for it. A resource, such as rules or keys, defines its routes. Every call
// needs an operator key: either a key of the rules in force or the bootstrap
// key of the entry's settings.
package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"slices"
	"strings"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/authenticator"
	"github.com/coltsfootlever/coltsfootlever/classifier"
	"github.com/coltsfootlever/coltsfootlever/limiter"
	"github.com/coltsfootlever/coltsfootlever/parser"
)

// Prefix is the path prefix of all operators' calls.
const Prefix = "/operator/v1"

const (
	maxBodyBytes   = 4 << 20 // enough for a rules file of 1 MiB encoded as JSON
	parsedBytes    = 16      // memory that is made of a byte of a body: values, copies and the parsed rules
	minSecretBytes = 32      // minimum length of a bootstrap key in the settings
	bootstrapID    = "bootstrap"
)

type (
	// Resource is a kind of object that operators read and change, such as
	// pools.
	Resource interface {
		Routes() []Route
	}

	// Route is one method and path of the interface. The result of Serve is
	// sent as JSON; a nil result is sent as an empty response.
	Route struct {
		Pattern string // method and path below Prefix, such as "GET /pools/{id}"
		Serve   func(ctx context.Context, r *Request) (any, error)
	}

	// Request is one authenticated call.
	Request struct {
		Operator parser.Key // key that the caller authenticated with
		http     *http.Request
		response http.ResponseWriter
		budget   *limiter.Budget
		body     *limiter.Body // nil before Decode
	}

	// RulesSource returns the rules in force, or nil when none are known yet.
	RulesSource interface {
		Rules() *parser.Rules
	}

	// Handler serves the calls of the registered resources.
	Handler struct {
		mux       *http.ServeMux
		rules     RulesSource
		bootstrap string // hash of the bootstrap key; empty for none
		ready     func() error
		auth      authenticator.Authenticator
		budget    *limiter.Budget
		log       *slog.Logger
	}

	// Option configures a Handler.
	Option func(*Handler)
)

// WithBootstrapHash accepts the operator key that has the given hash in
// addition to the keys of the rules, so that the first rules can be applied.
// BootstrapHash computes the hash.
func WithBootstrapHash(hash string) Option {
	return func(h *Handler) { h.bootstrap = hash }
}

// WithReadinessCheck sets a check that runs before each call made with a key of
// the rules, for example whether the entry may have missed the withdrawal of a
// key. The call fails with the error of the check.
func WithReadinessCheck(ready func() error) Option {
	return func(h *Handler) { h.ready = ready }
}

// WithLog sets the logger.
func WithLog(log *slog.Logger) Option {
	return func(h *Handler) { h.log = log }
}

// WithBudget sets the memory for the bodies of calls and what is made of them. The
// default is that of a machine of unknown memory.
func WithBudget(b *limiter.Budget) Option {
	return func(h *Handler) { h.budget = b }
}

// New returns a Handler without resources; add them with Register.
func New(rules RulesSource, opts ...Option) *Handler {
	h := &Handler{
		mux:    http.NewServeMux(),
		rules:  rules,
		ready:  func() error { return nil },
		budget: limiter.NewBudget(0),
		log:    slog.New(slog.DiscardHandler),
	}
	for _, opt := range opts {
		opt(h)
	}
	h.mux.HandleFunc("/", h.serveUnknownPath)
	return h
}

// BootstrapHash returns the hash of the operator key in the settings. The value
// is either a key of at least 32 characters or the hash of one.
func BootstrapHash(value string) (string, error) {
	switch {
	case authenticator.IsHash(value):
		return value, nil
	case strings.HasPrefix(value, "sha256:"):
		return "", errors.New("operator key: found a malformed hash; allowed: sha256: and 64 hexadecimal digits in lower case")
	case len(value) < minSecretBytes:
		return "", errors.Errorf("operator key: found %d characters; allowed: at least %d, or sha256: and 64 hexadecimal digits",
			len(value), minSecretBytes)
	default:
		return authenticator.Hash(value), nil
	}
}

// Register adds the routes of the resources. It panics if two routes have the
// same pattern.
func (h *Handler) Register(resources ...Resource) {
	for _, resource := range resources {
		for _, route := range resource.Routes() {
			method, path, _ := strings.Cut(route.Pattern, " ")
			h.mux.HandleFunc(method+" "+Prefix+path, h.serve(route))
		}
	}
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.mux.ServeHTTP(w, r)
}

func (h *Handler) serve(route Route) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		key, err := h.authenticate(r)
		if err != nil {
			limiter.RefuseBody(w, r)
			h.writeProblem(w, r, err)
			return
		}
		request := &Request{Operator: key, http: r, response: w, budget: h.budget}
		defer func() { request.body.Release() }()
		body, err := route.Serve(r.Context(), request)
		if err != nil {
			h.writeProblem(w, r, err)
			return
		}
		h.log.Info("operator's call succeeded", "operator", key.ID, "method", r.Method, "path", r.URL.Path)
		h.writeResponse(w, http.StatusOK, "application/json", body)
	}
}

func (h *Handler) authenticate(r *http.Request) (parser.Key, error) {
	secret := authenticator.BearerToken(r.Header)
	if h.bootstrap != "" && authenticator.Matches(h.bootstrap, secret) {
		return parser.Key{ID: bootstrapID, Operator: true, Hash: h.bootstrap}, nil
	}
	rules := h.rules.Rules()
	if h.bootstrap == "" && !hasOperatorKey(rules) {
		return parser.Key{}, classifier.Refuse(classifier.Unauthorized,
			"there is no operator key yet: start an entry with COLTSFOOTLEVER_OPERATOR_KEY and show that key")
	}
	key, err := h.auth.CheckOperator(rules, secret)
	if err != nil {
		return parser.Key{}, errors.Trace(err)
	}
	return key, errors.Trace(h.ready())
}

func hasOperatorKey(rules *parser.Rules) bool {
	if rules == nil {
		return false
	}
	return slices.ContainsFunc(rules.Keys, func(k parser.Key) bool { return k.Operator })
}

func (h *Handler) serveUnknownPath(w http.ResponseWriter, r *http.Request) {
	limiter.RefuseBody(w, r)
	if _, err := h.authenticate(r); err != nil {
		h.writeProblem(w, r, err)
		return
	}
	h.writeProblem(w, r, classifier.Refuse(classifier.NotFound, "no call %s %s: this entry may be of another release", r.Method, r.URL.Path))
}

func (h *Handler) writeProblem(w http.ResponseWriter, r *http.Request, err error) {
	p := NewProblem(err)
	h.log.Warn("operator's call failed", "method", r.Method, "path", r.URL.Path, "code", p.Code, "verdict", p.Verdict, "err", err)
	p.setHeaders(w.Header())
	h.writeResponse(w, p.Status, "application/problem+json", p)
}

func (h *Handler) writeResponse(w http.ResponseWriter, status int, contentType string, body any) {
	if body == nil {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	w.Header().Set("Content-Type", contentType)
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(body); err != nil {
		h.log.Warn("response to an operator's call not sent completely", "err", err)
	}
}

// Value returns the part of the path that matches the wildcard name in the
// pattern of the route.
func (r *Request) Value(name string) string {
	return r.http.PathValue(name)
}

// Query returns a query parameter of the call, or "" when it is missing.
func (r *Request) Query(name string) string {
	return r.http.URL.Query().Get(name)
}

// Decode reads the JSON body and decodes it into v. Unknown keys are an error. It must
// be called once only.
func (r *Request) Decode(v any) error {
	var err error
	if r.body, err = r.budget.ReadBody(r.response, r.http, limiter.BodyLimits{MaxBytes: maxBodyBytes}); err != nil {
		return errors.Trace(err)
	}
	if err := r.body.Reserve(parsedBytes * int64(len(r.body.Bytes))); err != nil {
		return errors.Trace(err)
	}
	d := json.NewDecoder(bytes.NewReader(r.body.Bytes))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return classifier.Refuse(classifier.BadRequest, "the body is not the JSON object of this call: %v", err)
	}
	if _, err := d.Token(); err != io.EOF {
		return classifier.Refuse(classifier.BadRequest, "the body has data after its JSON object")
	}
	return nil
}
