// Package publisher publishes configuration sets through the platform's store.
package publisher

import (
	"context"
	"errors"
	"time"

	"filbertturn.example/filbertturn/internal/config/audit"
	"filbertturn.example/filbertturn/internal/config/check"
	"filbertturn.example/filbertturn/internal/config/chunk"
	"filbertturn.example/filbertturn/internal/config/diff"
	"filbertturn.example/filbertturn/internal/config/set"
	"filbertturn.example/filbertturn/internal/fleet/head"
	"filbertturn.example/filbertturn/internal/keyvalue/gateway"
	"filbertturn.example/filbertturn/internal/keyvalue/reader"
	"filbertturn.example/filbertturn/internal/keyvalue/store"
)

const (
	// callTimeout is the timeout of each call to the store. It leaves time to
	// resolve a commit whose response is lost.
	callTimeout = 2 * time.Second

	maxPutAttempts = 3   // Attempts to write one batch of chunks, which is idempotent.
	maxNameSize    = 128 // Maximum length of a PublishID and of an operator's name, in bytes.
)

// Store is the part of the store's client that a Publisher uses.
type Store interface {
	Get(ctx context.Context, key string) (store.Item, bool, error)
	List(ctx context.Context, prefix string, limit int, descending bool) ([]store.Item, error)
	Keys(ctx context.Context, prefix, after string, limit int) ([]store.Item, error)
	Commit(ctx context.Context, when store.Compare, puts []store.Put) error
	Put(ctx context.Context, puts []store.Put) error
	Delete(ctx context.Context, when store.Compare) error
}

// Next returns the head that follows base with a new revision and manifest. It
// must increment Sequence by one, and may change the roster fields.
type Next func(base head.Head, revision uint64, manifest string) head.Head

// Publisher publishes configuration sets to Store. It holds no state and is safe
// for concurrent use.
type Publisher struct {
	Store Store
	Next  Next // Required by Publish and Reinstate.

	// RetainedRevisions is the number of revisions whose chunks CollectGarbage
	// retains; zero means DefaultRetainedRevisions.
	RetainedRevisions int
}

// Request is a request to publish a set.
type Request struct {
	Set       set.Set
	Base      uint64    // Revision that the set is based on; zero before the first publish.
	PublishID string    // Idempotency key, chosen by the caller; a retry has the same.
	Operator  string    // Name for the audit trail.
	Time      time.Time // Time for the audit trail.
	Known     head.Head // Newest head that the caller knows, or the zero value.
}

// Result is the outcome of a publish that took effect.
type Result struct {
	Record audit.Record // The same for each retry of a request.
	Head   head.Head    // The current head, at this or a later revision.
}

// Publish validates the set and publishes it as revision Base+1. Its errors are
// InvalidError, RequestError, ConflictError, ReusedError, NotPublishedError and
// UnknownOutcomeError; only the last leaves the outcome open. A retry returns the result
// of the first request as long as its audit record is retained.
func (p *Publisher) Publish(ctx context.Context, r Request) (Result, error) {
	if err := p.validate(r); err != nil {
		return Result{}, err
	}
	manifest, contents := chunk.Split(r.Set)
	_, address := manifest.Encode()
	machine := &publishMachine{request: r, manifest: address.String(), next: p.Next}
	var e effect = readHead{}
	for {
		switch x := e.(type) {
		case readHead:
			h, at, err := p.readHead(ctx)
			e = machine.step(headRead{head: h, storeRevision: at, err: err})
		case writeChunks:
			changes, err := p.writeChunks(ctx, x.base.Manifest, manifest, contents)
			e = machine.step(chunksWritten{changes: changes, err: err})
		case commit:
			e = machine.step(committed{err: p.commit(ctx, x)})
		case readRecord:
			e = machine.step(p.readRecord(ctx, x.revision))
		case finish:
			return p.finish(ctx, x)
		}
	}
}

func (p *Publisher) validate(r Request) error {
	switch {
	case p.Next == nil:
		return &RequestError{Field: "Next", Message: "is missing"}
	case r.PublishID == "" || len(r.PublishID) > maxNameSize:
		return &RequestError{Field: "PublishID", Message: "is empty or too long"}
	case r.Operator == "" || len(r.Operator) > maxNameSize:
		return &RequestError{Field: "Operator", Message: "is empty or too long"}
	case r.Time.Year() < 1 || r.Time.Year() > 9999:
		return &RequestError{Field: "Time", Message: "is out of range"}
	}
	if problems := append(check.Check(r.Set), check.PlatformOnlyFields(r.Set)...); len(problems) > 0 {
		return &InvalidError{Problems: problems}
	}
	return nil
}

// finish adds the changes to a conflict and deletes outdated keys after a success.
// Neither affects the outcome.
func (p *Publisher) finish(ctx context.Context, f finish) (Result, error) {
	var conflict *ConflictError
	if errors.As(f.err, &conflict) {
		conflict.Changes = p.changesSince(ctx, conflict)
	}
	if f.err == nil {
		p.afterPublish(ctx, f.result.Record.To)
	}
	return f.result, f.err
}

func (p *Publisher) readHead(ctx context.Context) (head.Head, int64, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return reader.Reader{Store: p.Store}.Head(ctx)
}

func (p *Publisher) commit(ctx context.Context, c commit) error {
	value, err := reader.EncodeHead(c.head)
	if err != nil {
		return err
	}
	puts := []store.Put{{Key: reader.HeadKey, Value: value}}
	if c.record.To != 0 {
		puts = append(puts, store.Put{Key: audit.Key(c.record.To), Value: c.record.Encode()})
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	return p.Store.Commit(ctx, store.Compare{Key: reader.HeadKey, Revision: c.storeRevision}, puts)
}

func (p *Publisher) readRecord(ctx context.Context, revision uint64) recordRead {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	key := audit.Key(revision)
	item, found, err := p.Store.Get(ctx, key)
	if err != nil || !found {
		return recordRead{err: err}
	}
	record, err := audit.Decode(key, item.Value)
	return recordRead{record: record, found: true, err: err}
}

// writeChunks writes the manifest and those of its chunks that the base's manifest
// does not reference. It returns the changes against the base, for which it reads
// only the chunks of the base that differ.
func (p *Publisher) writeChunks(ctx context.Context, base string, m chunk.Manifest, contents map[chunk.Address][]byte) ([]diff.Change, error) {
	old, err := reader.Reader{Store: p.Store}.Manifest(ctx, base)
	if err != nil {
		return nil, err
	}
	changes, err := p.changes(ctx, old, m, contents)
	if err != nil {
		return nil, err
	}
	_, missing := chunk.DiffManifests(old, m)
	return changes, p.put(ctx, puts(m, missing, contents))
}

// puts returns the writes of the manifest m and of the chunks in missing.
func puts(m, missing chunk.Manifest, contents map[chunk.Address][]byte) []store.Put {
	var all []store.Put
	for _, a := range missing.Addresses() {
		all = append(all, store.Put{Key: reader.ChunkKey(a), Value: contents[a]})
	}
	content, address := m.Encode()
	return append(all, store.Put{Key: reader.ChunkKey(address), Value: content})
}

// changes returns the differences between the sets of two manifests. contents
// holds the chunks of m; if it is nil, they are read from the store.
func (p *Publisher) changes(ctx context.Context, old, m chunk.Manifest, contents map[chunk.Address][]byte) ([]diff.Change, error) {
	older, newer := chunk.DiffManifests(old, m)
	a, err := reader.Reader{Store: p.Store}.Join(ctx, older)
	if err != nil {
		return nil, err
	}
	if contents == nil {
		b, err := reader.Reader{Store: p.Store}.Join(ctx, newer)
		return diff.Diff(a, b), err
	}
	b, err := chunk.Join(newer, func(a chunk.Address) ([]byte, error) { return contents[a], nil })
	return diff.Diff(a, b), err
}

// put writes in batches that fit the store's bounds. A batch whose outcome is
// ambiguous is retried.
func (p *Publisher) put(ctx context.Context, puts []store.Put) error {
	for len(puts) > 0 {
		n, size := 1, len(puts[0].Value)
		for n < len(puts) && n < store.MaxPuts && size+len(puts[n].Value) <= gateway.MaxValueSize {
			size += len(puts[n].Value)
			n++
		}
		if err := p.putBatch(ctx, puts[:n]); err != nil {
			return err
		}
		puts = puts[n:]
	}
	return nil
}

func (p *Publisher) putBatch(ctx context.Context, puts []store.Put) error {
	var err error
	for range maxPutAttempts {
		call, cancel := context.WithTimeout(ctx, callTimeout)
		err = p.Store.Put(call, puts)
		cancel()
		var ambiguous *store.AmbiguousError
		if !errors.As(err, &ambiguous) {
			return err
		}
	}
	return err
}

// changesSince returns the changes between the base of a conflict and the current
// revision, or nil if they cannot be determined. It updates c.Current.
func (p *Publisher) changesSince(ctx context.Context, c *ConflictError) []diff.Change {
	if c.Base >= c.Current {
		return nil
	}
	var base string
	if c.Base > 0 {
		e := p.readRecord(ctx, c.Base)
		if !e.found || e.err != nil {
			return nil
		}
		base = e.record.Manifest
	}
	h, _, err := p.readHead(ctx)
	if err != nil {
		return nil
	}
	r := reader.Reader{Store: p.Store}
	older, errOlder := r.Manifest(ctx, base)
	newer, errNewer := r.Manifest(ctx, h.Manifest)
	if errors.Join(errOlder, errNewer) != nil {
		return nil
	}
	changes, err := p.changes(ctx, older, newer, nil)
	if err != nil {
		return nil
	}
	c.Current = h.Revision
	return changes
}
