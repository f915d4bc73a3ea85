package lister

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/requester"
)

// InstancesPath is the path of the platform's instance list.
const InstancesPath = "/v1/instances"

const defaultCallTimeout = 2 * time.Second // longest wait for one answer

type (
	// Client reads the platform's instance list. It repeats no call.
	Client struct {
		http     *http.Client
		endpoint string
		timeout  time.Duration

		mu       sync.Mutex
		lastList taggedList
	}

	// ClientOption changes a Client.
	ClientOption func(*Client)
)

// WithTimeout sets the longest wait for one answer.
func WithTimeout(d time.Duration) ClientOption {
	return func(c *Client) { c.timeout = d }
}

// WithTransport sets the transport of the client's requests.
func WithTransport(transport http.RoundTripper) ClientOption {
	return func(c *Client) { c.http = requester.NewClient(transport) }
}

// NewClient returns a client of the instance list at an endpoint such as
// "http://10.0.0.1:8080".
func NewClient(endpoint string, opts ...ClientOption) *Client {
	c := &Client{
		http:     requester.NewClient(&http.Transport{}),
		endpoint: strings.TrimSuffix(endpoint, "/"),
		timeout:  defaultCallTimeout,
	}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// List returns the live and leaving instances. An unchanged list is not
// transferred again. The caller must not change the returned slice. Its error
// is ErrUnavailable.
func (c *Client) List(ctx context.Context) ([]Listing, error) {
	known := c.loadList()
	reply, err := c.do(ctx, http.MethodGet, InstancesPath, known.conditionalHeader())
	if err != nil {
		return nil, errors.Annotatef(ErrUnavailable, "%v", err)
	}
	switch {
	case reply.Status == http.StatusNotModified && known.tag != "":
		return known.list, nil
	case reply.Status != http.StatusOK:
		return nil, errors.Annotatef(ErrUnavailable, "status %d", reply.Status)
	}
	next := taggedList{tag: reply.Header.Get("ETag")}
	if err := json.Unmarshal(reply.Body, &next.list); err != nil {
		return nil, errors.Annotatef(ErrUnavailable, "%v", err)
	}
	c.storeList(next)
	return next.list, nil
}

// taggedList is a list with its entity tag, empty when it has none.
type taggedList struct {
	tag  string
	list []Listing
}

func (v taggedList) conditionalHeader() http.Header {
	if v.tag == "" {
		return nil
	}
	return http.Header{"If-None-Match": {v.tag}}
}

func (c *Client) loadList() taggedList {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastList
}

func (c *Client) storeList(v taggedList) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastList = v
}

// Reboot restarts an instance. It returns when the platform has taken the
// order; the list shows when the instance is back. Errors are ErrNotFound,
// ErrUnavailable and ErrUnknown.
func (c *Client) Reboot(ctx context.Context, id string) error {
	reply, err := c.do(ctx, http.MethodPost, InstancesPath+"/"+url.PathEscape(id)+"/reboot", nil)
	switch {
	case err != nil && requester.AsError(err).MaybeSent:
		return errors.Annotatef(ErrUnknown, "%v", err)
	case err != nil:
		return errors.Annotatef(ErrUnavailable, "%v", err)
	case reply.Status == http.StatusAccepted:
		return nil
	case reply.Status == http.StatusNotFound:
		return errors.Annotatef(ErrNotFound, "%q", id)
	case reply.Status == http.StatusServiceUnavailable:
		return errors.Annotatef(ErrUnavailable, "status %d", reply.Status)
	}
	return errors.Annotatef(ErrUnknown, "status %d", reply.Status)
}

func (c *Client) do(ctx context.Context, method, path string, header http.Header) (requester.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	return requester.DoWithHeader(ctx, c.http, method, c.endpoint+path, header, nil)
}
