// Package ledger records the requests that a stand-in of a backend server ran and
// shed, and the header values that it received.
package ledger

import (
	"net/http"
	"sync"
	"time"
)

// Limits on the size of a Ledger.
const (
	MaxRuns         = 200_000 // Entries kept of each kind; older ones are dropped.
	MaxHeaderValues = 20_000  // Distinct header values counted; others are ignored.
)

// Entry is a request that was run or shed.
type Entry struct {
	Request       string // X-Request-Id header of the attempt.
	CallerRequest string // X-Caller-Request header set by the caller.
	Method        string
	Path          string
	Customer      string // Request-Customer header set by the node.
	At            time.Time
}

// Report is a copy of the requests in a ledger.
type Report struct {
	RunCount  int // Requests started since the server started, including those dropped from Runs.
	ShedCount int
	Runs      []Entry // Last MaxRuns requests started, oldest first.
	Sheds     []Entry // Last MaxRuns requests shed without running, oldest first.
}

// Ledger records requests and header values. The zero value is empty and ready for
// use. It is safe for concurrent use.
type Ledger struct {
	mu         sync.Mutex
	runs       ring
	sheds      ring
	headers    map[string]map[string]int
	valueCount int
}

// Run records that a request was started. The entry stays even if the request fails
// later.
func (l *Ledger) Run(e Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs.add(e)
}

// Shed records that a request was rejected without running.
func (l *Ledger) Shed(e Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sheds.add(e)
}

// See counts each value of each header. New values beyond MaxHeaderValues are
// ignored.
func (l *Ledger) See(h http.Header) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.headers == nil {
		l.headers = map[string]map[string]int{}
	}
	for name, values := range h {
		if l.headers[name] == nil {
			l.headers[name] = map[string]int{}
		}
		for _, v := range values {
			if _, ok := l.headers[name][v]; !ok {
				if l.valueCount >= MaxHeaderValues {
					continue
				}
				l.valueCount++
			}
			l.headers[name][v]++
		}
	}
}

// Report returns a copy of the recorded requests.
func (l *Ledger) Report() Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Report{
		RunCount:  l.runs.total,
		ShedCount: l.sheds.total,
		Runs:      l.runs.list(),
		Sheds:     l.sheds.list(),
	}
}

// Headers returns how often each header value was received, by header name.
func (l *Ledger) Headers() map[string]map[string]int {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make(map[string]map[string]int, len(l.headers))
	for name, values := range l.headers {
		out[name] = make(map[string]int, len(values))
		for v, n := range values {
			out[name][v] = n
		}
	}
	return out
}

// ring keeps the last MaxRuns entries.
type ring struct {
	entries []Entry
	next    int // Index of the oldest entry once the ring is full.
	total   int
}

// add appends an entry in place of the oldest if the ring is full.
func (r *ring) add(e Entry) {
	r.total++
	if len(r.entries) < MaxRuns {
		r.entries = append(r.entries, e)
		return
	}
	r.entries[r.next] = e
	r.next = (r.next + 1) % MaxRuns
}

// list returns a copy of the entries, oldest first.
func (r *ring) list() []Entry {
	out := make([]Entry, 0, len(r.entries))
	return append(append(out, r.entries[r.next:]...), r.entries[:r.next]...)
}
