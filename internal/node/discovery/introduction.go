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
	"filbertturn.example/filbertturn/internal/peer/peerpb"
	"filbertturn.example/filbertturn/internal/peer/question"
	"filbertturn.example/filbertturn/internal/peer/transport"
)

const (
	introductionTimeout  = time.Second // Time within which a node must answer an introduction.
	introductionAttempts = 5           // Attempts to introduce a change to one node.
	introductionPause    = 700 * time.Millisecond

	// minSuspectPause is the time within which a restarted node is expected to introduce
	// itself, and the first pause between introductions to a node that did not. The pause
	// doubles after each introduction, up to maxSuspectPause.
	minSuspectPause = 600 * time.Millisecond
	maxSuspectPause = 20 * time.Second

	// introducersPerRestart is the number of nodes that introduce themselves to a
	// restarted node if all nodes lost their session to it.
	introducersPerRestart = 8
)

// suspect is a silent node, which may have failed, or have restarted without knowing any
// other node.
type suspect struct {
	next  time.Time     // Time of the next introduction.
	pause time.Duration // Pause after that introduction.
}

// Announce introduces this node's new state to its super-peers in the background.
func (d *Discovery) Announce(ctx context.Context) {
	sequence := d.sequence.Add(1)
	for _, a := range d.announceTargets() {
		go d.introduceWithRetries(ctx, a, sequence)
	}
}

// introduceWithRetries introduces this node to another one until that replies, the
// attempts are used up, or a newer change supersedes this one.
func (d *Discovery) introduceWithRetries(ctx context.Context, to netip.AddrPort, sequence uint64) {
	for range introductionAttempts {
		if d.sequence.Load() != sequence || ctx.Err() != nil {
			return
		}
		if d.introduce(ctx, to) {
			return
		}
		timer.Sleep(ctx, introductionPause+rand.N(introductionPause/2))
	}
	d.Log.Debug().Stringer("Address", to).Msg("node did not answer any introduction")
}

// introduce sends this node's state to another node and applies the state in its reply.
// It reports whether the node replied.
func (d *Discovery) introduce(ctx context.Context, to netip.AddrPort) bool {
	payload, err := proto.Marshal(d.presence(time.Now()))
	if err != nil {
		d.Log.Error().Err(err).Msg("cannot encode the presence of this node")
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, introductionTimeout)
	defer cancel()
	reply, err := d.Mesh.Ask(ctx, to, question.Presence, payload)
	if err != nil {
		return false
	}
	p, load, err := decodePresence(reply)
	if err != nil {
		d.LeftOut.Report(time.Now(), "introduction", to.String(), 0, err)
		return true
	}
	d.applyPresence(time.Now(), p, load)
	return true
}

// SessionLost introduces this node to one to which it lost the session, since that may
// have restarted. If the store was unavailable at the restart, the node knows no others.
// In a large fleet only a random subset of the nodes does so, introducersPerRestart on
// average.
func (d *Discovery) SessionLost(ctx context.Context, to netip.AddrPort) {
	lost, known := d.incarnation(to)
	if rand.Float64()*float64(d.NodeCount()) > introducersPerRestart {
		return
	}
	for pause := minSuspectPause; known && pause <= maxSuspectPause; pause *= 2 {
		timer.Sleep(ctx, pause)
		if now, still := d.incarnation(to); !still || now != lost || d.leaving.Load() || ctx.Err() != nil {
			return
		}
		if d.introduce(ctx, to) {
			return
		}
	}
}

// ReportSilent reports that a node of the data centre has stopped exchanging state. It may
// have failed, so the records are read again, or have restarted without knowing any other
// node, so this node introduces itself to it.
func (d *Discovery) ReportSilent(ctx context.Context, now time.Time, a netip.AddrPort) {
	d.mu.Lock()
	s := d.suspects[a]
	if s == nil {
		s = &suspect{pause: minSuspectPause}
		if d.suspects == nil {
			d.suspects = make(map[netip.AddrPort]*suspect)
		}
		d.suspects[a] = s
	}
	due := !now.Before(s.next)
	if due {
		s.next, s.pause = now.Add(s.pause), min(2*s.pause, maxSuspectPause)
	}
	d.mu.Unlock()
	if due {
		go d.introduce(ctx, a)
		go d.recheckRecords(ctx, now)
	}
}

// ReportAlive applies the state that a node of the data centre sent in its gossip message.
// Such a node is alive, even if its record expired because the store has rejected it for
// long.
func (d *Discovery) ReportAlive(p nodetable.Presence) {
	if p.Address == d.Self.Address {
		return
	}
	d.mu.Lock()
	delete(d.suspects, p.Address)
	old, known := d.tableWithSelf().Find(p.Address)
	added := d.table.ApplyDirect(p) && (!known || old.Incarnation != p.Incarnation)
	d.mu.Unlock()
	if added {
		d.OnNodeAdded(p.Record)
	}
}

// incarnation returns the known incarnation of a node, and whether the node is known.
func (d *Discovery) incarnation(a netip.AddrPort) (uint64, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	p, ok := d.table.Find(a)
	return p.Incarnation, ok
}

// Answer applies a node's introduction and returns the introduction of this node.
func (d *Discovery) Answer(now time.Time, payload []byte) ([]byte, error) {
	p, load, err := decodePresence(payload)
	if err != nil {
		d.LeftOut.Report(now, "introduction", "a node", 0, err)
		return nil, err
	}
	d.applyPresence(now, p, load)
	return proto.Marshal(d.presence(now))
}

// applyPresence applies the state that a node reported itself, unless a newer one is known.
func (d *Discovery) applyPresence(now time.Time, p nodetable.Presence, l scheduler.Load) {
	if p.Address == d.Self.Address {
		return
	}
	d.mu.Lock()
	changed := d.tableWithSelf().ApplyDirect(p)
	d.mu.Unlock()
	if changed {
		d.OnPresence(now, p, l)
	}
}

// presence returns this node's state and load, as sent in introductions.
func (d *Discovery) presence(now time.Time) *peerpb.Presence {
	p := d.self()
	return &peerpb.Presence{
		Name: p.Name, Address: p.Address.String(), DataCentre: p.DataCentre, Service: p.Service, Capacity: p.Capacity,
		Incarnation: p.Incarnation, Sequence: p.Sequence, Leaving: p.Leaving, Load: transport.LoadToProto(d.Load(now)),
	}
}

// decodePresence decodes the state and the load in an introduction.
func decodePresence(payload []byte) (nodetable.Presence, scheduler.Load, error) {
	var m peerpb.Presence
	if err := proto.Unmarshal(payload, &m); err != nil {
		return nodetable.Presence{}, scheduler.Load{}, err
	}
	address, err := netip.ParseAddrPort(m.GetAddress())
	if err != nil {
		return nodetable.Presence{}, scheduler.Load{}, err
	}
	p := nodetable.Presence{
		Record: nodetable.Record{
			Name: m.GetName(), Address: address, DataCentre: m.GetDataCentre(), Service: m.GetService(),
			Incarnation: m.GetIncarnation(), Capacity: m.GetCapacity(),
		},
		Sequence: m.GetSequence(),
		Leaving:  m.GetLeaving(),
	}
	if err := p.Validate(); err != nil {
		return nodetable.Presence{}, scheduler.Load{}, err
	}
	load, err := transport.LoadFromProto(m.GetLoad())
	return p, load, err
}
