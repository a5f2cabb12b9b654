package exchange

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"strings"
	"testing"
	"time"

	"filbertturn.example/filbertturn/internal/request/dialect"
	"filbertturn.example/filbertturn/internal/request/kind"
)

// TestClient_Do_statusLine guards against status lines that are none and count as those of an answer or of an interim
// response, after which the next bytes on the connection count as the answer.
func TestClient_Do_statusLine(t *testing.T) {
	tests := []struct {
		line string
		want string
	}{
		{"HTTP/1.1 200 OK", ""},
		{"HTTP/1.0 200 OK", ""},
		{"HTTP/1.1 200", ""},
		{"HTTP/1.1 200 ", ""},
		{"HTTP/1.1 599 Failed", ""},
		{"HTTP/1.1 299 Odd", ""},
		{"HTTP/1.1 100 Continue", "interim"},
		{"HTTP/1.1 199 Odd", "interim"},
		{"HTTP/1.1 101 Switching Protocols", "BrokenAnswer"},
		{"HTTP/1.1 000 None", "BrokenAnswer"},
		{"HTTP/1.1 001 None", "BrokenAnswer"},
		{"HTTP/1.1 020 None", "BrokenAnswer"},
		{"HTTP/1.1 099 None", "BrokenAnswer"},
		{"HTTP/1.1 600 Odd", "BrokenAnswer"},
		{"HTTP/1.1 999 Odd", "BrokenAnswer"},
		{"HTTP/1.1 1000 Odd", "BrokenAnswer"},
		{"HTTP/1.1 2000 Odd", "BrokenAnswer"},
		{"HTTP/1.1 0200 Odd", "BrokenAnswer"},
		{"HTTP/1.1 20 OK", "BrokenAnswer"},
		{"HTTP/1.1 2 OK", "BrokenAnswer"},
		{"HTTP/1.1  OK", "BrokenAnswer"},
		{"HTTP/1.1 +20 OK", "BrokenAnswer"},
		{"HTTP/1.1 -20 OK", "BrokenAnswer"},
		{"HTTP/1.1 -00 OK", "BrokenAnswer"},
		{"HTTP/1.1 2x0 OK", "BrokenAnswer"},
		{"HTTP/1.1 abc OK", "BrokenAnswer"},
		{"HTTP/1.1 0x1 OK", "BrokenAnswer"},
		{"HTTP/1.1 2_0 OK", "BrokenAnswer"},
		{"HTTP/1.1 ２００ OK", "BrokenAnswer"},
		{"HTTP/1.1 200\tOK", "BrokenAnswer"},
		{"HTTP/1.1 200\x00OK", "BrokenAnswer"},
		{"HTTP/1.1 200\rOK", "BrokenAnswer"},
		{"HTTP/1.1  200 OK", "BrokenAnswer"},
		{"HTTP/1.1\t200 OK", "BrokenAnswer"},
		{" HTTP/1.1 200 OK", "BrokenAnswer"},
		{"\r\nHTTP/1.1 200 OK", "BrokenAnswer"},
		{"HTTP/0.9 200 OK", "BrokenAnswer"},
		{"HTTP/1.2 200 OK", "BrokenAnswer"},
		{"HTTP/2.0 200 OK", "BrokenAnswer"},
		{"HTTP/2 200 OK", "BrokenAnswer"},
		{"HTTP/3.0 200 OK", "BrokenAnswer"},
		{"HTTP/1.1.1 200 OK", "BrokenAnswer"},
		{"HTTP/11 200 OK", "BrokenAnswer"},
		{"http/1.1 200 OK", "BrokenAnswer"},
		{"ICY 200 OK", "BrokenAnswer"},
		{"200 OK", "BrokenAnswer"},
		{"", "BrokenAnswer"},
	}
	const fields, next = "ID: one\r\nX-Request-Id: one\r\nContent-Length: 0\r\n\r\n", cutHead + "Content-Length: 4\r\n\r\nnext"
	for _, tt := range tests {
		for _, d := range []dialect.Dialect{nil, echoDialect{}} {
			for _, first := range []string{"", "HTTP/1.1 103 Early Hints\r\n\r\n"} {
				t.Run(fmt.Sprintf("%q/dialect %v/interim first %v", tt.line, d != nil, first != ""), func(t *testing.T) {
					t.Parallel()
					closed := make(chan struct{})
					c, _ := serve(t, func(w io.Writer, _ *http.Request) bool {
						defer close(closed)
						_, _ = io.WriteString(w, first+tt.line+"\r\n"+fields+next)
						_, _ = w.(net.Conn).Read(make([]byte, 1)) // The client closes the connection.
						return false
					})
					c.Dialect = d
					r := identified("one")
					r.Idempotent = true
					got, body := doWithin(c, r, patience)
					want, wantBody := tt.want, ""
					if want == "interim" {
						want, wantBody = "", "next"
					}
					if got != want || body != wantBody {
						t.Errorf("got %q with body %q, want %q with body %q", got, body, want, wantBody)
					}
					c.Close()
					select {
					case <-closed:
					case <-time.After(patience):
						t.Error("got a connection that stays open, want it closed")
					}
				})
			}
		}
	}
}

// TestClient_Do_statusLineOpen guards against a request that waits for more of what can be no status line.
func TestClient_Do_statusLineOpen(t *testing.T) {
	for _, text := range []string{"\n", "X", "HTTP/3", "HTTP/1.1 0", "HTTP/1.1 +"} {
		c, _ := serve(t, func(w io.Writer, _ *http.Request) bool {
			_, _ = io.WriteString(w, text)
			_, _ = w.(net.Conn).Read(make([]byte, 1))
			return false
		})
		if got, _ := doWithin(c, request("one"), patience); got != kind.BrokenAnswer.String() {
			t.Errorf("%q: got %q, want %s", text, got, kind.BrokenAnswer)
		}
	}
}

// FuzzExchange_readHeader lets a backend server send arbitrary bytes. A response must have a status line that says its
// status, and a head within its bounds.
func FuzzExchange_readHeader(f *testing.F) {
	for _, w := range wholeResponses {
		f.Add([]byte(w.text))
	}
	for _, line := range []string{"HTTP/1.1 000 None", "HTTP/1.1 +20 OK", "HTTP/3.0 200 OK", "HTTP/1.1 1000 Odd", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.0 200"} {
		f.Add([]byte(line + "\r\nID: one\r\nContent-Length: 0\r\n\r\n"))
	}
	f.Add([]byte("HTTP/1.1 200 OK\r\n" + strings.Repeat("a:\r\n", 2000) + "\r\n"))
	form := regexp.MustCompile(`(?m)^HTTP/1\.[01] ([1-5][0-9]{2})(?: .*)?$`)
	f.Fuzz(func(t *testing.T, data []byte) {
		n := &conn{limiter: headerLimiter{conn: bytes.NewReader(data)}}
		n.r = bufio.NewReaderSize(&n.limiter, bufferSize)
		x := &exchange{client: &Client{Dialect: echoDialect{}}, conn: n, request: identified("one")}
		resp, err := x.readHeader()
		if err != nil {
			return
		}
		defer func() { _ = resp.Body.Close() }()
		if resp.StatusCode < 200 || resp.StatusCode > 599 {
			t.Errorf("got status %d, want 200 to 599", resp.StatusCode)
		}
		fields := 0
		for _, values := range resp.Header {
			fields += len(values)
		}
		if fields >= maxHeaderLines {
			t.Errorf("got %d fields, want fewer than %d", fields, maxHeaderLines)
		}
		found := false
		for _, line := range form.FindAllStringSubmatch(strings.ReplaceAll(string(data), "\r\n", "\n"), -1) {
			found = found || line[1] == fmt.Sprint(resp.StatusCode)
		}
		if !found {
			t.Errorf("got status %d, which no status line has", resp.StatusCode)
		}
	})
}
