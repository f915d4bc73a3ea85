// Package parser reads, checks, prints and compares the operators' rules: a
// plain text file with one rule a line, each with a comment on who asked for
// it.
package parser
