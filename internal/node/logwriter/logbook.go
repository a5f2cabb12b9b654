// Package logwriter writes log lines asynchronously, so that a slow or blocked output never
// blocks the code that logs. Lines in excess of a rate or a buffer are dropped and counted.
package logwriter

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// maxPendingBytes limits the buffer of lines that are not written yet.
	maxPendingBytes = 1 << 20

	// linesPerSecond limits the rate of lines. Lines beyond it are dropped and counted,
	// and the count is logged instead.
	linesPerSecond = 400

	// flushDelay is the time for which lines are batched into one write.
	flushDelay = 50 * time.Millisecond
)

// Writer is an asynchronous io.Writer of whole lines. Use New to create one. It is safe for
// concurrent use.
type Writer struct {
	out io.Writer

	mu            sync.Mutex
	pending       []byte
	writing       bool
	dropped       uint64
	windowStart   time.Time // Start of the second in which linesInWindow counts.
	linesInWindow int
	flushed       *sync.Cond
}

// New returns a Logbook that writes to out.
func New(out io.Writer) *Writer {
	l := &Writer{out: out}
	l.flushed = sync.NewCond(&l.mu)
	return l
}

// Write buffers one line, or drops and counts it if the rate or the buffer is exceeded. It
// never blocks on the output, and never returns an error.
func (l *Writer) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now := time.Now(); now.Sub(l.windowStart) >= time.Second {
		l.windowStart, l.linesInWindow = now, 0
	}
	l.linesInWindow++
	if l.linesInWindow > linesPerSecond || len(l.pending)+len(line) > maxPendingBytes {
		l.dropped++
		return len(line), nil
	}
	l.pending = append(l.pending, line...)
	if !l.writing {
		l.writing = true
		time.AfterFunc(flushDelay, l.flush)
	}
	return len(line), nil
}

// flush writes pending lines until none are left, followed by the number of lines dropped.
func (l *Writer) flush() {
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
			// The log cannot be written, and there is nowhere else to report that.
			l.dropped++
		}
	}
	l.writing = false
	l.flushed.Broadcast()
}

// Close waits until all lines are written, or until closeTimeout if the output is blocked.
func (l *Writer) Close() {
	const closeTimeout = 200 * time.Millisecond
	stop := time.AfterFunc(closeTimeout, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.writing = false
		l.flushed.Broadcast()
	})
	defer stop.Stop()
	l.mu.Lock()
	defer l.mu.Unlock()
	for l.writing {
		l.flushed.Wait()
	}
}
