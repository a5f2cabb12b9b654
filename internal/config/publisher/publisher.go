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
	// callTimeout bounds each call to the store, so that time is left to
	// resolve a commit whose answer is lost.
	callTimeout = 2 * time.Second

	maxPutAttempts = 3   // Of one batch of chunks; they are idempotent.
	maxNameSize    = 128 // Of a PublishID and an operator's name, in bytes.
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
// must raise Sequence by one and is free in the fields of the roster.
type Next func(base head.Head, revision uint64, manifest string) head.Head

// Publisher publishes to Store. It keeps no state and may be used by several
// goroutines.
type Publisher struct {
	Store Store
	Next  Next // Needed for Publish.

	// Kept is the number of revisions whose chunks Collect keeps; zero means
	// KeptManifests.
	Kept int
}

// Request asks to publish a set.
type Request struct {
	Set       set.Set
	Base      uint64    // Revision that the set was made from; zero before the first publish.
	PublishID string    // Chosen by the caller, one for each change; a repeated request has the same.
	Operator  string    // Name for the audit trail.
	Time      time.Time // Time for the audit trail.
	Known     head.Head // Newest head that the caller knows, or the zero value.
}

// Result is a publish that took effect.
type Result struct {
	Record audit.Record // The same for each repeat of a request.
	Head   head.Head    // The current head, with this or a later revision.
}

// Publish checks the set and publishes it as revision Base+1. Its errors are
// InvalidError, RequestError, ConflictError, ReusedError, NotPublishedError and
// UnknownError; the last alone leaves the outcome open. A repeated request
// returns the result of the first as long as its audit record is kept.
func (p *Publisher) Publish(ctx context.Context, r Request) (Result, error) {
	if err := p.check(r); err != nil {
		return Result{}, err
	}
	manifest, contents := chunk.Split(r.Set)
	_, address := manifest.Encode()
	d := &decision{request: r, manifest: address.String(), next: p.Next}
	var e effect = readHead{}
	for {
		switch x := e.(type) {
		case readHead:
			h, at, err := p.readHead(ctx)
			e = d.step(headRead{head: h, at: at, err: err})
		case writeChunks:
			changes, err := p.writeChunks(ctx, x.base.Manifest, manifest, contents)
			e = d.step(chunksWritten{changes: changes, err: err})
		case commit:
			e = d.step(committed{err: p.commit(ctx, x)})
		case readRecord:
			e = d.step(p.readRecord(ctx, x.revision))
		case finish:
			return p.finish(ctx, x)
		}
	}
}

func (p *Publisher) check(r Request) error {
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
	if problems := append(check.Check(r.Set), check.Unserved(r.Set)...); len(problems) > 0 {
		return &InvalidError{Problems: problems}
	}
	return nil
}

// finish adds what the caller wants to know but the outcome does not rest on.
func (p *Publisher) finish(ctx context.Context, f finish) (Result, error) {
	var conflict *ConflictError
	if errors.As(f.err, &conflict) {
		conflict.Changes = p.since(ctx, conflict)
	}
	if f.err == nil {
		p.tidy(ctx, f.result.Record.To)
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
	return p.Store.Commit(ctx, store.Compare{Key: reader.HeadKey, Revision: c.at}, puts)
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

// writeChunks writes the chunks that the base's manifest lacks, and the
// manifest. It returns the changes, for which it reads the base's differing
// chunks only.
func (p *Publisher) writeChunks(ctx context.Context, base string, m chunk.Manifest, contents map[chunk.Address][]byte) ([]diff.Change, error) {
	old, err := reader.Reader{Store: p.Store}.Manifest(ctx, base)
	if err != nil {
		return nil, err
	}
	changes, err := p.changes(ctx, old, m, contents)
	if err != nil {
		return nil, err
	}
	_, missing := chunk.Differing(old, m)
	return changes, p.put(ctx, puts(m, missing, contents))
}

// puts returns the writes of a manifest and of the chunks of missing.
func puts(m, missing chunk.Manifest, contents map[chunk.Address][]byte) []store.Put {
	var all []store.Put
	for _, a := range missing.Addresses() {
		all = append(all, store.Put{Key: reader.ChunkKey(a), Value: contents[a]})
	}
	content, address := m.Encode()
	return append(all, store.Put{Key: reader.ChunkKey(address), Value: content})
}

// changes compares two manifests; contents holds chunks of the newer and may
// be nil.
func (p *Publisher) changes(ctx context.Context, old, m chunk.Manifest, contents map[chunk.Address][]byte) ([]diff.Change, error) {
	older, newer := chunk.Differing(old, m)
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

// put writes in few calls. A batch that may have been written is written again.
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

// since returns what changed between the base of a conflict and the current
// revision, or nil.
func (p *Publisher) since(ctx context.Context, c *ConflictError) []diff.Change {
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
