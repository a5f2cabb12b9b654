package logwriter_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"filbertturn.example/filbertturn/internal/node/logwriter"
)

// blockedWriter is an output whose reader has stopped reading: writes block until release
// is closed.
type blockedWriter struct{ release chan struct{} }

func (b *blockedWriter) Write(p []byte) (int, error) {
	<-b.release
	return len(p), nil
}

func TestWriter_Write_doesNotBlock(t *testing.T) {
	b := &blockedWriter{release: make(chan struct{})}
	defer close(b.release)
	l := logwriter.New(b)
	line := []byte(strings.Repeat("x", 1000) + "\n")
	started := time.Now()
	for range 10_000 {
		if _, err := l.Write(line); err != nil {
			t.Fatal(err)
		}
	}
	if got, want := time.Since(started), time.Second; got > want {
		t.Errorf("10,000 lines with a blocked output: got %s, want at most %s", got, want)
	}
}

// safeBuffer is a buffer for concurrent use.
type safeBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (s *safeBuffer) Write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.Write(p)
}

func (s *safeBuffer) String() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.b.String()
}

func TestWriter_Write_countsDropped(t *testing.T) {
	var out safeBuffer
	l := logwriter.New(&out)
	for range 1000 {
		_, _ = l.Write([]byte("line\n"))
	}
	l.Close()
	got := out.String()
	if lines := strings.Count(got, "line\n"); lines == 0 || lines >= 1000 {
		t.Errorf("got %d lines, want some and fewer than all", lines)
	}
	if !strings.Contains(got, "log lines dropped") {
		t.Errorf("got no count of dropped lines in %q", got[max(0, len(got)-200):])
	}
}
