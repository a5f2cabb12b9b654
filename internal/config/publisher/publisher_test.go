package publisher_test

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"reflect"
	"strings"
	"testing"
	"time"

	"filbertturn.example/filbertturn/internal/config/audit"
	"filbertturn.example/filbertturn/internal/config/diff"
	"filbertturn.example/filbertturn/internal/config/publisher"
	"filbertturn.example/filbertturn/internal/config/set"
	"filbertturn.example/filbertturn/internal/fleet/head"
	"filbertturn.example/filbertturn/internal/platform/reader"
	"filbertturn.example/filbertturn/internal/platform/store"
	standin "filbertturn.example/filbertturn/internal/standin/store"
)

var endpoints = []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:1")}

// direct answers calls of the real client by the real stand-in, without sockets.
type direct struct{ handler http.Handler }

func (d direct) RoundTrip(r *http.Request) (*http.Response, error) {
	w := httptest.NewRecorder()
	d.handler.ServeHTTP(w, r)
	return w.Result(), nil
}

func next(base head.Head, revision uint64, manifest string) head.Head {
	base.Sequence++
	base.Revision, base.Manifest = revision, manifest
	return base
}

// named returns a valid set with customers of the names.
func named(customers ...string) set.Set {
	s := set.Set{Limits: []set.Limit{{Name: "small", Rate: 1, Burst: 1}}}
	for _, c := range customers {
		s.Customers = append(s.Customers, set.Customer{Name: c, Limit: "small"})
	}
	return s
}

func request(base uint64, id string, customers ...string) publisher.Request {
	return publisher.Request{
		Set: named(customers...), Base: base, PublishID: id, Operator: "amel", Time: time.Unix(1, 0).UTC(),
	}
}

func fixture() (*publisher.Publisher, *standin.Store) {
	s := &standin.Store{}
	client := &store.Client{Endpoints: endpoints, Transport: direct{handler: s.Handler()}}
	return &publisher.Publisher{Store: client, Next: next}, s
}

func TestPublisher_Publish(t *testing.T) {
	p, s := fixture()
	ctx := context.Background()
	first, err := p.Publish(ctx, request(0, "one", "a", "b"))
	if err != nil || first.Head.Revision != 1 || first.Head.Sequence != 1 {
		t.Fatalf("got %+v, %v, want revision 1", first, err)
	}
	if _, err := p.Publish(ctx, request(1, "two", "a", "c")); err != nil {
		t.Fatal(err)
	}
	again, err := p.Publish(ctx, request(0, "one", "a", "b"))
	if err != nil || !reflect.DeepEqual(again.Record, first.Record) {
		t.Errorf("got %+v, %v of the repeat, want %+v", again, err, first.Record)
	}

	_, err = p.Publish(ctx, request(1, "three", "d"))
	var conflict *publisher.ConflictError
	want := []diff.Change{
		{Kind: "Customer", Name: "b", Action: diff.Removed}, {Kind: "Customer", Name: "c", Action: diff.Added},
	}
	if !errors.As(err, &conflict) || !reflect.DeepEqual(conflict.Changes, want) || conflict.Current != 2 {
		t.Errorf("got %+v, want a conflict with %v", err, want)
	}
	var reused *publisher.ReusedError
	if _, err := p.Publish(ctx, request(0, "one", "z")); !errors.As(err, &reused) {
		t.Errorf("got %v, want a ReusedError", err)
	}
	var invalid *publisher.InvalidError
	if _, err := p.Publish(ctx, request(2, "four", "no name")); !errors.As(err, &invalid) {
		t.Errorf("got %v, want an InvalidError", err)
	}

	var reverted *publisher.RevertedError
	r := request(2, "five", "a")
	r.Known = head.Head{Sequence: 3, Revision: 3}
	if _, err := p.Publish(ctx, r); !errors.As(err, &reverted) {
		t.Errorf("got %v, want a RevertedError", err)
	}
	items, err := p.Store.List(ctx, audit.Prefix, 10, false)
	if err != nil || len(items) != 2 {
		t.Fatalf("got %d records, %v, want 2", len(items), err)
	}
	got, err := reader.Reader{Store: p.Store}.Set(ctx, again.Head.Manifest)
	if err != nil || !reflect.DeepEqual(got, named("a", "c")) {
		t.Errorf("got set %+v, %v, want a and c", got, err)
	}
	if strings.Contains(string(items[0].Value), "Hash") || s.Revision() == 0 {
		t.Errorf("got record %s, want no hash", items[0].Value)
	}
}
