package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"
)

// answer is what a client has got.
type answer struct {
	id      string
	status  int
	seal    string
	bytes   int
	wrong   int   // Offset of the first wrong byte; -1 if there is none.
	err     error // Nil if the answer is complete as the protocol says.
	refused error // Of the connection or the head.
}

// complete reports whether a client takes the answer for a whole one.
func (a answer) complete() bool { return a.refused == nil && a.err == nil }

func (a answer) String() string {
	switch {
	case a.refused != nil:
		return fmt.Sprintf("%s got no answer: %v", a.id, a.refused)
	case a.err != nil:
		return fmt.Sprintf("%s got %d, %d bytes, and the answer breaks off: %v", a.id, a.status, a.bytes, a.err)
	}
	return fmt.Sprintf("%s got %d, seal %q, a complete answer of %d bytes, first wrong byte %d", a.id, a.status, a.seal, a.bytes, a.wrong)
}

// request is one client attempt.
type request struct {
	id, method, target, body string
	deadline                 time.Duration
	slow                     bool          // Its client has a small receive buffer and short segments,
	first                    int           // reads as many bytes of the body,
	pause                    time.Duration // waits that long, and reads the rest.
}

// send sends a request to the node of a machine on a new connection and reads the answer.
func (f *fleet) send(m *machine, r request) answer {
	a := answer{id: r.id, wrong: -1}
	d := net.Dialer{Timeout: time.Second}
	if r.slow {
		d.Control = func(_, _ string, c syscall.RawConn) error {
			var set error
			err := c.Control(func(fd uintptr) {
				// As on a network: loopback has segments of 64 KB, for which the other side keeps large buffers.
				set = errors.Join(
					syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 16<<10),
					syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_MAXSEG, 1400),
				)
			})
			return errors.Join(err, set)
		}
	}
	conn, err := d.Dial("tcp", m.outbound)
	if err != nil {
		a.refused = err
		return a
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(r.deadline + 2*time.Second))
	f.note("client sends %s %s %s to %s, deadline %s", r.id, r.method, r.target, m.name, r.deadline)
	_, err = fmt.Fprintf(conn, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n\r\n%s",
		r.method, r.target, host, r.id, r.deadline.Milliseconds(), key, len(r.body), r.body)
	if err != nil {
		a.refused = err
		return a
	}
	resp, err := http.ReadResponse(bufio.NewReaderSize(conn, 4<<10), &http.Request{Method: r.method})
	if err != nil {
		a.refused = err
		return a
	}
	defer func() { _ = resp.Body.Close() }()
	a.status, a.seal = resp.StatusCode, resp.Header.Get("Response-Seal")
	if r.pause > 0 {
		if a.err = a.read(io.LimitReader(resp.Body, int64(r.first))); a.err != nil {
			return a
		}
		f.note("client of %s has read %d bytes and waits %s", r.id, a.bytes, r.pause)
		time.Sleep(r.pause)
	}
	a.err = a.read(resp.Body)
	return a
}

// read reads a part of the body and compares it.
func (a *answer) read(from io.Reader) error {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		for i, b := range buf[:n] {
			if at := a.bytes + i; a.wrong < 0 && b != bodyLine(at - at%lineLength)[at%lineLength] {
				a.wrong = at
			}
		}
		a.bytes += n
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}
