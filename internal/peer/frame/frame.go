// Package frame reads and writes the length-prefixed protobuf frames of the streams
// between nodes.
package frame

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"

	"google.golang.org/protobuf/encoding/protowire"
	"google.golang.org/protobuf/proto"

	"filbertturn.example/filbertturn/internal/peer/peerpb"
)

// Sizes in bytes. MaxSize limits what a peer can make this node allocate; it leaves room
// for a store value of 1 MiB.
const (
	MaxSize    = 1<<20 + 1<<16
	prefixSize = 4
)

// SizeError reports a frame that is larger than MaxSize.
type SizeError struct {
	Size int // Size of the frame in bytes.
}

// Error implements the error interface.
func (e *SizeError) Error() string {
	return fmt.Sprintf("frame of %d bytes exceeds the limit of %d bytes", e.Size, MaxSize)
}

// ErrNoRoom is the error of a frame that was not admitted.
var ErrNoRoom = errors.New("no room for a frame")

// FormatError reports a frame that could not be encoded or decoded.
type FormatError struct {
	Err error
}

// Error implements the error interface.
func (e *FormatError) Error() string {
	return "malformed frame: " + e.Err.Error()
}

// Unwrap returns the error of the protobuf encoder or decoder.
func (e *FormatError) Unwrap() error {
	return e.Err
}

// Conn reads and writes frames on a stream. At most one Read and one Write may run at the
// same time.
type Conn struct {
	stream io.ReadWriter
	out    []byte // Reused by Write.
	in     []byte // Reused by Read.

	// Admit, if not nil, is asked by Read before it allocates for further bytes of frames, and then for further
	// fields of them. It must be set before Read is called.
	Admit    func(size, fields int) bool
	admitted int // Fields of the frame with most of them so far.
}

// New returns a Conn on stream.
func New(stream io.ReadWriter) *Conn {
	return &Conn{stream: stream}
}

// Write sends one frame with a single write to the stream.
func (c *Conn) Write(f *peerpb.Frame) error {
	size := proto.Size(f)
	if size > MaxSize {
		return &SizeError{Size: size}
	}
	c.out = binary.BigEndian.AppendUint32(c.out[:0], uint32(size))
	out, err := proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(c.out, f)
	if err != nil {
		return &FormatError{Err: err}
	}
	c.out = out
	_, err = c.stream.Write(out)
	return err
}

// Read reads one frame. It returns io.EOF only between frames.
func (c *Conn) Read() (*peerpb.Frame, error) {
	var prefix [prefixSize]byte
	if _, err := io.ReadFull(c.stream, prefix[:]); err != nil {
		return nil, err
	}
	size := int(binary.BigEndian.Uint32(prefix[:]))
	if size > MaxSize {
		return nil, &SizeError{Size: size}
	}
	if cap(c.in) < size {
		if c.Admit != nil && !c.Admit(size-cap(c.in), 0) {
			return nil, ErrNoRoom
		}
		c.in = make([]byte, size)
	}
	buf := c.in[:size]
	if _, err := io.ReadFull(c.stream, buf); err != nil {
		if err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
		return nil, err
	}
	if c.Admit != nil && !c.admitFields(buf) {
		return nil, ErrNoRoom
	}
	f := new(peerpb.Frame)
	if err := proto.Unmarshal(buf, f); err != nil {
		return nil, &FormatError{Err: err}
	}
	return f, nil
}

// admitFields asks for the fields of a frame that are more than those of all frames before.
func (c *Conn) admitFields(buf []byte) bool {
	n := countFields(buf, fieldDepth)
	if n <= c.admitted {
		return true
	}
	if !c.Admit(0, n-c.admitted) {
		return false
	}
	c.admitted = n
	return true
}

// fieldDepth is that of the messages in the body of a frame, such as the header fields of a request.
const fieldDepth = 2

// countFields counts the fields of a message, and of messages in it down to a depth. What is no message counts up to
// where that shows.
func countFields(buf []byte, depth int) int {
	n := 0
	for len(buf) > 0 {
		number, kind, size := protowire.ConsumeTag(buf)
		if size < 0 {
			return n
		}
		buf = buf[size:]
		size = protowire.ConsumeFieldValue(number, kind, buf)
		if kind == protowire.BytesType {
			var text []byte
			text, size = protowire.ConsumeBytes(buf)
			if depth > 1 {
				n += countFields(text, depth-1)
			}
		}
		if size < 0 {
			return n
		}
		buf = buf[size:]
		n++
	}
	return n
}
