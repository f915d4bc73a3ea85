package commander

import "github.com/coltsfootlever/coltsfootlever/collector"

// PrintMissing names on the error stream the entries that a report lacks.
func (f *Factory) PrintMissing(missing []collector.Missing) {
	for _, m := range missing {
		f.PrintErrf("Without %s, which did not answer: %s\n", m.Entry, m.Reason)
	}
}
