package quorum

import "time"

// maxAcceptances bounds the number of recorded acceptances. All but the first are
// not in force yet.
const maxAcceptances = 64

// acceptance records since when this node has known a sequence to be accepted.
type acceptance struct {
	sequence uint64
	since    time.Time
}

// acceptances is sorted by sequence, and thereby by time.
type acceptances []acceptance

// known returns the highest sequence known to be accepted.
func (a acceptances) known() uint64 {
	if len(a) == 0 {
		return 0
	}
	return a[len(a)-1].sequence
}

// inForce returns the highest sequence that, at now, has been known to be accepted
// for at least delay, or zero.
func (a acceptances) inForce(now time.Time, delay time.Duration) uint64 {
	for i := len(a) - 1; i >= 0; i-- {
		if now.Sub(a[i].since) >= delay {
			return a[i].sequence
		}
	}
	return 0
}

// add records that sequence is known to be accepted from now on, and discards the
// entries before the one in force. When the list is full, the new entry replaces the
// latest one, whose sequence then comes into force later. That is safe.
func (a acceptances) add(now time.Time, sequence uint64, delay time.Duration) acceptances {
	if sequence <= a.known() {
		return a
	}
	first := 0
	for i := range a {
		if now.Sub(a[i].since) >= delay {
			first = i
		}
	}
	a = append(acceptances(nil), a[first:]...)
	if len(a) >= maxAcceptances {
		a = a[:len(a)-1]
	}
	return append(a, acceptance{sequence: sequence, since: now})
}
