package dispatcher

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/url"
	"time"

	"github.com/coltsfootlever/coltsfootlever/classifier"
	"github.com/coltsfootlever/coltsfootlever/requester"
)

// Paths of the workers' HTTP interface.
const (
	TasksPath  = "/v1/tasks"
	LeasesPath = "/v1/leases"
	UsagePath  = "/v1/usage"
)

const (
	// A worker accepts 64 connections in total. It belongs to one entry at a
	// time, but while it changes hands a second entry connects as well. So each
	// entry may open 28+4 = 32 connections to it.
	defaultStartConns = 28               // connections to one worker for starting tasks
	orderConns        = 4                // connections to one worker for all other orders
	orderTimeout      = 2 * time.Second  // time limit for the answer to such an order
	dialTimeout       = time.Second      // time limit for opening a connection
	idleTimeout       = 30 * time.Second // time after which an unused connection is closed
)

type (
	// Client calls workers by their network address. Renewals and other short
	// orders use separate connections, so that long-running task calls cannot
	// block them. The client retries no call.
	Client struct {
		dial        Dialer
		startConns  int
		startClient *http.Client
		orderClient *http.Client
	}

	// Dialer opens a network connection.
	Dialer func(ctx context.Context, network, address string) (net.Conn, error)

	// ClientOption configures a Client.
	ClientOption func(*Client)
)

// WithDialer sets the function that opens connections.
func WithDialer(dial Dialer) ClientOption {
	return func(c *Client) { c.dial = dial }
}

// WithStartConns sets the largest number of connections to one worker for
// starting tasks. Four more connections are used for other orders.
func WithStartConns(n int) ClientOption {
	return func(c *Client) { c.startConns = n }
}

// NewClient returns a client for calling workers.
func NewClient(opts ...ClientOption) *Client {
	c := &Client{
		dial:       (&net.Dialer{Timeout: dialTimeout}).DialContext,
		startConns: defaultStartConns,
	}
	for _, opt := range opts {
		opt(c)
	}
	c.startClient = c.newHTTPClient(c.startConns)
	c.orderClient = c.newHTTPClient(orderConns)
	return c
}

func (c *Client) newHTTPClient(conns int) *http.Client {
	return requester.NewClient(&http.Transport{
		DialContext:         c.dial,
		MaxConnsPerHost:     conns,
		MaxIdleConnsPerHost: conns,
		IdleConnTimeout:     idleTimeout,
	})
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.startClient.CloseIdleConnections()
	c.orderClient.CloseIdleConnections()
}

// Start runs a task on the worker and returns when the task has ended. The error
// is a *classifier.Error. Its verdict is NotRun only if the worker refused the
// task or could not be connected to. Otherwise it is MayHaveRun, with the code
// WorkerLost, Truncated or Crossed, or WorkerRefused for a task that the worker
// has started before.
func (c *Client) Start(ctx context.Context, address string, s Start) (Finish, error) {
	reply, err := requester.Do(ctx, c.startClient, http.MethodPost, workerURL(address, TasksPath), s)
	if err != nil {
		return Finish{}, callError(address, err)
	}
	switch reply.Status {
	case http.StatusOK:
		return decodeFinish(s, reply.Body)
	case http.StatusConflict:
		var r Refusal
		if json.Unmarshal(reply.Body, &r) == nil {
			return Finish{}, RefusalError(s, r)
		}
	}
	return Finish{}, classifier.Uncertain(classifier.WorkerLost, "worker %s answered with status %d", address, reply.Status)
}

func decodeFinish(s Start, body []byte) (Finish, error) {
	var f Finish
	if err := json.Unmarshal(body, &f); err != nil {
		return Finish{}, classifier.Uncertain(classifier.Truncated, "answer to task %q: %v", s.Task, err)
	}
	if err := Verify(s, f); err != nil {
		return Finish{}, err
	}
	return f, nil
}

// Renew extends the leases of tasks. It returns the IDs of the tasks that the
// worker does not run for the owner.
func (c *Client) Renew(ctx context.Context, address string, r Renewal) ([]string, error) {
	var unknown []string
	err := c.callJSON(ctx, http.MethodPost, address, LeasesPath, r, &unknown)
	return unknown, err
}

// Stop orders the worker to stop a task.
func (c *Client) Stop(ctx context.Context, address, task string) error {
	return c.sendTaskOrder(ctx, address, task, "stop")
}

// Checkpoint orders the worker to save a task's progress and stop the task.
func (c *Client) Checkpoint(ctx context.Context, address, task string) error {
	return c.sendTaskOrder(ctx, address, task, "checkpoint")
}

// Throttle orders the worker to slow a task down, which frees some of its slots.
func (c *Client) Throttle(ctx context.Context, address, task string) error {
	return c.sendTaskOrder(ctx, address, task, "throttle")
}

// Usage returns the worker's report about its slots and tasks.
func (c *Client) Usage(ctx context.Context, address string) (Usage, error) {
	var u Usage
	err := c.callJSON(ctx, http.MethodGet, address, UsagePath, nil, &u)
	return u, err
}

func (c *Client) sendTaskOrder(ctx context.Context, address, task, verb string) error {
	path := TasksPath + "/" + url.PathEscape(task) + "/" + verb
	return c.callJSON(ctx, http.MethodPost, address, path, nil, &struct{}{})
}

// callJSON makes a short call with the JSON form of in as its body and decodes
// the JSON answer into out.
func (c *Client) callJSON(ctx context.Context, method, address, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	reply, err := requester.Do(ctx, c.orderClient, method, workerURL(address, path), in)
	switch {
	case err != nil:
		return callError(address, err)
	case reply.Status == http.StatusNotFound:
		return classifier.Refuse(classifier.NotFound, "worker %s does not know %s", address, path)
	case reply.Status != http.StatusOK:
		return classifier.Uncertain(classifier.WorkerLost, "worker %s answered with status %d", address, reply.Status)
	}
	if err := json.Unmarshal(reply.Body, out); err != nil {
		return classifier.Uncertain(classifier.Truncated, "answer of worker %s: %v", address, err)
	}
	return nil
}

// callError returns the error for a call that got no complete answer.
func callError(address string, err error) error {
	e := requester.AsError(err)
	switch {
	case !e.MaybeSent:
		return classifier.Refuse(classifier.WorkerLost, "worker %s was not reached: %v", address, e.Err)
	case e.GotHeader:
		return classifier.Uncertain(classifier.Truncated, "worker %s: %v", address, e.Err)
	}
	return classifier.Uncertain(classifier.WorkerLost, "worker %s: %v", address, e.Err)
}

func workerURL(address, path string) string {
	return "http://" + address + path
}
