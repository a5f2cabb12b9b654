package exchange

import (
	"io"
	"net/url"
	"strings"
)

// requestURL returns the URL with which net/http writes a target as it is, but for a colon before targets that begin
// with two slashes.
func requestURL(target string) *url.URL { return &url.URL{Opaque: target} }

// targetWriter returns a writer that leaves out the colon which net/http writes before a target.
func targetWriter(w io.Writer, method, target string) io.Writer {
	if !strings.HasPrefix(target, "//") {
		return w
	}
	return &byteSkipper{w: w, before: len(method) + len(" ")}
}

// byteSkipper is a writer that leaves out one byte.
type byteSkipper struct {
	w      io.Writer
	before int // Bytes that are still written before it; negative once it was left out.
}

// Write implements io.Writer.
func (s *byteSkipper) Write(p []byte) (int, error) {
	if s.before < 0 || s.before >= len(p) {
		n, err := s.w.Write(p)
		if s.before >= 0 {
			s.before -= n
		}
		return n, err
	}
	at := s.before
	s.before = -1
	if n, err := s.w.Write(p[:at]); err != nil {
		return n, err
	}
	n, err := s.w.Write(p[at+1:])
	return at + 1 + n, err
}
