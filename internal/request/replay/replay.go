// Package replay buffers the start of a request's body, so that another attempt can
// read a small body from its start.
package replay

import (
	"errors"
	"io"
	"sync"
	"sync/atomic"
)

// maxReplayable is the largest body, in bytes, that can be sent again.
const maxReplayable = 64 << 10

var errSuperseded = errors.New("body is being read by a later attempt")

// Body reads a source once and buffers its first bytes. It is safe for concurrent use.
type Body struct {
	// These are atomic because a reader that is blocked in the source holds mu, and
	// NewReader and Replayable, which the next attempt calls first, must not wait for it.
	readers  atomic.Int64
	overflow atomic.Bool

	mu       sync.Mutex
	source   io.Reader
	prefix   []byte // The bytes read so far; nil once they exceed maxReplayable.
	consumed int    // Number of bytes read from source.
	endErr   error  // Error that ended source, io.EOF if it was read whole.
}

// New returns a body that reads source.
func New(source io.Reader) *Body {
	return &Body{source: source}
}

// NewReader returns a reader from the start of the body, or false if more of the body
// was read than is buffered. Readers returned earlier fail from then on.
func (b *Body) NewReader() (io.Reader, bool) {
	if b.overflow.Load() {
		return nil, false
	}
	return &reader{body: b, number: b.readers.Add(1)}, true
}

// Replayable reports whether the body can still be read from its start.
func (b *Body) Replayable() bool {
	return !b.overflow.Load()
}

// reader reads a body from its start; only the one with the highest number may read.
type reader struct {
	body   *Body
	number int64
	offset int
}

// Read implements io.Reader. It waits for an earlier reader that is blocked in the
// source; the bytes which that one receives are buffered for this one.
func (r *reader) Read(p []byte) (int, error) {
	b := r.body
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.number != b.readers.Load() {
		return 0, errSuperseded
	}
	if r.offset < b.consumed && b.overflow.Load() {
		// An earlier reader read past the buffered prefix after this one was made.
		return 0, errSuperseded
	}
	if r.offset < len(b.prefix) {
		n := copy(p, b.prefix[r.offset:])
		r.offset += n
		return n, nil
	}
	if b.endErr != nil {
		return 0, b.endErr
	}
	n, err := b.source.Read(p)
	b.store(p[:n])
	b.endErr = err
	r.offset += n
	return n, err
}

// store appends p to the prefix, or drops the prefix if it becomes too long.
func (b *Body) store(p []byte) {
	b.consumed += len(p)
	if b.consumed > maxReplayable {
		b.overflow.Store(true)
		b.prefix = nil
		return
	}
	b.prefix = append(b.prefix, p...)
}
