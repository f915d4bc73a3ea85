// Package parser parses, validates, formats and compares the rules that
// operators write: a plain text file with one rule a line, each with a comment
// that says who asked for it.
package parser
