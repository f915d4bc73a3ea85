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

const defaultCallTimeout = 2 * time.Second // time limit for one response

type (
	// Client reads the platform's instance list. It retries no call.
	Client struct {
		http     *http.Client
		endpoint string
		timeout  time.Duration

		mu       sync.Mutex
		lastList taggedList
	}

	// ClientOption configures a Client.
	ClientOption func(*Client)
)

// WithTimeout sets the time limit for one response.
func WithTimeout(d time.Duration) ClientOption {
	return func(c *Client) { c.timeout = d }
}

// WithTransport sets the transport that sends the client's requests.
func WithTransport(transport http.RoundTripper) ClientOption {
	return func(c *Client) { c.http = requester.NewClient(transport) }
}

// NewClient returns a client for the instance list at an endpoint such as
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

// List returns the live and leaving instances. It sends the last ETag, so that the
// platform does not send an unchanged list again. The caller must not change the
// returned slice. The error is ErrUnavailable.
func (c *Client) List(ctx context.Context) ([]Listing, error) {
	known := c.cachedList()
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
	c.cacheList(next)
	return next.list, nil
}

// taggedList is an instance list with its ETag, which is empty if the response had
// none.
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

func (c *Client) cachedList() taggedList {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.lastList
}

func (c *Client) cacheList(v taggedList) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastList = v
}

// Reboot asks the platform to restart an instance. It returns when the platform
// has accepted the request. The instance list shows when the instance is live
// again. The errors are ErrNotFound, ErrUnavailable and ErrUnknown.
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
