// Package logbook writes log lines without ever making their writers wait.
package logbook

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// capacity bounds the bytes that wait to be written.
	capacity = 1 << 20

	// linesPerSecond bounds the lines that are taken in. Lines beyond it are
	// counted, and the count is written in their place.
	linesPerSecond = 400

	// gather is the time for which lines are collected into one write.
	gather = 50 * time.Millisecond
)

// Logbook is an io.Writer of whole lines. Use New to make one.
type Logbook struct {
	out io.Writer

	mu      sync.Mutex
	pending []byte
	writing bool
	dropped uint64
	second  time.Time // Start of the second that lines counts.
	lines   int
	idle    *sync.Cond
}

// New returns a logbook that writes to out.
func New(out io.Writer) *Logbook {
	l := &Logbook{out: out}
	l.idle = sync.NewCond(&l.mu)
	return l
}

// Write takes in one line. It never waits and never fails.
func (l *Logbook) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now(); now.Sub(l.second) >= time.Second {
		l.second, l.lines = now, 0
	}
	l.lines++
	if l.lines > linesPerSecond || len(l.pending)+len(line) > capacity {
		l.dropped++
		return len(line), nil
	}
	l.pending = append(l.pending, line...)
	if !l.writing {
		l.writing = true
		time.AfterFunc(gather, l.flush)
	}
	return len(line), nil
}

// flush writes what is pending until there is nothing left.
func (l *Logbook) flush() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(l.pending) > 0 {
		out := l.pending
		l.pending = nil
		if l.dropped > 0 {
			out = fmt.Appendf(out, "{\"Level\":\"warn\",\"Message\":\"log lines dropped\",\"Count\":%d}\n", l.dropped)
			l.dropped = 0
		}
		l.mu.Unlock()
		_, err := l.out.Write(out)
		l.mu.Lock()
		if err != nil {
			// Nobody reads the log; there is no other place to say so.
			l.dropped++
		}
	}
	l.writing = false
	l.idle.Broadcast()
}

// Close waits until all lines are written, for a moment at most.
func (l *Logbook) Close() {
	const patience = 200 * time.Millisecond
	stop := time.AfterFunc(patience, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.writing = false
		l.idle.Broadcast()
	})
	defer stop.Stop()
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.writing {
		l.idle.Wait()
	}
}
