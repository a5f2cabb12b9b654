// Package gateway defines the messages of the etcd v3 JSON gateway that the project
// uses, with the field names of its published API. Bytes are encoded as base64 and
// 64-bit integers as strings.
package gateway

// URL paths of the gateway's calls, each a POST.
const (
	RangePath = "/v3/kv/range"
	PutPath   = "/v3/kv/put"
	TxnPath   = "/v3/kv/txn"
)

// Values of the gateway's enumerations, and the maximum length of a value.
const (
	SortDescend  = "DESCEND"
	SortAscend   = "ASCEND"
	SortByKey    = "KEY"
	TargetMod    = "MOD"
	ResultEqual  = "EQUAL"
	MaxValueSize = 1 << 20 // Maximum length of a value in the platform's store, in bytes.
)

// Header contains the revision of the store.
type Header struct {
	Revision int64 `json:"revision,string"`
}

// KeyValue is a key-value pair. ModRevision is the store revision of its last write.
type KeyValue struct {
	Key            []byte `json:"key"`
	Value          []byte `json:"value,omitempty"`
	CreateRevision int64  `json:"create_revision,string"`
	ModRevision    int64  `json:"mod_revision,string"`
	Version        int64  `json:"version,string"`
}

// RangeRequest reads Key only, or the keys from Key up to but not including
// RangeEnd.
type RangeRequest struct {
	Key        []byte `json:"key"`
	RangeEnd   []byte `json:"range_end,omitempty"`
	Limit      int64  `json:"limit,omitempty,string"`
	SortOrder  string `json:"sort_order,omitempty"`
	SortTarget string `json:"sort_target,omitempty"`
	KeysOnly   bool   `json:"keys_only,omitempty"`
}

// RangeResponse is the response to a RangeRequest.
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

// Compare is the condition that the key was last written at ModRevision; zero means
// that the key does not exist.
type Compare struct {
	Key         []byte `json:"key"`
	Target      string `json:"target"`
	Result      string `json:"result"`
	ModRevision int64  `json:"mod_revision,string"`
}

// Operation is one operation of a transaction; exactly one field is set.
type Operation struct {
	Put    *PutRequest    `json:"request_put,omitempty"`
	Delete *DeleteRequest `json:"request_delete_range,omitempty"`
}

// TxnRequest executes Success atomically if every condition in Compare holds.
type TxnRequest struct {
	Compare []Compare   `json:"compare,omitempty"`
	Success []Operation `json:"success,omitempty"`
}

// TxnResponse is the response to a TxnRequest. Its header alone is also the
// response to a PutRequest.
type TxnResponse struct {
	Header    Header `json:"header"`
	Succeeded bool   `json:"succeeded,omitempty"`
}

// ErrorResponse is the body of a response with a status other than 200.
type ErrorResponse struct {
	Code    int    `json:"code"`
	Message string `json:"message"`
}
