package quota

import (
	"net/netip"
	"time"
)

// Level returns the number of tokens in the bucket of the customer's home, of which parts count: a request that
// Take admits takes one. The rate is in requests per second, the burst in requests.
func (b *Bucket) Level(now time.Time, rate, burst float64) float64 {
	b.begin(now, burst)
	b.refill(now, rate, burst)
	return b.level
}

// begin fills the bucket of a new home.
func (b *Bucket) begin(now time.Time, burst float64) {
	if b.refilledAt.IsZero() {
		b.level, b.refilledAt = max(initialBurstPart*burst, 1), now
	}
}

// ShareLevel is Level for the share of a node that cannot reach the home. It also returns the rate of the share.
func (b *Bucket) ShareLevel(now time.Time, rate float64, nodes int) (tokens, perSecond float64) {
	rate /= float64(max(nodes, 1))
	if b.refilledAt.IsZero() {
		b.level, b.refilledAt = shareBurst, now
	}
	b.refill(now, rate, shareBurst)
	return b.level, rate
}

// Level returns the tokens in the combined shares of the nodes that ask, with the asking node's, and their rate.
func (p *SharedBucket) Level(now time.Time, asker netip.AddrPort, rate float64, nodes int) (tokens, perSecond float64) {
	rate /= float64(max(nodes, 1))
	p.member(now, asker, rate)
	for m := range p.live(now) {
		m.bucket.refill(now, rate, shareBurst)
		tokens += m.bucket.level
		perSecond += rate
	}
	return tokens, perSecond
}
