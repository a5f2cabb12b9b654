package main

import (
	"encoding/json"
	"maps"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	storeLatency = 4 * time.Millisecond // Of each answer.
	pageSize     = 500
	prefix       = "/filbertturn/"
)

// item is a key of the store with its value.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value"`
	Rev       int64  `json:"rev"`
	CreateRev int64  `json:"create_rev"`
	Lease     int64  `json:"lease"`
}

// lease is a lease of the store.
type lease struct {
	ttl time.Duration
	end time.Time
}

// storeCopy is a copy of the store's content.
type storeCopy struct {
	taken     time.Time
	rev       int64
	lastLease int64
	items     map[string]item
	leases    map[int64]lease
}

// store is a stand-in of the platform's metadata store.
type store struct {
	record *record

	mu        sync.Mutex // Guards the fields below.
	rev       int64
	lastLease int64
	era       int
	away      bool
	items     map[string]item
	leases    map[int64]lease
}

func newStore(r *record) *store {
	return &store{record: r, rev: 1, era: 1, items: make(map[string]item), leases: make(map[int64]lease)}
}

// ServeHTTP serves the calls of the nodes.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeLatency)
	s.mu.Lock()
	defer s.mu.Unlock()
	w.Header().Set("Store-Era", strconv.Itoa(s.era))
	w.Header().Set("Content-Type", "application/json")
	if s.away {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.endLeases(time.Now())
	query := r.URL.Query()
	call := strings.TrimPrefix(r.URL.Path, prefix)
	switch {
	case r.Method == http.MethodGet && call == "kv-key":
		s.get(w, query.Get("key"))
	case r.Method == http.MethodGet && call == "kv-range":
		s.list(w, query.Get("prefix"), query.Get("after"))
	case r.Method == http.MethodGet && call == "kv-watch":
		w.WriteHeader(http.StatusGone)
	case r.Method == http.MethodPost && call == "kv-txn":
		s.transact(w, r)
	case r.Method == http.MethodPost && call == "kv-lease":
		s.grant(w, r)
	case r.Method == http.MethodPost && strings.HasPrefix(call, "kv-keep/"):
		s.renew(w, strings.TrimPrefix(call, "kv-keep/"))
	case r.Method == http.MethodDelete && strings.HasPrefix(call, "kv-lease-end/"):
		id, _ := strconv.ParseInt(strings.TrimPrefix(call, "kv-lease-end/"), 10, 64)
		s.endLease(id)
		reply(w, map[string]any{})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func reply(w http.ResponseWriter, body any) {
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) get(w http.ResponseWriter, key string) {
	i, ok := s.items[key]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		reply(w, map[string]any{"current_rev": s.rev})
		return
	}
	reply(w, struct {
		item
		CurrentRev int64 `json:"current_rev"`
	}{i, s.rev})
}

func (s *store) list(w http.ResponseWriter, prefix, after string) {
	var keys []string
	for k := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	truncated := len(keys) > pageSize
	page := []item{}
	for _, k := range keys[:min(len(keys), pageSize)] {
		page = append(page, s.items[k])
	}
	reply(w, map[string]any{"items": page, "truncated": truncated, "current_rev": s.rev})
}

// transaction is the body of a write.
type transaction struct {
	Expected []struct {
		Key string `json:"key"`
		Rev int64  `json:"rev"`
	} `json:"expected_rev"`
	Puts []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
		Lease int64  `json:"lease"`
	} `json:"puts"`
	Remove []string `json:"remove"`
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var t transaction
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	for _, c := range t.Expected {
		if s.items[c.Key].Rev != c.Rev {
			w.WriteHeader(http.StatusPreconditionFailed)
			reply(w, map[string]any{"items": []item{s.items[c.Key]}, "current_rev": s.rev})
			return
		}
	}
	for _, p := range t.Puts {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		if _, ok := s.leases[p.Lease]; p.Lease != 0 && !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	s.rev++
	for _, p := range t.Puts {
		s.put(p.Key, p.Value, p.Lease)
		s.record.logf("store: revision %d, a node wrote %s", s.rev, p.Key)
	}
	for _, k := range t.Remove {
		delete(s.items, k)
		s.record.logf("store: revision %d, a node removed %s", s.rev, k)
	}
	reply(w, map[string]any{"rev": s.rev, "current_rev": s.rev})
}

// put writes a key at the current revision. s.mu must be held.
func (s *store) put(key string, value []byte, lease int64) {
	i := item{Key: key, Value: value, Rev: s.rev, CreateRev: s.rev, Lease: lease}
	if old, ok := s.items[key]; ok {
		i.CreateRev = old.CreateRev
	}
	s.items[key] = i
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTL float64 `json:"ttl_s_time"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil || body.TTL <= 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.lastLease++
	ttl := time.Duration(body.TTL * float64(time.Second))
	s.leases[s.lastLease] = lease{ttl, time.Now().Add(ttl)}
	reply(w, map[string]any{"lease": s.lastLease, "ttl_s_time": body.TTL})
}

func (s *store) renew(w http.ResponseWriter, text string) {
	id, _ := strconv.ParseInt(text, 10, 64)
	l, ok := s.leases[id]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	l.end = time.Now().Add(l.ttl)
	s.leases[id] = l
	reply(w, map[string]any{"lease": id, "ttl_s_time": l.ttl.Seconds()})
}

// endLeases ends the leases that have run out. s.mu must be held.
func (s *store) endLeases(now time.Time) {
	for id, l := range s.leases {
		if now.After(l.end) {
			s.endLease(id)
		}
	}
}

// endLease removes a lease with its keys. s.mu must be held.
func (s *store) endLease(id int64) {
	delete(s.leases, id)
	for k, i := range s.items {
		if i.Lease == id && id != 0 {
			s.rev++
			delete(s.items, k)
			s.record.logf("store: revision %d, %s is gone with its lease", s.rev, k)
		}
	}
}

// writeAsOperator writes a configuration and returns the time of the acknowledgement.
func (s *store) writeAsOperator(value []byte, what string) time.Time {
	time.Sleep(storeLatency)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.put(configuration, value, 0)
	s.record.logf("store: revision %d, the operator wrote %s: %s", s.rev, configuration, what)
	return time.Now()
}

// copy returns a copy of the content.
func (s *store) copy() storeCopy {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.record.logf("store: copy taken at revision %d", s.rev)
	return storeCopy{time.Now(), s.rev, s.lastLease, maps.Clone(s.items), maps.Clone(s.leases)}
}

// goAway makes the store refuse all calls.
func (s *store) goAway() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = true
	s.record.logf("store: away at revision %d", s.rev)
}

// comeBack makes the store serve again, from a copy. Leases have as much time left as in the copy. The
// operator's newest configuration is written again.
func (s *store) comeBack(c storeCopy, value []byte, what string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away, s.rev, s.lastLease, s.items = false, c.rev, c.lastLease, maps.Clone(c.items)
	s.leases = make(map[int64]lease)
	for id, l := range c.leases {
		s.leases[id] = lease{l.ttl, time.Now().Add(l.end.Sub(c.taken))}
	}
	s.era++
	s.record.logf("store: back at revision %d, era %d", s.rev, s.era)
	s.rev++
	s.put(configuration, value, 0)
	s.record.logf("store: revision %d, the operator wrote %s: %s, again", s.rev, configuration, what)
}
