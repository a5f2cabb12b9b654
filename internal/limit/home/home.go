// Package home hands out the shares of customers' limits that this node is the
// home of.
//
// The bound that the homes of a customer keep together: in every window, the
// tokens used anywhere are at most the burst plus the rate times the length of
// the window. A share counts a token from the moment that it accrues until it
// is known to be used or to have expired, whether the home still has it or has
// lent it, and no token accrues beyond the burst of the share. A reported use
// or an expiry makes room from the moment that it happened, not only from the
// moment that the home learnt of it, so that small bursts still reach their
// rate.
//
// A Home has no lock and reads no clock.
package home

import (
	"time"

	"filbertturn.example/filbertturn/internal/limit/loan"
	"filbertturn.example/filbertturn/internal/limit/share"
)

// Limits of what a home remembers.
const (
	maxSteps     = 8    // Heads.
	maxBorrowers = 4096 // Borrowers of one customer.
)

// scarcity is the part of a share that may be lent before borrowers are asked
// to report and return soon.
const scarcity = 16

// retryNotActive is the time to come back while it is not known when a share
// begins.
const retryNotActive = 100 * time.Millisecond

// Step is a head that the node has begun to run.
type Step struct {
	Sequence uint64 // Number of the head.
	Epoch    uint64 // Number of its roster.
	From     uint64 // Epoch of the earliest roster that Kept considers; that of the head before, or lower.

	// Kept reports whether this node had a share of the customer's limit, one
	// that is not zero, in the head that it ran before, in this one, and in
	// every head between. Nil means that it had not, and so does a From that
	// leaves out a roster. It is called later, and has to give the same answers
	// then.
	Kept func(customer string) bool

	// Resized reports whether the customer's share may have changed since the
	// head that the node ran before, through its limit or through the list of
	// data centres, also in a head between. Nil means that no share did.
	Resized func(customer string) bool
}

// step is a Step and the time at which its new shares begin.
type step struct {
	Step
	jump  bool      // The node did not run the head before this one.
	begin time.Time // Zero while the head is not known to be in force.
}

// Home holds the shares that this node is home of. The zero value serves
// nobody until Begin and InForce.
type Home struct {
	steps   []step // By sequence; at most maxSteps.
	buckets map[string]*bucket
}

// Begin tells that the node runs a head. Shares that it kept go on at once,
// though they do not grow; others begin only after InForce. A head that the
// node ran already is ignored.
func (h *Home) Begin(s Step) {
	jump := false
	if n := len(h.steps); n > 0 {
		last := h.steps[n-1]
		jump = s.Sequence > last.Sequence+1
		if s.Sequence <= last.Sequence {
			return
		}
		if s.From > last.Epoch {
			s.Kept = nil
		}
	}
	if s.Kept == nil {
		h.steps, h.buckets = nil, nil
	}
	h.steps = append(h.steps, step{Step: s, jump: jump})
	if extra := len(h.steps) - maxSteps; extra > 0 {
		h.steps = append([]step(nil), h.steps[extra:]...)
	}
}

// InForce tells that, at the latest at the given time, no node is current on a
// head below the given sequence. Loans of former homes are then in use for at
// most their life, so that new shares begin to fill after it.
func (h *Home) InForce(sequence uint64, at time.Time) {
	for i := range h.steps {
		if s := &h.steps[i]; s.Sequence <= sequence && s.begin.IsZero() {
			s.begin = at.Add(loan.Hold(loan.DefaultLife))
		}
	}
}

// Serve answers an ask. The share is that of this node in the head that it
// runs, and zero where it is not home of the customer. The caller has checked
// that the node is current.
func (h *Home) Serve(now time.Time, s share.Share, a loan.Ask) loan.Grant {
	g := loan.Grant{Sequence: a.Sequence, Life: loan.DefaultLife}
	if len(h.steps) > 0 {
		g.Epoch = h.steps[len(h.steps)-1].Epoch
	}
	if s.IsZero() || len(h.steps) == 0 {
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

// Trim drops the state that no longer matters. It is called about once a
// second.
func (h *Home) Trim(now time.Time) {
	for customer, b := range h.buckets {
		if b.trim(now) {
			delete(h.buckets, customer)
		}
	}
}

// Customers returns the number of customers of whom there is state.
func (h *Home) Customers() int { return len(h.buckets) }

// bucket returns the customer's bucket with the share applied, or nil and the
// time until there will be one.
func (h *Home) bucket(now time.Time, s share.Share, customer string) (*bucket, time.Duration) {
	last := len(h.steps) - 1
	settled := h.settled(now, last)
	b := h.buckets[customer]
	first := h.first(customer)
	if b != nil && b.sequence < h.steps[first].Sequence {
		b = nil // Another node may have been home since, or it is too long ago to tell.
	}
	if b != nil && h.skipped(now, b, customer) {
		return nil, retryNotActive
	}
	if b == nil {
		begin, known := h.begin(first, customer)
		if !known {
			return nil, retryNotActive
		}
		if wait := begin.Sub(now); wait > 0 {
			return nil, wait
		}
		b = &bucket{share: s, mark: begin}
		if h.buckets == nil {
			h.buckets = map[string]*bucket{}
		}
		h.buckets[customer] = b
	}
	b.sequence = h.steps[last].Sequence
	b.resize(now, s, settled)
	return b, 0
}

// settled reports whether the new shares of a step have begun.
func (h *Home) settled(now time.Time, i int) bool {
	return !h.steps[i].begin.IsZero() && !now.Before(h.steps[i].begin)
}

// first returns the step at which the node became home of the customer, as far
// back as it remembers.
func (h *Home) first(customer string) int {
	i := len(h.steps) - 1
	for i > 0 && h.steps[i].Kept(customer) {
		i--
	}
	return i
}

// skipped reports whether the share in force is unknown: it changed more than
// once since the bucket was served, or in heads that the node did not run, and
// its latest change has not begun. The share between may have been smaller than
// those before and after.
func (h *Home) skipped(now time.Time, b *bucket, customer string) bool {
	changes, settled := 0, true
	for i, s := range h.steps {
		if s.Sequence > b.sequence && s.Resized != nil && s.Resized(customer) {
			changes++
			if s.jump {
				changes++
			}
			settled = h.settled(now, i)
		}
	}
	return changes > 1 && !settled
}

// begin returns the time from which a customer without a bucket accrues tokens:
// the beginning of the last step that started or changed its share.
func (h *Home) begin(first int, customer string) (time.Time, bool) {
	at, known := h.steps[first].begin, !h.steps[first].begin.IsZero()
	for _, s := range h.steps[first+1:] {
		if s.Resized == nil || !s.Resized(customer) {
			continue
		}
		known = known && !s.begin.IsZero()
		if s.begin.After(at) {
			at = s.begin
		}
	}
	return at, known
}
