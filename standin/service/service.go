// Package service simulates a plain service whose calls are not idempotent, such
// as order processing or printing. It counts how often each call ran.
package service

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Server serves the calls of the simulated service.
type Server struct {
	mu    sync.Mutex
	runs  map[string]int
	delay time.Duration
	fence uint64 // highest fencing token seen
}

// New returns a service that takes delay for each call.
func New(delay time.Duration) *Server { return &Server{runs: map[string]int{}, delay: delay} }

// Reply is the response to a call. Ran counts the runs of the same body so far.
type Reply struct {
	Ran  int    `json:"ran"`
	Body string `json:"body"`
	Path string `json:"path"`
}

// ServeHTTP runs one call. It responds 409 to a fencing token below the highest
// one seen.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, "the body broke off", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	if fence, err := strconv.ParseUint(r.Header.Get("X-Fencing-Token"), 10, 64); err == nil {
		if fence < s.fence {
			s.mu.Unlock()
			w.WriteHeader(http.StatusConflict)
			return
		}
		s.fence = fence
	}
	s.runs[string(body)]++
	reply := Reply{Ran: s.runs[string(body)], Body: string(body), Path: r.URL.Path}
	delay := s.delay
	s.mu.Unlock()
	time.Sleep(delay)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(reply)
}

// Fence returns the highest fencing token seen.
func (s *Server) Fence() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fence
}

// Runs returns the number of runs of a body.
func (s *Server) Runs(body string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[body]
}
