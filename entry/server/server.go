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

	"arbutusdeck/core/admission"
	"arbutusdeck/core/audit"
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

// Options are the parts of a Server.
type Options struct {
	Settings Settings
	Log      *logrus.Entry
	Trail    *audit.Trail
	Platform process.PlatformReader
	Frontend frontend.Options
	Sync     config.SyncOptions
}

// DefaultOptions returns options for settings.
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

// Server is one entry daemon. It keeps nothing that matters: whatever it
// believes, the host daemons decide.
type Server struct {
	*process.Base
	options  Options
	keys     *execution.Keys
	bodies   *admission.ByteBudget
	routes   *routeLog
	counters counters
	tomb     *tomb.Tomb

	mu    sync.Mutex
	core  *frontend.Core
	pause *membership.PauseDetector
	// watch remembers requests under which servers have ended.
	watch *quarantine.Tracker
	// met says that this entry has asked the others what they remember.
	met atomic.Bool
}

type counters struct {
	requests, finished, failed, notRun, unknown, retries, refused metrics.Counter
	firstToken                                                    map[string]metrics.Timer
}

// New returns a daemon that Start starts.
func New(options Options) *Server {
	s := &Server{
		options: options,
		keys:    execution.NewKeys([]byte(options.Settings.Secret)),
		bodies:  admission.NewByteBudget(options.Settings.MaxOpenBytes),
		routes:  &routeLog{},
		core:    frontend.New(options.Frontend),
		pause:   membership.NewPauseDetector(pauseLimit),
		watch:   quarantine.NewTracker(),
	}
	s.Base = process.NewBase(process.BaseOptions{
		Settings: options.Settings.Settings, Log: options.Log, Trail: options.Trail, Platform: options.Platform, Sync: options.Sync,
		Incarnation: execution.Incarnation(uuid.NewString()), DialTimeout: dialTimeout, OnSnapshot: s.adopt, OnHosts: s.readHosts,
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

// Start listens and serves under the tomb.
func (s *Server) Start(t *tomb.Tomb) error {
	s.tomb = t
	for address, handler := range map[string]http.Handler{
		s.options.Settings.PeerAddress:   wire.Authorize(s.options.Settings.Secret, s.peerRouter()),
		s.options.Settings.AdminAddress:  s.Admin(s.sections()),
		s.options.Settings.ListenAddress: s.callerRouter(),
	} {
		listener, err := process.Listen(address)
		if err != nil {
			return err
		}
		process.ServeHTTP(t, listener, handler)
	}
	t.Go(func() error { return s.ConfigLoop.Run(t) })
	t.Go(s.tickLoop)
	t.Go(s.exchangeLoop)
	return nil
}

func (s *Server) peerRouter() http.Handler {
	router := bunrouter.New()
	peers := s.PeerServer()
	router.POST(peers.PathPrefix()+":method", bunrouter.HTTPHandler(peers))
	entries := wire.NewEntryServer(&wire.EntryServer{Envelope: s.Envelope, Exchange: s.join})
	router.POST(entries.PathPrefix()+":method", bunrouter.HTTPHandler(entries))
	return router
}

// heard takes in the envelope of a host daemon's message.
func (s *Server) heard(envelope *wire.Envelope) {
	if envelope == nil {
		return
	}
	s.ObserveEnvelope(envelope)
	s.mu.Lock()
	changes := s.core.ObserveServer(time.Now(), envelope.Sender, execution.Incarnation(envelope.Incarnation), envelope.Draining)
	s.mu.Unlock()
	s.auditMembers(changes, "message")
}

// failed takes in that a server could not be reached or broke off.
func (s *Server) failed(server, pool string) {
	s.mu.Lock()
	changes := s.core.RecordFailure(time.Now(), server, pool)
	s.mu.Unlock()
	s.auditMembers(changes, "message")
}

// sent counts an offer in the load that is believed of a server.
func (s *Server) sent(t *task, server string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.AttemptSent(time.Now(), t.query, server)
}

func (s *Server) ended(t *task, server string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.core.AttemptEnded(t.query, server)
}

// offered takes in what a reply to an offer tells besides its verdict.
func (s *Server) offered(t *task, server string, reply *wire.OfferReply) {
	s.heard(reply.Envelope)
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

// observeFrame takes in what a frame tells besides its payload.
func (s *Server) observeFrame(t *task, server string, m *wire.Frame) {
	if m.Load != nil {
		now := time.Now()
		report := wire.ToReport(now, m.Load, s.Store.Current().ClassRank)
		s.mu.Lock()
		s.core.ObserveLoad(t.query.Pool, server, report)
		s.mu.Unlock()
	}
	s.heard(m.Envelope)
	if m.Last {
		s.ended(t, server)
	}
}

// adopt brings a new snapshot into force.
func (s *Server) adopt(snapshot *config.Snapshot) {
	s.mu.Lock()
	defer s.mu.Unlock()
	changes := s.core.Configure(time.Now(), snapshot)
	for _, class := range snapshot.ClassNames() {
		if s.counters.firstToken[class] == nil {
			s.counters.firstToken[class] = metrics.NewRegisteredTimer("first.token."+class, s.Registry)
		}
	}
	go s.auditMembers(changes, "configuration")
}

// readHosts takes in the platform's list.
func (s *Server) readHosts(hosts []platform.Host) {
	var rows []membership.ListedServer
	for _, host := range hosts {
		rows = append(rows, membership.ListedServer{Server: host.Server, Draining: host.Draining})
	}
	s.mu.Lock()
	changes, believed := s.core.ApplyHostList(time.Now(), rows)
	s.mu.Unlock()
	s.auditMembers(changes, "list")
	if !believed {
		s.Log.WithField("hosts", len(hosts)).Warn("the host list shrank at a stroke; the last good view stays")
	}
}

func (s *Server) auditMembers(changes []membership.Change, source string) {
	for _, change := range changes {
		s.Audit(audit.Event{Area: audit.Membership, Subject: change.Server, From: string(change.From), To: string(change.To),
			Reason: change.Reason, Source: source})
	}
}
