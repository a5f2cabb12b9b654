package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	heartbeatInterval = 1500 * time.Millisecond
	drainTime         = 2 * time.Second // drain_s of the settings.
)

// server is a backend server. It runs each path. A query sets the answer: size is the length of the body,
// unframed leaves it without a length, pause_ms is the time between its halves, and work_ms the time before it.
// A request whose path contains /deadly/ crashes the server as soon as it begins to run.
type server struct {
	listen, control, id, service, zone string
	slots                              int
	born                               int64
	sequence                           atomic.Int64
	leaving                            atomic.Bool
	running                            atomic.Int64

	mu  sync.Mutex
	log *os.File
}

func runServer(args []string) error {
	s := &server{born: time.Now().UnixMilli()}
	f := flag.NewFlagSet("server", flag.ContinueOnError)
	f.StringVar(&s.listen, "listen", "", "address")
	f.StringVar(&s.control, "control", "", "address of the node for heartbeats")
	f.StringVar(&s.id, "id", "", "identifier")
	f.StringVar(&s.service, "service", "", "service")
	f.StringVar(&s.zone, "zone", "", "zone")
	f.IntVar(&s.slots, "slots", 4, "slots")
	record := f.String("log", "", "file of what was run")
	if err := f.Parse(args); err != nil {
		return err
	}
	log, err := os.OpenFile(*record, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	s.log = log
	l, err := net.Listen("tcp", s.listen)
	if err != nil {
		return err
	}
	go s.beat()
	term := make(chan os.Signal, 1)
	signal.Notify(term, syscall.SIGTERM)
	go s.leave(term)
	web := &http.Server{Handler: s, ReadHeaderTimeout: 10 * time.Second, IdleTimeout: 10 * time.Second}
	if err := web.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

func (s *server) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_, _ = fmt.Fprintf(s.log, "%s server %s: "+format+"\n", append([]any{stamp(), s.id}, args...)...)
}

// beat sends heartbeats until the process ends.
func (s *server) beat() {
	for {
		s.announce()
		time.Sleep(heartbeatInterval)
	}
}

// announce sends one heartbeat and reports whether it was acknowledged.
func (s *server) announce() bool {
	state := "ready"
	if s.leaving.Load() {
		state = "draining"
	}
	return s.say("heartbeat", map[string]any{
		"address": s.listen, "born": s.born,
		"info":   map[string]any{"service": s.service, "version": "v1", "zone": s.zone, "slots": s.slots},
		"status": map[string]any{"state": state, "sequence": s.sequence.Add(1), "cold_remaining_s": 0},
	})
}

func (s *server) say(what string, body map[string]any) bool {
	text, err := json.Marshal(body)
	if err != nil {
		return false
	}
	client := http.Client{Timeout: time.Second}
	resp, err := client.Post("http://"+s.control+"/filbertturn/instances/"+s.id+"/"+what, "application/json", bytes.NewReader(text))
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode/100 == 2
}

// leave begins a planned shutdown at the first signal: it says so, serves on for drainTime and a little longer, until
// nothing runs any more, and exits.
func (s *server) leave(term <-chan os.Signal) {
	<-term
	s.leaving.Store(true)
	for !s.announce() {
		time.Sleep(100 * time.Millisecond)
	}
	s.note("draining is acknowledged")
	time.Sleep(drainTime + 500*time.Millisecond)
	for s.running.Load() > 0 {
		time.Sleep(50 * time.Millisecond)
	}
	s.say("deregister", map[string]any{"born": s.born})
	s.note("deregistered")
	os.Exit(0)
}

// ServeHTTP implements http.Handler.
func (s *server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" {
		w.Header().Set("Instance-Id", s.id)
		if s.leaving.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	if s.leaving.Load() {
		w.Header().Set("Server-Leaving", "1")
	}
	switch want := r.Header.Get("Expect-Instance"); {
	case want != "" && want != s.id:
		w.Header().Set("Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case s.running.Add(1) > int64(s.slots):
		s.running.Add(-1)
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer s.running.Add(-1)
	body, _ := io.ReadAll(r.Body)
	s.note("runs %s %s %s, body of %d bytes, tenant %q", id, r.Method, r.RequestURI, len(body), r.Header.Get("Tenant-Id"))
	if strings.Contains(r.URL.Path, "/deadly/") {
		s.note("crashes by %s", id)
		_ = syscall.Kill(os.Getpid(), syscall.SIGKILL)
		select {}
	}
	s.answer(w, r, id)
	s.note("has run %s", id)
}

func (s *server) answer(w http.ResponseWriter, r *http.Request, id string) {
	q := r.URL.Query()
	number := func(name string) int {
		n, _ := strconv.Atoi(q.Get(name))
		return n
	}
	size, pause := number("size"), time.Duration(number("pause_ms"))*time.Millisecond
	time.Sleep(time.Duration(number("work_ms")) * time.Millisecond)
	seal := fmt.Sprintf("seal.%s.%d", id, size)
	if q.Get("unframed") == "" {
		w.Header().Set("Response-Seal", seal)
		w.Header().Set("Content-Length", strconv.Itoa(size))
		_ = s.writeHalves(w, size, pause, func() {})
		return
	}
	conn, rw, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	leaving := ""
	if s.leaving.Load() {
		leaving = "Server-Leaving: 1\r\n"
	}
	_, _ = fmt.Fprintf(rw, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: %s\r\n%sConnection: close\r\n\r\n", id, seal, leaving)
	if err := s.writeHalves(rw, size, pause, func() { _ = rw.Flush() }); err != nil {
		s.note("answer to %s ends early: %v", id, err)
		return
	}
	_ = rw.Flush()
}

// writeHalves writes a body of a size with a pause in its middle.
func (s *server) writeHalves(w io.Writer, size int, pause time.Duration, flush func()) error {
	out := bufio.NewWriterSize(w, 64<<10)
	for i := 0; i < size; i += lineLength {
		if pause > 0 && i >= size/2 {
			_ = out.Flush()
			flush()
			time.Sleep(pause)
			pause = 0
		}
		if _, err := out.WriteString(bodyLine(i)[:min(lineLength, size-i)]); err != nil {
			return err
		}
	}
	return out.Flush()
}

const lineLength = 16

// bodyLine returns the line of a body that begins at an offset.
func bodyLine(offset int) string { return fmt.Sprintf("%015d\n", offset) }
