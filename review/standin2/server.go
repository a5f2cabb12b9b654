package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/textproto"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// beatInterval is heartbeat_s.
const beatInterval = 1500 * time.Millisecond

// arrival is a request that a backend server began to run.
type arrival struct {
	At       time.Time
	ID       string
	Method   string
	Target   string // As it stood in the request line.
	Tenant   string
	Instance string
}

// serverSettings are the settings of a backend server.
type serverSettings struct {
	Listen, Control string
	Service         string
	Slots           int
	Work            time.Duration
	LongWork        time.Duration // Of requests to paths that end in "long".
	Form            string        // Of its responses: "" is a whole one with a length.
	Deadly          string        // A request to this path crashes the process, if not "": as soon as it begins to run,
	DeadlyAnswer    bool          // or in the middle of its response.
}

// server is a backend server. It runs every request that has an identifier and expects it.
type server struct {
	serverSettings
	instance string
	born     int64
	onRun    func(a arrival)

	slots chan struct{}

	listener net.Listener
}

// newServer starts a backend server, with heartbeats to its node.
func newServer(s serverSettings, onRun func(a arrival)) (*server, error) {
	now := time.Now()
	b := &server{serverSettings: s, born: now.UnixMilli(), onRun: onRun, slots: make(chan struct{}, s.Slots)}
	b.instance = fmt.Sprintf("i-%x", now.UnixNano()&0xffffffff)
	var err error
	if b.listener, err = net.Listen("tcp", s.Listen); err != nil {
		return nil, err
	}
	go b.accept()
	go b.beat()
	return b, nil
}

// addServer starts the backend server beside a node, in this process.
func (n *node) addServer(s serverSettings, onRun func(a arrival)) (*server, error) {
	s.Listen, s.Control, s.Service = n.address(portApp), n.address(portControl), n.service
	return newServer(s, onRun)
}

// serveAlone runs a backend server as a process of its own, which writes what it runs to a file.
func serveAlone(text, path string) {
	var s serverSettings
	file, err := os.OpenFile(path, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600) //nolint:gosec // The parent names the file.
	if err = errors.Join(err, json.Unmarshal([]byte(text), &s)); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	var mu sync.Mutex
	if _, err := newServer(s, func(a arrival) {
		mu.Lock()
		defer mu.Unlock()
		_, _ = fmt.Fprintf(file, "%d %s %s %s %s\n", a.At.UnixNano(), a.Instance, a.ID, a.Method, a.Target)
		if s.Deadly != "" && a.Target == s.Deadly && !s.DeadlyAnswer {
			crash()
		}
	}); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitNotRun)
	}
	_, _ = io.Copy(io.Discard, os.Stdin) // Until the parent has ended.
}

// crash ends the process, as a request does that crashes it.
func crash() { os.Exit(exitCrashed) }

// beat sends heartbeats.
func (b *server) beat() {
	for sequence := 1; ; sequence++ {
		wait := beatInterval
		if b.sendBeat(sequence) != nil {
			wait = 100 * time.Millisecond // The node has not started yet.
		}
		time.Sleep(wait)
	}
}

// sendBeat sends a heartbeat to the node.
func (b *server) sendBeat(sequence int) error {
	text, err := json.Marshal(map[string]any{
		"address": b.Listen, "born": b.born,
		"info":   map[string]any{"service": b.Service, "version": "v1", "zone": "zone-a", "slots": b.Slots},
		"status": map[string]any{"state": "ready", "sequence": sequence, "cold_remaining_s": 0},
	})
	if err != nil {
		return err
	}
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := c.Post("http://"+b.Control+"/filbertturn/instances/"+b.instance+"/heartbeat", "application/json", strings.NewReader(string(text))) //nolint:gosec // A loopback address of the case.
	if err != nil {
		return err
	}
	return r.Body.Close()
}

func (b *server) accept() {
	for {
		c, err := b.listener.Accept()
		if err != nil {
			return
		}
		go b.serve(c)
	}
}

// request is a request as it was read.
type request struct {
	method, target string
	header         textproto.MIMEHeader
	length         int64 // Of the body.
}

// readHead reads the head of a request. The target is taken as it stands.
func readHead(r *bufio.Reader) (request, error) {
	p := textproto.NewReader(r)
	line, err := p.ReadLine()
	if err != nil {
		return request{}, err
	}
	parts := strings.Split(line, " ")
	if len(parts) != 3 || !strings.HasPrefix(parts[2], "HTTP/1.") {
		return request{}, fmt.Errorf("request line %q", line)
	}
	q := request{method: parts[0], target: parts[1]}
	if q.header, err = p.ReadMIMEHeader(); err != nil {
		return request{}, err
	}
	if q.header.Get("Transfer-Encoding") != "" {
		return request{}, errors.New("bodies in chunks are not sent here")
	}
	if text := q.header.Get("Content-Length"); text != "" {
		q.length, err = strconv.ParseInt(text, 10, 64)
	}
	return q, err
}

func (b *server) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for {
		q, err := readHead(r)
		if err != nil || !b.answer(c, r, q) {
			return
		}
	}
}

// answer answers a request, and reports whether the connection can be used again. It reads the body once it runs.
func (b *server) answer(c net.Conn, r io.Reader, q request) bool {
	id := q.header.Get("Request-Id")
	switch {
	case q.target == "/healthz":
		return b.write(c, 200, "", "")
	case id == "":
		return b.write(c, 400, "Not-Executed: 1\r\n", "")
	case q.header.Get("Expect-Instance") != b.instance:
		return b.write(c, 421, "Request-Id: "+id+"\r\n", "")
	}
	select {
	case b.slots <- struct{}{}:
	default:
		return b.write(c, 503, "Request-Id: "+id+"\r\nNot-Executed: 1\r\n", "")
	}
	defer func() { <-b.slots }()
	b.onRun(arrival{time.Now(), id, q.method, q.target, q.header.Get("Tenant-Id"), b.instance})
	if _, err := io.CopyN(io.Discard, r, q.length); err != nil {
		return false
	}
	work := b.Work
	if strings.HasSuffix(q.target, "long") {
		work = b.LongWork
	}
	time.Sleep(work)
	field := "Request-Id: " + id + "\r\nResponse-Seal: " + seal(id) + "\r\n"
	text := bodyOf(id)
	if b.DeadlyAnswer && q.target == b.Deadly {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nInstance-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s", b.instance, field, len(text), text[:len(text)/2])
		crash()
	}
	if b.Form == "unframed" {
		return b.writeUnframed(c, field, text)
	}
	return b.write(c, 200, field, text)
}

// seal returns the seal of the response to a request.
func seal(id string) string { return "5ea1." + id }

// bodyOf returns the whole body of the response to a request.
func bodyOf(id string) string {
	return "begin " + id + " " + strings.Repeat("x", 600) + " end " + id
}

func (b *server) write(c net.Conn, status int, fields, body string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 %d %s\r\nInstance-Id: %s\r\n%sServer-Load: %d,0,%d\r\nKeep-Alive: timeout=10\r\nContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), b.instance, fields, len(b.slots), b.Slots, len(body), body)
	return err == nil
}

// writeUnframed writes a response that ends with its connection, in two parts.
func (b *server) writeUnframed(c net.Conn, fields, body string) bool {
	half := len(body) / 2
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nInstance-Id: %s\r\n%sConnection: close\r\n\r\n%s", b.instance, fields, body[:half])
	if err == nil {
		time.Sleep(b.Work)
		_, _ = io.WriteString(c, body[half:])
	}
	return false
}
