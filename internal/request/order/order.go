// Package order describes one attempt at a request, which a node offers to another node.
package order

import (
	"net/http"
	"strconv"
	"time"

	"filbertturn.example/filbertturn/internal/request/callcost"
	"filbertturn.example/filbertturn/internal/request/fingerprint"
)

// Level says which backend servers an offer accepts and whether it may be queued.
type Level uint32

// The levels, in the order in which a node tries them.
const (
	// Trusted asks for a free slot of a backend server that is not suspected of
	// failing; a suspected one may accept it as a trial.
	Trusted Level = iota
	// Queued may wait for a slot, except at a backend server that is likely to fail.
	Queued
	// Any accepts every backend server that serves, however likely it is to fail.
	Any
)

// String implements fmt.Stringer.
func (l Level) String() string {
	switch l {
	case Trusted:
		return "Trusted"
	case Queued:
		return "Queued"
	case Any:
		return "Any"
	}
	return strconv.FormatUint(uint64(l), 10)
}

// Order is one attempt at a request, as the node that received the request offers it
// to the node beside a backend server.
type Order struct {
	ID            string
	Method        string
	Target        string // Path and query, exactly as the caller sent them.
	Host          string
	Header        http.Header
	ContentLength int64 // Bytes of the body; -1 if unknown, 0 if there is none.
	Customer      string
	Route         string
	Service       string // Service that the request is for.
	CallerService string // Service of the VM at whose node the request arrived.
	Deadline      time.Time
	Due           time.Time     // Time at which the objective ends.
	QueueDeadline time.Time     // Time until which it may wait for a slot.
	Objective     time.Duration // Response time within which a response has its full value.
	Priority      int           // 0 is the highest.
	Nested        bool          // Sent by a backend server that holds a slot until it is answered.
	Steps         int           // For a nested request, the calls already answered for the same parent request.
	Idempotent    bool
	Retry         bool // A retry or hedge: another backend server may have received it before.
	Level         Level

	// RetryProbability is the probability that the run counts as a retry in the retry budget,
	// because a backend server has received the request before, or as a call of a retry.
	RetryProbability float64
	PaidCalls        callcost.Costs // Calls of the run that the retry budgets have paid for.

	// Fingerprint identifies the request if it comes again. It is zero while the body has
	// not been read to its end.
	Fingerprint fingerprint.Fingerprint

	// Trial says that the home of the request lets it run although it is suspected of
	// crashing backend servers.
	Trial bool
}
