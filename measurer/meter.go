package measurer

import (
	"maps"
	"sync"
)

// Kinds of traffic. The kinds for calls of the key-value service are not listed
// here: their names are "store-" followed by the method.
const (
	PeerSent     = "peer-sent"     // writes to connections with other entries, with their bytes including gRPC and HTTP/2 framing
	PeerReceived = "peer-received" // reads from connections with other entries, with their bytes including gRPC and HTTP/2 framing
	Heartbeats   = "heartbeats"    // heartbeat calls to other entries
	Claims       = "claims"        // calls that claim a job name at the entry responsible for the name
	Settlements  = "settlements"   // calls that report the end of a claimed name to the entry responsible for it
	Forwards     = "forwards"      // calls that forward a task to another entry
	RuleFetches  = "rule-fetches"  // calls that fetch rules changes from another entry
	ListReads    = "list-reads"    // reads of the instance list
	Renewals     = "renewals"      // calls that renew the task leases of a worker
	Starts       = "starts"        // calls that start a task on a worker
)

type (
	// Traffic is a number of calls and the bytes that they carried.
	Traffic struct {
		Calls float64
		Bytes float64
	}

	// TrafficByKind maps each kind of traffic to its amount.
	TrafficByKind map[string]Traffic

	// Counter counts the traffic of one entry.
	Counter struct {
		mu    sync.Mutex
		total TrafficByKind
	}
)

// Add counts one call of the kind and its bytes.
func (c *Counter) Add(kind string, bytes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.total == nil {
		c.total = make(TrafficByKind)
	}
	sum := c.total[kind]
	c.total[kind] = Traffic{Calls: sum.Calls + 1, Bytes: sum.Bytes + float64(bytes)}
}

// Snapshot returns a copy of the traffic counted so far.
func (c *Counter) Snapshot() TrafficByKind {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.total)
}

// SubtractAndDivide returns the difference between a and the earlier snapshot
// before, divided by n: by a number of seconds for the rate, or by a number of
// entries for the mean. If before is nil, nothing is subtracted.
func (a TrafficByKind) SubtractAndDivide(before TrafficByKind, n float64) TrafficByKind {
	diff := make(TrafficByKind, len(a))
	for kind, x := range a {
		y := before[kind]
		diff[kind] = Traffic{Calls: (x.Calls - y.Calls) / n, Bytes: (x.Bytes - y.Bytes) / n}
	}
	return diff
}

// Plus returns the sum of a and b for each kind.
func (a TrafficByKind) Plus(b TrafficByKind) TrafficByKind {
	sum := maps.Clone(a)
	if sum == nil {
		sum = make(TrafficByKind)
	}
	for kind, y := range b {
		x := sum[kind]
		sum[kind] = Traffic{Calls: x.Calls + y.Calls, Bytes: x.Bytes + y.Bytes}
	}
	return sum
}

// Total returns the sum of the traffic of the given kinds.
func (a TrafficByKind) Total(kinds ...string) Traffic {
	var sum Traffic
	for _, kind := range kinds {
		sum.Calls += a[kind].Calls
		sum.Bytes += a[kind].Bytes
	}
	return sum
}
