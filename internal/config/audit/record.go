// Package audit defines the trail of published configurations.
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
	// Prefix begins the key of every record in the store.
	Prefix = "/filbertturn/audit/"

	// Kept is the number of records that stay in the store.
	Kept = 1000

	// MaxChanges is the number of changes that a record lists; it counts the rest.
	MaxChanges = 200

	// BlockSize is the number of revisions that share a Block.
	BlockSize = 100

	digits      = 20 // Of the highest uint64, so that keys sort as revisions do.
	blockDigits = 2  // Of BlockSize-1.
)

// Record says who published a revision, when, and what it changed. It holds
// no secret and no hash of one.
type Record struct {
	Time      time.Time
	Operator  string
	From      uint64 // Revision that the change was made on.
	To        uint64 // Revision that it made.
	PublishID string
	Manifest  string        // Address of the manifest of To.
	Changes   []diff.Change `json:",omitempty"`
	Omitted   int           `json:",omitempty"` // Changes that are not listed.
}

// New returns a record with as many of the changes as fit.
func New(r Record, changes []diff.Change) Record {
	r.Changes = changes[:min(len(changes), MaxChanges)]
	r.Omitted = len(changes) - len(r.Changes)
	return r
}

// Key returns the store's key of the record of a revision.
func Key(revision uint64) string { return fmt.Sprintf("%s%0*d", Prefix, digits, revision) }

// Block returns the prefix of the keys of a revision and its neighbours, which
// bounds what is read at once.
func Block(revision uint64) string {
	key := Key(revision)
	return key[:len(key)-blockDigits]
}

// Revision returns the revision of a record's key.
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
	text, _ := json.Marshal(r) // Fails for years after 9999 only, and then Decode does.
	return text
}

// Decode reads the record that stands at the key. Its error is a RecordError.
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

// RecordError says that a record cannot be read.
type RecordError struct {
	Key string
	Err error
}

func (e *RecordError) Error() string { return fmt.Sprintf("audit: record %.60q: %v", e.Key, e.Err) }

// Unwrap returns the cause.
func (e *RecordError) Unwrap() error { return e.Err }
