// Package limiter drives the decisions of the limit packages: as an entry it
// takes tokens for requests, and as a home it lends them.
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
	"filbertturn.example/filbertturn/internal/limit/home"
	"filbertturn.example/filbertturn/internal/limit/loan"
	"filbertturn.example/filbertturn/internal/limit/share"
	"filbertturn.example/filbertturn/internal/peer/question"
	"filbertturn.example/filbertturn/internal/request/failure"
	"filbertturn.example/filbertturn/internal/request/kind"
)

const (
	shardCount    = 16
	idleInterval  = 40 * time.Millisecond
	trimInterval  = time.Second
	forceInterval = 100 * time.Millisecond
	maxRounds     = 8 // Asks that one request may wait for.
)

// Authority tells a home what it may lend under.
type Authority interface {
	Head() head.Head
	View() (head.Head, *snapshot.Snapshot)
	InForce(now time.Time) uint64
	Current(now time.Time) *failure.Failure
}

// Mesh asks other nodes.
type Mesh interface {
	Ask(ctx context.Context, to netip.AddrPort, kind uint32, payload []byte) ([]byte, error)
}

// Limiter holds the state of all customers in shards, each under its own lock.
type Limiter struct {
	Self      member.Member
	Authority Authority
	Mesh      Mesh

	shards [shardCount]shard
}

type shard struct {
	mu       sync.Mutex
	borrower borrower.Borrower
	home     home.Home
	waiting  map[string]chan struct{} // Closed when the customer's ask in flight has its outcome.
	sequence uint64                   // Head that home was told of last.
	epoch    uint64                   // Epoch of the cached homes.
	homes    map[string][]member.Member
}

// Start begins to return unused tokens and to trim.
func (l *Limiter) Start(timers *timer.Service) {
	for i := range l.shards {
		l.shards[i].borrower.Self = l.Self
	}
	timers.Subscribe(idleInterval, func(t timer.Tick) { l.giveBack(t.Now) })
	timers.Subscribe(trimInterval, func(t timer.Tick) { l.trim(t.Now) })
	timers.Subscribe(forceInterval, func(t timer.Tick) { l.inForce(t.Now) })
}

func (l *Limiter) shard(customer string) *shard {
	return &l.shards[xxhash.Sum64String(customer)%shardCount]
}

// Admit takes one token of a customer. Its error is a *failure.Failure of kind
// LimitReached or LimitUnavailable, or that of ctx.
func (l *Limiter) Admit(ctx context.Context, customer string) error {
	s := l.shard(customer)
	for range maxRounds {
		d, outcome := l.take(s, customer)
		switch d := d.(type) {
		case borrower.Admitted:
			return nil
		case borrower.Refused:
			return refusal(d)
		case borrower.NeedLoan:
			l.borrow(s, d)
		case borrower.Wait:
			select {
			case <-outcome:
			case <-ctx.Done():
				return failure.FromContext(ctx, false)
			}
		}
	}
	return refusal(borrower.Refused{Limited: true, RetryAfter: borrower.AskTimeout})
}

func refusal(r borrower.Refused) error {
	k := kind.LimitUnavailable
	if r.Limited {
		k = kind.LimitReached
	}
	return &failure.Failure{Kind: k, RetryAfter: max(r.RetryAfter, time.Millisecond)}
}

func (l *Limiter) take(s *shard, customer string) (borrower.Decision, <-chan struct{}) {
	h := l.Authority.Head()
	s.mu.Lock()
	defer s.mu.Unlock()
	homes := s.homesOf(customer, h)
	d := s.borrower.Take(time.Now(), customer, h.Epoch, homes)
	switch d.(type) {
	case borrower.NeedLoan:
		if s.waiting == nil {
			s.waiting = make(map[string]chan struct{})
		}
		if s.waiting[customer] == nil {
			s.waiting[customer] = make(chan struct{})
		}
	case borrower.Wait:
		if s.waiting[customer] == nil {
			s.waiting[customer] = make(chan struct{})
		}
	}
	return d, s.waiting[customer]
}

// homesOf returns a customer's homes, which only a change of the roster moves.
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

// borrow performs an ask and wakes those who wait for its outcome.
func (l *Limiter) borrow(s *shard, d borrower.NeedLoan) {
	ctx, cancel := context.WithTimeout(context.Background(), borrower.AskTimeout)
	defer cancel()
	grant, err := l.ask(ctx, d.Home, d.Ask)
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if err != nil {
		s.borrower.Failed(now, d.Home, d.Ask)
	} else {
		s.borrower.Granted(now, d.Home, d.Ask, grant)
	}
	if outcome := s.waiting[d.Ask.Customer]; outcome != nil {
		close(outcome)
		delete(s.waiting, d.Ask.Customer)
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

// AnswerLoan answers a borrower's ask.
func (l *Limiter) AnswerLoan(payload []byte) ([]byte, error) {
	var a loan.Ask
	if err := a.UnmarshalBinary(payload); err != nil {
		return nil, err
	}
	return l.lend(time.Now(), a).MarshalBinary()
}

func (l *Limiter) lend(now time.Time, a loan.Ask) loan.Grant {
	if f := l.Authority.Current(now); f != nil {
		return loan.Grant{Sequence: a.Sequence, Refusal: loan.NotCurrent}
	}
	h, config := l.Authority.View()
	s := l.shard(a.Customer)
	s.mu.Lock()
	defer s.mu.Unlock()
	if h.Sequence != s.sequence {
		// The head changed between the two locks.
		return loan.Grant{Sequence: a.Sequence, Refusal: loan.NotCurrent}
	}
	var part share.Share
	if config != nil {
		if limit, ok := config.Limit(a.Customer); ok {
			part = shareOf(l.Self, a.Customer, limit, s.homesOf(a.Customer, h))
		}
	}
	return s.home.Serve(now, part, a)
}

// shareOf returns the share of a home, which is zero for other nodes.
func shareOf(self member.Member, customer string, limit set.Limit, homes []member.Member) share.Share {
	i := slices.Index(homes, self)
	if i < 0 {
		return share.Share{}
	}
	return share.Split(customer, limit, len(homes))[i]
}

// Drop forgets borrowed tokens after a suspension.
func (l *Limiter) Drop() {
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.Lock()
		s.borrower.Drop()
		s.mu.Unlock()
	}
}

func (l *Limiter) giveBack(now time.Time) {
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.Lock()
		returns := s.borrower.Idle(now)
		s.mu.Unlock()
		for _, r := range returns {
			go l.settle(r)
		}
	}
}

func (l *Limiter) settle(r borrower.Return) {
	ctx, cancel := context.WithTimeout(context.Background(), borrower.AskTimeout)
	defer cancel()
	// The loan expires by itself where the home does not hear of it.
	_, _ = l.ask(ctx, r.Home, r.Ask)
}

func (l *Limiter) trim(now time.Time) {
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.Lock()
		s.home.Trim(now)
		s.mu.Unlock()
	}
}

func (l *Limiter) inForce(now time.Time) {
	sequence := l.Authority.InForce(now)
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.Lock()
		s.home.InForce(sequence, now)
		s.mu.Unlock()
	}
}

// Customers returns the number of customers of which the homes hold state.
func (l *Limiter) Customers() int {
	n := 0
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.Lock()
		n += s.home.Customers()
		s.mu.Unlock()
	}
	return n
}
