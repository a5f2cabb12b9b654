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
	// KeptManifests is the default of Publisher.Kept, so that slow readers of
	// an older head still find its chunks.
	KeptManifests = 20

	pageSize     = 500 // Keys of one listing.
	collectEvery = 50  // Revisions between two runs of Collect.
)

// Audit returns at most limit records, the newest first.
func (p *Publisher) Audit(ctx context.Context, limit int) ([]audit.Record, error) {
	newest, err := p.Store.List(ctx, audit.Prefix, 1, true)
	if err != nil || len(newest) == 0 || limit <= 0 {
		return nil, err
	}
	revision, err := audit.Revision(newest[0].Key)
	if err != nil {
		return nil, err
	}
	limit = min(limit, audit.Kept)
	var records []audit.Record
	for blocks := 0; len(records) < limit && blocks <= audit.Kept/audit.BlockSize; blocks++ {
		items, err := p.Store.List(ctx, audit.Block(revision), min(limit-len(records), audit.BlockSize), true)
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

// Collect runs with every 50th publish, and may be called at any time. It
// deletes the chunks that none of the last Kept revisions uses, and the audit records before the last audit.Kept. It returns how many
// it deleted.
//
// It runs beside publishers: a publisher writes every chunk that its base
// lacks after the base was committed, and Collect deletes only what was last
// written before the current revision was committed.
func (p *Publisher) Collect(ctx context.Context) (int, error) {
	h, _, err := p.readHead(ctx)
	if err != nil || h.Revision == 0 {
		return 0, err
	}
	item, found, err := p.Store.Get(ctx, audit.Key(h.Revision))
	if err != nil || !found {
		return 0, err
	}
	used, err := p.used(ctx, h.Manifest)
	if err != nil {
		return 0, err
	}
	chunks, err := p.sweep(ctx, reader.ChunkPrefix, func(i store.Item) bool {
		return !used[i.Key] && i.Revision < item.Revision
	})
	if err != nil {
		return chunks, err
	}
	records, err := p.sweep(ctx, audit.Prefix, func(i store.Item) bool {
		revision, err := audit.Revision(i.Key)
		return err == nil && revision+audit.Kept <= h.Revision
	})
	return chunks + records, err
}

// used returns the keys of the chunks and manifests of the last revisions.
func (p *Publisher) used(ctx context.Context, current string) (map[string]bool, error) {
	records, err := p.Audit(ctx, cmp.Or(p.Kept, KeptManifests))
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
		var missing *reader.MissingError
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

// sweep deletes the keys of a prefix that are chosen, each only if it was not
// written since it was listed.
func (p *Publisher) sweep(ctx context.Context, prefix string, chosen func(store.Item) bool) (int, error) {
	deleted, after := 0, ""
	for {
		items, err := p.Store.Keys(ctx, prefix, after, pageSize)
		if err != nil {
			return deleted, err
		}
		for _, i := range items {
			after = i.Key
			if !chosen(i) {
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
		if len(items) < pageSize {
			return deleted, nil
		}
	}
}

// tidy follows a publish, which has succeeded whatever becomes of it. What it
// fails to delete is left to the next Collect.
func (p *Publisher) tidy(ctx context.Context, revision uint64) {
	if revision%collectEvery == 0 {
		_, _ = p.Collect(ctx)
		return
	}
	if revision <= audit.Kept {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	item, found, err := p.Store.Get(ctx, audit.Key(revision-audit.Kept))
	if err == nil && found {
		_ = p.Store.Delete(ctx, store.Compare{Key: item.Key, Revision: item.Revision})
	}
}
