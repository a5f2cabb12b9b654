package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// sent is a request of a client, with what it got.
type sent struct {
	At     time.Time
	ID     string
	Method string
	Target string
	Status int // Zero if there was no whole response.
	Seal   string
	Body   string
	Err    error
}

var lastID atomic.Int64

// host is the host of all routes.
const host = "crews.example"

// client sends one request after the other to a node, and keeps its connection.
type client struct {
	to   string
	conn net.Conn // Nil if there is none.
	in   *bufio.Reader
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// send sends a request on a new connection to a node, and reads the response.
func send(to, method, target, key string, patience time.Duration) sent {
	c := client{to: to}
	defer c.close()
	return c.send(method, target, key, patience)
}

// send sends a request and reads the response.
func (c *client) send(method, target, key string, patience time.Duration) (s sent) {
	s = sent{At: time.Now(), ID: fmt.Sprintf("r%08x", lastID.Add(1)), Method: method, Target: target}
	if c.conn == nil {
		if c.conn, s.Err = net.DialTimeout("tcp", c.to, time.Second); s.Err != nil {
			c.conn = nil
			return s
		}
		c.in = bufio.NewReader(c.conn)
	}
	_ = c.conn.SetDeadline(time.Now().Add(patience + time.Second))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n", method, target, host, s.ID, patience.Milliseconds())
	if key != "" {
		head += "Authorization: Bearer " + key + "\r\n"
	}
	if method == http.MethodPost {
		head += "Content-Length: 0\r\n"
	}
	if _, s.Err = io.WriteString(c.conn, head+"\r\n"); s.Err != nil {
		c.close()
		return s
	}
	keep := s.read(c.in, method)
	if !keep {
		c.close()
	}
	return s
}

// read reads the response, and reports whether its connection can be used again.
func (s *sent) read(in *bufio.Reader, method string) (keep bool) {
	r, err := http.ReadResponse(in, &http.Request{Method: method})
	if err != nil {
		s.Err = err
		return false
	}
	defer func() { _ = r.Body.Close() }()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		s.Err = err
		return false
	}
	s.Status, s.Seal, s.Body = r.StatusCode, r.Header.Get("Response-Seal"), string(body)
	return !r.Close
}

// noteSent writes a request and its outcome to the record.
func (f *fleet) noteSent(s sent) {
	if s.Err != nil {
		f.note("sent %s %s %s: %s", s.ID, s.Method, s.Target, s.Err)
		return
	}
	f.note("sent %s %s %s: answered %d with %d bytes", s.ID, s.Method, s.Target, s.Status, len(s.Body))
}
