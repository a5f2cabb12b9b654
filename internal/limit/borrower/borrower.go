// Package borrower decides at the entry whether a customer's request is within
// its limit, with tokens that it borrows from the customer's homes.
//
// A Borrower has no lock and reads no clock. The caller derives now from
// monotonic time, and calls Drop when the clock jumped or the process may have
// been suspended.
package borrower

import (
	"time"

	"filbertturn.example/filbertturn/internal/fleet/member"
	"filbertturn.example/filbertturn/internal/limit/loan"
)

// AskTimeout is the time after which the caller gives up on a home's answer
// and calls Failed.
const AskTimeout = 50 * time.Millisecond

// Times of the borrower's policy.
const (
	prefetch    = 50 * time.Millisecond  // Demand covered by one ask.
	demandTime  = time.Second            // Time constant of the demand estimate.
	settleDelay = 20 * time.Millisecond  // Rest after which scarce tokens are returned.
	returnDelay = 100 * time.Millisecond // Rest after which other tokens are returned.
	evictDelay  = time.Minute            // Rest after which a customer is forgotten.
	holdFirst   = 2 * time.Millisecond   // Least trust in an empty home, at first; it doubles.
	holdEmpty   = 50 * time.Millisecond  // Longest trust in an empty home in the own data centre.
	holdRemote  = 200 * time.Millisecond // The same for other homes.
	holdFailed  = 200 * time.Millisecond // First pause for a home that does not answer.
	holdLongest = 2 * time.Second        // Longest pause for one.
	holdNotHome = time.Second            // Pause for a home without a share.
	trustLeft   = 500 * time.Millisecond // Trust in the number of tokens that a home had left.
	maxWant     = 1 << 12                // Tokens of one ask.
)

// Decision is the answer to Take: Admitted, Refused, NeedLoan or Wait.
type Decision interface{ decision() }

// Admitted lets the request pass. It counts from the time of the Take.
type Admitted struct{}

// Refused ends the request.
type Refused struct {
	RetryAfter time.Duration // Time after which a token is expected.
	Limited    bool          // A home said that the limit is used up. Otherwise no home could be asked.
}

// NeedLoan tells the caller to send the ask to the home at once, to give the
// outcome to Granted or Failed, and then to Take again.
type NeedLoan struct {
	Home member.Member
	Ask  loan.Ask
}

// Wait tells the caller to Take again when the customer's ask in flight has
// its outcome.
type Wait struct{}

func (Admitted) decision() {}
func (Refused) decision()  {}
func (NeedLoan) decision() {}
func (Wait) decision()     {}

// Return is an ask that settles loans. The caller sends it and ignores the
// answer.
type Return struct {
	Home member.Member
	Ask  loan.Ask
}

// Borrower holds the borrowed tokens of a node for all customers. Self has to
// be set; the zero value of the rest is ready.
type Borrower struct {
	Self member.Member

	sequence uint64
	accounts map[string]*account
	resting  queue // Accounts with loans.
	idle     queue // All accounts, for eviction.
}

// Take asks for one token of a customer. The homes are those of the customer in
// the roster of the epoch, sorted by data centre.
func (b *Borrower) Take(now time.Time, customer string, epoch uint64, homes []member.Member) Decision {
	a := b.account(now, customer)
	a.seen, a.epoch = now, epoch
	if a.use(now) {
		a.demand.add(now)
		a.backlog = max(0, a.backlog-1)
		return Admitted{}
	}
	if a.pending != nil && now.Sub(a.pending.sent) < loan.DefaultLife {
		a.waiting++
		return Wait{}
	}
	if a.pending != nil {
		a.abandon(now)
	}
	home, found := member.Member{}, false
	if a.refusal.epoch != epoch || !now.Before(a.refusal.until) {
		if home, found = b.choose(now, a, homes); !found {
			a.refuse(now, homes)
		}
	}
	if !found {
		a.backlog = max(0, a.backlog-1)
		return Refused{RetryAfter: max(0, a.refusal.available.Sub(now)), Limited: a.refusal.limited}
	}
	need := min(max(1, a.backlog), maxWant)
	a.backlog = 0
	ask := b.ask(now, a, customer, home)
	ask.Need = need
	ask.Want = min(need+int(a.demand.rate*prefetch.Seconds()), maxWant)
	a.pending = &pending{home: home, sequence: ask.Sequence, sent: now}
	return NeedLoan{Home: home, Ask: ask}
}

// Granted takes a home's answer to an ask. Answers that are late, repeated or
// to another ask are ignored.
func (b *Borrower) Granted(now time.Time, home member.Member, ask loan.Ask, g loan.Grant) {
	a := b.accounts[ask.Customer]
	if a == nil || a.pending == nil || a.pending.sequence != ask.Sequence || g.Sequence != ask.Sequence {
		return
	}
	if a.pending.home != home {
		return
	}
	sent := a.pending.sent
	a.finish()
	a.settled(home, ask.Settlements)
	if g.Tokens <= 0 {
		a.hold(now, home, b.refusalHold(a, home, g), g)
		return
	}
	a.note(pause{home: home, left: g.Left, at: now})
	life := min(g.Life, loan.DefaultLife)
	a.loans = append(a.loans, held{
		home: home, sequence: ask.Sequence, left: g.Tokens, touched: now, expires: sent.Add(life), scarce: g.Scarce,
	})
	b.rest(now, ask.Customer, a)
}

// Failed tells that a home did not answer an ask. Tokens that it may have lent
// are given back with the next ask to it.
func (b *Borrower) Failed(now time.Time, home member.Member, ask loan.Ask) {
	a := b.accounts[ask.Customer]
	if a == nil || a.pending == nil || a.pending.sequence != ask.Sequence {
		return
	}
	a.abandon(now)
	pause := min(holdLongest, holdFailed<<min(a.peer(home).repeats, 8))
	a.hold(now, home, pause, loan.Grant{Refusal: loan.NotCurrent})
	b.rest(now, ask.Customer, a)
}

// Idle returns tokens that are not needed and forgets customers that sent
// nothing for long. It is due at the time of Next.
func (b *Borrower) Idle(now time.Time) []Return {
	var returns []Return
	for _, customer := range b.resting.pop(now) {
		a := b.accounts[customer]
		if a == nil {
			continue
		}
		a.resting = false
		returns = append(returns, b.giveBack(now, customer, a)...)
		b.rest(now, customer, a)
	}
	for _, customer := range b.idle.pop(now) {
		a := b.accounts[customer]
		switch {
		case a == nil:
		case now.Sub(a.seen) >= evictDelay && len(a.loans) == 0:
			delete(b.accounts, customer)
		default:
			b.idle.push(now.Add(evictDelay), customer)
		}
	}
	return returns
}

// Next returns the time at which Idle is due, or zero if it never is.
func (b *Borrower) Next() time.Time {
	rest, idle := b.resting.next(), b.idle.next()
	if rest.IsZero() || !idle.IsZero() && idle.Before(rest) {
		return idle
	}
	return rest
}

// Drop forgets all tokens and all asks in flight, after a jump of the clock.
func (b *Borrower) Drop() {
	b.accounts = nil
	b.resting, b.idle = queue{}, queue{}
}

// Customers returns the number of customers of whom there is state.
func (b *Borrower) Customers() int { return len(b.accounts) }

// account returns the customer's account and makes it if needed.
func (b *Borrower) account(now time.Time, customer string) *account {
	if a := b.accounts[customer]; a != nil {
		return a
	}
	if b.accounts == nil {
		b.accounts = map[string]*account{}
	}
	a := &account{}
	b.accounts[customer] = a
	b.idle.push(now.Add(evictDelay), customer)
	return a
}

// ask returns an ask that settles what it can with a home.
func (b *Borrower) ask(now time.Time, a *account, customer string, home member.Member) loan.Ask {
	b.sequence++
	return loan.Ask{
		Customer: customer, Epoch: a.epoch, Sequence: b.sequence,
		Borrower:    loan.Borrower{Address: b.Self.Address, Incarnation: b.Self.Incarnation},
		Settlements: a.settlements(now, home),
	}
}

// choose returns the home to ask: the one with the most tokens left, so that
// all homes run dry together and the whole burst can be used. Near homes are
// preferred to distant ones that have a little more.
func (b *Borrower) choose(now time.Time, a *account, homes []member.Member) (member.Member, bool) {
	var best member.Member
	highest := 0
	for _, home := range homes {
		if now.Before(a.peer(home).until) {
			continue
		}
		if s := b.score(now, a, home); s > highest {
			best, highest = home, s
		}
	}
	return best, highest > 0
}

// score weighs the tokens that a home has left by its distance. A home that is
// not known lately is tried, but one in another region only when the near ones
// have none left.
func (b *Borrower) score(now time.Time, a *account, home member.Member) int {
	weights := [...]int{5, 4, 1}
	rank := b.rank(home)
	left, known := a.left(now, home)
	if !known && rank < 2 {
		left = maxWant
	}
	return weights[rank] * (left + 1)
}

// rank returns how far away a home is: 0 in the own data centre, 1 in the own
// region, 2 elsewhere.
func (b *Borrower) rank(home member.Member) int {
	switch {
	case home.DataCentre == b.Self.DataCentre:
		return 0
	case home.Region == b.Self.Region:
		return 1
	}
	return 2
}

// refusalHold returns how long a home that lent nothing is left alone.
func (b *Borrower) refusalHold(a *account, home member.Member, g loan.Grant) time.Duration {
	switch g.Refusal {
	case loan.Empty, loan.Overfull:
		// A token that accrues may go to another entry. The longer a home stays
		// empty, the more entries are likely to want it.
		longest := holdEmpty
		if b.rank(home) > 0 {
			longest = holdRemote
		}
		least := holdFirst << min(a.peer(home).repeats, 10)
		return min(max(g.Available, least), longest)
	case loan.NotHome:
		return holdNotHome
	case loan.Stale:
		return 0
	}
	return min(max(g.Available, holdEmpty), holdFailed)
}

// rest schedules the return of the account's tokens.
func (b *Borrower) rest(now time.Time, customer string, a *account) {
	if !a.resting && len(a.loans) > 0 {
		a.resting = true
		b.resting.push(now.Add(settleDelay), customer)
	}
}

// giveBack returns the asks that settle loans which rest. An account with an
// ask in flight settles with its next one.
func (b *Borrower) giveBack(now time.Time, customer string, a *account) []Return {
	if a.pending != nil {
		return nil
	}
	var returns []Return
	for _, home := range a.rested(now) {
		ask := b.ask(now, a, customer, home)
		a.settled(home, ask.Settlements)
		returns = append(returns, Return{Home: home, Ask: ask})
	}
	return returns
}
