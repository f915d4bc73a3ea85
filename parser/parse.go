package parser

import (
	"bytes"
	"fmt"
	"io"
	"sort"
	"strings"
	"unicode"
	"unicode/utf8"

	"github.com/juju/errors"
)

// Bounds of a rules file.
const (
	MaxFileBytes    = 1 << 20
	MaxLineBytes    = 4096
	MaxCommentBytes = 3072      // leaves room for the longest rule in canonical form
	MaxCount        = 1_000_000 // largest number in a rule
	maxErrors       = 1000      // faults listed before the rest is summed up
)

// Kinds of objects, as the first word of a rule names them.
const (
	teamKind      = "team"
	queueKind     = "queue"
	poolKind      = "pool"
	keyKind       = "key"
	budgetKind    = "budget"
	objectiveKind = "objective"
	hashKind      = "hash" // value of a key, unique like a name
)

const askedFor = "'#' and who asked for the rule"

type (
	// fileReader gathers the rules and the faults of one file.
	fileReader struct {
		file    string
		rules   Rules
		defined map[object]place
		uses    []use
		faults  Errors
	}

	// object is a thing that a rule defines and other rules may name.
	object struct {
		kind string
		name string
	}

	// use is a place where a rule names an object.
	use struct {
		object
		place
	}
)

// Parse reads a rules file and checks the set as a whole. The name of the
// file is for messages only. All faults come back at once as Errors; any other
// error is one of reading from r.
func Parse(file string, r io.Reader) (*Rules, error) {
	data, err := io.ReadAll(io.LimitReader(r, MaxFileBytes+1))
	if err != nil {
		return nil, errors.Annotatef(err, "reading %s", file)
	}
	f := &fileReader{file: file, defined: map[object]place{}}
	if f.readable(data) {
		f.readLines(data)
		f.checkUses()
	}
	if len(f.faults) > 0 {
		return nil, f.sorted()
	}
	return &f.rules, nil
}

// readable reports faults of the file as a whole.
func (f *fileReader) readable(data []byte) bool {
	if len(data) > MaxFileBytes {
		f.fail(placeOf(data, MaxFileBytes), "a file of more than 1 MiB", "at most 1 MiB")
		return false
	}
	if at := binary(data); at >= 0 {
		f.fail(placeOf(data, at), "binary data", "a text file in UTF-8 with one rule a line")
		return false
	}
	if len(bytes.TrimSpace(data)) == 0 {
		f.fail(place{1, 1}, "an empty file", "at least one rule")
		return false
	}
	return true
}

// binary returns the offset of the first byte that is NUL or not UTF-8, or -1.
func binary(data []byte) int {
	for at := 0; at < len(data); {
		r, size := utf8.DecodeRune(data[at:])
		if r == 0 || r == utf8.RuneError && size <= 1 {
			return at
		}
		at += size
	}
	return -1
}

func placeOf(data []byte, at int) place {
	head := data[:at]
	start := bytes.LastIndexByte(head, '\n') + 1
	return place{
		line:   bytes.Count(head, []byte{'\n'}) + 1,
		column: utf8.RuneCount(head[start:]) + 1,
	}
}

func (f *fileReader) readLines(data []byte) {
	text := strings.TrimPrefix(string(data), "\ufeff")
	rules := 0
	for i, raw := range strings.Split(text, "\n") {
		raw = strings.TrimSuffix(raw, "\r")
		if len(raw) > MaxLineBytes {
			column := utf8.RuneCountInString(raw[:MaxLineBytes]) + 1
			f.fail(place{i + 1, column}, fmt.Sprintf("a line of %d bytes", len(raw)), fmt.Sprintf("at most %d bytes", MaxLineBytes))
			rules++
			continue
		}
		if isRule(raw) {
			f.readRule(i+1, raw)
			rules++
		}
	}
	if rules == 0 {
		f.fail(place{1, 1}, "no rule", "at least one rule")
	}
}

// isRule tells a rule from an empty line and from a line that is all comment.
func isRule(raw string) bool {
	trimmed := strings.TrimSpace(raw)
	return trimmed != "" && trimmed[0] != '#'
}

func (f *fileReader) readRule(number int, raw string) {
	code, comment, hasComment := strings.Cut(raw, "#")
	comment = strings.TrimSpace(comment)
	l := newLine(f, number, code)
	rule := l.rule(comment)
	if !l.broken {
		l.finish()
	}
	f.checkComment(l, raw, comment, hasComment)
	if rule != nil {
		rule(&f.rules)
	}
}

func (f *fileReader) checkComment(l *line, raw, comment string, present bool) {
	start := utf8.RuneCountInString(l.code) + 1
	switch {
	case !present:
		f.fail(place{l.number, l.end}, "no comment", askedFor)
	case !strings.ContainsFunc(comment, isWordRune):
		f.fail(place{l.number, start}, "an empty comment", askedFor)
	case len(comment) > MaxCommentBytes:
		f.fail(place{l.number, start}, fmt.Sprintf("a comment of %d bytes", len(comment)), fmt.Sprintf("at most %d bytes", MaxCommentBytes))
	}
	column := 0
	for _, r := range raw {
		column++
		if unicode.IsControl(r) && r != '\t' {
			f.fail(place{l.number, column}, fmt.Sprintf("control character %U", r), "printable text")
			return
		}
	}
}

func isWordRune(r rune) bool {
	return unicode.IsLetter(r) || unicode.IsDigit(r)
}

// define records an object and reports a second definition of it.
func (f *fileReader) define(o object, at place) {
	first, ok := f.defined[o]
	if !ok {
		f.defined[o] = at
		return
	}
	allowed := fmt.Sprintf("one rule for each %s, the first is in line %d", o.kind, first.line)
	f.fail(at, fmt.Sprintf("a second rule for %s %q", o.kind, o.name), allowed)
}

// checkUses reports names of objects that no rule defines.
func (f *fileReader) checkUses() {
	for _, u := range f.uses {
		if _, ok := f.defined[u.object]; ok {
			continue
		}
		found := fmt.Sprintf("%s %q, which no rule defines", u.kind, u.name)
		f.fail(u.place, found, f.names(u.kind))
	}
}

// names lists some defined objects of a kind for a message.
func (f *fileReader) names(kind string) string {
	const most = 8
	var names []string
	for o := range f.defined {
		if o.kind == kind {
			names = append(names, o.name)
		}
	}
	sort.Strings(names)
	switch {
	case len(names) == 0:
		return fmt.Sprintf("a %s that a rule of this file defines; there is none", kind)
	case len(names) > most:
		return fmt.Sprintf("one of %s and %d more", strings.Join(names[:most], ", "), len(names)-most)
	default:
		return "one of " + strings.Join(names, ", ")
	}
}

func (f *fileReader) fail(at place, found, allowed string) {
	f.faults = append(f.faults, Error{File: f.file, Line: at.line, Column: at.column, Found: found, Allowed: allowed})
}

// sorted returns the faults by place, the rest beyond a bound summed up.
func (f *fileReader) sorted() Errors {
	sort.SliceStable(f.faults, func(i, j int) bool {
		a, b := f.faults[i], f.faults[j]
		return place{a.Line, a.Column}.before(place{b.Line, b.Column})
	})
	if len(f.faults) <= maxErrors {
		return f.faults
	}
	rest := f.faults[maxErrors]
	rest.Found = fmt.Sprintf("%d more faults from here on", len(f.faults)-maxErrors)
	rest.Allowed = "a file with fewer faults: mend those above first"
	return append(f.faults[:maxErrors:maxErrors], rest)
}
