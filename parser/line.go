package parser

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"time"
	"unicode"
	"unicode/utf8"
)

const (
	minDuration = time.Millisecond
	maxDuration = 24 * time.Hour
	maxQuoted   = 40 // characters of a word from the file that an error message shows
)

const (
	nameForm     = "a name of 1 to 63 characters a-z, 0-9 and '-', starting with a letter or digit"
	durationForm = "a duration from 1ms to 24h in whole milliseconds, such as 500ms, 2.2s or 10m"
	percentForm  = "a percentage above 0% and below 100% with at most 4 decimals, such as 99.9%"
	hashForm     = "sha256: and 64 hexadecimal digits in lower case"
)

var (
	namePattern    = regexp.MustCompile(`^[a-z0-9][a-z0-9-]{0,62}$`)
	countPattern   = regexp.MustCompile(`^(0|[1-9][0-9]{0,6})$`)
	percentPattern = regexp.MustCompile(`^[0-9]{1,2}(\.[0-9]{1,4})?%$`)
	hashPattern    = regexp.MustCompile(`^sha256:[0-9a-f]{64}$`)
)

type (
	// lineParser parses the words of one rule. An unexpected word aborts the
	// line: the words after it are not parsed. An invalid value does not abort
	// the line.
	lineParser struct {
		file    *fileParser
		number  int
		code    string // the rule without its comment
		words   []word
		next    int
		end     int // column just after the last word
		aborted bool
	}

	word struct {
		text   string
		column int
	}
)

// newLineParser splits the text of a rule into words and notes the column of
// each.
func newLineParser(f *fileParser, number int, code string) *lineParser {
	l := &lineParser{file: f, number: number, code: code, end: 1}
	column := 1
	for rest := code; rest != ""; {
		trimmed := strings.TrimLeftFunc(rest, unicode.IsSpace)
		column += utf8.RuneCountInString(rest) - utf8.RuneCountInString(trimmed)
		if trimmed == "" {
			break
		}
		text := trimmed
		if i := strings.IndexFunc(trimmed, unicode.IsSpace); i >= 0 {
			text = trimmed[:i]
		}
		l.words = append(l.words, word{text, column})
		column += utf8.RuneCountInString(text)
		l.end = column
		rest = trimmed[len(text):]
	}
	return l
}

// nextWord returns the next word. At the end of the rule it reports an error
// that lists what is allowed there, and aborts the line.
func (l *lineParser) nextWord(allowed string) (word, bool) {
	if l.aborted {
		return word{}, false
	}
	if l.next == len(l.words) {
		l.file.addError(position{l.number, l.end}, "the end of the rule", allowed)
		l.aborted = true
		return word{}, false
	}
	w := l.words[l.next]
	l.next++
	return w, true
}

func (l *lineParser) addError(w word, allowed string) {
	l.file.addError(position{l.number, w.column}, quote(w.text), allowed)
}

// quote returns a word of the file in quotes, shortened to maxQuoted
// characters.
func quote(text string) string {
	if utf8.RuneCountInString(text) <= maxQuoted {
		return strconv.Quote(text)
	}
	return strconv.Quote(string([]rune(text)[:maxQuoted])) + "..."
}

// parseOneOf parses a word that must be one of options. Any other word is
// reported and aborts the line.
func (l *lineParser) parseOneOf(options ...string) string {
	allowed := strings.Join(options, ", ")
	w, ok := l.nextWord(allowed)
	if !ok {
		return ""
	}
	for _, option := range options {
		if w.text == option {
			return option
		}
	}
	l.addError(w, allowed)
	l.aborted = true
	return ""
}

// optionalWord consumes the next word and returns true if that word is text.
func (l *lineParser) optionalWord(text string) bool {
	if l.aborted || l.next == len(l.words) || l.words[l.next].text != text {
		return false
	}
	l.next++
	return true
}

func (l *lineParser) parseName() (string, position) {
	w, ok := l.nextWord(nameForm)
	if ok && !namePattern.MatchString(w.text) {
		l.addError(w, nameForm)
		return "", position{}
	}
	return w.text, position{l.number, w.column}
}

// defineName parses the name of the object that the rule defines.
func (l *lineParser) defineName(kind string) string {
	name, at := l.parseName()
	if name != "" {
		l.file.recordDefinition(objectKey{kind, name}, at)
	}
	return name
}

// referToName parses the name of an object that another rule must define.
func (l *lineParser) referToName(kind string) string {
	name, at := l.parseName()
	if name != "" {
		l.file.references = append(l.file.references, reference{objectKey{kind, name}, at})
	}
	return name
}

func (l *lineParser) parseCount(minimum int) int {
	allowed := fmt.Sprintf("a whole number from %d to %d, without sign or leading zero", minimum, MaxCount)
	w, ok := l.nextWord(allowed)
	if !ok {
		return 0
	}
	n, err := strconv.Atoi(w.text)
	if err != nil || !countPattern.MatchString(w.text) || n < minimum || n > MaxCount {
		l.addError(w, allowed)
		return 0
	}
	return n
}

func (l *lineParser) parseDuration() time.Duration {
	w, ok := l.nextWord(durationForm)
	if !ok {
		return 0
	}
	d, err := time.ParseDuration(w.text)
	if err != nil || d < minDuration || d > maxDuration || d%minDuration != 0 {
		l.addError(w, durationForm)
		return 0
	}
	return d
}

// parsePercent parses a percentage and returns it as a fraction.
func (l *lineParser) parsePercent() float64 {
	w, ok := l.nextWord(percentForm)
	if !ok {
		return 0
	}
	p, err := strconv.ParseFloat(strings.TrimSuffix(w.text, "%"), 64)
	if err != nil || !percentPattern.MatchString(w.text) || p <= 0 {
		l.addError(w, percentForm)
		return 0
	}
	return p / 100
}

func (l *lineParser) parseHash() string {
	w, ok := l.nextWord(hashForm)
	if !ok {
		return ""
	}
	if !hashPattern.MatchString(w.text) {
		l.addError(w, hashForm)
		return ""
	}
	l.file.recordDefinition(objectKey{hashKind, w.text}, position{l.number, w.column})
	return w.text
}

// checkNoWordsLeft reports an error if words follow the complete rule.
func (l *lineParser) checkNoWordsLeft() {
	if l.next < len(l.words) {
		l.addError(l.words[l.next], commentForm)
	}
}
