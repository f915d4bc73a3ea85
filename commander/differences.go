package commander

import "github.com/coltsfootlever/coltsfootlever/parser"

// PrintDifferences prints the rules that differ: the rule before the change
// after "-", the rule after the change after "+".
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
