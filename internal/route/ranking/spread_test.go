package ranking_test

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"filbertturn.example/filbertturn/internal/backend/scheduler"
	"filbertturn.example/filbertturn/internal/route/ranking"
)

// TestRanking_Pick_lightLoad checks the spread under a light load, of less than one
// request a second for each backend server: at least 99 % of the time seven tenths of
// the backend servers have got a request within the last two seconds.
func TestRanking_Pick_lightLoad(t *testing.T) {
	const floor = 0.7
	low, all := 0, 0
	for seed := range uint64(8) {
		p := lightLoad{random: rand.New(rand.NewPCG(seed, 0)), begun: map[netip.AddrPort][]time.Time{}, told: now}
		for _, used := range p.play(t, time.Minute) {
			all++
			if float64(used) < floor*servers {
				low++
			}
		}
	}
	t.Logf("below the floor %d of %d times", low, all)
	if low*100 > all {
		t.Errorf("got less than %g of the backend servers in use %d of %d times, want one in a hundred at most", floor, low, all)
	}
}

const servers = 16

// lightLoad simulates requests to identical backend servers from entries that get all
// loads every 0.4 s.
type lightLoad struct {
	random   *rand.Rand
	rankings [8]ranking.Ranking
	begun    map[netip.AddrPort][]time.Time // Start times of the requests of each backend server.
	told     time.Time                      // Time of the next report of the loads.
}

func server(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 1)
}

// play returns, for each request after the first two seconds, how many backend servers
// have got a request within the last two seconds.
func (p *lightLoad) play(t *testing.T, length time.Duration) []int {
	const rate, window = 13.5, 2 * time.Second // Rate in requests a second.
	for e := range p.rankings {
		for i := range servers {
			p.rankings[e].AddNode(ranking.Node{Address: server(i), DataCentre: "a", Service: "s"})
		}
	}
	var counts []int
	for at := now; at.Before(now.Add(length)); at = at.Add(time.Duration(p.random.ExpFloat64() / rate * float64(time.Second))) {
		p.tell(at)
		r := &p.rankings[p.random.IntN(len(p.rankings))]
		to, ok := r.Pick(at, ranking.PickOptions{Service: "s", DataCentre: "a", Random: p.random.Float64()})
		if !ok {
			t.Fatal("got no node")
		}
		r.RecordSent(at, to)
		r.RecordEnd(to)
		p.begun[to] = append(p.begun[to], at)
		if at.Sub(now) >= window {
			counts = append(counts, p.used(at.Add(-window)))
		}
	}
	return counts
}

// tell reports the loads that are due to all entries.
func (p *lightLoad) tell(at time.Time) {
	const runs = 500 * time.Millisecond
	for ; !p.told.After(at); p.told = p.told.Add(400 * time.Millisecond) {
		for i := range servers {
			l := scheduler.Load{Slots: 10, Serving: true, MeanSlotTime: runs, Idle: time.Minute}
			for _, b := range p.begun[server(i)] {
				if l.Idle = p.told.Sub(b); l.Idle < runs {
					l.Running++
				}
			}
			for e := range p.rankings {
				p.rankings[e].MergeLoad(p.told, server(i), l)
			}
		}
	}
}

func (p *lightLoad) used(since time.Time) int {
	n := 0
	for _, list := range p.begun {
		if list[len(list)-1].After(since) {
			n++
		}
	}
	return n
}
