// Package ledger holds the record of what a backend server stand-in ran, shed
// and saw.
package ledger

import (
	"net/http"
	"sync"
	"time"
)

// Bounds of the record.
const (
	MaxRuns         = 200_000
	MaxHeaderValues = 20_000
)

// Entry is one request that was started or shed.
type Entry struct {
	Request       string // The X-Request-Id of the attempt.
	CallerRequest string // The X-Caller-Request of the caller.
	Method        string
	Path          string
	Customer      string // The Request-Customer of the node.
	At            time.Time
}

// Report is the content of a ledger.
type Report struct {
	RunCount  int // Requests started since the beginning, also those forgotten.
	ShedCount int
	Runs      []Entry // The last MaxRuns requests started, oldest first.
	Sheds     []Entry // The last MaxRuns requests refused without running.
}

// Ledger records requests and header values. The zero value is empty and ready
// for use by several goroutines.
type Ledger struct {
	mu      sync.Mutex
	runs    ring
	sheds   ring
	headers map[string]map[string]int
	values  int
}

// Run records that a request was started, which it stays whatever becomes of it.
func (l *Ledger) Run(e Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runs.add(e)
}

// Shed records that a request was refused without running.
func (l *Ledger) Shed(e Entry) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sheds.add(e)
}

// See counts each name and value of a header. Values beyond MaxHeaderValues
// are left out.
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
				if l.values >= MaxHeaderValues {
					continue
				}
				l.values++
			}
			l.headers[name][v]++
		}
	}
}

// Report returns a copy of the requests recorded.
func (l *Ledger) Report() Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Report{
		RunCount:  l.runs.count,
		ShedCount: l.sheds.count,
		Runs:      l.runs.list(),
		Sheds:     l.sheds.list(),
	}
}

// Headers returns a copy of the header values seen, by name, with the number
// of times that each was seen.
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
	count   int
}

func (r *ring) add(e Entry) {
	r.count++
	if len(r.entries) < MaxRuns {
		r.entries = append(r.entries, e)
		return
	}
	r.entries[r.next] = e
	r.next = (r.next + 1) % MaxRuns
}

func (r *ring) list() []Entry {
	out := make([]Entry, 0, len(r.entries))
	return append(append(out, r.entries[r.next:]...), r.entries[:r.next]...)
}
