package process

import (
	"fmt"
	"maps"
	"net/http"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"arbutusdeck/core/admin"
	"arbutusdeck/core/audit"
	"arbutusdeck/core/callers"
	"arbutusdeck/core/config"
	"arbutusdeck/core/execution"
	"arbutusdeck/core/lifecycle"
	"arbutusdeck/core/platform"
	"arbutusdeck/core/wire"
)

// BaseOptions configures a Base.
type BaseOptions struct {
	Settings    Settings
	Log         *logrus.Entry
	Trail       *audit.Trail
	Platform    PlatformReader
	Sync        config.SyncOptions
	Incarnation execution.Incarnation
	// DialTimeout bounds the time to connect to another daemon.
	DialTimeout time.Duration
	// MaxConnections bounds the connections to other daemons.
	MaxConnections int
	// OnSnapshot is called with every snapshot after it is applied.
	OnSnapshot func(snapshot *config.Snapshot)
	// OnHosts is called with every host list read from the platform.
	OnHosts func(hosts []platform.Host)
	// OnStateChange is called with every new state of the daemon.
	OnStateChange func(to lifecycle.State)
}

// Base holds the components common to host daemons and entries: identity,
// configuration, connections to other daemons, lifecycle state, audit trail and
// metrics.
type Base struct {
	Log        *logrus.Entry
	Store      *config.Store
	ConfigLoop *ConfigLoop
	Dialer     *wire.Dialer
	Registry   metrics.Registry

	options BaseOptions
	manager *lifecycle.Manager

	mu    sync.Mutex
	peers map[string]PeerStatus
}

// PeerStatus is the status that another daemon sent with its last message.
type PeerStatus struct {
	Incarnation string    `json:"incarnation"`
	Revision    uint64    `json:"revision"`
	Draining    bool      `json:"draining"`
	LastHeard   time.Time `json:"heard"`
}

// maxPeers bounds the number of daemons whose status is kept.
const maxPeers = 4096

// NewBase returns a Base that does not serve yet.
func NewBase(options BaseOptions) *Base {
	b := &Base{
		Log:      options.Log,
		Store:    &config.Store{},
		Dialer:   wire.NewDialer(options.Settings.Secret, options.DialTimeout, options.MaxConnections),
		Registry: metrics.NewRegistry(),
		options:  options,
		peers:    map[string]PeerStatus{},
	}
	b.manager = lifecycle.NewManager(b.changeState)
	b.ConfigLoop = NewConfigLoop(ConfigLoopOptions{
		Store: b.Store, Platform: options.Platform, Peers: b.Dialer, Trail: options.Trail, Log: options.Log,
		OnSnapshot: options.OnSnapshot, OnHosts: options.OnHosts, Sync: options.Sync, Seeds: options.Settings.Peers, Name: options.Settings.Name,
	})
	admin.RegisterRuntime(b.Registry)
	metrics.NewRegisteredFunctionalGauge("daemons.connections", b.Registry, b.Dialer.Connections)
	return b
}

// Name returns the daemon's name.
func (b *Base) Name() string { return b.options.Settings.Name }

// Incarnation returns the ID of this run of the daemon.
func (b *Base) Incarnation() execution.Incarnation { return b.options.Incarnation }

// Manager returns the manager of the daemon's lifecycle state.
func (b *Base) Manager() *lifecycle.Manager { return b.manager }

func (b *Base) changeState(from, to lifecycle.State) {
	b.Audit(audit.Event{Area: audit.Lifecycle, Subject: b.Name(), From: string(from), To: string(to), Source: "process"})
	b.options.OnStateChange(to)
}

// Audit adds an event to the audit trail, with the current time and revision.
func (b *Base) Audit(event audit.Event) {
	event.Time, event.Revision = time.Now(), b.Store.Revision()
	b.options.Trail.Add(event)
}

// AuditPause adds an audit event for a pause of this process.
func (b *Base) AuditPause(gap time.Duration) {
	b.Audit(audit.Event{Area: audit.Lifecycle, Subject: b.Name(), From: "running", To: "running",
		Reason: fmt.Sprintf("this process was paused for %s", gap.Round(time.Millisecond)), Source: "process"})
}

// Envelope returns the envelope of messages to other daemons.
func (b *Base) Envelope() *wire.Envelope {
	return &wire.Envelope{Sender: b.Name(), Incarnation: string(b.Incarnation()), Revision: b.Store.Revision(),
		Digest: b.Store.Digest(), Draining: b.manager.State() == lifecycle.Draining}
}

// AddressOf returns the address of another daemon by name.
func (b *Base) AddressOf(daemon string) (string, bool) {
	snapshot := b.Store.Current()
	if snapshot == nil {
		return "", false
	}
	return snapshot.AddressOf(daemon)
}

// ObserveEnvelope records the sender's status from the envelope of a message, and
// requests its snapshot if its revision is newer.
func (b *Base) ObserveEnvelope(envelope *wire.Envelope) {
	if envelope == nil || envelope.Sender == "" {
		return
	}
	b.recordPeer(envelope)
	if envelope.Revision <= b.Store.Revision() {
		return
	}
	if address, ok := b.AddressOf(envelope.Sender); ok {
		b.ConfigLoop.RevisionAdvertised(config.Peer{Name: envelope.Sender, Address: address}, envelope.Revision)
	}
}

func (b *Base) recordPeer(envelope *wire.Envelope) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.peers) >= maxPeers {
		clear(b.peers)
	}
	b.peers[envelope.Sender] = PeerStatus{Incarnation: envelope.Incarnation, Revision: envelope.Revision, Draining: envelope.Draining, LastHeard: time.Now()}
}

func (b *Base) peerStatus() map[string]PeerStatus {
	b.mu.Lock()
	defer b.mu.Unlock()
	return maps.Clone(b.peers)
}

// PeerServer returns the server from which other daemons fetch snapshots.
func (b *Base) PeerServer() wire.TwirpServer {
	return wire.NewPeerServer(&wire.PeerServer{Store: b.Store, Envelope: b.Envelope})
}

// Ready returns nil while the daemon accepts new work, and an error otherwise.
func (b *Base) Ready() error {
	if b.Store.Current() == nil {
		return config.ErrNoSnapshot
	}
	if state := b.manager.State(); state != lifecycle.Serving {
		return fmt.Errorf("%w: %s", lifecycle.ErrNotServing, state)
	}
	return nil
}

// AdminServer returns the server of the administration API.
func (b *Base) AdminServer(sections map[string]admin.Section, limits callers.Limits) LimitedServer {
	return LimitedServer{Address: b.options.Settings.AdminAddress, Handler: b.Admin(sections), Limits: limits,
		Bounds: SmallRequests}
}

// DaemonServer returns the server for other daemons.
func (b *Base) DaemonServer(handler http.Handler, limits callers.Limits) LimitedServer {
	return LimitedServer{Address: b.options.Settings.PeerAddress, Handler: wire.Authorize(b.options.Settings.Secret, handler), Limits: limits,
		Bounds: callers.Bounds{BodyBytes: daemonBodyBytes, Timeout: RequestTimeout}}
}

// Admin returns the administration API with additional status sections.
func (b *Base) Admin(sections map[string]admin.Section) http.Handler {
	sections["daemon"] = func() any { return b.status() }
	sections["peers"] = func() any { return b.peerStatus() }
	return admin.Handler(admin.Options{Token: b.options.Settings.AdminToken, Ready: b.Ready, Registry: b.Registry,
		Trail: b.options.Trail, Sections: sections})
}

// Status is the section "daemon" of a daemon's status.
type Status struct {
	Name             string                `json:"name"`
	Zone             string                `json:"zone"`
	Incarnation      execution.Incarnation `json:"incarnation"`
	State            lifecycle.State       `json:"state"`
	Revision         uint64                `json:"revision"`
	RejectedRevision uint64                `json:"refusedRevision,omitempty"`
	RejectedReason   string                `json:"refusedWhy,omitempty"`
	// OpenRequests counts the requests that a graceful shutdown waits for.
	OpenRequests int `json:"openRequests"`
}

func (b *Base) status() Status {
	rejected, err := b.Store.RejectedRevision()
	status := Status{Name: b.Name(), Zone: b.options.Settings.Zone, Incarnation: b.Incarnation(), State: b.manager.State(),
		Revision: b.Store.Revision(), RejectedRevision: rejected, OpenRequests: b.manager.Open()}
	if err != nil {
		status.RejectedReason = err.Error()
	}
	return status
}
