package report

import (
	"errors"
	"fmt"
	"net/netip"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "filbertturn.example/filbertturn/internal/check/seed"
	"filbertturn.example/filbertturn/internal/fleet/member"
)

var (
	server = netip.MustParseAddrPort("10.0.0.1:80")
	node   = member.Member{Address: netip.MustParseAddrPort("[fe80::1]:9000"), Incarnation: 7, DataCentre: "a", Region: "r"}
)

// drawReport returns a report whose numbers the encoding preserves exactly.
func drawReport(t *rapid.T) Report {
	number := func(name string, high int) int { return rapid.IntRange(0, high).Draw(t, name) }
	r := Report{Pool: "p", Epoch: rapid.Uint64().Draw(t, "epoch"), Sequence: 3, Echo: Stamp{Term: 1, At: rapid.Int64().Draw(t, "at")}}
	for i := range number("servers", 4) {
		s := Server{
			Address: netip.AddrPortFrom(server.Addr(), uint16(i+1)), State: State(number("state", int(Left))),
			ReadyFor: time.Duration(number("ready", 36000)) * decisecond, Slots: number("slots", 9), Busy: number("busy", 9),
		}
		for j := range number("samples", 3) {
			n := number("count", 9)
			part := func(name string) int { return number(name, n) }
			s.Samples = append(s.Samples, Sample{
				Route: fmt.Sprint("r", j), Count: n, Answered: n, Sum: float64(part("sum")), Squares: float64(part("squares")),
				Connect: part("connect"), Error: part("error"), Cut: part("cut"), Timeout: part("timeout"), Wrong: part("wrong"), Overdue: part("overdue"),
			})
		}
		r.Servers = append(r.Servers, s)
	}
	return r
}

func TestEncodeReport(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := drawReport(t)
		b, err := EncodeReport(want)
		if err != nil {
			t.Fatal(err)
		}
		got, err := DecodeReport(b)
		if err != nil || !reflect.DeepEqual(got, want) {
			t.Fatalf("got %+v and error %v, want %+v", got, err, want)
		}
	})
}

func TestEncodeRuling(t *testing.T) {
	want := Ruling{
		Pool: "p", Epoch: 1, Sequence: 2, Stamp: Stamp{Term: 3, At: 4}, To: node,
		Verdicts: []Verdict{
			Ejection{Address: server, Reason: Wrong, Life: 2 * time.Second}, Probation{Address: server, Weight: 0.25, Life: time.Second},
			Handover{Address: server, To: node}, Suspicion{Address: server},
		},
		Baselines: []Baseline{{Route: "r", Median: -3.5, Sigma: 0.5}},
	}
	b, err := EncodeRuling(want)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := DecodeRuling(b); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v and error %v, want %+v", got, err, want)
	}
}

func TestEncodeReport_Error(t *testing.T) {
	sample := func(s Sample) Report {
		return Report{Servers: []Server{{Address: server, Samples: []Sample{s}}}}
	}
	tests := []struct {
		desc string
		give Report
		want Error
	}{
		{"no address", Report{Servers: []Server{{}}}, Error{"Servers", 0, "malformed address"}},
		{"state", Report{Servers: []Server{{Address: server, State: 9}}}, Error{"Servers", 0, "unknown state"}},
		{"more failures than requests", sample(Sample{Count: 1, Error: 2}), Error{"Servers", 0, "count out of bounds"}},
		{"latency", sample(Sample{Count: 1, Answered: 1, Sum: 99}), Error{"Servers", 0, "latency out of bounds"}},
		{"servers", Report{Servers: make([]Server, MaxServers+1)}, Error{"Servers", -1, "too many"}},
		{"pool", Report{Pool: string(make([]byte, MaxName+1))}, Error{"Pool", -1, "name too long"}},
	}
	for _, tt := range tests {
		_, err := EncodeReport(tt.give)
		var got *Error
		if !errors.As(err, &got) || *got != tt.want {
			t.Errorf("%s: got %v, want %v", tt.desc, err, &tt.want)
		}
	}
}

// FuzzDecode checks that a decoded message can be encoded again and then decodes to the
// same message.
func FuzzDecode(f *testing.F) {
	b, _ := EncodeReport(Report{Pool: "p", Servers: []Server{{Address: server, Samples: []Sample{{Route: "r", Count: 2, Answered: 1, Sum: -3}}}}})
	f.Add(b)
	b, _ = EncodeRuling(Ruling{To: node, Verdicts: []Verdict{Handover{Address: server, To: node}, Ejection{Address: server, Reason: Slow}}})
	f.Add(b)
	f.Fuzz(func(t *testing.T, b []byte) {
		if r, err := DecodeReport(b); err == nil {
			again, err := EncodeReport(r)
			if got, _ := DecodeReport(again); err != nil || !reflect.DeepEqual(got, r) {
				t.Errorf("got %+v and error %v, want %+v", got, err, r)
			}
		}
		if r, err := DecodeRuling(b); err == nil {
			again, err := EncodeRuling(r)
			if got, _ := DecodeRuling(again); err != nil || !reflect.DeepEqual(got, r) {
				t.Errorf("got %+v and error %v, want %+v", got, err, r)
			}
		}
	})
}
