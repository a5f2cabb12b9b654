package exchange

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"filbertturn.example/filbertturn/internal/request/failure"
	"filbertturn.example/filbertturn/internal/request/kind"
)

// uploadSize is more than the buffers of a connection hold, so that an upload that is not read is under way when the
// connection ends.
const uploadSize = 16 << 20

// earlyEnd is how a backend server ends the connection after an early answer.
type earlyEnd string

const (
	endReset     earlyEnd = "reset"
	endReadAll   earlyEnd = "end after the upload was read"
	endHalfClose earlyEnd = "end of its direction, then the upload is read"
	endCloseLate earlyEnd = "end of its direction, then a reset"
)

// startEarly starts a backend server that answers uploads once it has their head, and ends the connection.
func startEarly(t *testing.T, text string, end earlyEnd) *Client {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			raw, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				conn := raw.(*net.TCPConn)
				defer func() { _ = conn.Close() }()
				r, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				_, _ = io.WriteString(conn, text)
				switch end {
				case endReset:
					_ = conn.SetLinger(0)
				case endReadAll:
					_, _ = io.Copy(io.Discard, r.Body)
				case endHalfClose:
					_ = conn.CloseWrite()
					_, _ = io.Copy(io.Discard, r.Body)
				case endCloseLate:
					_ = conn.CloseWrite()
					time.Sleep(time.Millisecond)
					_ = conn.SetLinger(0)
				}
			}()
		}
	}()
	return &Client{Address: netip.MustParseAddrPort(l.Addr().String()), Dialect: echoDialect{}, DialTimeout: patience}
}

// upload returns a request with a body of uploadSize.
func upload(id string) *Request {
	r := identified(id)
	r.Body, r.ContentLength = io.LimitReader(zeros{}, uploadSize), uploadSize
	return r
}

// zeros is a reader of bytes of zero without end.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}

const (
	earlyLength = cutHead + "Content-Length: 12\r\n\r\n"
	earlyChunks = cutHead + "Transfer-Encoding: chunked\r\n\r\n"
)

// TestClient_Do_resetDuringUpload guards against a part of a response without a length that counts as whole because the
// goroutine that writes the request got the error of a reset, and the one that reads the end of the connection. A response
// that is whole by its framing must be delivered.
func TestClient_Do_resetDuringUpload(t *testing.T) {
	tests := []struct {
		desc string
		text string
		end  earlyEnd
		want string
		body string
	}{
		{"without a length", cutHead + "\r\npart", endReset, "BrokenAnswer", ""},
		{"without a length, no byte of the body", cutHead + "\r\n", endReset, "BrokenAnswer", ""},
		{"without a length, after an interim response", "HTTP/1.1 100 Continue\r\n\r\n" + cutHead + "\r\npart", endReset, "BrokenAnswer", ""},
		{"without a length, of HTTP/1.0", strings.Replace(cutHead, "1.1", "1.0", 1) + "\r\npart", endReset, "BrokenAnswer", ""},
		{"without a length, ended then reset", cutHead + "\r\npart", endCloseLate, "BrokenAnswer", ""},
		{"without a length, upload read", cutHead + "\r\nwhole", endReadAll, "", "whole"},
		{"without a length, upload read after the end", cutHead + "\r\nwhole", endHalfClose, "", "whole"},
		{"length, part", earlyLength + "part", endReset, "BrokenAnswer", ""},
		{"length, whole", earlyLength + "hello, world", endReset, "", "hello, world"},
		{"chunks, part", earlyChunks + "4\r\npart\r\n", endReset, "BrokenAnswer", ""},
		{"chunks, whole", earlyChunks + "5\r\nhello\r\n0\r\n\r\n", endReset, "", "hello"},
		{"interim response alone", "HTTP/1.1 100 Continue\r\n\r\n", endReset, "BrokenAnswer", ""},
		{"part of a head", cutHead, endReset, "BrokenAnswer", ""},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			plays := 100
			if tt.end != endReset {
				plays = 20 // Uploads that are read take longer, and their outcome depends less on the order of events.
			}
			c := startEarly(t, tt.text, tt.end)
			wrong := 0
			for i := range plays {
				r := upload("one")
				c.sent = sentIDs{} // Each play is a request of its own.
				got, body := doWithin(c, r, patience)
				if got != tt.want || got == "" && body != tt.body {
					if wrong++; wrong == 1 {
						t.Errorf("play %d: got %q with body %q, want %q with body %q", i, got, body, tt.want, tt.body)
					}
				}
			}
			if wrong > 0 {
				t.Errorf("got %d of %d plays wrong", wrong, plays)
			}
			if got := len(c.idle); got != 0 {
				t.Errorf("got %d connections kept, want none", got)
			}
		})
	}
}

// orderedConn is a connection on which the error of a reset is seen by the writes first, or by the reads.
type orderedConn struct {
	*net.TCPConn
	text        atomic.Int64  // Bytes that arrive before the reset; reads of them are not held.
	writesFirst bool          // Otherwise reads come first.
	failed      chan struct{} // Closed once the operation that comes first has failed.
	once        sync.Once
}

func (c *orderedConn) Read(p []byte) (int, error) {
	if c.text.Load() <= 0 && c.writesFirst {
		<-c.failed
	}
	n, err := c.TCPConn.Read(p)
	c.text.Add(-int64(n))
	if err != nil && !c.writesFirst {
		c.once.Do(func() { close(c.failed) })
	}
	return n, err
}

func (c *orderedConn) Write(p []byte) (int, error) {
	if c.text.Load() <= 0 && !c.writesFirst {
		<-c.failed
	}
	n, err := c.TCPConn.Write(p)
	if err != nil && c.writesFirst {
		c.once.Do(func() { close(c.failed) })
	}
	return n, err
}

// TestClient_Do_resetSeenFirst is TestClient_Do_resetDuringUpload with both orders in which the reset can be seen. The
// caller's body comes slowly in some, so that the reset comes while the caller still sends.
func TestClient_Do_resetSeenFirst(t *testing.T) {
	const part = cutHead + "\r\npart"
	for _, writesFirst := range []bool{true, false} {
		for _, slow := range []bool{true, false} {
			t.Run(fmt.Sprintf("writes first %v, slow %v", writesFirst, slow), func(t *testing.T) {
				c := startEarly(t, part, endReset)
				raw, err := c.dial(t.Context())
				if err != nil {
					t.Fatal(err)
				}
				ordered := &orderedConn{TCPConn: raw.Conn.(*net.TCPConn), writesFirst: writesFirst, failed: make(chan struct{})}
				ordered.text.Store(int64(len(part)))
				raw.Conn, raw.limiter.conn = ordered, ordered
				r := upload("one")
				if slow {
					r.Body = &pausedReader{r.Body}
				}
				ctx, cancel := context.WithTimeout(t.Context(), patience)
				defer cancel()
				answer, err := c.exchange(ctx, raw, r)
				if err != nil {
					t.Fatalf("got %v, want the head", err)
				}
				body, err := io.ReadAll(answer.Body)
				if err == nil || failure.From(err).Kind != kind.BrokenAnswer {
					t.Errorf("got %v with body %q, want %s", err, body, kind.BrokenAnswer)
				}
			})
		}
	}
}

// pausedReader is a body that arrives in pieces.
type pausedReader struct{ io.Reader }

func (r *pausedReader) Read(p []byte) (int, error) {
	time.Sleep(5 * time.Millisecond)
	return r.Reader.Read(p)
}

// TestClient_Do_endDuringUpload guards against a request that waits beyond its deadline for an upload whose response has ended, and
// against a response that counts as whole although the backend server refused the end of the upload, which was written
// without an error.
func TestClient_Do_endDuringUpload(t *testing.T) {
	const first = 2 * bufferSize // Bytes of the body that are sent before the response; more than the buffer, so that they do not wait for the rest.
	tests := []struct {
		desc  string
		rest  int  // Bytes of the body that are sent after the response.
		more  bool // Some never come.
		stall bool // The backend server resets the connection later, and does not read meanwhile.
		want  kind.Kind
	}{
		{"rest that does not come", 4, true, false, kind.DeadlineDuringRun},
		{"rest in one write, refused", 4, false, false, kind.BrokenAnswer},
		{"rest in many writes, refused", 1 << 20, false, false, kind.BrokenAnswer},
		{"rest in the buffers, refused later", 200 << 10, false, true, kind.BrokenAnswer},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = l.Close() }()
			ended := make(chan struct{})
			go func() {
				defer close(ended)
				raw, err := l.Accept()
				if err != nil {
					return
				}
				conn := raw.(*net.TCPConn)
				_ = conn.SetReadBuffer(bufferSize)
				// All that has arrived is read, so that the end of the connection is no reset.
				req, err := http.ReadRequest(bufio.NewReader(conn))
				if err != nil {
					return
				}
				_, _ = io.CopyN(io.Discard, req.Body, first)
				_, _ = io.WriteString(conn, cutHead+"\r\npart")
				_ = conn.CloseWrite()
				if tt.stall {
					time.AfterFunc(100*time.Millisecond, func() { _ = conn.SetLinger(0); _ = conn.Close() })
					return
				}
				_ = conn.Close()
			}()
			body, w := io.Pipe()
			defer func() { _ = w.Close() }()
			go func() {
				_, _ = w.Write(make([]byte, first))
				<-ended
				time.Sleep(10 * time.Millisecond)
				_, _ = w.Write(make([]byte, tt.rest))
				if !tt.more {
					_ = w.Close()
				}
			}()
			c := &Client{Address: netip.MustParseAddrPort(l.Addr().String()), Dialect: echoDialect{}}
			r := identified("one")
			r.Body, r.ContentLength = body, int64(first+tt.rest)
			if tt.more {
				r.ContentLength++
			}
			if got, text := doWithin(c, r, time.Second); got != tt.want.String() {
				t.Errorf("got %q with body %q, want %s", got, text, tt.want)
			}
		})
	}
}
