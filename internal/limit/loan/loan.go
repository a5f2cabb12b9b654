// Package loan defines the messages by which a node borrows tokens of a
// customer's limit from a home, and their protobuf encoding.
//
// A loan expires at the borrower when the granted Lifetime has passed since it sent
// the ask, by its own clock, and at the home when PadForDrift(DefaultLifetime) has
// passed since it received the ask. If the rates of both clocks differ from true
// time by at most MaxClockDrift, every loan therefore expires at the borrower
// first.
package loan

import (
	"net/netip"
	"time"
)

// DefaultLifetime is the time for which a borrower may use a loan.
const DefaultLifetime = 500 * time.Millisecond

// MaxClockDrift is the largest relative difference between the rate of a node's clock and
// true time that is tolerated.
const MaxClockDrift = 0.02

// PadForDrift returns the time by one clock after which an interval of d has certainly
// passed by any other clock, if both drift by at most MaxClockDrift.
func PadForDrift(d time.Duration) time.Duration {
	return time.Duration(float64(d)*(1+MaxClockDrift)/(1-MaxClockDrift)) + 1
}

// Borrower identifies one incarnation of a borrowing node.
type Borrower struct {
	Address     netip.AddrPort
	Incarnation uint64 // Start time of the process, in nanoseconds since 1970.
}

// Settlement reports the use of an earlier loan. Its figures are totals since the
// start of the loan, so that settlements are idempotent.
type Settlement struct {
	Sequence uint64        // Sequence of the ask by which the loan was granted.
	Used     int           // Tokens used so far.
	Age      time.Duration // Time from the latest use to the sending of the ask.
	Closed   bool          // The borrower will use no more tokens of the loan.
}

// Ask requests tokens from a home and settles earlier loans. If Want is zero, it
// only settles.
type Ask struct {
	Customer    string // Name of the customer.
	Epoch       uint64 // Epoch of the borrower's roster; the home does not use it.
	Borrower    Borrower
	Sequence    uint64 // Increases with every ask of a borrower.
	Want        int    // Tokens for the waiting requests and those expected next.
	Need        int    // Tokens for the waiting requests.
	Settlements []Settlement
}

// Refusal is the reason for a grant without tokens.
type Refusal int

// Reasons for a grant without tokens.
const (
	None         Refusal = iota // Tokens were granted, or none were wanted.
	NotHome                     // The node has no share of the customer's limit.
	NotCurrent                  // The node does not know whether its head is current.
	NotActive                   // The node's share has not begun, since loans of former homes may still be in use.
	Empty                       // The share is used up.
	Stale                       // A later ask of the borrower came first.
	Overfull                    // Too many nodes borrow tokens of this customer.
	refusalCount                // Number of values.
)

// String returns the name of the refusal, for logs and metrics.
func (r Refusal) String() string {
	names := [refusalCount]string{"None", "NotHome", "NotCurrent", "NotActive", "Empty", "Stale", "Overfull"}
	if r < 0 || r >= refusalCount {
		return "Unknown"
	}
	return names[r]
}

// Grant answers an ask.
type Grant struct {
	Sequence  uint64        // Sequence of the ask.
	Epoch     uint64        // Epoch of the home's roster.
	Tokens    int           // Tokens lent.
	Lifetime  time.Duration // Time for which they may be used, from the sending of the ask.
	Available time.Duration // Time until the share has a token again, in a refusal.
	Scarce    bool          // Much of the share is lent: report uses and return tokens soon.
	Left      int           // Tokens left at the home after this grant.
	Refusal   Refusal
}
