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
	defaultCallTimeout = 2 * time.Second // longest wait for one answer
	maxIdleConns       = 4               // connections kept open to the service
)

type (
	// Client speaks to the key-value service through the JSON gateway of etcd's
	// v3 interface. It repeats no call.
	Client struct {
		http     *http.Client
		endpoint string
		timeout  time.Duration
	}

	// ClientOption changes a Client.
	ClientOption func(*Client)
)

// WithTimeout sets the longest wait for one answer. It does not bound a watch.
func WithTimeout(d time.Duration) ClientOption {
	return func(c *Client) { c.timeout = d }
}

// WithTransport sets the transport of the client's requests.
func WithTransport(transport http.RoundTripper) ClientOption {
	return func(c *Client) { c.http = requester.NewClient(transport) }
}

// NewClient returns a client of the service at an endpoint such as
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

// Get returns the record under key, with revision 0 when there is none. Its
// error is ErrUnavailable.
func (c *Client) Get(ctx context.Context, key string) (Record, error) {
	var out RangeResponse
	if err := c.call(ctx, RangePath, false, RangeRequest{Key: []byte(key)}, &out); err != nil {
		return Record{}, err
	}
	if len(out.Kvs) == 0 {
		return Record{Key: key}, nil
	}
	return out.Kvs[0].record(), nil
}

// List returns the records below prefix sorted by key, and the revision of the
// service at which they stood. Its error is ErrUnavailable.
func (c *Client) List(ctx context.Context, prefix string) ([]Record, int64, error) {
	var out RangeResponse
	if err := c.call(ctx, RangePath, false, prefixRange(prefix), &out); err != nil {
		return nil, 0, err
	}
	records := make([]Record, 0, len(out.Kvs))
	for _, kv := range out.Kvs {
		records = append(records, kv.record())
	}
	return records, out.Header.Revision, nil
}

// Swap writes value under key when the record has the given revision, 0 when it
// is absent. A lease other than 0 deletes the record when it ends. Errors are
// ErrConflict, ErrUnavailable, ErrUnknown, ErrLeaseLost and ErrTooLarge.
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

// Delete removes the record under key when it has the given revision. Errors
// are ErrConflict, ErrUnavailable and ErrUnknown.
func (c *Client) Delete(ctx context.Context, key string, revision int64) error {
	_, err := c.transact(ctx, key, revision, RequestOp{Delete: &RangeRequest{Key: []byte(key)}})
	return err
}

// Grant opens a lease that ends after ttl, in whole seconds rounded up, unless
// it is renewed. Errors are ErrUnavailable and ErrUnknown.
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

// Revoke ends a lease and deletes the records bound to it. Revoking a lease
// that has ended is no error. Errors are ErrUnavailable and ErrUnknown.
func (c *Client) Revoke(ctx context.Context, id LeaseID) error {
	err := c.call(ctx, RevokePath, true, Lease{ID: int64(id)}, &struct{}{})
	if errors.Is(err, ErrLeaseLost) {
		return nil
	}
	return err
}

// Watch calls fn with each change below prefix after a revision, in order. It
// returns the error of ctx, ErrCompacted or ErrUnavailable.
func (c *Client) Watch(ctx context.Context, prefix string, after int64, fn func(Event)) error {
	in := WatchRequest{Create: WatchCreate{RangeRequest: prefixRange(prefix), StartRevision: after + 1}}
	res, err := requester.Send(ctx, c.http, http.MethodPost, c.endpoint+WatchPath, in)
	if err != nil {
		return broken(ctx, err)
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return errors.Annotatef(ErrUnavailable, "watching %q: %s", prefix, res.Status)
	}
	stream := json.NewDecoder(res.Body)
	for {
		var m WatchMessage
		if err := stream.Decode(&m); err != nil {
			return broken(ctx, err)
		}
		switch {
		case m.Result.CompactRevision > 0:
			return errors.Annotatef(ErrCompacted, "revision %d", after)
		case m.Result.Canceled || m.Error != nil:
			return errors.Annotatef(ErrUnavailable, "watch of %q was cancelled", prefix)
		}
		for _, ev := range m.Result.Events {
			fn(Event{Record: ev.Kv.record(), Deleted: ev.Type == DeleteEvent})
		}
	}
}

// transact does op when the record has the given revision.
func (c *Client) transact(ctx context.Context, key string, revision int64, op RequestOp) (TxnResponse, error) {
	in := TxnRequest{
		Compare: []Compare{{Target: CompareRevision, Result: CompareEqual, Key: []byte(key), ModRevision: revision}},
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

// call sends in and decodes the answer into out.
func (c *Client) call(ctx context.Context, path string, write bool, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	reply, err := requester.Do(ctx, c.http, http.MethodPost, c.endpoint+path, in)
	if err != nil {
		return unanswered(write && requester.AsError(err).MaybeSent, err)
	}
	if reply.Status != http.StatusOK {
		return refused(write, reply)
	}
	if err := json.Unmarshal(reply.Body, out); err != nil {
		return unanswered(write, err)
	}
	return nil
}

// refused returns the error for an answer other than 200.
func refused(write bool, reply requester.Reply) error {
	var e GatewayError
	if err := json.Unmarshal(reply.Body, &e); err != nil {
		return unanswered(write, errors.Errorf("status %d", reply.Status))
	}
	switch {
	case e.Code == NotFoundCode:
		return errors.Annotate(ErrLeaseLost, e.Message)
	case e.Code == InvalidArgumentCode && e.Message == TooLargeMessage:
		return errors.Annotate(ErrTooLarge, e.Message)
	case e.Code == ExhaustedCode, e.Code == UnavailableCode && e.Message == NoLeaderMessage:
		return errors.Annotate(ErrUnavailable, e.Message)
	}
	return unanswered(write, errors.New(e.Message))
}

// unanswered returns the error for a call without a usable answer.
func unanswered(doubt bool, err error) error {
	if doubt {
		return errors.Annotatef(ErrUnknown, "%v", err)
	}
	return errors.Annotatef(ErrUnavailable, "%v", err)
}

// broken returns the error for a watch that has ended.
func broken(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return errors.Annotatef(ErrUnavailable, "%v", err)
}

func (kv KeyValue) record() Record {
	return Record{Key: string(kv.Key), Value: kv.Value, Revision: kv.ModRevision}
}

func prefixRange(prefix string) RangeRequest {
	key := []byte(prefix)
	if prefix == "" {
		key = []byte{0}
	}
	return RangeRequest{Key: key, RangeEnd: PrefixEnd(prefix)}
}
