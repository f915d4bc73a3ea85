package logger_test

import (
	"bytes"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/coltsfootlever/coltsfootlever/logger"
)

// sink records the lines written to it. While the channel blocked is open, each
// Write blocks.
type sink struct {
	mu      sync.Mutex
	lines   []string
	writes  int           // calls of Write
	blocked chan struct{} // nil if writes never block
}

func (s *sink) Write(p []byte) (int, error) {
	if s.blocked != nil {
		<-s.blocked
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.writes++
	for line := range bytes.Lines(p) {
		s.lines = append(s.lines, string(bytes.TrimSuffix(line, []byte("\n"))))
	}
	return len(p), nil
}

// countContaining returns the number of lines that contain text.
func (s *sink) countContaining(text string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, l := range s.lines {
		if strings.Contains(l, text) {
			n++
		}
	}
	return n
}

// Guards against a system call for each line, which costs a busy entry node more
// processor time than its decisions.
func TestLinesAreWrittenTogether(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &sink{}
		log, w := logger.New(s, slog.LevelInfo)
		log.Info("one", "n", 1)
		log.Info("two", "n", 2)
		log.Debug("three")
		time.Sleep(time.Second)
		w.Close(time.Second)
		require.Equal(t, 2, s.countContaining(`"msg"`))
		require.Equal(t, 1, s.writes)
		require.Equal(t, 1, s.countContaining(`"msg":"two","n":2`))
	})
}

// Guards against log calls that block on a sink that does not accept writes, and
// against dropped lines that are not counted.
func TestBlockedSinkDoesNotDelayLogging(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &sink{blocked: make(chan struct{})}
		log, w := logger.New(s, slog.LevelInfo)
		start := time.Now()
		for range 20_000 {
			log.Info("decision", "detail", strings.Repeat("x", 60))
		}
		require.Zero(t, time.Since(start))
		time.Sleep(time.Second)
		require.NotZero(t, w.Dropped())
		dropped := w.Dropped()
		close(s.blocked)
		time.Sleep(time.Second)
		log.Info("after")
		time.Sleep(time.Second)
		require.EqualValues(t, 20_000-int(dropped), s.countContaining(`"decision"`))
		require.Equal(t, 1, s.countContaining(`"after"`))
		require.Equal(t, 1, s.countContaining("log lines dropped because the log buffer was full"))
		w.Close(time.Second)
	})
}

func TestWritesConsistOfCompleteLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &sink{}
		log, w := logger.New(s, slog.LevelInfo)
		for range 100 {
			log.Info("decision", "detail", strings.Repeat("x", 60))
		}
		log.Info("long", "detail", strings.Repeat("x", 50_000))
		log.Info("short", "detail", "")
		time.Sleep(time.Second)
		w.Close(time.Second)
		require.Equal(t, 102, s.countContaining(`"msg"`))
		require.Equal(t, 102, s.countContaining(`"}`), "each line ends with its last field")
		require.Less(t, s.writes, 10)
	})
}

func TestCloseWritesBufferedLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &sink{}
		log, w := logger.New(s, slog.LevelInfo)
		log.Info("last")
		w.Close(time.Second)
		require.Equal(t, 1, s.countContaining("last"))
	})
}

func BenchmarkLogLine(b *testing.B) {
	log, w := logger.New(&sink{}, slog.LevelInfo)
	for b.Loop() {
		log.Info("run started", "task", "5c0e7a21d94b36f8.0.1.17", "run", 1, "worker", "i-7f3a91c2", "clock", 482113)
	}
	w.Close(time.Second)
}
