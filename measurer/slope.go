package measurer

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// StoreReads and StoreWrites are the kinds of traffic for calls of the key-value
// service. They do not include "store-event", the events sent to watches.
var (
	StoreReads  = []string{"store-get", "store-list", "store-watch", "store-keep-alive"}
	StoreWrites = []string{"store-swap", "store-delete"}
	storeKinds  = append(append([]string{"store-event"}, StoreReads...), StoreWrites...)
)

// Metric is one measured value of a phase.
type Metric struct {
	Name  string
	Value func(p Phase) float64
}

// Metrics returns the metrics to print. Traffic is per second. All metrics are
// for one entry, except those whose names start with "fleet".
func Metrics() []Metric {
	return []Metric{
		{"processor %", func(p Phase) float64 { return p.CPUPercent }},
		{"heap KB", func(p Phase) float64 { return p.HeapBytes / 1024 }},
		{"peer sent B", func(p Phase) float64 { return p.NonCoordinatorMean[PeerSent].Bytes }},
		{"peer received B", func(p Phase) float64 { return p.NonCoordinatorMean[PeerReceived].Bytes }},
		{"coordinator sent B", func(p Phase) float64 { return p.Coordinator[PeerSent].Bytes }},
		{"coordinator received B", func(p Phase) float64 { return p.Coordinator[PeerReceived].Bytes }},
		{"heartbeats", func(p Phase) float64 { return p.NonCoordinatorMean[Heartbeats].Calls }},
		{"store reads", func(p Phase) float64 { return p.NonCoordinatorMean.Total(StoreReads...).Calls }},
		{"store writes", func(p Phase) float64 { return p.NonCoordinatorMean.Total(StoreWrites...).Calls }},
		{"store B", func(p Phase) float64 { return p.NonCoordinatorMean.Total(storeKinds...).Bytes }},
		{"coordinator store reads", func(p Phase) float64 { return p.Coordinator.Total(StoreReads...).Calls }},
		{"coordinator store writes", func(p Phase) float64 { return p.Coordinator.Total(StoreWrites...).Calls }},
		{"coordinator store B", func(p Phase) float64 { return p.Coordinator.Total(storeKinds...).Bytes }},
		{"fleet store reads", func(p Phase) float64 { return p.FleetSum.Total(StoreReads...).Calls }},
		{"fleet store writes", func(p Phase) float64 { return p.FleetSum.Total(StoreWrites...).Calls }},
		{"list reads", func(p Phase) float64 { return p.NonCoordinatorMean[ListReads].Calls }},
		{"list B", func(p Phase) float64 { return p.NonCoordinatorMean[ListReads].Bytes }},
		{"starts", func(p Phase) float64 { return p.NonCoordinatorMean[Starts].Calls }},
		{"claims", func(p Phase) float64 { return p.NonCoordinatorMean[Claims].Calls }},
		{"settlements", func(p Phase) float64 { return p.NonCoordinatorMean[Settlements].Calls }},
		{"forwards", func(p Phase) float64 { return p.NonCoordinatorMean[Forwards].Calls }},
		{"renewals", func(p Phase) float64 { return p.NonCoordinatorMean[Renewals].Calls }},
		{"renewals B", func(p Phase) float64 { return p.NonCoordinatorMean[Renewals].Bytes }},
	}
}

// LinearFit fits a line to the points by least squares and returns its value at
// x = 0 and its slope.
func LinearFit(x, y []float64) (intercept, slope float64) {
	n := float64(len(x))
	var sumX, sumY, sumXX, sumXY float64
	for i := range x {
		sumX, sumY = sumX+x[i], sumY+y[i]
		sumXX, sumXY = sumXX+x[i]*x[i], sumXY+x[i]*y[i]
	}
	slope = (n*sumXY - sumX*sumY) / (n*sumXX - sumX*sumX)
	return (sumY - slope*sumX) / n, slope
}

// Print writes a table with a row for each metric and a column for each phase.
func (r Result) Print(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(w, "entries/workers/pools/teams %s\t", r.Size)
	for _, p := range r.Phases {
		fmt.Fprintf(w, "%s\t", p.Name)
	}
	fmt.Fprintln(w)
	for _, m := range Metrics() {
		fmt.Fprintf(w, "%s\t", m.Name)
		for _, p := range r.Phases {
			fmt.Fprintf(w, "%.4g\t", m.Value(p))
		}
		fmt.Fprintln(w)
	}
	for _, kind := range storeKinds {
		fmt.Fprintf(w, "%s, calls and B, fleet\t", kind)
		for _, p := range r.Phases {
			fmt.Fprintf(w, "%.4g, %.4g\t", p.FleetSum[kind].Calls, p.FleetSum[kind].Bytes)
		}
		fmt.Fprintln(w)
	}
	fmt.Fprintf(w, "instance list: %.0f B, decoding %.2f ms\t\n", r.ListBytes, r.ListDecodeMS)
	return w.Flush()
}

// PrintSlopes writes by how much each metric grows when one dimension of the
// fleet size grows by one, with a column for each phase. dimension returns this
// dimension of a size, and name is its name.
func PrintSlopes(out io.Writer, name string, dimension func(Size) int, results []Result) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(w, "for each further %s\t", name)
	for _, p := range results[0].Phases {
		fmt.Fprintf(w, "%s\t", p.Name)
	}
	fmt.Fprintln(w)
	for _, m := range Metrics() {
		fmt.Fprintf(w, "%s\t", m.Name)
		for phase := range results[0].Phases {
			var x, y []float64
			for _, r := range results {
				x, y = append(x, float64(dimension(r.Size))), append(y, m.Value(r.Phases[phase]))
			}
			_, slope := LinearFit(x, y)
			fmt.Fprintf(w, "%.3g\t", slope)
		}
		fmt.Fprintln(w)
	}
	return w.Flush()
}
