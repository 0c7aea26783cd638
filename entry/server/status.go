package server

import (
	"sync"
	"time"

	"arbutusdeck/core/admin"
	"arbutusdeck/core/admission"
	"arbutusdeck/core/execution"
	"arbutusdeck/core/routing"
)

// RoutingRecord says where one request went, and why.
type RoutingRecord struct {
	Request   execution.RequestID `json:"request"`
	Time      time.Time           `json:"time"`
	Workspace string              `json:"workspace"`
	Kind      string              `json:"kind,omitempty"`
	Service   string              `json:"service,omitempty"`
	Class     string              `json:"class,omitempty"`
	Tokens    int64               `json:"promptTokens"`
	Picks     []routing.Reason    `json:"picks"`
	Outcome   string              `json:"outcome"`
	Code      execution.Code      `json:"code,omitempty"`
	Attempts  int                 `json:"attempts"`
	Took      time.Duration       `json:"tookNs"`
}

func (r *RoutingRecord) add(reason routing.Reason) { r.Picks = append(r.Picks, reason) }

// keptRoutes is the number of routes kept for operators.
const keptRoutes = 500

// routeLog is a ring of the last routes.
type routeLog struct {
	mu     sync.Mutex
	routes []*RoutingRecord
	next   int
}

// add takes over a route that has ended; it is not changed any more.
func (l *routeLog) add(route *RoutingRecord) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.routes) < keptRoutes {
		l.routes = append(l.routes, route)
		return
	}
	l.routes[l.next] = route
	l.next = (l.next + 1) % keptRoutes
}

func (l *routeLog) list() []*RoutingRecord {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append(append([]*RoutingRecord{}, l.routes[l.next:]...), l.routes[:l.next]...)
}

// HallStatus is one hall with its servers.
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
		"routes":  func() any { return s.routes.list() },
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

func (s *Server) limitStatus() []admission.Use {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.core.Uses(time.Now())
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
