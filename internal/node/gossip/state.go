package gossip

import (
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	"filbertturn.example/filbertturn/internal/fleet/nodetable"
	"filbertturn.example/filbertturn/internal/peer/peerpb"
	"filbertturn.example/filbertturn/internal/peer/transport"
	"filbertturn.example/filbertturn/internal/route/ranking"
)

// nodeState is the state of one node in a gossip message.
type nodeState struct {
	nodetable.Presence
	load *ranking.NodeLoad // Nil if no load younger than maxLoadAge is known.
}

// nodeStates returns the known states of the nodes of a data centre, or of all nodes if
// dataCentre is empty.
func (g *Gossiper) nodeStates(now time.Time, dataCentre string) []nodeState {
	known := g.Loads.Loads(now, dataCentre, maxLoadAge)
	loads := make(map[netip.AddrPort]*ranking.NodeLoad, len(known))
	for i := range known {
		loads[known[i].Address] = &known[i]
	}
	members := g.Nodes.Nodes(dataCentre)
	list := make([]nodeState, len(members))
	for i, p := range members {
		list[i] = nodeState{p, loads[p.Address]}
	}
	return list
}

// ownState returns the state of this node only.
func (g *Gossiper) ownState(now time.Time) []nodeState {
	for _, n := range g.nodeStates(now, g.DataCentre) {
		if n.Address == g.Self {
			return []nodeState{n}
		}
	}
	return nil
}

// encode returns a gossip message. Names of data centres and services are written once
// and referred to by index.
func (g *Gossiper) encode(now time.Time, list []nodeState, complete []string, blame *peerpb.Blame) ([]byte, error) {
	m := &peerpb.Loads{
		DataCentre: g.DataCentre, Freshness: transport.StampToProto(g.Stamp(now)), Complete: complete, Blame: blame,
		Nodes: make([]*peerpb.NodeLoad, 0, len(list)),
	}
	indexes := make(map[string]uint32)
	indexOf := func(name string) uint32 {
		i, ok := indexes[name]
		if !ok {
			i = uint32(len(m.Names))
			indexes[name] = i
			m.Names = append(m.Names, name)
		}
		return i
	}
	for _, n := range list {
		address, err := n.Address.MarshalBinary()
		if err != nil {
			return nil, err
		}
		w := &peerpb.NodeLoad{
			Address: address, DataCentre: indexOf(n.DataCentre), Service: indexOf(n.Service),
			Incarnation: n.Incarnation, Sequence: n.Sequence, Leaving: n.Leaving, Capacity: n.Capacity,
		}
		if n.load != nil {
			w.AgeMillis, w.Load = uint32(n.load.Age.Milliseconds()), transport.LoadToProto(n.load.Load)
		}
		m.Nodes = append(m.Nodes, w)
	}
	return proto.Marshal(m)
}

// decoded are the entries of a message.
type decoded struct {
	list     []nodeState
	complete bool    // No entry was left out.
	errs     []error // Of entries, and of loads, that were left out.
}

// decode decodes the entries of a message. An entry whose load cannot be used counts without it.
func decode(m *peerpb.Loads) decoded {
	d := decoded{list: make([]nodeState, 0, len(m.GetNodes())), complete: true}
	for _, w := range m.GetNodes() {
		p, err := decodePresence(w, m.GetNames())
		if err != nil {
			d.complete, d.errs = false, append(d.errs, err)
			continue
		}
		n := nodeState{Presence: p}
		if w.GetLoad() != nil {
			load, err := transport.LoadFromProto(w.GetLoad())
			if err != nil {
				d.errs = append(d.errs, err)
			} else {
				n.load = &ranking.NodeLoad{Address: p.Address, Age: time.Duration(w.GetAgeMillis()) * time.Millisecond, Load: load}
			}
		}
		d.list = append(d.list, n)
	}
	return d
}

func decodePresence(w *peerpb.NodeLoad, names []string) (nodetable.Presence, error) {
	a, err := nodetable.ParseAddress(w.GetAddress())
	if err != nil {
		return nodetable.Presence{}, err
	}
	if int64(max(w.GetDataCentre(), w.GetService())) >= int64(len(names)) {
		return nodetable.Presence{}, &nodetable.RecordError{Field: "DataCentre or Service", Problem: "is not among the names of the message"}
	}
	p := nodetable.Presence{
		Record: nodetable.Record{
			Address: a, DataCentre: names[w.GetDataCentre()], Service: names[w.GetService()],
			Incarnation: w.GetIncarnation(), Capacity: w.GetCapacity(),
		},
		Sequence: w.GetSequence(), Leaving: w.GetLeaving(),
	}
	return p, p.Validate()
}
