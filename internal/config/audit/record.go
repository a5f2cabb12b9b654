// Package audit defines the records of the audit trail of published configurations
// and their keys in the store.
package audit

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"
	"time"

	"filbertturn.example/filbertturn/internal/config/diff"
)

const (
	// Prefix is the prefix of the store keys of all records.
	Prefix = "/filbertturn/audit/"

	// MaxRecords is the number of records retained in the store.
	MaxRecords = 1000

	// MaxChanges is the maximum number of changes that a record lists. Further ones
	// are only counted, in Omitted.
	MaxChanges = 200

	// BlockSize is the number of revisions whose keys share one block prefix.
	BlockSize = 100

	digits      = 20 // Digits of the highest uint64; zero padding makes keys sort by revision.
	blockDigits = 2  // Digits of BlockSize-1.
)

// Record states who published a revision, when, and what it changed. It contains
// neither secrets nor their hashes.
type Record struct {
	Time      time.Time
	Operator  string
	From      uint64 // Revision that the publish was based on.
	To        uint64 // Revision that the publish created.
	PublishID string
	Manifest  string        // Address of the manifest of To.
	Changes   []diff.Change `json:",omitempty"`
	Omitted   int           `json:",omitempty"` // Number of changes that are not listed.
}

// New returns r with the first MaxChanges changes, and the number of the others in
// Omitted.
func New(r Record, changes []diff.Change) Record {
	r.Changes = changes[:min(len(changes), MaxChanges)]
	r.Omitted = len(changes) - len(r.Changes)
	return r
}

// Key returns the store key of the record of a revision.
func Key(revision uint64) string { return fmt.Sprintf("%s%0*d", Prefix, digits, revision) }

// BlockPrefix returns the common prefix of the keys of the BlockSize revisions around
// revision. Reading block by block bounds the size of one list call.
func BlockPrefix(revision uint64) string {
	key := Key(revision)
	return key[:len(key)-blockDigits]
}

// Revision parses the revision in a record's key. Its error is a RecordError.
func Revision(key string) (uint64, error) {
	text, found := strings.CutPrefix(key, Prefix)
	revision, err := strconv.ParseUint(text, 10, 64)
	if !found || len(text) != digits || err != nil {
		return 0, &RecordError{Key: key, Err: err}
	}
	return revision, nil
}

// Encode returns the record as JSON.
func (r Record) Encode() []byte {
	text, _ := json.Marshal(r) // Fails only for years after 9999; Decode then reports the empty text.
	return text
}

// Decode decodes the record stored at the key. Its error is a RecordError.
func Decode(key string, text []byte) (Record, error) {
	var r Record
	if err := json.Unmarshal(text, &r); err != nil {
		return Record{}, &RecordError{Key: key, Err: err}
	}
	if Key(r.To) != key {
		return Record{}, &RecordError{Key: key, Err: fmt.Errorf("record is of revision %d", r.To)}
	}
	return r, nil
}

// RecordError means that a record or its key cannot be decoded.
type RecordError struct {
	Key string
	Err error
}

func (e *RecordError) Error() string { return fmt.Sprintf("audit: record %.60q: %v", e.Key, e.Err) }

// Unwrap returns the cause.
func (e *RecordError) Unwrap() error { return e.Err }
