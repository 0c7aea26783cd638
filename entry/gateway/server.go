package gateway

import (
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"github.com/uptrace/bunrouter"
	"gopkg.in/tomb.v2"

	"arbutusdeck/core/admin"
	"arbutusdeck/core/audit"
	"arbutusdeck/core/callers"
	"arbutusdeck/core/claims"
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
	"arbutusdeck/core/ratelimit"
	"arbutusdeck/core/responses"
	"arbutusdeck/core/retryafter"
	"arbutusdeck/core/routes"
	"arbutusdeck/core/zonerouting"
	"arbutusdeck/entry/boottime"
	"arbutusdeck/entry/peerlink"
	"arbutusdeck/entry/storeread"
	"arbutusdeck/platform"
)

// Options configure a Server.
type Options struct {
	Settings Settings
	// SettingsPath is reread on SIGHUP and when the file changes; empty for fixed settings.
	SettingsPath string
	Log          *logrus.Entry
	LogWriter    *process.LineWriter
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
	traffic     *peerlink.Traffic
	// serverDialer opens the connections of transport and orderClient.
	serverDialer *netopts.LimitedDialer
	transport    http.RoundTripper
	orderClient  *http.Client
	table        atomic.Pointer[routes.Table]
	started      chan struct{}             // closed when this entry leaves the Starting state
	stopping     atomic.Pointer[time.Time] // when shutdown began; nil before
	// callers accepts the connections of callers, others those at the other addresses.
	callers *callers.Listener
	others  []*callers.Listener
	// shedding logs what the limits on callers have refused; used by the tick loop only.
	shedding process.SheddingLog
	open     openSet[*exchange]
	peers    *peerlink.Link
	reader   *storeread.Reader
	tomb     *tomb.Tomb
	// spiller decides on placements in other zones; nil if overload.spillover is off.
	spiller *spiller
	// loadedSettings are the settings as last read; used by the settings loop only.
	loadedSettings Settings
	// quarantinedRequests and quarantinedParts are the requests, and the parts of prompts, that were
	// refused at the last tick; used by the tick loop only.
	quarantinedRequests, quarantinedParts map[quarantine.Fingerprint]bool

	mu        sync.Mutex
	settings  Settings
	directory *directory.Directory
	// revision is the store revision up to which the directory is complete.
	revision uint64
	// era is the latest era seen of the store. A higher one means that the store was restored from
	// a backup.
	era uint64
	// evacuation holds the zones that get no new requests, emptiedZones those of them at which no
	// request of this entry is open.
	evacuation   evacuation.Zones
	emptiedZones map[string]bool
	loadTable    *placement.LoadTable
	// cold limits the request rate of servers that are still cold.
	cold *coldstart.Limiter
	// limiter tracks the servers that state a limit of their request rate.
	limiter *ratelimit.Limiter
	// pauses holds the servers that have asked this entry to send no requests for a time.
	pauses *retryafter.Pauses
	// lastServerAddedAt is the time at which a change, as opposed to a full read, last added a
	// server to the list.
	lastServerAddedAt time.Time
	// localRouting holds for each engine service whether entries use only the servers of their
	// zone.
	localRouting map[string]zonerouting.LocalRouting
	budgets      map[string]*execution.RetryBudget
	// queues holds the requests that wait for a slot, by service; empty if overload.queueing is off.
	queues map[string]*slotQueue
	// tracker tracks requests under which servers have crashed.
	tracker *quarantine.Tracker
	// parts tracks parts of prompts under which servers have crashed.
	parts *quarantine.PartTracker
	// claims are the prompts of this zone that wait for memory, claimWaiters the requests among them that wait here.
	claims       *claims.Book
	claimWaiters map[*exchange]struct{}
	// separator sends those of them that are open at this entry to different servers.
	separator     *quarantine.Separator
	random        *rand.Rand
	pauseDetector *membership.PauseDetector
	// learnedGauges are the names of the registered gauges of learned ratios; only the housekeeping loop uses it.
	learnedGauges map[string]bool
}

// incarnationLength is the length of an incarnation in hexadecimal digits. It is part of every peer
// message and only has to distinguish the starts of one entry.
const incarnationLength = 8

// New returns a daemon that is started by Start.
func New(options Options) *Server {
	options.Settings.applyDefaults()
	settings := options.Settings
	s := &Server{
		options: options, settings: settings, loadedSettings: settings, log: options.Log, incarnation: uuid.NewString()[:incarnationLength], registry: metrics.NewRegistry(),
		directory: directory.New(directory.Options{}), loadTable: placement.NewLoadTable(settings.placementOptions()),
		cold: coldstart.NewLimiter(), limiter: ratelimit.NewLimiter(), pauses: retryafter.NewPauses(), localRouting: map[string]zonerouting.LocalRouting{}, started: make(chan struct{}),
		budgets: map[string]*execution.RetryBudget{}, queues: map[string]*slotQueue{}, tracker: quarantine.NewTracker(), parts: quarantine.NewPartTracker(), separator: quarantine.NewSeparator(),
		claims: claims.New(claims.Options{ReportTTL: claimReportTTL}), claimWaiters: map[*exchange]struct{}{}, random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		pauseDetector: membership.NewPauseDetector(pauseLimit), shedding: process.SheddingLog{Log: options.Log},
	}
	s.tracker.SetParts(s.parts)
	s.counters = newCounters(s.registry)
	if settings.Overload.Spillover {
		s.spiller = newSpiller(settings.Zone, s.registry)
	}
	s.traffic = peerlink.NewTraffic(s.registry)
	admin.RegisterRuntime(s.registry)
	s.manager = lifecycle.NewManager(s.stateChanged)
	s.callers = s.newCallerListener()
	s.serverDialer = netopts.NewLimitedDialer(newDialer(netopts.ReceiveControl(callers.ServerReceiveBytes, serverControl)))
	s.transport = newTransport(s.serverDialer)
	s.orderClient = &http.Client{Transport: newTransport(s.serverDialer)}
	peers := peerServices{s}
	s.peers = peerlink.New(peerlink.Options{Address: settings.PeerAddress, Zone: settings.Zone, Incarnation: s.incarnation, Seeds: settings.Seeds, Log: s.log, Traffic: s.traffic,
		Status: peers, Views: peers, Loads: peers, Records: peers, Placements: peers})
	store := platform.NewStore(settings.Store, storeClient(), storeTimeout)
	store.SetWatchMargin(peering.WatchMargin)
	store.OnCall(s.traffic.CountCall)
	s.reader = storeread.New(storeread.Options{Zone: settings.Zone, Store: store, Target: storeTarget{s}, Peers: s.peers, Log: s.log, Errors: s.counters.storeErrors})
	s.setReadOptions(settings.readOptions())
	s.gauge("quarantine.requests", func() int { return len(s.tracker.AllRefused(time.Now())) })
	s.gauge("quarantine.parts", func() int { return len(s.parts.AllRefused(time.Now())) })
	s.functionalGauge("configuration.confirmedMs", func() int64 { return s.confirmedAge(time.Now()).Milliseconds() })
	s.gauge("servers.limited", s.limiter.Count)
	s.gauge("servers.paused", func() int { return len(s.pauses.Active(time.Now())) })
	s.registerEvacuationGauges()
	s.registerClaimMetrics()
	process.RegisterCallerMetrics(s.registry, s.callers)
	s.functionalGauge("servers.connections", s.serverDialer.Open)
	return s
}

// gauge registers a metric that is computed under the lock when it is read.
func (s *Server) gauge(name string, value func() int) {
	metrics.NewRegisteredFunctionalGauge(name, s.registry, func() int64 {
		s.mu.Lock()
		defer s.mu.Unlock()
		return int64(value())
	})
}

// functionalGauge registers a metric that is computed when it is read.
func (s *Server) functionalGauge(name string, value func() int64) {
	metrics.NewRegisteredFunctionalGauge(name, s.registry, value)
}

// Manager returns the manager of the daemon's lifecycle.
func (s *Server) Manager() *lifecycle.Manager { return s.manager }

func (s *Server) stateChanged(from, to lifecycle.State) {
	s.log.WithFields(logrus.Fields{"from": from, "to": to, "open": s.manager.Open(), "unwritten": s.callers.Active()}).Info("state changed")
	s.audit(audit.Event{Area: audit.Lifecycle, Subject: s.options.Settings.Name, From: string(from), To: string(to), Reason: "lifecycle", Source: "process"})
	if from == lifecycle.Starting {
		close(s.started)
	}
	switch to {
	case lifecycle.Serving:
		s.peers.Announce()
	case lifecycle.Draining:
		s.peers.StopServing()
		s.beginShutdown()
	case lifecycle.Stopped:
		s.logAborted()
	}
}

func (s *Server) audit(event audit.Event) {
	event.Time = time.Now()
	s.options.Trail.Add(event)
}

// newTransport returns a transport that opens a connection for each request. With a reused
// connection that the server is about to close, a request may be lost without evidence whether it
// ran, and a duplicate or late response would be taken for that of the next request. A new
// connection costs a millisecond.
func newTransport(dialer *netopts.LimitedDialer) http.RoundTripper {
	return responses.NewTransport(&http.Transport{DialContext: dialer.DialContext, DisableKeepAlives: true, DisableCompression: true})
}

// newDialer returns a dialer for connections to backend servers or to the store.
func newDialer(control netopts.ControlFunc) *netopts.Dialer {
	return &netopts.Dialer{Dialer: net.Dialer{KeepAliveConfig: serverKeepAlive, Control: control}, RunTimeout: dialTimeout}
}

// serverUserTimeout bounds the time for which a backend server or the store may leave data
// unacknowledged. One that is cut off sends no reset; the caller of a short prompt disconnects
// after two seconds without an event, and a stream that is to be resumed at another server has to
// be cancelled before that. A server that lives but takes no data for as long is given up too: the
// kernel has one limit for both, and a longer one would delay the detection of those that are cut off.
const serverUserTimeout = 1700 * time.Millisecond

// serverControl sets serverUserTimeout on a connection.
var serverControl = netopts.ControlFor(serverUserTimeout)

// serverKeepAlive probes connections on which nothing is sent. The kernel counts in whole seconds,
// so that an unresponsive peer is detected after two.
var serverKeepAlive = net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: time.Second, Count: 2}

// storeIdleTimeout is the time after which an unused connection to the store is not used again. A
// reader's calls follow each other sooner; an entry that reads after a while would find out by a
// timeout that its connection was dropped without notice.
const storeIdleTimeout = time.Second

// storeClient returns a client that reuses its connection to the store.
func storeClient() *http.Client {
	return &http.Client{Transport: responses.NewTransport(&http.Transport{DialContext: newDialer(serverControl).DialContext, DisableCompression: true,
		MaxIdleConnsPerHost: 2, IdleConnTimeout: storeIdleTimeout})}
}

func (s *Server) applyRuntime(settings Settings) {
	settings.resources().LimitHeap()
	s.callers.SetLimits(settings.callerLimits())
	s.serverDialer.SetLimit(divideDescriptors(settings.resources().Descriptors()).servers)
	runtime.GOMAXPROCS(settings.Processors)
}

// Start starts the listeners and loops under the tomb.
func (s *Server) Start(t *tomb.Tomb) error {
	s.tomb = t
	s.applyRuntime(s.settings)
	if s.options.LogWriter != nil {
		t.Go(func() error { return s.options.LogWriter.Run(t.Dying()) })
	}
	s.log.WithFields(logrus.Fields{"incarnation": s.incarnation, "pid": os.Getpid(), "zone": s.settings.Zone,
		"listen": s.settings.ListenAddress, "store": s.settings.Store, "linkMbps": s.settings.LinkMbps, "seeds": s.settings.Seeds}).Info("started")
	if err := s.serveCallers(t); err != nil {
		return err
	}
	for _, other := range s.otherServers() {
		listener, err := other.Start(t)
		if err != nil {
			return err
		}
		s.others = append(s.others, listener)
	}
	if err := s.peers.Start(t); err != nil {
		return err
	}
	t.Go(func() error { return s.reader.Run(t) })
	t.Go(s.tickLoop)
	t.Go(s.settingsLoop)
	t.Go(func() error { return s.traffic.LogLoop(t.Dying(), s.log) })
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
		if s.options.LogWriter != nil {
			s.counters.linesDropped.Clear()
			s.counters.linesDropped.Inc(s.options.LogWriter.Dropped())
		}
		return admin.WriteMetrics(w, s.registry)
	})
	return router
}

// serveWhenReady enters the Serving state once a configuration and backend servers are known.
func (s *Server) serveWhenReady() {
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
		s.detectPause(now)
		s.mu.Lock()
		s.loadTable.Expire(now)
		s.cold.Expire(now)
		s.limiter.Expire(now, s.directory.IsCurrent)
		s.pauses.Expire(now)
		s.claims.Expire(now)
		s.shareBudgets()
		changes := s.directory.Expire(now, s.revision)
		s.advanceQueues(now)
		s.mu.Unlock()
		s.reportServerChanges(changes, "platform")
		s.updateQuarantine(now)
		s.logEmptiedZones()
		s.updateLearnedRatios(now)
		s.updateRouting()
		s.updateZones(now)
		s.serveWhenReady()
		s.expireConnections(now)
		s.shedding.Update(s.callers)
		select {
		case <-ticker.C:
		case <-s.tomb.Dying():
			return nil
		}
	}
}

// detectPause resets the load table after a pause of the process: the servers have continued
// without it, and choices would rest on requests that ended long ago.
func (s *Server) detectPause(now time.Time) {
	s.mu.Lock()
	gap := s.pauseDetector.Tick(boottime.At(now))
	if gap > 0 {
		s.loadTable.Reset()
		s.cold.ResetRanks()
	}
	s.mu.Unlock()
	if gap > 0 {
		s.peers.ResetLiveness()
		s.log.WithField("pause", gap.String()).Warn("the process did not run for a while; loads are forgotten")
	}
}
