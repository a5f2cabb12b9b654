package chunk_test

import (
	"encoding/json"
	"errors"
	"reflect"
	"slices"
	"testing"

	"pgregory.net/rapid"

	_ "filbertturn.example/filbertturn/internal/check/seed"
	"filbertturn.example/filbertturn/internal/config/chunk"
	"filbertturn.example/filbertturn/internal/config/sample"
	"filbertturn.example/filbertturn/internal/config/set"
)

// getFrom returns a getter of the chunks that Split returned.
func getFrom(chunks map[chunk.Address][]byte) func(chunk.Address) ([]byte, error) {
	return func(a chunk.Address) ([]byte, error) { return chunks[a], nil }
}

// TestJoin guards against sets that do not survive Split and Join, and against
// corrupted or swapped chunks that Join accepts.
func TestJoin(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := sample.Draw(t)
		shuffled := want
		shuffled.Keys = slices.Clone(want.Keys)
		slices.Reverse(shuffled.Keys)
		manifest, chunks := chunk.Split(shuffled)
		content, address := manifest.Encode()
		m, err := chunk.Decode(content, address)
		if err != nil {
			t.Fatal(err)
		}
		got, err := chunk.Join(m, getFrom(chunks))
		if err != nil || !reflect.DeepEqual(got, want) {
			t.Fatalf("got %+v, %v, want %+v", got, err, want)
		}

		// A chunk or manifest with a flipped bit is rejected.
		if len(chunks) == 0 {
			return
		}
		a := rapid.SampledFrom(m.Addresses()).Draw(t, "chunk")
		bad := slices.Clone(chunks[a])
		bad[rapid.IntRange(0, len(bad)-1).Draw(t, "byte")] ^= 1
		var wrong *chunk.ContentError
		_, err = chunk.Join(m, func(b chunk.Address) ([]byte, error) {
			if a == b {
				return bad, nil
			}
			return chunks[b], nil
		})
		if !errors.As(err, &wrong) || wrong.Address != a {
			t.Fatalf("got %v, want a ContentError of %s", err, a)
		}
		content[len(content)/2] ^= 1
		if _, err := chunk.Decode(content, address); !errors.As(err, &wrong) {
			t.Fatalf("got %v, want a ContentError of the manifest", err)
		}
	})
}

// TestJoin_bucket checks that Join rejects a manifest whose buckets are swapped or
// missing.
func TestJoin_bucket(t *testing.T) {
	m, chunks := chunk.Split(sample.Sized(1, 0))
	i := slices.IndexFunc(m.Keys, func(a chunk.Address) bool { return a != chunk.Address{} })
	m.Keys[i], m.Keys[(i+1)%chunk.Buckets] = m.Keys[(i+1)%chunk.Buckets], m.Keys[i]
	var wrong *chunk.ContentError
	if _, err := chunk.Join(m, getFrom(chunks)); !errors.As(err, &wrong) {
		t.Errorf("got %v, want a ContentError", err)
	}
	m.Keys = m.Keys[:1]
	if _, err := chunk.Join(m, getFrom(chunks)); err == nil {
		t.Error("got no error of a manifest that lacks buckets")
	}
}

// TestUpdate checks that Update converts any set to any other and reads no chunk
// that both manifests reference.
func TestUpdate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := sample.Draw(t), sample.Draw(t)
		from, _ := chunk.Split(a)
		to, chunks := chunk.Split(b)
		got, err := chunk.Update(a, from, to, func(x chunk.Address) ([]byte, error) {
			if slices.Contains(from.Addresses(), x) {
				t.Fatalf("got a read of chunk %s, which both manifests reference", x)
			}
			return chunks[x], nil
		})
		if err != nil || !reflect.DeepEqual(got, b) {
			t.Fatalf("got %+v, %v, want %+v", got, err, b)
		}
	})
}

// TestDiffManifests bounds the data that a small change transfers: the manifest and one
// chunk, or two when a customer and its key are added.
func TestDiffManifests(t *testing.T) {
	before, _ := chunk.Split(sample.Sized(25_000, 1_700))
	tests := []struct {
		desc   string
		change func(s *set.Set)
		chunks int
		bytes  int // Maximum bytes transferred, including the manifest.
	}{
		{"nothing", func(*set.Set) {}, 0, 0},
		{"key withdrawn", func(s *set.Set) { s.Keys = s.Keys[1:] }, 1, 48_000},
		{"customer added", func(s *set.Set) {
			s.Customers = append(s.Customers, set.Customer{Name: "new", Limit: "small"})
			s.Keys = append(s.Keys, set.Key{Name: "new", Customer: "new"})
		}, 2, 56_000},
		{"route changed", func(s *set.Set) { s.Routes[7].Open = true }, 1, 48_000},
		{"limit changed", func(s *set.Set) { s.Limits[0].Burst++ }, 1, 32_000},
	}
	for _, tt := range tests {
		s := sample.Sized(25_000, 1_700)
		tt.change(&s)
		after, contents := chunk.Split(s)
		_, moved := chunk.DiffManifests(before, after)
		manifest, _ := after.Encode()
		got := len(manifest)
		for _, a := range moved.Addresses() {
			got += len(contents[a])
		}
		t.Logf("%s: %d chunks, %d bytes of which %d are the manifest", tt.desc, len(moved.Addresses()), got, len(manifest))
		if len(moved.Addresses()) != tt.chunks || tt.chunks > 0 && got > tt.bytes {
			t.Errorf("%s: got %d chunks and %d bytes, want %d and at most %d", tt.desc, len(moved.Addresses()), got, tt.chunks, tt.bytes)
		}
	}
}

func BenchmarkSplit(b *testing.B) {
	s := sample.Sized(25_000, 1_700)
	for b.Loop() {
		chunk.Split(s)
	}
}

func BenchmarkJoin(b *testing.B) {
	m, chunks := chunk.Split(sample.Sized(25_000, 1_700))
	for b.Loop() {
		if _, err := chunk.Join(m, getFrom(chunks)); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkUpdate(b *testing.B) {
	s := sample.Sized(25_000, 1_700)
	old, _ := chunk.Split(s)
	changed := s
	changed.Keys = s.Keys[1:]
	to, chunks := chunk.Split(changed)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := chunk.Update(s, old, to, getFrom(chunks)); err != nil {
			b.Fatal(err)
		}
	}
}

func FuzzDecode(f *testing.F) {
	m, chunks := chunk.Split(sample.Sized(3, 2))
	content, _ := m.Encode()
	f.Add(content, chunks[m.Limits])
	f.Add([]byte(`{"Routes":["AA"],"Keys":[null]}`), []byte(`[{"Name":1}]`))
	f.Fuzz(func(t *testing.T, manifest, content []byte) {
		m, err := chunk.Decode(manifest, chunk.AddressOf(manifest))
		if err != nil {
			return
		}
		again, a := m.Encode()
		if got, err := chunk.Decode(again, a); err != nil || !reflect.DeepEqual(got.Addresses(), m.Addresses()) {
			t.Fatalf("got %v, %v, want %v", got.Addresses(), err, m.Addresses())
		}
		m.Limits = chunk.AddressOf(content)
		s, err := chunk.Join(m, func(chunk.Address) ([]byte, error) { return content, nil })
		if err != nil {
			return
		}
		if _, err := json.Marshal(s); err != nil {
			t.Fatal(err)
		}
	})
}
