package borrower

import (
	"math"
	"slices"
	"time"

	"filbertturn.example/filbertturn/internal/fleet/member"
	"filbertturn.example/filbertturn/internal/limit/loan"
)

// account is the state of one customer.
type account struct {
	epoch   uint64
	loans   []held // By time of the grant.
	pending *pending
	waiting int // Takes that wait for the ask in flight.
	backlog int // Takes that waited for the ask before, and came to nothing yet.
	holds   map[member.Member]pause
	demand  demand
	seen    time.Time // Latest request.
	resting bool      // In the queue of resting accounts.
}

// held is a loan at the borrower.
type held struct {
	home     member.Member
	sequence uint64
	left     int
	used     int
	reported int       // Uses that the home was told of.
	touched  time.Time // Latest use, or the grant.
	expires  time.Time
	scarce   bool
	closed   bool // No more of it will be used, though some may be left.
}

// pending is the ask in flight.
type pending struct {
	home     member.Member
	sequence uint64
	sent     time.Time
}

// pause is the time for which a home is not asked.
type pause struct {
	until     time.Time
	available time.Time // When a token is expected.
	limited   bool      // The home said that its share is used up.
	repeats   int       // Asks without tokens in a row before this one.
}

// use takes a token from the loan that ends first.
func (a *account) use(now time.Time) bool {
	for i := range a.loans {
		l := &a.loans[i]
		if l.closed || l.left == 0 || !now.Before(l.expires) {
			continue
		}
		l.left--
		l.used++
		l.touched = now
		return true
	}
	return false
}

// finish ends the ask in flight.
func (a *account) finish() {
	a.pending = nil
	a.backlog, a.waiting = a.waiting, 0
}

// abandon gives up on the ask in flight. Whatever the home lent is closed.
func (a *account) abandon(now time.Time) {
	p := a.pending
	a.loans = append(a.loans, held{
		home: p.home, sequence: p.sequence, touched: now, expires: p.sent.Add(loan.DefaultLife), closed: true, scarce: true,
	})
	a.finish()
}

// settlements returns the reports due to a home, oldest loan first.
func (a *account) settlements(now time.Time, home member.Member) []loan.Settlement {
	a.expire(now)
	var list []loan.Settlement
	for i := range a.loans {
		l := &a.loans[i]
		ended := l.closed || l.left == 0 || !now.Before(l.expires)
		if l.home != home || !ended && l.used == l.reported {
			continue
		}
		if len(list) == loan.MaxSettlements {
			break
		}
		l.reported = l.used
		list = append(list, loan.Settlement{Sequence: l.sequence, Used: l.used, Age: now.Sub(l.touched), Closed: ended})
	}
	return list
}

// settled forgets the loans that a home was told to be closed.
func (a *account) settled(home member.Member, list []loan.Settlement) {
	a.loans = slices.DeleteFunc(a.loans, func(l held) bool {
		return l.home == home && slices.ContainsFunc(list, func(s loan.Settlement) bool {
			return s.Closed && s.Sequence == l.sequence
		})
	})
}

// rested returns the homes with which loans are due to be settled, and closes
// the loans that nobody used lately.
func (a *account) rested(now time.Time) []member.Member {
	a.expire(now)
	var homes []member.Member
	for i := range a.loans {
		l := &a.loans[i]
		delay := returnDelay
		if l.scarce {
			delay = settleDelay
		}
		if now.Sub(l.touched) < delay || l.left == 0 && !l.scarce {
			continue
		}
		l.closed = true
		if !slices.Contains(homes, l.home) {
			homes = append(homes, l.home)
		}
	}
	return homes
}

// expire drops loans that the home has written off, too.
func (a *account) expire(now time.Time) {
	a.loans = slices.DeleteFunc(a.loans, func(l held) bool {
		return now.Sub(l.expires) >= loan.DefaultLife
	})
}

// hold leaves a home alone after an ask without tokens.
func (a *account) hold(now time.Time, home member.Member, d time.Duration, g loan.Grant) {
	if a.holds == nil {
		a.holds = map[member.Member]pause{}
	}
	if len(a.holds) > maxHolds {
		clear(a.holds)
	}
	a.holds[home] = pause{
		until: now.Add(d), available: now.Add(max(d, g.Available)),
		limited: g.Refusal == loan.Empty, repeats: a.holds[home].repeats + 1,
	}
}

// maxHolds bounds the homes remembered; those of former rosters are forgotten.
const maxHolds = 32

// refuse returns the refusal while every home is left alone.
func (a *account) refuse(now time.Time, homes []member.Member) Refused {
	r := Refused{RetryAfter: holdFailed}
	for i, home := range homes {
		p := a.holds[home]
		if d := p.available.Sub(now); i == 0 || d < r.RetryAfter {
			r.RetryAfter = max(0, d)
		}
		r.Limited = r.Limited || p.limited
	}
	return r
}

// demand estimates the requests per second.
type demand struct {
	rate float64
	at   time.Time
}

// add counts a request.
func (d *demand) add(now time.Time) {
	if elapsed := now.Sub(d.at); elapsed > 0 {
		d.rate *= math.Exp(-elapsed.Seconds() / demandTime.Seconds())
		d.at = now
	}
	d.rate += 1 / demandTime.Seconds()
}
