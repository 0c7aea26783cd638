package server

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"github.com/uptrace/bunrouter"
	"gopkg.in/tomb.v2"

	"arbutusdeck/core/audit"
	"arbutusdeck/core/callers"
	"arbutusdeck/core/config"
	"arbutusdeck/core/execution"
	"arbutusdeck/core/frontend"
	"arbutusdeck/core/lifecycle"
	"arbutusdeck/core/membership"
	"arbutusdeck/core/platform"
	"arbutusdeck/core/process"
	"arbutusdeck/core/quarantine"
	"arbutusdeck/core/routing"
	"arbutusdeck/core/wire"
)

// dialTimeout bounds the opening of a connection to a host daemon.
const dialTimeout = 500 * time.Millisecond

// Options holds the settings and dependencies of a Server.
type Options struct {
	Settings Settings
	Log      *logrus.Entry
	Trail    *audit.Trail
	Platform process.PlatformReader
	Frontend frontend.Options
	Sync     config.SyncOptions
}

// DefaultOptions returns the options of a production daemon with settings, whose defaults
// it applies.
func DefaultOptions(settings Settings, log *logrus.Entry, trail *audit.Trail) Options {
	settings.applyDefaults()
	options := Options{
		Settings: settings,
		Log:      log,
		Trail:    trail,
		Platform: platform.NewClient(platform.Options{BaseURL: settings.Platform}),
		Frontend: frontend.DefaultOptions(settings.Zone, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))),
		Sync:     config.DefaultSyncOptions(),
	}
	if settings.RoutingPolicy != "" {
		options.Frontend.Routing.Policy = routing.Policy(settings.RoutingPolicy)
	}
	return options
}

// Server is one entry daemon. It holds no authoritative state: its view of the servers may
// be stale, and the host daemons decide what runs.
type Server struct {
	*process.Base
	options  Options
	keys     *execution.Keys
	routing  *routingLog
	counters counters
	tomb     *tomb.Tomb

	mu    sync.Mutex
	core  *frontend.Core
	pause *membership.PauseDetector
	// crashes tracks the requests under which servers crashed.
	crashes *quarantine.Tracker
	// exchangedAtStart is set once this entry has requested the other entries' quarantine
	// records.
	exchangedAtStart atomic.Bool
}

type counters struct {
	requests, finished, failed, notRun, unknown, retries, refused metrics.Counter
	firstToken                                                    map[string]metrics.Timer
}

// New returns a daemon; Start runs it.
func New(options Options) *Server {
	s := &Server{
		options: options,
		keys:    execution.NewKeys([]byte(options.Settings.Secret)),
		routing: &routingLog{},
		core:    frontend.New(options.Frontend),
		pause:   membership.NewPauseDetector(pauseLimit),
		crashes: quarantine.NewTracker(),
	}
	s.Base = process.NewBase(process.BaseOptions{
		Settings: options.Settings.Settings, Log: options.Log, Trail: options.Trail, Platform: options.Platform, Sync: options.Sync,
		Incarnation: execution.Incarnation(uuid.NewString()), DialTimeout: dialTimeout, MaxConnections: options.Settings.maxHostConnections(), OnSnapshot: s.applySnapshot, OnHosts: s.applyHostList,
		OnStateChange: func(lifecycle.State) {},
	})
	s.counters = newCounters(s.Registry)
	return s
}

func newCounters(r metrics.Registry) counters {
	return counters{
		requests:   metrics.NewRegisteredCounter("requests", r),
		finished:   metrics.NewRegisteredCounter("requests.finished", r),
		failed:     metrics.NewRegisteredCounter("requests.failed", r),
		notRun:     metrics.NewRegisteredCounter("requests.notrun", r),
		unknown:    metrics.NewRegisteredCounter("requests.unknown", r),
		refused:    metrics.NewRegisteredCounter("requests.refused", r),
		retries:    metrics.NewRegisteredCounter("attempts.again", r),
		firstToken: map[string]metrics.Timer{},
	}
}

// Start opens the listeners and runs the daemon under the tomb. It returns an error if an
// address can't be bound.
func (s *Server) Start(t *tomb.Tomb) error {
	s.tomb = t
	for _, server := range s.ownServers() {
		if _, err := server.Start(t); err != nil {
			return err
		}
	}
	listener, err := s.callerServer().Start(t)
	if err != nil {
		return err
	}
	process.RegisterCallerMetrics(s.Registry, listener)
	t.Go(func() error { return s.ConfigLoop.Run(t) })
	t.Go(s.tickLoop)
	t.Go(s.exchangeLoop)
	return nil
}

// callerServer returns the server for callers.
func (s *Server) callerServer() process.LimitedServer {
	settings := &s.options.Settings
	return process.LimitedServer{Address: settings.ListenAddress, Handler: s.callerRouter(), Limits: settings.callerLimits(),
		Bounds:      callers.Bounds{BodyBytes: settings.MaxBodyBytes, Timeout: process.RequestTimeout},
		TooLarge:    closingProblem(refusedOutcome(nil), execution.Refusal{Code: codeHeadersTooLarge, Detail: "the headers are too large"}),
		Unavailable: func(r *http.Request) []byte { return closingProblem(refusedOutcome(r), memoryRefusal) }, Log: s.Log}
}

// ownServers returns the servers for others than callers.
func (s *Server) ownServers() []process.LimitedServer {
	settings := &s.options.Settings
	return []process.LimitedServer{
		s.AdminServer(s.sections(), settings.resources().AddressLimits(adminSocketShare, adminMemoryShare)),
		s.DaemonServer(s.peerRouter(), settings.resources().AddressLimits(peerSocketShare, peerMemoryShare)),
	}
}

func (s *Server) peerRouter() http.Handler {
	router := bunrouter.New()
	peers := s.PeerServer()
	router.POST(peers.PathPrefix()+":method", bunrouter.HTTPHandler(peers))
	entries := wire.NewEntryServer(&wire.EntryServer{Envelope: s.Envelope, Exchange: s.mergeRecords})
	router.POST(entries.PathPrefix()+":method", bunrouter.HTTPHandler(entries))
	return router
}

// observeEnvelope updates the membership view and the advertised revision from the envelope
// of a host daemon's message.
func (s *Server) observeEnvelope(envelope *wire.Envelope) {
	if envelope == nil {
		return
	}
	s.ObserveEnvelope(envelope)
	s.mu.Lock()
	changes := s.core.ObserveServer(time.Now(), envelope.Sender, execution.Incarnation(envelope.Incarnation), envelope.Draining)
	s.mu.Unlock()
	s.auditMembership(changes, "message")
}

// recordFailure records that a server was unreachable or broke a stream off. pool may be
// empty.
func (s *Server) recordFailure(server, pool string) {
	s.mu.Lock()
	changes := s.core.RecordFailure(time.Now(), server, pool)
	s.mu.Unlock()
	s.auditMembership(changes, "message")
}

// attemptSent adds an offer to the estimated load of a server.
func (s *Server) attemptSent(t *task, server string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.AttemptSent(time.Now(), t.query, server)
}

func (s *Server) attemptEnded(t *task, server string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.AttemptEnded(t.query, server)
}

// handleOfferReply updates the load, admission and membership state from the reply to an
// offer.
func (s *Server) handleOfferReply(t *task, server string, reply *wire.OfferReply) {
	s.observeEnvelope(reply.Envelope)
	now := time.Now()
	result := wire.ToResult(reply)
	answer := frontend.OfferReply{Verdict: result.Verdict, Refusal: result.Refusal, DemandShare: reply.DemandShare, DemandKnown: reply.DemandKnown}
	if reply.Load != nil {
		report := wire.ToReport(now, reply.Load, s.Store.Current().ClassRank)
		answer.Report = &report
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.HandleOfferReply(now, t.query, t.offer.Workspace, server, answer)
}

// observeFrame updates the load and membership state from a frame of a response.
func (s *Server) observeFrame(t *task, server string, m *wire.Frame) {
	if m.Load != nil {
		now := time.Now()
		report := wire.ToReport(now, m.Load, s.Store.Current().ClassRank)
		s.mu.Lock()
		s.core.ObserveLoad(t.query.Pool, server, report)
		s.mu.Unlock()
	}
	s.observeEnvelope(m.Envelope)
	if m.Last {
		s.attemptEnded(t, server)
	}
}

// applySnapshot applies a new configuration snapshot.
func (s *Server) applySnapshot(snapshot *config.Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changes := s.core.Configure(time.Now(), snapshot)
	for _, class := range snapshot.ClassNames() {
		if s.counters.firstToken[class] == nil {
			s.counters.firstToken[class] = metrics.NewRegisteredTimer("first.token."+class, s.Registry)
		}
	}
	go s.auditMembership(changes, "configuration")
}

// applyHostList updates the membership view from the platform's host list.
func (s *Server) applyHostList(hosts []platform.Host) {
	var rows []membership.ListedServer
	for _, host := range hosts {
		rows = append(rows, membership.ListedServer{Server: host.Server, Draining: host.Draining})
	}
	s.mu.Lock()
	changes, accepted := s.core.ApplyHostList(time.Now(), rows)
	s.mu.Unlock()
	s.auditMembership(changes, "list")
	if !accepted {
		s.Log.WithField("hosts", len(hosts)).Warn("too many hosts are missing from the platform's host list; the previous view is kept")
	}
}

func (s *Server) auditMembership(changes []membership.Change, source string) {
	for _, change := range changes {
		s.Audit(audit.Event{Area: audit.Membership, Subject: change.Server, From: string(change.From), To: string(change.To),
			Reason: change.Reason, Source: source})
	}
}
