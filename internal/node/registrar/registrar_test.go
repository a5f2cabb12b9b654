package registrar_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"filbertturn.example/filbertturn/internal/config/snapshot"
	"filbertturn.example/filbertturn/internal/fleet/head"
	"filbertturn.example/filbertturn/internal/fleet/member"
	"filbertturn.example/filbertturn/internal/node/owner"
	"filbertturn.example/filbertturn/internal/node/registrar"
	"filbertturn.example/filbertturn/internal/peer/peerpb"
	"filbertturn.example/filbertturn/internal/request/call"
	"filbertturn.example/filbertturn/internal/request/failure"
	"filbertturn.example/filbertturn/internal/route/directory"
)

var self = member.Member{Address: netip.MustParseAddrPort("127.0.0.1:7000"), DataCentre: "dc1"}

// fakeNode is a fleet of one node without a configuration.
type fakeNode struct{}

func (fakeNode) Live(time.Time) []member.Member                                      { return []member.Member{self} }
func (fakeNode) View() (head.Head, *snapshot.Snapshot)                               { return head.Head{}, nil }
func (fakeNode) Authorize(time.Time, *call.Call) *failure.Failure                    { return nil }
func (fakeNode) WatchCall(*call.Call, context.CancelCauseFunc) func()                { return func() {} }
func (fakeNode) Ask(context.Context, netip.AddrPort, uint32, []byte) ([]byte, error) { return nil, nil }

// testDirectory adapts directory.Directory to registrar.Directory.
type testDirectory struct{ directory.Directory }

func (h *testDirectory) UpdateSummary(now time.Time, s directory.Summary) { h.Update(now, s) }

func newRegistrar() (*registrar.Registrar, *owner.Owner, *testDirectory) {
	o, h := &owner.Owner{Self: self, Membership: fakeNode{}}, &testDirectory{}
	return &registrar.Registrar{Self: self, Members: fakeNode{}, Owner: o, Directory: h, Mesh: fakeNode{}}, o, h
}

// checkOwned checks that the node owns one backend server, with valid fields, if the
// announcement was accepted, and none otherwise.
func checkOwned(t *testing.T, o *owner.Owner, accepted bool) {
	t.Helper()
	list := o.Statuses(time.Now())
	if accepted != (len(list) == 1) {
		t.Fatalf("got the backend servers %v with an announcement accepted: %v", list, accepted)
	}
	for _, s := range list {
		if !s.BackendServer.IsValid() || s.BackendServer.Port() == 0 || s.Service == "" || s.Slots < 1 || s.Slots > 1<<16 || s.State == "Unknown" {
			t.Errorf("got an invalid backend server accepted: %+v", s)
		}
	}
}

func announce(r *registrar.Registrar, text string) int {
	w := httptest.NewRecorder()
	r.Handler().ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/announce", strings.NewReader(text)))
	return w.Code
}

const validAnnouncement = `{"BackendServer":"10.0.0.1:9000","Service":"booking","DataCentre":"dc1","Slots":3,"State":"Ready","Incarnation":1,"Sequence":1}`

func TestRegistrar_Handler(t *testing.T) {
	tests := []struct {
		desc, text string
		want       int
	}{
		{"good", validAnnouncement, 200},
		{"no address", strings.Replace(validAnnouncement, "10.0.0.1:9000", "", 1), 400},
		{"no particular address", strings.Replace(validAnnouncement, "10.0.0.1", "0.0.0.0", 1), 400},
		{"no port", strings.Replace(validAnnouncement, ":9000", ":0", 1), 400},
		{"no service", strings.Replace(validAnnouncement, "booking", "", 1), 400},
		{"no slots", strings.Replace(validAnnouncement, "3", "0", 1), 400},
		{"negative slots", strings.Replace(validAnnouncement, "3", "-1", 1), 400},
		{"too many slots", strings.Replace(validAnnouncement, "3", "65537", 1), 400},
		{"unknown state", strings.Replace(validAnnouncement, "Ready", "ready", 1), 400},
		{"unknown field", strings.Replace(validAnnouncement, "Slots", "Zone", 1), 400},
		{"too long", strings.Replace(validAnnouncement, "booking", strings.Repeat("b", 5000), 1), 400},
	}
	for _, tt := range tests {
		r, o, _ := newRegistrar()
		if got := announce(r, tt.text); got != tt.want {
			t.Errorf("%s: got status %d, want %d", tt.desc, got, tt.want)
		}
		checkOwned(t, o, tt.want == 200)
	}
}

func TestRegistrar_AnswerAnnounce(t *testing.T) {
	tests := []struct {
		desc         string
		state, slots uint32
		want         bool
	}{
		{"good", 1, 3, true},
		{"unknown state", 3, 3, false},
		{"state beyond a byte", 257, 3, false},
		{"no slots", 1, 0, false},
		{"too many slots", 1, 1<<32 - 1, false},
	}
	for _, tt := range tests {
		r, o, _ := newRegistrar()
		payload, err := proto.Marshal(&peerpb.Announcement{BackendServer: "10.0.0.1:9000", Service: "s", Slots: tt.slots, State: tt.state})
		if err != nil {
			t.Fatal(err)
		}
		if err := r.AnswerAnnounce(payload); (err == nil) != tt.want {
			t.Errorf("%s: got %v, want accepted: %v", tt.desc, err, tt.want)
		}
		checkOwned(t, o, tt.want)
	}
}

func FuzzRegistrar_Handler(f *testing.F) {
	f.Add(validAnnouncement)
	f.Add(`{"Slots":1e400}`)
	f.Add(`{"BackendServer":"[::1%eth0]:1","Service":"s","Slots":1,"State":"Starting"}`)
	f.Fuzz(func(t *testing.T, text string) {
		r, o, _ := newRegistrar()
		checkOwned(t, o, false)
		checkOwned(t, o, announce(r, text) == 200)
	})
}

func FuzzRegistrar_AnswerAnnounce(f *testing.F) {
	for _, a := range []*peerpb.Announcement{
		{BackendServer: "10.0.0.1:9000", Service: "s", Slots: 3, State: 1},
		{BackendServer: "10.0.0.1:9000", Service: "s", Slots: 3, State: 257},
		{BackendServer: "10.0.0.1:9000", Service: "s", Slots: 1 << 31, State: 1},
	} {
		b, err := proto.Marshal(a)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, payload []byte) {
		r, o, _ := newRegistrar()
		checkOwned(t, o, r.AnswerAnnounce(payload) == nil)
	})
}

func FuzzRegistrar_AnswerSummary(f *testing.F) {
	b, err := proto.Marshal(&peerpb.Summary{Owner: "10.0.0.2:7000", Sequence: 1, Services: []*peerpb.ServiceCapacity{{Service: "s", Slots: 3, Free: -1, BackendServers: 1}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(b, uint64(7))
	f.Fuzz(func(t *testing.T, payload []byte, random uint64) {
		r, _, h := newRegistrar()
		now := time.Now()
		if _, err := r.AnswerSummary(payload); err != nil && len(h.Owners(now)) > 0 {
			t.Error("a malformed summary was stored")
		}
		for _, s := range h.Owners(now) {
			for _, c := range s.Services {
				_, _ = h.Pick(now, directory.Choice{Service: c.Service, Random: random})
			}
		}
	})
}
