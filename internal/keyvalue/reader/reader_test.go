package reader_test

import (
	"context"
	"errors"
	"net/netip"
	"reflect"
	"testing"

	"filbertturn.example/filbertturn/internal/config/chunk"
	"filbertturn.example/filbertturn/internal/config/sample"
	"filbertturn.example/filbertturn/internal/fleet/head"
	"filbertturn.example/filbertturn/internal/fleet/member"
	"filbertturn.example/filbertturn/internal/keyvalue/reader"
	"filbertturn.example/filbertturn/internal/keyvalue/store"
)

// fakeStore is a store whose reads always succeed, but that may lack keys.
type fakeStore map[string]store.Item

func (f fakeStore) Get(_ context.Context, key string) (store.Item, bool, error) {
	i, found := f[key]
	return i, found, nil
}

// TestReader_Set checks the set of a manifest, and the error for each way in which
// the store's content can be missing or invalid.
func TestReader_Set(t *testing.T) {
	want := sample.Sized(300, 20).Canonical()
	m, contents := chunk.Split(want)
	content, address := m.Encode()
	s := fakeStore{reader.ChunkKey(address): {Value: content}}
	for a, c := range contents {
		s[reader.ChunkKey(a)] = store.Item{Value: c}
	}
	ctx, r := context.Background(), reader.Reader{Store: s}
	if got, err := r.Set(ctx, address.String()); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("got another set, %v", err)
	}
	if got, err := r.Set(ctx, ""); err != nil || len(got.Customers) > 0 {
		t.Errorf("got %v, %v, want the empty set", got, err)
	}
	var missing *reader.MissingChunkError
	delete(s, reader.ChunkKey(m.Limits))
	if _, err := r.Set(ctx, address.String()); !errors.As(err, &missing) || missing.Address != m.Limits {
		t.Errorf("got %v, want a MissingChunkError of %s", err, m.Limits)
	}
	var wrong *chunk.ContentError
	s[reader.ChunkKey(m.Limits)] = store.Item{Value: []byte("[]")}
	if _, err := r.Set(ctx, address.String()); !errors.As(err, &wrong) {
		t.Errorf("got %v, want a ContentError", err)
	}
	var bad *chunk.AddressError
	if _, err := r.Set(ctx, "?"); !errors.As(err, &bad) {
		t.Errorf("got %v, want an AddressError", err)
	}
	if h, at, err := r.Head(ctx); err != nil || h.Sequence != 0 || at != 0 {
		t.Errorf("got %+v at %d, %v, want no head", h, at, err)
	}
}

func FuzzDecodeHead(f *testing.F) {
	m := member.Member{Address: netip.MustParseAddrPort("127.0.0.1:9000"), Incarnation: 5, DataCentre: "a"}
	value, err := reader.EncodeHead(head.Head{Sequence: 3, Revision: 2, Manifest: "x", Roster: []member.Member{m}, Pending: [][]member.Member{{m}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(value)
	f.Add([]byte(`{"Sequence":0}`))
	f.Add([]byte(`{"Sequence":1,"Roster":[{"Address":"nowhere"}]}`))
	f.Fuzz(func(t *testing.T, value []byte) {
		want, err := reader.DecodeHead(value)
		if err != nil {
			return
		}
		again, err := reader.EncodeHead(want)
		if err != nil {
			t.Fatal(err)
		}
		if got, err := reader.DecodeHead(again); err != nil || !reflect.DeepEqual(got, want) {
			t.Fatalf("got %+v, %v, want %+v", got, err, want)
		}
	})
}
