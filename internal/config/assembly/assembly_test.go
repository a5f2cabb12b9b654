package assembly_test

import (
	"bytes"
	"testing"

	"pgregory.net/rapid"

	_ "filbertturn.example/filbertturn/internal/check/seed"
	"filbertturn.example/filbertturn/internal/config/assembly"
	"filbertturn.example/filbertturn/internal/config/chunk"
	"filbertturn.example/filbertturn/internal/config/piece"
)

// drawValue returns a value of several pieces, some of which may be equal.
func drawValue(t *rapid.T, label string) []byte {
	part := rapid.SliceOfN(rapid.Byte(), 1, 4000).Draw(t, label)
	return bytes.Repeat(part, rapid.IntRange(1, 20).Draw(t, label+" times"))
}

// TestAssembly checks that a value is put together from pieces of an older value and parts that come in any number, of which
// some are wrong; that what came is never asked for again; and that nothing but the value comes out.
func TestAssembly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		old, value := drawValue(t, "old"), drawValue(t, "value")
		if rapid.Bool().Draw(t, "similar") {
			value = append(old[:len(old):len(old)], value...)
		}
		known, m := piece.Split(old).Index(old), piece.Split(value)
		index := m.Index(value)
		a := assembly.New(m, func(address chunk.Address) []byte { return known[address] })
		asked := map[chunk.Address]bool{}
		limit := rapid.IntRange(1, 50_000).Draw(t, "limit")
		for a.MissingCount() > 0 {
			if _, complete := a.Value(); complete {
				t.Fatal("got a value of which pieces are missing")
			}
			missing := a.Missing(limit)
			var content []byte
			count := rapid.IntRange(0, len(missing)).Draw(t, "count")
			for _, address := range missing[:count] {
				if known[address] != nil || asked[address] {
					t.Fatal("got a piece asked for again")
				}
				content = append(content, index[address]...)
				asked[address] = true
			}
			switch rapid.IntRange(0, 4).Draw(t, "fault") {
			case 0: // The next piece has a wrong byte.
				if count < len(missing) {
					wrong := bytes.Clone(index[missing[count]])
					wrong[rapid.IntRange(0, len(wrong)-1).Draw(t, "byte")] ^= 1
					if err := a.Add(missing, append(content, wrong...)); err == nil {
						t.Fatal("got no error of a wrong piece")
					}
					continue
				}
			case 1: // Something follows that was not asked for.
				if count == len(missing) {
					if err := a.Add(missing, append(content, 0)); err == nil {
						t.Fatal("got no error of content behind the last piece")
					}
					continue
				}
			}
			if err := a.Add(missing, content); err != nil {
				t.Fatal(err)
			}
		}
		if got, complete := a.Value(); !complete || !bytes.Equal(got, value) {
			t.Fatalf("got %d bytes, complete %v, want the value of %d", len(got), complete, len(value))
		}
	})
}

// TestNew_otherSize checks that a known piece does not stand in for one that the manifest has with another size.
func TestNew_otherSize(t *testing.T) {
	content := []byte("content")
	m := piece.Manifest{Addresses: []chunk.Address{chunk.AddressOf(content)}, Sizes: []uint32{3}}
	a := assembly.New(m, func(chunk.Address) []byte { return content })
	if got, complete := a.Value(); complete {
		t.Errorf("got the value %q", got)
	}
}
