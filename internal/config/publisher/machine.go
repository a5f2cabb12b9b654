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
func (m *publishMachine) step(e event) effect {
	switch e := e.(type) {
	case headRead:
		return m.onHead(e)
	case chunksWritten:
		if e.err != nil {
			return m.fail(e.err)
		}
		m.chunksStored, m.changes = true, e.changes
		return m.commit()
	case committed:
		return m.onCommitted(e.err)
	case recordRead:
		return m.onRecord(e)
	}
	return m.fail(errors.New("event is of no known kind"))
}

func (m *publishMachine) onHead(e headRead) effect {
	if e.err != nil {
		return m.fail(e.err)
	}
	if isRollback(m.request.Known, e.head) {
		return m.fail(&RevertedError{Known: m.request.Known, Found: e.head})
	}
	moved := e.storeRevision != m.storeRevision
	m.head, m.storeRevision = e.head, e.storeRevision
	switch {
	case e.head.Revision > m.request.Base:
		return readRecord{revision: m.request.Base + 1}
	case e.head.Revision < m.request.Base:
		return m.conflict()
	case !m.chunksStored:
		return writeChunks{base: m.head}
	}
	if moved {
		m.outcomeUnknown = false // The condition of earlier commits can no longer hold.
	}
	return m.commit()
}

// isRollback reports whether the store lost state that the fleet runs: the found
// head is older than the known one, has an older revision, or has another set for
// the same revision.
func isRollback(known, found head.Head) bool {
	return found.Sequence < known.Sequence || found.Revision < known.Revision ||
		found.Revision == known.Revision && found.Manifest != known.Manifest
}

func (m *publishMachine) commit() effect {
	if m.commits == maxCommits {
		return m.fail(&ContentionError{Commits: m.commits})
	}
	m.commits++
	m.lastCommitted = m.next(m.head, m.request.Base+1, m.manifest)
	if m.lastCommitted.Sequence != m.head.Sequence+1 || m.lastCommitted.Revision != m.request.Base+1 || m.lastCommitted.Manifest != m.manifest {
		return m.fail(&RequestError{Field: "Next", Message: "returned a head that does not follow its base"})
	}
	return commit{storeRevision: m.storeRevision, head: m.lastCommitted, record: m.record()}
}

func (m *publishMachine) record() audit.Record {
	return audit.New(audit.Record{
		Time: m.request.Time, Operator: m.request.Operator, From: m.request.Base, To: m.request.Base + 1,
		PublishID: m.request.PublishID, Manifest: m.manifest,
	}, m.changes)
}

// onCommitted resolves an ambiguous commit, and one whose condition failed, by
// reading again: the head shows whether the revision advanced, and the audit
// record of the new revision shows which request published it.
func (m *publishMachine) onCommitted(err error) effect {
	var (
		conflict  *store.ConflictError
		ambiguous *store.AmbiguousError
	)
	switch {
	case err == nil:
		return finish{result: Result{Record: m.record(), Head: m.lastCommitted}}
	case errors.As(err, &conflict):
		return readHead{}
	case errors.As(err, &ambiguous):
		m.outcomeUnknown = true
		return readHead{}
	}
	return m.fail(err)
}

func (m *publishMachine) onRecord(e recordRead) effect {
	if e.err != nil {
		return m.fail(e.err)
	}
	if !e.found || e.record.PublishID != m.request.PublishID {
		return m.conflict()
	}
	if e.record.Manifest != m.manifest {
		return finish{err: &ReusedError{PublishID: m.request.PublishID, Revision: e.record.To}}
	}
	return finish{result: Result{Record: e.record, Head: m.head}}
}

func (m *publishMachine) conflict() effect {
	return finish{err: &ConflictError{Base: m.request.Base, Current: m.head.Revision}}
}

func (m *publishMachine) fail(err error) effect {
	return finish{err: wrapFailure(m.outcomeUnknown, m.request.PublishID, err)}
}

// wrapFailure wraps err in an error that tells whether the failed publish may have
// taken effect.
func wrapFailure(outcomeUnknown bool, publishID string, err error) error {
	if outcomeUnknown {
		return &UnknownOutcomeError{PublishID: publishID, Err: err}
	}
	return &NotPublishedError{Err: err}
}
