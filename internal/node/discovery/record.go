package discovery

import (
	"fmt"
	"strings"

	"filbertturn.example/filbertturn/internal/fleet/nodetable"
	"filbertturn.example/filbertturn/internal/keyvalue/entry"
	"filbertturn.example/filbertturn/internal/node/kvstore"
)

// maxRecordBytes is the length of the longest record that is decoded.
const maxRecordBytes = 4 << 10

// decodeRecord decodes the record of a node. A record that stands under the key of another
// node is an error.
func decodeRecord(item kvstore.Item) (nodetable.Record, error) {
	var r nodetable.Record
	if err := entry.Decode(item.Value, maxRecordBytes, &r); err != nil {
		return nodetable.Record{}, err
	}
	if r.Name != strings.TrimPrefix(item.Key, KeyPrefix) {
		return nodetable.Record{}, &nodetable.RecordError{Field: "Name", Problem: fmt.Sprintf("is %.40q, not that of its key", r.Name)}
	}
	if err := r.Validate(); err != nil {
		return nodetable.Record{}, err
	}
	return r, nil
}
