package server

import (
	"time"

	"arbutusdeck/core/admin"
)

// sections returns the status sections that only the host daemon has.
func (s *Server) sections() map[string]admin.Section {
	return map[string]admin.Section{
		"ledger":  s.withLock(func(time.Time) any { return s.core.Ledger() }),
		"queues":  s.withLock(func(now time.Time) any { return s.core.Queues(now) }),
		"memory":  s.withLock(func(time.Time) any { return s.core.Memory() }),
		"reports": func() any { return s.reports.latest() },
		"engines": s.withLock(func(time.Time) any { return s.core.Engines() }),
	}
}

func (s *Server) withLock(read func(now time.Time) any) admin.Section {
	return func() any {
		s.mu.Lock()
		defer s.mu.Unlock()
		return read(time.Now())
	}
}
