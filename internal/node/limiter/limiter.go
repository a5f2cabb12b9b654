// Package limiter enforces customers' limits on a node. For requests that enter
// at this node, it takes tokens that it borrows from the customers' homes; as a
// home itself, it lends tokens to other nodes. The decisions are made by the
// packages under limit; this one adds locking, clocks and messages.
package limiter

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"filbertturn.example/filbertturn/internal/clock/timer"
	"filbertturn.example/filbertturn/internal/config/set"
	"filbertturn.example/filbertturn/internal/config/snapshot"
	"filbertturn.example/filbertturn/internal/fleet/head"
	"filbertturn.example/filbertturn/internal/fleet/member"
	"filbertturn.example/filbertturn/internal/fleet/placement"
	"filbertturn.example/filbertturn/internal/limit/borrower"
	"filbertturn.example/filbertturn/internal/limit/lender"
	"filbertturn.example/filbertturn/internal/limit/loan"
	"filbertturn.example/filbertturn/internal/limit/share"
	"filbertturn.example/filbertturn/internal/peer/question"
	"filbertturn.example/filbertturn/internal/request/failure"
	"filbertturn.example/filbertturn/internal/request/kind"
)

const (
	shardCount      = 16
	returnInterval  = 40 * time.Millisecond  // Of the return of unused tokens.
	evictInterval   = time.Second            // Of the eviction of state as a home.
	inForceInterval = 100 * time.Millisecond // Of the update of the head in force.
	maxRounds       = 8                      // Most calls of Borrower.Take, and so most asks to wait for, between two waits for a home.

	// maxHomeWait is the longest time for which a request waits for a home that may be asked. A
	// home that is starved of CPU time, or whose successor begins, answers again within it.
	maxHomeWait = time.Second
)

// Membership provides the head and the configuration under which this node lends
// tokens, and whether it may lend at present.
type Membership interface {
	Head() head.Head
	View() (head.Head, *snapshot.Snapshot)
	InForce(now time.Time) uint64
	CheckCurrent(now time.Time) *failure.Failure
}

// Mesh sends questions to other nodes.
type Mesh interface {
	Ask(ctx context.Context, to netip.AddrPort, kind uint32, payload []byte) ([]byte, error)
}

// Limiter holds the borrowed and the lent tokens of all customers, in shards that
// have a lock each. The exported fields have to be set before Start. Its methods
// are safe for concurrent use.
type Limiter struct {
	Self       member.Member
	Membership Membership
	Mesh       Mesh

	shards [shardCount]shard
}

type shard struct {
	mu       sync.Mutex
	borrower borrower.Borrower
	lender   lender.Lender
	outcomes map[string]chan struct{} // Channels by customer, closed when the customer's ask in flight has its outcome.
	sequence uint64                   // Sequence of the head that was applied to lender last.
	epoch    uint64                   // Epoch of the roster for which homes is valid.
	homes    map[string][]member.Member
}

// Start subscribes the periodic tasks: returning unused tokens, evicting idle
// state of the homes, and updating the head in force.
func (l *Limiter) Start(timers *timer.Service) {
	for i := range l.shards {
		l.shards[i].borrower.Self = l.Self
	}
	timers.Subscribe(returnInterval, func(t timer.Tick) { l.returnIdle(t.Now) })
	timers.Subscribe(evictInterval, func(t timer.Tick) { l.evict(t.Now) })
	timers.Subscribe(inForceInterval, func(t timer.Tick) { l.updateInForce(t.Now) })
}

func (l *Limiter) shard(customer string) *shard {
	return &l.shards[xxhash.Sum64String(customer)%shardCount]
}

// Admit takes one token of a customer, and borrows tokens first if necessary. While no home
// can be asked, it waits for one, unless that takes longer than maxHomeWait. The error is a
// *failure.Failure: of kind LimitReached or LimitUnavailable, or one derived from ctx when
// it ends before.
func (l *Limiter) Admit(ctx context.Context, customer string) error {
	s := l.shard(customer)
	for began := time.Now(); ; {
		r, err := l.tryAdmit(ctx, s, customer)
		if r == nil {
			return err
		}
		if r.LimitReached || time.Since(began)+r.AskAfter > maxHomeWait {
			return refusal(*r)
		}
		timer.Sleep(ctx, max(r.AskAfter, time.Millisecond))
		if ctx.Err() != nil {
			return failure.FromContext(ctx, false)
		}
	}
}

// tryAdmit takes one token of a customer. It returns the refusal if there is none, and an
// error if ctx ends before.
func (l *Limiter) tryAdmit(ctx context.Context, s *shard, customer string) (*borrower.Refused, error) {
	for range maxRounds {
		d, outcome := l.takeToken(s, customer)
		switch d := d.(type) {
		case borrower.Admitted:
			return nil, nil
		case borrower.Refused:
			return &d, nil
		case borrower.NeedLoan:
			l.borrow(s, d)
		case borrower.Wait:
			select {
			case <-outcome:
			case <-ctx.Done():
				return nil, failure.FromContext(ctx, false)
			}
		}
	}
	return &borrower.Refused{LimitReached: true, RetryAfter: borrower.AskTimeout}, nil
}

func refusal(r borrower.Refused) error {
	k := kind.LimitUnavailable
	if r.LimitReached {
		k = kind.LimitReached
	}
	return &failure.Failure{Kind: k, RetryAfter: max(r.RetryAfter, time.Millisecond)}
}

func (l *Limiter) takeToken(s *shard, customer string) (borrower.Decision, <-chan struct{}) {
	h := l.Membership.Head()
	s.mu.Lock()
	defer s.mu.Unlock()
	homes := s.homesOf(customer, h)
	d := s.borrower.Take(time.Now(), customer, h.Epoch, homes)
	switch d.(type) {
	case borrower.NeedLoan:
		if s.outcomes == nil {
			s.outcomes = make(map[string]chan struct{})
		}
		if s.outcomes[customer] == nil {
			s.outcomes[customer] = make(chan struct{})
		}
	case borrower.Wait:
		if s.outcomes[customer] == nil {
			s.outcomes[customer] = make(chan struct{})
		}
	}
	return d, s.outcomes[customer]
}

// homesOf returns a customer's homes. They are cached, since they depend on the
// roster only. The caller holds mu.
func (s *shard) homesOf(customer string, h head.Head) []member.Member {
	if s.homes == nil || s.epoch != h.Epoch {
		s.homes = make(map[string][]member.Member)
		s.epoch = h.Epoch
	}
	homes, ok := s.homes[customer]
	if !ok {
		homes = placement.PerDataCentre(customer, h.Roster)
		s.homes[customer] = homes
	}
	return homes
}

// borrow sends an ask, gives the outcome to the borrower, and wakes the requests
// that wait for it.
func (l *Limiter) borrow(s *shard, d borrower.NeedLoan) {
	ctx, cancel := context.WithTimeout(context.Background(), borrower.AskTimeout)
	defer cancel()
	grant, err := l.ask(ctx, d.Home, d.Ask)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if err != nil {
		s.borrower.HandleFailure(now, d.Home, d.Ask)
	} else {
		s.borrower.HandleGrant(now, d.Home, d.Ask, grant)
	}
	if outcome := s.outcomes[d.Ask.Customer]; outcome != nil {
		close(outcome)
		delete(s.outcomes, d.Ask.Customer)
	}
}

func (l *Limiter) ask(ctx context.Context, to member.Member, a loan.Ask) (loan.Grant, error) {
	if to == l.Self {
		return l.lend(time.Now(), a), nil
	}
	payload, err := a.MarshalBinary()
	if err != nil {
		return loan.Grant{}, err
	}
	reply, err := l.Mesh.Ask(ctx, to.Address, question.Loan, payload)
	if err != nil {
		return loan.Grant{}, err
	}
	var g loan.Grant
	err = g.UnmarshalBinary(reply)
	return g, err
}

// AnswerLoan answers the encoded ask of a borrower with an encoded grant.
func (l *Limiter) AnswerLoan(payload []byte) ([]byte, error) {
	var a loan.Ask
	if err := a.UnmarshalBinary(payload); err != nil {
		return nil, err
	}
	return l.lend(time.Now(), a).MarshalBinary()
}

func (l *Limiter) lend(now time.Time, a loan.Ask) loan.Grant {
	if f := l.Membership.CheckCurrent(now); f != nil {
		return loan.Grant{Sequence: a.Sequence, Refusal: loan.NotCurrent}
	}
	h, config := l.Membership.View()
	s := l.shard(a.Customer)
	s.mu.Lock()
	defer s.mu.Unlock()
	if h.Sequence != s.sequence {
		// The head changed after View, or was not applied to the shard yet.
		return loan.Grant{Sequence: a.Sequence, Refusal: loan.NotCurrent}
	}
	var part share.Share
	if config != nil {
		if limit, ok := config.Limit(a.Customer); ok {
			part = shareOf(l.Self, a.Customer, limit, s.homesOf(a.Customer, h))
		}
	}
	return s.lender.Serve(now, part, a)
}

// shareOf returns the share of a node, which is zero if it is not a home.
func shareOf(self member.Member, customer string, limit set.Limit, homes []member.Member) share.Share {
	i := slices.Index(homes, self)
	if i < 0 {
		return share.Share{}
	}
	return share.Split(customer, limit, len(homes))[i]
}

// DropLoans discards the borrowed tokens, after a suspension of the process or a jump of
// the clock.
func (l *Limiter) DropLoans() {
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.Lock()
		s.borrower.DropLoans()
		s.mu.Unlock()
	}
}

func (l *Limiter) returnIdle(now time.Time) {
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.Lock()
		returns := s.borrower.ReturnIdle(now)
		s.mu.Unlock()
		for _, r := range returns {
			go l.settle(r)
		}
	}
}

func (l *Limiter) settle(r borrower.Return) {
	ctx, cancel := context.WithTimeout(context.Background(), borrower.AskTimeout)
	defer cancel()
	// An error is ignored: a loan that is not settled expires at the home.
	_, _ = l.ask(ctx, r.Home, r.Ask)
}

func (l *Limiter) evict(now time.Time) {
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.Lock()
		s.lender.Evict(now)
		s.mu.Unlock()
	}
}

func (l *Limiter) updateInForce(now time.Time) {
	sequence := l.Membership.InForce(now)
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.Lock()
		s.lender.SetInForce(sequence, now)
		s.mu.Unlock()
	}
}

// CustomerCount returns the number of customers for which this node holds state as a
// home.
func (l *Limiter) CustomerCount() int {
	n := 0
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.Lock()
		n += s.lender.CustomerCount()
		s.mu.Unlock()
	}
	return n
}
