package gateway

import (
	"encoding/json"
	"math"
	"net/http"
	"time"

	"gopkg.in/tomb.v2"

	"arbutusdeck/core/callers"
	"arbutusdeck/core/execution"
	"arbutusdeck/core/process"
	"arbutusdeck/platform"
)

// descriptorShares divides the sockets of the process, so that no use takes those of another.
type descriptorShares struct {
	// callers, peers, ready and metrics are connections that a listener accepts, servers connections to backend
	// servers. The rest is for connections to the store and to other entries.
	callers, servers, peers, ready, metrics int
}

// Smallest shares, for small limits: a health check or a scrape opens one connection at a time.
const (
	minReadyConnections   = 8
	minMetricsConnections = 4
)

// divideDescriptors divides a limit of descriptors. A request takes one connection of its caller and one to a server,
// so both have the same share.
func divideDescriptors(limit int) descriptorShares {
	sockets := process.SocketsOf(limit)
	return descriptorShares{callers: sockets * 40 / 100, servers: sockets * 40 / 100, peers: sockets * 10 / 100,
		ready: max(minReadyConnections, sockets*2/100), metrics: max(minMetricsConnections, sockets/100)}
}

// resources returns what the process may take of its machine.
func (s *Settings) resources() process.Resources {
	return process.Resources{MemoryMB: s.MemoryMB, MaxDescriptors: s.MaxDescriptors}
}

// Shares of the process's memory for what callers cause. The rest of the heap is for the views of servers and other
// entries, and for garbage.
const (
	// callerMemoryShare is for the connections and requests of callers.
	callerMemoryShare = 0.5
	// bodyMemoryShare is the part of it for large bodies. A body is kept until its request ends, since another attempt
	// may need it.
	bodyMemoryShare = 0.35
	// smallListenerShare is for the connections of the ready address, and again for those of the metrics address.
	smallListenerShare = 0.02
	// peerMemoryShare is for the connections and requests of other entries, and of others that reach the peer address.
	peerMemoryShare = 0.1
)

// callerLimits returns the limits of the listener for callers.
func (s *Settings) callerLimits() callers.Limits {
	resources := s.resources()
	return callers.Limits{Connections: divideDescriptors(resources.Descriptors()).callers, Memory: resources.Memory(callerMemoryShare),
		LargeBodies: resources.Memory(bodyMemoryShare)}
}

// otherLimits returns the limits of another listener.
func (s *Settings) otherLimits(connections int, memoryShare float64) callers.Limits {
	return callers.Limits{Connections: connections, LargeBodies: math.MaxInt64,
		Memory: max(s.resources().Memory(memoryShare), minReadyConnections*(callers.ConnectionBytes+callers.RequestBytes))}
}

// newCallerListener returns the listener for callers, which doesn't accept yet.
func (s *Server) newCallerListener() *callers.Listener {
	unavailable := closingResponse(http.StatusServiceUnavailable, execution.Refusal{Code: CodeMemoryFull, Detail: "the requests of callers take all the memory that they may", RetryAfter: bodiesRetryAfter})
	return callers.NewListener(callers.Options{Limits: s.settings.callerLimits(), HeaderBytes: s.headerLimit,
		TooLarge:    closingResponse(http.StatusRequestHeaderFieldsTooLarge, execution.Refusal{Code: CodeHeadersTooLarge, Detail: "the headers are larger than the configuration allows"}),
		Unavailable: func(*http.Request) []byte { return unavailable }})
}

// closingResponse returns a complete response to a request that has not run. Its connection is closed after it.
func closingResponse(status int, refusal execution.Refusal) []byte {
	content, err := json.Marshal(problem{Code: refusal.Code, Detail: refusal.Detail, Run: execution.NotRun.String()})
	if err != nil {
		panic(err) // the type can be encoded
	}
	header := http.Header{"Content-Type": {"application/json"}}
	if refusal.RetryAfter > 0 {
		platform.SetRetryAfter(header, refusal.RetryAfter)
	}
	return callers.ClosingResponse(status, header, content)
}

// serveCallers starts the HTTP server for callers.
func (s *Server) serveCallers(t *tomb.Tomb) error {
	listener, err := process.ListenForCallers(s.settings.ListenAddress)
	if err != nil {
		return err
	}
	process.Serve(t, s.callers.Listen(listener), s.callers.Server(http.HandlerFunc(s.serveRequest)))
	return nil
}

// otherServers returns the servers for others than callers of requests.
func (s *Server) otherServers() []process.LimitedServer {
	shares := divideDescriptors(s.settings.resources().Descriptors())
	unavailable := closingResponse(http.StatusServiceUnavailable, execution.Refusal{Code: CodeMemoryFull, Detail: "too many requests at once", RetryAfter: time.Second})
	server := func(address string, handler http.Handler, connections int, memory float64) process.LimitedServer {
		return process.LimitedServer{Address: address, Handler: handler, Limits: s.settings.otherLimits(connections, memory),
			Bounds:      process.SmallRequests,
			TooLarge:    closingResponse(http.StatusRequestHeaderFieldsTooLarge, execution.Refusal{Code: CodeHeadersTooLarge, Detail: "the headers are too large"}),
			Unavailable: func(*http.Request) []byte { return unavailable }}
	}
	return []process.LimitedServer{
		server(s.settings.ReadyAddress, s.readyRouter(), shares.ready, smallListenerShare),
		server(s.settings.MetricsAddress, s.metricsRouter(), shares.metrics, smallListenerShare),
		server(s.settings.PeerAddress, s.peers.Router(), shares.peers, peerMemoryShare),
	}
}

// expireConnections closes the connections that have been idle, or have been receiving headers, for too long.
func (s *Server) expireConnections(now time.Time) {
	s.callers.Expire(now, callers.Timeouts{Headers: s.headerTimeout(), Idle: s.idleTimeout()})
}

// headerLimit returns the limit of the request line and headers of a request, in bytes.
func (s *Server) headerLimit() int {
	if table := s.table.Load(); table != nil && table.Limits().HeaderBytes > 0 {
		return table.Limits().HeaderBytes + requestLineBytes
	}
	return defaultHeaderBytes
}

// headerTimeout returns the time in which a caller has to send the headers of a request.
func (s *Server) headerTimeout() time.Duration {
	if table := s.table.Load(); table != nil && table.Limits().HeaderTimeout > 0 {
		return table.Limits().HeaderTimeout + headerTimeoutSlack
	}
	return defaultHeaderTimeout
}

func (s *Server) idleTimeout() time.Duration {
	if table := s.table.Load(); table != nil && table.Limits().IdleTimeout > 0 {
		return table.Limits().IdleTimeout
	}
	return defaultIdleTimeout
}
