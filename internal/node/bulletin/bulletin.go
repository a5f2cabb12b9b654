// Package bulletin spreads what nodes say of the loads of their backend servers, so
// that an entry knows which of them have room without asking each. The nodes of a
// data centre exchange loads with its scout, and scouts with one another, so that
// messages grow with the number of nodes and not with its square.
package bulletin

import (
	"context"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"filbertturn.example/filbertturn/internal/clock/timer"
	"filbertturn.example/filbertturn/internal/config/freshness"
	"filbertturn.example/filbertturn/internal/fleet/scout"
	"filbertturn.example/filbertturn/internal/peer/courier"
	"filbertturn.example/filbertturn/internal/peer/link"
	"filbertturn.example/filbertturn/internal/peer/peerpb"
	"filbertturn.example/filbertturn/internal/peer/question"
	"filbertturn.example/filbertturn/internal/route/ranking"
)

const (
	// Interval is the least time between two exchanges of a node with its scout.
	Interval = 400 * time.Millisecond

	// intervalPerNode is the least such time for each node of the fleet: what a
	// scout sends grows with the square of the nodes of its data centre.
	intervalPerNode = 4 * time.Millisecond

	// farIntervals is the number of intervals between two exchanges of scouts,
	// whose bytes cross between data centres.
	farIntervals = 2

	// ageLimit is the age up to which loads are passed on.
	ageLimit = 2 * time.Second

	// answerTime is the time in which another node must answer.
	answerTime = 150 * time.Millisecond
)

// Loads is what a node knows of loads.
type Loads interface {
	// Loads returns the loads of a data centre, or of all if it is empty, that are
	// not older than a limit.
	Loads(now time.Time, dataCentre string, limit time.Duration) []ranking.Known
	// Learn takes in loads with their ages at a moment.
	Learn(at time.Time, list []ranking.Known)
}

// Bulletin exchanges loads with other nodes.
type Bulletin struct {
	Self        netip.AddrPort
	DataCentre  string
	Mesh        *link.Mesh
	DataCentres func() map[string][]netip.AddrPort // Nodes with this one, sorted, by data centre.
	Loads       Loads
	Stamp       func(now time.Time) freshness.Stamp
	Heard       func(from netip.AddrPort, asked time.Time, s freshness.Stamp)
	Log         zerolog.Logger

	scout scout.Scout

	mu    sync.Mutex
	next  time.Time // Time of the next exchange.
	count int       // Exchanges so far.
}

// Start exchanges loads until ctx ends.
func (b *Bulletin) Start(ctx context.Context, timers *timer.Service) {
	timers.Subscribe(Interval, func(t timer.Tick) { b.round(ctx, t.Now) })
}

// round makes the exchanges that are due.
func (b *Bulletin) round(ctx context.Context, now time.Time) {
	nodes := b.DataCentres()
	if !b.due(now, nodes) {
		return
	}
	var wg sync.WaitGroup
	defer wg.Wait()
	head := b.scout.Choose(now, nodes[b.DataCentre], b.Self, b.Self)
	if head != b.Self {
		wg.Go(func() { b.exchange(ctx, head, b.own(now)) })
		return
	}
	if b.count%farIntervals != 0 {
		return
	}
	for _, dc := range slices.Sorted(maps.Keys(nodes)) {
		if dc == b.DataCentre {
			continue
		}
		if to := b.scout.Choose(now, nodes[dc], b.Self, b.Self); to != b.Self {
			wg.Go(func() { b.exchange(ctx, to, b.Loads.Loads(now, b.DataCentre, ageLimit)) })
		}
	}
}

func (b *Bulletin) due(now time.Time, nodes map[string][]netip.AddrPort) bool {
	total := 0
	for _, list := range nodes {
		total += len(list)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if now.Before(b.next) {
		return false
	}
	// Ticks are a little early or late.
	b.next = now.Add(max(Interval, time.Duration(total)*intervalPerNode) - Interval/2)
	b.count++
	return true
}

// own returns the load of the backend server beside this node.
func (b *Bulletin) own(now time.Time) []ranking.Known {
	return slices.DeleteFunc(b.Loads.Loads(now, b.DataCentre, ageLimit), func(k ranking.Known) bool { return k.Address != b.Self })
}

// exchange tells a node some loads and takes in those that it tells.
func (b *Bulletin) exchange(ctx context.Context, to netip.AddrPort, list []ranking.Known) {
	ctx, cancel := context.WithTimeout(ctx, answerTime)
	defer cancel()
	asked := time.Now()
	payload, err := b.encode(asked, list)
	if err != nil {
		b.Log.Error().Err(err).Msg("loads cannot be encoded")
		return
	}
	reply, err := b.Mesh.Ask(ctx, to, question.Loads, payload)
	if err != nil {
		b.scout.Silent(time.Now(), to)
		b.Log.Debug().Err(err).Stringer("To", to).Msg("node does not exchange loads")
		return
	}
	if err := b.take(to, asked, reply); err != nil {
		b.Log.Warn().Err(err).Stringer("From", to).Msg("loads of a node cannot be read")
	}
}

// Answer takes in the loads that another node tells. It returns all that this one
// knows to a node of its data centre, and those of its data centre to others.
func (b *Bulletin) Answer(now time.Time, payload []byte) ([]byte, error) {
	var m peerpb.Loads
	if err := proto.Unmarshal(payload, &m); err != nil {
		return nil, err
	}
	b.Loads.Learn(now, decode(&m))
	wanted := b.DataCentre
	if m.GetDataCentre() == b.DataCentre {
		wanted = ""
	}
	return b.encode(now, b.Loads.Loads(now, wanted, ageLimit))
}

// take takes in a reply. Ages count from when the question was sent, since the
// reply may have been under way for long.
func (b *Bulletin) take(from netip.AddrPort, asked time.Time, reply []byte) error {
	var m peerpb.Loads
	if err := proto.Unmarshal(reply, &m); err != nil {
		return err
	}
	b.Loads.Learn(asked, decode(&m))
	if f := m.GetFreshness(); f != nil {
		b.Heard(from, asked, courier.FromFreshness(f))
	}
	return nil
}

func (b *Bulletin) encode(now time.Time, list []ranking.Known) ([]byte, error) {
	m := &peerpb.Loads{DataCentre: b.DataCentre, Freshness: courier.ToFreshness(b.Stamp(now))}
	for _, k := range list {
		address, err := k.Address.MarshalBinary()
		if err != nil {
			return nil, err
		}
		m.Nodes = append(m.Nodes, &peerpb.NodeLoad{
			Address: address, AgeMillis: uint32(k.Age.Milliseconds()), Load: courier.ToLoad(k.Load),
		})
	}
	return proto.Marshal(m)
}

// decode leaves out what names no node.
func decode(m *peerpb.Loads) []ranking.Known {
	list := make([]ranking.Known, 0, len(m.GetNodes()))
	for _, n := range m.GetNodes() {
		var a netip.AddrPort
		if a.UnmarshalBinary(n.GetAddress()) != nil || !a.IsValid() {
			continue
		}
		list = append(list, ranking.Known{
			Address: a, Age: time.Duration(n.GetAgeMillis()) * time.Millisecond, Load: courier.FromLoad(n.GetLoad()),
		})
	}
	return list
}
