// Package gateway holds the messages of the etcd v3 JSON gateway that the
// project uses, as published with etcd: bytes are in base64 and 64-bit integers
// are in strings. Its field names are the gateway's own.
package gateway

// Paths of the gateway's calls; each is a POST.
const (
	RangePath = "/v3/kv/range"
	PutPath   = "/v3/kv/put"
	TxnPath   = "/v3/kv/txn"
)

// Values of the gateway's enumerations.
const (
	SortDescend  = "DESCEND"
	SortAscend   = "ASCEND"
	SortByKey    = "KEY"
	TargetMod    = "MOD"
	ResultEqual  = "EQUAL"
	MaxValueSize = 1 << 20 // Longest value that the platform holds, in bytes.
)

// Header carries the revision of the whole store.
type Header struct {
	Revision int64 `json:"revision,string"`
}

// KeyValue is one key. ModRevision is the store's revision of its last write.
type KeyValue struct {
	Key            []byte `json:"key"`
	Value          []byte `json:"value,omitempty"`
	CreateRevision int64  `json:"create_revision,string"`
	ModRevision    int64  `json:"mod_revision,string"`
	Version        int64  `json:"version,string"`
}

// RangeRequest reads Key alone, or the keys from Key up to but without RangeEnd.
type RangeRequest struct {
	Key        []byte `json:"key"`
	RangeEnd   []byte `json:"range_end,omitempty"`
	Limit      int64  `json:"limit,omitempty,string"`
	SortOrder  string `json:"sort_order,omitempty"`
	SortTarget string `json:"sort_target,omitempty"`
	KeysOnly   bool   `json:"keys_only,omitempty"`
}

// RangeResponse answers a RangeRequest.
type RangeResponse struct {
	Header Header     `json:"header"`
	KVs    []KeyValue `json:"kvs,omitempty"`
	More   bool       `json:"more,omitempty"`
	Count  int64      `json:"count,omitempty,string"`
}

// PutRequest writes one key.
type PutRequest struct {
	Key   []byte `json:"key"`
	Value []byte `json:"value,omitempty"`
}

// DeleteRequest deletes one key.
type DeleteRequest struct {
	Key []byte `json:"key"`
}

// Compare is true when the key was last written at ModRevision; zero means
// that it does not exist.
type Compare struct {
	Key         []byte `json:"key"`
	Target      string `json:"target"`
	Result      string `json:"result"`
	ModRevision int64  `json:"mod_revision,string"`
}

// Operation is one step of a transaction; exactly one field is set.
type Operation struct {
	Put    *PutRequest    `json:"request_put,omitempty"`
	Delete *DeleteRequest `json:"request_delete_range,omitempty"`
}

// TxnRequest runs Success as one step if every comparison is true.
type TxnRequest struct {
	Compare []Compare   `json:"compare,omitempty"`
	Success []Operation `json:"success,omitempty"`
}

// TxnResponse answers a TxnRequest, and in its header alone a PutRequest.
type TxnResponse struct {
	Header    Header `json:"header"`
	Succeeded bool   `json:"succeeded,omitempty"`
}

// Failure is the body of an answer that is not 200.
type Failure struct {
	Code    int    `json:"code"`
	Message string `json:"message"`
}
