package main

import (
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is the platform's metadata store.
type store struct {
	mu       sync.Mutex
	rev      int64
	items    map[string]storeItem
	leases   map[int64]storeLease
	lastID   int64
	listener net.Listener
	away     bool // Calls get their connections reset, and nothing is done.
}

// setAway begins or ends an outage.
func (s *store) setAway(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
}

// serve returns a handler that resets connections while the store is away.
func (s *store) serve(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		away := s.away
		s.mu.Unlock()
		if !away {
			next.ServeHTTP(w, r)
			return
		}
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	})
}

type storeItem struct {
	Key       string `json:"key"`
	Value     []byte `json:"value"`
	Rev       int64  `json:"rev"`
	CreateRev int64  `json:"create_rev"`
	Lease     int64  `json:"lease"`
}

type storeLease struct {
	ttl time.Duration
	end time.Time
}

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

func startStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{rev: 10, items: make(map[string]storeItem), leases: make(map[int64]storeLease), listener: l}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /filbertturn/kv-key", s.getKey)
	mux.HandleFunc("GET /filbertturn/kv-range", s.getRange)
	mux.HandleFunc("GET /filbertturn/kv-watch", s.watch)
	mux.HandleFunc("POST /filbertturn/kv-txn", s.write)
	mux.HandleFunc("POST /filbertturn/kv-lease", s.grant)
	mux.HandleFunc("POST /filbertturn/kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /filbertturn/kv-lease-end/{id}", s.endLease)
	server := &http.Server{Handler: s.serve(mux), ReadHeaderTimeout: 10 * time.Second}
	go func() { _ = server.Serve(l) }()
	return s, nil
}

func (s *store) address() string { return s.listener.Addr().String() }

// put writes a key on behalf of the operator.
func (s *store) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set(key, value, 0)
}

// set writes a key. s.mu must be held.
func (s *store) set(key string, value []byte, lease int64) {
	s.rev++
	created := s.rev
	if old, ok := s.items[key]; ok {
		created = old.CreateRev
	}
	s.items[key] = storeItem{Key: key, Value: value, Rev: s.rev, CreateRev: created, Lease: lease}
}

// expire ends leases. s.mu must be held.
func (s *store) expire() {
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.end) {
			s.drop(id)
		}
	}
}

// drop ends a lease with its keys. s.mu must be held.
func (s *store) drop(id int64) {
	delete(s.leases, id)
	for key, item := range s.items {
		if item.Lease == id {
			s.rev++
			delete(s.items, key)
		}
	}
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) getKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	item, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		reply(w, http.StatusNotFound, map[string]any{"current_rev": s.rev})
		return
	}
	reply(w, http.StatusOK, struct {
		storeItem
		CurrentRev int64 `json:"current_rev"`
	}{item, s.rev})
}

func (s *store) getRange(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	list := []storeItem{}
	for _, key := range slices.Sorted(maps.Keys(s.items)) {
		if strings.HasPrefix(key, r.URL.Query().Get("prefix")) && key > r.URL.Query().Get("after") {
			list = append(list, s.items[key])
		}
	}
	reply(w, http.StatusOK, map[string]any{"items": list, "truncated": false, "current_rev": s.rev})
}

// watch answers that the history is not available, which the page allows at any time.
func (s *store) watch(w http.ResponseWriter, _ *http.Request) {
	reply(w, http.StatusGone, map[string]any{})
}

func (s *store) write(w http.ResponseWriter, r *http.Request) {
	var t transaction
	if json.NewDecoder(r.Body).Decode(&t) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	for _, e := range t.Expected {
		if s.items[e.Key].Rev != e.Rev {
			reply(w, http.StatusPreconditionFailed, map[string]any{"items": []storeItem{}})
			return
		}
	}
	for _, p := range t.Puts {
		if _, ok := s.leases[p.Lease]; p.Lease != 0 && !ok {
			reply(w, http.StatusNotFound, map[string]any{})
			return
		}
	}
	for _, p := range t.Puts {
		s.set(p.Key, p.Value, p.Lease)
	}
	for _, key := range t.Remove {
		s.rev++
		delete(s.items, key)
	}
	reply(w, http.StatusOK, map[string]any{"rev": s.rev})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var in struct {
		TTL float64 `json:"ttl_s_time"`
	}
	if json.NewDecoder(r.Body).Decode(&in) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastID++
	ttl := time.Duration(in.TTL * float64(time.Second))
	s.leases[s.lastID] = storeLease{ttl, time.Now().Add(ttl)}
	reply(w, http.StatusOK, map[string]any{"lease": s.lastID, "ttl_s_time": in.TTL})
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	l, ok := s.leases[id]
	if !ok {
		reply(w, http.StatusNotFound, map[string]any{})
		return
	}
	l.end = time.Now().Add(l.ttl)
	s.leases[id] = l
	reply(w, http.StatusOK, map[string]any{"ttl_s_time": l.ttl.Seconds()})
}

func (s *store) endLease(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drop(id)
	reply(w, http.StatusOK, map[string]any{})
}
