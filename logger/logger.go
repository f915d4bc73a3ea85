package logger

import (
	"bytes"
	"io"
	"log/slog"
	"sync"
	"time"
)

const (
	maxBuffered   = 256 << 10              // bytes; several seconds of decisions at full load
	flushInterval = 100 * time.Millisecond // one system call for the lines of this time
)

// Writer buffers lines for a slow sink.
type Writer struct {
	sink    io.Writer
	mu      sync.Mutex
	buf     bytes.Buffer
	dropped uint64 // lines since the last flush
	total   uint64
	wake    chan struct{}
	done    chan struct{}
	idle    chan struct{}
}

// New returns a JSON logger and its writer, which Close flushes.
func New(sink io.Writer, level slog.Leveler) (*slog.Logger, *Writer) {
	w := &Writer{sink: sink, wake: make(chan struct{}, 1), done: make(chan struct{}), idle: make(chan struct{})}
	go w.run()
	return slog.New(slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level})), w
}

// Write implements io.Writer for whole lines. It never waits for the sink and
// never fails.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	if w.buf.Len()+len(line) > maxBuffered {
		w.dropped++
		w.total++
	} else {
		_, _ = w.buf.Write(line) // a buffer's Write returns no error
	}
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Dropped is the number of lines that found the buffer full.
func (w *Writer) Dropped() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.total
}

// Close writes what is buffered, waiting at most for d.
func (w *Writer) Close(d time.Duration) {
	close(w.done)
	select {
	case <-w.idle:
	case <-time.After(d):
	}
}

func (w *Writer) run() {
	defer close(w.idle)
	for {
		select {
		case <-w.done:
			w.flush()
			return
		case <-w.wake:
		}
		select {
		case <-w.done:
		case <-time.After(flushInterval):
		}
		w.flush()
	}
}

func (w *Writer) flush() {
	w.mu.Lock()
	lines := bytes.Clone(w.buf.Bytes())
	dropped := w.dropped
	w.buf.Reset()
	w.dropped = 0
	w.mu.Unlock()
	if dropped > 0 {
		note := slog.New(slog.NewJSONHandler(w.sink, nil))
		note.Warn("log lines dropped", "lines", dropped)
	}
	for line := range bytes.Lines(lines) {
		_, _ = w.sink.Write(line) // there is nowhere to report a failed log
	}
}
