package bulletin

import (
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	"filbertturn.example/filbertturn/internal/fleet/nodetable"
	"filbertturn.example/filbertturn/internal/peer/courier"
	"filbertturn.example/filbertturn/internal/peer/peerpb"
	"filbertturn.example/filbertturn/internal/route/ranking"
)

// notice is one node in a bulletin.
type notice struct {
	nodetable.Presence
	load *ranking.NodeLoad // Nil if no load is known that is recent enough.
}

// notices returns what this node knows of the nodes of a data centre, or of all if
// it is empty.
func (b *Bulletin) notices(now time.Time, dataCentre string) []notice {
	known := b.Loads.Loads(now, dataCentre, ageLimit)
	loads := make(map[netip.AddrPort]*ranking.NodeLoad, len(known))
	for i := range known {
		loads[known[i].Address] = &known[i]
	}
	members := b.Members.Members(dataCentre)
	list := make([]notice, len(members))
	for i, p := range members {
		list[i] = notice{p, loads[p.Address]}
	}
	return list
}

// own returns this node's notice.
func (b *Bulletin) own(now time.Time) []notice {
	for _, n := range b.notices(now, b.DataCentre) {
		if n.Address == b.Self {
			return []notice{n}
		}
	}
	return nil
}

func (b *Bulletin) encode(now time.Time, list []notice, complete []string) ([]byte, error) {
	m := &peerpb.Loads{
		DataCentre: b.DataCentre, Freshness: courier.ToFreshness(b.Stamp(now)), Complete: complete,
		Nodes: make([]*peerpb.NodeLoad, 0, len(list)),
	}
	places := make(map[string]uint32)
	place := func(name string) uint32 {
		i, ok := places[name]
		if !ok {
			i = uint32(len(m.Names))
			places[name] = i
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
			Address: address, DataCentre: place(n.DataCentre), Service: place(n.Service),
			Incarnation: n.Incarnation, Sequence: n.Sequence, Leaving: n.Leaving, Capacity: n.Capacity,
		}
		if n.load != nil {
			w.AgeMillis, w.Load = uint32(n.load.Age.Milliseconds()), courier.ToLoad(n.load.Load)
		}
		m.Nodes = append(m.Nodes, w)
	}
	return proto.Marshal(m)
}

// decode leaves out what names no node.
func decode(m *peerpb.Loads) []notice {
	names := m.GetNames()
	list := make([]notice, 0, len(m.GetNodes()))
	for _, w := range m.GetNodes() {
		var a netip.AddrPort
		if a.UnmarshalBinary(w.GetAddress()) != nil || !a.IsValid() ||
			int(w.GetDataCentre()) >= len(names) || int(w.GetService()) >= len(names) {
			continue
		}
		n := notice{Presence: nodetable.Presence{
			Record: nodetable.Record{
				Address: a, DataCentre: names[w.GetDataCentre()], Service: names[w.GetService()],
				Incarnation: w.GetIncarnation(), Capacity: w.GetCapacity(),
			},
			Sequence: w.GetSequence(), Leaving: w.GetLeaving(),
		}}
		if l := w.GetLoad(); l != nil {
			n.load = &ranking.NodeLoad{Address: a, Age: time.Duration(w.GetAgeMillis()) * time.Millisecond, Load: courier.FromLoad(l)}
		}
		list = append(list, n)
	}
	return list
}
