package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeItem is an item of the store as it is sent.
type storeItem struct {
	Key       string `json:"key"`
	Value     []byte `json:"value"`
	Rev       int64  `json:"rev"`
	CreateRev int64  `json:"create_rev"`
	Lease     int64  `json:"lease"`
}

// lease is a lease of the store.
type lease struct {
	ttl   time.Duration
	until time.Time
}

// store is the platform's key-value service, in memory and without faults.
type store struct {
	mu     sync.Mutex
	items  map[string]storeItem
	leases map[int64]lease
	rev    int64
	last   int64
}

func newStore() *store {
	return &store{items: make(map[string]storeItem), leases: make(map[int64]lease), rev: 1}
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(time.Now())
	call, id, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/filbertturn/"), "/")
	switch call {
	case "kv-key":
		i, ok := s.items[r.URL.Query().Get("key")]
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		reply(w, struct {
			storeItem
			CurrentRev int64 `json:"current_rev"`
		}{i, s.rev})
	case "kv-range":
		s.list(w, r.URL.Query().Get("prefix"), r.URL.Query().Get("after"))
	case "kv-txn":
		s.change(w, r)
	case "kv-lease", "kv-keep", "kv-lease-end":
		s.changeLease(w, r, call, id)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// expire removes the leases that have ended, with their keys. s.mu must be held.
func (s *store) expire(now time.Time) {
	for id, l := range s.leases {
		if now.After(l.until) {
			s.endLease(id)
		}
	}
}

func (s *store) endLease(id int64) {
	delete(s.leases, id)
	for k, i := range s.items {
		if i.Lease == id {
			delete(s.items, k)
			s.rev++
		}
	}
}

func (s *store) list(w http.ResponseWriter, prefix, after string) {
	items := []storeItem{}
	for k, i := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			items = append(items, i)
		}
	}
	slices.SortFunc(items, func(a, b storeItem) int { return strings.Compare(a.Key, b.Key) })
	reply(w, map[string]any{"items": items, "truncated": false, "current_rev": s.rev})
}

// change does a transaction.
func (s *store) change(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Expected []storeItem `json:"expected_rev"`
		Puts     []storeItem `json:"puts"`
		Remove   []string    `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, p := range t.Puts {
		if _, ok := s.leases[p.Lease]; p.Lease != 0 && !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	for _, e := range t.Expected {
		if s.items[e.Key].Rev != e.Rev {
			w.WriteHeader(http.StatusPreconditionFailed)
			return
		}
	}
	s.rev++
	for _, p := range t.Puts {
		s.put(p)
	}
	for _, k := range t.Remove {
		delete(s.items, k)
	}
	reply(w, map[string]any{"rev": s.rev})
}

// put writes an item at the current revision.
func (s *store) put(p storeItem) {
	p.Rev, p.CreateRev = s.rev, s.rev
	if old, ok := s.items[p.Key]; ok {
		p.CreateRev = old.CreateRev
	}
	s.items[p.Key] = p
}

func (s *store) changeLease(w http.ResponseWriter, r *http.Request, call, id string) {
	if call == "kv-lease" {
		var t struct {
			TTL float64 `json:"ttl_s_time"`
		}
		if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		s.last++
		l := lease{ttl: time.Duration(max(t.TTL, 1) * float64(time.Second))}
		l.until = time.Now().Add(l.ttl)
		s.leases[s.last] = l
		reply(w, map[string]any{"lease": s.last, "ttl_s_time": l.ttl.Seconds()})
		return
	}
	n, err := strconv.ParseInt(id, 10, 64)
	l, ok := s.leases[n]
	if err != nil || !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	if call == "kv-lease-end" {
		s.endLease(n)
	} else {
		l.until = time.Now().Add(l.ttl)
		s.leases[n] = l
	}
	reply(w, map[string]any{"ttl_s_time": l.ttl.Seconds()})
}

// set writes a key on behalf of the operator.
func (s *store) set(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.put(storeItem{Key: key, Value: value})
}

func reply(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v) // An error means that the node has closed the connection.
}
