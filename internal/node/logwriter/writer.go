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

// New returns a Writer that writes to out.
func New(out io.Writer) *Writer {
	w := &Writer{out: out}
	w.flushed = sync.NewCond(&w.mu)
	return w
}

// Write buffers one line, or drops and counts it if the rate or the buffer is exceeded. It
// never blocks on the output, and never returns an error.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if now := time.Now(); now.Sub(w.windowStart) >= time.Second {
		w.windowStart, w.linesInWindow = now, 0
	}
	w.linesInWindow++
	if w.linesInWindow > linesPerSecond || len(w.pending)+len(line) > maxPendingBytes {
		w.dropped++
		return len(line), nil
	}
	w.pending = append(w.pending, line...)
	if !w.writing {
		w.writing = true
		time.AfterFunc(flushDelay, w.flush)
	}
	return len(line), nil
}

// flush writes pending lines until none are left, followed by the number of lines dropped.
func (w *Writer) flush() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for len(w.pending) > 0 {
		out := w.pending
		w.pending = nil
		if w.dropped > 0 {
			out = fmt.Appendf(out, "{\"Level\":\"warn\",\"Message\":\"log lines dropped\",\"Count\":%d}\n", w.dropped)
			w.dropped = 0
		}
		w.mu.Unlock()
		_, err := w.out.Write(out)
		w.mu.Lock()
		if err != nil {
			// The log cannot be written, and there is nowhere else to report that.
			w.dropped++
		}
	}
	w.writing = false
	w.flushed.Broadcast()
}

// Close waits until all lines are written, or until closeTimeout if the output is blocked.
func (w *Writer) Close() {
	const closeTimeout = 200 * time.Millisecond
	stop := time.AfterFunc(closeTimeout, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.writing = false
		w.flushed.Broadcast()
	})
	defer stop.Stop()
	w.mu.Lock()
	defer w.mu.Unlock()
	for w.writing {
		w.flushed.Wait()
	}
}
