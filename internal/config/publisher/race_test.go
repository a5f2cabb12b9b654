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

// world is a store with faults that several actors race on. Each actor runs as
// a coroutine that stops before every call, so that the schedule is drawn.
type world struct {
	t      *rapid.T
	direct *publisher.Publisher
	at     func() int64 // Revision of the store.
	outage bool
	late   []func() // Writes that are still under way though nobody waits for them.

	sent    map[string]publisher.Request
	won     map[string]audit.Record
	unknown map[string]bool // Publish identifiers with an outcome that was not known.
	denied  map[string]bool // Publish identifiers that met a conflict, for ever without effect.
	refused map[string]bool // Publish identifiers whose requests all had no effect.
}

// faulty is one actor's view of the store.
type faulty struct {
	publisher.Store
	w       *world
	yield   func(struct{}) bool
	stopped bool
}

func (f *faulty) pause() error {
	f.stopped = f.stopped || !f.yield(struct{}{})
	if f.stopped || f.w.outage {
		return &store.UnavailableError{Err: errInjected}
	}
	return nil
}

// Get stops for all but chunks, which are read from several goroutines.
func (f *faulty) Get(ctx context.Context, key string) (store.Item, bool, error) {
	if key == reader.HeadKey || len(key) == len(audit.Key(0)) {
		if err := f.pause(); err != nil {
			return store.Item{}, false, err
		}
	}
	return f.Store.Get(ctx, key)
}

func (f *faulty) Keys(ctx context.Context, prefix, after string, limit int) ([]store.Item, error) {
	if err := f.pause(); err != nil {
		return nil, err
	}
	return f.Store.Keys(ctx, prefix, after, limit)
}

func (f *faulty) List(ctx context.Context, prefix string, limit int, descending bool) ([]store.Item, error) {
	if err := f.pause(); err != nil {
		return nil, err
	}
	return f.Store.List(ctx, prefix, limit, descending)
}

func (f *faulty) Commit(_ context.Context, when store.Compare, puts []store.Put) error {
	return f.write(func() error { return f.Store.Commit(context.Background(), when, puts) })
}

func (f *faulty) Put(_ context.Context, puts []store.Put) error {
	return f.write(func() error { return f.Store.Put(context.Background(), puts) })
}

func (f *faulty) Delete(_ context.Context, when store.Compare) error {
	return f.write(func() error { return f.Store.Delete(context.Background(), when) })
}

func (f *faulty) write(apply func() error) error {
	if err := f.pause(); err != nil {
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
		f.w.late = append(f.w.late, func() { _ = apply() })
		return &store.AmbiguousError{Err: errInjected}
	}
	return apply()
}

// operator publishes again and again on the newest revision that it knows, and
// repeats a request whose outcome it does not know.
func (w *world) operator(name string, p *publisher.Publisher) {
	base := uint64(0)
	for n := range 4 {
		id := fmt.Sprintf("%s-%d", name, n)
		r := request(base, id, rapid.SliceOfNDistinct(rapid.SampledFrom([]string{"a", "b", "c"}), 0, 3, rapid.ID).Draw(w.t, id)...)
		w.sent[id] = r
		for range 3 {
			got, err := p.Publish(context.Background(), r)
			if done := w.note(id, got, err); done {
				break
			}
		}
		if h, _, err := (reader.Reader{Store: w.direct.Store}).Head(context.Background()); err == nil {
			base = h.Revision
		}
	}
}

func (w *world) note(id string, got publisher.Result, err error) bool {
	var (
		conflict *publisher.ConflictError
		unknown  *publisher.UnknownError
		not      *publisher.NotPublishedError
	)
	switch {
	case err == nil:
		if before, again := w.won[id]; again && !reflect.DeepEqual(before, got.Record) {
			w.t.Fatalf("got %+v of a repeat, want %+v", got.Record, before)
		}
		w.won[id] = got.Record
		return rapid.Bool().Draw(w.t, "repeats no success")
	case errors.As(err, &conflict):
		w.denied[id] = true
		return true
	case errors.As(err, &unknown):
		w.unknown[id] = true
	case errors.As(err, &not):
		w.refused[id] = !w.unknown[id] && w.won[id].To == 0
		return w.refused[id]
	default:
		w.t.Fatalf("got error %v of %s", err, id)
	}
	return false
}

// repeater sends requests of the operators again, through another process and
// at any time.
func (w *world) repeater(p *publisher.Publisher) {
	for range 4 {
		ids := slices.Sorted(maps.Keys(w.sent))
		if len(ids) == 0 {
			_, _, _ = (reader.Reader{Store: p.Store}).Head(context.Background())
			continue
		}
		id := rapid.SampledFrom(ids).Draw(w.t, "repeated")
		w.unknown[id] = true // Its operator does not know of the repeat.
		delete(w.refused, id)
		got, err := p.Publish(context.Background(), w.sent[id])
		var conflict *publisher.ConflictError
		if err == nil || errors.As(err, &conflict) {
			w.note(id, got, err)
		}
	}
}

// roster changes the head without its revision, as other packages do.
func (w *world) roster(s publisher.Store) {
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

func (w *world) run() {
	actors := []func(*publisher.Publisher){
		func(p *publisher.Publisher) { w.operator("amel", p) },
		func(p *publisher.Publisher) { w.operator("brahim", p) },
		w.repeater,
		func(p *publisher.Publisher) { w.roster(p.Store) },
		func(p *publisher.Publisher) {
			for range 4 {
				_, _ = p.Collect(context.Background())
			}
		},
	}
	var nexts []func() (struct{}, bool)
	for _, actor := range actors {
		advance, stop := iter.Pull(func(yield func(struct{}) bool) {
			actor(&publisher.Publisher{Store: &faulty{Store: w.direct.Store, w: w, yield: yield}, Next: next, Kept: 2})
		})
		defer stop()
		nexts = append(nexts, advance)
	}
	before := uint64(0)
	for len(nexts) > 0 {
		i := rapid.IntRange(0, len(nexts)-1).Draw(w.t, "actor")
		w.outage = rapid.IntRange(0, 9).Draw(w.t, "outage") == 0
		if len(w.late) > 0 && rapid.IntRange(0, 2).Draw(w.t, "late") == 0 {
			n := rapid.IntRange(0, len(w.late)-1).Draw(w.t, "which")
			w.late[n]()
			before = w.observe(before)
			w.late = append(w.late[:n], w.late[n+1:]...)
		}
		at := w.at()
		if _, more := nexts[i](); !more {
			nexts = append(nexts[:i], nexts[i+1:]...)
		}
		if at != w.at() {
			before = w.observe(before)
		}
	}
	for _, apply := range w.late {
		apply()
		before = w.observe(before)
	}
	w.observe(before - min(before, 1)) // Collect may have run since the last change.
}

// observe checks that the revision neither reverts nor skips, and that the
// current set can be read whole.
func (w *world) observe(before uint64) uint64 {
	h, _, err := (reader.Reader{Store: w.direct.Store}).Head(context.Background())
	if err != nil || h.Revision != before && h.Revision != before+1 {
		w.t.Fatalf("got revision %d after %d, %v", h.Revision, before, err)
	}
	if h.Revision == before {
		return before
	}
	if _, err := (reader.Reader{Store: w.direct.Store}).Set(context.Background(), h.Manifest); err != nil {
		w.t.Fatalf("got error %v of the set of revision %d", err, h.Revision)
	}
	return h.Revision
}

// check compares the audit trail with what the operators were told.
func (w *world) check() {
	records, err := w.direct.Audit(context.Background(), audit.Kept)
	h, _, errHead := (reader.Reader{Store: w.direct.Store}).Head(context.Background())
	if err := errors.Join(err, errHead); err != nil || uint64(len(records)) != h.Revision {
		w.t.Fatalf("got %d records of %d revisions, %v", len(records), h.Revision, err)
	}
	published := map[string]audit.Record{}
	var older set.Set
	for i := len(records) - 1; i >= 0; i-- {
		r := records[i]
		sent := w.sent[r.PublishID]
		if _, twice := published[r.PublishID]; twice || w.denied[r.PublishID] || w.refused[r.PublishID] {
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
	for id, record := range w.won {
		if !reflect.DeepEqual(published[id], record) {
			w.t.Fatalf("got record %+v of %s, want %+v", published[id], id, record)
		}
	}
}

func TestPublisher_Publish_races(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p, s := fixture()
		w := &world{
			t: t, direct: p, at: s.Revision, sent: map[string]publisher.Request{}, won: map[string]audit.Record{},
			unknown: map[string]bool{}, denied: map[string]bool{}, refused: map[string]bool{},
		}
		w.run()
		w.check()
	})
}
