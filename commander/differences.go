package commander

import "github.com/coltsfootlever/coltsfootlever/parser"

// PrintDifferences prints each rule that differs: a line with "-" and the old
// rule, and a line with "+" and the new rule.
func (f *Factory) PrintDifferences(differences []parser.Difference) {
	for _, d := range differences {
		if d.Before != "" {
			f.Printf("- %s\n", d.Before)
		}
		if d.After != "" {
			f.Printf("+ %s\n", d.After)
		}
	}
}
