package logger

import (
	"bytes"
	"io"
	"log/slog"
	"sync"
	"time"
)

const (
	maxBufferedBytes = 256 << 10              // enough for the lines of several seconds at full load
	maxWriteBytes    = 32 << 10               // half of what a pipe holds, so that a slow reader delays few lines
	flushInterval    = 100 * time.Millisecond // lines logged within this time are flushed together
)

// Writer buffers log lines and writes them to a sink that may be slow, in a
// goroutine of its own.
type Writer struct {
	sink    io.Writer
	mu      sync.Mutex
	buf     bytes.Buffer
	dropped uint64        // lines dropped since the last flush
	total   uint64        // lines dropped since the start
	wake    chan struct{} // wakes flushLoop after a Write
	closing chan struct{} // closed by Close
	stopped chan struct{} // closed after the last flush
}

// New returns a logger that writes JSON lines to sink, and the writer that
// buffers them. The caller must call the writer's Close to have the last lines
// written.
func New(sink io.Writer, level slog.Leveler) (*slog.Logger, *Writer) {
	w := &Writer{sink: sink, wake: make(chan struct{}, 1), closing: make(chan struct{}), stopped: make(chan struct{})}
	go w.flushLoop()
	return slog.New(slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level})), w
}

// Write implements io.Writer. line must be a complete log line. Write does not
// wait for the sink and returns no error.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	if w.buf.Len()+len(line) > maxBufferedBytes {
		w.dropped++
		w.total++
	} else {
		_, _ = w.buf.Write(line) // bytes.Buffer.Write always returns a nil error
	}
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped because the buffer was full.
func (w *Writer) Dropped() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.total
}

// Close writes the buffered lines to the sink. It returns when they are written,
// or after timeout.
func (w *Writer) Close(timeout time.Duration) {
	close(w.closing)
	select {
	case <-w.stopped:
	case <-time.After(timeout):
	}
}

// flushLoop flushes the buffer at most once per flushInterval, until Close is
// called.
func (w *Writer) flushLoop() {
	defer close(w.stopped)
	for {
		select {
		case <-w.closing:
			w.flush()
			return
		case <-w.wake:
		}
		select {
		case <-w.closing:
		case <-time.After(flushInterval):
		}
		w.flush()
	}
}

// lengthOfLines returns the length of as many complete lines as limit bytes hold,
// but at least of one.
func lengthOfLines(lines []byte, limit int) int {
	if len(lines) <= limit {
		return len(lines)
	}
	if i := bytes.LastIndexByte(lines[:limit], '\n'); i >= 0 {
		return i + 1
	}
	if i := bytes.IndexByte(lines, '\n'); i >= 0 {
		return i + 1
	}
	return len(lines)
}

// flush writes the buffered lines to the sink in few calls. Before them it writes a warning with
// the number of lines dropped since the last flush, if there are any.
func (w *Writer) flush() {
	w.mu.Lock()
	lines := bytes.Clone(w.buf.Bytes())
	dropped := w.dropped
	w.buf.Reset()
	w.dropped = 0
	w.mu.Unlock()
	if dropped > 0 {
		sinkLog := slog.New(slog.NewJSONHandler(w.sink, nil))
		sinkLog.Warn("log lines dropped because the log buffer was full", "lines", dropped)
	}
	for len(lines) > 0 {
		n := lengthOfLines(lines, maxWriteBytes)
		_, _ = w.sink.Write(lines[:n]) // an error of the log sink cannot be logged anywhere
		lines = lines[n:]
	}
}
