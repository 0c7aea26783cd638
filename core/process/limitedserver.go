package process

import (
	"math"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"gopkg.in/tomb.v2"

	"arbutusdeck/core/callers"
)

// LimitedServer is an HTTP server with an address and connections of its own: what its callers take, callers at other
// addresses keep.
type LimitedServer struct {
	Address string
	Handler http.Handler
	Limits  callers.Limits
	// Bounds limit each request, unless its handler calls callers.Unbound.
	Bounds callers.Bounds
	// TooLarge and Unavailable are those of callers.Options; nil for responses without a body.
	TooLarge    []byte
	Unavailable func(r *http.Request) []byte
	// Log, if set, gets a line when callers have reached a limit.
	Log *logrus.Entry
}

// Limits of each connection and request of a LimitedServer.
const (
	// serverHeaderBytes bounds the request line and headers of a request.
	serverHeaderBytes = 36 << 10
	// serverHeaderTimeout bounds the time to receive them, serverIdleTimeout the time without a request.
	serverHeaderTimeout = 5 * time.Second
	serverIdleTimeout   = 2 * time.Minute
	// RequestTimeout bounds the receipt of a request's body and the writing of its response, where no handler sets other
	// limits, and smallBodyBytes the size of the body.
	RequestTimeout = 5 * time.Second
	smallBodyBytes = 64 << 10
	// daemonBodyBytes bounds the body of a call of another daemon. The largest holds the records of a quarantine.
	daemonBodyBytes = 4 << 20
	// expireInterval is the time between two checks of these times.
	expireInterval = 250 * time.Millisecond
)

// SmallRequests are the bounds of requests that have no body to speak of.
var SmallRequests = callers.Bounds{BodyBytes: smallBodyBytes, Timeout: RequestTimeout}

// Start serves under the tomb. It returns an error if the address can't be bound.
func (s LimitedServer) Start(t *tomb.Tomb) (*callers.Listener, error) {
	from, err := ListenForCallers(s.Address)
	if err != nil {
		return nil, err
	}
	options := callers.Options{Limits: s.Limits, HeaderBytes: func() int { return serverHeaderBytes }, TooLarge: s.TooLarge, Unavailable: s.Unavailable}
	if options.TooLarge == nil {
		options.TooLarge = callers.ClosingResponse(http.StatusRequestHeaderFieldsTooLarge, http.Header{}, nil)
	}
	if options.Unavailable == nil {
		unavailable := callers.ClosingResponse(http.StatusServiceUnavailable, http.Header{"Retry-After": {"1"}}, nil)
		options.Unavailable = func(*http.Request) []byte { return unavailable }
	}
	listener := callers.NewListener(options).Listen(from)
	Serve(t, listener, listener.Server(callers.Bound(s.Handler, s.Bounds)))
	t.Go(func() error { return s.expireLoop(t, listener) })
	return listener, nil
}

// expireLoop closes the connections that have exceeded a timeout, until the tomb is dying.
func (s LimitedServer) expireLoop(t *tomb.Tomb, listener *callers.Listener) error {
	ticker := time.NewTicker(expireInterval)
	defer ticker.Stop()
	shedding := SheddingLog{Log: s.Log}
	for {
		select {
		case now := <-ticker.C:
			listener.Expire(now, callers.Timeouts{Headers: serverHeaderTimeout, Idle: serverIdleTimeout})
			shedding.Update(listener)
		case <-t.Dying():
			return nil
		}
	}
}

// SheddingLog logs what the limits of a listener have refused.
type SheddingLog struct {
	// Log gets the lines; nil for none.
	Log    *logrus.Entry
	logged callers.Stats
}

// Update logs what has been refused since the last call.
func (l *SheddingLog) Update(listener *callers.Listener) {
	stats, usage := listener.Stats(), listener.Usage()
	if l.Log == nil || stats == l.logged {
		return
	}
	l.logged = stats
	l.Log.WithFields(logrus.Fields{"refusedConnections": stats.Refused, "closedConnections": stats.Shed, "headersTooLarge": stats.TooLarge,
		"memoryFull": stats.Unavailable, "connections": usage.Connections, "memory": usage.Memory}).Warn("callers have reached the limits of this entry")
}

// RegisterCallerMetrics registers what the connections of a listener hold, and what was refused for their limits.
func RegisterCallerMetrics(registry metrics.Registry, listener *callers.Listener) {
	for name, value := range map[string]func() int64{
		"callers.connections":         func() int64 { return int64(listener.Usage().Connections) },
		"callers.memory":              func() int64 { return listener.Usage().Memory },
		"callers.connections.refused": func() int64 { return listener.Stats().Refused },
		"callers.connections.shed":    func() int64 { return listener.Stats().Shed },
		"callers.headers.tooLarge":    func() int64 { return listener.Stats().TooLarge },
		"callers.memory.full":         func() int64 { return listener.Stats().Unavailable },
	} {
		metrics.NewRegisteredFunctionalGauge(name, registry, value)
	}
}

// minConnections is the smallest limit of connections at an address: a health check or a scrape opens one at a time.
const minConnections = 8

// AddressLimits returns the limits of an address that has a share of the sockets and of the memory.
func (r Resources) AddressLimits(sockets, memory float64) callers.Limits {
	return callers.Limits{Connections: max(minConnections, int(float64(SocketsOf(r.Descriptors()))*sockets)),
		Memory:      max(r.Memory(memory), minConnections*(callers.ConnectionBytes+callers.RequestBytes)),
		LargeBodies: math.MaxInt64}
}
