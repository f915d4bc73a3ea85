package keeper

// Paths of the JSON gateway of etcd's v3 interface.
const (
	RangePath     = "/v3/kv/range"
	TxnPath       = "/v3/kv/txn"
	WatchPath     = "/v3/watch"
	GrantPath     = "/v3/lease/grant"
	KeepAlivePath = "/v3/lease/keepalive"
	RevokePath    = "/v3/lease/revoke"
)

// Parts of the messages of the gateway.
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

// Messages of the gateway, with the fields that are used here. Byte slices
// stand as base64 and 64-bit integers as strings.
type (
	// RangeRequest asks for the keys from Key to RangeEnd, without RangeEnd for
	// the one key.
	RangeRequest struct {
		Key      []byte `json:"key"`
		RangeEnd []byte `json:"range_end,omitempty"`
	}

	// RangeResponse answers RangeRequest.
	RangeResponse struct {
		Header Header     `json:"header"`
		Kvs    []KeyValue `json:"kvs,omitempty"`
	}

	// Header stands in every answer.
	Header struct {
		Revision int64 `json:"revision,string"`
	}

	// KeyValue is one key with its value.
	KeyValue struct {
		Key         []byte `json:"key"`
		Value       []byte `json:"value,omitempty"`
		ModRevision int64  `json:"mod_revision,string,omitempty"`
	}

	// TxnRequest does Success when all of Compare hold.
	TxnRequest struct {
		Compare []Compare   `json:"compare"`
		Success []RequestOp `json:"success"`
	}

	// Compare compares the revision of a key; 0 stands for an absent key.
	Compare struct {
		Target      string `json:"target"`
		Result      string `json:"result"`
		Key         []byte `json:"key"`
		ModRevision int64  `json:"mod_revision,string"`
	}

	// RequestOp is one step of a transaction.
	RequestOp struct {
		Put    *PutRequest   `json:"request_put,omitempty"`
		Delete *RangeRequest `json:"request_delete_range,omitempty"`
	}

	// PutRequest writes a key.
	PutRequest struct {
		Key   []byte `json:"key"`
		Value []byte `json:"value"`
		Lease int64  `json:"lease,string,omitempty"`
	}

	// TxnResponse answers TxnRequest.
	TxnResponse struct {
		Header    Header `json:"header"`
		Succeeded bool   `json:"succeeded,omitempty"`
	}

	// WatchRequest opens a watch.
	WatchRequest struct {
		Create WatchCreate `json:"create_request"`
	}

	// WatchCreate says what to watch, from StartRevision on.
	WatchCreate struct {
		RangeRequest
		StartRevision int64 `json:"start_revision,string"`
	}

	// WatchMessage is one message of the stream of a watch.
	WatchMessage struct {
		Result WatchResult   `json:"result"`
		Error  *GatewayError `json:"error,omitempty"`
	}

	// WatchResult carries events, or the end of the watch.
	WatchResult struct {
		Created         bool         `json:"created,omitempty"`
		Canceled        bool         `json:"canceled,omitempty"`
		CompactRevision int64        `json:"compact_revision,string,omitempty"`
		Events          []WatchEvent `json:"events,omitempty"`
	}

	// WatchEvent is one change of a key.
	WatchEvent struct {
		Type string   `json:"type,omitempty"`
		Kv   KeyValue `json:"kv"`
	}

	// Lease carries a lease in requests and answers. TTL counts seconds; an
	// answer without it says that the lease has expired.
	Lease struct {
		ID  int64 `json:"ID,string,omitempty"`
		TTL int64 `json:"TTL,string,omitempty"`
	}

	// KeepAliveResponse answers a renewal.
	KeepAliveResponse struct {
		Result Lease `json:"result"`
	}

	// GatewayError is the body of an answer other than 200.
	GatewayError struct {
		Code    int    `json:"code"`
		Message string `json:"message"`
	}
)

// PrefixEnd returns the end of the range of all keys below a prefix.
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
