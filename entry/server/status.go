package server

import (
	"sync"
	"time"

	"arbutusdeck/core/admin"
	"arbutusdeck/core/admission"
	"arbutusdeck/core/execution"
	"arbutusdeck/core/routing"
)

// RoutingRecord describes how one request was routed, for the admin API.
type RoutingRecord struct {
	Request   execution.RequestID `json:"request"`
	Time      time.Time           `json:"time"`
	Workspace string              `json:"workspace"`
	Kind      string              `json:"kind,omitempty"`
	Service   string              `json:"service,omitempty"`
	Class     string              `json:"class,omitempty"`
	Tokens    int64               `json:"promptTokens"`
	Picks     []routing.Decision  `json:"picks"`
	Outcome   string              `json:"outcome"`
	Code      execution.Code      `json:"code,omitempty"`
	Attempts  int                 `json:"attempts"`
	Took      time.Duration       `json:"tookNs"`
}

func (r *RoutingRecord) add(decision routing.Decision) { r.Picks = append(r.Picks, decision) }

// maxRoutingRecords bounds the records that routingLog holds.
const maxRoutingRecords = 500

// routingLog is a ring buffer of the routing records of the latest finished requests.
type routingLog struct {
	mu      sync.Mutex
	records []*RoutingRecord
	next    int
}

// add stores the record of a finished request. The caller must not change it afterwards.
func (l *routingLog) add(record *RoutingRecord) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.records) < maxRoutingRecords {
		l.records = append(l.records, record)
		return
	}
	l.records[l.next] = record
	l.next = (l.next + 1) % maxRoutingRecords
}

func (l *routingLog) list() []*RoutingRecord {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append(append([]*RoutingRecord{}, l.records[l.next:]...), l.records[:l.next]...)
}

// HallStatus lists the servers of one hall, for the admin API.
type HallStatus struct {
	Hall    string   `json:"hall"`
	Model   string   `json:"model"`
	Version string   `json:"version"`
	Servers []string `json:"servers"`
}

func (s *Server) sections() map[string]admin.Section {
	return map[string]admin.Section{
		"members": func() any { return s.memberStatus() },
		"loads":   func() any { return s.loadStatus() },
		"limits":  func() any { return s.limitStatus() },
		"halls":   func() any { return s.hallStatus() },
		"routes":  func() any { return s.routing.list() },
	}
}

func (s *Server) memberStatus() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Members()
}

func (s *Server) loadStatus() []routing.ServerLoad {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Loads(time.Now())
}

func (s *Server) limitStatus() []admission.WorkspaceUsage {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.QuotaUsage(time.Now())
}

func (s *Server) hallStatus() []HallStatus {
	snapshot := s.Store.Current()
	if snapshot == nil {
		return nil
	}
	var rows []HallStatus
	for name, hall := range snapshot.Halls {
		rows = append(rows, HallStatus{Hall: name, Model: hall.Model, Version: hall.Version, Servers: snapshot.HallServers(name)})
	}
	return rows
}
