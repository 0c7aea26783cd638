package gateway

import (
	"time"

	"arbutusdeck/core/placement"
	"arbutusdeck/core/routes"
)

// restrict excludes the servers that may get no request from this entry now from a query; the caller
// holds the lock.
func (s *Server) restrict(now time.Time, service *routes.Service, q placement.Query) placement.Query {
	s.excludeCold(now, service, &q)
	s.pauseLimited(now, &q)
	s.pauseRequested(now, &q)
	return q
}

// recordChoice counts a request that is about to be sent against the rates of its servers; the
// caller holds the lock.
func (s *Server) recordChoice(now time.Time, choice placement.Choice, refusal placement.Refusal) {
	if refusal != "" || choice.Wait > 0 {
		return
	}
	s.cold.RecordSend(now, choice.Server.IncarnationID())
	for i := range len(choice.Helpers) + 1 {
		s.limiter.RecordSend(now, choice.ServerAt(i).IncarnationID())
	}
}
