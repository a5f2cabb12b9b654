// Package replay lets another attempt read a request's body from its start, as
// long as the body is small.
package replay

import (
	"errors"
	"io"
	"sync"
	"sync/atomic"
)

// limit is the largest body, in bytes, that can be sent again.
const limit = 64 << 10

var errStale = errors.New("body is being read by a later attempt")

// Body reads a source once and keeps its first bytes.
type Body struct {
	// A reader that is blocked in the source holds mu, so that what the next
	// attempt asks for first does not need it.
	readers  atomic.Int64
	overflow atomic.Bool

	mu     sync.Mutex
	source io.Reader
	kept   []byte
	total  int // Bytes read from source.
	end    error
}

// New returns a body that reads source.
func New(source io.Reader) *Body {
	return &Body{source: source}
}

// Reader returns a reader from the start of the body, or false if the body's
// start is no longer kept. Readers returned earlier fail from then on.
func (b *Body) Reader() (io.Reader, bool) {
	if b.overflow.Load() {
		return nil, false
	}
	return &reader{body: b, number: b.readers.Add(1)}, true
}

// Kept reports whether the body can be read from its start.
func (b *Body) Kept() bool {
	return !b.overflow.Load()
}

type reader struct {
	body   *Body
	number int64
	offset int
}

// Read implements io.Reader. An earlier reader that is blocked in the source
// holds the lock; the bytes that it receives are kept for its successor.
func (r *reader) Read(p []byte) (int, error) {
	b := r.body
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.number != b.readers.Load() {
		return 0, errStale
	}
	if r.offset < b.total && b.overflow.Load() {
		// An earlier reader took more of the body after this one was made.
		return 0, errStale
	}
	if r.offset < len(b.kept) {
		n := copy(p, b.kept[r.offset:])
		r.offset += n
		return n, nil
	}
	if b.end != nil {
		return 0, b.end
	}
	n, err := b.source.Read(p)
	b.keep(p[:n])
	b.end = err
	r.offset += n
	return n, err
}

func (b *Body) keep(p []byte) {
	b.total += len(p)
	if b.total > limit {
		b.overflow.Store(true)
		b.kept = nil
		return
	}
	b.kept = append(b.kept, p...)
}
