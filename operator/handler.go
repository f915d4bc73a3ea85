// Package operator serves the operators' calls over HTTP and holds the client
// for them. A noun, such as rules or key, brings its routes; every call needs
// an operator key, either one of the rules in force or the one of the entry's
// settings.
package operator

import (
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
	"github.com/coltsfootlever/coltsfootlever/parser"
)

// Prefix is the path below which all operators' calls are.
const Prefix = "/operator/v1"

const (
	maxBodyBytes   = 4 << 20 // room for a rules file of 1 MiB in JSON
	minSecretBytes = 32      // shortest key accepted from the settings
	bootstrapID    = "bootstrap"
)

type (
	// Noun is a kind of object that operators act on.
	Noun interface {
		Routes() []Route
	}

	// Route is one call. What Serve returns is sent as JSON; nil is sent as an
	// empty answer.
	Route struct {
		Pattern string // method and path below Prefix, such as "GET /pools/{id}"
		Serve   func(ctx context.Context, r *Request) (any, error)
	}

	// Request is one authenticated call.
	Request struct {
		Operator parser.Key // who calls
		http     *http.Request
	}

	// Rules gives the rules in force.
	Rules interface {
		Rules() *parser.Rules
	}

	// Handler serves the calls of the registered nouns.
	Handler struct {
		mux       *http.ServeMux
		rules     Rules
		bootstrap string // hash; empty for none
		ready     func() error
		auth      authenticator.Authenticator
		log       *slog.Logger
	}

	// Option changes a Handler.
	Option func(*Handler)
)

// WithBootstrap accepts the key with the hash besides those of the rules, so
// that the first rules can be applied. See BootstrapHash.
func WithBootstrap(hash string) Option {
	return func(h *Handler) { h.bootstrap = hash }
}

// WithReady sets a check made before each call with a key of the rules, such
// as whether the entry may have missed a withdrawal. Its error is the answer.
func WithReady(ready func() error) Option {
	return func(h *Handler) { h.ready = ready }
}

// WithLog sets the logger.
func WithLog(log *slog.Logger) Option {
	return func(h *Handler) { h.log = log }
}

// New returns a Handler without nouns.
func New(rules Rules, opts ...Option) *Handler {
	h := &Handler{
		mux:   http.NewServeMux(),
		rules: rules,
		ready: func() error { return nil },
		log:   slog.New(slog.DiscardHandler),
	}
	for _, opt := range opts {
		opt(h)
	}
	h.mux.HandleFunc("/", h.unknown)
	return h
}

// BootstrapHash reads the operator key of the settings: a key of at least 32
// characters or the hash of one.
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

// Register adds the routes of nouns. Two routes with one pattern panic.
func (h *Handler) Register(nouns ...Noun) {
	for _, noun := range nouns {
		for _, route := range noun.Routes() {
			method, path, _ := strings.Cut(route.Pattern, " ")
			h.mux.HandleFunc(method+" "+Prefix+path, h.serve(route))
		}
	}
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
	h.mux.ServeHTTP(w, r)
}

func (h *Handler) serve(route Route) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		key, err := h.authenticate(r)
		if err != nil {
			h.fail(w, r, err)
			return
		}
		body, err := route.Serve(r.Context(), &Request{Operator: key, http: r})
		if err != nil {
			h.fail(w, r, err)
			return
		}
		h.log.Info("operator call", "operator", key.ID, "method", r.Method, "path", r.URL.Path)
		h.answer(w, http.StatusOK, "application/json", body)
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

func (h *Handler) unknown(w http.ResponseWriter, r *http.Request) {
	if _, err := h.authenticate(r); err != nil {
		h.fail(w, r, err)
		return
	}
	h.fail(w, r, classifier.Refuse(classifier.NotFound, "no call %s %s: this entry may be of another release", r.Method, r.URL.Path))
}

func (h *Handler) fail(w http.ResponseWriter, r *http.Request, err error) {
	p := NewProblem(err)
	h.log.Warn("operator call failed", "method", r.Method, "path", r.URL.Path, "code", p.Code, "verdict", p.Verdict, "err", err)
	p.setHeaders(w.Header())
	h.answer(w, p.Status, "application/problem+json", p)
}

func (h *Handler) answer(w http.ResponseWriter, status int, contentType string, body any) {
	if body == nil {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	w.Header().Set("Content-Type", contentType)
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(body); err != nil {
		h.log.Warn("answering an operator", "err", err)
	}
}

// Value returns the part of the path that stands for a name in the pattern.
func (r *Request) Value(name string) string {
	return r.http.PathValue(name)
}

// Query returns a parameter of the call, "" when it is not there.
func (r *Request) Query(name string) string {
	return r.http.URL.Query().Get(name)
}

// Decode reads the JSON body into v. Unknown keys are refused.
func (r *Request) Decode(v any) error {
	d := json.NewDecoder(r.http.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		return classifier.Refuse(classifier.BadRequest, "the body is not the JSON object of this call: %v", err)
	}
	if _, err := d.Token(); err != io.EOF {
		return classifier.Refuse(classifier.BadRequest, "the body has data after its JSON object")
	}
	return nil
}
