package publisher

import (
	"context"
	"errors"
	"fmt"
	"time"

	"filbertturn.example/filbertturn/internal/config/audit"
	"filbertturn.example/filbertturn/internal/config/diff"
	"filbertturn.example/filbertturn/internal/fleet/head"
	"filbertturn.example/filbertturn/internal/fleet/member"
	"filbertturn.example/filbertturn/internal/keyvalue/store"
)

// MemberRemoval is a request to remove members from the head that have stopped
// permanently according to an operator. It is published as a revision with the same
// set, so that the audit trail records it.
type MemberRemoval struct {
	Members  []member.Member
	Known    head.Head // Newest head that the caller knows, or the zero value.
	Operator string    // Name for the audit trail.
	Time     time.Time // Time for the audit trail.

	// Next returns the head that follows base with the new revision and without
	// the members, or false if they are absent from base already.
	Next func(base head.Head, revision uint64) (head.Head, bool)
}

// RemoveMembers commits a head without the members and returns it. It is idempotent.
// Its errors are RequestError, and NotPublishedError and UnknownOutcomeError, which
// wrap their cause, such as RevertedError.
func (p *Publisher) RemoveMembers(ctx context.Context, r MemberRemoval) (head.Head, error) {
	switch {
	case r.Next == nil:
		return head.Head{}, &RequestError{Field: "Next", Message: "is missing"}
	case r.Operator == "" || len(r.Operator) > maxNameSize:
		return head.Head{}, &RequestError{Field: "Operator", Message: "is empty or too long"}
	case len(r.Members) == 0:
		return head.Head{}, &RequestError{Field: "Members", Message: "is empty"}
	}
	var err error = &ContentionError{Commits: maxCommits}
	outcomeUnknown := false
	for range maxCommits {
		var (
			h         head.Head
			conflict  *store.ConflictError
			ambiguous *store.AmbiguousError
		)
		h, err = p.removeOnce(ctx, r)
		if err == nil {
			return h, nil
		}
		outcomeUnknown = outcomeUnknown || errors.As(err, &ambiguous)
		if !errors.As(err, &ambiguous) && !errors.As(err, &conflict) {
			break
		}
	}
	return head.Head{}, wrapFailure(outcomeUnknown, r.publishID(), err)
}

// removeOnce reads the head and, unless the members are absent from it already, makes
// one commit.
func (p *Publisher) removeOnce(ctx context.Context, r MemberRemoval) (head.Head, error) {
	base, at, err := p.readHead(ctx)
	if err != nil {
		return head.Head{}, err
	}
	if isRollback(r.Known, base) {
		return head.Head{}, &RevertedError{Known: r.Known, Found: base}
	}
	next, needed := r.Next(base, base.Revision+1)
	if !needed {
		return base, nil
	}
	record := audit.Record{
		Time: r.Time, Operator: r.Operator, From: base.Revision, To: next.Revision, PublishID: r.publishID(), Manifest: base.Manifest,
	}
	changes := make([]diff.Change, 0, len(r.Members))
	for _, m := range r.Members {
		changes = append(changes, diff.Change{Kind: "Member", Name: m.String(), Action: diff.Removed})
	}
	return next, p.commit(ctx, commit{storeRevision: at, head: next, record: audit.New(record, changes)})
}

func (r MemberRemoval) publishID() string { return fmt.Sprintf("ended-%s", r.Members[0]) }
