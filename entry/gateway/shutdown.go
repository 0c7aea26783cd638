package gateway

import (
	"time"

	"github.com/sirupsen/logrus"

	"arbutusdeck/core/execution"
	"arbutusdeck/core/peering"
)

// beginShutdown keeps accepting requests for shutdownLinger: until the load balancer notices,
// callers still connect to this entry, and a closed port would reset them.
func (s *Server) beginShutdown() {
	now := time.Now()
	s.stopping.Store(&now)
	s.stopQueues(now)
	s.manager.Join()
	s.mu.Lock()
	s.wakeClaims()
	s.mu.Unlock()
	time.AfterFunc(shutdownLinger, func() {
		s.log.WithFields(logrus.Fields{"open": s.manager.Open() - 1}).Info("no new requests are taken")
		s.callers.CloseIdle()
		s.manager.End()
	})
}

// acceptsRequests reports whether new requests are accepted.
func (s *Server) acceptsRequests(now time.Time) bool {
	since := s.stopping.Load()
	return since == nil || now.Sub(*since) < shutdownLinger
}

// otherEntryDelay is the Retry-After of a caller that another entry can serve: at once, on a new
// connection.
const otherEntryDelay = 50 * time.Millisecond

// shutdownRetryAfter returns the Retry-After of a request that is refused during shutdown. In a
// rolling restart that is faster than the entries drain, all of them may be stopping; a caller that
// returns at once is refused again and has no retry left.
func (s *Server) shutdownRetryAfter(now time.Time) time.Duration {
	wait, known := s.peers.TimeToNextServing(now, s.ShutdownTimeout())
	if known && wait == 0 {
		return otherEntryDelay
	}
	own := peering.RestartTime + peering.BalancerDelay
	if since := s.stopping.Load(); since != nil {
		own += max(since.Add(s.ShutdownTimeout()).Sub(now), 0)
	}
	if !known || own < wait {
		wait = own
	}
	// Jitter of up to a quarter: all callers return to the same entry.
	return wait + time.Duration(s.randomFloat()*float64(wait)/4)
}

// remainingLifetime returns the time until this entry exits, once it stops and another entry
// serves; 0 otherwise. If no other entry serves, a response that may be aborted is better than
// none.
func (s *Server) remainingLifetime(now time.Time) time.Duration {
	since := s.stopping.Load()
	if since == nil {
		return 0
	}
	if wait, known := s.peers.TimeToNextServing(now, s.ShutdownTimeout()); !known || wait > 0 {
		return 0
	}
	return max(since.Add(s.ShutdownTimeout()).Sub(now), time.Nanosecond)
}

// ShutdownTimeout returns the time that a graceful shutdown waits for open requests.
func (s *Server) ShutdownTimeout() time.Duration {
	return max(s.settings.StopLimit.D()-shutdownMargin, shutdownMargin)
}

// shutdownRefusal returns the refusal of a request because this entry stops.
func (e *exchange) shutdownRefusal() execution.Refusal {
	return execution.Refusal{Code: CodeStopping, Detail: "this entry is about to stop", RetryAfter: e.s.shutdownRetryAfter(time.Now())}
}
