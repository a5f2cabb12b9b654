// Package discovery finds the other nodes of the fleet. A node writes a record
// of itself to the depot, reads those of the others, and introduces itself to
// them; from then on nodes tell one another what changes.
package discovery

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"filbertturn.example/filbertturn/internal/backend/booking"
	"filbertturn.example/filbertturn/internal/clock/timer"
	"filbertturn.example/filbertturn/internal/node/depot"
	"filbertturn.example/filbertturn/internal/peer/courier"
	"filbertturn.example/filbertturn/internal/peer/link"
	"filbertturn.example/filbertturn/internal/peer/peerpb"
	"filbertturn.example/filbertturn/internal/peer/question"
)

// Prefix is that of the records in the depot.
const Prefix = "filbertturn/nodes/"

const (
	recordTTL = 6 * time.Second // Three renewals.
	renewal   = 2 * time.Second // Time between two renewals of the record's lease.
	callTime  = 1500 * time.Millisecond
	review    = 10 * time.Second // Time between two reads of all records.
	askTime   = time.Second      // Time in which a node must answer an introduction.
	askTries  = 5                // Introductions of a change to one node.
	askPause  = 700 * time.Millisecond

	// returnPause is the time in which a node that started again is expected to
	// introduce itself, and the first pause between introductions to one that did
	// not. The pause doubles up to the last one.
	returnPause     = 600 * time.Millisecond
	lastReturnPause = 20 * time.Second

	// doubtPause is the least time between two reads for the sake of nodes that
	// do not answer. A record that lapsed while the store was away is back within
	// two seconds of its return, so that one which two such reads lack is gone.
	doubtPause = 3 * time.Second
)

// Record is what a node writes about itself.
type Record struct {
	Name        string
	Address     netip.AddrPort // Address for other nodes.
	DataCentre  string
	Service     string // Service of the backend server beside it.
	Incarnation uint64
}

// Presence is a node with what it said last of its backend server.
type Presence struct {
	Record
	Sequence uint64
	Load     booking.Load
	Leaving  bool
}

// Discovery keeps the list of nodes.
type Discovery struct {
	Self  Record
	Depot depot.Depot
	Mesh  *link.Mesh
	Load  func(now time.Time) booking.Load
	Log   zerolog.Logger

	// Heard is called with what a node said of itself, and Lost when it is gone.
	Heard func(now time.Time, p Presence)
	Lost  func(a netip.AddrPort)

	sequence atomic.Uint64
	leaving  atomic.Bool
	joined   atomic.Bool

	mu      sync.Mutex
	known   map[netip.AddrPort]*peer
	lease   int64
	doubted time.Time // Time of the last read for the sake of a node that does not answer.
}

// peer is a node that is known.
type peer struct {
	presence Presence
	heard    time.Time
	missing  time.Time // Time of the first of the reads of all records, up to the last, that lacked it.
}

// Joined reports whether the records of the other nodes were read.
func (d *Discovery) Joined() bool {
	return d.joined.Load()
}

// Nodes returns the number of nodes with this one.
func (d *Discovery) Nodes() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.known) + 1
}

// Addresses returns the addresses of all nodes with this one, sorted.
func (d *Discovery) Addresses() []netip.AddrPort {
	d.mu.Lock()
	list := append(slices.Collect(maps.Keys(d.known)), d.Self.Address)
	d.mu.Unlock()
	slices.SortFunc(list, netip.AddrPort.Compare)
	return list
}

// Neighbours returns the addresses of the nodes of the data centre with this
// one, sorted.
func (d *Discovery) Neighbours() []netip.AddrPort {
	return d.DataCentres()[d.Self.DataCentre]
}

// DataCentres returns the addresses of the nodes with this one, sorted, by data
// centre. Nodes that leave are not among them.
func (d *Discovery) DataCentres() map[string][]netip.AddrPort {
	lists := map[string][]netip.AddrPort{d.Self.DataCentre: {d.Self.Address}}
	d.mu.Lock()
	for a, p := range d.known {
		if !p.presence.Leaving {
			lists[p.presence.DataCentre] = append(lists[p.presence.DataCentre], a)
		}
	}
	d.mu.Unlock()
	for _, list := range lists {
		slices.SortFunc(list, netip.AddrPort.Compare)
	}
	return lists
}

// Start joins the fleet and keeps the record until ctx ends.
func (d *Discovery) Start(ctx context.Context, timers *timer.Service) {
	go d.join(ctx)
	timers.Subscribe(renewal, func(timer.Tick) { d.renew(ctx) })
	timers.Subscribe(review+rand.N(renewal), func(t timer.Tick) { d.review(ctx, t.Now) })
}

func (d *Discovery) join(ctx context.Context) {
	for ctx.Err() == nil {
		err := d.register(ctx)
		if err == nil {
			err = d.read(ctx, time.Now(), false)
		}
		if err == nil {
			d.joined.Store(true)
			d.Log.Info().Int("Nodes", d.Nodes()).Msg("joined the fleet")
			return
		}
		d.Log.Warn().Err(err).Msg("cannot join the fleet yet")
		if d.Nodes() > 1 && d.joined.CompareAndSwap(false, true) {
			d.Log.Warn().Int("Nodes", d.Nodes()).Msg("joined the fleet through other nodes; the store is away")
		}
		timer.Sleep(ctx, askPause/2+rand.N(askPause/2))
	}
}

// register writes the record under a new lease.
func (d *Discovery) register(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	lease, err := d.Depot.Grant(ctx, recordTTL)
	if err != nil {
		return err
	}
	value, err := json.Marshal(d.Self)
	if err != nil {
		return err
	}
	if err := d.Depot.Put(ctx, Prefix+d.Self.Name, value, lease.ID); err != nil {
		return err
	}
	d.mu.Lock()
	d.lease = lease.ID
	d.mu.Unlock()
	return nil
}

func (d *Discovery) renew(ctx context.Context) {
	d.mu.Lock()
	lease := d.lease
	d.mu.Unlock()
	if lease == 0 || d.leaving.Load() {
		return
	}
	call, cancel := context.WithTimeout(ctx, callTime)
	err := d.Depot.Keep(call, lease)
	cancel()
	if !errors.Is(err, depot.ErrNoLease) {
		return
	}
	d.Log.Warn().Msg("the lease of this node's record has ended; it is written again")
	if err := d.register(ctx); err != nil {
		d.Log.Warn().Err(err).Msg("cannot write this node's record")
	}
}

// review reads all records, for those whose introduction was lost.
func (d *Discovery) review(ctx context.Context, now time.Time) {
	if !d.Joined() || d.leaving.Load() {
		return
	}
	if err := d.read(ctx, now, true); err != nil {
		d.Log.Debug().Err(err).Msg("records of the nodes cannot be read")
		return
	}
	d.forget(now)
}

// Doubt reads all records because a node does not answer, so that one which is
// gone is soon forgotten.
func (d *Discovery) Doubt(ctx context.Context, now time.Time) {
	d.mu.Lock()
	due := now.Sub(d.doubted) >= doubtPause
	if due {
		d.doubted = now
	}
	d.mu.Unlock()
	if !due || !d.Joined() || d.leaving.Load() {
		return
	}
	if err := d.read(ctx, now, false); err != nil {
		d.Log.Debug().Err(err).Msg("records of the nodes cannot be read")
		return
	}
	d.forget(now)
}

// forget drops the nodes whose records have been missing for long enough.
func (d *Discovery) forget(now time.Time) {
	d.mu.Lock()
	var gone []netip.AddrPort
	for a, p := range d.known {
		if !p.missing.IsZero() && now.Sub(p.missing) >= doubtPause {
			gone = append(gone, a)
			delete(d.known, a)
		}
	}
	d.mu.Unlock()
	for _, a := range gone {
		d.Log.Info().Stringer("Address", a).Msg("node is gone")
		d.Lost(a)
	}
}

// read takes in all records and introduces this node to those that are new.
func (d *Discovery) read(ctx context.Context, now time.Time, stale bool) error {
	call, cancel := context.WithTimeout(ctx, callTime)
	page, err := d.Depot.List(call, Prefix, stale)
	cancel()
	if err != nil {
		return err
	}
	listed := make(map[netip.AddrPort]bool)
	for _, item := range page.Items {
		var r Record
		if err := json.Unmarshal(item.Value, &r); err != nil || !r.Address.IsValid() || r.Address == d.Self.Address {
			continue
		}
		listed[r.Address] = true
		if d.learn(r) {
			go d.introduce(ctx, r.Address)
		}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for a, p := range d.known {
		switch {
		case listed[a]:
			p.missing = time.Time{}
		case p.missing.IsZero():
			p.missing = now
		}
	}
	return nil
}

// learn adds a node that a record names, and reports whether it is new.
func (d *Discovery) learn(r Record) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.known == nil {
		d.known = make(map[netip.AddrPort]*peer)
	}
	if old := d.known[r.Address]; old != nil && old.presence.Incarnation >= r.Incarnation {
		return false
	}
	d.known[r.Address] = &peer{presence: Presence{Record: r}, heard: time.Now()}
	return true
}

// Announce tells all nodes what changed at this one.
func (d *Discovery) Announce(ctx context.Context) {
	d.sequence.Add(1)
	d.mu.Lock()
	list := slices.Collect(maps.Keys(d.known))
	d.mu.Unlock()
	for _, a := range list {
		go d.introduce(ctx, a)
	}
}

// Leave tells all nodes that this one takes no more requests, and removes its
// record.
func (d *Discovery) Leave(ctx context.Context) {
	d.leaving.Store(true)
	d.Announce(ctx)
	call, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	if err := d.Depot.Remove(call, Prefix+d.Self.Name); err != nil {
		d.Log.Warn().Err(err).Msg("cannot remove this node's record; its lease will end")
	}
}

// introduce tells one node of this one until it replies or there is newer to
// tell.
func (d *Discovery) introduce(ctx context.Context, to netip.AddrPort) {
	sequence := d.sequence.Load()
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
	p, err := decode(reply)
	if err != nil {
		d.Log.Warn().Err(err).Stringer("From", to).Msg("presence of a node cannot be read")
		return true
	}
	d.hear(time.Now(), p)
	return true
}

// SessionLost introduces this node to one that may have started again. It knows
// nobody if the store was away meanwhile.
func (d *Discovery) SessionLost(ctx context.Context, to netip.AddrPort) {
	lost, known := d.incarnation(to)
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

func (d *Discovery) incarnation(a netip.AddrPort) (uint64, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	p := d.known[a]
	if p == nil {
		return 0, false
	}
	return p.presence.Incarnation, true
}

// Answer takes in a node's introduction and returns this node's.
func (d *Discovery) Answer(now time.Time, payload []byte) ([]byte, error) {
	p, err := decode(payload)
	if err != nil {
		return nil, err
	}
	d.learn(p.Record)
	d.hear(now, p)
	return proto.Marshal(d.presence(now))
}

func (d *Discovery) hear(now time.Time, p Presence) {
	if p.Address == d.Self.Address {
		return
	}
	d.mu.Lock()
	known := d.known[p.Address]
	newer := known != nil && p.follows(known.presence)
	if newer {
		known.presence, known.heard = p, now
	}
	d.mu.Unlock()
	if newer {
		d.Heard(now, p)
	}
}

// follows tells whether p is what a node said after old. An incarnation that looks
// older follows too, unless it leaves: the clock of its VM may have been set back
// before it started, while the last word of one that ended may come late.
func (p Presence) follows(old Presence) bool {
	switch cmp.Compare(p.Incarnation, old.Incarnation) {
	case 0:
		return p.Sequence >= old.Sequence
	case 1:
		return true
	default:
		return !p.Leaving
	}
}

func (d *Discovery) presence(now time.Time) *peerpb.Presence {
	l := d.Load(now)
	l.Serving = l.Serving && !d.leaving.Load()
	return &peerpb.Presence{
		Name: d.Self.Name, Address: d.Self.Address.String(), DataCentre: d.Self.DataCentre, Service: d.Self.Service,
		Incarnation: d.Self.Incarnation, Sequence: d.sequence.Load(), Leaving: d.leaving.Load(),
		Load: courier.ToLoad(l),
	}
}

func decode(payload []byte) (Presence, error) {
	var m peerpb.Presence
	if err := proto.Unmarshal(payload, &m); err != nil {
		return Presence{}, err
	}
	address, err := netip.ParseAddrPort(m.GetAddress())
	if err != nil {
		return Presence{}, err
	}
	return Presence{
		Record: Record{
			Name: m.GetName(), Address: address, DataCentre: m.GetDataCentre(), Service: m.GetService(), Incarnation: m.GetIncarnation(),
		},
		Sequence: m.GetSequence(),
		Leaving:  m.GetLeaving(),
		Load:     courier.FromLoad(m.GetLoad()),
	}, nil
}
