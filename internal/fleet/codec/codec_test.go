package codec

import (
	"bytes"
	"errors"
	"fmt"
	"net/netip"
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	_ "filbertturn.example/filbertturn/internal/check/seed"
	"filbertturn.example/filbertturn/internal/fleet/head"
	"filbertturn.example/filbertturn/internal/fleet/member"
	"filbertturn.example/filbertturn/internal/fleet/quorum"
	"filbertturn.example/filbertturn/internal/fleet/transition"
)

var someMember = rapid.Custom(func(t *rapid.T) member.Member {
	ip := netip.AddrFrom4([4]byte{10, 0, 0, rapid.Byte().Draw(t, "host")})
	if rapid.Bool().Draw(t, "v6") {
		ip = netip.AddrFrom16([16]byte{0xfd, 15: rapid.Byte().Draw(t, "host6")})
	}
	return member.Member{
		Address:     netip.AddrPortFrom(ip, rapid.Uint16().Draw(t, "port")),
		Incarnation: rapid.Uint64().Draw(t, "incarnation"),
		DataCentre:  rapid.StringN(0, 20, MaxName).Draw(t, "dataCentre"),
		Region:      rapid.StringN(0, 20, MaxName).Draw(t, "region"),
	}
})

var someMembers = rapid.SliceOfN(someMember, 0, 6)

// TestEncodeDigest checks that digests survive encoding and decoding, with the age of the
// proof rounded up.
func TestEncodeDigest(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := quorum.Digest{
			From:     someMember.Draw(t, "from"),
			Sequence: rapid.Uint64().Draw(t, "sequence"), Epoch: rapid.Uint64().Draw(t, "epoch"),
			Accepted: rapid.Uint64().Draw(t, "accepted"), Newest: rapid.Uint64().Draw(t, "newest"),
			Proven:       rapid.Bool().Draw(t, "proven"),
			Attestations: make([]quorum.Attestation, rapid.IntRange(0, 40).Draw(t, "roster")),
			Resigned:     append([]member.Member(nil), someMembers.Draw(t, "resigned")...),
		}
		if want.Proven {
			want.ProofAge = time.Duration(rapid.Int64Range(0, int64(time.Minute)).Draw(t, "proofAge"))
		}
		for i := range want.Attestations {
			age := quorum.Age(rapid.Byte().Draw(t, "age"))
			want.Attestations[i] = quorum.Attestation{Age: age, Reached: rapid.Bool().Draw(t, "reached")}
		}
		for _, m := range someMembers.Draw(t, "joining") {
			want.Joining = append(want.Joining, quorum.Newcomer{Member: m, Age: 7})
		}
		b, _ := EncodeDigest(want)
		got, err := DecodeDigest(b)
		if rounding := got.ProofAge - want.ProofAge; rounding < 0 || rounding >= time.Microsecond {
			t.Fatalf("age of the proof: got %v, want %v rounded up", got.ProofAge, want.ProofAge)
		}
		got.ProofAge = want.ProofAge
		if err != nil || !reflect.DeepEqual(got, want) {
			t.Fatalf("got %+v and %v, want %+v", got, err, want)
		}
	})
}

var headCodecs = []struct {
	desc   string
	encode func(head.Head) ([]byte, error)
	decode func([]byte) (head.Head, error)
}{{"text", MarshalHead, UnmarshalHead}, {"protobuf", EncodeHead, DecodeHead}}

// TestEncodeHead checks that heads survive both encodings, and that equal heads have equal
// encodings.
func TestEncodeHead(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var want head.Head
		for range rapid.IntRange(1, 4).Draw(t, "heads") {
			c := transition.Change{Revision: want.Revision + 1, Manifest: "m", Join: someMembers.Draw(t, "join"), Ended: want.Roster[len(want.Roster)/2:]}
			want = transition.Next(want, false, c)
		}
		for _, c := range headCodecs {
			b, _ := c.encode(want)
			got, err := c.decode(b)
			if again, _ := c.encode(got); err != nil || !bytes.Equal(again, b) || fmt.Sprint(got) != fmt.Sprint(want) {
				t.Fatalf("%s: got %+v and %v, want %+v", c.desc, got, err, want)
			}
		}
	})
}

// TestUnmarshalHead_invalid checks that an invalid record is refused with an error that
// names the field.
func TestUnmarshalHead_invalid(t *testing.T) {
	const members = `"Members":[{"Address":"10.0.0.1:1"},{"Address":"10.0.0.2:1"}]`
	tests := []struct{ desc, text, want string }{
		{"not a record", `[]`, ""},
		{"unordered members", `{"Members":[{"Address":"10.0.0.2:1"},{"Address":"10.0.0.1:1"}]}`, "Members[1]"},
		{"no address", `{"Members":[{}]}`, "Members[0]"},
		{"index out of range", `{` + members + `,"Roster":[2]}`, "Roster[0]"},
		{"duplicate member", `{` + members + `,"Pending":[[0],[1,1]]}`, "Pending[1][1]"},
		{"unordered indexes", `{` + members + `,"Ended":[1,0]}`, "Ended[1]"},
	}
	for _, tt := range tests {
		t.Run(tt.desc, func(t *testing.T) {
			_, err := UnmarshalHead([]byte(tt.text))
			var got *Error
			if !errors.As(err, &got) || got.Field != tt.want {
				t.Errorf("got %v, want an error at %q", err, tt.want)
			}
		})
	}
}

// largeFleet returns a head of 490 members with two pending rosters, and the digest of a
// node that has attestations of all of them.
func largeFleet() (head.Head, quorum.Digest) {
	var all []member.Member
	for i := range 490 {
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000)
		all = append(all, member.Member{Address: address, Incarnation: uint64(time.Unix(1.7e9, 0).UnixNano()), DataCentre: "region-1-centre-1", Region: "region-1"})
	}
	h := transition.Next(head.Head{}, true, transition.Change{Join: all})
	h = transition.Next(h, false, transition.Change{Leave: all[:10]})
	h = transition.Next(h, false, transition.Change{Join: all[:10], Leave: all[10:20], Manifest: "m"})
	d := quorum.Digest{From: all[0], Sequence: 1e6, Epoch: 1e6, Accepted: 1e6, Newest: 1e6, Proven: true, ProofAge: time.Second}
	d.Attestations = make([]quorum.Attestation, len(all))
	for i := range d.Attestations {
		d.Attestations[i] = quorum.Attestation{Age: quorum.Age(i), Reached: true}
	}
	return h, d
}

// TestEncodeDigest_size bounds the encoded sizes for a fleet of 490 members.
func TestEncodeDigest_size(t *testing.T) {
	h, d := largeFleet()
	if b, err := EncodeDigest(d); err != nil || len(b) >= 1<<10 {
		t.Errorf("digest: got %d bytes and %v, want fewer than 1 KiB", len(b), err)
	}
	if b, err := MarshalHead(h); err != nil || len(b) >= 200_000 {
		t.Errorf("head: got %d bytes and %v, want fewer than 200 kB", len(b), err)
	}
}

func FuzzDecodeDigest(f *testing.F) {
	_, d := largeFleet()
	b, _ := EncodeDigest(d)
	f.Add(b)
	f.Fuzz(func(t *testing.T, b []byte) {
		if d, err := DecodeDigest(b); err == nil {
			again, _ := EncodeDigest(d)
			if got, err := DecodeDigest(again); err != nil || !reflect.DeepEqual(got, d) {
				t.Errorf("got %+v and %v, want %+v", got, err, d)
			}
		}
	})
}

func FuzzDecodeHead(f *testing.F) {
	h, _ := largeFleet()
	for _, c := range headCodecs {
		b, _ := c.encode(h)
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		for _, c := range headCodecs {
			if h, err := c.decode(b); err == nil {
				again, _ := c.encode(h)
				if got, err := c.decode(again); err != nil || fmt.Sprint(got) != fmt.Sprint(h) {
					t.Errorf("%s: got %+v and %v, want %+v", c.desc, got, err, h)
				}
			}
		}
	})
}

func BenchmarkDigest(b *testing.B) {
	_, d := largeFleet()
	encoded, _ := EncodeDigest(d)
	b.Run("Encode", func(b *testing.B) {
		for b.Loop() {
			_, _ = EncodeDigest(d)
		}
		b.ReportMetric(float64(len(encoded)), "bytes")
	})
	b.Run("Decode", func(b *testing.B) {
		for b.Loop() {
			_, _ = DecodeDigest(encoded)
		}
	})
}

func BenchmarkHead(b *testing.B) {
	h, _ := largeFleet()
	for _, c := range headCodecs {
		b.Run(c.desc, func(b *testing.B) {
			var encoded []byte
			for b.Loop() {
				encoded, _ = c.encode(h)
			}
			b.ReportMetric(float64(len(encoded)), "bytes")
		})
	}
}
