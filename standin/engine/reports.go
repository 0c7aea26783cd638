package engine

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/uptrace/bunrouter"
)

const (
	// loadReportDelay is the age of the load that an engine reports.
	loadReportDelay = 2 * time.Second
	// loadSampleInterval is the interval between two samples of the load.
	loadSampleInterval = 200 * time.Millisecond
	// withheldCacheEvents is the number of newest cache events that are not yet
	// reported; every lostCacheEvent-th event is never reported.
	withheldCacheEvents = 2
	lostCacheEvent      = 7
)

// Load is an engine's report of its load, as it was loadReportDelay ago.
type Load struct {
	Running    int   `json:"running"`
	UsedTokens int64 `json:"usedTokens"`
}

// sampleLoad keeps the load samples of the last loadReportDelay, oldest first.
func (s *Server) sampleLoad() {
	ticker := time.NewTicker(loadSampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			s.mu.Lock()
			s.loads = append(s.loads, Load{Running: len(s.model.streams), UsedTokens: s.model.UsedTokens()})
			if len(s.loads) > int(loadReportDelay/loadSampleInterval) {
				s.loads = s.loads[1:]
			}
			s.mu.Unlock()
		case <-s.closed:
			return
		}
	}
}

// serveLoad reports the load as it was loadReportDelay ago.
func (s *Server) serveLoad(w http.ResponseWriter, _ bunrouter.Request) error {
	s.mu.Lock()
	var oldest Load
	if len(s.loads) > 0 {
		oldest = s.loads[0]
	}
	s.mu.Unlock()
	return json.NewEncoder(w).Encode(oldest)
}

// serveCacheEvents reports changes of the prefix cache, with a delay and with gaps.
func (s *Server) serveCacheEvents(w http.ResponseWriter, r bunrouter.Request) error {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	reported := []CacheEvent{}
	s.mu.Lock()
	for _, event := range s.model.events[:max(0, len(s.model.events)-withheldCacheEvents)] {
		if event.Sequence > after && event.Sequence%lostCacheEvent != 0 {
			reported = append(reported, event)
		}
	}
	s.mu.Unlock()
	return json.NewEncoder(w).Encode(reported)
}
