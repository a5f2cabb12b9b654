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
	holds   []pause
	demand  demand
	seen    time.Time // Latest request.
	resting bool      // In the queue of resting accounts.
	refusal refusal
}

// refusal is the answer to requests while every home is left alone, kept so
// that a customer far above its limit costs little.
type refusal struct {
	epoch     uint64
	until     time.Time // Time from which a home may be asked.
	available time.Time // Time at which a token is expected.
	limited   bool
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

// pause is what is known of a home, and the time for which it is not asked.
type pause struct {
	home      member.Member
	until     time.Time
	available time.Time // When a token is expected.
	limited   bool      // The home said that its share is used up.
	repeats   int       // Asks without tokens in a row before this one.
	left      int       // Tokens that the home had left.
	at        time.Time // Time of its answer.
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
	a.refusal = refusal{}
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

// peer returns what is known of a home.
func (a *account) peer(home member.Member) pause {
	for i := range a.holds {
		if a.holds[i].home == home {
			return a.holds[i]
		}
	}
	return pause{}
}

// note remembers the answer of a home.
func (a *account) note(p pause) {
	a.holds = slices.DeleteFunc(a.holds, func(o pause) bool { return o.home == p.home })
	if len(a.holds) == maxHolds {
		a.holds = a.holds[1:]
	}
	a.holds = append(a.holds, p)
}

// hold leaves a home alone after an ask without tokens.
func (a *account) hold(now time.Time, home member.Member, d time.Duration, g loan.Grant) {
	a.note(pause{
		home:  home,
		until: now.Add(d), available: now.Add(max(d, g.Available)),
		limited: g.Refusal == loan.Empty, repeats: a.peer(home).repeats + 1, at: now,
	})
}

// left returns the tokens that a home is likely to have left, and whether it
// said so lately.
func (a *account) left(now time.Time, home member.Member) (int, bool) {
	p := a.peer(home)
	return p.left, now.Sub(p.at) <= trustLeft
}

// maxHolds bounds the homes remembered; those of former rosters are forgotten.
const maxHolds = 16

// refuse works out the refusal while every home is left alone.
func (a *account) refuse(now time.Time, homes []member.Member) {
	r := refusal{epoch: a.epoch, until: now.Add(holdFailed), available: now.Add(holdFailed)}
	for i, home := range homes {
		p := a.peer(home)
		if i == 0 || p.until.Before(r.until) {
			r.until = p.until
		}
		if i == 0 || p.available.Before(r.available) {
			r.available = p.available
		}
		r.limited = r.limited || p.limited
	}
	a.refusal = r
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
