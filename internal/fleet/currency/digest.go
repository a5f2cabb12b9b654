package currency

import (
	"time"

	"filbertturn.example/filbertturn/internal/fleet/member"
)

const (
	// AgeUnit is the unit of Age. Ages are rounded up to it.
	AgeUnit = 10 * time.Millisecond

	// NoAge stands for an attestation that is missing or too old to send.
	NoAge Age = 255

	// MaxNewcomers is the greatest number of joining members in one digest.
	MaxNewcomers = 32

	// MaxResigned is the greatest number of resigned members in one digest.
	MaxResigned = 64
)

// Age is the age of an attestation in units of AgeUnit, or NoAge.
type Age uint8

// newAge rounds d up, since an age may be overstated but not understated.
func newAge(d time.Duration) Age {
	units := (max(d, 0) + AgeUnit - 1) / AgeUnit
	if units >= time.Duration(NoAge) {
		return NoAge
	}
	return Age(units)
}

// Duration returns the age as a duration. It has no meaning for NoAge.
func (a Age) Duration() time.Duration { return time.Duration(a) * AgeUnit }

// Digest is a node's answer to a peer that asks what it runs and knows.
type Digest struct {
	From     member.Member
	Sequence uint64 // Sequence of the head that From runs; zero means none.
	Epoch    uint64 // Epoch of that head.
	Accepted uint64 // Highest sequence that From knows to be accepted.
	Newest   uint64 // Highest sequence that From has heard of.

	// Proven tells that the store had no head after Sequence at ProofAge
	// before the answer, or later.
	Proven   bool
	ProofAge time.Duration

	// Attestations has one entry for each member of the roster of the head that
	// From runs, in its order. An entry with an age says that the member ran a
	// head of at most Sequence at that age or later.
	Attestations []Attestation

	Joining  []Newcomer      // Members outside the roster that From heard of lately, in the order of Member.Compare.
	Resigned []member.Member // Members of rosters still in use that have resigned, and From itself once it has.
}

// Attestation is what one member of the roster is known to run.
type Attestation struct {
	Age     Age  // Age of the latest proof that it runs at most the sequence of the digest.
	Reached bool // Whether it is known to run at least that sequence; this holds for ever.
}

// Newcomer is a member that is not in the roster.
type Newcomer struct {
	Member member.Member
	Age    Age // Time since it was heard of.
}
