package quorum

import (
	"time"

	"filbertturn.example/filbertturn/internal/fleet/member"
)

const (
	// AgeUnit is the unit of Age. Ages are rounded up to a multiple of it.
	AgeUnit = 10 * time.Millisecond

	// NoAge means that an attestation is missing or too old to send.
	NoAge Age = 255

	// MaxNewcomers is the maximum number of joining members in one digest.
	MaxNewcomers = 32

	// MaxResigned is the maximum number of resigned members in one digest.
	MaxResigned = 64
)

// Age is the age of an attestation in units of AgeUnit, or NoAge.
type Age uint8

// newAge rounds d up, since it is safe to overstate an age but not to understate it.
func newAge(d time.Duration) Age {
	units := (max(d, 0) + AgeUnit - 1) / AgeUnit
	if units >= time.Duration(NoAge) {
		return NoAge
	}
	return Age(units)
}

// Duration returns the age as a duration. The result is meaningless for NoAge.
func (a Age) Duration() time.Duration { return time.Duration(a) * AgeUnit }

// Digest is the gossip message with which a node answers a peer: which head it runs,
// and what it knows of the store and of the other members.
type Digest struct {
	From     member.Member
	Sequence uint64 // Sequence of the head that From runs; zero if it runs none.
	Epoch    uint64 // Epoch of that head.
	Accepted uint64 // Highest sequence that From knows to be accepted.
	Newest   uint64 // Highest sequence that From has heard of.

	// Proven states that the store had no head after Sequence at the time ProofAge
	// before this digest was made, or later.
	Proven   bool
	ProofAge time.Duration

	// Attestations has one entry for each member of the roster of the head that
	// From runs, in the order of the roster. An entry with an age states that the
	// member ran a head of at most Sequence at that age or later.
	Attestations []Attestation

	Joining  []Newcomer      // Members outside the roster that From heard of within JoiningAge, in the order of Member.Compare.
	Resigned []member.Member // Members of the current or pending rosters that have resigned, and From itself once it has.
}

// Attestation states what one member of the roster is known to run.
type Attestation struct {
	Age     Age  // Age of the latest proof that the member runs at most the sequence of the digest.
	Reached bool // Whether the member is known to run at least that sequence, which stays true.
}

// Newcomer is a member outside the roster that wants to join.
type Newcomer struct {
	Member member.Member
	Age    Age // Time since the member was last known to be alive.
}
