package publisher

import (
	"errors"

	"filbertturn.example/filbertturn/internal/config/audit"
	"filbertturn.example/filbertturn/internal/config/diff"
	"filbertturn.example/filbertturn/internal/fleet/head"
	"filbertturn.example/filbertturn/internal/keyvalue/store"
)

// maxCommits is the maximum number of commits for one request. Each commit but the
// first follows a read that showed that the revision is still the base.
const maxCommits = 8

// event is an input of a publishMachine.
type event interface{ isEvent() }

type (
	// headRead carries the head and the store revision of its last write.
	headRead struct {
		head          head.Head
		storeRevision int64
		err           error
	}
	// chunksWritten carries the outcome of storing the manifest and its chunks.
	chunksWritten struct {
		changes []diff.Change
		err     error
	}
	// committed carries the outcome of a commit.
	committed struct{ err error }
	// recordRead carries the audit record of the revision after the base.
	recordRead struct {
		record audit.Record
		found  bool
		err    error
	}
)

func (headRead) isEvent()      {}
func (chunksWritten) isEvent() {}
func (committed) isEvent()     {}
func (recordRead) isEvent()    {}

// effect is an output of a publishMachine: the operation to do next, whose outcome
// is the next event.
type effect interface{ isEffect() }

type (
	readHead    struct{}
	writeChunks struct{ base head.Head }
	// commit writes the head, and the audit record unless it is zero, on the
	// condition that the head in the store was last written at storeRevision.
	commit struct {
		storeRevision int64
		head          head.Head
		record        audit.Record
	}
	readRecord struct{ revision uint64 }
	finish     struct {
		result Result
		err    error
	}
)

func (readHead) isEffect()    {}
func (writeChunks) isEffect() {}
func (commit) isEffect()      {}
func (readRecord) isEffect()  {}
func (finish) isEffect()      {}

// publishMachine is the state machine of one publish request. It reads the head
// before each commit, and each commit is conditional on the head being unchanged
// since that read. So at most one commit of a request takes effect, whenever the
// store applies them.
type publishMachine struct {
	request  Request
	manifest string
	next     Next

	head          head.Head // Head at the last read.
	storeRevision int64     // Store revision of the last write of head.
	chunksStored  bool      // Whether the manifest and its chunks are in the store.
	changes       []diff.Change
	lastCommitted head.Head // Head written by the last commit.
	commits       int

	// outcomeUnknown is set while a commit that got no response may still take
	// effect.
	outcomeUnknown bool
}

// step processes one event and returns the next effect.
func (d *publishMachine) step(e event) effect {
	switch e := e.(type) {
	case headRead:
		return d.onHead(e)
	case chunksWritten:
		if e.err != nil {
			return d.fail(e.err)
		}
		d.chunksStored, d.changes = true, e.changes
		return d.commit()
	case committed:
		return d.onCommitted(e.err)
	case recordRead:
		return d.onRecord(e)
	}
	return d.fail(errors.New("event is of no known kind"))
}

func (d *publishMachine) onHead(e headRead) effect {
	if e.err != nil {
		return d.fail(e.err)
	}
	if isRollback(d.request.Known, e.head) {
		return d.fail(&RevertedError{Known: d.request.Known, Found: e.head})
	}
	moved := e.storeRevision != d.storeRevision
	d.head, d.storeRevision = e.head, e.storeRevision
	switch {
	case e.head.Revision > d.request.Base:
		return readRecord{revision: d.request.Base + 1}
	case e.head.Revision < d.request.Base:
		return d.conflict()
	case !d.chunksStored:
		return writeChunks{base: d.head}
	}
	if moved {
		d.outcomeUnknown = false // The condition of earlier commits can no longer hold.
	}
	return d.commit()
}

// isRollback reports whether the store lost state that the fleet runs: the found
// head is older than the known one, has an older revision, or has another set for
// the same revision.
func isRollback(known, found head.Head) bool {
	return found.Sequence < known.Sequence || found.Revision < known.Revision ||
		found.Revision == known.Revision && found.Manifest != known.Manifest
}

func (d *publishMachine) commit() effect {
	if d.commits == maxCommits {
		return d.fail(&ContentionError{Commits: d.commits})
	}
	d.commits++
	d.lastCommitted = d.next(d.head, d.request.Base+1, d.manifest)
	if d.lastCommitted.Sequence != d.head.Sequence+1 || d.lastCommitted.Revision != d.request.Base+1 || d.lastCommitted.Manifest != d.manifest {
		return d.fail(&RequestError{Field: "Next", Message: "returned a head that does not follow its base"})
	}
	return commit{storeRevision: d.storeRevision, head: d.lastCommitted, record: d.record()}
}

func (d *publishMachine) record() audit.Record {
	return audit.New(audit.Record{
		Time: d.request.Time, Operator: d.request.Operator, From: d.request.Base, To: d.request.Base + 1,
		PublishID: d.request.PublishID, Manifest: d.manifest,
	}, d.changes)
}

// onCommitted resolves an ambiguous commit, and one whose condition failed, by
// reading again: the head shows whether the revision advanced, and the audit
// record of the new revision shows which request published it.
func (d *publishMachine) onCommitted(err error) effect {
	var (
		conflict  *store.ConflictError
		ambiguous *store.AmbiguousError
	)
	switch {
	case err == nil:
		return finish{result: Result{Record: d.record(), Head: d.lastCommitted}}
	case errors.As(err, &conflict):
		return readHead{}
	case errors.As(err, &ambiguous):
		d.outcomeUnknown = true
		return readHead{}
	}
	return d.fail(err)
}

func (d *publishMachine) onRecord(e recordRead) effect {
	if e.err != nil {
		return d.fail(e.err)
	}
	if !e.found || e.record.PublishID != d.request.PublishID {
		return d.conflict()
	}
	if e.record.Manifest != d.manifest {
		return finish{err: &ReusedError{PublishID: d.request.PublishID, Revision: e.record.To}}
	}
	return finish{result: Result{Record: e.record, Head: d.head}}
}

func (d *publishMachine) conflict() effect {
	return finish{err: &ConflictError{Base: d.request.Base, Current: d.head.Revision}}
}

func (d *publishMachine) fail(err error) effect {
	return finish{err: wrapFailure(d.outcomeUnknown, d.request.PublishID, err)}
}

// wrapFailure wraps err in an error that tells whether the failed publish may have
// taken effect.
func wrapFailure(unsure bool, publishID string, err error) error {
	if unsure {
		return &UnknownOutcomeError{PublishID: publishID, Err: err}
	}
	return &NotPublishedError{Err: err}
}
