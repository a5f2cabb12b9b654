// Package report defines the messages between the owners of a pool's backend servers and
// the home of the pool, and their encoding.
package report

import (
	"net/netip"
	"time"
)

// ProbeRoute is the route class of probes. It differs from all configured routes, whose
// names are not empty.
const ProbeRoute = ""

// Report is an owner's report to the home on all its backend servers of one pool. A
// backend server that a later report leaves out is no longer owned by the sender.
type Report struct {
	Pool     string
	Epoch    uint64 // Epoch of the owner's roster.
	Sequence uint64 // Increases with each report of this owner and pool.
	Echo     Stamp  // Stamp of the newest ruling that the owner has applied.
	Servers  []Server
}

// Stamp is a reading of the home's clock. A report that echoes it was written after that
// time.
type Stamp struct {
	Term uint64 // Incarnation of the home; zero means no stamp.
	At   int64  // Home's clock, in nanoseconds since 1970.
}

// State is the state of a backend server according to its latest heartbeat.
type State uint8

// States of a backend server.
const (
	Starting State = iota
	Ready
	Draining
	Down // Its heartbeats have expired.
	Left // It has announced its end.
)

// Server is the report on one backend server.
type Server struct {
	Address  netip.AddrPort
	State    State
	ReadyFor time.Duration // Time since it became ready, at most MaxReadyFor.
	Slots    int
	Busy     int // Requests in flight.
	Samples  []Sample
}

// Sample aggregates the requests to one backend server on one route class since the
// owner's previous report.
type Sample struct {
	Route    string
	Count    int     // Requests that ended or became overdue.
	Answered int     // Latencies in Sum and Squares, overdue requests included.
	Sum      float64 // Sum of the natural logarithm of the latency in seconds.
	Squares  float64 // Sum of the squares of that logarithm.
	Connect  int     // Connections that could not be opened.
	Error    int     // Responses with an error status.
	Cut      int     // Truncated responses.
	Timeout  int     // Requests that timed out.
	Wrong    int     // Complete responses with wrong content.
	Overdue  int     // Requests still running far beyond the median latency.
}

// Failures returns the number of failures other than failed connections and
// wrong answers.
func (s Sample) Failures() int { return s.Error + s.Cut + s.Timeout }
