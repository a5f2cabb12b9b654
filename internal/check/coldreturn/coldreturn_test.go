// Package coldreturn_test plays entries and backend servers, half of which return cold, without a network.
package coldreturn_test

import (
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"filbertturn.example/filbertturn/internal/backend/scheduler"
	"filbertturn.example/filbertturn/internal/request/order"
	"filbertturn.example/filbertturn/internal/route/ranking"
)

const (
	servers, cold, entries = 8, 4, 6
	coldRate               = 14
	length                 = 10 * time.Second
	step                   = 2 * time.Millisecond
	gossipInterval         = 500 * time.Millisecond
	slotTime               = 450 * time.Millisecond
)

// play is a fleet in which an offer takes no time.
type play struct {
	now        time.Time
	random     *rand.Rand
	schedulers [servers]scheduler.Scheduler
	entries    [entries]ranking.Ranking
	ends       map[uint64]time.Time // Ends of the running requests.
	at         map[uint64]int       // Their backend servers.
	waiting    map[uint64]bool
	idempotent map[uint64]bool
	lastID     uint64

	offers, requests, refused int
	coldStarts                map[bool]int // Starts at cold backend servers, by whether the request may be repeated.
}

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(1000+i))
}

// take carries out the effects of a scheduler, and reports whether it refused a request.
func (p *play) take(server int, effects []scheduler.Effect, id uint64) bool {
	refused := false
	for _, e := range effects {
		switch e := e.(type) {
		case scheduler.Start:
			p.at[e.ID], p.ends[e.ID] = server, p.now.Add(time.Duration(float64(slotTime)*(0.5+p.random.Float64())))
			delete(p.waiting, e.ID)
			if server < cold {
				p.coldStarts[p.idempotent[e.ID]]++
			}
		case scheduler.Wait:
			p.waiting[e.ID] = true
		case scheduler.Refuse:
			if e.ID == id {
				refused = true
			} else if p.waiting[e.ID] {
				delete(p.waiting, e.ID)
				p.refused++
			}
		}
	}
	return refused
}

// send offers a request by the stages of the dispatcher, without data centres.
func (p *play) send(entry int, idempotent bool) {
	p.lastID++
	id := p.lastID
	p.requests++
	p.idempotent[id] = idempotent
	r := &p.entries[entry]
	for _, stage := range []struct {
		level order.Level
		most  int
	}{{order.Trusted, 8}, {order.Queued, 4}, {order.Any, 2}} {
		var asked []netip.AddrPort
		for range stage.most {
			to, ok := r.Pick(p.now, ranking.PickOptions{Service: "s", Level: stage.level, AllowTrial: idempotent, Exclude: asked, Random: p.random.Float64()})
			if !ok {
				break
			}
			asked = append(asked, to)
			server := int(to.Port()) - 1000
			p.offers++
			r.RecordSent(p.now, to)
			refused := p.take(server, p.schedulers[server].Acquire(p.now, scheduler.Request{
				ID: id, Route: "r", Idempotent: idempotent, Level: stage.level, Objective: 2 * time.Second,
				Due: p.now.Add(2 * time.Second), QueueDeadline: p.now.Add(2 * time.Second), Deadline: p.now.Add(6 * time.Second),
			}), id)
			r.RecordEnd(to)
			r.UpdateLoad(p.now, to, p.schedulers[server].Load(p.now))
			if !refused {
				return
			}
		}
	}
	p.refused++
}

// advance ends the requests that are due.
func (p *play) advance() {
	for id := uint64(1); id <= p.lastID; id++ {
		if end, ok := p.ends[id]; ok && !p.now.Before(end) {
			server := p.at[id]
			delete(p.ends, id)
			p.take(server, p.schedulers[server].Release(p.now, id, scheduler.Answered), 0)
		}
	}
	for i := range p.schedulers {
		p.take(i, p.schedulers[i].Tick(p.now), 0)
	}
}

// run plays a load, half of which may be repeated.
func run(perSecond float64) *play {
	start := time.Unix(1000, 0)
	p := &play{
		now: start, random: rand.New(rand.NewPCG(1, 2)), ends: map[uint64]time.Time{}, at: map[uint64]int{}, waiting: map[uint64]bool{},
		idempotent: map[uint64]bool{}, coldStarts: map[bool]int{},
	}
	for i := range p.schedulers {
		p.schedulers[i].Open(p.now, 8)
		if i < cold {
			p.schedulers[i].SetCold(p.now, scheduler.ColdStart{End: start.Add(time.Hour), PerSecond: coldRate, RateKnown: true})
		}
		for j := range p.entries {
			p.entries[j].AddNode(ranking.Node{Address: address(i), Service: "s"})
		}
	}
	gossip := start
	for p.now.Before(start.Add(length)) {
		p.advance()
		if !p.now.Before(gossip) {
			gossip = p.now.Add(gossipInterval)
			for i := range p.schedulers {
				for j := range p.entries {
					p.entries[j].MergeLoad(p.now, address(i), p.schedulers[i].Load(p.now))
				}
			}
		}
		if p.random.Float64() < perSecond*step.Seconds() {
			p.send(p.random.IntN(entries), p.random.IntN(2) == 0)
		}
		p.now = p.now.Add(step)
	}
	return p
}

// TestColdReturn guards against once-only requests at cold backend servers while others have free slots, against requests
// that are refused although there is room, and against offers that are refused in great numbers for it.
func TestColdReturn(t *testing.T) {
	tests := []struct {
		desc      string
		perSecond float64
		coldOnce  float64 // Greatest part of the once-only requests that start at cold backend servers.
		offers    float64 // Greatest number of offers for a request.
	}{
		{"others have free slots", 45, 0.1, 2.5},
		{"load beyond the slots of the others", 90, 0.35, 4},
	}
	for _, tt := range tests {
		p := run(tt.perSecond)
		once := float64(p.coldStarts[false]) / float64(p.requests) * 2
		offers := float64(p.offers) / float64(p.requests)
		t.Logf("%s: %d requests, %.2f of once-only and %.2f of other requests start cold, %.2f offers for a request, %d refused",
			tt.desc, p.requests, once, float64(p.coldStarts[true])/float64(p.requests)*2, offers, p.refused)
		if once > tt.coldOnce || offers > tt.offers || p.refused > p.requests/50 {
			t.Errorf("%s: got %.2f of the once-only requests at cold backend servers, %.2f offers for a request and %d of %d refused, want at most %.2f, %.1f and 2 in 100",
				tt.desc, once, offers, p.refused, p.requests, tt.coldOnce, tt.offers)
		}
	}
}
