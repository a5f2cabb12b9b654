// Package replay lets another attempt read a request's body from its start, as
// long as the body is small.
package replay

import (
	"errors"
	"io"
	"sync"
)

// limit is the largest body, in bytes, that can be sent again.
const limit = 64 << 10

var errStale = errors.New("body is being read by a later attempt")

// Body reads a source once and keeps its first bytes.
type Body struct {
	mu       sync.Mutex
	source   io.Reader
	kept     []byte
	total    int // Bytes read from source.
	end      error
	readers  int
	overflow bool
}

// New returns a body that reads source.
func New(source io.Reader) *Body {
	return &Body{source: source}
}

// Reader returns a reader from the start of the body, or false if the body's
// start is no longer kept. Readers returned earlier fail from then on.
func (b *Body) Reader() (io.Reader, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.overflow {
		return nil, false
	}
	b.readers++
	return &reader{body: b, number: b.readers}, true
}

type reader struct {
	body   *Body
	number int
	offset int
}

// Read implements io.Reader. An earlier reader that is blocked in the source
// holds the lock; the bytes that it receives are kept for its successor.
func (r *reader) Read(p []byte) (int, error) {
	b := r.body
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.number != b.readers {
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
		b.overflow = true
		b.kept = nil
		return
	}
	b.kept = append(b.kept, p...)
}
