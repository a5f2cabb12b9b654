package nodetable_test

import (
	"maps"
	"net/netip"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"filbertturn.example/filbertturn/internal/fleet/nodetable"
)

func address(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(n >> 8), byte(n)}), 7000)
}

func record(n int, dataCentre string, capacity uint32) nodetable.Record {
	return nodetable.Record{Address: address(n), DataCentre: dataCentre, Service: "s", Incarnation: 1, Capacity: capacity}
}

// TestTable_ActiveByDataCentre checks that nodes of higher capacity come first, and that
// leaving nodes are not listed while they stay homes.
func TestTable_ActiveByDataCentre(t *testing.T) {
	var c nodetable.Table
	c.AddRecord(record(1, "a", 16))
	c.AddRecord(record(2, "a", 80))
	c.AddRecord(record(3, "a", 80))
	c.AddRecord(record(4, "b", 0))
	c.ApplyDirect(nodetable.Presence{Record: record(2, "a", 80), Sequence: 1, Leaving: true})
	got := c.ActiveByDataCentre()
	want := map[string][]netip.AddrPort{"a": {address(3), address(1)}, "b": {address(4)}}
	if !maps.EqualFunc(got, want, slices.Equal) {
		t.Errorf("got %v, want %v", got, want)
	}
	c.ApplyIndirect(time.Unix(1000, 0), nodetable.Presence{Record: record(3, "a", 80), Sequence: 1, Leaving: true})
	if got, want := c.ActiveByDataCentre()["a"], []netip.AddrPort{address(1)}; !slices.Equal(got, want) {
		t.Errorf("got %v, want %v once another node is leaving", got, want)
	}
	if got, want := c.Homes(), []netip.AddrPort{address(1), address(2), address(3), address(4)}; !slices.Equal(got, want) {
		t.Errorf("got homes %v, want %v with the leaving nodes", got, want)
	}
}

// TestTable_Homes checks that the number of homes, with which every node keeps a
// session, grows much more slowly than the fleet.
func TestTable_Homes(t *testing.T) {
	tests := []struct {
		desc  string
		nodes int // In each of three data centres.
		want  int
	}{
		{"one each", 1, 3},
		{"a small fleet", 10, 9},
		{"a large fleet", 160, 30},
	}
	for _, tt := range tests {
		var c nodetable.Table
		for i := range 3 * tt.nodes {
			c.AddRecord(record(i, []string{"a", "b", "c"}[i%3], 16))
		}
		if got := len(c.Homes()); got != tt.want {
			t.Errorf("%s: got %d homes, want %d", tt.desc, got, tt.want)
		}
	}
}

// TestTable_ApplyList covers a node that has ended, one whose record was missing only
// briefly, and an indirect report of a node that was removed.
func TestTable_ApplyList(t *testing.T) {
	now := time.Unix(1000, 0)
	var c nodetable.Table
	c.AddRecord(record(1, "a", 0))
	c.AddRecord(record(2, "a", 0))
	c.AddRecord(record(3, "b", 0))
	both, first := map[netip.AddrPort]bool{address(1): true, address(2): true}, map[netip.AddrPort]bool{address(1): true}
	c.ApplyList(now, nodetable.StoreList, "a", first)
	c.ApplyList(now.Add(2*time.Second), nodetable.StoreList, "a", both)
	if got := c.ApplyList(now.Add(4*time.Second), nodetable.StoreList, "a", first); len(got) != 0 {
		t.Errorf("got %v removed, want none: a list in between had the node", got)
	}
	c.ApplyDirect(nodetable.Presence{Record: record(2, "a", 0)})
	if got := c.ApplyList(now.Add(10*time.Second), nodetable.StoreList, "a", first); len(got) != 0 {
		t.Errorf("got %v removed, want none: the node itself reported in between", got)
	}
	if got := c.ApplyList(now.Add(16*time.Second), nodetable.StoreList, "a", first); !slices.Equal(got, []netip.AddrPort{address(2)}) {
		t.Errorf("got %v removed, want the node that lists lacked for 6 s", got)
	}
	indirect := nodetable.Presence{Record: record(2, "a", 0)}
	if c.ApplyIndirect(now.Add(17*time.Second), indirect) {
		t.Error("an indirect report restored a removed node")
	}
	if _, ok := c.Find(address(3)); !ok {
		t.Error("a list of one data centre removed a node of another")
	}
	indirect.Incarnation++
	if !c.ApplyIndirect(now.Add(17*time.Second), indirect) {
		t.Error("indirect report of a newer incarnation was ignored")
	}
}

// simulation is a fleet whose nodes exchange their tables as node/gossip does.
type simulation struct {
	now     time.Time
	records map[netip.AddrPort]nodetable.Record // In the store; live nodes only.
	nodes   map[netip.AddrPort]*nodetable.Table
}

func (s *simulation) start(r nodetable.Record) {
	c := new(nodetable.Table)
	s.records[r.Address] = r
	s.nodes[r.Address] = c
	for _, known := range s.records {
		c.AddRecord(known)
	}
	// It introduces itself to the first two nodes of its data centre, or to all of
	// them if it is one of the two.
	list := c.ActiveByDataCentre()[r.DataCentre]
	if !slices.Contains(list[:min(2, len(list))], r.Address) {
		list = list[:2]
	}
	for _, a := range list {
		if other := s.nodes[a]; other != nil && a != r.Address {
			other.ApplyDirect(nodetable.Presence{Record: r})
		}
	}
}

func (s *simulation) stop(a netip.AddrPort) {
	delete(s.records, a)
	delete(s.nodes, a)
}

// superPeer returns the first node of a data centre, in the order of c, that is alive.
func (s *simulation) superPeer(c *nodetable.Table, dataCentre string) netip.AddrPort {
	for _, a := range c.ActiveByDataCentre()[dataCentre] {
		if s.nodes[a] != nil {
			return a
		}
	}
	return netip.AddrPort{}
}

// sendList applies the nodes that from knows of a data centre to the table to.
func (s *simulation) sendList(from, to *nodetable.Table, dataCentre string) {
	listed := map[netip.AddrPort]bool{}
	for _, p := range from.Nodes(dataCentre) {
		to.ApplyIndirect(s.now, p)
		listed[p.Address] = true
	}
	to.ApplyList(s.now, nodetable.PeerList, dataCentre, listed)
}

// round lets every node exchange its table with its super-peer, while the
// super-peers read the records and exchange with one another.
func (s *simulation) round() {
	s.now = s.now.Add(time.Second)
	for _, a := range slices.SortedFunc(maps.Keys(s.nodes), netip.AddrPort.Compare) {
		c, self := s.nodes[a], s.records[a]
		first := s.superPeer(c, self.DataCentre)
		if first != a {
			s.nodes[first].ApplyDirect(nodetable.Presence{Record: self})
			s.sendList(s.nodes[first], c, "")
			continue
		}
		listed := map[netip.AddrPort]bool{}
		for b, r := range s.records {
			c.AddRecord(r)
			listed[b] = true
		}
		c.ApplyList(s.now, nodetable.StoreList, "", listed)
		for dc := range c.ActiveByDataCentre() {
			remote := s.superPeer(c, dc)
			if dc == self.DataCentre || !remote.IsValid() {
				continue
			}
			s.sendList(c, s.nodes[remote], self.DataCentre)
			s.sendList(s.nodes[remote], c, dc)
			listedNodes := s.nodes[remote].ActiveByDataCentre()[self.DataCentre]
			for _, b := range listedNodes[:min(2, len(listedNodes))] {
				p, _ := s.nodes[remote].Find(b)
				c.ApplyIndirect(s.now, p)
			}
		}
	}
}

// TestTable_converges starts and stops nodes in random order. After a quiet period
// every node's table must hold exactly the live nodes.
func TestTable_converges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{now: time.Unix(1000, 0), records: map[netip.AddrPort]nodetable.Record{}, nodes: map[netip.AddrPort]*nodetable.Table{}}
		incarnation := uint64(1)
		steps := rapid.SliceOfN(rapid.IntRange(0, 30), 5, 60).Draw(t, "steps")
		for _, n := range steps {
			switch {
			case n > 24:
				s.round()
			case s.nodes[address(n)] != nil && n%2 == 0:
				s.stop(address(n))
			default:
				incarnation++
				r := record(n, []string{"a", "b", "c"}[n%3], uint32(n%2)*80)
				r.Incarnation = incarnation
				s.start(r)
			}
		}
		for range 24 {
			s.round()
		}
		for a, c := range s.nodes {
			for b, r := range s.records {
				if p, ok := c.Find(b); !ok || p.Incarnation != r.Incarnation {
					t.Fatalf("%s knows %+v of %s, want incarnation %d", a, p, b, r.Incarnation)
				}
			}
			if got, want := c.Len(), len(s.records); got != want {
				t.Fatalf("%s knows %d nodes, want %d", a, got, want)
			}
		}
	})
}

// TestTable_ApplyList_lapsed guards against removing live nodes whose records the store
// lost. A node writes its record again when it next renews its lease, which takes at
// most 4 s and a call. No sequence of reads in between may remove the node.
func TestTable_ApplyList_lapsed(t *testing.T) {
	const recovery = 5 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		var c nodetable.Table
		c.AddRecord(record(1, "a", 0))
		now := time.Unix(1000, 0)
		lapsed := now
		for range rapid.IntRange(2, 20).Draw(t, "reads") {
			now = now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "pause")) * time.Millisecond)
			listed := map[netip.AddrPort]bool{address(1): now.Sub(lapsed) >= recovery}
			if gone := c.ApplyList(now, nodetable.StoreList, "", listed); len(gone) > 0 {
				t.Fatalf("got %v removed %s after the records expired, want the node kept", gone, now.Sub(lapsed))
			}
		}
	})
}
