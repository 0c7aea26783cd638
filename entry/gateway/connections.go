package gateway

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"gopkg.in/tomb.v2"

	"arbutusdeck/core/peering"
	"arbutusdeck/core/process"
)

// connections watches the callers' connections. Those that wait for a request end by the
// idle limit of the configuration in force; the limit of http.Server can't change while it
// serves.
type connections struct {
	mu   sync.Mutex
	idle map[net.Conn]time.Time
	// active are those with a request whose answer is not written to its last byte.
	active map[net.Conn]struct{}
}

func (c *connections) changed(connection net.Conn, state http.ConnState) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.idle == nil {
		c.idle, c.active = map[net.Conn]time.Time{}, map[net.Conn]struct{}{}
	}
	delete(c.idle, connection)
	delete(c.active, connection)
	switch state {
	case http.StateActive:
		c.active[connection] = struct{}{}
	case http.StateIdle:
		c.idle[connection] = time.Now()
	}
}

// countActive counts the connections with an answer that is not written to its last byte.
func (c *connections) countActive() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.active)
}

// closeIdle ends the connections that have been idle for longer than a limit.
func (c *connections) closeIdle(now time.Time, limit time.Duration) {
	c.mu.Lock()
	var over []net.Conn
	for connection, since := range c.idle {
		if now.Sub(since) > limit {
			over = append(over, connection)
			delete(c.idle, connection)
		}
	}
	c.mu.Unlock()
	for _, connection := range over {
		// A close that fails leaves nothing to do: the connection is gone.
		_ = connection.Close()
	}
}

// serveCallers listens for callers.
func (s *Server) serveCallers(t *tomb.Tomb) error {
	listener, err := process.Listen(s.settings.ListenAddress)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: http.HandlerFunc(s.serveCaller), ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnState: s.connections.changed, ErrorLog: nil}
	process.Serve(t, listener, server)
	return nil
}

// beginStop keeps the daemon open for a while after the notice to stop: until the
// balancer has noticed, callers still connect here, and a closed port would cut
// them off.
func (s *Server) beginStop() {
	now := time.Now()
	s.stopping.Store(&now)
	s.manager.Join()
	time.AfterFunc(lingerAfterStop, func() {
		s.log.WithFields(logrus.Fields{"open": s.manager.Open() - 1}).Info("no new requests are taken")
		s.connections.closeIdle(time.Now().Add(time.Hour), 0)
		s.manager.End()
	})
}

// takesNew says whether a new request is taken.
func (s *Server) takesNew(now time.Time) bool {
	since := s.stopping.Load()
	return since == nil || now.Sub(*since) < lingerAfterStop
}

// elsewhereDelay is after how long a caller comes back that another entry can serve: at once,
// on a new connection.
const elsewhereDelay = 50 * time.Millisecond

// returnAfterStop is when a caller should come back that is refused because this entry stops.
// Where entries are restarted in turn faster than they drain, all of them may be stopping;
// a caller that comes back at once is refused again and has no try left.
func (s *Server) returnAfterStop(now time.Time) time.Duration {
	wait, known := s.peers.nextServing(now, s.StopLimit())
	if known && wait == 0 {
		return elsewhereDelay
	}
	own := peering.StartTime + peering.BalancerTime
	if since := s.stopping.Load(); since != nil {
		own += max(since.Add(s.StopLimit()).Sub(now), 0)
	}
	if !known || own < wait {
		wait = own
	}
	// Spread over a quarter of the time more: all come back to the same entry.
	return wait + time.Duration(s.random01()*float64(wait)/4)
}

// life is how long this entry still runs, once it stops and another entry serves; 0 otherwise. Where none
// does, an answer that may be cut off is better than none.
func (s *Server) life(now time.Time) time.Duration {
	since := s.stopping.Load()
	if since == nil {
		return 0
	}
	if wait, known := s.peers.nextServing(now, s.StopLimit()); !known || wait > 0 {
		return 0
	}
	return max(since.Add(s.StopLimit()).Sub(now), time.Nanosecond)
}

// StopLimit is how long a planned stop waits for open requests.
func (s *Server) StopLimit() time.Duration {
	return max(s.settings.StopLimit.D()-stopMargin, stopMargin)
}
