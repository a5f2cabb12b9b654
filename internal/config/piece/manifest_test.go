package piece_test

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"pgregory.net/rapid"

	_ "filbertturn.example/filbertturn/internal/check/seed"
	"filbertturn.example/filbertturn/internal/config/chunk"
	"filbertturn.example/filbertturn/internal/config/piece"
)

// join returns the value of a manifest from the pieces of another value.
func join(t interface{ Fatalf(string, ...any) }, m piece.Manifest, index map[chunk.Address][]byte) []byte {
	var value []byte
	for _, a := range m.Addresses {
		p, ok := index[a]
		if !ok {
			t.Fatalf("got no piece %s", a)
		}
		value = append(value, p...)
	}
	return value
}

// TestSplit checks that the pieces are the value, and that the manifest is one that Check accepts.
func TestSplit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		part := rapid.SliceOfN(rapid.Byte(), 0, 3000).Draw(t, "part")
		value := bytes.Repeat(part, rapid.IntRange(0, 20).Draw(t, "times"))
		m := piece.Split(value)
		if err := m.Check(); err != nil {
			t.Fatal(err)
		}
		if got := join(t, m, m.Index(value)); !bytes.Equal(got, value) || m.Size() != len(value) {
			t.Fatalf("got %d bytes and the size %d, want the value of %d bytes", len(got), m.Size(), len(value))
		}
		list, err := piece.SplitAddresses(piece.JoinAddresses(m.Addresses))
		if err != nil || !slices.Equal(list, m.Addresses) {
			t.Fatalf("got %v, %v, want %v", list, err, m.Addresses)
		}
	})
}

// routes returns a configuration of n routes in the form of the operator.
func routes(n int, seed uint64) []string {
	random := rand.New(rand.NewPCG(seed, 0))
	list := make([]string, n)
	for i := range list {
		list[i] = fmt.Sprintf(`{"name":"r-%08x","prefix":"/%08x/","type":"idempotent","timeout_s":8.0,"service":"a","attempts":3,"priority":2}`, random.Uint32(), random.Uint32())
	}
	return list
}

// TestSplit_smallChange checks that a change in a large configuration moves few bytes: the pieces that differ and the manifest.
func TestSplit_smallChange(t *testing.T) {
	const count, maxBytes = 5000, 40_000 // Before the pieces are packed.
	before := routes(count, 1)
	tests := []struct {
		desc   string
		change func(list []string) []string
	}{
		{"one replaced", func(list []string) []string { list[2500] = routes(1, 2)[0]; return list }},
		{"one added at the beginning", func(list []string) []string { return slices.Insert(list, 0, routes(1, 2)[0]) }},
		{"one removed", func(list []string) []string { return slices.Delete(list, 4000, 4001) }},
		{"one added at the end", func(list []string) []string { return append(list, routes(1, 2)[0]) }},
	}
	for _, tt := range tests {
		old := []byte(strings.Join(before, ","))
		value := []byte(strings.Join(tt.change(slices.Clone(before)), ","))
		known := piece.Split(old).Index(old)
		m := piece.Split(value)
		index := m.Index(value)
		got := len(m.Addresses) * (len(chunk.Address{}) + 4)
		for a, p := range index {
			if known[a] == nil {
				got += len(p)
			}
		}
		if got > maxBytes {
			t.Errorf("%s: got %d bytes of %d, want at most %d", tt.desc, got, len(value), maxBytes)
		}
	}
}

// TestSplit_boundaries guards against other boundaries than those of earlier releases, with which nodes would share no pieces.
func TestSplit_boundaries(t *testing.T) {
	value := []byte(strings.Join(routes(200, 1), ","))
	if got, want := piece.Split(value).Sizes, []uint32{2178, 7326, 1324, 8670, 1045, 3456}; !slices.Equal(got, want) {
		t.Errorf("got the sizes %v, want %v", got, want)
	}
}

// TestManifest_Check checks that manifests are refused that would make a node use more memory than their sizes say.
func TestManifest_Check(t *testing.T) {
	a, b := chunk.AddressOf([]byte("a")), chunk.AddressOf([]byte("b"))
	tests := []struct {
		desc string
		m    piece.Manifest
		want bool
	}{
		{"none", piece.Manifest{}, true},
		{"one piece twice", piece.Manifest{Addresses: []chunk.Address{a, a}, Sizes: []uint32{5, 5}}, true},
		{"two pieces", piece.Manifest{Addresses: []chunk.Address{a, b}, Sizes: []uint32{5, 16 << 10}}, true},
		{"fewer sizes", piece.Manifest{Addresses: []chunk.Address{a, b}, Sizes: []uint32{5}}, false},
		{"more sizes", piece.Manifest{Addresses: []chunk.Address{a}, Sizes: []uint32{5, 5}}, false},
		{"empty piece", piece.Manifest{Addresses: []chunk.Address{a}, Sizes: []uint32{0}}, false},
		{"long piece", piece.Manifest{Addresses: []chunk.Address{a}, Sizes: []uint32{16<<10 + 1}}, false},
		{"one piece of two sizes", piece.Manifest{Addresses: []chunk.Address{a, a}, Sizes: []uint32{16 << 10, 1}}, false},
		{"too long together", piece.Manifest{Addresses: slices.Repeat([]chunk.Address{a}, 200), Sizes: slices.Repeat([]uint32{16 << 10}, 200)}, false},
	}
	for _, tt := range tests {
		if err := tt.m.Check(); (err == nil) != tt.want {
			t.Errorf("%s: got %v, want accepted %v", tt.desc, err, tt.want)
		}
	}
}

func FuzzSplitAddresses(f *testing.F) {
	f.Add(piece.JoinAddresses([]chunk.Address{{1}, {2}}))
	f.Add([]byte("x"))
	f.Fuzz(func(t *testing.T, b []byte) {
		list, err := piece.SplitAddresses(b)
		if err == nil && !bytes.Equal(piece.JoinAddresses(list), b) {
			t.Errorf("got %v of %x", list, b)
		}
	})
}
