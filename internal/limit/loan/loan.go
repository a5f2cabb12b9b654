// Package loan defines the messages by which a node borrows tokens of a
// customer's limit from a home, and their encoding.
//
// A loan ends at the borrower Life after it sent its ask, by its own clock, and
// at the home Hold(Life) after it received the ask. Clocks whose rates differ
// from true time by at most Drift therefore end every loan at the borrower
// first.
package loan

import (
	"net/netip"
	"time"
)

// DefaultLife is the time that a borrower may use a loan.
const DefaultLife = 500 * time.Millisecond

// Drift is the largest difference of a clock's rate from true time.
const Drift = 0.02

// Hold returns the time by the reader's clock after which an interval of d by
// any other clock has certainly passed.
func Hold(d time.Duration) time.Duration {
	return time.Duration(float64(d)*(1+Drift)/(1-Drift)) + 1
}

// Borrower identifies one incarnation of the node that borrows.
type Borrower struct {
	Address     netip.AddrPort
	Incarnation uint64 // Start time of the process, in nanoseconds since 1970.
}

// Settlement reports what became of an earlier loan. Its figures count from
// the start of the loan, so that a repeated settlement changes nothing.
type Settlement struct {
	Sequence uint64        // Sequence of the ask that the loan answered.
	Used     int           // Tokens used so far.
	Age      time.Duration // Time since the latest use, when the ask was sent.
	Closed   bool          // The borrower will use no more of the loan.
}

// Ask requests tokens from a home. One with Want zero only settles.
type Ask struct {
	Customer    string // Name of the customer.
	Epoch       uint64 // Epoch of the borrower's roster. A home on a lower one fetches the newer head.
	Borrower    Borrower
	Sequence    uint64 // Higher than those of the borrower's earlier asks.
	Want        int    // Tokens for the requests at hand and the next few.
	Need        int    // Tokens for the requests at hand.
	Settlements []Settlement
}

// Refusal is the reason for a grant without tokens.
type Refusal int

// The refusals.
const (
	None       Refusal = iota // Tokens were granted, or none were wanted.
	NotHome                   // The node has no share of the customer's limit.
	NotCurrent                // The node does not know whether its head is current.
	NotActive                 // The node became home of the customer a moment ago.
	Empty                     // The share is used up.
	Stale                     // A later ask of the borrower came first.
	Overfull                  // Too many nodes borrow of this customer.
	refusals                  // Number of refusals.
)

// String returns the name of the refusal, for logs and metrics.
func (r Refusal) String() string {
	names := [refusals]string{"None", "NotHome", "NotCurrent", "NotActive", "Empty", "Stale", "Overfull"}
	if r < 0 || r >= refusals {
		return "Unknown"
	}
	return names[r]
}

// Grant answers an ask.
type Grant struct {
	Sequence  uint64        // Sequence of the ask.
	Epoch     uint64        // Epoch of the home's roster.
	Tokens    int           // Tokens lent.
	Life      time.Duration // Time for which they may be used, from the sending of the ask.
	Available time.Duration // Time until the share has a token again.
	Scarce    bool          // Much of the share is lent: report uses and return tokens soon.
	Left      int           // Tokens left at the home after this loan.
	Refusal   Refusal
}
