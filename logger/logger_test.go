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

// sink keeps lines; it can stall.
type sink struct {
	mu    sync.Mutex
	lines []string
	stall chan struct{}
}

func (s *sink) Write(p []byte) (int, error) {
	if s.stall != nil {
		<-s.stall
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lines = append(s.lines, string(bytes.TrimSpace(p)))
	return len(p), nil
}

func (s *sink) count(text string) int {
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

func TestEachLineIsOneWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &sink{}
		log, w := logger.New(s, slog.LevelInfo)
		log.Info("one", "n", 1)
		log.Info("two", "n", 2)
		log.Debug("three")
		time.Sleep(time.Second)
		w.Close(time.Second)
		require.Equal(t, 2, s.count(`"msg"`))
		require.Equal(t, 1, s.count(`"msg":"two","n":2`))
	})
}

// A sink that stalls must delay nobody, and what is lost must be counted.
func TestStalledSinkDelaysNobody(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &sink{stall: make(chan struct{})}
		log, w := logger.New(s, slog.LevelInfo)
		began := time.Now()
		for range 20_000 {
			log.Info("decision", "detail", strings.Repeat("x", 60))
		}
		require.Zero(t, time.Since(began))
		time.Sleep(time.Second)
		require.NotZero(t, w.Dropped())
		dropped := w.Dropped()
		close(s.stall)
		time.Sleep(time.Second)
		log.Info("after")
		time.Sleep(time.Second)
		require.EqualValues(t, 20_000-int(dropped), s.count(`"decision"`))
		require.Equal(t, 1, s.count(`"after"`))
		require.Equal(t, 1, s.count("log lines dropped"))
		w.Close(time.Second)
	})
}

func TestCloseWritesTheLastLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := &sink{}
		log, w := logger.New(s, slog.LevelInfo)
		log.Info("last")
		w.Close(time.Second)
		require.Equal(t, 1, s.count("last"))
	})
}

func BenchmarkLine(b *testing.B) {
	log, w := logger.New(&sink{}, slog.LevelInfo)
	for b.Loop() {
		log.Info("run started", "task", "5c0e7a21d94b36f8.0.1.17", "run", 1, "worker", "i-7f3a91c2", "clock", 482113)
	}
	w.Close(time.Second)
}
