package measurer

import (
	"fmt"
	"io"
	"text/tabwriter"
)

// StoreReads and StoreWrites are the kinds of calls that the key-value service
// serves, without the events of watches.
var (
	StoreReads  = []string{"store-get", "store-list", "store-watch", "store-keep-alive"}
	StoreWrites = []string{"store-swap", "store-delete"}
	storeKinds  = append(append([]string{"store-event"}, StoreReads...), StoreWrites...)
)

// Figure is one measured value of a phase.
type Figure struct {
	Name string
	Of   func(p Phase) float64
}

// Figures returns the figures that are printed, each for an entry and second.
func Figures() []Figure {
	return []Figure{
		{"processor %", func(p Phase) float64 { return p.Processor }},
		{"heap KB", func(p Phase) float64 { return p.Heap / 1024 }},
		{"peer sent B", func(p Phase) float64 { return p.Members[PeerSent].Bytes }},
		{"peer received B", func(p Phase) float64 { return p.Members[PeerReceived].Bytes }},
		{"coordinator sent B", func(p Phase) float64 { return p.Coordinator[PeerSent].Bytes }},
		{"coordinator received B", func(p Phase) float64 { return p.Coordinator[PeerReceived].Bytes }},
		{"heartbeats", func(p Phase) float64 { return p.Members[Heartbeats].Calls }},
		{"store reads", func(p Phase) float64 { return p.Members.Total(StoreReads...).Calls }},
		{"store writes", func(p Phase) float64 { return p.Members.Total(StoreWrites...).Calls }},
		{"store B", func(p Phase) float64 { return p.Members.Total(storeKinds...).Bytes }},
		{"coordinator store reads", func(p Phase) float64 { return p.Coordinator.Total(StoreReads...).Calls }},
		{"coordinator store writes", func(p Phase) float64 { return p.Coordinator.Total(StoreWrites...).Calls }},
		{"coordinator store B", func(p Phase) float64 { return p.Coordinator.Total(storeKinds...).Bytes }},
		{"fleet store reads", func(p Phase) float64 { return p.All.Total(StoreReads...).Calls }},
		{"fleet store writes", func(p Phase) float64 { return p.All.Total(StoreWrites...).Calls }},
		{"list reads", func(p Phase) float64 { return p.Members[ListReads].Calls }},
		{"list B", func(p Phase) float64 { return p.Members[ListReads].Bytes }},
		{"starts", func(p Phase) float64 { return p.Members[Starts].Calls }},
		{"claims", func(p Phase) float64 { return p.Members[Claims].Calls }},
		{"settlements", func(p Phase) float64 { return p.Members[Settlements].Calls }},
		{"forwards", func(p Phase) float64 { return p.Members[Forwards].Calls }},
		{"renewals", func(p Phase) float64 { return p.Members[Renewals].Calls }},
		{"renewals B", func(p Phase) float64 { return p.Members[Renewals].Bytes }},
	}
}

// Slope fits a line to the points by least squares and returns its value at
// x = 0 and its slope.
func Slope(x, y []float64) (base, slope float64) {
	n := float64(len(x))
	var sx, sy, sxx, sxy float64
	for i := range x {
		sx, sy = sx+x[i], sy+y[i]
		sxx, sxy = sxx+x[i]*x[i], sxy+x[i]*y[i]
	}
	slope = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	return (sy - slope*sx) / n, slope
}

// Print writes a table of the figures, a column for each phase.
func (r Report) Print(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(w, "entries/workers/pools/teams %s\t", r.Size)
	for _, p := range r.Phases {
		fmt.Fprintf(w, "%s\t", p.Name)
	}
	fmt.Fprintln(w)
	for _, f := range Figures() {
		fmt.Fprintf(w, "%s\t", f.Name)
		for _, p := range r.Phases {
			fmt.Fprintf(w, "%.4g\t", f.Of(p))
		}
		fmt.Fprintln(w)
	}
	for _, kind := range storeKinds {
		fmt.Fprintf(w, "%s, calls and B, fleet\t", kind)
		for _, p := range r.Phases {
			fmt.Fprintf(w, "%.4g, %.4g\t", p.All[kind].Calls, p.All[kind].Bytes)
		}
		fmt.Fprintln(w)
	}
	fmt.Fprintf(w, "instance list: %.0f B, decoding %.2f ms\t\n", r.ListBytes, r.ListDecode)
	return w.Flush()
}

// PrintSlopes writes the slope of each figure over one dimension of the size,
// a column for each phase.
func PrintSlopes(out io.Writer, name string, of func(Size) int, reports []Report) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintf(w, "for each further %s\t", name)
	for _, p := range reports[0].Phases {
		fmt.Fprintf(w, "%s\t", p.Name)
	}
	fmt.Fprintln(w)
	for _, f := range Figures() {
		fmt.Fprintf(w, "%s\t", f.Name)
		for n := range reports[0].Phases {
			var x, y []float64
			for _, r := range reports {
				x, y = append(x, float64(of(r.Size))), append(y, f.Of(r.Phases[n]))
			}
			_, slope := Slope(x, y)
			fmt.Fprintf(w, "%.3g\t", slope)
		}
		fmt.Fprintln(w)
	}
	return w.Flush()
}
