package server

import (
	"time"

	"arbutusdeck/core/admin"
)

// sections returns the status sections that only the host daemon has.
func (s *Server) sections() map[string]admin.Section {
	return map[string]admin.Section{
		"ledger":  s.locked(func(time.Time) any { return s.core.Ledger() }),
		"queues":  s.locked(func(now time.Time) any { return s.core.Queues(now) }),
		"memory":  s.locked(func(time.Time) any { return s.core.Memory() }),
		"reports": func() any { return s.reports.all() },
		"engines": s.locked(func(time.Time) any { return s.core.Engines() }),
	}
}

func (s *Server) locked(read func(now time.Time) any) admin.Section {
	return func() any {
		s.mu.Lock()
		defer s.mu.Unlock()
		return read(time.Now())
	}
}
