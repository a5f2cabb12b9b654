// Package buffer lends buffers for the copying of bodies. A buffer of its own for
// each copy would be most of what a request leaves to the garbage collector.
package buffer

import "sync"

// Size is the size of a buffer, in bytes.
const Size = 32 << 10

var pool = sync.Pool{New: func() any { return new(Buffer) }}

// Buffer holds the bytes of one copy at a time.
type Buffer [Size]byte

// Take returns a buffer with any content. Release gives it back.
func Take() *Buffer {
	return pool.Get().(*Buffer)
}

// Release gives a buffer back, which its user must not touch any more.
func (b *Buffer) Release() {
	pool.Put(b)
}
