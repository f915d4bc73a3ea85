package commander

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/juju/errors"
)

const columnGap = 2 // spaces between columns

// PrintJSON prints one JSON value.
func (f *Factory) PrintJSON(v any) error {
	encoder := json.NewEncoder(f.Out)
	encoder.SetIndent("", "  ")
	return errors.Trace(encoder.Encode(v))
}

// PrintTable prints rows: aligned below the header for people, separated by
// tabs without a header for programs.
func (f *Factory) PrintTable(header []string, rows [][]string) error {
	if !f.Terminal {
		for _, row := range rows {
			if _, err := fmt.Fprintln(f.Out, strings.Join(row, "\t")); err != nil {
				return errors.Trace(err)
			}
		}
		return nil
	}
	w := tabwriter.NewWriter(f.Out, 0, 0, columnGap, ' ', 0)
	fmt.Fprintln(w, strings.ToUpper(strings.Join(header, "\t")))
	for _, row := range rows {
		fmt.Fprintln(w, strings.Join(row, "\t"))
	}
	return errors.Trace(w.Flush())
}

// Printf prints a line of text for people on the output.
func (f *Factory) Printf(format string, args ...any) {
	fmt.Fprintf(f.Out, format, args...)
}

// PrintErrf prints a remark on the error stream, away from what programs read.
func (f *Factory) PrintErrf(format string, args ...any) {
	fmt.Fprintf(f.Err, format, args...)
}
