package prover

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	maxLinesPerSubject   = 400 // older lines are dropped
	maxSubjectsPerBreach = 3   // whose lines are printed
)

// trace keeps the recent events of each subject, such as a request name or an
// instance, so that the report of a breach can show them.
type trace struct {
	start time.Time

	mu    sync.Mutex
	lines map[string][]string
}

func newTrace() *trace {
	return &trace{start: time.Now(), lines: make(map[string][]string)}
}

// add adds a line with the time since the start to a subject.
func (t *trace) add(subject, format string, args ...any) {
	if subject == "" {
		return
	}
	line := fmt.Sprintf("%10s %s", time.Since(t.start).Round(time.Millisecond), fmt.Sprintf(format, args...))
	t.mu.Lock()
	defer t.mu.Unlock()
	lines := append(t.lines[subject], line)
	t.lines[subject] = lines[max(0, len(lines)-maxLinesPerSubject):]
}

// linesOfSubjectsIn returns the lines of the subjects that occur as words in
// text.
func (t *trace) linesOfSubjectsIn(text string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var s strings.Builder
	found := 0
	for _, word := range strings.FieldsFunc(text, func(r rune) bool { return strings.ContainsRune(` ",;:()`, r) }) {
		lines := t.lines[word]
		if len(lines) == 0 || found == maxSubjectsPerBreach {
			continue
		}
		found++
		fmt.Fprintf(&s, "  trace of %s\n", word)
		for _, line := range lines {
			fmt.Fprintf(&s, "  %s\n", line)
		}
	}
	return s.String()
}
