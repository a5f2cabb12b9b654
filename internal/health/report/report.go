// Package report holds the messages between the owners of a pool's backend
// servers and the pool's home, and their encoding.
package report

import (
	"net/netip"
	"time"
)

// ProbeRoute is the route class of probes. No configured route has an empty name.
const ProbeRoute = ""

// Report is what an owner tells the home about all its backend servers of one
// pool. A backend server that a later report leaves out is no longer owned.
type Report struct {
	Pool     string
	Epoch    uint64 // Epoch of the roster that the owner ran.
	Sequence uint64 // Rises with each report of this owner and pool.
	Echo     Stamp  // Stamp of the newest ruling that the owner has applied.
	Servers  []Server
}

// Stamp is a reading of the home's clock. Its return in a report proves that
// the report was written after that moment.
type Stamp struct {
	Term uint64 // Incarnation of the home; zero means no stamp.
	At   int64  // Home's clock, in nanoseconds since 1970.
}

// State is what the heartbeats of a backend server said last.
type State uint8

// States of a backend server.
const (
	Starting State = iota
	Ready
	Draining
	Down // Its heartbeats have lapsed.
	Left // It announced its end.
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

// Sample sums up what one backend server did on one route class since the
// owner's previous report.
type Sample struct {
	Route    string
	Count    int     // Requests that ended or became overdue.
	Answered int     // Latencies in Sum and Squares, overdue requests included.
	Sum      float64 // Sum of the natural logarithm of the latency in seconds.
	Squares  float64 // Sum of the squares of that logarithm.
	Connect  int     // Connections that could not be opened.
	Error    int     // Answers with an error status.
	Cut      int     // Answers cut short.
	Timeout  int     // Requests given up after their timeout.
	Wrong    int     // Complete answers with wrong content.
	Overdue  int     // Requests still running far beyond the median.
}

// Failures returns the number of failures other than failed connections and
// wrong answers.
func (s Sample) Failures() int { return s.Error + s.Cut + s.Timeout }
