package commander

import "github.com/coltsfootlever/coltsfootlever/collector"

// PrintMissing prints to the error stream which entries a report leaves out,
// and why.
func (f *Factory) PrintMissing(missing []collector.Missing) {
	for _, m := range missing {
		f.PrintErrf("Without %s, which did not answer: %s\n", m.Entry, m.Reason)
	}
}
