package engine

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/uptrace/bunrouter"
)

const (
	// reportLag is how old the load is that an engine reports.
	reportLag = 2 * time.Second
	// reportTick is how often the load is noted.
	reportTick = 200 * time.Millisecond
	// cacheLag is the number of newest cache events that are held back, and
	// every cacheGap-th event is never told.
	cacheLag = 2
	cacheGap = 7
)

// Load is an engine's report of its own load, some time ago.
type Load struct {
	Running    int   `json:"running"`
	UsedTokens int64 `json:"usedTokens"`
}

// noteLoad keeps the loads of the last while, oldest first.
func (s *Server) noteLoad() {
	ticker := time.NewTicker(reportTick)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			s.mu.Lock()
			s.loads = append(s.loads, Load{Running: len(s.model.streams), UsedTokens: s.model.UsedTokens()})
			if len(s.loads) > int(reportLag/reportTick) {
				s.loads = s.loads[1:]
			}
			s.mu.Unlock()
		case <-s.closed:
			return
		}
	}
}

// load tells the load of reportLag ago.
func (s *Server) load(w http.ResponseWriter, _ bunrouter.Request) error {
	s.mu.Lock()
	var oldest Load
	if len(s.loads) > 0 {
		oldest = s.loads[0]
	}
	s.mu.Unlock()
	return json.NewEncoder(w).Encode(oldest)
}

// cacheEvents tells changes of the prefix cache, late and with gaps.
func (s *Server) cacheEvents(w http.ResponseWriter, r bunrouter.Request) error {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	told := []CacheEvent{}
	s.mu.Lock()
	for _, event := range s.model.events[:max(0, len(s.model.events)-cacheLag)] {
		if event.Sequence > after && event.Sequence%cacheGap != 0 {
			told = append(told, event)
		}
	}
	s.mu.Unlock()
	return json.NewEncoder(w).Encode(told)
}
