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
	"filbertturn.example/filbertturn/internal/platform/store"
)

// Reinstatement brings a store that was restored from a backup back to the
// newest head that the fleet runs.
type Reinstatement struct {
	Known    head.Head // Newest head that the caller knows.
	Set      set.Set   // Set of Known.
	Operator string    // Name for the audit trail.
	Time     time.Time // Time for the audit trail.
}

// Reinstate writes the known head and its set if the store holds an older head,
// and does nothing otherwise. Repeats are harmless. The audit records between
// the two heads are lost, but for one record of the reinstatement. Its errors
// are RequestError and those of Publish.
func (p *Publisher) Reinstate(ctx context.Context, r Reinstatement) error {
	manifest, contents := chunk.Split(r.Set)
	if _, address := manifest.Encode(); address.String() != r.Known.Manifest || r.Known.Revision == 0 {
		return &RequestError{Field: "Set", Message: "is not the set of the known head"}
	}
	unsure := false
	var last error = &ContentionError{Commits: maxCommits}
	for range maxCommits {
		found, at, err := p.readHead(ctx)
		if err != nil {
			last = err
			break
		}
		if found.Sequence >= r.Known.Sequence {
			return nil
		}
		err = p.reinstate(ctx, r, found, at, manifest, contents)
		var (
			conflict  *store.ConflictError
			ambiguous *store.AmbiguousError
		)
		unsure = unsure || errors.As(err, &ambiguous)
		switch {
		case err == nil:
			return nil
		case !errors.As(err, &conflict) && !errors.As(err, &ambiguous):
			return &NotPublishedError{Err: err}
		}
	}
	if unsure {
		return &UnknownError{PublishID: r.publishID(), Err: last}
	}
	return &NotPublishedError{Err: last}
}

// reinstate writes every chunk, since the restored store may lack any.
func (p *Publisher) reinstate(ctx context.Context, r Reinstatement, found head.Head, at int64, m chunk.Manifest, contents map[chunk.Address][]byte) error {
	if err := p.put(ctx, puts(m, m, contents)); err != nil {
		return err
	}
	return p.commit(ctx, commit{at: at, head: r.Known, record: audit.Record{
		Time: r.Time, Operator: r.Operator, From: found.Revision, To: r.Known.Revision,
		PublishID: r.publishID(), Manifest: r.Known.Manifest,
	}})
}

func (r Reinstatement) publishID() string { return fmt.Sprintf("reinstate-%d", r.Known.Sequence) }
