// Package store is an in-memory stand-in for the platform's key-value store. It
// implements the etcd v3 JSON gateway and injects faults on demand.
package store

import (
	"bytes"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"net/http"
	"slices"
	"sort"
	"sync"
	"time"

	"filbertturn.example/filbertturn/internal/keyvalue/gateway"
)

const (
	maxRequestSize = 4 << 20
	maxHistory     = 100_000 // Most writes that a restore can undo.
)

// Counts are the numbers of calls since the start, by kind, including failed ones.
type Counts struct {
	Range   uint64
	Put     uint64
	Txn     uint64
	Refused uint64 // Calls of any kind rejected by an outage.
	Lost    uint64 // Writes that took effect but got no response.
}

// entry is the value of a key with the revisions that created and last modified it,
// and the number of writes since its creation.
type entry struct {
	value                []byte
	created, mod, writes int64
}

// historyEntry is one write and the entry that it replaced. In before, writes is zero if
// the key did not exist.
type historyEntry struct {
	revision int64
	key      string
	before   entry
}

// Store is the key-value store. The zero value is an empty store without faults. It is
// safe for concurrent use.
type Store struct {
	mu       sync.Mutex
	fault    Fault
	revision int64
	entries  map[string]entry
	keys     []string // Sorted.
	history  []historyEntry
	counts   Counts
	random   *rand.Rand
}

// Handler returns the HTTP handler of the gateway's calls and of the control
// endpoints /control and /control/counts.
func (s *Store) Handler() http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("POST "+gateway.RangePath, func(w http.ResponseWriter, r *http.Request) {
		serve(s, w, r, &s.counts.Range, false, s.rangeKeys)
	})
	m.HandleFunc("POST "+gateway.PutPath, func(w http.ResponseWriter, r *http.Request) {
		serve(s, w, r, &s.counts.Put, true, s.put)
	})
	m.HandleFunc("POST "+gateway.TxnPath, func(w http.ResponseWriter, r *http.Request) {
		serve(s, w, r, &s.counts.Txn, true, s.txn)
	})
	m.HandleFunc("GET /control", s.serveState)
	m.HandleFunc("POST /control", s.serveControl)
	m.HandleFunc("GET /control/counts", s.serveCounts)
	return m
}

// Counts returns the numbers of calls since the start.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Revision returns the revision of the last write.
func (s *Store) Revision() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// serve decodes one call, injects the fault and applies the call. A delayed write
// takes effect even if its caller has given up.
func serve[Q, A any](s *Store, w http.ResponseWriter, r *http.Request, count *uint64, write bool, apply func(Q) (A, error)) {
	var q Q
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestSize)).Decode(&q); err != nil {
		writeError(w, err)
		return
	}
	s.mu.Lock()
	*count++
	delay := s.fault.Delay
	s.mu.Unlock()
	time.Sleep(delay)

	s.mu.Lock()
	if s.fault.Outage {
		s.counts.Refused++
		s.mu.Unlock()
		closeConnection(w)
		return
	}
	a, err := apply(q)
	lost := write && err == nil && s.loseResponse()
	s.mu.Unlock()
	switch {
	case err != nil:
		writeError(w, err)
	case lost:
		closeConnection(w)
	default:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(a)
	}
}

// loseResponse reports whether the response to the current write is to be lost. The
// caller holds s.mu.
func (s *Store) loseResponse() bool {
	if s.random == nil {
		s.random = rand.New(rand.NewPCG(1, 1))
	}
	lost := s.fault.LoseNext > 0 || s.random.Float64() < s.fault.LoseProbability
	if s.fault.LoseNext > 0 {
		s.fault.LoseNext--
	}
	if lost {
		s.counts.Lost++
	}
	return lost
}

func (s *Store) rangeKeys(q gateway.RangeRequest) (gateway.RangeResponse, error) {
	a := gateway.RangeResponse{Header: gateway.Header{Revision: s.revision}}
	first := sort.SearchStrings(s.keys, string(q.Key))
	last := first
	switch {
	case len(q.RangeEnd) == 0:
		if first < len(s.keys) && s.keys[first] == string(q.Key) {
			last = first + 1
		}
	case bytes.Equal(q.RangeEnd, []byte{0}):
		last = len(s.keys)
	default:
		last = max(first, sort.SearchStrings(s.keys, string(q.RangeEnd)))
	}
	found := slices.Clone(s.keys[first:last])
	a.Count = int64(len(found))
	if q.SortOrder == gateway.SortDescend {
		slices.Reverse(found)
	}
	if q.Limit > 0 && q.Limit < int64(len(found)) {
		found, a.More = found[:q.Limit], true
	}
	for _, k := range found {
		e := s.entries[k]
		kv := gateway.KeyValue{Key: []byte(k), Value: e.value, CreateRevision: e.created, ModRevision: e.mod, Version: e.writes}
		if q.KeysOnly {
			kv.Value = nil
		}
		a.KVs = append(a.KVs, kv)
	}
	return a, nil
}

func (s *Store) put(q gateway.PutRequest) (gateway.TxnResponse, error) {
	return s.applyOperations([]gateway.Operation{{Put: &q}})
}

func (s *Store) txn(q gateway.TxnRequest) (gateway.TxnResponse, error) {
	for _, c := range q.Compare {
		if c.Target != gateway.TargetMod || c.Result != gateway.ResultEqual {
			return gateway.TxnResponse{}, errors.New("comparison is not supported by the stand-in")
		}
		if s.entries[string(c.Key)].mod != c.ModRevision {
			return gateway.TxnResponse{Header: gateway.Header{Revision: s.revision}}, nil
		}
	}
	return s.applyOperations(q.Success)
}

// applyOperations applies all operations at one new revision, or none if one of them
// is invalid. The caller holds s.mu.
func (s *Store) applyOperations(ops []gateway.Operation) (gateway.TxnResponse, error) {
	for _, o := range ops {
		if (o.Put == nil) == (o.Delete == nil) {
			return gateway.TxnResponse{}, errors.New("operation is not supported by the stand-in")
		}
		if o.Put != nil && (len(o.Put.Key) == 0 || len(o.Put.Value) > gateway.MaxValueSize) {
			return gateway.TxnResponse{}, errors.New("etcdserver: request is too large")
		}
	}
	s.revision++
	for _, o := range ops {
		if o.Put != nil {
			e := s.entries[string(o.Put.Key)]
			if e.writes == 0 {
				e.created = s.revision
			}
			e.value, e.mod, e.writes = o.Put.Value, s.revision, e.writes+1
			s.recordAndReplace(string(o.Put.Key), e)
		} else {
			s.recordAndReplace(string(o.Delete.Key), entry{})
		}
	}
	return gateway.TxnResponse{Header: gateway.Header{Revision: s.revision}, Succeeded: true}, nil
}

// recordAndReplace adds the write to the history and sets the entry of a key.
func (s *Store) recordAndReplace(key string, e entry) {
	s.history = append(s.history, historyEntry{revision: s.revision, key: key, before: s.entries[key]})
	if len(s.history) > maxHistory {
		s.history = slices.Clone(s.history[maxHistory/2:])
	}
	s.replaceEntry(key, e)
}

// replaceEntry sets the entry of a key, or deletes the key if e has no writes.
func (s *Store) replaceEntry(key string, e entry) {
	i, found := slices.BinarySearch(s.keys, key)
	if e.writes == 0 {
		if found {
			s.keys = slices.Delete(s.keys, i, i+1)
			delete(s.entries, key)
		}
		return
	}
	if !found {
		s.keys = slices.Insert(s.keys, i, key)
	}
	if s.entries == nil {
		s.entries = map[string]entry{}
	}
	s.entries[key] = e
}

// writeError responds with status 400 and the error in the gateway's format.
func writeError(w http.ResponseWriter, err error) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusBadRequest)
	_ = json.NewEncoder(w).Encode(gateway.ErrorResponse{Code: http.StatusBadRequest, Message: err.Error()})
}

// closeConnection closes the connection without a response, or responds with status 503
// if the connection cannot be hijacked.
func closeConnection(w http.ResponseWriter) {
	if h, ok := w.(http.Hijacker); ok {
		if c, _, err := h.Hijack(); err == nil {
			_ = c.Close()
			return
		}
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}
