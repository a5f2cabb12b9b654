package quota

import (
	"iter"
	"net/netip"
	"time"
)

// memberTimeout is the time since its last ask after which a node's share no longer
// counts: the node reaches the home again, or has ended.
const memberTimeout = 2 * time.Second

// SharedBucket combines the shares of the nodes that cannot reach a customer's home and ask
// the same substitute node instead. In total it admits no more than the nodes would
// by themselves, but a request is admitted as long as the shares together hold a
// token. The zero value is ready for use. It is not safe for concurrent use.
type SharedBucket struct {
	members map[netip.AddrPort]*memberShare
}

// memberShare is the share of the customer's limit of one asking node.
type memberShare struct {
	bucket  Bucket
	lastAsk time.Time
}

// Take admits a request of the asking node, or refuses it and returns false and the time
// after which to retry. If the shares are used up, but less than maxDelay from their next
// token, the request is admitted too, and must not be sent before the returned time has
// passed. The rate is that of the customer's whole limit, in requests per second, and nodes
// is the number of nodes that divide it.
func (p *SharedBucket) Take(now time.Time, asker netip.AddrPort, rate float64, nodes int, maxDelay time.Duration) (time.Duration, bool) {
	rate /= float64(max(nodes, 1))
	own := p.member(now, asker, rate)
	sum, count := 0.0, 0
	for m := range p.live(now) {
		m.bucket.refill(now, rate, shareBurst)
		sum += m.bucket.level
		count++
	}
	whole := Bucket{level: sum}
	wait := whole.take(rate * float64(count))
	if wait > maxDelay {
		return wait, false
	}
	need := own.bucket.draw(1)
	for m := range p.live(now) {
		need = m.bucket.draw(need)
	}
	for m := range p.live(now) {
		m.bucket.level -= need / float64(count)
	}
	return wait, true
}

// live iterates over the shares that count.
func (p *SharedBucket) live(now time.Time) iter.Seq[*memberShare] {
	return func(yield func(*memberShare) bool) {
		for _, m := range p.members {
			if now.Sub(m.lastAsk) < memberTimeout && !yield(m) {
				return
			}
		}
	}
}

func (p *SharedBucket) member(now time.Time, a netip.AddrPort, rate float64) *memberShare {
	if p.members == nil {
		p.members = make(map[netip.AddrPort]*memberShare)
	}
	m := p.members[a]
	if m == nil {
		p.purge(now, rate)
		m = &memberShare{bucket: Bucket{level: shareBurst, refilledAt: now}}
		p.members[a] = m
	}
	m.lastAsk = now
	return m
}

// purge removes the shares that are as good as new: those of nodes that do not ask any more and
// have been filled up since.
func (p *SharedBucket) purge(now time.Time, rate float64) {
	for a, m := range p.members {
		if now.Sub(m.lastAsk) < memberTimeout {
			continue
		}
		if m.bucket.refill(now, rate, shareBurst); m.bucket.level >= shareBurst {
			delete(p.members, a)
		}
	}
}

// draw takes at most need tokens, which may be a fraction, and returns what is
// missing.
func (b *Bucket) draw(need float64) float64 {
	part := max(min(b.level, need), 0)
	b.level -= part
	return need - part
}
