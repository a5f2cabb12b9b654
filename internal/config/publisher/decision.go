package publisher

import (
	"errors"

	"filbertturn.example/filbertturn/internal/config/audit"
	"filbertturn.example/filbertturn/internal/config/diff"
	"filbertturn.example/filbertturn/internal/fleet/head"
	"filbertturn.example/filbertturn/internal/keyvalue/store"
)

// maxCommits bounds the commits of one publish. Each but the first follows a
// read that showed that the revision is still the base.
const maxCommits = 8

// event is what a decision is told.
type event interface{ isEvent() }

type (
	// headRead brings the head and the store's revision of its last write.
	headRead struct {
		head head.Head
		at   int64
		err  error
	}
	// chunksWritten says that the manifest and its chunks are in the store.
	chunksWritten struct {
		changes []diff.Change
		err     error
	}
	// committed brings the outcome of a commit.
	committed struct{ err error }
	// recordRead brings the audit record of the revision after the base.
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

// effect is what a decision asks for.
type effect interface{ isEffect() }

type (
	readHead    struct{}
	writeChunks struct{ base head.Head }
	// commit writes the head, and the record unless it is zero, if the head is
	// still at the revision of the store.
	commit struct {
		at     int64
		head   head.Head
		record audit.Record
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

// decision publishes one request. It never commits without a read of the head
// since the last commit, and every commit compares with that read. So at most
// one commit of a request takes effect, whenever the store applies them.
type decision struct {
	request  Request
	manifest string
	next     Next

	head    head.Head // As read last.
	at      int64     // Store revision of head.
	written bool      // The chunks are in the store.
	changes []diff.Change
	sent    head.Head // Head of the last commit.
	commits int

	// unsure is set while a commit without an answer may still take effect.
	unsure bool
}

// step takes one event and returns what to do next.
func (d *decision) step(e event) effect {
	switch e := e.(type) {
	case headRead:
		return d.onHead(e)
	case chunksWritten:
		if e.err != nil {
			return d.fail(e.err)
		}
		d.written, d.changes = true, e.changes
		return d.commit()
	case committed:
		return d.onCommitted(e.err)
	case recordRead:
		return d.onRecord(e)
	}
	return d.fail(errors.New("event is of no known kind"))
}

func (d *decision) onHead(e headRead) effect {
	if e.err != nil {
		return d.fail(e.err)
	}
	if reverts(d.request.Known, e.head) {
		return d.fail(&RevertedError{Known: d.request.Known, Found: e.head})
	}
	moved := e.at != d.at
	d.head, d.at = e.head, e.at
	switch {
	case e.head.Revision > d.request.Base:
		return readRecord{revision: d.request.Base + 1}
	case e.head.Revision < d.request.Base:
		return d.conflict()
	case !d.written:
		return writeChunks{base: d.head}
	}
	if moved {
		d.unsure = false // What was sent compares with a head that has passed.
	}
	return d.commit()
}

// reverts says that the store lost what the fleet runs: it is at an older head,
// at an older revision, or at another set of the same revision.
func reverts(known, found head.Head) bool {
	return found.Sequence < known.Sequence || found.Revision < known.Revision ||
		found.Revision == known.Revision && found.Manifest != known.Manifest
}

func (d *decision) commit() effect {
	if d.commits == maxCommits {
		return d.fail(&ContentionError{Commits: d.commits})
	}
	d.commits++
	d.sent = d.next(d.head, d.request.Base+1, d.manifest)
	if d.sent.Sequence != d.head.Sequence+1 || d.sent.Revision != d.request.Base+1 || d.sent.Manifest != d.manifest {
		return d.fail(&RequestError{Field: "Next", Message: "returned a head that does not follow its base"})
	}
	return commit{at: d.at, head: d.sent, record: d.record()}
}

func (d *decision) record() audit.Record {
	return audit.New(audit.Record{
		Time: d.request.Time, Operator: d.request.Operator, From: d.request.Base, To: d.request.Base + 1,
		PublishID: d.request.PublishID, Manifest: d.manifest,
	}, d.changes)
}

// onCommitted resolves an ambiguous commit, like one whose comparison failed,
// by reading: the head tells whether the revision moved, and its audit record
// by whom.
func (d *decision) onCommitted(err error) effect {
	var (
		conflict  *store.ConflictError
		ambiguous *store.AmbiguousError
	)
	switch {
	case err == nil:
		return finish{result: Result{Record: d.record(), Head: d.sent}}
	case errors.As(err, &conflict):
		return readHead{}
	case errors.As(err, &ambiguous):
		d.unsure = true
		return readHead{}
	}
	return d.fail(err)
}

func (d *decision) onRecord(e recordRead) effect {
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

func (d *decision) conflict() effect {
	return finish{err: &ConflictError{Base: d.request.Base, Current: d.head.Revision}}
}

func (d *decision) fail(err error) effect {
	return finish{err: failure(d.unsure, d.request.PublishID, err)}
}

// failure says truthfully whether a failed publish may have taken effect.
func failure(unsure bool, publishID string, err error) error {
	if unsure {
		return &UnknownError{PublishID: publishID, Err: err}
	}
	return &NotPublishedError{Err: err}
}
