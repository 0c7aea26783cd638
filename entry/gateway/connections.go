package gateway

import (
	"bytes"
	"encoding/json"
	"io"
	"math"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
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

// fileDescriptors are the descriptors that are not for sockets.
const fileDescriptors = 200

// Smallest shares, for small limits: a health check or a scrape opens one connection at a time.
const (
	minReadyConnections   = 8
	minMetricsConnections = 4
)

// divideDescriptors divides a limit of descriptors. A request takes one connection of its caller and one to a server,
// so both have the same share.
func divideDescriptors(limit int) descriptorShares {
	sockets := max(limit-fileDescriptors, limit/2)
	return descriptorShares{callers: sockets * 40 / 100, servers: sockets * 40 / 100, peers: sockets * 10 / 100,
		ready: max(minReadyConnections, sockets*2/100), metrics: max(minMetricsConnections, sockets/100)}
}

// maxDescriptors returns the number of descriptors that the process may open, by its settings and by the operating
// system.
func (s *Settings) maxDescriptors() int {
	limit := syscall.Rlimit{Cur: DefaultDescriptors}
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > math.MaxInt32 {
		limit.Cur = DefaultDescriptors
	}
	if s.MaxDescriptors > 0 {
		return min(s.MaxDescriptors, int(limit.Cur))
	}
	return int(limit.Cur)
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
)

// memory returns a share of the process's memory, in bytes.
func (s *Settings) memory(share float64) int64 { return int64(float64(s.MemoryMB<<20) * share) }

// callerLimits returns the limits of the listener for callers.
func (s *Settings) callerLimits() callers.Limits {
	return callers.Limits{Connections: divideDescriptors(s.maxDescriptors()).callers, Memory: s.memory(callerMemoryShare),
		LargeBodies: s.memory(bodyMemoryShare)}
}

// otherLimits returns the limits of another listener, without one of memory if share is 0.
func (s *Settings) otherLimits(connections int, share float64) callers.Limits {
	limits := callers.Limits{Connections: connections, Memory: math.MaxInt64, LargeBodies: math.MaxInt64}
	if share > 0 {
		limits.Memory = max(s.memory(share), minReadyConnections*(callers.ConnectionBytes+callers.RequestBytes))
	}
	return limits
}

// newCallerListener returns the listener for callers, which doesn't accept yet.
func (s *Server) newCallerListener() *callers.Listener {
	return callers.NewListener(callers.Options{Limits: s.settings.callerLimits(), HeaderBytes: s.headerLimit,
		TooLarge:    closingResponse(http.StatusRequestHeaderFieldsTooLarge, execution.Refusal{Code: CodeHeadersTooLarge, Detail: "the headers are larger than the configuration allows"}),
		Unavailable: closingResponse(http.StatusServiceUnavailable, execution.Refusal{Code: CodeMemoryFull, Detail: "the requests of callers take all the memory that they may", RetryAfter: bodiesRetryAfter})})
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
	response := http.Response{StatusCode: status, ProtoMajor: 1, ProtoMinor: 1, Header: header, ContentLength: int64(len(content)),
		Body: io.NopCloser(bytes.NewReader(content)), Close: true}
	var out bytes.Buffer
	if err := response.Write(&out); err != nil {
		panic(err) // a buffer takes everything
	}
	return out.Bytes()
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

// otherListener is a listener for others than callers of requests. They share its connections among themselves only.
type otherListener struct {
	*callers.Listener
	timeouts callers.Timeouts
}

// Limits of the listeners other than that for callers.
const (
	otherHeaderBytes   = 32 << 10
	otherHeaderTimeout = 5 * time.Second
	otherIdleTimeout   = 2 * time.Minute
	// smallRequestTimeout bounds the reading of a request to the ready or metrics address, and the writing of its
	// response.
	smallRequestTimeout = 5 * time.Second
)

// otherServer describes an HTTP server for others than callers of requests.
type otherServer struct {
	address string
	handler http.Handler
	limits  callers.Limits
	// timeout, if not 0, bounds the reading of each request and the writing of its response.
	timeout time.Duration
	// listen opens the listener.
	listen func(address string) (net.Listener, error)
}

// serveOther starts an HTTP server whose connections are its own.
func (s *Server) serveOther(t *tomb.Tomb, o otherServer) error {
	listener, err := o.listen(o.address)
	if err != nil {
		return err
	}
	limited := callers.NewListener(callers.Options{Limits: o.limits, HeaderBytes: func() int { return otherHeaderBytes },
		TooLarge:    closingResponse(http.StatusRequestHeaderFieldsTooLarge, execution.Refusal{Code: CodeHeadersTooLarge, Detail: "the headers are too large"}),
		Unavailable: closingResponse(http.StatusServiceUnavailable, execution.Refusal{Code: CodeMemoryFull, Detail: "too many requests at once", RetryAfter: time.Second})})
	server := limited.Server(o.handler)
	server.ReadTimeout, server.WriteTimeout = o.timeout, o.timeout
	process.Serve(t, limited.Listen(listener), server)
	s.others = append(s.others, otherListener{limited, callers.Timeouts{Headers: otherHeaderTimeout, Idle: otherIdleTimeout}})
	return nil
}

// otherServers returns the servers at the addresses other than that for callers.
func (s *Server) otherServers() []otherServer {
	shares := divideDescriptors(s.settings.maxDescriptors())
	return []otherServer{
		{s.settings.ReadyAddress, s.readyRouter(), s.settings.otherLimits(shares.ready, smallListenerShare), smallRequestTimeout, process.ListenForCallers},
		{s.settings.MetricsAddress, s.metricsRouter(), s.settings.otherLimits(shares.metrics, smallListenerShare), smallRequestTimeout, process.ListenForCallers},
		{s.settings.PeerAddress, s.peers.Router(), s.settings.otherLimits(shares.peers, 0), 0, process.Listen},
	}
}

// expireConnections closes the connections that have been idle, or have been receiving headers, for too long.
func (s *Server) expireConnections(now time.Time) {
	s.callers.Expire(now, callers.Timeouts{Headers: s.headerTimeout(), Idle: s.idleTimeout()})
	for _, other := range s.others {
		other.Expire(now, other.timeouts)
	}
}

// logShedding logs what the limits on callers have refused since the last call.
func (s *Server) logShedding() {
	stats, usage := s.callers.Stats(), s.callers.Usage()
	if stats == s.loggedStats {
		return
	}
	s.loggedStats = stats
	s.log.WithFields(logrus.Fields{"refusedConnections": stats.Refused, "closedConnections": stats.Shed, "headersTooLarge": stats.TooLarge,
		"memoryFull": stats.Unavailable, "connections": usage.Connections, "memory": usage.Memory}).Warn("callers have reached the limits of this entry")
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

// registerCallerMetrics registers what the connections of callers hold, and what was refused for their limits.
func (s *Server) registerCallerMetrics() {
	for name, value := range map[string]func() int64{
		"callers.connections":         func() int64 { return int64(s.callers.Usage().Connections) },
		"callers.memory":              func() int64 { return s.callers.Usage().Memory },
		"callers.connections.refused": func() int64 { return s.callers.Stats().Refused },
		"callers.connections.shed":    func() int64 { return s.callers.Stats().Shed },
		"callers.headers.tooLarge":    func() int64 { return s.callers.Stats().TooLarge },
		"callers.memory.full":         func() int64 { return s.callers.Stats().Unavailable },
	} {
		s.functionalGauge(name, value)
	}
}
