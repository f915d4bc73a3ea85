package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strings"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/classifier"
	"github.com/coltsfootlever/coltsfootlever/distributor"
)

const (
	clientTimeout    = 60 * time.Second
	maxResponseBytes = 16 << 20
)

type (
	// Client sends operators' calls to the first entry that can be reached.
	Client struct {
		addresses []string // base URLs
		key       string
		http      *http.Client
	}

	// ClientOption configures a Client.
	ClientOption func(*Client)
)

// WithHTTPClient sets the HTTP client that sends the calls.
func WithHTTPClient(c *http.Client) ClientOption {
	return func(client *Client) { client.http = c }
}

// NewClient returns a Client for the entries at addresses, each an IP address
// and port or a URL. The client authenticates with the operator key.
func NewClient(addresses []string, key string, opts ...ClientOption) *Client {
	c := &Client{key: key, http: &http.Client{Timeout: clientTimeout}}
	for _, address := range addresses {
		if !strings.Contains(address, "://") {
			address = "http://" + address
		}
		c.addresses = append(c.addresses, strings.TrimSuffix(address, "/"))
	}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Call makes one call. The path is relative to Prefix. The request body is in,
// encoded as JSON, or empty when in is nil. The response body is decoded into
// out unless out is nil. A failure that an entry reports is returned as a
// *Problem. When no entry can be reached, the error is a *classifier.Error with
// the code PeerLost; its verdict says whether the call may have been carried
// out.
func (c *Client) Call(ctx context.Context, method, path string, in, out any) error {
	var body []byte
	if in != nil {
		var err error
		if body, err = json.Marshal(in); err != nil {
			return errors.Trace(err)
		}
	}
	err := error(classifier.Refuse(classifier.PeerLost, "no entry is configured"))
	for _, address := range c.addresses {
		err = c.callEntry(ctx, method, address+Prefix+path, body, out)
		if !failedBeforeSend(err) {
			return errors.Trace(err)
		}
	}
	return errors.Trace(err)
}

// failedBeforeSend reports whether a call failed before an entry received it.
func failedBeforeSend(err error) bool {
	var p *Problem
	if err == nil || errors.As(err, &p) {
		return false
	}
	e := classifier.As(err)
	return e.Code == classifier.PeerLost && e.Verdict == classifier.NotRun
}

func (c *Client) callEntry(ctx context.Context, method, url string, body []byte, out any) error {
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { sent.Store(true) }}
	ctx = httptrace.WithClientTrace(ctx, trace)
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return classifier.Refuse(classifier.BadRequest, "%v", err)
	}
	request.Header.Set("Authorization", "Bearer "+c.key)
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	switch {
	case err == nil:
		return readResponse(response, out)
	case sent.Load() && method != http.MethodGet:
		return classifier.Uncertain(classifier.PeerLost, "no answer: %v", err)
	default:
		return classifier.Refuse(classifier.PeerLost, "%v", err)
	}
}

func readResponse(response *http.Response, out any) error {
	defer response.Body.Close()
	data, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return classifier.Uncertain(classifier.Truncated, "reading the answer: %v", err)
	}
	if response.StatusCode >= http.StatusBadRequest {
		return readProblem(response.StatusCode, data)
	}
	if out == nil || len(data) == 0 {
		return nil
	}
	if err := json.Unmarshal(data, out); err != nil {
		return classifier.Uncertain(classifier.Truncated, "the answer is not the JSON expected: %v", err)
	}
	return nil
}

func readProblem(status int, data []byte) error {
	p := &Problem{}
	if err := json.Unmarshal(data, p); err != nil || p.Code == "" {
		return classifier.Uncertain(classifier.Internal, "status %d without a problem body", status)
	}
	return p
}

// Rules returns the rules in force.
func (c *Client) Rules(ctx context.Context) (RulesReply, error) {
	var reply RulesReply
	err := c.Call(ctx, http.MethodGet, "/rules", nil, &reply)
	return reply, err
}

// Apply puts a rule set in force in all entries.
func (c *Client) Apply(ctx context.Context, req ApplyRequest) (distributor.Applied, error) {
	var applied distributor.Applied
	err := c.Call(ctx, http.MethodPut, "/rules", req, &applied)
	return applied, err
}

// Keys returns the keys in force.
func (c *Client) Keys(ctx context.Context) ([]KeyReply, error) {
	var replies []KeyReply
	err := c.Call(ctx, http.MethodGet, "/keys", nil, &replies)
	return replies, err
}

// AddKey adds a key to the rules in force.
func (c *Client) AddKey(ctx context.Context, req KeyRequest) (distributor.Applied, error) {
	var applied distributor.Applied
	err := c.Call(ctx, http.MethodPost, "/keys", req, &applied)
	return applied, err
}

// WithdrawKey removes a key from the rules in force.
func (c *Client) WithdrawKey(ctx context.Context, id string) (distributor.Applied, error) {
	var applied distributor.Applied
	err := c.Call(ctx, http.MethodDelete, "/keys/"+url.PathEscape(id), nil, &applied)
	return applied, err
}

// Teams returns the teams of the rules in force.
func (c *Client) Teams(ctx context.Context) ([]TeamReply, error) {
	var replies []TeamReply
	err := c.Call(ctx, http.MethodGet, "/teams", nil, &replies)
	return replies, err
}

// Status returns the state of the entry that serves the call.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var status Status
	err := c.Call(ctx, http.MethodGet, "/status", nil, &status)
	return status, err
}
