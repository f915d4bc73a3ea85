package commander

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"

	"github.com/juju/errors"
)

const columnGap = 2 // minimum number of spaces between columns

// PrintJSON prints a value as indented JSON.
func (f *Factory) PrintJSON(v any) error {
	encoder := json.NewEncoder(f.Out)
	encoder.SetIndent("", "  ")
	return errors.Trace(encoder.Encode(v))
}

// PrintTable prints rows. On a terminal the columns are aligned below the
// header; otherwise they are separated by tabs, without a header, so that
// programs can parse them.
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

// Printf prints formatted text to the output stream.
func (f *Factory) Printf(format string, args ...any) {
	fmt.Fprintf(f.Out, format, args...)
}

// PrintErrf prints formatted text to the error stream, so that programs that
// parse the output do not see it.
func (f *Factory) PrintErrf(format string, args ...any) {
	fmt.Fprintf(f.Err, format, args...)
}
