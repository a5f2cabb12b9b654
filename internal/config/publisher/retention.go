package publisher

import (
	"cmp"
	"context"
	"errors"

	"filbertturn.example/filbertturn/internal/config/audit"
	"filbertturn.example/filbertturn/internal/config/chunk"
	"filbertturn.example/filbertturn/internal/keyvalue/reader"
	"filbertturn.example/filbertturn/internal/keyvalue/store"
)

const (
	// DefaultRetainedRevisions is the default of Publisher.RetainedRevisions. It is
	// above 1 so that slow readers of an older head still find its chunks.
	DefaultRetainedRevisions = 20

	listPageSize    = 500 // Keys per list call.
	collectInterval = 50  // Revisions between automatic runs of CollectGarbage.
)

// Audit returns at most limit audit records, newest first.
func (p *Publisher) Audit(ctx context.Context, limit int) ([]audit.Record, error) {
	newest, err := p.Store.List(ctx, audit.Prefix, 1, true)
	if err != nil || len(newest) == 0 || limit <= 0 {
		return nil, err
	}
	revision, err := audit.Revision(newest[0].Key)
	if err != nil {
		return nil, err
	}
	limit = min(limit, audit.MaxRecords)
	var records []audit.Record
	for blocks := 0; len(records) < limit && blocks <= audit.MaxRecords/audit.BlockSize; blocks++ {
		items, err := p.Store.List(ctx, audit.BlockPrefix(revision), min(limit-len(records), audit.BlockSize), true)
		if err != nil {
			return nil, err
		}
		for _, i := range items {
			r, err := audit.Decode(i.Key, i.Value)
			if err != nil {
				return nil, err
			}
			records = append(records, r)
		}
		if revision < audit.BlockSize {
			break
		}
		revision -= audit.BlockSize
	}
	return records, nil
}

// CollectGarbage deletes the chunks that none of the last RetainedRevisions revisions
// references, and all but the last audit.MaxRecords audit records. It returns the
// number of deleted keys. Publish runs it at every 50th revision; it may be called
// at any time.
//
// It is safe to run concurrently with publishers: a publisher writes every chunk
// that its base lacks after the base was committed, and CollectGarbage deletes only
// chunks that were last written before the current revision was committed.
func (p *Publisher) CollectGarbage(ctx context.Context) (int, error) {
	h, _, err := p.readHead(ctx)
	if err != nil || h.Revision == 0 {
		return 0, err
	}
	item, found, err := p.Store.Get(ctx, audit.Key(h.Revision))
	if err != nil || !found {
		return 0, err
	}
	used, err := p.referencedKeys(ctx, h.Manifest)
	if err != nil {
		return 0, err
	}
	chunks, err := p.deleteMatching(ctx, reader.ChunkPrefix, func(i store.Item) bool {
		return !used[i.Key] && i.Revision < item.Revision
	})
	if err != nil {
		return chunks, err
	}
	records, err := p.deleteMatching(ctx, audit.Prefix, func(i store.Item) bool {
		revision, err := audit.Revision(i.Key)
		return err == nil && revision+audit.MaxRecords <= h.Revision
	})
	return chunks + records, err
}

// referencedKeys returns the keys of the manifests of the current and the last
// RetainedRevisions revisions, and of their chunks.
func (p *Publisher) referencedKeys(ctx context.Context, current string) (map[string]bool, error) {
	records, err := p.Audit(ctx, cmp.Or(p.RetainedRevisions, DefaultRetainedRevisions))
	if err != nil {
		return nil, err
	}
	manifests := []string{current}
	for _, r := range records {
		manifests = append(manifests, r.Manifest)
	}
	used := map[string]bool{}
	for i, text := range manifests {
		address, err := chunk.ParseAddress(text)
		if err != nil {
			return nil, err
		}
		m, err := reader.Reader{Store: p.Store}.Manifest(ctx, text)
		var missing *reader.MissingChunkError
		if err != nil && (i == 0 || !errors.As(err, &missing)) {
			return nil, err
		}
		used[reader.ChunkKey(address)] = true
		for _, a := range m.Addresses() {
			used[reader.ChunkKey(a)] = true
		}
	}
	return used, nil
}

// deleteMatching deletes the matching keys that start with prefix, each only if it
// was not written since it was listed. It returns the number of deleted keys.
func (p *Publisher) deleteMatching(ctx context.Context, prefix string, matches func(store.Item) bool) (int, error) {
	deleted, after := 0, ""
	for {
		items, err := p.Store.Keys(ctx, prefix, after, listPageSize)
		if err != nil {
			return deleted, err
		}
		for _, i := range items {
			after = i.Key
			if !matches(i) {
				continue
			}
			err := p.Store.Delete(ctx, store.Compare{Key: i.Key, Revision: i.Revision})
			var conflict *store.ConflictError
			switch {
			case err == nil:
				deleted++
			case !errors.As(err, &conflict):
				return deleted, err
			}
		}
		if len(items) < listPageSize {
			return deleted, nil
		}
	}
}

// afterPublish deletes outdated keys after a successful publish. It ignores errors,
// because the publish has succeeded regardless; the next CollectGarbage deletes what
// is left.
func (p *Publisher) afterPublish(ctx context.Context, revision uint64) {
	if revision%collectInterval == 0 {
		_, _ = p.CollectGarbage(ctx)
		return
	}
	if revision <= audit.MaxRecords {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	item, found, err := p.Store.Get(ctx, audit.Key(revision-audit.MaxRecords))
	if err == nil && found {
		_ = p.Store.Delete(ctx, store.Compare{Key: item.Key, Revision: item.Revision})
	}
}
