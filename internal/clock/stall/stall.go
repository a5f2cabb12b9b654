// Package stall ends work that makes no progress, however long the work takes in all.
package stall

import (
	"context"
	"errors"
	"io"
	"time"
)

// ErrStalled is the cause of the end of a context whose work made no progress.
var ErrStalled = errors.New("no progress within the timeout")

// Watch watches the progress of work. A nil Watch watches nothing.
type Watch struct {
	timeout time.Duration
	timer   *time.Timer
	cancel  context.CancelCauseFunc
}

// New returns a context that ends with the cause ErrStalled once Advance was not called for the timeout. Stop
// must be called when the work has ended.
func New(ctx context.Context, timeout time.Duration) (context.Context, *Watch) {
	ctx, cancel := context.WithCancelCause(ctx)
	w := &Watch{timeout: timeout, cancel: cancel}
	w.timer = time.AfterFunc(timeout, func() { cancel(ErrStalled) })
	return ctx, w
}

// Advance records that the work made progress.
func (w *Watch) Advance() {
	if w != nil {
		w.timer.Reset(w.timeout)
	}
}

// Reader returns a reader of which each byte that is read is progress.
func (w *Watch) Reader(r io.Reader) io.Reader {
	return &reader{r, w}
}

type reader struct {
	io.Reader
	watch *Watch
}

// Read implements io.Reader.
func (r *reader) Read(b []byte) (int, error) {
	n, err := r.Reader.Read(b)
	if n > 0 {
		r.watch.Advance()
	}
	return n, err
}

// Stop ends the context and the watch.
func (w *Watch) Stop() {
	w.timer.Stop()
	w.cancel(nil)
}
