package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"
)

const (
	heartbeatInterval = 1500 * time.Millisecond
	queueLength       = 24
)

// ran is a request that a backend server ran.
type ran struct {
	id     string
	at     time.Time
	target string
	tenant string
}

// backend is a stand-in of a backend server.
type backend struct {
	record  *record
	service string
	address netip.AddrPort
	control netip.AddrPort // Of the node beside it.
	slots   int
	work    time.Duration

	mu       sync.Mutex // Guards the fields below.
	name     string
	born     time.Time
	server   *http.Server
	stopped  chan struct{}
	free     chan struct{} // Holds a token for each free slot.
	starts   int
	sequence int64
	running  int
	waiting  int
	runs     []ran
}

func newBackend(r *record, name, service string, address, control netip.AddrPort, slots int, work time.Duration) (*backend, error) {
	b := &backend{record: r, name: name, service: service, address: address, control: control, slots: slots, work: work}
	return b, b.start()
}

// start starts an incarnation.
func (b *backend) start() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.starts++
	if b.starts > 1 {
		b.name = fmt.Sprintf("%s-%d", b.name, b.starts)
	}
	b.born, b.sequence, b.running, b.waiting = time.Now(), 0, 0, 0
	b.stopped, b.free = make(chan struct{}), make(chan struct{}, b.slots)
	for range b.slots {
		b.free <- struct{}{}
	}
	var err error
	if b.server, err = serve(b.address, &incarnation{b, b.name, b.free}); err != nil {
		return err
	}
	go b.announce(b.stopped)
	return nil
}

// stop ends the incarnation with all its connections, as a crash does.
func (b *backend) stop() {
	b.mu.Lock()
	defer b.mu.Unlock()
	close(b.stopped)
	_ = b.server.Close()
}

// incarnation is one run of a backend server.
type incarnation struct {
	*backend
	name string
	free chan struct{}
}

// announce sends heartbeats until the backend server ends.
func (b *backend) announce(stopped <-chan struct{}) {
	for {
		_ = b.heartbeat()
		select {
		case <-time.After(heartbeatInterval):
		case <-stopped:
			return
		}
	}
}

// heartbeat sends one heartbeat.
func (b *backend) heartbeat() error {
	b.mu.Lock()
	b.sequence++
	sequence, name, born := b.sequence, b.name, b.born
	b.mu.Unlock()
	body, err := json.Marshal(map[string]any{
		"address": b.address.String(), "born": born.UnixMilli(),
		"info":   map[string]any{"service": b.service, "version": "v1", "zone": zone, "slots": b.slots},
		"status": map[string]any{"state": "ready", "sequence": sequence, "cold_remaining_s": 0},
	})
	if err != nil {
		return err
	}
	c := http.Client{Timeout: time.Second}
	url := fmt.Sprintf("http://%s%sinstances/%s/heartbeat", b.control, prefix, name)
	resp, err := c.Post(url, "application/json", bytes.NewReader(body))
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

// ServeHTTP serves requests and health checks.
func (b *incarnation) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	h := w.Header()
	h.Set("Instance-Id", b.name)
	if id != "" {
		h.Set("Request-Id", id)
	}
	if expected := r.Header.Get("Expect-Instance"); expected != "" && expected != b.name {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" && r.URL.Path != healthPath {
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if !b.takeSlot(r) {
		b.setLoad(h)
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer b.releaseSlot()
	if r.URL.Path == healthPath {
		b.setLoad(h)
		return
	}
	b.runRequest(w, r, id)
}

func (b *incarnation) runRequest(w http.ResponseWriter, r *http.Request, id string) {
	at := time.Now()
	b.mu.Lock()
	b.runs = append(b.runs, ran{id, at, r.RequestURI, r.Header.Get("Tenant-Id")})
	b.mu.Unlock()
	_, _ = io.Copy(io.Discard, r.Body)
	deadline := time.Hour
	if ms, err := strconv.ParseFloat(r.Header.Get("Deadline-Ms"), 64); err == nil {
		deadline = time.Duration(ms * float64(time.Millisecond))
	}
	select {
	case <-time.After(min(b.work, deadline)):
	case <-r.Context().Done():
		return
	}
	h := w.Header()
	b.setLoad(h)
	h.Set("Response-Seal", "seal."+id)
	if b.work > deadline {
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	}
	text := fmt.Sprintf("%s ran %s", b.name, id)
	h.Set("Content-Length", strconv.Itoa(len(text)))
	_, _ = io.WriteString(w, text) //nolint:gosec // Plain text for a client of the test.
}

// takeSlot waits for a slot, or returns false if the queue is full or the caller has left.
func (b *incarnation) takeSlot(r *http.Request) bool {
	b.mu.Lock()
	if b.waiting >= queueLength {
		b.mu.Unlock()
		return false
	}
	b.waiting++
	b.mu.Unlock()
	got := false
	select {
	case <-b.free:
		got = true
	case <-r.Context().Done():
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waiting--
	if got {
		b.running++
	}
	return got
}

func (b *incarnation) releaseSlot() {
	b.mu.Lock()
	b.running--
	b.mu.Unlock()
	b.free <- struct{}{}
}

func (b *backend) setLoad(h http.Header) {
	b.mu.Lock()
	defer b.mu.Unlock()
	h.Set("Server-Load", fmt.Sprintf("%d,%d,%d", b.running, b.waiting, b.slots))
}

// allRuns returns what the backend server ran so far.
func (b *backend) allRuns() []ran {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]ran(nil), b.runs...)
}
