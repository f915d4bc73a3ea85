package parser

import (
	"fmt"
	"strings"
)

type (
	// Error is one error in a rules file.
	Error struct {
		File    string `json:"file"`
		Line    int    `json:"line"`    // from 1
		Column  int    `json:"column"`  // in characters, from 1
		Found   string `json:"found"`   // text at that position
		Allowed string `json:"allowed"` // what is allowed there instead
	}

	// Errors holds all errors of a rules file, in order of position.
	Errors []Error

	position struct {
		line   int
		column int
	}
)

// Error implements error.
func (e Error) Error() string {
	return fmt.Sprintf("%s:%d:%d: found %s; allowed: %s", e.File, e.Line, e.Column, e.Found, e.Allowed)
}

// Error implements error. The text has one line for each error.
func (e Errors) Error() string {
	lines := make([]string, 0, len(e))
	for _, one := range e {
		lines = append(lines, one.Error())
	}
	return strings.Join(lines, "\n")
}

// before orders positions by line, then by column.
func (p position) before(q position) bool {
	if p.line != q.line {
		return p.line < q.line
	}
	return p.column < q.column
}
