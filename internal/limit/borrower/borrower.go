// Package borrower decides at the node that a request enters whether the request
// is within its customer's limit. It spends tokens that it borrows in small
// batches from the customer's homes, the nodes that hold the shares of the limit.
//
// A Borrower does no locking, no I/O and no reading of clocks: the caller
// serialises the calls, sends the asks that it returns, and passes now from a
// monotonic clock. It has to call DropLoans when the clock jumped or the process may
// have been suspended, because borrowed tokens may then have expired unnoticed.
package borrower

import (
	"time"

	"filbertturn.example/filbertturn/internal/fleet/member"
	"filbertturn.example/filbertturn/internal/limit/loan"
)

// AskTimeout is the time after which the caller stops waiting for a home's
// answer and calls HandleFailure.
const AskTimeout = 50 * time.Millisecond

// Parameters of borrowing, returning and backing off.
const (
	prefetchTime          = 50 * time.Millisecond  // Time for which one ask covers the estimated demand.
	demandTimeConstant    = time.Second            // Time constant of the demand estimate's decay.
	scarceReturnDelay     = 20 * time.Millisecond  // Time without use after which a loan marked scarce is returned.
	returnDelay           = 100 * time.Millisecond // Time without use after which any other loan is returned.
	evictDelay            = time.Minute            // Time without requests after which a customer's state is evicted.
	minEmptyBackoff       = 2 * time.Millisecond   // First minimum backoff of an empty home; it doubles with every further failure.
	maxEmptyBackoff       = 50 * time.Millisecond  // Maximum backoff of an empty home in the own data centre; minimum after other refusals.
	maxRemoteEmptyBackoff = 200 * time.Millisecond // Maximum backoff of an empty home in another data centre.
	failureBackoff        = 200 * time.Millisecond // First backoff of a home that does not answer; it doubles. Maximum after other refusals.
	maxFailureBackoff     = 2 * time.Second        // Maximum backoff of a home that does not answer.
	notHomeBackoff        = time.Second            // Backoff of a home without a share.
	tokensLeftMaxAge      = 500 * time.Millisecond // Age up to which a home's number of tokens left is used.
	maxWant               = 1 << 12                // Maximum tokens wanted by one ask.
)

// Decision is the result of Take: Admitted, Refused, NeedLoan or Wait.
type Decision interface{ decision() }

// Admitted means that the request may run. Its token was used at the time that
// Take was given.
type Admitted struct{}

// Refused means that the request is rejected.
type Refused struct {
	RetryAfter   time.Duration // Time until a token is expected.
	AskAfter     time.Duration // Time until a home may be asked again.
	LimitReached bool          // A home answered that its share is used up. If false, no home could be asked.
}

// NeedLoan means that tokens have to be borrowed first. The caller sends Ask to
// Home at once, passes the outcome to HandleGrant or HandleFailure, and calls Take
// again.
type NeedLoan struct {
	Home member.Member
	Ask  loan.Ask
}

// Wait means that an ask of the customer is in flight. The caller calls Take
// again when HandleGrant or HandleFailure was called for it.
type Wait struct{}

func (Admitted) decision() {}
func (Refused) decision()  {}
func (NeedLoan) decision() {}
func (Wait) decision()     {}

// Return is an ask that settles loans and wants no tokens. The caller sends Ask
// to Home and ignores the answer.
type Return struct {
	Home member.Member
	Ask  loan.Ask
}

// Borrower holds the tokens that a node has borrowed, for all customers. Self
// has to be set before use; the other fields are ready as zero values. It is not
// safe for concurrent use.
type Borrower struct {
	Self member.Member

	sequence      uint64
	accounts      map[string]*account
	returnQueue   queue // Customers with loans to check for return.
	evictionQueue queue // All customers, to check for eviction.
}

// Take takes one token of a customer. The homes are those of the customer in
// the roster of the given epoch, sorted by data centre.
func (b *Borrower) Take(now time.Time, customer string, epoch uint64, homes []member.Member) Decision {
	a := b.accountFor(now, customer)
	a.lastRequest, a.epoch = now, epoch
	if a.useToken(now) {
		a.demand.add(now)
		a.backlog = max(0, a.backlog-1)
		return Admitted{}
	}
	if a.pending != nil && now.Sub(a.pending.sent) < loan.DefaultLifetime {
		a.waiters++
		return Wait{}
	}
	if a.pending != nil {
		a.abandonAsk(now)
	}
	home, found := member.Member{}, false
	if a.refusal.epoch != epoch || !now.Before(a.refusal.until) {
		if home, found = b.chooseHome(now, a, homes); !found {
			a.cacheRefusal(now, homes)
		}
	}
	if !found {
		a.backlog = max(0, a.backlog-1)
		r := a.refusal
		return Refused{RetryAfter: max(0, r.available.Sub(now)), AskAfter: max(0, r.until.Sub(now)), LimitReached: r.limited}
	}
	need := min(max(1, a.backlog), maxWant)
	a.backlog = 0
	ask := b.newAsk(now, a, customer, home)
	ask.Need = need
	ask.Want = min(need+int(a.demand.rate*prefetchTime.Seconds()), maxWant)
	a.pending = &pendingAsk{home: home, sequence: ask.Sequence, sent: now}
	return NeedLoan{Home: home, Ask: ask}
}

// HandleGrant handles a home's answer to an ask. An answer that is not to the
// customer's ask in flight, because it is late, duplicated or from another home,
// is ignored.
func (b *Borrower) HandleGrant(now time.Time, home member.Member, ask loan.Ask, g loan.Grant) {
	a := b.accounts[ask.Customer]
	if a == nil || a.pending == nil || a.pending.sequence != ask.Sequence || g.Sequence != ask.Sequence {
		return
	}
	if a.pending.home != home {
		return
	}
	sent := a.pending.sent
	a.endAsk()
	a.removeClosed(home, ask.Settlements)
	if g.Tokens <= 0 {
		a.backOff(now, home, b.refusalBackoff(a, home, g), g)
		return
	}
	a.setState(homeState{home: home, left: g.Left, answeredAt: now})
	life := min(g.Lifetime, loan.DefaultLifetime)
	a.loans = append(a.loans, heldLoan{
		home: home, sequence: ask.Sequence, left: g.Tokens, lastUse: now, expires: sent.Add(life), scarce: g.Scarce,
	})
	b.scheduleReturn(now, ask.Customer, a)
}

// HandleFailure handles an ask that a home did not answer. Tokens that the home may
// have lent are returned with the next ask to it.
func (b *Borrower) HandleFailure(now time.Time, home member.Member, ask loan.Ask) {
	a := b.accounts[ask.Customer]
	if a == nil || a.pending == nil || a.pending.sequence != ask.Sequence {
		return
	}
	a.abandonAsk(now)
	pause := min(maxFailureBackoff, failureBackoff<<min(a.stateOf(home).failures, 8))
	a.backOff(now, home, pause, loan.Grant{Refusal: loan.NotCurrent})
	b.scheduleReturn(now, ask.Customer, a)
}

// ReturnIdle returns the asks that give back unused tokens, and evicts customers
// without requests for evictDelay. It is due at the time of
// NextReturn.
func (b *Borrower) ReturnIdle(now time.Time) []Return {
	var returns []Return
	for _, customer := range b.returnQueue.pop(now) {
		a := b.accounts[customer]
		if a == nil {
			continue
		}
		a.returnQueued = false
		returns = append(returns, b.returnLoans(now, customer, a)...)
		b.scheduleReturn(now, customer, a)
	}
	for _, customer := range b.evictionQueue.pop(now) {
		a := b.accounts[customer]
		switch {
		case a == nil:
		case now.Sub(a.lastRequest) >= evictDelay && len(a.loans) == 0:
			delete(b.accounts, customer)
		default:
			b.evictionQueue.push(now.Add(evictDelay), customer)
		}
	}
	return returns
}

// NextReturn returns the time at which ReturnIdle is due, or the zero time if there is
// nothing to return or evict.
func (b *Borrower) NextReturn() time.Time {
	returns, evictions := b.returnQueue.next(), b.evictionQueue.next()
	if returns.IsZero() || !evictions.IsZero() && evictions.Before(returns) {
		return evictions
	}
	return returns
}

// DropLoans discards all tokens and all asks in flight, after a jump of the clock.
func (b *Borrower) DropLoans() {
	b.accounts = nil
	b.returnQueue, b.evictionQueue = queue{}, queue{}
}

// CustomerCount returns the number of customers with state.
func (b *Borrower) CustomerCount() int { return len(b.accounts) }

// accountFor returns the customer's account, and creates it if there is none.
func (b *Borrower) accountFor(now time.Time, customer string) *account {
	if a := b.accounts[customer]; a != nil {
		return a
	}
	if b.accounts == nil {
		b.accounts = map[string]*account{}
	}
	a := &account{}
	b.accounts[customer] = a
	b.evictionQueue.push(now.Add(evictDelay), customer)
	return a
}

// newAsk returns an ask to a home with the next sequence and the settlements
// that are due to the home. Its Want and Need are zero.
func (b *Borrower) newAsk(now time.Time, a *account, customer string, home member.Member) loan.Ask {
	b.sequence++
	return loan.Ask{
		Customer: customer, Epoch: a.epoch, Sequence: b.sequence,
		Borrower:    loan.Borrower{Address: b.Self.Address, Incarnation: b.Self.Incarnation},
		Settlements: a.settlements(now, home),
	}
}

// chooseHome returns the home to ask, or false if all are backed off. It prefers
// the one with the most tokens left, so that all homes are used up at about the
// same time and the whole burst is usable; near homes are preferred to distant
// ones that have slightly more.
func (b *Borrower) chooseHome(now time.Time, a *account, homes []member.Member) (member.Member, bool) {
	var best member.Member
	highest := 0
	for _, home := range homes {
		if now.Before(a.stateOf(home).until) {
			continue
		}
		if s := b.score(now, a, home); s > highest {
			best, highest = home, s
		}
	}
	return best, highest > 0
}

// score weights the tokens that a home has left by its distance. A home in the
// own region of which nothing recent is known counts as full, so that it is
// tried; one in another region counts with its last known number, so that it is
// usually tried only when the near ones have nothing left.
func (b *Borrower) score(now time.Time, a *account, home member.Member) int {
	weights := [...]int{5, 4, 1}
	rank := b.distance(home)
	left, known := a.tokensLeft(now, home)
	if !known && rank < 2 {
		left = maxWant
	}
	return weights[rank] * (left + 1)
}

// distance returns the distance class of a home: 0 in the own data centre, 1 in
// the own region, 2 elsewhere.
func (b *Borrower) distance(home member.Member) int {
	switch {
	case home.DataCentre == b.Self.DataCentre:
		return 0
	case home.Region == b.Self.Region:
		return 1
	}
	return 2
}

// refusalBackoff returns the backoff of a home that granted no tokens.
func (b *Borrower) refusalBackoff(a *account, home member.Member, g loan.Grant) time.Duration {
	switch g.Refusal {
	case loan.Empty, loan.Overfull:
		// The next token that accrues may go to another borrower. The longer a
		// home stays empty, the more borrowers are likely to compete for it, so
		// the minimum doubles.
		longest := maxEmptyBackoff
		if b.distance(home) > 0 {
			longest = maxRemoteEmptyBackoff
		}
		least := minEmptyBackoff << min(a.stateOf(home).failures, 10)
		return min(max(g.Available, least), longest)
	case loan.NotHome:
		return notHomeBackoff
	case loan.Stale:
		return 0
	}
	return min(max(g.Available, maxEmptyBackoff), failureBackoff)
}

// scheduleReturn queues the customer for ReturnIdle if it has loans and is not queued.
func (b *Borrower) scheduleReturn(now time.Time, customer string, a *account) {
	if !a.returnQueued && len(a.loans) > 0 {
		a.returnQueued = true
		b.returnQueue.push(now.Add(scarceReturnDelay), customer)
	}
}

// returnLoans returns the asks that settle the idle loans of an account. While an
// ask is in flight it returns none, and the next ask settles them.
func (b *Borrower) returnLoans(now time.Time, customer string, a *account) []Return {
	if a.pending != nil {
		return nil
	}
	var returns []Return
	for _, home := range a.closeIdle(now) {
		ask := b.newAsk(now, a, customer, home)
		a.removeClosed(home, ask.Settlements)
		returns = append(returns, Return{Home: home, Ask: ask})
	}
	return returns
}
