package publisher_test

import (
	"context"
	"errors"
	"fmt"
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
	"filbertturn.example/filbertturn/internal/keyvalue/reader"
	"filbertturn.example/filbertturn/internal/keyvalue/store"
	standin "filbertturn.example/filbertturn/internal/standin/store"
)

var endpoints = []netip.AddrPort{netip.MustParseAddrPort("127.0.0.1:1")}

// handlerTransport passes the requests of the real client to the store's stand-in
// without sockets.
type handlerTransport struct{ handler http.Handler }

func (d handlerTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	w := httptest.NewRecorder()
	d.handler.ServeHTTP(w, r)
	return w.Result(), nil
}

func nextHead(base head.Head, revision uint64, manifest string) head.Head {
	base.Sequence++
	base.Revision, base.Manifest = revision, manifest
	return base
}

// setWithCustomers returns a valid set with the named customers.
func setWithCustomers(customers ...string) set.Set {
	s := set.Set{Limits: []set.Limit{{Name: "small", Rate: 1, Burst: 1}}}
	for _, c := range customers {
		s.Customers = append(s.Customers, set.Customer{Name: c, Limit: "small"})
	}
	return s
}

func request(base uint64, id string, customers ...string) publisher.Request {
	return publisher.Request{
		Set: setWithCustomers(customers...), Base: base, PublishID: id, Operator: "amel", Time: time.Unix(1, 0).UTC(),
	}
}

func newPublisher() (*publisher.Publisher, *standin.Store) {
	s := &standin.Store{}
	client := &store.Client{Endpoints: endpoints, Transport: handlerTransport{handler: s.Handler()}}
	return &publisher.Publisher{Store: client, Next: nextHead}, s
}

func TestPublisher_Publish(t *testing.T) {
	p, s := newPublisher()
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
		t.Errorf("got %+v, %v from the retry, want %+v", again, err, first.Record)
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
	if err != nil || !reflect.DeepEqual(got, setWithCustomers("a", "c")) {
		t.Errorf("got set %+v, %v, want a and c", got, err)
	}
	if strings.Contains(string(items[0].Value), "Hash") || s.Revision() == 0 {
		t.Errorf("got record %s, want no hash", items[0].Value)
	}
}

// TestPublisher_Reinstate guards against publishing onto a store that was restored
// from a backup: a request with a newer known head is rejected until that head is
// reinstated with its chunks.
func TestPublisher_Reinstate(t *testing.T) {
	p, s := newPublisher()
	ctx := context.Background()
	if _, err := p.Publish(ctx, request(0, "one", "a")); err != nil {
		t.Fatal(err)
	}
	backup := s.Revision()
	for i, customers := range [][]string{{"a", "b"}, {"b", "c"}} {
		if _, err := p.Publish(ctx, request(uint64(i+1), customers[0], customers...)); err != nil {
			t.Fatal(err)
		}
	}
	known, _, err := reader.Reader{Store: p.Store}.Head(ctx)
	if err != nil {
		t.Fatal(err)
	}
	if err := s.Restore(backup); err != nil {
		t.Fatal(err)
	}
	r := request(3, "four", "d")
	r.Known = known
	var reverted *publisher.RevertedError
	if _, err := p.Publish(ctx, r); !errors.As(err, &reverted) {
		t.Fatalf("got %v, want a RevertedError", err)
	}

	again := publisher.Reinstatement{Known: known, Set: setWithCustomers("a"), Operator: "amel", Time: time.Unix(2, 0).UTC()}
	var bad *publisher.RequestError
	if err := p.Reinstate(ctx, again); !errors.As(err, &bad) {
		t.Errorf("got %v of another set, want a RequestError", err)
	}
	again.Set = setWithCustomers("b", "c")
	s.Fail(standin.Fault{LoseNext: 2}) // The responses to the writes of the chunks and of the head.
	for range 2 {
		if err := p.Reinstate(ctx, again); err != nil {
			t.Fatal(err)
		}
	}
	h, _, err := reader.Reader{Store: p.Store}.Head(ctx)
	if err != nil || !reflect.DeepEqual(h, known) {
		t.Errorf("got head %+v, %v, want %+v", h, err, known)
	}
	if got, err := p.Publish(ctx, r); err != nil || got.Head.Revision != 4 {
		t.Errorf("got %+v, %v, want revision 4", got, err)
	}
	records, err := p.Audit(ctx, 10)
	if err != nil || len(records) != 3 || records[1].From != 1 || records[1].To != 3 {
		t.Errorf("got %+v, %v, want records of revisions 4, 3 and 1", records, err)
	}
}

// TestPublisher_Reinstate_headAdvanced covers a head that advanced after the restore,
// by a roster change or by a different publish of the same revision. Reinstating
// must lose neither the later revision nor the audit trail.
func TestPublisher_Reinstate_headAdvanced(t *testing.T) {
	p, s := newPublisher()
	ctx := context.Background()
	first, err := p.Publish(ctx, request(0, "one", "a"))
	if err != nil {
		t.Fatal(err)
	}
	backup := s.Revision()
	second, err := p.Publish(ctx, request(1, "two", "b"))
	if err != nil {
		t.Fatal(err)
	}
	if err := s.Restore(backup); err != nil {
		t.Fatal(err)
	}
	h, at, err := reader.Reader{Store: p.Store}.Head(ctx)
	if err != nil {
		t.Fatal(err)
	}
	h.Sequence += 5
	value, _ := reader.EncodeHead(h)
	if err := p.Store.Commit(ctx, store.Compare{Key: reader.HeadKey, Revision: at}, []store.Put{{Key: reader.HeadKey, Value: value}}); err != nil {
		t.Fatal(err)
	}
	moved := s.Revision()

	r := publisher.Reinstatement{Known: second.Head, Set: setWithCustomers("b"), Operator: "amel", Time: time.Unix(2, 0).UTC()}
	if err := p.Reinstate(ctx, r); err != nil {
		t.Fatal(err)
	}
	got, _, err := reader.Reader{Store: p.Store}.Head(ctx)
	if err != nil || got.Sequence != 7 || got.Revision != 2 || got.Manifest != second.Head.Manifest {
		t.Errorf("got head %+v, %v, want head 7 with revision 2", got, err)
	}

	// A known head of the same revision or an earlier one, with a later roster,
	// overwrites neither the later revision nor the audit trail.
	r.Known.Sequence = 20
	for range 2 {
		err = errors.Join(err, p.Reinstate(ctx, r))
	}
	r.Known, r.Set = head.Head{Sequence: 30, Revision: 1, Manifest: first.Head.Manifest}, setWithCustomers("a")
	err = errors.Join(err, p.Reinstate(ctx, r))
	got, _, errHead := reader.Reader{Store: p.Store}.Head(ctx)
	records, errAudit := p.Audit(ctx, 10)
	if err := errors.Join(err, errHead, errAudit); err != nil || got.Sequence != 31 || got.Revision != 2 || len(records) != 2 || records[0].From != 1 {
		t.Errorf("got head %+v and %+v, %v, want head 31 with revision 2", got, records, err)
	}

	if err := s.Restore(moved); err != nil {
		t.Fatal(err)
	}
	r.Known, r.Set = second.Head, setWithCustomers("b")
	if _, err := p.Publish(ctx, request(1, "other", "c")); err != nil {
		t.Fatal(err)
	}
	var reverted *publisher.RevertedError
	if err := p.Reinstate(ctx, r); !errors.As(err, &reverted) {
		t.Errorf("got %v, want a RevertedError", err)
	}
	next := request(2, "three", "d")
	next.Known = second.Head
	if _, err := p.Publish(ctx, next); !errors.As(err, &reverted) {
		t.Errorf("got %v, want a RevertedError", err)
	}
}

// TestPublisher_CollectGarbage guards against deleting a chunk that a retained revision
// references, and against retaining chunks that none references.
func TestPublisher_CollectGarbage(t *testing.T) {
	p, _ := newPublisher()
	p.RetainedRevisions = 2
	ctx := context.Background()
	for i, name := range []string{"a", "b", "c", "a", "d"} {
		if _, err := p.Publish(ctx, request(uint64(i), name+fmt.Sprint(i), name)); err != nil {
			t.Fatal(err)
		}
	}
	chunks := func() int {
		items, err := p.Store.Keys(ctx, reader.ChunkPrefix, "", 100)
		if err != nil {
			t.Fatal(err)
		}
		return len(items)
	}
	// Each of the four distinct sets has a manifest and a chunk for its customer;
	// all share the chunk of the limit.
	if got := chunks(); got != 9 {
		t.Fatalf("got %d chunks, want 9", got)
	}
	if deleted, err := p.CollectGarbage(ctx); err != nil || deleted != 4 || chunks() != 5 {
		t.Errorf("got %d deleted, %v, and %d chunks, want 4 and 5", deleted, err, chunks())
	}
	if deleted, err := p.CollectGarbage(ctx); err != nil || deleted != 0 {
		t.Errorf("got %d deleted again, %v, want none", deleted, err)
	}
	for base := uint64(5); base < 50; base++ {
		if _, err := p.Publish(ctx, request(base, fmt.Sprint(base), fmt.Sprint("customer", base))); err != nil {
			t.Fatal(err)
		}
	}
	if got := chunks(); got != 5 {
		t.Errorf("got %d chunks after 50 revisions, want 5", got)
	}
}

// TestPublisher_Publish_auditRetention checks that each publish above the bound of
// the audit trail deletes the oldest record.
func TestPublisher_Publish_auditRetention(t *testing.T) {
	p, _ := newPublisher()
	ctx := context.Background()
	// The audit trail is at its bound, with a matching head.
	h := head.Head{Sequence: audit.MaxRecords, Revision: audit.MaxRecords}
	value, err := reader.EncodeHead(h)
	if err != nil {
		t.Fatal(err)
	}
	puts := []store.Put{{Key: reader.HeadKey, Value: value}}
	for revision := uint64(1); revision <= 3; revision++ {
		puts = append(puts, store.Put{Key: audit.Key(revision), Value: audit.Record{To: revision}.Encode()})
	}
	if err := p.Store.Put(ctx, puts); err != nil {
		t.Fatal(err)
	}
	if _, err := p.Publish(ctx, request(audit.MaxRecords, "one", "a")); err != nil {
		t.Fatal(err)
	}
	for _, limit := range []int{1, 2, 3, 9} {
		records, err := p.Audit(ctx, limit)
		if err != nil || len(records) != min(limit, 3) || records[0].To != audit.MaxRecords+1 {
			t.Errorf("got %v, %v, want %d records", records, err, min(limit, 3))
		}
	}
	items, err := p.Store.Keys(ctx, audit.Prefix, "", 10)
	if err != nil || len(items) != 3 || items[0].Key != audit.Key(2) {
		t.Errorf("got %v, %v, want the records of 2, 3 and %d", items, err, audit.MaxRecords+1)
	}
}
