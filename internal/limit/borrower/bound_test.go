package borrower

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "filbertturn.example/filbertturn/internal/check/seed"
	"filbertturn.example/filbertturn/internal/config/set"
	"filbertturn.example/filbertturn/internal/fleet/member"
)

// maxExcess returns the largest number of admitted requests by which any window
// exceeds its bound, and where that window ends. A limit is in effect from the
// publishing of its head until the last loan made under it has expired.
func (f *fleet) maxExcess() (float64, time.Duration) {
	effective := func(at time.Duration) set.Limit {
		var l set.Limit
		for i, h := range f.heads {
			last := i+1 == len(f.heads)
			if at >= h.published && (last || at <= f.heads[i+1].inForce+600*time.Millisecond) {
				l = set.Limit{Rate: max(l.Rate, h.limit.Rate), Burst: max(l.Burst, h.limit.Burst)}
			}
		}
		return l
	}
	// Points are the times of the requests and those at which the bound changes.
	points := slices.Clone(f.admitted)
	for _, h := range f.heads {
		points = append(points, h.published, h.inForce+600*time.Millisecond+1)
	}
	slices.Sort(points)
	worst, where := 0.0, time.Duration(0)
	for _, cap := range f.heads {
		// Considers the windows in which no limit with a burst above cap is in
		// effect: used is the largest excess over the rate of a window that
		// ends at p.
		used, next, from := 0.0, 0, time.Duration(0)
		for _, p := range points {
			l := effective(p)
			used = max(0, used-effective((from+p)/2).Rate*(p-from).Seconds())
			from = p
			if l.Burst > cap.limit.Burst {
				used = 0
			}
			for next < len(f.admitted) && f.admitted[next] <= p {
				if next++; l.Burst <= cap.limit.Burst {
					used++
				}
			}
			if over := used - float64(cap.limit.Burst); over > worst {
				worst, where = over, p
			}
		}
	}
	return worst, where
}

// schedule draws the requests, the faults and the changes of one run.
type schedule struct {
	*rapid.T
	*fleet
	centres int // Number of data centres.
	cuts    map[[2]member.Member]bool
	posted  []message
}

var (
	delays = []time.Duration{0, time.Millisecond, 30 * time.Millisecond, 45 * time.Millisecond, 400 * time.Millisecond, 2 * time.Second}
	pauses = []time.Duration{
		0, 0, 0, time.Millisecond, 10 * time.Millisecond, 60 * time.Millisecond, 250 * time.Millisecond, 440 * time.Millisecond,
		490 * time.Millisecond, 499 * time.Millisecond, 509 * time.Millisecond, 530 * time.Millisecond, 700 * time.Millisecond, 3 * time.Second,
	}
	limits  = []set.Limit{{Rate: 5, Burst: 2}, {Rate: 2, Burst: 9}, {Rate: 30, Burst: 9}, {Rate: 300, Burst: 9}, {Rate: 100, Burst: 30}, {Rate: 400, Burst: 40}}
	numbers = []int{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15}
)

// int draws a number from 0 to n-1 uniformly.
func (s *schedule) int(n int, label string) int {
	return rapid.SampledFrom(numbers[:n]).Draw(s.T, label)
}

func (s *schedule) node() *node { return s.nodes[s.int(len(s.nodes), "node")] }

func (s *schedule) pause() time.Duration { return rapid.SampledFrom(pauses).Draw(s.T, "pause") }

func (s *schedule) awake(n *node) bool { return s.now >= n.frozen }

// step performs one drawn event.
func (s *schedule) step() {
	switch n := s.node(); s.int(14, "act") {
	case 0:
		s.sendRequests(n, 1+s.int(15, "requests"))
	case 1:
		s.borrowAndCancel(n)
	case 2:
		s.borrowAndCancel(s.nodes...)
	case 3, 4:
		s.saturate()
	case 5:
		if s.awake(n) {
			s.returnIdle(n)
		}
	case 6:
		if s.awake(n) && s.int(4, "drop") == 0 {
			n.DropLoans()
		}
		n.lender.Evict(s.clock(n))
	case 7:
		n.frozen = max(n.frozen, s.now+s.pause())
	case 8: // The node restarts.
		fresh := &node{rate: n.rate, offset: n.offset, head: -1, headInForce: -1}
		fresh.Self = n.Self
		fresh.Self.Incarnation++
		*n = *fresh
	case 9:
		way := [2]member.Member{n.Self, s.node().Self}
		s.cuts[way] = !s.cuts[way]
	case 10, 11:
		s.changeHead()
	case 12:
		s.applyHead(n, s.int(8, "rosters") > 0)
		s.setInForce(n)
	case 13: // A message is delivered again, or hours pass without events.
		if s.int(16, "hours") == 0 {
			s.advance(3 * time.Hour)
		} else if len(s.posted) > 0 {
			m := s.posted[max(0, len(s.posted)-1-s.int(16, "message"))]
			m.due = s.now + s.pause()
			s.enqueue(m)
		}
	}
}

func (s *schedule) sendRequests(n *node, k int) {
	for range k {
		if !s.awake(n) || !s.sendRequest(n) {
			return
		}
	}
}

// borrowAndCancel makes nodes borrow many tokens for requests that are then
// cancelled, so that the tokens are held unused.
func (s *schedule) borrowAndCancel(nodes ...*node) {
	for _, n := range nodes {
		if s.awake(n) {
			n.accountFor(s.clock(n), customer).backlog = 40
			s.sendRequests(n, 1)
		}
	}
	s.advance(time.Millisecond)
	for _, n := range nodes {
		n.waiting = 0
	}
}

// saturate sends more requests through every node than can be admitted.
func (s *schedule) saturate() {
	for range 3 {
		for _, n := range s.nodes {
			s.sendRequests(n, 40)
		}
		s.advance(time.Millisecond)
	}
}

// changeHead publishes a head with other homes or another limit. The nodes apply
// it all at once here, or one by one in later steps.
func (s *schedule) changeHead() {
	last := s.heads[len(s.heads)-1]
	if s.int(2, "kind") == 0 {
		last.limit = limits[s.int(len(limits), "limit")]
	} else {
		choice := make([]int, s.centres)
		for i := range choice {
			choice[i] = s.int(9, "home")
		}
		homes := s.pickHomes(choice)
		for i, h := range homes {
			old := slices.IndexFunc(last.homes, func(o member.Member) bool { return sameDataCentre(o, h) })
			if old >= 0 && s.int(2, "same") == 0 {
				homes[i] = last.homes[old]
			}
		}
		if s.centres > 1 && s.int(3, "without") == 0 {
			homes = homes[1:]
		}
		last.homes = homes
	}
	if s.int(2, "hoard") == 0 {
		s.borrowAndCancel(s.nodes...)
	}
	s.publish(last.homes, last.limit, s.pause())
	if s.int(3, "learn") > 0 {
		for _, n := range s.nodes {
			s.applyHead(n, true)
		}
		s.advance(s.heads[len(s.heads)-1].inForce - s.now)
		for _, n := range s.nodes {
			s.setInForce(n)
		}
	}
	if s.int(2, "flush") == 0 {
		s.saturate()
		s.advance(s.pause())
		s.saturate()
	}
}

func TestBorrower_Take_bound(t *testing.T) {
	most := 0
	rapid.Check(t, func(t *rapid.T) {
		for range 3 {
			s := &schedule{T: t, cuts: map[[2]member.Member]bool{}}
			s.run()
			if over, at := s.maxExcess(); over > 1e-6 {
				t.Fatalf("got %.3f requests above the bound at %v, want none; heads:\n%v", over, at, s.heads)
			}
			most = max(most, len(s.admitted))
		}
	})
	if most < 50 {
		t.Fatalf("got at most %d requests admitted in a schedule, want the schedules to do something", most)
	}
}

func (s *schedule) run() {
	s.centres = []int{1, 3}[s.int(2, "data centres")]
	s.fleet = newFleet(9, s.centres, limits[s.int(len(limits), "limit")])
	faults := s.int(3, "faults") * 8 // Of 16 messages.
	s.delay = func(from, to member.Member) (time.Duration, bool) {
		if s.int(16, "fault") >= faults {
			return 0, !s.cuts[[2]member.Member{from, to}]
		}
		d := s.int(len(delays)+1, "delay")
		return delays[d%len(delays)], d < len(delays) && !s.cuts[[2]member.Member{from, to}]
	}
	for _, n := range s.nodes {
		n.rate = []float64{1, 0.98, 1.02}[s.int(3, "clock")]
		n.offset = time.Duration(s.int(16, "offset")) * time.Second
		s.applyHead(n, true)
		s.setInForce(n)
	}
	s.advance(s.pause())
	for range rapid.IntRange(10, 50).Draw(s.T, "acts") {
		s.step()
		if k := len(s.messages); k > 0 {
			s.posted = append(s.posted, s.messages[k-1])
		}
		s.advance(s.pause())
	}
}
