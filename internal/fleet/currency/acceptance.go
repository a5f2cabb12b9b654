package currency

import "time"

// maxAcceptances bounds the acceptances that are not in force yet.
const maxAcceptances = 64

// acceptance says since when this node has known a sequence to be accepted.
type acceptance struct {
	sequence uint64
	since    time.Time
}

// acceptances is sorted by sequence and by time.
type acceptances []acceptance

// known returns the highest sequence known to be accepted.
func (a acceptances) known() uint64 {
	if len(a) == 0 {
		return 0
	}
	return a[len(a)-1].sequence
}

// inForce returns the highest sequence known to be accepted for delay at now.
func (a acceptances) inForce(now time.Time, delay time.Duration) uint64 {
	for i := len(a) - 1; i >= 0; i-- {
		if now.Sub(a[i].since) >= delay {
			return a[i].sequence
		}
	}
	return 0
}

// add records that sequence is known to be accepted from now on. When the list
// is full the latest entry is counted from now as well, which errs on the safe
// side.
func (a acceptances) add(now time.Time, sequence uint64, delay time.Duration) acceptances {
	if sequence <= a.known() {
		return a
	}
	forced := 0
	for i := range a {
		if now.Sub(a[i].since) >= delay {
			forced = i
		}
	}
	a = append(acceptances(nil), a[forced:]...)
	if len(a) >= maxAcceptances {
		a = a[:len(a)-1]
	}
	return append(a, acceptance{sequence: sequence, since: now})
}
