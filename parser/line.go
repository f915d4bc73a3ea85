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
	maxQuoted   = 40 // characters of a word shown in a message
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
	// line reads the words of one rule. A word in the wrong place breaks the
	// line: the words after it are not read. A bad value does not.
	line struct {
		file   *fileReader
		number int
		code   string // text before the comment
		words  []word
		next   int
		end    int // column after the last word
		broken bool
	}

	word struct {
		text   string
		column int
	}
)

func newLine(f *fileReader, number int, code string) *line {
	l := &line{file: f, number: number, code: code, end: 1}
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

// take returns the next word. At the end of the rule it reports what is
// allowed there and breaks the line.
func (l *line) take(allowed string) (word, bool) {
	if l.broken {
		return word{}, false
	}
	if l.next == len(l.words) {
		l.file.fail(place{l.number, l.end}, "the end of the rule", allowed)
		l.broken = true
		return word{}, false
	}
	w := l.words[l.next]
	l.next++
	return w, true
}

func (l *line) fail(w word, allowed string) {
	l.file.fail(place{l.number, w.column}, quote(w.text), allowed)
}

// quote shows a word of the file in a message, shortened.
func quote(text string) string {
	if utf8.RuneCountInString(text) <= maxQuoted {
		return strconv.Quote(text)
	}
	return strconv.Quote(string([]rune(text)[:maxQuoted])) + "..."
}

// choice takes one of the given words.
func (l *line) choice(options ...string) string {
	allowed := strings.Join(options, ", ")
	w, ok := l.take(allowed)
	if !ok {
		return ""
	}
	for _, option := range options {
		if w.text == option {
			return option
		}
	}
	l.fail(w, allowed)
	l.broken = true
	return ""
}

// optional takes the word if it comes next.
func (l *line) optional(text string) bool {
	if l.broken || l.next == len(l.words) || l.words[l.next].text != text {
		return false
	}
	l.next++
	return true
}

func (l *line) name() (string, place) {
	w, ok := l.take(nameForm)
	if ok && !namePattern.MatchString(w.text) {
		l.fail(w, nameForm)
		return "", place{}
	}
	return w.text, place{l.number, w.column}
}

// define takes the name of the object that the rule defines.
func (l *line) define(kind string) string {
	name, at := l.name()
	if name != "" {
		l.file.define(object{kind, name}, at)
	}
	return name
}

// use takes the name of an object that another rule defines.
func (l *line) use(kind string) string {
	name, at := l.name()
	if name != "" {
		l.file.uses = append(l.file.uses, use{object{kind, name}, at})
	}
	return name
}

func (l *line) count(least int) int {
	allowed := fmt.Sprintf("a whole number from %d to %d, without sign or leading zero", least, MaxCount)
	w, ok := l.take(allowed)
	if !ok {
		return 0
	}
	n, err := strconv.Atoi(w.text)
	if err != nil || !countPattern.MatchString(w.text) || n < least || n > MaxCount {
		l.fail(w, allowed)
		return 0
	}
	return n
}

func (l *line) duration() time.Duration {
	w, ok := l.take(durationForm)
	if !ok {
		return 0
	}
	d, err := time.ParseDuration(w.text)
	if err != nil || d < minDuration || d > maxDuration || d%minDuration != 0 {
		l.fail(w, durationForm)
		return 0
	}
	return d
}

// percent takes a percentage and returns it as a fraction.
func (l *line) percent() float64 {
	w, ok := l.take(percentForm)
	if !ok {
		return 0
	}
	p, err := strconv.ParseFloat(strings.TrimSuffix(w.text, "%"), 64)
	if err != nil || !percentPattern.MatchString(w.text) || p <= 0 {
		l.fail(w, percentForm)
		return 0
	}
	return p / 100
}

func (l *line) hash() string {
	w, ok := l.take(hashForm)
	if !ok {
		return ""
	}
	if !hashPattern.MatchString(w.text) {
		l.fail(w, hashForm)
		return ""
	}
	l.file.define(object{hashKind, w.text}, place{l.number, w.column})
	return w.text
}

// finish reports words after the end of the rule.
func (l *line) finish() {
	if l.next < len(l.words) {
		l.fail(l.words[l.next], askedFor)
	}
}
