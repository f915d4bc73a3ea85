// Package caller is a client for the HTTP interface that teams use to submit jobs
// to an entry. It checks that each answer is complete and belongs to the request,
// and returns failures with their verdict.
package caller

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/admitter"
	"github.com/coltsfootlever/coltsfootlever/classifier"
	"github.com/coltsfootlever/coltsfootlever/scheduler"
)

type (
	// Request is a job to submit.
	Request struct {
		Queue      string
		Key        string // secret of the team's key; empty for an open queue
		Name       string // value of the Idempotency-Key header
		Class      scheduler.Class
		Idempotent bool
		Deadline   time.Duration // 0 for the entry's default
		Slots      int           // 0 for 1
		Async      bool          // ask the entry to answer at once with the job's status
		Body       []byte
	}

	// Reply is the answer to a job that ran.
	Reply struct {
		Job    string
		Worker string
		Output []byte
	}

	// Client submits jobs to one entry. Create one with New.
	Client struct {
		base string
		http *http.Client
	}
)

// New returns a client for the entry at the base URL, such as
// "http://127.0.0.1:8080".
func New(base string, c *http.Client) *Client {
	return &Client{base: base, http: c}
}

// Submit submits a job and waits for its end. The error is a *classifier.Error.
// Its verdict is the one that the entry returned, NotRun if no connection was
// opened, and MayHaveRun in all other cases.
func (c *Client) Submit(ctx context.Context, r Request) (Reply, error) {
	req, err := c.newRequest(ctx, r)
	if err != nil {
		return Reply{}, classifier.Refuse(classifier.BadRequest, "%v", err)
	}
	res, err := c.do(req)
	if err != nil {
		return Reply{}, err
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return Reply{}, classifier.Uncertain(classifier.Truncated, "the entry's answer broke off: %v", err)
	}
	if res.StatusCode >= http.StatusBadRequest {
		return Reply{}, errorFromProblem(res, body)
	}
	reply := Reply{Job: res.Header.Get(admitter.JobHeader), Worker: res.Header.Get(admitter.WorkerHeader), Output: body}
	return reply, verifyDigest(res.Header.Get(admitter.DigestHeader), body)
}

func (c *Client) newRequest(ctx context.Context, r Request) (*http.Request, error) {
	target := c.base + "/v1/queues/" + url.PathEscape(r.Queue) + "/jobs"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, target, bytes.NewReader(r.Body))
	if err != nil {
		return nil, errors.Trace(err)
	}
	setHeader(req, admitter.IdempotencyKeyHeader, r.Name)
	setHeader(req, admitter.ClassHeader, string(r.Class))
	if r.Key != "" {
		setHeader(req, "Authorization", "Bearer "+r.Key)
	}
	if r.Idempotent {
		setHeader(req, admitter.IdempotentHeader, "true")
	}
	if r.Deadline > 0 {
		setHeader(req, admitter.DeadlineHeader, r.Deadline.String())
	}
	if r.Slots > 0 {
		setHeader(req, admitter.SlotsHeader, strconv.Itoa(r.Slots))
	}
	if r.Async {
		setHeader(req, "Prefer", "respond-async")
	}
	return req, nil
}

// do sends the request. NotRun is certain only if no connection was ever opened:
// net/http itself retries a request with an Idempotency-Key header when the
// connection breaks, so the error may be that of the retry, while the first
// attempt reached the entry.
func (c *Client) do(req *http.Request) (*http.Response, error) {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	res, err := c.http.Do(req.WithContext(httptrace.WithClientTrace(req.Context(), trace)))
	if err == nil {
		return res, nil
	}
	var dial *net.OpError
	if !connected.Load() && errors.As(err, &dial) && dial.Op == "dial" {
		return nil, classifier.Refuse(classifier.PeerLost, "the entry was not reached: %v", err)
	}
	return nil, classifier.Uncertain(classifier.PeerLost, "no answer from the entry: %v", err)
}

func setHeader(req *http.Request, header, value string) {
	if value != "" {
		req.Header.Set(header, value)
	}
}

func verifyDigest(want string, body []byte) error {
	if want == "" {
		return nil
	}
	sum := sha256.Sum256(body)
	if hex.EncodeToString(sum[:]) != want {
		return classifier.Uncertain(classifier.Truncated, "the answer does not match its digest")
	}
	return nil
}

// errorFromProblem decodes an error response. If the response is not a problem
// document, the verdict is MayHaveRun.
func errorFromProblem(res *http.Response, body []byte) error {
	var p admitter.Problem
	if err := json.Unmarshal(body, &p); err != nil || p.Code == "" {
		return classifier.Uncertain(classifier.Internal, "status %d without a problem document", res.StatusCode)
	}
	e := &classifier.Error{Verdict: p.Verdict, Code: p.Code, Message: p.Detail}
	if seconds, err := strconv.Atoi(res.Header.Get("Retry-After")); err == nil {
		e.RetryAfter = time.Duration(seconds) * time.Second
	}
	return e
}

// Status returns the state of a job.
func (c *Client) Status(ctx context.Context, key, job string) (admitter.Status, error) {
	var status admitter.Status
	body, err := c.callJob(ctx, http.MethodGet, key, job)
	if err != nil {
		return status, err
	}
	return status, errors.Trace(json.Unmarshal(body, &status))
}

// Cancel cancels a job.
func (c *Client) Cancel(ctx context.Context, key, job string) error {
	_, err := c.callJob(ctx, http.MethodDelete, key, job)
	return err
}

func (c *Client) callJob(ctx context.Context, method, key, job string) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, method, c.base+"/v1/jobs/"+url.PathEscape(job), nil)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if key != "" {
		setHeader(req, "Authorization", "Bearer "+key)
	}
	res, err := c.do(req)
	if err != nil {
		return nil, err
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return nil, classifier.Uncertain(classifier.Truncated, "the entry's answer broke off: %v", err)
	}
	if res.StatusCode >= http.StatusBadRequest {
		return nil, errorFromProblem(res, body)
	}
	return body, nil
}
