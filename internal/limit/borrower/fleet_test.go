package borrower

import (
	"fmt"
	"net/netip"
	"slices"
	"sort"
	"time"

	"filbertturn.example/filbertturn/internal/config/set"
	"filbertturn.example/filbertturn/internal/fleet/member"
	"filbertturn.example/filbertturn/internal/limit/lender"
	"filbertturn.example/filbertturn/internal/limit/loan"
	"filbertturn.example/filbertturn/internal/limit/share"
)

const customer = "lodge"

var start = time.Unix(1_800_000_000, 0)

// head is a published head, reduced to the customer's homes and its limit.
type head struct {
	homes     []member.Member
	limit     set.Limit
	published time.Duration
	inForce   time.Duration // Time from which no node on a lower head is current.
}

func (h head) String() string {
	return fmt.Sprintf("homes %v with %v at %.0f req/s, published %v, in force %v", h.homes, h.limit.Burst, h.limit.Rate, h.published, h.inForce)
}

// share returns the share of a member, or zero if it is no home.
func (h head) share(m member.Member) share.Share {
	if i := slices.Index(h.homes, m); i >= 0 {
		return share.Split(customer, h.limit, len(h.homes))[i]
	}
	return share.Share{}
}

// node is one VM: a borrower, and a home if the roster makes it one.
type node struct {
	Borrower
	lender      lender.Lender
	head        int // Index of the head that the node runs; -1 for none.
	headInForce int // Index of the last head that the node knows to be in force; -1 for none.
	rate        float64
	offset      time.Duration
	frozen      time.Duration // Simulated true time until which the node is suspended.
	waiting     int
}

// message is an ask, a grant, or the local timeout of an ask.
type message struct {
	due      time.Duration
	from, to member.Member
	ask      loan.Ask
	grant    *loan.Grant
	timeout  bool
}

// fleet simulates nodes with clocks of their own and the messages between them.
// Its times are true time.
type fleet struct {
	now      time.Duration
	nodes    []*node
	heads    []head
	messages []message
	delay    func(from, to member.Member) (time.Duration, bool) // Delay of a message, and whether it arrives.
	admitted []time.Duration
	refused  int
	asks     int
}

func newFleet(nodes, dataCentres int, l set.Limit) *fleet {
	f := &fleet{}
	for i := range nodes {
		n := &node{rate: 1, head: -1, headInForce: -1}
		n.Self = member.Member{
			Address:     netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 7000),
			Incarnation: 1, DataCentre: fmt.Sprint("dc", i%dataCentres), Region: fmt.Sprint("region", i%dataCentres/3),
		}
		f.nodes = append(f.nodes, n)
	}
	f.publish(f.pickHomes(make([]int, dataCentres)), l, 0)
	return f
}

// pickHomes returns the chosen node of each data centre; a negative number leaves
// the data centre out.
func (f *fleet) pickHomes(choice []int) []member.Member {
	var homes []member.Member
	for dc, c := range choice {
		if c >= 0 {
			homes = append(homes, f.nodes[dc+c%(len(f.nodes)/len(choice))*len(choice)].Self)
		}
	}
	return homes
}

func (f *fleet) publish(homes []member.Member, l set.Limit, until time.Duration) {
	inForce := f.now + until
	if n := len(f.heads); n > 0 {
		inForce = max(inForce, f.heads[n-1].inForce)
	}
	f.heads = append(f.heads, head{homes: homes, limit: l, published: f.now, inForce: inForce})
}

func (f *fleet) clock(n *node) time.Time {
	return start.Add(n.offset + time.Duration(float64(f.now)*n.rate))
}

// applyHead lets a node run the latest head, with all rosters in between known to
// it or only the one before.
func (f *fleet) applyHead(n *node, rosters bool) {
	last := len(f.heads) - 1
	if n.head == last {
		return
	}
	prior, self := n.head, n.Self
	s := lender.HeadChange{Sequence: uint64(last + 1), Epoch: uint64(last + 1), FromEpoch: uint64(last + 1)}
	if prior >= 0 {
		if rosters {
			s.FromEpoch = uint64(prior + 1)
		} else {
			prior = last - 1
		}
		s.KeptShare = func(string) bool {
			for _, h := range f.heads[prior : last+1] {
				if h.share(self).IsZero() {
					return false
				}
			}
			return true
		}
		s.ResizedShare = func(string) bool {
			for i := prior + 1; i <= last; i++ {
				if f.heads[i].limit != f.heads[i-1].limit || !slices.EqualFunc(f.heads[i].homes, f.heads[i-1].homes, sameDataCentre) {
					return true
				}
			}
			return false
		}
	}
	n.lender.ApplyHead(s)
	n.head = last
}

func sameDataCentre(a, b member.Member) bool { return a.DataCentre == b.DataCentre }

// setInForce tells a node of the heads that have come into force, at their times.
func (f *fleet) setInForce(n *node) {
	for i := n.headInForce + 1; i < len(f.heads) && f.heads[i].inForce <= f.now && i <= n.head; i++ {
		now := f.now
		f.now = f.heads[i].inForce
		n.lender.SetInForce(uint64(i+1), f.clock(n))
		f.now, n.headInForce = now, i
	}
}

// current reports whether a node runs the latest head in force or a newer one.
func (f *fleet) current(n *node) bool {
	return n.head >= 0 && (n.head+1 == len(f.heads) || f.now < f.heads[n.head+1].inForce)
}

// sendRequest sends one request through a node, and reports whether it was
// admitted or waits for a loan.
func (f *fleet) sendRequest(n *node) bool {
	if n.head < 0 {
		return false
	}
	switch d := n.Take(f.clock(n), customer, uint64(n.head), f.heads[n.head].homes).(type) {
	case Admitted:
		f.admitted = append(f.admitted, f.now)
	case Refused:
		f.refused++
		return false
	case Wait:
		n.waiting++
	case NeedLoan:
		n.waiting++
		f.asks++
		f.send(message{from: n.Self, to: d.Home, ask: d.Ask})
		f.enqueue(message{due: f.now + AskTimeout, from: d.Home, to: n.Self, ask: d.Ask, timeout: true})
	}
	return true
}

func (f *fleet) returnIdle(n *node) {
	for _, r := range n.ReturnIdle(f.clock(n)) {
		f.send(message{from: n.Self, to: r.Home, ask: r.Ask})
	}
}

func (f *fleet) send(m message) {
	if d, ok := f.delay(m.from, m.to); ok {
		m.due = f.now + d
		f.enqueue(m)
	}
}

func (f *fleet) enqueue(m message) {
	i := sort.Search(len(f.messages), func(i int) bool { return f.messages[i].due > m.due })
	f.messages = slices.Insert(f.messages, i, m)
}

// advance lets true time pass and delivers the messages that are due.
func (f *fleet) advance(d time.Duration) {
	end := f.now + d
	for len(f.messages) > 0 && f.messages[0].due <= end {
		m := f.messages[0]
		f.messages = f.messages[1:]
		f.now = max(f.now, m.due)
		f.deliver(m)
	}
	f.now = end
}

func (f *fleet) deliver(m message) {
	i := slices.IndexFunc(f.nodes, func(n *node) bool { return n.Self == m.to })
	if i < 0 {
		return
	}
	n := f.nodes[i]
	if f.now < n.frozen {
		m.due = n.frozen
		f.enqueue(m)
		return
	}
	switch {
	case m.timeout:
		n.HandleFailure(f.clock(n), m.from, m.ask)
	case m.grant != nil:
		n.HandleGrant(f.clock(n), m.from, m.ask, *m.grant)
	default:
		g := loan.Grant{Sequence: m.ask.Sequence, Refusal: loan.NotCurrent}
		if f.current(n) {
			f.setInForce(n)
			g = n.lender.Serve(f.clock(n), f.heads[n.head].share(n.Self), m.ask)
		}
		if m.ask.Want > 0 {
			f.send(message{from: n.Self, to: m.from, ask: m.ask, grant: &g})
		}
		return
	}
	waiting := n.waiting
	n.waiting = 0
	for range waiting {
		f.sendRequest(n)
	}
}
