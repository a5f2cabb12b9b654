// Package store is an in-memory stand-in for the platform's key-value service.
// It speaks the etcd v3 JSON gateway and fails on demand.
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
	maxHistory     = 100_000 // Writes that can be undone by a restore.
)

// Counts are the calls since the start, by kind. A call that failed counts too.
type Counts struct {
	Range   uint64
	Put     uint64
	Txn     uint64
	Refused uint64 // Calls of any kind that met an outage.
	Lost    uint64 // Writes whose answer was lost after they took effect.
}

type entry struct {
	value                []byte
	created, mod, writes int64
}

// undo is one write with what the key held before; a zero writes means nothing.
type undo struct {
	revision int64
	key      string
	before   entry
}

// Store is the stand-in. Its zero value is an empty store without faults.
type Store struct {
	mu       sync.Mutex
	fault    Fault
	revision int64
	entries  map[string]entry
	keys     []string // Sorted.
	history  []undo
	counts   Counts
	random   *rand.Rand
}

// Handler returns the HTTP interface: the gateway's calls, and the control
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
	m.HandleFunc("GET /control", s.serveFault)
	m.HandleFunc("POST /control", s.serveControl)
	m.HandleFunc("GET /control/counts", s.serveCounts)
	return m
}

// Counts returns the calls so far.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Revision returns the number of the last write.
func (s *Store) Revision() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// serve decodes one call, suffers the faults that are switched on, and applies
// the call. A slow write takes effect even when its caller has given up.
func serve[Q, A any](s *Store, w http.ResponseWriter, r *http.Request, count *uint64, write bool, apply func(Q) (A, error)) {
	var q Q
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxRequestSize)).Decode(&q); err != nil {
		reject(w, err)
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
		drop(w)
		return
	}
	a, err := apply(q)
	lost := write && err == nil && s.loseAnswer()
	s.mu.Unlock()
	switch {
	case err != nil:
		reject(w, err)
	case lost:
		drop(w)
	default:
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(a)
	}
}

func (s *Store) loseAnswer() bool {
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
	return s.run([]gateway.Operation{{Put: &q}})
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
	return s.run(q.Success)
}

// run applies the operations at one new revision, all or none.
func (s *Store) run(ops []gateway.Operation) (gateway.TxnResponse, error) {
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
			s.set(string(o.Put.Key), e)
		} else {
			s.set(string(o.Delete.Key), entry{})
		}
	}
	return gateway.TxnResponse{Header: gateway.Header{Revision: s.revision}, Succeeded: true}, nil
}

func (s *Store) set(key string, e entry) {
	s.history = append(s.history, undo{revision: s.revision, key: key, before: s.entries[key]})
	if len(s.history) > maxHistory {
		s.history = slices.Clone(s.history[maxHistory/2:])
	}
	s.replace(key, e)
}

func (s *Store) replace(key string, e entry) {
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

func reject(w http.ResponseWriter, err error) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusBadRequest)
	_ = json.NewEncoder(w).Encode(gateway.ErrorResponse{Code: http.StatusBadRequest, Message: err.Error()})
}

// drop closes the connection without an answer.
func drop(w http.ResponseWriter) {
	if h, ok := w.(http.Hijacker); ok {
		if c, _, err := h.Hijack(); err == nil {
			_ = c.Close()
			return
		}
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}
