package measurer

import (
	"maps"
	"sync"
)

// Kinds of traffic beside the calls of the key-value service, which are named
// "store-" and the method.
const (
	PeerSent     = "peer-sent"     // bytes written to peers' connections, with framing
	PeerReceived = "peer-received" // bytes read from peers' connections, with framing
	Heartbeats   = "heartbeats"    // calls made
	Claims       = "claims"        // of names, made to their homes
	Settlements  = "settlements"   // of names, made to their homes
	Forwards     = "forwards"      // of tasks, made to peers
	RuleFetches  = "rule-fetches"  // of rule changes, made to peers
	ListReads    = "list-reads"    // of the instance list
	Renewals     = "renewals"      // of workers' leases
	Starts       = "starts"        // of tasks
)

type (
	// Amount is how often something was done and how many bytes it carried.
	Amount struct {
		Calls float64
		Bytes float64
	}

	// Amounts are amounts by kind.
	Amounts map[string]Amount

	// Meter counts the traffic of one entry.
	Meter struct {
		mu   sync.Mutex
		sums Amounts
	}
)

// Add counts one call with its bytes.
func (m *Meter) Add(kind string, bytes int) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.sums == nil {
		m.sums = make(Amounts)
	}
	a := m.sums[kind]
	m.sums[kind] = Amount{Calls: a.Calls + 1, Bytes: a.Bytes + float64(bytes)}
}

// Read returns the amounts so far.
func (m *Meter) Read() Amounts {
	m.mu.Lock()
	defer m.mu.Unlock()
	return maps.Clone(m.sums)
}

// Since returns what was added to before, divided by n.
func (a Amounts) Since(before Amounts, n float64) Amounts {
	diff := make(Amounts, len(a))
	for kind, x := range a {
		y := before[kind]
		diff[kind] = Amount{Calls: (x.Calls - y.Calls) / n, Bytes: (x.Bytes - y.Bytes) / n}
	}
	return diff
}

// Plus returns the sums by kind.
func (a Amounts) Plus(b Amounts) Amounts {
	sum := maps.Clone(a)
	if sum == nil {
		sum = make(Amounts)
	}
	for kind, y := range b {
		x := sum[kind]
		sum[kind] = Amount{Calls: x.Calls + y.Calls, Bytes: x.Bytes + y.Bytes}
	}
	return sum
}

// Total returns the sum over kinds.
func (a Amounts) Total(kinds ...string) Amount {
	var sum Amount
	for _, kind := range kinds {
		sum.Calls += a[kind].Calls
		sum.Bytes += a[kind].Bytes
	}
	return sum
}
