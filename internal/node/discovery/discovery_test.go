package discovery

import (
	"context"
	"encoding/json"
	"io"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"filbertturn.example/filbertturn/internal/backend/scheduler"
	"filbertturn.example/filbertturn/internal/fleet/nodetable"
	"filbertturn.example/filbertturn/internal/node/depot"
	"filbertturn.example/filbertturn/internal/peer/courier"
	"filbertturn.example/filbertturn/internal/peer/link"
	"filbertturn.example/filbertturn/internal/peer/peerpb"
)

// memory is a depot that holds records only.
type memory struct {
	depot.Depot
	mu    sync.Mutex
	items map[string][]byte
	old   map[string][]byte // What stale lists show; nil if they are up to date.
	lists int               // Lists that were not stale.
}

func (m *memory) Grant(context.Context, time.Duration) (depot.Lease, error) {
	return depot.Lease{ID: 1}, nil
}

func (m *memory) Put(_ context.Context, key string, value []byte, _ int64) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.items[key] = value
	return nil
}

func (m *memory) List(_ context.Context, prefix string, stale bool) (depot.Page, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	items := m.items
	if stale && m.old != nil {
		items = m.old
	}
	if !stale {
		m.lists++
	}
	var page depot.Page
	for k, v := range items {
		if strings.HasPrefix(k, prefix) {
			page.Items = append(page.Items, depot.Item{Key: k, Value: v})
		}
	}
	return page, nil
}

func (m *memory) set(name string, r *nodetable.Record) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if r == nil {
		delete(m.items, Prefix+name)
		return
	}
	m.items[Prefix+name], _ = json.Marshal(r)
}

// newJoined returns a node that has read the records of a and b, neither of which
// answers.
func newJoined(t *testing.T) (*Discovery, *memory) {
	t.Helper()
	m := &memory{items: map[string][]byte{}}
	m.set("a", &nodetable.Record{Name: "a", Address: netip.MustParseAddrPort("127.0.0.1:1"), Incarnation: 1})
	m.set("b", &nodetable.Record{Name: "b", Address: netip.MustParseAddrPort("127.0.0.1:2"), Incarnation: 1})
	m.items[Prefix+"foreign"] = []byte("\xff not a record")
	mesh := link.New(nil, nil, nil)
	t.Cleanup(mesh.Close)
	d := &Discovery{
		Self: nodetable.Record{Name: "self", Address: netip.MustParseAddrPort("127.0.0.1:3")}, Depot: m, Mesh: mesh, Log: zerolog.New(io.Discard),
		Load: func(time.Time) scheduler.Load { return scheduler.Load{} }, Known: func(nodetable.Record) {},
		Heard: func(time.Time, nodetable.Presence, scheduler.Load) {}, Lost: func(netip.AddrPort) {}, Leads: func() bool { return true },
	}
	if _, err := d.read(t.Context(), time.Now(), false); err != nil {
		t.Fatal(err)
	}
	d.joined.Store(true)
	return d, m
}

// TestDiscovery_Doubt answers a node that is gone for good: it is forgotten a few
// seconds after its record, which customers' limits wait for.
func TestDiscovery_Doubt(t *testing.T) {
	d, m := newJoined(t)
	now := time.Now()
	d.Doubt(t.Context(), now)
	if got := d.Nodes(); got != 3 {
		t.Fatalf("with all records: got %d nodes, want 3", got)
	}
	m.set("a", nil)
	d.Doubt(t.Context(), now.Add(doubtPause))
	if got := d.Nodes(); got != 3 {
		t.Errorf("after one read without the record: got %d nodes, want 3", got)
	}
	d.Doubt(t.Context(), now.Add(3*doubtPause))
	if got := d.Nodes(); got != 2 {
		t.Errorf("after reads without the record for 6 s: got %d nodes, want 2", got)
	}
}

// TestDiscovery_Doubt_lapsed answers a store that lost the records of live nodes:
// those that write them again are kept.
func TestDiscovery_Doubt_lapsed(t *testing.T) {
	d, m := newJoined(t)
	now := time.Now()
	record := m.items[Prefix+"a"]
	m.set("a", nil)
	d.Doubt(t.Context(), now.Add(doubtPause))
	m.items[Prefix+"a"] = record
	d.Doubt(t.Context(), now.Add(2*doubtPause))
	d.Doubt(t.Context(), now.Add(3*doubtPause))
	if got := d.Nodes(); got != 3 {
		t.Errorf("got %d nodes, want 3", got)
	}
}

// TestDiscovery_Answer_clockBack answers a node that starts again after the clock
// of its VM was set back: what it says itself counts, although its incarnation
// looks older.
func TestDiscovery_Answer_clockBack(t *testing.T) {
	d, _ := newJoined(t)
	var got []scheduler.Load
	d.Heard = func(_ time.Time, _ nodetable.Presence, l scheduler.Load) { got = append(got, l) }
	address := netip.MustParseAddrPort("127.0.0.1:1")
	tell := func(incarnation, sequence uint64, serving, leaving bool) {
		t.Helper()
		payload, err := proto.Marshal(&peerpb.Presence{
			Name: "a", Address: address.String(), Incarnation: incarnation, Sequence: sequence, Leaving: leaving,
			Load: courier.ToLoad(scheduler.Load{Slots: 3, Serving: serving}),
		})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := d.Answer(time.Now(), payload); err != nil {
			t.Fatal(err)
		}
	}
	tell(1000, 7, false, true)
	tell(900, 1, true, false)
	if len(got) != 2 || !got[1].Serving {
		t.Fatalf("got %+v, want what the node said after it started again", got)
	}
	tell(900, 0, false, false)
	tell(800, 9, false, true)
	if len(got) != 2 {
		t.Errorf("got %+v, want what it said earlier to be ignored", got[2:])
	}
}

// TestDiscovery_join answers a start of many nodes: a stale list tells whom a node
// needs to know if it has the node's own record, and costs a tenth.
func TestDiscovery_join(t *testing.T) {
	tests := []struct {
		desc  string
		stale bool // Whether stale lists lack what was written last.
		want  int
	}{
		{"stale lists that are up to date", false, 0},
		{"stale lists that are old", true, 1},
	}
	for _, tt := range tests {
		d, m := newJoined(t)
		m.lists = 0
		if tt.stale {
			m.old = map[string][]byte{}
		}
		m.set("c", &nodetable.Record{Name: "c", Address: netip.MustParseAddrPort("127.0.0.1:4"), Incarnation: 1})
		d.join(t.Context())
		if got, want := d.Nodes(), 4; got != want {
			t.Errorf("%s: got %d nodes, want %d", tt.desc, got, want)
		}
		if m.lists != tt.want {
			t.Errorf("%s: got %d lists at full price, want %d", tt.desc, m.lists, tt.want)
		}
	}
}

// TestDiscovery_Present answers a node that the store turns away for long, so that its
// record lapses: its super-peer, which hears its bulletins, keeps it.
func TestDiscovery_Present(t *testing.T) {
	d, m := newJoined(t)
	m.set("a", nil)
	now := time.Now()
	a := nodetable.Presence{Record: nodetable.Record{Address: netip.MustParseAddrPort("127.0.0.1:1"), Incarnation: 1}}
	for i := range 10 {
		at := now.Add(time.Duration(i) * doubtPause)
		d.Present(a)
		d.Doubt(t.Context(), at)
	}
	if got := d.Nodes(); got != 3 {
		t.Errorf("got %d nodes, want 3 with the one that is heard", got)
	}
}
