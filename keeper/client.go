package keeper

import (
	"context"
	"encoding/json"
	"math"
	"net/http"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/coltsfootlever/coltsfootlever/requester"
)

const (
	defaultCallTimeout = 2 * time.Second // time-out of a call other than a watch
	maxIdleConns       = 4               // connections to the service that stay open without calls
)

type (
	// Client calls the key-value service through the JSON gateway to version 3
	// of the etcd API. It never retries a call.
	Client struct {
		http     *http.Client
		endpoint string
		timeout  time.Duration
	}

	// ClientOption configures a Client.
	ClientOption func(*Client)
)

// WithTimeout sets the time-out of a call. It does not apply to a watch.
func WithTimeout(d time.Duration) ClientOption {
	return func(c *Client) { c.timeout = d }
}

// WithTransport sets the HTTP transport of the client.
func WithTransport(transport http.RoundTripper) ClientOption {
	return func(c *Client) { c.http = requester.NewClient(transport) }
}

// NewClient returns a client for the service at an endpoint such as
// "http://10.0.0.1:2379".
func NewClient(endpoint string, opts ...ClientOption) *Client {
	c := &Client{
		http:     requester.NewClient(&http.Transport{MaxIdleConnsPerHost: maxIdleConns}),
		endpoint: strings.TrimSuffix(endpoint, "/"),
		timeout:  defaultCallTimeout,
	}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Get returns the record of key, with revision 0 if the key is absent. The only
// error is ErrUnavailable.
func (c *Client) Get(ctx context.Context, key string) (Record, error) {
	var out RangeResponse
	if err := c.call(ctx, RangePath, false, RangeRequest{Key: []byte(key)}, &out); err != nil {
		return Record{}, err
	}
	if len(out.Kvs) == 0 {
		return Record{Key: key}, nil
	}
	return out.Kvs[0].toRecord(), nil
}

// List returns the records whose keys start with prefix, sorted by key, and the
// revision of the service when it read them. The only error is ErrUnavailable.
func (c *Client) List(ctx context.Context, prefix string) ([]Record, int64, error) {
	var out RangeResponse
	if err := c.call(ctx, RangePath, false, prefixRange(prefix), &out); err != nil {
		return nil, 0, err
	}
	records := make([]Record, 0, len(out.Kvs))
	for _, kv := range out.Kvs {
		records = append(records, kv.toRecord())
	}
	return records, out.Header.Revision, nil
}

// Swap writes value to key if the record has the given revision; revision 0
// stands for an absent record. If lease is not 0, the service deletes the record
// when the lease ends. Errors are ErrConflict, ErrUnavailable, ErrUnknown,
// ErrLeaseLost and ErrTooLarge.
func (c *Client) Swap(ctx context.Context, key string, value []byte, revision int64, lease LeaseID) (Record, error) {
	if len(value) > MaxValueBytes {
		return Record{}, errors.Annotatef(ErrTooLarge, "%d bytes under %q", len(value), key)
	}
	put := &PutRequest{Key: []byte(key), Value: value, Lease: int64(lease)}
	out, err := c.transact(ctx, key, revision, RequestOp{Put: put})
	if err != nil {
		return Record{}, err
	}
	return Record{Key: key, Value: value, Revision: out.Header.Revision}, nil
}

// Delete deletes the record of key if it has the given revision. Errors are
// ErrConflict, ErrUnavailable and ErrUnknown.
func (c *Client) Delete(ctx context.Context, key string, revision int64) error {
	_, err := c.transact(ctx, key, revision, RequestOp{Delete: &RangeRequest{Key: []byte(key)}})
	return err
}

// Grant creates a lease that ends after ttl unless it is renewed. The service
// counts whole seconds, so ttl is rounded up. Errors are ErrUnavailable and
// ErrUnknown.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	var out Lease
	in := Lease{TTL: int64(math.Ceil(ttl.Seconds()))}
	err := c.call(ctx, GrantPath, true, in, &out)
	return LeaseID(out.ID), err
}

// KeepAlive renews a lease. Errors are ErrLeaseLost and ErrUnavailable.
func (c *Client) KeepAlive(ctx context.Context, id LeaseID) error {
	var out KeepAliveResponse
	if err := c.call(ctx, KeepAlivePath, false, Lease{ID: int64(id)}, &out); err != nil {
		return err
	}
	if out.Result.TTL <= 0 {
		return errors.Annotatef(ErrLeaseLost, "lease %d", id)
	}
	return nil
}

// Revoke ends a lease, and the service deletes the records bound to it. It is no
// error if the lease has already ended. Errors are ErrUnavailable and ErrUnknown.
func (c *Client) Revoke(ctx context.Context, id LeaseID) error {
	err := c.call(ctx, RevokePath, true, Lease{ID: int64(id)}, &struct{}{})
	if errors.Is(err, ErrLeaseLost) {
		return nil
	}
	return err
}

// Watch calls fn for each change of a key that starts with prefix, in the order
// of revisions, beginning with the first revision above after. It returns only with an error: that of ctx, ErrCompacted
// or ErrUnavailable.
func (c *Client) Watch(ctx context.Context, prefix string, after int64, fn func(Event)) error {
	in := WatchRequest{Create: WatchCreate{RangeRequest: prefixRange(prefix), StartRevision: after + 1}}
	res, err := requester.Send(ctx, c.http, http.MethodPost, c.endpoint+WatchPath, in)
	if err != nil {
		return watchError(ctx, err)
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return errors.Annotatef(ErrUnavailable, "watching %q: %s", prefix, res.Status)
	}
	stream := json.NewDecoder(res.Body)
	for {
		var m WatchMessage
		if err := stream.Decode(&m); err != nil {
			return watchError(ctx, err)
		}
		switch {
		case m.Result.CompactRevision > 0:
			return errors.Annotatef(ErrCompacted, "revision %d", after)
		case m.Result.Canceled || m.Error != nil:
			return errors.Annotatef(ErrUnavailable, "watch of %q was cancelled", prefix)
		}
		for _, ev := range m.Result.Events {
			fn(Event{Record: ev.Kv.toRecord(), Deleted: ev.Type == DeleteEventType})
		}
	}
}

// transact executes op if the record of key has the given revision, and returns
// ErrConflict otherwise.
func (c *Client) transact(ctx context.Context, key string, revision int64, op RequestOp) (TxnResponse, error) {
	in := TxnRequest{
		Compare: []Compare{{Target: CompareTargetModRevision, Result: CompareResultEqual, Key: []byte(key), ModRevision: revision}},
		Success: []RequestOp{op},
	}
	var out TxnResponse
	if err := c.call(ctx, TxnPath, true, in, &out); err != nil {
		return out, err
	}
	if !out.Succeeded {
		return out, errors.Annotatef(ErrConflict, "%q is not at revision %d", key, revision)
	}
	return out, nil
}

// call sends in as JSON and decodes the response into out. If write is true and
// the request may have reached the service, a missing answer is ErrUnknown.
func (c *Client) call(ctx context.Context, path string, write bool, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	reply, err := requester.Do(ctx, c.http, http.MethodPost, c.endpoint+path, in)
	if err != nil {
		return noAnswerError(write && requester.AsError(err).MaybeSent, err)
	}
	if reply.Status != http.StatusOK {
		return statusError(write, reply)
	}
	if err := json.Unmarshal(reply.Body, out); err != nil {
		return noAnswerError(write, err)
	}
	return nil
}

// statusError returns the error for a response with a status other than 200.
func statusError(write bool, reply requester.Reply) error {
	var e GatewayError
	if err := json.Unmarshal(reply.Body, &e); err != nil {
		return noAnswerError(write, errors.Errorf("status %d", reply.Status))
	}
	switch {
	case e.Code == NotFoundCode:
		return errors.Annotate(ErrLeaseLost, e.Message)
	case e.Code == InvalidArgumentCode && e.Message == TooLargeMessage:
		return errors.Annotate(ErrTooLarge, e.Message)
	case e.Code == ResourceExhaustedCode, e.Code == UnavailableCode && e.Message == NoLeaderMessage:
		return errors.Annotate(ErrUnavailable, e.Message)
	}
	return noAnswerError(write, errors.New(e.Message))
}

// noAnswerError returns the error for a call without a usable answer: ErrUnknown
// if it was a write that may have taken effect, and ErrUnavailable otherwise.
func noAnswerError(mayHaveWritten bool, err error) error {
	if mayHaveWritten {
		return errors.Annotatef(ErrUnknown, "%v", err)
	}
	return errors.Annotatef(ErrUnavailable, "%v", err)
}

// watchError returns the error for a watch that could not be opened or has
// ended: that of ctx if ctx has ended, and ErrUnavailable otherwise.
func watchError(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return errors.Annotatef(ErrUnavailable, "%v", err)
}

func (kv KeyValue) toRecord() Record {
	return Record{Key: string(kv.Key), Value: kv.Value, Revision: kv.ModRevision}
}

// prefixRange returns the request for all keys with the prefix. etcd takes the
// one-byte key 0 as the start of all keys.
func prefixRange(prefix string) RangeRequest {
	key := []byte(prefix)
	if prefix == "" {
		key = []byte{0}
	}
	return RangeRequest{Key: key, RangeEnd: PrefixEnd(prefix)}
}
