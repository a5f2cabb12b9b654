package quota

import (
	"net/netip"
	"time"
)

// poolMemory is the time after which a node that does not ask any more takes its
// share out of a pool: it has reached the home again, or has ended.
const poolMemory = 2 * time.Second

// Pool joins the shares of the nodes that cannot reach a customer's home and ask
// the same other node instead. Together they admit no more than each would alone,
// but a request finds a token as long as any of them has one left. Its zero value
// is empty. It is not safe for use by several goroutines at once.
type Pool struct {
	shares map[netip.AddrPort]*member
}

// member is a node's share of the customer's limit.
type member struct {
	bucket Bucket
	asked  time.Time
}

// Take admits a request of one of several nodes and returns zero, or the time
// after which one may be admitted. The rate is in requests per second.
func (p *Pool) Take(now time.Time, asker netip.AddrPort, rate float64, nodes int) time.Duration {
	rate /= float64(max(nodes, 1))
	own := p.member(asker, now)
	sum, count := 0.0, 0
	for _, m := range p.shares {
		if now.Sub(m.asked) < poolMemory {
			m.bucket.refill(now, rate, shareBurst)
			sum += m.bucket.level
			count++
		}
	}
	if sum < 1 {
		whole := Bucket{level: sum}
		return whole.take(rate * float64(count))
	}
	need := own.bucket.draw(1)
	for _, m := range p.shares {
		if now.Sub(m.asked) < poolMemory {
			need = m.bucket.draw(need)
		}
	}
	return 0
}

func (p *Pool) member(a netip.AddrPort, now time.Time) *member {
	if p.shares == nil {
		p.shares = make(map[netip.AddrPort]*member)
	}
	m := p.shares[a]
	if m == nil {
		m = &member{bucket: Bucket{level: shareBurst, at: now}}
		p.shares[a] = m
	}
	m.asked = now
	return m
}

// draw takes up to a part of a token and returns what is missing.
func (b *Bucket) draw(need float64) float64 {
	part := min(b.level, need)
	b.level -= part
	return need - part
}
