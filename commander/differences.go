package commander

import "github.com/coltsfootlever/coltsfootlever/parser"

// PrintDifferences prints rules that differ, removed lines after '-' and added
// lines after '+'.
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
