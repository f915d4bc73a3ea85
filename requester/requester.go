// Package requester sends JSON requests over HTTP and reports whether a failed
// request may have reached the server.
package requester

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"

	"github.com/juju/errors"
)

const maxResponseBytes = 64 << 20 // size limit of a response body

type (
	// Reply is a complete response.
	Reply struct {
		Status int
		Header http.Header
		Body   []byte
	}

	// Error is the failure of a request that got no complete response.
	Error struct {
		MaybeSent bool // the request may have reached the server
		GotHeader bool // the header of the response was received
		Err       error
	}
)

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("request without a whole answer (sent %t, answered %t): %v", e.MaybeSent, e.GotHeader, e.Err)
}

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error {
	return e.Err
}

// NewClient returns an HTTP client that does not follow redirects, so that no
// request is sent twice.
func NewClient(transport http.RoundTripper) *http.Client {
	return &http.Client{
		Transport:     transport,
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

// Send sends a request with the JSON form of in as its body, or without a body if
// in is nil. It returns the response with its body unread. The error is an
// *Error.
//
// MaybeSent is false only if the transport reported, through the trace hooks, that
// it looked for a connection and never got one. Whether bytes were written to a
// connection is not used, because a transport may still write them after it has
// reported a failure.
func Send(ctx context.Context, client *http.Client, method, url string, in any) (*http.Response, error) {
	return send(ctx, client, method, url, nil, in)
}

func send(ctx context.Context, client *http.Client, method, url string, header http.Header, in any) (*http.Response, error) {
	var body io.Reader
	if in != nil {
		raw, err := json.Marshal(in)
		if err != nil {
			return nil, &Error{Err: errors.Annotate(err, "encoding the request")}
		}
		body = bytes.NewReader(raw)
	}
	var hooksCalled, connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GetConn: func(string) { hooksCalled.Store(true) },
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, method, url, body)
	if err != nil {
		return nil, &Error{Err: errors.Annotate(err, "making the request")}
	}
	for name, values := range header {
		req.Header[name] = values
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := client.Do(req)
	if err != nil {
		return nil, &Error{MaybeSent: !hooksCalled.Load() || connected.Load(), Err: err}
	}
	return res, nil
}

// Do sends a request like Send and reads the complete response, whatever its
// status. The error is an *Error.
func Do(ctx context.Context, client *http.Client, method, url string, in any) (Reply, error) {
	return DoWithHeader(ctx, client, method, url, nil, in)
}

// DoWithHeader is like Do and sends additional headers.
func DoWithHeader(ctx context.Context, client *http.Client, method, url string, header http.Header, in any) (Reply, error) {
	res, err := send(ctx, client, method, url, header, in)
	if err != nil {
		return Reply{}, err
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(res.Body, maxResponseBytes+1))
	if err == nil && len(body) > maxResponseBytes {
		err = errors.Errorf("the answer is longer than %d bytes", maxResponseBytes)
	}
	if err != nil {
		return Reply{}, &Error{MaybeSent: true, GotHeader: true, Err: err}
	}
	return Reply{Status: res.StatusCode, Header: res.Header, Body: body}, nil
}

// AsError returns err as an *Error. For an error of another type, it assumes that
// the request may have been sent.
func AsError(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{MaybeSent: true, Err: err}
}
