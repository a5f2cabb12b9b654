package discovery

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	"filbertturn.example/filbertturn/internal/backend/scheduler"
	"filbertturn.example/filbertturn/internal/clock/timer"
	"filbertturn.example/filbertturn/internal/fleet/nodetable"
	"filbertturn.example/filbertturn/internal/peer/courier"
	"filbertturn.example/filbertturn/internal/peer/peerpb"
	"filbertturn.example/filbertturn/internal/peer/question"
)

const (
	askTime  = time.Second // Time in which a node must answer an introduction.
	askTries = 5           // Introductions of a change to one node.
	askPause = 700 * time.Millisecond

	// returnPause is the time in which a node that started again is expected to
	// introduce itself, and the first pause between introductions to one that did
	// not. The pause doubles up to the last one.
	returnPause     = 600 * time.Millisecond
	lastReturnPause = 20 * time.Second

	// returnWitnesses is the number of nodes that introduce themselves to one that
	// started again, if all lost their session to it.
	returnWitnesses = 8
)

// returning is a node that may have started again and know nobody.
type returning struct {
	next  time.Time // Time of the next introduction.
	pause time.Duration
}

// Announce tells the super-peers what changed at this node.
func (d *Discovery) Announce(ctx context.Context) {
	sequence := d.sequence.Add(1)
	for _, a := range d.superPeers() {
		go d.introduce(ctx, a, sequence)
	}
}

// introduce tells one node of this one until it replies or there is newer to
// tell.
func (d *Discovery) introduce(ctx context.Context, to netip.AddrPort, sequence uint64) {
	for range askTries {
		if d.sequence.Load() != sequence || ctx.Err() != nil {
			return
		}
		if d.tell(ctx, to) {
			return
		}
		timer.Sleep(ctx, askPause+rand.N(askPause/2))
	}
	d.Log.Debug().Stringer("Address", to).Msg("node does not answer introductions")
}

// tell introduces this node to another one and takes in what it replies. It
// reports whether that did.
func (d *Discovery) tell(ctx context.Context, to netip.AddrPort) bool {
	payload, err := proto.Marshal(d.presence(time.Now()))
	if err != nil {
		d.Log.Error().Err(err).Msg("cannot encode this node's presence")
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, askTime)
	defer cancel()
	reply, err := d.Mesh.Ask(ctx, to, question.Presence, payload)
	if err != nil {
		return false
	}
	p, load, err := decode(reply)
	if err != nil {
		d.Log.Warn().Err(err).Stringer("From", to).Msg("presence of a node cannot be read")
		return true
	}
	d.hear(time.Now(), p, load)
	return true
}

// SessionLost introduces this node to one that may have started again. It knows
// nobody if the store was away meanwhile. In a large fleet some nodes are enough.
func (d *Discovery) SessionLost(ctx context.Context, to netip.AddrPort) {
	lost, known := d.incarnation(to)
	if rand.Float64()*float64(d.Nodes()) > returnWitnesses {
		return
	}
	for pause := returnPause; known && pause <= lastReturnPause; pause *= 2 {
		timer.Sleep(ctx, pause)
		if now, still := d.incarnation(to); !still || now != lost || d.leaving.Load() || ctx.Err() != nil {
			return
		}
		if d.tell(ctx, to) {
			return
		}
	}
}

// Silent takes note of a node of the data centre that has not told the others
// anything for a while. It may be gone, or have started again and know nobody.
func (d *Discovery) Silent(ctx context.Context, now time.Time, a netip.AddrPort) {
	d.mu.Lock()
	r := d.returns[a]
	if r == nil {
		r = &returning{pause: returnPause}
		if d.returns == nil {
			d.returns = make(map[netip.AddrPort]*returning)
		}
		d.returns[a] = r
	}
	due := !now.Before(r.next)
	if due {
		r.next, r.pause = now.Add(r.pause), min(2*r.pause, lastReturnPause)
	}
	d.mu.Unlock()
	if due {
		go d.tell(ctx, a)
		go d.Doubt(ctx, now)
	}
}

// Present takes in what a node of the data centre tells of itself with its bulletin. One
// that does is not gone, although the store may have turned it away for long.
func (d *Discovery) Present(p nodetable.Presence) {
	if p.Address == d.Self.Address {
		return
	}
	d.mu.Lock()
	delete(d.returns, p.Address)
	old, known := d.all().Find(p.Address)
	news := d.table.ApplyDirect(p) && (!known || old.Incarnation != p.Incarnation)
	d.mu.Unlock()
	if news {
		d.Known(p.Record)
	}
}

func (d *Discovery) incarnation(a netip.AddrPort) (uint64, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	p, ok := d.table.Find(a)
	return p.Incarnation, ok
}

// Answer takes in a node's introduction and returns this node's.
func (d *Discovery) Answer(now time.Time, payload []byte) ([]byte, error) {
	p, load, err := decode(payload)
	if err != nil {
		return nil, err
	}
	d.hear(now, p, load)
	return proto.Marshal(d.presence(now))
}

func (d *Discovery) hear(now time.Time, p nodetable.Presence, l scheduler.Load) {
	if p.Address == d.Self.Address {
		return
	}
	d.mu.Lock()
	news := d.all().ApplyDirect(p)
	d.mu.Unlock()
	if news {
		d.Heard(now, p, l)
	}
}

func (d *Discovery) presence(now time.Time) *peerpb.Presence {
	l := d.Load(now)
	l.Serving = l.Serving && !d.leaving.Load()
	p := d.self()
	return &peerpb.Presence{
		Name: p.Name, Address: p.Address.String(), DataCentre: p.DataCentre, Service: p.Service, Capacity: p.Capacity,
		Incarnation: p.Incarnation, Sequence: p.Sequence, Leaving: p.Leaving, Load: courier.ToLoad(l),
	}
}

func decode(payload []byte) (nodetable.Presence, scheduler.Load, error) {
	var m peerpb.Presence
	if err := proto.Unmarshal(payload, &m); err != nil {
		return nodetable.Presence{}, scheduler.Load{}, err
	}
	address, err := netip.ParseAddrPort(m.GetAddress())
	if err != nil {
		return nodetable.Presence{}, scheduler.Load{}, err
	}
	return nodetable.Presence{
		Record: nodetable.Record{
			Name: m.GetName(), Address: address, DataCentre: m.GetDataCentre(), Service: m.GetService(),
			Incarnation: m.GetIncarnation(), Capacity: m.GetCapacity(),
		},
		Sequence: m.GetSequence(),
		Leaving:  m.GetLeaving(),
	}, courier.FromLoad(m.GetLoad()), nil
}
