package loan

import (
	"bytes"
	"errors"
	"net/netip"
	"reflect"
	"testing"
	"time"
)

var sample = Ask{
	Customer: "sfax-counter", Epoch: 7,
	Borrower: Borrower{Address: netip.MustParseAddrPort("10.1.2.3:7000"), Incarnation: 1796000000000000000},
	Sequence: 9, Want: 4, Need: 1,
	Settlements: []Settlement{{Sequence: 8, Used: 2, Age: time.Millisecond, Closed: true}},
}

func FuzzAsk_UnmarshalBinary(f *testing.F) {
	data, _ := sample.MarshalBinary()
	f.Add(data)
	f.Add([]byte{})
	f.Add(bytes.Repeat([]byte{0x4a, 0}, 100))
	f.Fuzz(func(t *testing.T, data []byte) {
		var a, again Ask
		if err := a.UnmarshalBinary(data); err != nil {
			var field *FieldError
			if !errors.As(err, &field) {
				t.Fatalf("got error %T, want *FieldError", err)
			}
			return
		}
		out, err := a.MarshalBinary()
		if err != nil {
			t.Fatal(err)
		}
		if err := again.UnmarshalBinary(out); err != nil || !reflect.DeepEqual(again, a) {
			t.Fatalf("got %+v (%v), want %+v", again, err, a)
		}
	})
}

func FuzzGrant_UnmarshalBinary(f *testing.F) {
	data, _ := Grant{Sequence: 9, Epoch: 7, Tokens: 3, Lifetime: DefaultLifetime, Scarce: true, Refusal: Empty}.MarshalBinary()
	f.Add(data)
	f.Add([]byte{0x38, 0x63})
	f.Fuzz(func(t *testing.T, data []byte) {
		var g, again Grant
		if err := g.UnmarshalBinary(data); err != nil {
			return
		}
		out, _ := g.MarshalBinary()
		if err := again.UnmarshalBinary(out); err != nil || again != g {
			t.Fatalf("got %+v (%v), want %+v", again, err, g)
		}
		if g.Refusal.String() == "Unknown" || g.Tokens > MaxTokens {
			t.Fatalf("got %+v, want it within bounds", g)
		}
	})
}

func BenchmarkAsk_MarshalBinary(b *testing.B) {
	bare := sample
	bare.Settlements = nil
	for _, tc := range []struct {
		desc    string
		message interface{ MarshalBinary() ([]byte, error) }
	}{{"ask", bare}, {"ask with a settlement", sample}, {"grant", Grant{Sequence: 9, Epoch: 7, Tokens: 3, Lifetime: DefaultLifetime}}} {
		b.Run(tc.desc, func(b *testing.B) {
			var data []byte
			for b.Loop() {
				data, _ = tc.message.MarshalBinary()
			}
			b.ReportMetric(float64(len(data)), "bytes")
		})
	}
}
