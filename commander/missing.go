package commander

import "github.com/coltsfootlever/coltsfootlever/collector"

// NoteMissing names on the error stream the entries that a report lacks.
func (f *Factory) NoteMissing(missing []collector.Missing) {
	for _, m := range missing {
		f.Notef("Without %s, which did not answer: %s\n", m.Entry, m.Reason)
	}
}
