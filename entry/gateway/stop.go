package gateway

import (
	"time"

	"github.com/sirupsen/logrus"

	"arbutusdeck/core/execution"
	"arbutusdeck/core/peering"
)

// beginShutdown keeps the daemon open for a while after the notice to stop: until the
// balancer has noticed, callers still connect here, and a closed port would cut
// them off.
func (s *Server) beginShutdown() {
	now := time.Now()
	s.stopping.Store(&now)
	s.manager.Join()
	time.AfterFunc(shutdownLinger, func() {
		s.log.WithFields(logrus.Fields{"open": s.manager.Open() - 1}).Info("no new requests are taken")
		s.connections.closeIdle(time.Now(), 0)
		s.manager.End()
	})
}

// acceptsRequests says whether a new request is taken.
func (s *Server) acceptsRequests(now time.Time) bool {
	since := s.stopping.Load()
	return since == nil || now.Sub(*since) < shutdownLinger
}

// otherEntryDelay is after how long a caller comes back that another entry can serve: at once,
// on a new connection.
const otherEntryDelay = 50 * time.Millisecond

// shutdownRetryAfter is when a caller should come back that is refused because this entry stops.
// Where entries are restarted in turn faster than they drain, all of them may be stopping;
// a caller that comes back at once is refused again and has no try left.
func (s *Server) shutdownRetryAfter(now time.Time) time.Duration {
	wait, known := s.peers.timeToNextServing(now, s.ShutdownTimeout())
	if known && wait == 0 {
		return otherEntryDelay
	}
	own := peering.StartTime + peering.BalancerTime
	if since := s.stopping.Load(); since != nil {
		own += max(since.Add(s.ShutdownTimeout()).Sub(now), 0)
	}
	if !known || own < wait {
		wait = own
	}
	// Spread over a quarter of the time more: all come back to the same entry.
	return wait + time.Duration(s.randomFloat()*float64(wait)/4)
}

// remainingLifetime is how long this entry still runs, once it stops and another entry serves; 0 otherwise. Where none
// does, an answer that may be cut off is better than none.
func (s *Server) remainingLifetime(now time.Time) time.Duration {
	since := s.stopping.Load()
	if since == nil {
		return 0
	}
	if wait, known := s.peers.timeToNextServing(now, s.ShutdownTimeout()); !known || wait > 0 {
		return 0
	}
	return max(since.Add(s.ShutdownTimeout()).Sub(now), time.Nanosecond)
}

// ShutdownTimeout is how long a planned stop waits for open requests.
func (s *Server) ShutdownTimeout() time.Duration {
	return max(s.settings.ShutdownTimeout.D()-shutdownMargin, shutdownMargin)
}

// shutdownRefusal refuses a request because this entry stops.
func (e *exchange) shutdownRefusal() execution.Refusal {
	return execution.Refusal{Code: CodeStopping, Detail: "this entry is about to stop", RetryAfter: e.s.shutdownRetryAfter(time.Now())}
}
