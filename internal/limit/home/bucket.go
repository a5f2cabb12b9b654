package home

import (
	"time"

	"filbertturn.example/filbertturn/internal/limit/loan"
	"filbertturn.example/filbertturn/internal/limit/share"
)

// epsilon absorbs rounding, in tokens.
const epsilon = 1e-9

// bucket is the share of one customer.
type bucket struct {
	sequence uint64 // Head under which it was last served.
	share    share.Share

	// total is the number of tokens that exist: those here and those lent and
	// not known to be used. While it is below the burst, mark is the time up to
	// which tokens have accrued; otherwise, the time since which none have.
	total float64
	mark  time.Time

	lent    int // Tokens lent and not known to be used; part of total.
	loans   []lending
	debtors map[loan.Borrower]debtor
}

// lending is one loan that has not ended.
type lending struct {
	borrower loan.Borrower
	sequence uint64
	left     int // Tokens that may still be used.
	used     int
	expires  time.Time
}

// debtor remembers the latest answer to a borrower.
type debtor struct {
	grant   loan.Grant
	expires time.Time
}

// serve answers an ask.
func (b *bucket) serve(now time.Time, a loan.Ask, g loan.Grant) loan.Grant {
	b.expire(now)
	last, ok := b.debtors[a.Borrower]
	switch {
	case ok && a.Sequence == last.grant.Sequence:
		return last.grant
	case ok && a.Sequence < last.grant.Sequence:
		g.Refusal = loan.Stale
		return g
	case !ok && len(b.debtors) >= maxBorrowers:
		g.Refusal, g.Available = loan.Overfull, loan.DefaultLife
		return g
	}
	for _, s := range a.Settlements {
		b.settle(now, a.Borrower, s)
	}
	b.advance(now)
	if a.Want > 0 {
		b.lend(now, a, &g)
	}
	if b.debtors == nil {
		b.debtors = map[loan.Borrower]debtor{}
	}
	b.debtors[a.Borrower] = debtor{grant: g, expires: now.Add(loan.Hold(loan.DefaultLife))}
	return g
}

// lend takes tokens out for an ask. When few are left, an ask gets those that
// it needs, and at most half of the rest for its next requests.
func (b *bucket) lend(now time.Time, a loan.Ask, g *loan.Grant) {
	level := int(b.total - float64(b.lent) + epsilon)
	g.Tokens = min(level, max(a.Need, min(a.Want, level/2)), loan.MaxTokens)
	if g.Tokens <= 0 {
		g.Tokens, g.Refusal, g.Available = 0, loan.Empty, b.available()
		return
	}
	b.lent += g.Tokens
	g.Left = level - g.Tokens
	g.Scarce = b.lent*scarcity > b.share.Burst
	b.loans = append(b.loans, lending{
		borrower: a.Borrower, sequence: a.Sequence, left: g.Tokens,
		expires: now.Add(loan.Hold(loan.DefaultLife)),
	})
}

// available returns the time until the next token accrues. Where none can
// before a loan ends, it is the time of a whole token.
func (b *bucket) available() time.Duration {
	missing := 1 - (b.total - float64(b.lent))
	if b.total >= float64(b.share.Burst) || missing <= 0 || missing > 1 {
		missing = 1
	}
	return seconds(missing / b.rate())
}

// settle takes in what a borrower says of a loan.
func (b *bucket) settle(now time.Time, from loan.Borrower, s loan.Settlement) {
	for i := range b.loans {
		l := &b.loans[i]
		if l.borrower != from || l.sequence != s.Sequence {
			continue
		}
		if used := min(s.Used-l.used, l.left); used > 0 {
			l.used += used
			l.left -= used
			b.spend(used, now.Add(-s.Age), now)
		}
		if s.Closed {
			b.lent -= l.left
			l.left = 0
			b.clip(now)
		}
		return
	}
}

// expire counts the tokens of loans that have ended as used.
func (b *bucket) expire(now time.Time) {
	ended := 0
	for ended < len(b.loans) && (b.loans[ended].left == 0 || !now.Before(b.loans[ended].expires)) {
		if l := b.loans[ended]; l.left > 0 {
			b.spend(l.left, l.expires, now)
		}
		ended++
	}
	if ended > 0 {
		b.loans = append(b.loans[:0], b.loans[ended:]...)
	}
}

// spend counts lent tokens as used, at the given time at the latest.
func (b *bucket) spend(tokens int, at, now time.Time) {
	b.advance(now)
	if b.total >= float64(b.share.Burst) && at.After(b.mark) {
		b.mark = at
	}
	b.total -= float64(tokens)
	b.lent -= tokens
	b.advance(now)
}

// advance lets tokens accrue up to now.
func (b *bucket) advance(now time.Time) {
	missing := float64(b.share.Burst) - b.total
	elapsed := now.Sub(b.mark)
	if missing <= 0 || elapsed <= 0 {
		return
	}
	if gain := b.rate() * elapsed.Seconds(); gain < missing {
		b.total += gain
		b.mark = now
		return
	}
	b.total = float64(b.share.Burst)
	b.mark = b.mark.Add(seconds(missing / b.rate()))
}

// rate returns the tokens per second of a node's clock. It is lower than that
// of the share, so that neither a fast clock of this node nor the age of a use
// by a fast clock of the borrower makes more tokens than the share has in true
// time.
func (b *bucket) rate() float64 { return b.share.Rate / (1 + loan.Drift) }

// resize applies the share of the present head. Until its new shares have
// begun, a share does not grow. The tokens that exist stay as they are, but
// for those above a smaller burst.
func (b *bucket) resize(now time.Time, s share.Share, settled bool) {
	smaller := s.Min(b.share)
	if !settled {
		s = smaller
	}
	if s == b.share {
		return
	}
	b.expire(now)
	b.share = smaller
	b.advance(now)
	b.clip(now)
	b.share = s
	b.mark = now
}

// clip drops tokens above the burst, of which there may be some after it was
// made smaller. Those that are lent are dropped when they come back.
func (b *bucket) clip(now time.Time) {
	if limit := float64(max(b.lent, b.share.Burst)); b.total > limit {
		b.total, b.mark = limit, now
	}
}

// trim drops what has expired, and reports whether a bucket made later in place
// of this one would be no fuller.
func (b *bucket) trim(now time.Time) bool {
	b.expire(now)
	b.advance(now)
	for borrower, d := range b.debtors {
		if !now.Before(d.expires) {
			delete(b.debtors, borrower)
		}
	}
	if len(b.debtors) == 0 {
		b.debtors = nil
	}
	full := seconds(float64(b.share.Burst) / b.rate())
	return len(b.debtors) == 0 && b.lent == 0 && b.total >= float64(b.share.Burst) && now.Sub(b.mark) >= full
}

// seconds converts to a duration, bounded to loan.MaxDuration.
func seconds(s float64) time.Duration {
	if s >= loan.MaxDuration.Seconds() {
		return loan.MaxDuration
	}
	return time.Duration(s * float64(time.Second))
}
