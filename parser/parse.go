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

// Limits of a rules file.
const (
	MaxFileBytes    = 1 << 20
	MaxLineBytes    = 4096
	MaxCommentBytes = 3072      // leaves room on the line for the longest rule in canonical form
	MaxCount        = 1_000_000 // largest number in a rule
	maxErrors       = 1000      // errors listed before the others are only counted
)

// Kinds of objects. A rule starts with the kind that it defines; only hashKind
// is not the first word of a rule.
const (
	teamKind      = "team"
	queueKind     = "queue"
	poolKind      = "pool"
	keyKind       = "key"
	budgetKind    = "budget"
	objectiveKind = "objective"
	hashKind      = "hash" // hash of a key; no two keys may have the same
)

const commentForm = "'#' and who asked for the rule"

type (
	// fileParser collects the rules of one file and the errors in it.
	fileParser struct {
		file       string
		rules      Rules
		defined    map[objectKey]position
		references []reference
		errs       Errors
	}

	// objectKey identifies an object that a rule defines and that other rules
	// may refer to.
	objectKey struct {
		kind string
		name string
	}

	// Lines holds the line of each rule of a file.
	Lines map[objectKey]int

	// reference is a position at which a rule refers to an object.
	reference struct {
		objectKey
		position
	}
)

// Parse parses a rules file and validates the rules as a whole. The file name
// is used in messages only. All errors in the rules are returned together as
// Errors; an error of any other type comes from reading r.
func Parse(file string, r io.Reader) (*Rules, error) {
	rules, _, err := ParseWithLines(file, r)
	return rules, err
}

// ParseWithLines is like Parse, and also returns the lines of the rules.
func ParseWithLines(file string, r io.Reader) (*Rules, Lines, error) {
	data, err := io.ReadAll(io.LimitReader(r, MaxFileBytes+1))
	if err != nil {
		return nil, nil, errors.Annotatef(err, "reading %s", file)
	}
	f := &fileParser{file: file, defined: map[objectKey]position{}}
	if f.checkWholeFile(data) {
		f.parseLines(data)
		f.checkReferences()
	}
	if len(f.errs) > 0 {
		return nil, nil, f.sortedErrors()
	}
	lines := Lines{}
	for key, at := range f.defined {
		lines[key] = at.line
	}
	return &f.rules, lines, nil
}

// Of returns the line of the rule with the kind and the name that a Difference has,
// or 0 if the file has no such rule.
func (l Lines) Of(kind, name string) int {
	return l[objectKey{kind, name}]
}

// checkWholeFile reports whether the file can be parsed line by line. It
// records an error if the file is too large, empty or not text.
func (f *fileParser) checkWholeFile(data []byte) bool {
	if len(data) > MaxFileBytes {
		f.addError(positionOf(data, MaxFileBytes), "a file of more than 1 MiB", "at most 1 MiB")
		return false
	}
	if at := firstBinaryByte(data); at >= 0 {
		f.addError(positionOf(data, at), "binary data", "a text file in UTF-8 with one rule a line")
		return false
	}
	if len(bytes.TrimSpace(data)) == 0 {
		f.addError(position{1, 1}, "an empty file", "at least one rule")
		return false
	}
	return true
}

// firstBinaryByte returns the offset of the first byte that is NUL or not valid
// UTF-8, or -1.
func firstBinaryByte(data []byte) int {
	for at := 0; at < len(data); {
		r, size := utf8.DecodeRune(data[at:])
		if r == 0 || r == utf8.RuneError && size <= 1 {
			return at
		}
		at += size
	}
	return -1
}

// positionOf converts a byte offset into a line and a column.
func positionOf(data []byte, at int) position {
	head := data[:at]
	start := bytes.LastIndexByte(head, '\n') + 1
	return position{
		line:   bytes.Count(head, []byte{'\n'}) + 1,
		column: utf8.RuneCount(head[start:]) + 1,
	}
}

func (f *fileParser) parseLines(data []byte) {
	text := strings.TrimPrefix(string(data), "\ufeff")
	rules := 0
	for i, raw := range strings.Split(text, "\n") {
		raw = strings.TrimSuffix(raw, "\r")
		if len(raw) > MaxLineBytes {
			column := utf8.RuneCountInString(raw[:MaxLineBytes]) + 1
			f.addError(position{i + 1, column}, fmt.Sprintf("a line of %d bytes", len(raw)), fmt.Sprintf("at most %d bytes", MaxLineBytes))
			rules++
			continue
		}
		if isRuleLine(raw) {
			f.parseRuleLine(i+1, raw)
			rules++
		}
	}
	if rules == 0 {
		f.addError(position{1, 1}, "no rule", "at least one rule")
	}
}

// isRuleLine reports whether a line holds a rule: it is neither empty nor only
// a comment.
func isRuleLine(raw string) bool {
	trimmed := strings.TrimSpace(raw)
	return trimmed != "" && trimmed[0] != '#'
}

func (f *fileParser) parseRuleLine(number int, raw string) {
	code, comment, hasComment := strings.Cut(raw, "#")
	comment = strings.TrimSpace(comment)
	l := newLineParser(f, number, code)
	rule := l.parseRule(comment)
	if !l.aborted {
		l.checkNoWordsLeft()
	}
	f.checkComment(l, raw, comment, hasComment)
	if rule != nil {
		rule(&f.rules)
	}
}

func (f *fileParser) checkComment(l *lineParser, raw, comment string, present bool) {
	start := utf8.RuneCountInString(l.code) + 1
	switch {
	case !present:
		f.addError(position{l.number, l.end}, "no comment", commentForm)
	case !strings.ContainsFunc(comment, isWordRune):
		f.addError(position{l.number, start}, "an empty comment", commentForm)
	case len(comment) > MaxCommentBytes:
		f.addError(position{l.number, start}, fmt.Sprintf("a comment of %d bytes", len(comment)), fmt.Sprintf("at most %d bytes", MaxCommentBytes))
	}
	column := 0
	for _, r := range raw {
		column++
		if unicode.IsControl(r) && r != '\t' {
			f.addError(position{l.number, column}, fmt.Sprintf("control character %U", r), "printable text")
			return
		}
	}
}

func isWordRune(r rune) bool {
	return unicode.IsLetter(r) || unicode.IsDigit(r)
}

// recordDefinition records that a rule defines an object, and reports an error
// if another rule defines the same object.
func (f *fileParser) recordDefinition(o objectKey, at position) {
	first, ok := f.defined[o]
	if !ok {
		f.defined[o] = at
		return
	}
	allowed := fmt.Sprintf("one rule for each %s, the first is in line %d", o.kind, first.line)
	f.addError(at, fmt.Sprintf("a second rule for %s %q", o.kind, o.name), allowed)
}

// checkReferences reports each reference to an object that no rule defines.
func (f *fileParser) checkReferences() {
	for _, u := range f.references {
		if _, ok := f.defined[u.objectKey]; ok {
			continue
		}
		found := fmt.Sprintf("%s %q, which no rule defines", u.kind, u.name)
		f.addError(u.position, found, f.describeDefined(u.kind))
	}
}

// describeDefined lists the defined objects of a kind for an error message, at
// most maxNames of them by name.
func (f *fileParser) describeDefined(kind string) string {
	const maxNames = 8
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
	case len(names) > maxNames:
		return fmt.Sprintf("one of %s and %d more", strings.Join(names[:maxNames], ", "), len(names)-maxNames)
	default:
		return "one of " + strings.Join(names, ", ")
	}
}

func (f *fileParser) addError(at position, found, allowed string) {
	f.errs = append(f.errs, Error{File: f.file, Line: at.line, Column: at.column, Found: found, Allowed: allowed})
}

// sortedErrors returns the errors ordered by position. Beyond maxErrors it
// replaces the rest by one error that counts them.
func (f *fileParser) sortedErrors() Errors {
	sort.SliceStable(f.errs, func(i, j int) bool {
		a, b := f.errs[i], f.errs[j]
		return position{a.Line, a.Column}.before(position{b.Line, b.Column})
	})
	if len(f.errs) <= maxErrors {
		return f.errs
	}
	rest := f.errs[maxErrors]
	rest.Found = fmt.Sprintf("%d more faults from here on", len(f.errs)-maxErrors)
	rest.Allowed = "a file with fewer faults: mend those above first"
	return append(f.errs[:maxErrors:maxErrors], rest)
}
