package server

import (
	"net/http"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"github.com/uptrace/bunrouter"
	"gopkg.in/tomb.v2"

	"arbutusdeck/core/audit"
	"arbutusdeck/core/backend"
	"arbutusdeck/core/config"
	"arbutusdeck/core/execution"
	"arbutusdeck/core/lifecycle"
	"arbutusdeck/core/membership"
	"arbutusdeck/core/platform"
	"arbutusdeck/core/process"
	"arbutusdeck/core/scheduling"
	"arbutusdeck/core/wire"
	"arbutusdeck/host/engine"
)

// dialTimeout bounds connecting to another daemon.
const dialTimeout = time.Second

// Options configure a Server.
type Options struct {
	Settings Settings
	Log      *logrus.Entry
	Trail    *audit.Trail
	Platform process.PlatformReader
	Backend  backend.Options
	Sync     config.SyncOptions
}

// DefaultOptions returns the production options for the given settings.
func DefaultOptions(settings Settings, log *logrus.Entry, trail *audit.Trail) Options {
	options := Options{
		Settings: settings,
		Log:      log,
		Trail:    trail,
		Platform: platform.NewClient(platform.Options{BaseURL: settings.Platform}),
		Backend:  backend.DefaultOptions(settings.Name, execution.Incarnation(uuid.NewString())),
		Sync:     config.DefaultSyncOptions(),
	}
	if settings.SchedulingPolicy != "" {
		options.Backend.Schedule.Policy = scheduling.Policy(settings.SchedulingPolicy)
	}
	return options
}

// Server is the host daemon. Its lock guards the core and the runs, so that all
// decisions about the server's engines are serialized.
type Server struct {
	*process.Base
	options  Options
	engines  map[string]*engine.Client
	services map[string]*engine.Client
	counters counters
	reports  *reports
	tomb     *tomb.Tomb

	mu            sync.Mutex
	core          *backend.Core
	runs          map[execution.AttemptID]*run
	retained      *execution.Retained
	pauseDetector *membership.PauseDetector
}

type counters struct {
	offers, refused, finished, failed, cancelled, orphans, expired, droppedResponses metrics.Counter
	firstToken                                                                       metrics.Timer
}

// New returns a daemon that is not yet started; see Start.
func New(options Options) *Server {
	resources := options.Settings.Resources(DefaultMemoryMB)
	options.Backend.Ledger.MaxKeptBytes = resources.Memory(answerMemoryShare)
	s := &Server{
		options:       options,
		engines:       newClients(options.Settings.Engines),
		services:      newClients(options.Settings.Services),
		core:          backend.New(time.Now(), options.Backend),
		runs:          map[execution.AttemptID]*run{},
		retained:      execution.NewRetained(resources.Memory(responseMemoryShare)),
		pauseDetector: membership.NewPauseDetector(pauseLimit),
	}
	s.Base = process.NewBase(process.BaseOptions{
		Settings: options.Settings.Settings, Log: options.Log, Trail: options.Trail, Platform: options.Platform, Sync: options.Sync,
		Incarnation: options.Backend.Incarnation, DialTimeout: dialTimeout,
		MaxConnections: int(float64(process.SocketsOf(resources.Descriptors())) * dialSocketShare), OnSnapshot: s.applySnapshot, OnHosts: s.applyHostList, OnStateChange: s.setState,
	})
	s.counters = newCounters(s.Registry)
	s.reports = newReports(s.Registry)
	return s
}

func newClients(urls map[string]string) map[string]*engine.Client {
	clients := map[string]*engine.Client{}
	for name, url := range urls {
		clients[name] = engine.NewClient(url)
	}
	return clients
}

func newCounters(r metrics.Registry) counters {
	return counters{
		offers:     metrics.NewRegisteredCounter("offers", r),
		refused:    metrics.NewRegisteredCounter("offers.refused", r),
		finished:   metrics.NewRegisteredCounter("attempts.finished", r),
		failed:     metrics.NewRegisteredCounter("attempts.failed", r),
		cancelled:  metrics.NewRegisteredCounter("attempts.cancelled", r),
		orphans:    metrics.NewRegisteredCounter("streams.orphaned", r),
		expired:    metrics.NewRegisteredCounter("leases.expired", r),
		firstToken: metrics.NewRegisteredTimer("first.token", r),

		droppedResponses: metrics.NewRegisteredCounter("responses.dropped", r),
	}
}

// Start opens the listeners and runs the daemon's goroutines under the tomb. The
// fixed peer address also keeps a second daemon from managing the same engines,
// as it can't bind the address.
func (s *Server) Start(t *tomb.Tomb) error {
	s.tomb = t
	resources := s.options.Settings.Resources(DefaultMemoryMB)
	for _, server := range []process.LimitedServer{
		s.DaemonServer(s.router(), resources.AddressLimits(daemonSocketShare, daemonMemoryShare)),
		s.AdminServer(s.sections(), resources.AddressLimits(adminSocketShare, adminMemoryShare)),
	} {
		if _, err := server.Start(t); err != nil {
			return err
		}
	}
	t.Go(func() error { return s.ConfigLoop.Run(t) })
	t.Go(s.tickLoop)
	t.Go(s.engineLoop)
	t.Go(s.abortLoop)
	return nil
}

func (s *Server) router() http.Handler {
	router := bunrouter.New()
	twirpHost := wire.NewHostDaemonServer(hostService{s})
	twirpPeer := s.PeerServer()
	router.POST(twirpHost.PathPrefix()+":method", bunrouter.HTTPHandler(twirpHost))
	router.POST(twirpPeer.PathPrefix()+":method", bunrouter.HTTPHandler(twirpPeer))
	router.POST("/attempts/:attempt/stream", s.openStream)
	router.GET("/attempts/:attempt/stream", s.resumeStream)
	return router
}

// applySnapshot applies a new configuration snapshot.
func (s *Server) applySnapshot(snapshot *config.Snapshot) {
	now := time.Now()
	s.mu.Lock()
	unnamedSlots := s.core.Configure(now, snapshot)
	s.mu.Unlock()
	for _, slot := range unnamedSlots {
		s.Audit(audit.Event{Area: audit.Configuration, Subject: slot, Refused: true,
			Reason: "the former holder of this home slot is not named under former: its keys are answered unknown until it is named and retired"})
	}
}

// applyHostList applies the platform's list of hosts: if it marks this host as
// draining, the host accepts no new work. A list that may still describe the
// previous incarnation of the daemon is ignored.
func (s *Server) applyHostList(hosts []platform.Host) {
	for _, host := range hosts {
		if host.Server == s.Name() && host.Draining && s.Manager().State() == lifecycle.Serving {
			s.drain()
		}
	}
}

func (s *Server) drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.core.Draining() || time.Since(s.core.StartedAt()) < membership.HostListLag {
		return
	}
	s.core.Drain()
	s.Audit(audit.Event{Area: audit.Membership, Subject: s.Name(), From: "serving", To: "leaving",
		Reason: "the host list says so", Source: "list"})
}

// setState passes the daemon's lifecycle state on to the core.
func (s *Server) setState(to lifecycle.State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch to {
	case lifecycle.Serving:
		s.core.StartServing()
	case lifecycle.Draining:
		s.core.Drain()
	}
}
