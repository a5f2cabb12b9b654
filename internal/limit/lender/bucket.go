package lender

import (
	"time"

	"filbertturn.example/filbertturn/internal/limit/loan"
	"filbertturn.example/filbertturn/internal/limit/share"
)

// epsilon is the number of tokens by which a level may fall short of a whole
// number through rounding.
const epsilon = 1e-9

// bucket is the token bucket of one customer's share.
type bucket struct {
	sequence uint64 // Sequence of the head under which it was last served.
	share    share.Share

	// total is the number of tokens in existence: those in the bucket and those
	// lent and not known to be used. While it is below the burst, accruedUntil
	// is the time up to which tokens have accrued; otherwise it is the time at
	// which accrual stopped because the bucket was full.
	total        float64
	accruedUntil time.Time

	lent        int // Tokens lent and not known to be used; included in total.
	loans       []outstandingLoan
	lastAnswers map[loan.Borrower]lastAnswer
}

// outstandingLoan is one loan that has not expired at the home.
type outstandingLoan struct {
	borrower loan.Borrower
	sequence uint64
	left     int // Tokens that may still be used or returned.
	used     int
	expires  time.Time
}

// lastAnswer is the latest answer to a borrower, kept so that a repeated ask gets
// the same answer and an older ask is recognised as stale.
type lastAnswer struct {
	grant   loan.Grant
	expires time.Time
}

// serve answers an ask: it applies the settlements and then lends. g carries the
// fields of the answer that are the same for all asks.
func (b *bucket) serve(now time.Time, a loan.Ask, g loan.Grant) loan.Grant {
	b.expireLoans(now)
	last, ok := b.lastAnswers[a.Borrower]
	switch {
	case ok && a.Sequence == last.grant.Sequence:
		return last.grant
	case ok && a.Sequence < last.grant.Sequence:
		g.Refusal = loan.Stale
		return g
	case !ok && len(b.lastAnswers) >= maxBorrowers:
		g.Refusal, g.Available = loan.Overfull, loan.DefaultLifetime
		return g
	}
	for _, s := range a.Settlements {
		b.settle(now, a.Borrower, s)
	}
	b.accrue(now)
	if a.Want > 0 {
		b.lend(now, a, &g)
	}
	if b.lastAnswers == nil {
		b.lastAnswers = map[loan.Borrower]lastAnswer{}
	}
	b.lastAnswers[a.Borrower] = lastAnswer{grant: g, expires: now.Add(loan.PadForDrift(loan.DefaultLifetime))}
	return g
}

// lend takes tokens out of the bucket for an ask and sets the result in g. An ask
// gets what it needs; beyond that, it gets what it wants up to half of the
// tokens that are left.
func (b *bucket) lend(now time.Time, a loan.Ask, g *loan.Grant) {
	level := int(b.total - float64(b.lent) + epsilon)
	g.Tokens = min(level, max(a.Need, min(a.Want, level/2)), loan.MaxTokens)
	if g.Tokens <= 0 {
		g.Tokens, g.Refusal, g.Available = 0, loan.Empty, b.timeToNextToken()
		return
	}
	b.lent += g.Tokens
	g.Left = level - g.Tokens
	g.Scarce = b.lent*scarceDivisor > b.share.Burst
	b.loans = append(b.loans, outstandingLoan{
		borrower: a.Borrower, sequence: a.Sequence, left: g.Tokens,
		expires: now.Add(loan.PadForDrift(loan.DefaultLifetime)),
	})
}

// timeToNextToken returns the time until the next token accrues. If none can
// accrue before a loan ends, it is the time in which a whole token accrues.
func (b *bucket) timeToNextToken() time.Duration {
	missing := 1 - (b.total - float64(b.lent))
	if b.total >= float64(b.share.Burst) || missing <= 0 || missing > 1 {
		missing = 1
	}
	return secondsToDuration(missing / b.rate())
}

// settle applies a borrower's settlement of a loan. A settlement of a loan that is
// not outstanding is ignored.
func (b *bucket) settle(now time.Time, from loan.Borrower, s loan.Settlement) {
	for i := range b.loans {
		l := &b.loans[i]
		if l.borrower != from || l.sequence != s.Sequence {
			continue
		}
		if used := min(s.Used-l.used, l.left); used > 0 {
			l.used += used
			l.left -= used
			b.consume(used, now.Add(-s.Age), now)
		}
		if s.Closed {
			b.lent -= l.left
			l.left = 0
			b.clampToBurst(now)
		}
		return
	}
}

// expireLoans removes the loans that are used up or expired, oldest first, and
// counts the remaining tokens of expired ones as used.
func (b *bucket) expireLoans(now time.Time) {
	ended := 0
	for ended < len(b.loans) && (b.loans[ended].left == 0 || !now.Before(b.loans[ended].expires)) {
		if l := b.loans[ended]; l.left > 0 {
			b.consume(l.left, l.expires, now)
		}
		ended++
	}
	if ended > 0 {
		b.loans = append(b.loans[:0], b.loans[ended:]...)
	}
}

// consume counts lent tokens as used, at the time at or earlier. In a full bucket
// accrual resumes at that time.
func (b *bucket) consume(tokens int, at, now time.Time) {
	b.accrue(now)
	if b.total >= float64(b.share.Burst) && at.After(b.accruedUntil) {
		b.accruedUntil = at
	}
	b.total -= float64(tokens)
	b.lent -= tokens
	b.accrue(now)
}

// accrue adds the tokens that have accrued up to now, at most to the burst.
func (b *bucket) accrue(now time.Time) {
	missing := float64(b.share.Burst) - b.total
	elapsed := now.Sub(b.accruedUntil)
	if missing <= 0 || elapsed <= 0 {
		return
	}
	if gain := b.rate() * elapsed.Seconds(); gain < missing {
		b.total += gain
		b.accruedUntil = now
		return
	}
	b.total = float64(b.share.Burst)
	b.accruedUntil = b.accruedUntil.Add(secondsToDuration(missing / b.rate()))
}

// rate returns the tokens per second of this node's clock. It is lower than that
// of the share, so that no more tokens accrue than the share allows in true time,
// even if the clock of this node, or that by which a borrower measured the age of
// a use, is fast.
func (b *bucket) rate() float64 { return b.share.Rate / (1 + loan.MaxClockDrift) }

// resize applies the share of the current head. If begun is false, because the
// new shares of that head have not begun yet, neither part of the share grows.
// The tokens in existence stay, except those above a smaller burst.
func (b *bucket) resize(now time.Time, s share.Share, begun bool) {
	smaller := s.Min(b.share)
	if !begun {
		s = smaller
	}
	if s == b.share {
		return
	}
	b.expireLoans(now)
	b.share = smaller
	b.accrue(now)
	b.clampToBurst(now)
	b.share = s
	b.accruedUntil = now
}

// clampToBurst drops the tokens above the burst, which exist after the burst was
// lowered. Those that are lent are dropped when they are returned.
func (b *bucket) clampToBurst(now time.Time) {
	if limit := float64(max(b.lent, b.share.Burst)); b.total > limit {
		b.total, b.accruedUntil = limit, now
	}
}

// evict drops expired loans and answers, and reports whether the bucket can be
// dropped as a whole: a bucket created later in its place, which starts at the
// time at which shares began, would hold no more tokens.
func (b *bucket) evict(now time.Time) bool {
	b.expireLoans(now)
	b.accrue(now)
	for borrower, d := range b.lastAnswers {
		if !now.Before(d.expires) {
			delete(b.lastAnswers, borrower)
		}
	}
	if len(b.lastAnswers) == 0 {
		b.lastAnswers = nil
	}
	full := secondsToDuration(float64(b.share.Burst) / b.rate())
	return len(b.lastAnswers) == 0 && b.lent == 0 && b.total >= float64(b.share.Burst) && now.Sub(b.accruedUntil) >= full
}

// secondsToDuration converts seconds to a duration of at most loan.MaxDuration.
func secondsToDuration(s float64) time.Duration {
	if s >= loan.MaxDuration.Seconds() {
		return loan.MaxDuration
	}
	return time.Duration(s * float64(time.Second))
}
