// Package lender lends tokens of the shares of customers' limits of which this node
// is the home.
//
// The homes of a customer together guarantee a bound: in every window, the tokens
// used on all nodes are at most the burst plus the rate times the length of the
// window. For this, a share counts a token from its accrual until it is known to
// be used or to have expired, whether it is in the bucket or lent, and no token
// accrues beyond the burst of the share. A reported use or an expiry makes room
// from the time at which it happened, not from the time at which the home learns
// of it; otherwise shares with a small burst wouldn't reach their rate.
//
// A Lender does no locking and reads no clock; the caller passes now from a
// monotonic clock.
package lender

import (
	"time"

	"filbertturn.example/filbertturn/internal/limit/loan"
	"filbertturn.example/filbertturn/internal/limit/share"
)

// Bounds of the state that a Lender keeps.
const (
	maxHeads     = 8    // Latest heads.
	maxBorrowers = 4096 // Borrowers of one customer at a time.
)

// scarceDivisor bounds lending without haste: when more than the burst divided by
// it is lent, grants are marked scarce, so that borrowers report uses and return
// tokens soon.
const scarceDivisor = 16

// retryNotActive is the time after which to ask again while it is not known when
// a share begins.
const retryNotActive = 100 * time.Millisecond

// HeadChange describes a head that the node has begun to run, as far as it concerns
// shares.
type HeadChange struct {
	Sequence  uint64 // Sequence of the head.
	Epoch     uint64 // Epoch of the head's roster.
	FromEpoch uint64 // Epoch of the earliest roster that KeptShare considers: that of the node's previous head, or lower.

	// KeptShare reports whether this node has had a share other than zero of the
	// customer's limit without a break: in the head that it ran before, in this
	// one, and in every head between. If it is nil, or if a roster is left out
	// between the previous head and FromEpoch, no share was kept. It is called at any
	// later time and always has to give the same answers.
	KeptShare func(customer string) bool

	// ResizedShare reports whether the size of the customer's share may have changed
	// since the head that the node ran before, also in a head between, through
	// a change of the limit or of the list of data centres. If it is nil, no
	// share changed.
	ResizedShare func(customer string) bool
}

// headRecord is a HeadChange with the time at which its new shares begin.
type headRecord struct {
	HeadChange
	skippedHead bool      // The node did not run the head directly before this one.
	sharesFrom  time.Time // Time at which new shares begin; zero while the head is not known to be in force.
}

// Lender holds the token buckets of the shares of which this node is the home. The
// zero value refuses every ask until ApplyHead and SetInForce were called. It is not
// safe for concurrent use.
type Lender struct {
	heads   []headRecord // In order of the sequence; at most maxHeads.
	buckets map[string]*bucket
}

// ApplyHead applies a head that the node has begun to run. Kept shares remain usable
// at once but do not grow yet; other shares, and growth, begin only after
// SetInForce. A head that is not newer than the latest is ignored.
func (h *Lender) ApplyHead(s HeadChange) {
	jump := false
	if n := len(h.heads); n > 0 {
		last := h.heads[n-1]
		jump = s.Sequence > last.Sequence+1
		if s.Sequence <= last.Sequence {
			return
		}
		if s.FromEpoch > last.Epoch {
			s.KeptShare = nil
		}
	}
	if s.KeptShare == nil {
		h.heads, h.buckets = nil, nil
	}
	h.heads = append(h.heads, headRecord{HeadChange: s, skippedHead: jump})
	if extra := len(h.heads) - maxHeads; extra > 0 {
		h.heads = append([]headRecord(nil), h.heads[extra:]...)
	}
}

// SetInForce records that, from the given time on, no node is current on a head
// below the given sequence. Loans of former homes may then be used for the
// lifetime of a loan at most, and new shares begin to accrue tokens after that.
func (h *Lender) SetInForce(sequence uint64, at time.Time) {
	for i := range h.heads {
		if s := &h.heads[i]; s.Sequence <= sequence && s.sharesFrom.IsZero() {
			s.sharesFrom = at.Add(loan.PadForDrift(loan.DefaultLifetime))
		}
	}
}

// Serve answers an ask. The share is that of this node in the head that it runs,
// or zero if it is not a home of the customer. The caller has to check before
// that the node is current.
func (h *Lender) Serve(now time.Time, s share.Share, a loan.Ask) loan.Grant {
	g := loan.Grant{Sequence: a.Sequence, Lifetime: loan.DefaultLifetime}
	if len(h.heads) > 0 {
		g.Epoch = h.heads[len(h.heads)-1].Epoch
	}
	if s.IsZero() || len(h.heads) == 0 {
		g.Refusal = loan.NotHome
		return g
	}
	b, wait := h.bucket(now, s, a.Customer)
	if b == nil {
		g.Refusal, g.Available = loan.NotActive, wait
		return g
	}
	return b.serve(now, a, g)
}

// Evict evicts state that no longer affects any answer. The caller calls it about
// once a second.
func (h *Lender) Evict(now time.Time) {
	for customer, b := range h.buckets {
		if b.evict(now) {
			delete(h.buckets, customer)
		}
	}
}

// CustomerCount returns the number of customers with state.
func (h *Lender) CustomerCount() int { return len(h.buckets) }

// bucket returns the customer's bucket with the share applied, or nil and the
// time after which to ask again.
func (h *Lender) bucket(now time.Time, s share.Share, customer string) (*bucket, time.Duration) {
	last := len(h.heads) - 1
	begun := h.sharesBegun(now, last)
	b := h.buckets[customer]
	first := h.homeSince(customer)
	if b != nil && b.sequence < h.heads[first].Sequence {
		b = nil // Another node may have been home in the meantime, or too many heads passed to tell.
	}
	if b != nil && h.shareUnknown(now, b, customer) {
		return nil, retryNotActive
	}
	if b == nil {
		start, known := h.accrualStart(first, customer)
		if !known {
			return nil, retryNotActive
		}
		if wait := start.Sub(now); wait > 0 {
			return nil, wait
		}
		b = &bucket{share: s, accruedUntil: start}
		if h.buckets == nil {
			h.buckets = map[string]*bucket{}
		}
		h.buckets[customer] = b
	}
	b.sequence = h.heads[last].Sequence
	b.resize(now, s, begun)
	return b, 0
}

// sharesBegun reports whether the new shares of head i have begun.
func (h *Lender) sharesBegun(now time.Time, i int) bool {
	return !h.heads[i].sharesFrom.IsZero() && !now.Before(h.heads[i].sharesFrom)
}

// homeSince returns the index of the head since which the node has been home of
// the customer without a break, or of the earliest head that is kept.
func (h *Lender) homeSince(customer string) int {
	i := len(h.heads) - 1
	for i > 0 && h.heads[i].KeptShare(customer) {
		i--
	}
	return i
}

// shareUnknown reports whether the share in force is unknown: it changed more than
// once since the bucket was last served, or in heads that the node did not run,
// and its latest change has not begun. A share in between may have been smaller
// than those before and after.
func (h *Lender) shareUnknown(now time.Time, b *bucket, customer string) bool {
	changes, begun := 0, true
	for i, s := range h.heads {
		if s.Sequence > b.sequence && s.ResizedShare != nil && s.ResizedShare(customer) {
			changes++
			if s.skippedHead {
				changes++
			}
			begun = h.sharesBegun(now, i)
		}
	}
	return changes > 1 && !begun
}

// accrualStart returns the time from which tokens accrue for a customer without a
// bucket, and whether it is known: the time at which its share began, or at which
// the latest change of its size did.
func (h *Lender) accrualStart(first int, customer string) (time.Time, bool) {
	at, known := h.heads[first].sharesFrom, !h.heads[first].sharesFrom.IsZero()
	for _, s := range h.heads[first+1:] {
		if s.ResizedShare == nil || !s.ResizedShare(customer) {
			continue
		}
		known = known && !s.sharesFrom.IsZero()
		if s.sharesFrom.After(at) {
			at = s.sharesFrom
		}
	}
	return at, known
}
