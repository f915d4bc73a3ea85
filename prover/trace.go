package prover

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

const (
	traceLines    = 400 // kept of one subject
	traceSubjects = 3   // printed for one breach
)

// trace remembers what happened to each subject, such as a name or an instance,
// for the report of a breach.
type trace struct {
	start time.Time

	mu    sync.Mutex
	lines map[string][]string
}

func newTrace() *trace {
	return &trace{start: time.Now(), lines: make(map[string][]string)}
}

// note adds a line to a subject.
func (t *trace) note(subject, format string, args ...any) {
	if subject == "" {
		return
	}
	line := fmt.Sprintf("%10s %s", time.Since(t.start).Round(time.Millisecond), fmt.Sprintf(format, args...))
	t.mu.Lock()
	defer t.mu.Unlock()
	lines := append(t.lines[subject], line)
	t.lines[subject] = lines[max(0, len(lines)-traceLines):]
}

// of returns the lines of the subjects that a text names.
func (t *trace) of(text string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var s strings.Builder
	found := 0
	for _, word := range strings.FieldsFunc(text, func(r rune) bool { return strings.ContainsRune(` ",;:()`, r) }) {
		lines := t.lines[word]
		if len(lines) == 0 || found == traceSubjects {
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
