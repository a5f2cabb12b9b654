package publisher

import (
	"context"
	"errors"
	"fmt"
	"time"

	"filbertturn.example/filbertturn/internal/config/audit"
	"filbertturn.example/filbertturn/internal/config/chunk"
	"filbertturn.example/filbertturn/internal/config/set"
	"filbertturn.example/filbertturn/internal/fleet/head"
	"filbertturn.example/filbertturn/internal/keyvalue/store"
)

// Reinstatement is a request to bring a store that was restored from a backup back
// to the newest head that the fleet runs.
type Reinstatement struct {
	Known    head.Head // Newest head that the caller knows.
	Set      set.Set   // Set of Known.
	Operator string    // Name for the audit trail.
	Time     time.Time // Time for the audit trail.
}

// Reinstate writes the known set as the current one if the store is at an older
// head or revision, and does nothing otherwise. It is idempotent. The audit records
// in between are lost, except for one record of the reinstatement. Its errors are
// RequestError, RevertedError and those of Publish.
func (p *Publisher) Reinstate(ctx context.Context, r Reinstatement) error {
	manifest, contents := chunk.Split(r.Set)
	if _, address := manifest.Encode(); address.String() != r.Known.Manifest || r.Known.Revision == 0 {
		return &RequestError{Field: "Set", Message: "is not the set of the known head"}
	}
	if p.Next == nil {
		return &RequestError{Field: "Next", Message: "is missing"}
	}
	if r.Operator == "" || len(r.Operator) > maxNameSize {
		return &RequestError{Field: "Operator", Message: "is empty or too long"}
	}
	var err error = &ContentionError{Commits: maxCommits}
	outcomeUnknown := false
	for range maxCommits {
		var (
			done      bool
			conflict  *store.ConflictError
			ambiguous *store.AmbiguousError
			reverted  *RevertedError
		)
		done, err = p.reinstateOnce(ctx, r, manifest, contents)
		if done || errors.As(err, &reverted) {
			return err
		}
		outcomeUnknown = outcomeUnknown || errors.As(err, &ambiguous)
		if !errors.As(err, &ambiguous) && !errors.As(err, &conflict) {
			break
		}
	}
	return wrapFailure(outcomeUnknown, r.publishID(), err)
}

// reinstateOnce reads the head and, if the known one is newer in sequence number or
// revision, makes one commit.
func (p *Publisher) reinstateOnce(ctx context.Context, r Reinstatement, m chunk.Manifest, contents map[chunk.Address][]byte) (bool, error) {
	found, at, err := p.readHead(ctx)
	if err != nil {
		return false, err
	}
	if found.Revision >= r.Known.Revision {
		e := p.readRecord(ctx, r.Known.Revision)
		if e.err != nil {
			return false, e.err
		}
		if e.found && e.record.Manifest != r.Known.Manifest {
			return false, &RevertedError{Known: r.Known, Found: found}
		}
	}
	c := commit{storeRevision: at, head: p.merge(r.Known, found)}
	if c.head.Sequence == found.Sequence {
		return true, nil
	}
	if c.head.Revision > found.Revision {
		c.record = audit.Record{
			Time: r.Time, Operator: r.Operator, From: found.Revision, To: r.Known.Revision,
			PublishID: r.publishID(), Manifest: r.Known.Manifest,
		}
	}
	// The restored store may lack any of the chunks.
	if err := p.put(ctx, puts(m, m, contents)); err != nil {
		return false, err
	}
	err = p.commit(ctx, c)
	return err == nil, err
}

// merge returns a head that is at least as new as both in its sequence number and
// its revision. It returns found unchanged if that already is.
func (p *Publisher) merge(known, found head.Head) head.Head {
	switch {
	case known.Sequence > found.Sequence && known.Revision >= found.Revision:
		return known
	case known.Sequence > found.Sequence:
		return p.Next(known, found.Revision, found.Manifest)
	case known.Revision > found.Revision:
		return p.Next(found, known.Revision, known.Manifest)
	}
	return found
}

func (r Reinstatement) publishID() string { return fmt.Sprintf("reinstate-%d", r.Known.Sequence) }
