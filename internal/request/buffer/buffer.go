// Package buffer pools the buffers for copying bodies. If every copy allocated its own
// buffer, buffers would be most of the garbage that a request produces.
package buffer

import "sync"

// Size is the size of a buffer, in bytes.
const Size = 32 << 10

var pool = sync.Pool{New: func() any { return new(Buffer) }}

// Buffer is a buffer that one copy uses at a time.
type Buffer [Size]byte

// Get returns a buffer from the pool, with arbitrary content. The caller must call Release.
func Get() *Buffer {
	return pool.Get().(*Buffer)
}

// Release returns the buffer to the pool; it must not be used afterwards.
func (b *Buffer) Release() {
	pool.Put(b)
}
