package keeper

// Paths of the JSON gateway to version 3 of the etcd API.
const (
	RangePath     = "/v3/kv/range"
	TxnPath       = "/v3/kv/txn"
	WatchPath     = "/v3/watch"
	GrantPath     = "/v3/lease/grant"
	KeepAlivePath = "/v3/lease/keepalive"
	RevokePath    = "/v3/lease/revoke"
)

// Values of fields in the messages of the gateway, with the gRPC status codes
// and messages that are told apart.
const (
	CompareTargetModRevision = "MOD"
	CompareResultEqual       = "EQUAL"
	DeleteEventType          = "DELETE"

	InvalidArgumentCode   = 3
	NotFoundCode          = 5
	ResourceExhaustedCode = 8
	UnavailableCode       = 14
	NoLeaderMessage       = "etcdserver: no leader"
	TooLargeMessage       = "etcdserver: request is too large"
)

// Messages of the gateway, with only the fields that this package uses. In JSON,
// byte slices are base64 and 64-bit integers are strings.
type (
	// RangeRequest selects the keys from Key up to but not including RangeEnd,
	// or the single key Key if RangeEnd is empty.
	RangeRequest struct {
		Key      []byte `json:"key"`
		RangeEnd []byte `json:"range_end,omitempty"`
	}

	// RangeResponse is the response to a RangeRequest.
	RangeResponse struct {
		Header Header     `json:"header"`
		Kvs    []KeyValue `json:"kvs,omitempty"`
	}

	// Header is part of each response. Revision is the latest revision of the
	// service.
	Header struct {
		Revision int64 `json:"revision,string"`
	}

	// KeyValue is a key with its value and the revision of its last write.
	KeyValue struct {
		Key         []byte `json:"key"`
		Value       []byte `json:"value,omitempty"`
		ModRevision int64  `json:"mod_revision,string,omitempty"`
	}

	// TxnRequest executes the operations of Success if all conditions of
	// Compare hold, and nothing otherwise.
	TxnRequest struct {
		Compare []Compare   `json:"compare"`
		Success []RequestOp `json:"success"`
	}

	// Compare is a condition on the revision of a key. An absent key has
	// revision 0.
	Compare struct {
		Target      string `json:"target"`
		Result      string `json:"result"`
		Key         []byte `json:"key"`
		ModRevision int64  `json:"mod_revision,string"`
	}

	// RequestOp is one operation of a transaction; one of its fields is set.
	RequestOp struct {
		Put    *PutRequest   `json:"request_put,omitempty"`
		Delete *RangeRequest `json:"request_delete_range,omitempty"`
	}

	// PutRequest writes a key, bound to a lease unless Lease is 0.
	PutRequest struct {
		Key   []byte `json:"key"`
		Value []byte `json:"value"`
		Lease int64  `json:"lease,string,omitempty"`
	}

	// TxnResponse is the response to a TxnRequest. Succeeded reports whether the
	// conditions held.
	TxnResponse struct {
		Header    Header `json:"header"`
		Succeeded bool   `json:"succeeded,omitempty"`
	}

	// WatchRequest is the request that opens a watch.
	WatchRequest struct {
		Create WatchCreate `json:"create_request"`
	}

	// WatchCreate selects the keys to watch. The watch reports their changes
	// from StartRevision on.
	WatchCreate struct {
		RangeRequest
		StartRevision int64 `json:"start_revision,string"`
	}

	// WatchMessage is one message in the response stream of a watch.
	WatchMessage struct {
		Result WatchResult   `json:"result"`
		Error  *GatewayError `json:"error,omitempty"`
	}

	// WatchResult contains events, or reports that the watch has ended.
	// CompactRevision is not 0 if it ended because the events from its start
	// revision on have been deleted.
	WatchResult struct {
		Created         bool         `json:"created,omitempty"`
		Canceled        bool         `json:"canceled,omitempty"`
		CompactRevision int64        `json:"compact_revision,string,omitempty"`
		Events          []WatchEvent `json:"events,omitempty"`
	}

	// WatchEvent is one change of a key. Type is DeleteEventType if the key was
	// deleted.
	WatchEvent struct {
		Type string   `json:"type,omitempty"`
		Kv   KeyValue `json:"kv"`
	}

	// Lease is a lease in requests and responses. TTL is in seconds; a response
	// without TTL means that the lease has expired.
	Lease struct {
		ID  int64 `json:"ID,string,omitempty"`
		TTL int64 `json:"TTL,string,omitempty"`
	}

	// KeepAliveResponse is the response to the renewal of a lease.
	KeepAliveResponse struct {
		Result Lease `json:"result"`
	}

	// GatewayError is the body of a response with a status other than 200.
	GatewayError struct {
		Code    int    `json:"code"`
		Message string `json:"message"`
	}
)

// PrefixEnd returns the RangeEnd that selects all keys with the prefix.
func PrefixEnd(prefix string) []byte {
	end := []byte(prefix)
	for n := len(end) - 1; n >= 0; n-- {
		if end[n] < 0xff {
			end[n]++
			return end[:n+1]
		}
	}
	return []byte{0}
}
