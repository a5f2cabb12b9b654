package exchange

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

// TestClient_Do_headerLines guards against a head of very many short lines, for each of which memory is allocated, and
// against lines of a body or of an earlier head that count as those of the head.
func TestClient_Do_headerLines(t *testing.T) {
	const id = "ID: one\r\n"
	full := strings.Repeat("a:\n", maxHeaderLines-3) // Beside the status line, the identifier and the length.
	tests := []struct {
		desc  string
		text  string
		want  string
		body  string
		bytes uint64 // That may be allocated; zero means any number.
	}{
		{"as many as allowed", "HTTP/1.1 200 OK\n" + id + full + "Content-Length: 2\n\nok", "", "ok", 0},
		{"one more", "HTTP/1.1 200 OK\n" + id + full + "a:\nContent-Length: 2\n\nok", "BrokenAnswer", "", 0},
		{"64 KiB of the same name", "HTTP/1.1 200 OK\n" + id + strings.Repeat("a:\n", 21_000) + "\n", "BrokenAnswer", "", 512 << 10},
		{"64 KiB of names", "HTTP/1.1 200 OK\n" + id + names(9_000) + "\n", "BrokenAnswer", "", 512 << 10},
		{"folded lines", "HTTP/1.1 200 OK\n" + id + "a: b\n" + strings.Repeat(" c\n", maxHeaderLines) + "Content-Length: 2\n\nok", "BrokenAnswer", "", 0},
		{"body of lines", "HTTP/1.1 200 OK\r\n" + id + "Content-Length: 4000\r\n\r\n" + strings.Repeat("x\n", 2000), "", strings.Repeat("x\n", 2000), 0},
		{"after interim heads", strings.Repeat("HTTP/1.1 103 Early Hints\n"+strings.Repeat("a:\n", 500)+"\n", 4) + "HTTP/1.1 200 OK\n" + id + full + "Content-Length: 2\n\nok", "", "ok", 0},
		{"interim head", "HTTP/1.1 103 Early Hints\n" + full + "a:\na:\na:\n\nHTTP/1.1 200 OK\n" + id + "Content-Length: 2\n\nok", "BrokenAnswer", "", 0},
		{"one more after an interim head", "HTTP/1.1 103 Early Hints\na: b\n\nHTTP/1.1 200 OK\n" + id + full + "a:\nContent-Length: 2\n\nok", "BrokenAnswer", "", 0},
		{"after a response to another request", "HTTP/1.1 200 OK\nID: two\n" + full + "Content-Length: 40\n\n" + strings.Repeat("\n", 40) + "HTTP/1.1 200 OK\n" + id + full + "Content-Length: 2\n\nok", "", "ok", 0},
	}
	for _, tt := range tests {
		for _, piece := range []int{1 << 20, 1500} {
			t.Run(fmt.Sprintf("%s/pieces of %d bytes", tt.desc, piece), func(t *testing.T) {
				c, _ := serve(t, func(w io.Writer, _ *http.Request) bool {
					for rest := tt.text; rest != ""; time.Sleep(100 * time.Microsecond) {
						n, err := io.WriteString(w, rest[:min(piece, len(rest))])
						if err != nil {
							return false
						}
						rest = rest[n:]
					}
					return true
				})
				c.Dialect = echoDialect{}
				before := allocated()
				got, body := doWithin(c, identified("one"), patience)
				if got != tt.want || body != tt.body {
					t.Errorf("got %q with %d bytes, want %q with %d", got, len(body), tt.want, len(tt.body))
				}
				if got := allocated() - before; tt.bytes > 0 && got > tt.bytes {
					t.Errorf("got %d bytes allocated, want at most %d", got, tt.bytes)
				}
			})
		}
	}
}

// names returns a number of header lines with distinct names.
func names(n int) string {
	var b strings.Builder
	for i := range n {
		_, _ = fmt.Fprintf(&b, "g%x:\n", i)
	}
	return b.String()
}
