package gateway

import (
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"runtime"
	"runtime/debug"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"github.com/uptrace/bunrouter"
	"gopkg.in/tomb.v2"

	"arbutusdeck/core/admin"
	"arbutusdeck/core/admission"
	"arbutusdeck/core/audit"
	"arbutusdeck/core/coldstart"
	"arbutusdeck/core/directory"
	"arbutusdeck/core/evacuation"
	"arbutusdeck/core/execution"
	"arbutusdeck/core/lifecycle"
	"arbutusdeck/core/membership"
	"arbutusdeck/core/netopts"
	"arbutusdeck/core/peering"
	"arbutusdeck/core/placement"
	"arbutusdeck/core/process"
	"arbutusdeck/core/quarantine"
	"arbutusdeck/core/routes"
	"arbutusdeck/core/zonerouting"
	"arbutusdeck/platform"
)

// Options are the parts of a Server.
type Options struct {
	Settings Settings
	// SettingsPath is read again on SIGHUP and when the file changes; empty for
	// fixed settings.
	SettingsPath string
	Log          *logrus.Entry
	Lines        *process.LineWriter
	Trail        *audit.Trail
}

// Server is one entry daemon that forwards requests.
type Server struct {
	options     Options
	log         *logrus.Entry
	incarnation string
	manager     *lifecycle.Manager
	registry    metrics.Registry
	counters    counters
	traffic     *traffic
	transport   *http.Transport
	orders      *http.Client
	store       *platform.Store
	table       atomic.Pointer[routes.Table]
	started     chan struct{}             // closed when this entry has left the state of starting
	stopping    atomic.Pointer[time.Time] // when the notice to stop came
	// readOptions say how this entry takes part in reading the store.
	readOptions atomic.Pointer[peering.ReadOptions]
	connections connections
	// bodies are those of open requests.
	bodies admission.ByteBudget
	open   openSet[*exchange]
	peers  *peerExchange
	tomb   *tomb.Tomb
	// loaded is the settings as last read; only the settings loop uses it.
	loaded Settings
	// refused are the requests that were refused at the last tick; only the tick uses it.
	refused map[quarantine.Fingerprint]bool

	mu        sync.Mutex
	settings  Settings
	directory *directory.Directory
	// revision is the platform's, up to which the directory is complete.
	revision uint64
	// era is the newest that the store was seen in; it has come back from an older copy since if it is
	// in a later one.
	era uint64
	// storeFine is the last success of a call to the store, by the clock that counts on while
	// the host is suspended: an entry that wakes must not call its knowledge fresh.
	storeFine time.Time
	storeLost time.Time // the first failure since then, zero if none
	// storeFailed is the last failure, reading whether this entry reads the store itself.
	storeFailed time.Time
	reading     bool
	// evacuation is the zones that get no new work, emptied those of them at which nothing of this entry is under way.
	evacuation evacuation.Zones
	emptied    map[string]bool
	book       *placement.LoadTable
	// cold bounds what servers get while they are cold.
	cold *coldstart.Limiter
	// grewAt is when a server was added to the list that it did not hold when it was read whole.
	grewAt time.Time
	// divisions tell for each engine service whether entries keep to their zone's servers.
	divisions map[string]zonerouting.LocalRouting
	budgets   map[string]*execution.RetryBudget
	// watch remembers requests under which servers have ended.
	watch *quarantine.Watch
	// apart keeps those of them that come through this entry on different servers.
	apart  *quarantine.Apart
	random *rand.Rand
	pause  *membership.PauseDetector
}

// incarnationLength is the characters of a start's name, of four bits each. It goes out
// with every message between entries, and only tells two starts of one entry apart.
const incarnationLength = 8

// New returns a daemon that Start starts.
func New(options Options) *Server {
	options.Settings.applyDefaults()
	settings := options.Settings
	s := &Server{
		options: options, settings: settings, loaded: settings, log: options.Log, incarnation: uuid.NewString()[:incarnationLength], registry: metrics.NewRegistry(),
		directory: directory.New(directory.Options{}), book: placement.NewLoadTable(placement.DefaultOptions(settings.Zone)),
		cold: coldstart.NewLimiter(), divisions: map[string]zonerouting.LocalRouting{}, started: make(chan struct{}),
		budgets: map[string]*execution.RetryBudget{}, watch: quarantine.NewWatch(), apart: quarantine.NewApart(), random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		pause: membership.NewPauseDetector(pauseLimit),
	}
	s.counters = newCounters(s.registry)
	s.traffic = newTraffic(s.registry)
	admin.RegisterRuntime(s.registry)
	s.manager = lifecycle.NewManager(s.stateChanged)
	s.transport = newTransport()
	s.orders = &http.Client{Transport: newTransport()}
	s.store = platform.NewStore(settings.Store, storeClient(), storeTimeout)
	s.store.OnCall(s.traffic.called)
	group := peering.New(settings.PeerAddress, settings.Zone, s.incarnation, settings.Seeds)
	s.peers = newPeerExchange(s, group)
	s.setReading(settings.readOptions())
	s.gauge("quarantine.requests", func() int { return len(s.watch.AllRefused(time.Now())) })
	s.registerEvacuationGauges()
	return s
}

// gauge registers a metric that is worked out when it is asked for, under the lock.
func (s *Server) gauge(name string, value func() int) {
	metrics.NewRegisteredFunctionalGauge(name, s.registry, func() int64 {
		s.mu.Lock()
		defer s.mu.Unlock()
		return int64(value())
	})
}

// Manager owns the daemon's state.
func (s *Server) Manager() *lifecycle.Manager { return s.manager }

func (s *Server) stateChanged(from, to lifecycle.State) {
	s.log.WithFields(logrus.Fields{"from": from, "to": to, "open": s.manager.Open(), "unwritten": s.connections.countAnswering()}).Info("state changed")
	s.audit(audit.Event{Area: audit.Lifecycle, Subject: s.options.Settings.Name, From: string(from), To: string(to), Why: "lifecycle", Source: "process"})
	if from == lifecycle.Starting {
		close(s.started)
	}
	switch to {
	case lifecycle.Serving:
		s.peers.announce()
	case lifecycle.Draining:
		s.peers.stop()
		s.beginStop()
	case lifecycle.Stopped:
		s.logCut()
	}
}

func (s *Server) audit(event audit.Event) {
	event.Time = time.Now()
	s.options.Trail.Add(event)
}

// newTransport opens a connection for each request. A kept connection that the
// server is about to close loses the request on it with nobody knowing whether it
// ran, and an answer that comes twice or late would be taken for the next one. A
// new connection costs a millisecond.
func newTransport() *http.Transport {
	return &http.Transport{DialContext: newDialer().DialContext, DisableKeepAlives: true, DisableCompression: true}
}

// newDialer opens connections to backend servers and to the store.
func newDialer() *net.Dialer {
	return &net.Dialer{Timeout: dialTimeout, KeepAliveConfig: serverKeepAlive, Control: netopts.ControlFor(serverSilence)}
}

// serverSilence is how long a backend server or the store may acknowledge nothing. One
// that is cut off sends no reset; a caller of a short prompt leaves after two seconds
// without an event, and a stream that is to go on elsewhere has to be broken off before.
const serverSilence = 1700 * time.Millisecond

// serverKeepAlive asks for an acknowledgement where nothing is sent. The kernel counts in
// whole seconds, so that silence is found after two.
var serverKeepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}

// storeClient keeps its one connection to the store.
func storeClient() *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: newDialer().DialContext, DisableCompression: true, MaxIdleConnsPerHost: 2,
		IdleConnTimeout: time.Minute}}
}

// memoryShare is the part of the process's memory that the collector may let the
// heap grow to; the rest is for stacks, sockets and the C library.
const memoryShare = 0.7

func (s *Server) applyRuntime(settings Settings) {
	debug.SetMemoryLimit(int64(float64(settings.MemoryMB<<20) * memoryShare))
	s.bodies.SetLimit(int64(float64(settings.MemoryMB<<20) * bodyShare))
	runtime.GOMAXPROCS(settings.Processors)
}

// Start listens and serves under the tomb.
func (s *Server) Start(t *tomb.Tomb) error {
	s.tomb = t
	s.applyRuntime(s.settings)
	if s.options.Lines != nil {
		t.Go(func() error { return s.options.Lines.Run(t.Dying()) })
	}
	s.log.WithFields(logrus.Fields{"incarnation": s.incarnation, "pid": os.Getpid(), "zone": s.settings.Zone,
		"listen": s.settings.ListenAddress, "store": s.settings.Store, "linkMbps": s.settings.LinkMbps, "seeds": s.settings.Seeds}).Info("started")
	if err := s.serveCallers(t); err != nil {
		return err
	}
	for address, handler := range map[string]http.Handler{s.settings.ReadyAddress: s.readyRouter(), s.settings.MetricsAddress: s.metricsRouter(),
		s.settings.PeerAddress: s.peers.router()} {
		listener, err := process.Listen(address)
		if err != nil {
			return err
		}
		process.ServeHTTP(t, listener, handler)
	}
	if err := s.peers.start(t); err != nil {
		return err
	}
	t.Go(s.storeLoop)
	t.Go(s.tickLoop)
	t.Go(s.settingsLoop)
	t.Go(s.trafficLoop)
	return nil
}

func (s *Server) readyRouter() http.Handler {
	router := bunrouter.New()
	router.GET(platform.ReadyPath, func(w http.ResponseWriter, _ bunrouter.Request) error {
		if s.manager.State() != lifecycle.Serving {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return nil
	})
	return router
}

func (s *Server) metricsRouter() http.Handler {
	router := bunrouter.New()
	router.GET("/metrics", func(w http.ResponseWriter, _ bunrouter.Request) error {
		if s.options.Lines != nil {
			s.counters.linesDropped.Clear()
			s.counters.linesDropped.Inc(s.options.Lines.Dropped())
		}
		return admin.WriteMetrics(w, s.registry)
	})
	return router
}

// becomeReady serves once a configuration and backend servers are known.
func (s *Server) becomeReady() {
	if s.manager.State() != lifecycle.Starting || s.table.Load() == nil {
		return
	}
	s.mu.Lock()
	empty := s.directory.Empty()
	s.mu.Unlock()
	if !empty {
		s.manager.Serve()
	}
}

func (s *Server) tickLoop() error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		now := time.Now()
		s.lookForPause(now)
		s.mu.Lock()
		s.book.Expire(now)
		s.cold.Expire(now)
		s.shareBudgets()
		changes := s.directory.Expire(now, s.revision)
		s.mu.Unlock()
		s.noteServers(changes, "platform")
		s.noteQuarantine(now)
		s.noteEmptied()
		s.divide()
		s.becomeReady()
		s.connections.closeIdle(now, s.idleTimeout())
		select {
		case <-ticker.C:
		case <-s.tomb.Dying():
			return nil
		}
	}
}

// lookForPause drops what was believed of loads before a pause: they have gone on
// without this process, and choices would rest on answers that are long over.
func (s *Server) lookForPause(now time.Time) {
	s.mu.Lock()
	gap := s.pause.Tick(boottime(now))
	if gap > 0 {
		s.book.Reset()
		s.cold.Awoke()
	}
	s.mu.Unlock()
	if gap > 0 {
		s.peers.awoke()
		s.log.WithField("pause", gap.String()).Warn("the process did not run for a while; loads are forgotten")
	}
}

func (s *Server) idleTimeout() time.Duration {
	if table := s.table.Load(); table != nil && table.Limits().IdleTimeout > 0 {
		return table.Limits().IdleTimeout
	}
	return time.Minute
}
