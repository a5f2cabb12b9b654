package publisher_test

import (
	"context"
	"errors"
	"fmt"
	"iter"
	"maps"
	"reflect"
	"slices"
	"testing"

	"pgregory.net/rapid"

	_ "filbertturn.example/filbertturn/internal/check/seed"
	"filbertturn.example/filbertturn/internal/config/audit"
	"filbertturn.example/filbertturn/internal/config/chunk"
	"filbertturn.example/filbertturn/internal/config/diff"
	"filbertturn.example/filbertturn/internal/config/publisher"
	"filbertturn.example/filbertturn/internal/config/set"
	"filbertturn.example/filbertturn/internal/keyvalue/reader"
	"filbertturn.example/filbertturn/internal/keyvalue/store"
)

var errInjected = errors.New("injected")

// simulation runs concurrent actors against a store with injected faults. Each
// actor is a coroutine that yields before every call to the store, so that rapid
// draws the interleaving.
type simulation struct {
	t             *rapid.T
	healthy       *publisher.Publisher
	storeRevision func() int64 // Returns the revision of the store.
	outage        bool
	delayedWrites []func() // Writes that were reported as ambiguous and are applied later.

	sent           map[string]publisher.Request // Requests by PublishID.
	published      map[string]audit.Record      // Records that successful requests returned, by PublishID.
	outcomeUnknown map[string]bool              // PublishIDs whose outcome was unknown.
	conflicted     map[string]bool              // PublishIDs that got a conflict and so must never take effect.
	rejected       map[string]bool              // PublishIDs whose requests all failed without effect.
}

// faultyStore is one actor's connection to the store.
type faultyStore struct {
	publisher.Store
	w       *simulation
	yield   func(struct{}) bool
	stopped bool
}

// yieldToScheduler suspends the actor until it is scheduled again. It returns an
// error during an outage and after the end of the simulation.
func (f *faultyStore) yieldToScheduler() error {
	f.stopped = f.stopped || !f.yield(struct{}{})
	if f.stopped || f.w.outage {
		return &store.UnavailableError{Err: errInjected}
	}
	return nil
}

// Get yields except for chunks, which are read by several goroutines.
func (f *faultyStore) Get(ctx context.Context, key string) (store.Item, bool, error) {
	if key == reader.HeadKey || len(key) == len(audit.Key(0)) {
		if err := f.yieldToScheduler(); err != nil {
			return store.Item{}, false, err
		}
	}
	return f.Store.Get(ctx, key)
}

func (f *faultyStore) Keys(ctx context.Context, prefix, after string, limit int) ([]store.Item, error) {
	if err := f.yieldToScheduler(); err != nil {
		return nil, err
	}
	return f.Store.Keys(ctx, prefix, after, limit)
}

func (f *faultyStore) List(ctx context.Context, prefix string, limit int, descending bool) ([]store.Item, error) {
	if err := f.yieldToScheduler(); err != nil {
		return nil, err
	}
	return f.Store.List(ctx, prefix, limit, descending)
}

func (f *faultyStore) Commit(_ context.Context, when store.Compare, puts []store.Put) error {
	return f.write(func() error { return f.Store.Commit(context.Background(), when, puts) })
}

func (f *faultyStore) Put(_ context.Context, puts []store.Put) error {
	return f.write(func() error { return f.Store.Put(context.Background(), puts) })
}

func (f *faultyStore) Delete(_ context.Context, when store.Compare) error {
	return f.write(func() error { return f.Store.Delete(context.Background(), when) })
}

// write applies a write, or injects a fault that rapid draws.
func (f *faultyStore) write(apply func() error) error {
	if err := f.yieldToScheduler(); err != nil {
		return err
	}
	switch rapid.SampledFrom([]string{"ok", "ok", "ok", "ok", "refused", "answer lost", "request lost", "late"}).Draw(f.w.t, "write") {
	case "refused":
		return &store.UnavailableError{Err: errInjected}
	case "answer lost":
		_ = apply()
		return &store.AmbiguousError{Err: errInjected}
	case "request lost":
		return &store.AmbiguousError{Err: errInjected}
	case "late":
		f.w.delayedWrites = append(f.w.delayedWrites, func() { _ = apply() })
		return &store.AmbiguousError{Err: errInjected}
	}
	return apply()
}

// runOperator publishes repeatedly on the newest revision that it knows, and retries
// a request whose outcome is unknown.
func (w *simulation) runOperator(name string, p *publisher.Publisher) {
	base := uint64(0)
	for n := range 4 {
		id := fmt.Sprintf("%s-%d", name, n)
		r := request(base, id, rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c"}), 0, 3, rapid.ID).Draw(w.t, id)...)
		w.sent[id] = r
		for range 3 {
			got, err := p.Publish(context.Background(), r)
			if done := w.recordOutcome(id, got, err); done {
				break
			}
		}
		if h, _, err := (reader.Reader{Store: w.healthy.Store}).Head(context.Background()); err == nil {
			base = h.Revision
		}
	}
}

// recordOutcome records the outcome of a publish for checkAuditTrail. It returns
// whether the operator goes on to its next request, rather than retry this one.
func (w *simulation) recordOutcome(id string, got publisher.Result, err error) bool {
	var (
		conflict *publisher.ConflictError
		unknown  *publisher.UnknownOutcomeError
		not      *publisher.NotPublishedError
	)
	switch {
	case err == nil:
		if before, again := w.published[id]; again && !reflect.DeepEqual(before, got.Record) {
			w.t.Fatalf("got %+v from a retry, want %+v", got.Record, before)
		}
		w.published[id] = got.Record
		return rapid.Bool().Draw(w.t, "repeats no success")
	case errors.As(err, &conflict):
		w.conflicted[id] = true
		return true
	case errors.As(err, &unknown):
		w.outcomeUnknown[id] = true
	case errors.As(err, &not):
		w.rejected[id] = !w.outcomeUnknown[id] && w.published[id].To == 0
		return w.rejected[id]
	default:
		w.t.Fatalf("got error %v of %s", err, id)
	}
	return false
}

// runRetrier retries requests of the operators at any time through another
// publisher.
func (w *simulation) runRetrier(p *publisher.Publisher) {
	for range 4 {
		ids := slices.Sorted(maps.Keys(w.sent))
		if len(ids) == 0 {
			_, _, _ = (reader.Reader{Store: p.Store}).Head(context.Background())
			continue
		}
		id := rapid.SampledFrom(ids).Draw(w.t, "repeated")
		w.outcomeUnknown[id] = true // Its operator does not know of the retry.
		delete(w.rejected, id)
		got, err := p.Publish(context.Background(), w.sent[id])
		var conflict *publisher.ConflictError
		if err == nil || errors.As(err, &conflict) {
			w.recordOutcome(id, got, err)
		}
	}
}

// runRosterUpdates changes the head but not its revision, as membership changes do.
func (w *simulation) runRosterUpdates(s publisher.Store) {
	for range 4 {
		h, at, err := (reader.Reader{Store: s}).Head(context.Background())
		if err != nil {
			continue
		}
		h.Sequence++
		h.Epoch++
		value, _ := reader.EncodeHead(h)
		_ = s.Commit(context.Background(), store.Compare{Key: reader.HeadKey, Revision: at}, []store.Put{{Key: reader.HeadKey, Value: value}})
	}
}

// run resumes the actors in the drawn order until all have returned, and applies
// delayed writes at drawn times.
func (w *simulation) run() {
	actors := []func(*publisher.Publisher){
		func(p *publisher.Publisher) { w.runOperator("amel", p) },
		func(p *publisher.Publisher) { w.runOperator("brahim", p) },
		w.runRetrier,
		func(p *publisher.Publisher) { w.runRosterUpdates(p.Store) },
		func(p *publisher.Publisher) {
			for range 4 {
				_, _ = p.CollectGarbage(context.Background())
			}
		},
	}
	var resumes []func() (struct{}, bool)
	for _, actor := range actors {
		advance, stop := iter.Pull(func(yield func(struct{}) bool) {
			actor(&publisher.Publisher{Store: &faultyStore{Store: w.healthy.Store, w: w, yield: yield}, Next: nextHead, RetainedRevisions: 2})
		})
		defer stop()
		resumes = append(resumes, advance)
	}
	before := uint64(0)
	for len(resumes) > 0 {
		i := rapid.IntRange(0, len(resumes)-1).Draw(w.t, "actor")
		w.outage = rapid.IntRange(0, 9).Draw(w.t, "outage") == 0
		if len(w.delayedWrites) > 0 && rapid.IntRange(0, 2).Draw(w.t, "late") == 0 {
			n := rapid.IntRange(0, len(w.delayedWrites)-1).Draw(w.t, "which")
			w.delayedWrites[n]()
			before = w.checkHead(before)
			w.delayedWrites = append(w.delayedWrites[:n], w.delayedWrites[n+1:]...)
		}
		at := w.storeRevision()
		if _, more := resumes[i](); !more {
			resumes = append(resumes[:i], resumes[i+1:]...)
		}
		if at != w.storeRevision() {
			before = w.checkHead(before)
		}
	}
	for _, apply := range w.delayedWrites {
		apply()
		before = w.checkHead(before)
	}
	w.checkHead(before - min(before, 1)) // Reads the set again: CollectGarbage may have run since the last change.
}

// checkHead checks that the revision neither decreases nor skips a number, and that
// the current set can be read completely. It returns the revision.
func (w *simulation) checkHead(before uint64) uint64 {
	h, _, err := (reader.Reader{Store: w.healthy.Store}).Head(context.Background())
	if err != nil || h.Revision != before && h.Revision != before+1 {
		w.t.Fatalf("got revision %d after %d, %v", h.Revision, before, err)
	}
	if h.Revision == before {
		return before
	}
	if _, err := (reader.Reader{Store: w.healthy.Store}).Set(context.Background(), h.Manifest); err != nil {
		w.t.Fatalf("got error %v of the set of revision %d", err, h.Revision)
	}
	return h.Revision
}

// checkAuditTrail checks the audit trail against the outcomes that the operators
// got.
func (w *simulation) checkAuditTrail() {
	records, err := w.healthy.Audit(context.Background(), audit.MaxRecords)
	h, _, errHead := (reader.Reader{Store: w.healthy.Store}).Head(context.Background())
	if err := errors.Join(err, errHead); err != nil || uint64(len(records)) != h.Revision {
		w.t.Fatalf("got %d records of %d revisions, %v", len(records), h.Revision, err)
	}
	published := map[string]audit.Record{}
	var older set.Set
	for i := len(records) - 1; i >= 0; i-- {
		r := records[i]
		sent := w.sent[r.PublishID]
		if _, twice := published[r.PublishID]; twice || w.conflicted[r.PublishID] || w.rejected[r.PublishID] {
			w.t.Fatalf("got revision %d of %s, which was published before or said to be refused", r.To, r.PublishID)
		}
		published[r.PublishID] = r
		m, _ := chunk.Split(sent.Set)
		if _, a := m.Encode(); r.From != sent.Base || r.To != sent.Base+1 || r.Manifest != a.String() {
			w.t.Fatalf("got record %+v, want that of %+v", r, sent)
		}
		if want := diff.Diff(older, sent.Set); len(want)+len(r.Changes) > 0 && !reflect.DeepEqual(r.Changes, want) {
			w.t.Fatalf("got changes %v of revision %d, want %v", r.Changes, r.To, want)
		}
		older = sent.Set
	}
	for id, record := range w.published {
		if !reflect.DeepEqual(published[id], record) {
			w.t.Fatalf("got record %+v of %s, want %+v", published[id], id, record)
		}
	}
}

// TestPublisher_Publish_races guards against lost, duplicated and misreported
// publishes when publishers, roster updates and garbage collection race on a store
// that loses, delays or refuses writes.
func TestPublisher_Publish_races(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p, s := newPublisher()
		w := &simulation{
			t: t, healthy: p, storeRevision: s.Revision, sent: map[string]publisher.Request{}, published: map[string]audit.Record{},
			outcomeUnknown: map[string]bool{}, conflicted: map[string]bool{}, rejected: map[string]bool{},
		}
		w.run()
		w.checkAuditTrail()
	})
}
