package exchange

import (
	"bufio"
	"errors"
	"io"
)

// maxHeaderLines bounds the lines of the head of a response, as net/http allocates for each: 64 KiB of lines of three bytes
// take 4 MB at the owner and as much at the entry. Servers and clients commonly refuse heads of more than 100 lines.
const maxHeaderLines = 1024

var (
	errHeaderTooLarge = errors.New("response header is too large")
	errTooManyLines   = errors.New("response header has too many lines")
)

// headerLimiter is a reader that limits the bytes and the lines read from conn while it is enabled, which is while the
// header of a response is read.
type headerLimiter struct {
	conn      io.Reader
	remaining int // Bytes that may still be read.
	enabled   bool

	lines  int  // Lines of the head so far.
	inLine bool // Its last line has begun.
	ended  bool // Its empty line was read; what follows is a body or another head.
}

// Read implements io.Reader. It passes on no bytes of which some lines are beyond the limit, and fails from then on, as
// net/textproto ignores an error while it looks ahead.
func (l *headerLimiter) Read(p []byte) (int, error) {
	if !l.enabled {
		return l.conn.Read(p)
	}
	if l.lines > maxHeaderLines {
		return 0, errTooManyLines
	}
	if l.remaining <= 0 {
		return 0, errHeaderTooLarge
	}
	if len(p) > l.remaining {
		p = p[:l.remaining]
	}
	n, err := l.conn.Read(p)
	l.remaining -= n
	if tooMany := l.count(p[:n]); tooMany != nil {
		return 0, tooMany
	}
	return n, err
}

// begin starts to count the lines of a head, the first bytes of which may be in the buffer of r.
func (l *headerLimiter) begin(r *bufio.Reader) error {
	l.lines, l.inLine, l.ended = 0, false, false
	buffered, _ := r.Peek(r.Buffered())
	return l.count(buffered)
}

// count counts the lines in the next bytes of the connection.
func (l *headerLimiter) count(p []byte) error {
	for _, b := range p {
		switch {
		case l.ended:
			return nil
		case b == '\n' && !l.inLine:
			l.ended = true
		case b == '\n':
			l.inLine = false
			if l.lines++; l.lines > maxHeaderLines {
				return errTooManyLines
			}
		case b != '\r':
			l.inLine = true
		}
	}
	return nil
}
