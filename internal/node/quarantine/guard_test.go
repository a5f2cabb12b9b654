package quarantine_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/protobuf/proto"

	"filbertturn.example/filbertturn/internal/fleet/rendezvous"
	"filbertturn.example/filbertturn/internal/health/blame"
	"filbertturn.example/filbertturn/internal/node/quarantine"
	"filbertturn.example/filbertturn/internal/peer/link"
	"filbertturn.example/filbertturn/internal/peer/peerpb"
	"filbertturn.example/filbertturn/internal/peer/question"
	"filbertturn.example/filbertturn/internal/request/failure"
	"filbertturn.example/filbertturn/internal/request/fingerprint"
	"filbertturn.example/filbertturn/internal/request/kind"
	"filbertturn.example/filbertturn/internal/request/order"
)

// member is a node of a test's fleet.
type member struct {
	*quarantine.Guard

	mu       sync.Mutex
	messages int  // Questions that the node was asked.
	deaf     bool // It does not answer.
	alone    bool // It knows no other node.
}

// nodes returns the nodes that the node knows.
func (m *member) nodes(all map[string][]netip.AddrPort) map[string][]netip.AddrPort {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.alone {
		return nil
	}
	return all
}

func (m *member) Answer(ctx context.Context, kind uint32, payload []byte) ([]byte, error) {
	m.mu.Lock()
	m.messages++
	deaf := m.deaf
	m.mu.Unlock()
	if deaf {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	switch kind {
	case question.Blame:
		return m.AnswerBlame(payload)
	case question.Trial:
		return m.AnswerTrial(time.Now(), payload)
	}
	return nil, fmt.Errorf("got a question of kind %d", kind)
}

func (m *member) Serve(context.Context, *peerpb.RequestHead, *link.Stream) {}

// setDeaf makes the node answer nothing, as if it were frozen, or answer again.
func (m *member) setDeaf(deaf bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.deaf = deaf
}

// setCut cuts the node off from the others, or connects it again.
func (m *member) setCut(cut bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.deaf, m.alone = cut, cut
}

// newFleet returns nodes in as many data centres, size in each.
func newFleet(t *testing.T, dataCentres, size int) []*member {
	t.Helper()
	byDataCentre := make(map[string][]netip.AddrPort)
	var all []netip.AddrPort
	var fleet []*member
	for i := range dataCentres * size {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		m := &member{}
		mesh := link.New(nil, nil, m)
		name := fmt.Sprintf("dc-%d", i/size)
		m.Guard = &quarantine.Guard{
			Self: netip.MustParseAddrPort(l.Addr().String()), DataCentre: name, Mesh: mesh, Log: zerolog.New(io.Discard),
			Homes: func() []netip.AddrPort { return all }, Nodes: func() map[string][]netip.AddrPort { return m.nodes(byDataCentre) },
			InService: func(string) int { return 3 },
		}
		byDataCentre[name], all = append(byDataCentre[name], m.Self), append(all, m.Self)
		fleet = append(fleet, m)
		go mesh.Serve(l)
		t.Cleanup(func() { _ = l.Close(); mesh.Close() })
	}
	return fleet
}

var (
	suspect = blame.Request{Fingerprint: fingerprint.Fingerprint{7}}
	again   = blame.Request{Fingerprint: suspect.Fingerprint, Trial: true}
)

func newOrder(r blame.Request) *order.Order {
	return &order.Order{ID: "1", Service: "s", Fingerprint: r.Fingerprint, Deadline: time.Now().Add(2 * time.Second)}
}

// awaitVerdict waits until all nodes have the verdict on a request, and returns how long that took.
func awaitVerdict(t *testing.T, fleet []*member, r blame.Request, want blame.Verdict) time.Duration {
	t.Helper()
	started := time.Now()
	for _, m := range fleet {
		for m.Verdict(r.Fingerprint) != want {
			if time.Since(started) > 5*time.Second {
				t.Fatalf("got %s at %s after 5 s, want %s", m.Verdict(r.Fingerprint), m.Self, want)
			}
			time.Sleep(time.Millisecond)
		}
	}
	return time.Since(started)
}

// TestGuard_ReportCrash checks that all nodes learn of crashes and of good ends within the second in which a
// configuration would have to be in force, by few messages.
func TestGuard_ReportCrash(t *testing.T) {
	fleet := newFleet(t, 3, 8)
	fleet[5].ReportCrash(t.Context(), time.Now(), "s", []blame.Request{suspect, {Fingerprint: fingerprint.Fingerprint{8}}})
	took := awaitVerdict(t, fleet, suspect, blame.Suspected)
	fleet[20].ReportCrash(t.Context(), time.Now(), "s", []blame.Request{again})
	took = max(took, awaitVerdict(t, fleet, suspect, blame.Quarantined))
	fleet[11].ReportGoodEnd(fingerprint.Fingerprint{8})
	took = max(took, awaitVerdict(t, fleet, blame.Request{Fingerprint: fingerprint.Fingerprint{8}}, blame.Clear))
	if took > time.Second {
		t.Errorf("got a verdict everywhere after %s, want 1 s at most", took)
	}
	messages := 0
	for _, m := range fleet {
		m.mu.Lock()
		messages += m.messages
		m.mu.Unlock()
	}
	// For each of three events a message to each node, and two to homes.
	if want := 3 * (len(fleet) + 2); messages > want {
		t.Errorf("got %d messages, want %d at most", messages, want)
	}
}

// TestGuard_ReportCrash_home checks that the home of a request knows of a crash when the report returns, so that it lets
// no repeat run, though no super-peer answers.
func TestGuard_ReportCrash_home(t *testing.T) {
	for range 10 {
		fleet := newFleet(t, 2, 4)
		at, _ := rendezvous.Key(suspect.Fingerprint[:]).Pick(fleet[0].Homes())
		reporter := fleet[1]
		for _, m := range fleet {
			m.setDeaf(m.Self != at)
			if m.Self != at {
				reporter = m
			}
		}
		reporter.ReportCrash(t.Context(), time.Now(), "s", []blame.Request{suspect})
		for _, m := range fleet {
			if got := m.Verdict(suspect.Fingerprint); m.Self == at && got != blame.Suspected {
				t.Fatalf("got %s at the home when the report returned, want %s", got, blame.Suspected)
			}
		}
	}
}

// TestGuard_ReportCrash_partOfCrash guards against a home that convicts a bystander because it was told only of
// the requests whose home it is, and not that another one ran in both crashes too.
func TestGuard_ReportCrash_partOfCrash(t *testing.T) {
	fleet := newFleet(t, 2, 4)
	var list []blame.Request
	for i := range 12 {
		list = append(list, blame.Request{Fingerprint: fingerprint.Fingerprint{byte(i), 3}})
	}
	var mu sync.Mutex
	convicted := 0
	for _, m := range fleet {
		m.OnVerdict = func(_ fingerprint.Fingerprint, v blame.Verdict) {
			mu.Lock()
			defer mu.Unlock()
			if v == blame.Quarantined {
				convicted++
			}
		}
	}
	fleet[0].ReportCrash(t.Context(), time.Now(), "s", list)
	for i := range list {
		list[i].Trial = true
	}
	fleet[5].ReportCrash(t.Context(), time.Now(), "s", list)
	for _, r := range list {
		awaitVerdict(t, fleet, r, blame.Suspected)
	}
	mu.Lock()
	defer mu.Unlock()
	if convicted > 0 {
		t.Errorf("got %d verdicts %s by nodes that know a part of a crash, want none", convicted, blame.Quarantined)
	}
}

// TestGuard_ReportCrash_deafSuperPeer checks that events reach a data centre whose super-peer does not answer.
func TestGuard_ReportCrash_deafSuperPeer(t *testing.T) {
	fleet := newFleet(t, 2, 4)
	fleet[4].setDeaf(true)
	fleet[1].ReportCrash(t.Context(), time.Now(), "s", []blame.Request{suspect})
	awaitVerdict(t, append(fleet[:4:4], fleet[5:]...), suspect, blame.Suspected)
}

// TestGuard_Reconcile checks that nodes that missed events get them by gossip, both ways.
func TestGuard_Reconcile(t *testing.T) {
	fleet := newFleet(t, 2, 3)
	other := blame.Request{Fingerprint: fingerprint.Fingerprint{9}}
	cut := fleet[4]
	cut.setCut(true)
	cut.Homes = func() []netip.AddrPort { return nil }
	fleet[0].ReportCrash(t.Context(), time.Now(), "s", []blame.Request{suspect})
	cut.ReportCrash(t.Context(), time.Now(), "s", []blame.Request{other})
	awaitVerdict(t, append(fleet[:4:4], fleet[5]), suspect, blame.Suspected)
	cut.setCut(false)
	// As gossip does: a digest is answered with what the asker may lack.
	for range 2 {
		for _, m := range fleet {
			superPeer := fleet[3]
			if m.DataCentre == fleet[0].DataCentre {
				superPeer = fleet[0]
			}
			m.Reconcile(superPeer.Self, superPeer.Reply(&peerpb.Blame{Digest: m.Digest()}))
		}
		fleet[0].Reconcile(fleet[3].Self, fleet[3].Reply(&peerpb.Blame{Digest: fleet[0].Digest()}))
		awaitVerdict(t, []*member{fleet[3]}, other, blame.Suspected)
	}
	awaitVerdict(t, fleet, suspect, blame.Suspected)
	awaitVerdict(t, fleet, other, blame.Suspected)
	for _, m := range fleet {
		if reply := m.Reply(&peerpb.Blame{Digest: cut.Digest()}); len(reply.GetEvents()) > 0 {
			t.Errorf("got %d events for a node with the same digest, want none", len(reply.GetEvents()))
		}
	}
}

// TestGuard_Start checks that a node that starts later knows of a quarantine before gossip tells it, also if its first
// neighbour does not answer.
func TestGuard_Start(t *testing.T) {
	fleet := newFleet(t, 1, 4)
	late := fleet[3]
	late.setDeaf(true)
	fleet[1].ReportCrash(t.Context(), time.Now(), "s", []blame.Request{suspect})
	awaitVerdict(t, fleet[:3], suspect, blame.Suspected)
	late.setDeaf(false)
	fleet[0].setDeaf(true)
	late.Start(t.Context(), func() bool { return true })
	if got := late.Verdict(suspect.Fingerprint); got != blame.Suspected {
		t.Errorf("got %s after the start, want %s", got, blame.Suspected)
	}
}

// TestGuard_Admit checks that only one run of a suspected request takes place at a time in the fleet, and what is
// refused.
func TestGuard_Admit(t *testing.T) {
	fleet := newFleet(t, 2, 4)
	if end, err := fleet[0].Admit(t.Context(), newOrder(suspect), false); err != nil {
		t.Fatalf("got %v for a clear request, want none", err)
	} else {
		end()
	}
	fleet[0].ReportCrash(t.Context(), time.Now(), "s", []blame.Request{suspect})
	awaitVerdict(t, fleet, suspect, blame.Suspected)

	var wg sync.WaitGroup
	var mu sync.Mutex
	granted, refused := 0, 0
	var end func()
	for _, m := range fleet {
		wg.Go(func() {
			o := newOrder(suspect)
			e, err := m.Admit(t.Context(), o, false)
			mu.Lock()
			defer mu.Unlock()
			switch f := failure.From(err); {
			case err == nil && o.Trial:
				granted++
				end = e
			case err != nil && f.Kind == kind.Suspected && f.RetryAfter > 0:
				refused++
			}
		})
	}
	wg.Wait()
	if granted != 1 || refused != len(fleet)-1 {
		t.Fatalf("got %d runs and %d refusals, want 1 and %d", granted, refused, len(fleet)-1)
	}
	end()
	for _, m := range fleet {
		end, err := m.Admit(t.Context(), newOrder(suspect), false)
		if err != nil {
			t.Fatalf("got %v at %s after the run before has ended, want another", err, m.Self)
		}
		end()
	}
}

// TestGuard_Admit_refusals has the cases in which a suspected request must not run.
func TestGuard_Admit_refusals(t *testing.T) {
	tests := []struct {
		desc      string
		crashed   bool // Only this attempt tells of a crash.
		inService int
		deafHome  bool
		homeKnows bool // The home knows of two crashes.
		want      kind.Kind
	}{
		{"first run", true, 3, false, false, kind.Internal},
		{"last backend server", true, 1, false, false, kind.Suspected},
		{"home does not answer", true, 3, true, false, kind.Suspected},
		{"home knows more", true, 3, false, true, kind.Quarantined},
	}
	for _, tt := range tests {
		fleet := newFleet(t, 1, 3)
		var asker, home *member
		at, _ := rendezvous.Key(suspect.Fingerprint[:]).Pick(fleet[0].Homes())
		for _, m := range fleet {
			if m.Self == at {
				home = m
			} else {
				asker = m
			}
		}
		asker.InService = func(string) int { return tt.inService }
		if tt.inService < 2 {
			asker.ReportCrash(t.Context(), time.Now(), "s", []blame.Request{suspect})
		}
		home.setDeaf(tt.deafHome)
		if tt.homeKnows {
			asker.setDeaf(true)
			home.ReportCrash(t.Context(), time.Now(), "s", []blame.Request{suspect})
			for _, m := range fleet {
				if m != asker && m != home {
					m.ReportCrash(t.Context(), time.Now(), "s", []blame.Request{again})
				}
			}
			awaitVerdict(t, []*member{home}, suspect, blame.Quarantined)
		}
		_, err := asker.Admit(t.Context(), newOrder(suspect), tt.crashed)
		if got := failure.From(err).Kind; err != nil && got != tt.want || err == nil && tt.want != kind.Internal {
			t.Errorf("%s: got %v, want %s", tt.desc, err, tt.want)
		}
		if got := asker.Verdict(suspect.Fingerprint); tt.homeKnows && got != blame.Quarantined {
			t.Errorf("%s: got %s after the refusal, want what the home knows", tt.desc, got)
		}
	}
}

// TestGuard_Handler checks that an operator sees a quarantine at any node, without anything of the request, and that
// withdrawing it is in force everywhere.
func TestGuard_Handler(t *testing.T) {
	fleet := newFleet(t, 2, 3)
	fleet[0].ReportCrash(t.Context(), time.Now(), "s", []blame.Request{suspect})
	fleet[5].ReportCrash(t.Context(), time.Now(), "s", []blame.Request{again})
	awaitVerdict(t, fleet, suspect, blame.Quarantined)
	h := fleet[3].Handler()
	do := func(method, path string) *httptest.ResponseRecorder {
		w := httptest.NewRecorder()
		h.ServeHTTP(w, httptest.NewRequest(method, path, nil))
		return w
	}
	got := do(http.MethodGet, "/quarantine").Body.String()
	for _, want := range []string{suspect.Fingerprint.String(), `"Verdict":"Quarantined"`, `"Service":"s"`, fleet[0].Self.String(), fleet[5].Self.String()} {
		if !strings.Contains(got, want) {
			t.Errorf("got %s, want %s in it", got, want)
		}
	}
	tests := []struct {
		path string
		want int
	}{
		{"/quarantine/xy", http.StatusBadRequest},
		{"/quarantine/" + fingerprint.Fingerprint{1}.String(), http.StatusNotFound},
		{"/quarantine/" + suspect.Fingerprint.String(), http.StatusOK},
	}
	for _, tt := range tests {
		if got := do(http.MethodDelete, tt.path); got.Code != tt.want {
			t.Errorf("%s: got %d, want %d", tt.path, got.Code, tt.want)
		}
	}
	awaitVerdict(t, fleet, suspect, blame.Clear)
	if got := strings.TrimSpace(do(http.MethodGet, "/quarantine").Body.String()); got != "[]" {
		t.Errorf("got %s after the withdrawal, want []", got)
	}
}

// FuzzGuard_AnswerBlame checks that what peers send cannot end a node, nor fill its memory, nor make it hold back
// requests without a fingerprint.
func FuzzGuard_AnswerBlame(f *testing.F) {
	server, _ := netip.MustParseAddrPort("10.0.0.1:80").MarshalBinary()
	whole := &peerpb.BlameEvent{Id: 1, Crash: 1, Fingerprint: suspect.Fingerprint[:], Service: "s", Node: server, Share: 1, AgeMillis: 5}
	for _, e := range []*peerpb.BlameEvent{whole, {Id: 2, Fingerprint: []byte{1}}, {Fingerprint: suspect.Fingerprint[:], Share: -1, BodyBytes: -1}} {
		b, err := proto.Marshal(&peerpb.Blame{Events: []*peerpb.BlameEvent{e, e}})
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, payload []byte) {
		g := &quarantine.Guard{
			Self: netip.MustParseAddrPort("10.0.0.2:80"), Log: zerolog.New(io.Discard),
			Homes: func() []netip.AddrPort { return nil }, Nodes: func() map[string][]netip.AddrPort { return nil },
		}
		_, _ = g.AnswerBlame(payload)
		_, _ = g.AnswerTrial(time.Now(), payload)
		if got := g.Verdict(fingerprint.Fingerprint{}); got != blame.Clear {
			t.Errorf("got %s of a request without a fingerprint, want Clear", got)
		}
		if n := len(g.Cases()); n > blame.MaxEvents {
			t.Errorf("got %d cases, want %d at most", n, blame.MaxEvents)
		}
	})
}

// BenchmarkGuard_Reply reports the bytes of the answer to a node that knows nothing, as gossip sends it, and of the
// answer to one that knows the same.
func BenchmarkGuard_Reply(b *testing.B) {
	for _, suspects := range []int{0, 1, 100, 512} {
		g := &quarantine.Guard{
			Self: netip.MustParseAddrPort("10.0.0.2:80"), Log: zerolog.New(io.Discard),
			Homes: func() []netip.AddrPort { return nil }, Nodes: func() map[string][]netip.AddrPort { return nil },
		}
		for i := range suspects {
			g.ReportCrash(b.Context(), time.Now(), "reservation", []blame.Request{{Fingerprint: fingerprint.Fingerprint{byte(i), byte(i >> 8), 1}}})
		}
		for name, known := range map[string]uint64{"unknown": 0, "same": g.Digest()} {
			b.Run(fmt.Sprintf("%d suspects/%s", suspects, name), func(b *testing.B) {
				b.ReportAllocs()
				var payload []byte
				for b.Loop() {
					payload, _ = proto.Marshal(g.Reply(&peerpb.Blame{Digest: known}))
				}
				b.ReportMetric(float64(len(payload)), "bytes")
			})
		}
	}
}
