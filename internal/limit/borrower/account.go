package borrower

import (
	"math"
	"slices"
	"time"

	"filbertturn.example/filbertturn/internal/fleet/member"
	"filbertturn.example/filbertturn/internal/limit/loan"
)

// account is the borrower's state of one customer.
type account struct {
	epoch        uint64
	loans        []heldLoan // In order of the grants.
	pending      *pendingAsk
	waiters      int // Calls of Take that wait for the ask in flight.
	backlog      int // Calls of Take that waited for the previous ask and have not been decided since.
	homeStates   []homeState
	demand       demand
	lastRequest  time.Time // Time of the latest call of Take.
	returnQueued bool      // Whether the customer is in returnQueue.
	refusal      refusal
}

// refusal caches the decision for the time in which every home is backed off,
// so that a customer far above its limit costs little.
type refusal struct {
	epoch     uint64
	until     time.Time // Time from which a home may be asked again.
	available time.Time // Expected time of the next token.
	limited   bool
}

// heldLoan is a loan as the borrower sees it.
type heldLoan struct {
	home     member.Member
	sequence uint64
	left     int
	used     int
	reported int       // Part of used that was reported to the home.
	lastUse  time.Time // Time of the latest use, or of the grant.
	expires  time.Time
	scarce   bool
	closed   bool // No more tokens of it will be used, even if some are left.
}

// pendingAsk is the ask in flight.
type pendingAsk struct {
	home     member.Member
	sequence uint64
	sent     time.Time
}

// homeState is what is known of a home from its latest answer, and the time
// until which it is backed off.
type homeState struct {
	home       member.Member
	until      time.Time
	available  time.Time // Expected time of the home's next token.
	limited    bool      // The home answered that its share is used up.
	failures   int       // Consecutive asks that brought no tokens, including the latest.
	left       int       // Tokens that the home had left after its grant.
	answeredAt time.Time // Time of the answer or of the failure.
}

// useToken uses one token of the oldest loan that has one, and reports whether
// there was one.
func (a *account) useToken(now time.Time) bool {
	for i := range a.loans {
		l := &a.loans[i]
		if l.closed || l.left == 0 || !now.Before(l.expires) {
			continue
		}
		l.left--
		l.used++
		l.lastUse = now
		return true
	}
	return false
}

// endAsk clears the ask in flight, and the cached refusal with it.
func (a *account) endAsk() {
	a.pending = nil
	a.backlog, a.waiters = a.waiters, 0
	a.refusal = refusal{}
}

// abandonAsk gives up on the ask in flight. A loan that the home may have made
// for it is recorded as closed, so that the home gets its tokens back.
func (a *account) abandonAsk(now time.Time) {
	p := a.pending
	a.loans = append(a.loans, heldLoan{
		home: p.home, sequence: p.sequence, lastUse: now, expires: p.sent.Add(loan.DefaultLifetime), closed: true, scarce: true,
	})
	a.endAsk()
}

// settlements returns the settlements that are due to a home, oldest loan
// first and at most loan.MaxSettlements, and records them as reported.
func (a *account) settlements(now time.Time, home member.Member) []loan.Settlement {
	a.removeExpired(now)
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
		list = append(list, loan.Settlement{Sequence: l.sequence, Used: l.used, Age: now.Sub(l.lastUse), Closed: ended})
	}
	return list
}

// removeClosed removes the loans that the settlements sent to a home closed.
func (a *account) removeClosed(home member.Member, list []loan.Settlement) {
	a.loans = slices.DeleteFunc(a.loans, func(l heldLoan) bool {
		return l.home == home && slices.ContainsFunc(list, func(s loan.Settlement) bool {
			return s.Closed && s.Sequence == l.sequence
		})
	})
}

// closeIdle closes the loans that were not used for scarceReturnDelay or
// returnDelay, and returns the homes to which they are due. A loan that is used
// up and not scarce is left to the settlements of the next ask.
func (a *account) closeIdle(now time.Time) []member.Member {
	a.removeExpired(now)
	var homes []member.Member
	for i := range a.loans {
		l := &a.loans[i]
		delay := returnDelay
		if l.scarce {
			delay = scarceReturnDelay
		}
		if now.Sub(l.lastUse) < delay || l.left == 0 && !l.scarce {
			continue
		}
		l.closed = true
		if !slices.Contains(homes, l.home) {
			homes = append(homes, l.home)
		}
	}
	return homes
}

// removeExpired removes the loans that have expired at the home, too: it has
// counted their tokens as used, and a settlement would change nothing.
func (a *account) removeExpired(now time.Time) {
	a.loans = slices.DeleteFunc(a.loans, func(l heldLoan) bool {
		return now.Sub(l.expires) >= loan.DefaultLifetime
	})
}

// stateOf returns what is known of a home, or the zero value.
func (a *account) stateOf(home member.Member) homeState {
	for i := range a.homeStates {
		if a.homeStates[i].home == home {
			return a.homeStates[i]
		}
	}
	return homeState{}
}

// setState replaces the state of a home.
func (a *account) setState(p homeState) {
	a.homeStates = slices.DeleteFunc(a.homeStates, func(o homeState) bool { return o.home == p.home })
	if len(a.homeStates) == maxHomeStates {
		a.homeStates = a.homeStates[1:]
	}
	a.homeStates = append(a.homeStates, p)
}

// backOff backs a home off for d after an ask that brought no tokens.
func (a *account) backOff(now time.Time, home member.Member, d time.Duration, g loan.Grant) {
	a.setState(homeState{
		home:  home,
		until: now.Add(d), available: now.Add(max(d, g.Available)),
		limited: g.Refusal == loan.Empty, failures: a.stateOf(home).failures + 1, answeredAt: now,
	})
}

// tokensLeft returns the number of tokens that the home reported as left, and
// whether its answer is no older than tokensLeftMaxAge.
func (a *account) tokensLeft(now time.Time, home member.Member) (int, bool) {
	p := a.stateOf(home)
	return p.left, now.Sub(p.answeredAt) <= tokensLeftMaxAge
}

// maxHomeStates bounds the homes of which state is kept. The oldest states go
// first, which are those of homes in former rosters.
const maxHomeStates = 16

// cacheRefusal sets the refusal that holds while every home is backed off: until
// the first of them may be asked again, with the earliest expected token.
func (a *account) cacheRefusal(now time.Time, homes []member.Member) {
	r := refusal{epoch: a.epoch, until: now.Add(failureBackoff), available: now.Add(failureBackoff)}
	for i, home := range homes {
		p := a.stateOf(home)
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

// demand estimates the requests per second as an exponentially decaying average
// with the time constant demandTimeConstant.
type demand struct {
	rate float64
	at   time.Time
}

// add records one request.
func (d *demand) add(now time.Time) {
	if elapsed := now.Sub(d.at); elapsed > 0 {
		d.rate *= math.Exp(-elapsed.Seconds() / demandTimeConstant.Seconds())
		d.at = now
	}
	d.rate += 1 / demandTimeConstant.Seconds()
}
