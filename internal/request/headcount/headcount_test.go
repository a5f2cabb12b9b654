package headcount_test

import (
	"bufio"
	"bytes"
	"net/http"
	"strings"
	"testing"

	"filbertturn.example/filbertturn/internal/request/headcount"
)

// TestCounter guards against lines that are not counted, because a form of them is taken for the end of the head.
func TestCounter(t *testing.T) {
	tests := []struct {
		desc, text   string
		bytes, lines int
		ended        bool
	}{
		{"nothing", "", 0, 0, false},
		{"whole", "GET / HTTP/1.1\r\nA: b\r\n\r\nbody\n\n", 24, 3, true},
		{"bare line feeds", "GET / HTTP/1.1\na:\n\nx", 19, 3, true},
		{"empty lines before it", "\r\n\n\r\nGET / HTTP/1.1\r\n\r\nx", 23, 5, true},
		{"empty lines alone", strings.Repeat("\r\n", 100), 200, 100, false},
		{"folded", "GET / HTTP/1.1\r\nA: b\r\n \r\n c\r\n\r\n", 31, 5, true},
		{"colons alone", "GET / HTTP/1.1\r\n:\r\n:\r\n", 22, 3, false},
		{"two carriage returns", "GET / HTTP/1.1\r\n\r\r\nA:\r\n", 23, 3, false},
		{"zeros", strings.Repeat("\x00", 50), 50, 0, false},
	}
	for _, tt := range tests {
		for _, size := range []int{1, 2, 3, 1000} {
			var c headcount.Counter
			for text := []byte(tt.text); len(text) > 0 && !c.Ended(); text = text[min(size, len(text)):] {
				c.Count(text[:min(size, len(text))])
			}
			if c.Bytes != tt.bytes || c.Lines != tt.lines || c.Ended() != tt.ended {
				t.Errorf("%s, %d bytes at once: got %d bytes, %d lines, ended %t, want %d, %d, %t", tt.desc, size, c.Bytes, c.Lines, c.Ended(), tt.bytes, tt.lines, tt.ended)
			}
		}
	}
}

// FuzzCounter guards against heads of which net/http takes more bytes or lines than were counted.
func FuzzCounter(f *testing.F) {
	f.Add([]byte("GET / HTTP/1.1\r\nA: b\r\n c\r\n\r\nbody"), 3)
	f.Add([]byte("\r\nGET / HTTP/1.1\n\n"), 1)
	f.Add([]byte("GET / HTTP/1.1\r\nA:\r\r\n:\r\n\r\n"), 7)
	f.Fuzz(func(t *testing.T, text []byte, size int) {
		size = max(size, 1)
		var c headcount.Counter
		for rest := text; len(rest) > 0 && !c.Ended(); rest = rest[min(size, len(rest)):] {
			c.Count(rest[:min(size, len(rest))])
		}
		in := bufio.NewReader(bytes.NewReader(text))
		r, err := http.ReadRequest(in)
		if err != nil || len(text) > 4000 {
			return
		}
		values := 0
		for _, list := range r.Header {
			values += len(list)
		}
		if taken := len(text) - in.Buffered(); taken > c.Bytes {
			t.Errorf("got %d bytes counted, want the %d of the head at least", c.Bytes, taken)
		}
		if values >= c.Lines {
			t.Errorf("got %d lines counted, want more than the %d fields", c.Lines, values)
		}
	})
}
