package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is one key of the store, as the platform's pages describe it.
type item struct {
	Key      string
	Value    []byte `json:",omitempty"`
	Revision uint64
	Removed  bool `json:",omitempty"`
}

// store is a stand-in for the platform's metadata store.
type store struct {
	address string

	mu       sync.Mutex
	revision uint64
	items    map[string]item
	events   []item
	changed  chan struct{}
}

// pageSize is the number of items in a page of a range.
const pageSize = 500

func newStore() (*store, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{address: listener.Addr().String(), items: map[string]item{}, changed: make(chan struct{}), revision: 1}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv-range", s.list)
	mux.HandleFunc("GET /v1/kv-watch", s.watch)
	go func() { _ = http.Serve(listener, mux) }()
	return s, nil
}

// put writes a value as JSON.
func (s *store) put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	row := item{Key: key, Value: data, Revision: s.revision}
	s.items[key] = row
	s.record(row)
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	delete(s.items, key)
	s.record(item{Key: key, Revision: s.revision, Removed: true})
}

// record appends an event and wakes the watches. The lock must be held.
func (s *store) record(event item) {
	s.events = append(s.events, event)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("Prefix"), r.URL.Query().Get("After")
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	page := struct {
		Items         []item
		HasMore       bool
		StoreRevision uint64
	}{Items: []item{}, HasMore: len(keys) > pageSize, StoreRevision: s.revision}
	for _, key := range keys[:min(len(keys), pageSize)] {
		page.Items = append(page.Items, s.items[key])
	}
	reply(w, page)
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("After"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("WaitMs"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		found := []item{}
		for _, event := range s.events {
			if event.Revision > after && strings.HasPrefix(event.Key, r.URL.Query().Get("Prefix")) {
				found = append(found, event)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		ended := false
		if len(found) == 0 {
			select {
			case <-changed:
				continue
			case <-r.Context().Done():
				return
			case <-timeout:
				ended = true
			}
		}
		if len(found) > 0 || ended {
			reply(w, struct {
				Events        []item `json:"events"`
				StoreRevision uint64
			}{found, revision})
			return
		}
	}
}

func reply(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
