// Package headcount counts the bytes and lines of the head of an HTTP/1 request as they are read, before anything is
// allocated for them.
package headcount

import "bytes"

// Counter counts one head. The zero value is ready for the first byte.
type Counter struct {
	Bytes int // Bytes of the head so far.
	Lines int // Lines that have ended.

	line    int  // Bytes of the line that is read, without the line feed.
	first   byte // The first of them.
	started bool // A line that is not empty has ended. Empty ones before it are a part of the head.
	ended   bool
}

// Count counts the bytes of p up to the end of the head, and returns their number. Whatever follows an empty line
// after others is not a part of the head.
func (c *Counter) Count(p []byte) int {
	n := 0
	for n < len(p) && !c.ended {
		rest := p[n:]
		i := bytes.IndexByte(rest, '\n')
		if i < 0 {
			c.extend(rest)
			n = len(p)
			break
		}
		c.extend(rest[:i])
		empty := c.line == 0 || c.line == 1 && c.first == '\r'
		c.Lines++
		c.ended = c.started && empty
		c.started = c.started || !empty
		c.line = 0
		n += i + 1
	}
	c.Bytes += n
	return n
}

// extend adds a part of a line.
func (c *Counter) extend(p []byte) {
	if c.line == 0 && len(p) > 0 {
		c.first = p[0]
	}
	c.line += len(p)
}

// Ended reports whether the whole head was counted.
func (c *Counter) Ended() bool { return c.ended }
