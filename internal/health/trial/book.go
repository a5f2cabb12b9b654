// Package trial lets one run of each suspected request take place at a time, in the whole
// fleet: the home of a request holds the book. Copies of a request that come while one
// runs must not crash further backend servers.
package trial

import (
	"net/netip"
	"time"

	"filbertturn.example/filbertturn/internal/request/fingerprint"
)

// MaxDuration bounds a run whose node does not tell that it has ended.
const MaxDuration = 30 * time.Second

// maxTrials bounds the book; there are as many suspected requests at most.
const maxTrials = 512

// Book holds the runs that take place. Its zero value holds none. It is not safe for
// concurrent use.
type Book struct {
	runs map[fingerprint.Fingerprint]run
}

// run is a run of a suspected request.
type run struct {
	node  netip.AddrPort // Node that sends the request.
	until time.Time
}

// Begin lets a node run the request for at most d. If another run takes place it returns false, and the time
// after which that one has ended for certain.
func (b *Book) Begin(now time.Time, f fingerprint.Fingerprint, node netip.AddrPort, d time.Duration) (bool, time.Duration) {
	if r, ok := b.runs[f]; ok && now.Before(r.until) {
		return false, r.until.Sub(now)
	}
	if len(b.runs) >= maxTrials {
		b.purge(now)
	}
	if len(b.runs) >= maxTrials {
		return false, time.Second
	}
	if b.runs == nil {
		b.runs = make(map[fingerprint.Fingerprint]run)
	}
	b.runs[f] = run{node: node, until: now.Add(min(d, MaxDuration))}
	return true, 0
}

// End records that the node's run of the request has ended.
func (b *Book) End(f fingerprint.Fingerprint, node netip.AddrPort) {
	if b.runs[f].node == node {
		delete(b.runs, f)
	}
}

func (b *Book) purge(now time.Time) {
	for f, r := range b.runs {
		if !now.Before(r.until) {
			delete(b.runs, f)
		}
	}
}
