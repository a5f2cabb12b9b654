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

// excess returns the number of tokens by which some window of the admitted
// requests exceeds its bound, and where the window ends. A limit counts from
// the publishing of its head until the last loan under it has ended.
func (f *fleet) excess() (float64, time.Duration) {
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
	// Points are the requests and the times at which the bound changes.
	points := slices.Clone(f.admitted)
	for _, h := range f.heads {
		points = append(points, h.published, h.inForce+600*time.Millisecond+1)
	}
	slices.Sort(points)
	worst, where := 0.0, time.Duration(0)
	for _, cap := range f.heads {
		// Windows in which no burst above the cap counts: used is the largest
		// excess over the rate of a window that ends here.
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

// schedule draws the faults of one run.
type schedule struct {
	*rapid.T
	*fleet
	cuts map[[2]member.Member]bool
	sent []message
}

var (
	delays = []time.Duration{0, 0, 0, time.Millisecond, 30 * time.Millisecond, 45 * time.Millisecond, 400 * time.Millisecond, 2 * time.Second}
	steps  = []time.Duration{
		0, time.Millisecond, 10 * time.Millisecond, 60 * time.Millisecond, 250 * time.Millisecond, 440 * time.Millisecond,
		490 * time.Millisecond, 530 * time.Millisecond, 700 * time.Millisecond, 3 * time.Second,
	}
	limits = []set.Limit{{Rate: 5, Burst: 2}, {Rate: 2, Burst: 9}, {Rate: 30, Burst: 9}, {Rate: 100, Burst: 30}, {Rate: 400, Burst: 40}}
)

func (s *schedule) int(n int, label string) int { return rapid.IntRange(0, n-1).Draw(s.T, label) }

func (s *schedule) node() *node { return s.nodes[s.int(len(s.nodes), "node")] }

func (s *schedule) pause() time.Duration { return steps[s.int(len(steps), "time")] }

// act does one thing that may happen.
func (s *schedule) act() {
	switch n := s.node(); s.int(16, "act") {
	case 0, 1, 2, 3: // A burst of requests, of which some may be cancelled.
		if s.now < n.frozen {
			return
		}
		if k := s.int(3, "backlog"); k > 0 {
			n.account(s.clock(n), customer).backlog = k * 6
		}
		for range 1 + s.int(20, "requests") {
			s.take(n)
		}
		if s.int(2, "cancel") == 0 {
			n.waiting = 0
		}
	case 4: // Everyone sends.
		for _, n := range s.nodes {
			for range 12 {
				if s.now >= n.frozen {
					s.take(n)
				}
			}
		}
	case 5, 6:
		if s.now >= n.frozen {
			s.idle(n)
		}
	case 7:
		if s.now >= n.frozen {
			n.home.Trim(s.clock(n))
			n.Drop()
		}
	case 8:
		n.frozen = max(n.frozen, s.now+s.pause())
	case 9: // A restart.
		fresh := &node{rate: n.rate, offset: n.offset, head: -1, told: -1}
		fresh.Self = n.Self
		fresh.Self.Incarnation++
		*n = *fresh
	case 10:
		a, b := n.Self, s.node().Self
		s.cuts[[2]member.Member{a, b}] = !s.cuts[[2]member.Member{a, b}]
	case 11: // A new head, with other homes or another limit.
		l, homes := s.heads[len(s.heads)-1].limit, s.heads[len(s.heads)-1].homes
		if s.int(2, "kind") == 0 {
			l = limits[s.int(len(limits), "limit")]
		} else {
			homes = s.pick([]int{s.int(3, "home") - s.int(8, "without")/7*9, s.int(3, "home"), s.int(3, "home")})
		}
		s.publish(homes, l, s.pause())
	case 12, 13:
		s.learn(n, s.int(8, "rosters") > 0)
	case 14:
		for _, n := range s.nodes {
			s.learn(n, true)
			s.tell(n)
		}
	case 15: // A repeated message, or hours without anything.
		if s.int(20, "hours") == 0 {
			s.advance(3 * time.Hour)
		} else if len(s.sent) > 0 {
			m := s.sent[s.int(len(s.sent), "message")]
			m.due = s.now + s.pause()
			s.post(m)
		}
	}
}

func TestBorrower_Take_bound(t *testing.T) {
	most := 0
	rapid.Check(t, func(t *rapid.T) {
		s := &schedule{T: t, cuts: map[[2]member.Member]bool{}}
		s.fleet = newFleet(9, 3, limits[s.int(len(limits), "limit")])
		s.delay = func(from, to member.Member) (time.Duration, bool) {
			d := s.int(len(delays)+1, "delay")
			return delays[d%len(delays)], d < len(delays) && !s.cuts[[2]member.Member{from, to}]
		}
		for _, n := range s.nodes {
			n.rate = []float64{1, 0.98, 1.02}[s.int(3, "clock")]
			n.offset = time.Duration(s.int(100, "offset")) * time.Second
			s.learn(n, true)
		}
		s.advance(s.pause())
		for range rapid.IntRange(20, 120).Draw(t, "acts") {
			s.act()
			if k := len(s.messages); k > 0 {
				s.sent = append(s.sent, s.messages[k-1])
			}
			s.advance(s.pause())
			if over, at := s.excess(); over > 1e-6 {
				t.Fatalf("got %.3f requests above the bound at %v, want none; heads %+v", over, at, s.heads)
			}
		}
		most = max(most, len(s.admitted))
	})
	if most < 50 {
		t.Fatalf("got at most %d requests admitted in a schedule, want the schedules to do something", most)
	}
}
